#ifndef CF_SERVE_FEED_INTERNAL_H
#define CF_SERVE_FEED_INTERNAL_H

#include "balancer.h"
#include "feed/era.h"
#include "feed/feed.h"
#include "feed/reader.h"
#include "feed/referral.h"
#include "feed/names.h"
#include "feed/relay.h"
#include "feed/replica.h"
#include "feed/rotation.h"
#include "feed/sources.h"
#include "base/http_call.h"
#include "http_listen.h"

/* The parts of the feed task, which owns all of them:
 *
 *   feed_task.c      chooses the source and passes changes to the datapath task
 *   feed_store.c     reads the store
 *   feed_follow.c    follows another entry VM
 *   feed_relay.c     serves the VMs that follow this one
 *   feed_enroll.c    keeps this VM's record in the store
 *   feed_rotation.c  agrees with the VMs of its failure domain on when each may stop, and
 *                    exchanges reports of failing upstreams
 *   feed_load.c      exchanges load reports with VMs of its region */

struct FeedTask;

/* Reads one kind of records from the store. */
struct FeedChannel
{
  struct FeedTask *task;
  struct CfReader reader;
  struct CfHttpCall *call; /* NULL: none in progress */
  GPtrArray *list;         /* pages of a list so far, of struct CfRecord */
  bool failed;             /* the last call failed */
};

struct FeedFollow
{
  struct CfHttpCall *call; /* NULL: none in progress */
  char *name;              /* of the VM that is followed */
  CfMillis next_at;
  struct CfReferral referral;
  bool named;   /* the call is to a VM that was named in a referral */
  bool ask_all; /* a difference did not apply: the next request is for everything */
  CfMillis no_differences_until; /* none are asked for before this time */
};

struct FeedEnroll
{
  struct CfHttpCall *delete; /* of another VM's record; NULL: none in progress */
  CfMillis next_delete_at;
  struct CfHttpCall *call; /* NULL: none in progress */
  char *content;           /* what the record should hold */
  bool replace;            /* a record exists */
  CfMillis next_at;        /* of the next write */
  CfMillis check_at;       /* of the next check whether the record needs a write */
  uint32_t failures;
};

struct FeedTask
{
  struct CfBalancer *balancer;
  SoupSession *session;
  GSource *timer;
  GRand *random;
  struct CfReplica replica;
  struct CfEraCandidate era_candidate;
  struct CfNames names; /* from records that this task has passed on */
  bool name_refused;    /* records were not passed on because of a name */
  struct CfSources *sources;
  char *source;       /* name of the VM that is followed, "" for the store, NULL: none yet */
  CfMillis synced_at; /* the replica holds the store's data of this time, -1: never */
  char *reader;       /* name of the VM that read the store at synced_at, NULL: none */
  bool settled; /* the store has not failed lately, so lapsed announcements have been renewed */
  CfMillis read_until; /* this VM reads the store until this time, whatever its source */
  CfMillis probed_at;  /* when the store last answered this VM, -1: never */
  struct CfEventRate source_rate;
  struct CfEventRate datagram_rate;
  struct CfEventRate record_rate;
  CfMillis summary_at; /* when the next summary is due */
  struct FeedChannel channels[CF_FEED_KINDS];
  struct FeedFollow follow;
  struct FeedEnroll enroll;
  struct CfRotation rotation;
  GSocket *gossip; /* UDP to and from other VMs */
  GSource *gossip_source;
  CfMillis next_hello_at;
  uint32_t hellos_left;   /* to be sent after a start */
  CfMillis stop_at;       /* when this VM was told to stop, -1: it is not stopping */
  uint64_t incarnation;   /* of this VM's load reports: when the task started, wall clock ms */
  uint32_t load_sequence; /* of its last load report */
  struct CfHttpServer *relay;
  struct CfRelayCache relay_cache;
  struct CfReferrer referrer;
  GQueue waiting;     /* of struct RelayRequest: followers that wait for changes */
  GPtrArray *sending; /* of struct RelayResponse: responses under way */
  struct CfEventRate relay_rate;
};

/* Starts what is due in all parts, and sets the timer to the earliest time that they return. */
void cf_feed_tick (struct FeedTask *task);

/* The VM called SOURCE, or the store (NULL), gave ERA (0: none) in an answer: enters it if it is
 * believed and another than the replica's.  All readers then start over with a list, and calls
 * under way to read the store are cancelled.  What comes with a doubted one must not be used. */
enum CfEraVerdict cf_feed_learn_era (struct FeedTask *task, const char *source, uint64_t era);

/* Has the readers enter the replica's era, and cancels the calls that this makes useless. */
void cf_feed_store_enter_era (struct FeedTask *task, CfMillis now);

/* Has this VM's record checked at once: the store may have lost it. */
void cf_feed_enroll_check (struct FeedTask *task, CfMillis now);

/* Applies RECORDS of KIND to the replica with cf_replica_apply, and passes the changes to the
 * datapath task and the followers.  With TRUSTED a withdrawn announcement means an
 * ended upstream. */
void cf_feed_apply (struct FeedTask *task,
                    enum CfFeedKind kind,
                    GPtrArray *records,
                    uint64_t revision,
                    bool whole,
                    bool trusted);

/* Notes that the replica holds what the VM called READER read from the store at SYNCED_AT, and
 * passes the time on to the datapath task. */
void
cf_feed_set_synced_at (struct FeedTask *task, const char *reader, CfMillis synced_at, bool settled);

/* Returns the age of the replica's data, a very long time if it has none. */
CfMillis cf_feed_age (const struct FeedTask *task, CfMillis now);

void cf_feed_store_start (struct FeedTask *task);
void cf_feed_store_stop (struct FeedTask *task);
/* Starts the reads of USE that are due and returns when to call again. */
CfMillis cf_feed_store_tick (struct FeedTask *task, enum CfStoreUse use, CfMillis now);

void cf_feed_follow_stop (struct FeedTask *task);
/* Requests changes from SOURCE unless a request is in progress; returns when to call again. */
CfMillis cf_feed_follow_tick (struct FeedTask *task, const struct CfSource *source, CfMillis now);

/* Bounds of the responses under way, whatever clients request and however they read.  Beyond them
 * those that make no progress are ended, or a request is refused with status 503. */
/* The kernel buffers up to 128 KB of each (http_listen.h), 32 MB of all. */
#define CF_RELAY_SENDING_MAX 256
/* Bytes of bodies that they hold together, beside those in the cache; several responses share one.
 * All records of 16,000 upstreams take 0.5 MB. */
#define CF_RELAY_HELD_MAX_BYTES (16 * 1048576)
/* A response of which the client takes nothing for this long is ended; 16 followers that share a
 * link of 2 Mbit/s get a buffer's worth each 4 s. */
#define CF_RELAY_STALL_MS 5000
/* One that has made no progress for this long is ended when there is no place for another. */
#define CF_RELAY_YIELD_MS 1000
/* Time for a whole response: 16 followers that share such a link take 35 s for 0.5 MB each. */
#define CF_RELAY_SEND_MAX_MS 60000

bool cf_feed_relay_start (struct FeedTask *task, struct CfError *error);
void cf_feed_relay_stop (struct FeedTask *task);
/* Responds to the waiting followers for which there are changes at NOW, or whose wait is over.
 * Returns when the next wait is over. */
CfMillis cf_feed_relay_tick (struct FeedTask *task, CfMillis now);

bool cf_feed_rotation_start (struct FeedTask *task, struct CfError *error);
void cf_feed_rotation_stop (struct FeedTask *task);
CfMillis cf_feed_rotation_tick (struct FeedTask *task, CfMillis now);

/* Sends DATA of LEN bytes to COUNT VMs, chosen at random and removed from IPS (text), or to all if
 * there are fewer.  Returns the number of datagrams sent. */
guint cf_feed_send_to_random (
    struct FeedTask *task, GPtrArray *ips, guint count, const uint8_t *data, size_t len);

/* Passes LOADS, a datagram of LEN bytes, to the datapath task if it is of a VM of this region.
 * Returns false if it is not a valid report. */
bool cf_feed_receive_load (struct FeedTask *task, const struct feed_loads *loads, size_t len);

void cf_feed_enroll_start (struct FeedTask *task);
void cf_feed_enroll_stop (struct FeedTask *task);
CfMillis cf_feed_enroll_tick (struct FeedTask *task, CfMillis now);
/* Updates the list of sources from the record of a VM. */
void cf_feed_enroll_read (struct FeedTask *task, const struct CfRecord *record);

#endif
