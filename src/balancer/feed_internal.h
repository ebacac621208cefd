#ifndef CF_BALANCER_FEED_INTERNAL_H
#define CF_BALANCER_FEED_INTERNAL_H

#include "feed_interface.h"
#include "balance/load_report.h"
#include "balance/quality_report.h"
#include "feed/reader.h"
#include "feed/referral.h"
#include "feed/relay.h"
#include "feed/rotation.h"
#include "base/http_call.h"
#include "runtime/http_listen.h"

/* The parts of the feed task, which owns all of them.  They change the feed through the calls of
 * feed_interface.h only:
 *
 *   feed_task.c      chooses the source, owns the replica and implements the interface
 *   feed_records.c   passes changed records to the datapath task
 *   feed_store.c     reads the store
 *   feed_follow.c    follows another entry VM
 *   feed_relay.c     serves the VMs that follow this one
 *   feed_enroll.c    keeps this VM's record in the store
 *   feed_gossip.c    sends datagrams to other VMs and receives theirs
 *   feed_rotation.c  agrees with the VMs of its failure domain on when each may stop
 *   feed_reports.c   exchanges reports of failing upstreams with VMs of its failure domain, and
 * load reports with VMs of its region */

struct FeedRecords
{
  const struct CfFeed *feed;
  bool name_refused; /* records were not passed on because of a name */
  struct CfEventRate rate;
};

/* Passes changed records, an array of struct CfRecord, to the datapath task. */
void cf_feed_records_send (struct FeedRecords *records,
                           enum CfFeedKind kind,
                           GPtrArray *changes,
                           bool trusted);
/* A manifest may list names that were refused: passes on the records that were not. */
void cf_feed_records_send_refused (struct FeedRecords *records);
/* Passes the list of other VMs to the datapath task. */
void cf_feed_records_send_peers (struct FeedRecords *records);

/* Reads one kind of records from the store. */
struct FeedChannel
{
  struct FeedStore *store;
  struct CfReader reader;
  struct CfHttpCall *call; /* NULL: none in progress */
  GPtrArray *list;         /* pages of a list so far, of struct CfRecord */
  bool failed;             /* the last call failed */
};

struct FeedStore
{
  const struct CfFeed *feed;
  struct FeedChannel channels[CF_FEED_KINDS];
};

void cf_feed_store_start (struct FeedStore *store);
void cf_feed_store_stop (struct FeedStore *store);
/* Starts the reads of USE that are due and returns when to call again. */
CfMillis cf_feed_store_tick (struct FeedStore *store, enum CfStoreUse use, CfMillis now);
/* Has the readers enter the replica's era, and cancels the calls that this makes useless. */
void cf_feed_store_enter_era (struct FeedStore *store, CfMillis now);

struct FeedFollow
{
  const struct CfFeed *feed;
  struct CfHttpCall *call; /* NULL: none in progress */
  char *name;              /* of the VM that is followed */
  CfMillis next_at;
  struct CfReferral referral;
  bool named;   /* the call is to a VM that was named in a referral */
  bool ask_all; /* a difference did not apply: the next request is for everything */
  CfMillis no_differences_until; /* none are asked for before this time */
};

void cf_feed_follow_stop (struct FeedFollow *follow);
/* Requests changes from SOURCE unless a request is in progress; returns when to call again. */
CfMillis
cf_feed_follow_tick (struct FeedFollow *follow, const struct CfSource *source, CfMillis now);

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

struct FeedRelay
{
  const struct CfFeed *feed;
  struct CfHttpServer *server;
  struct CfRelayCache cache;
  struct CfReferrer referrer;
  GQueue waiting;     /* of struct RelayRequest: followers that wait for changes */
  GPtrArray *sending; /* of struct RelayResponse: responses under way */
  struct CfEventRate rate;
};

bool cf_feed_relay_start (struct FeedRelay *relay, struct CfError *error);
void cf_feed_relay_stop (struct FeedRelay *relay);
/* Responds to the waiting followers for which there are changes at NOW, or whose wait is over.
 * Returns when the next wait is over. */
CfMillis cf_feed_relay_tick (struct FeedRelay *relay, CfMillis now);

struct FeedEnroll
{
  const struct CfFeed *feed;
  struct CfHttpCall *delete; /* of another VM's record; NULL: none in progress */
  CfMillis next_delete_at;
  struct CfHttpCall *call; /* NULL: none in progress */
  char *content;           /* what the record should hold */
  bool replace;            /* a record exists */
  CfMillis next_at;        /* of the next write */
  CfMillis check_at;       /* of the next check whether the record needs a write */
  uint32_t failures;
};

void cf_feed_enroll_start (struct FeedEnroll *enroll);
void cf_feed_enroll_stop (struct FeedEnroll *enroll);
CfMillis cf_feed_enroll_tick (struct FeedEnroll *enroll, CfMillis now);
/* Has this VM's record checked at once: the store may have lost it. */
void cf_feed_enroll_check (struct FeedEnroll *enroll, CfMillis now);

struct FeedGossip
{
  const struct CfFeed *feed;
  GSocket *socket; /* UDP to and from other VMs */
  GSource *source;
  struct CfEventRate rate;
};

bool cf_feed_gossip_start (struct FeedGossip *gossip, struct CfError *error);
void cf_feed_gossip_stop (struct FeedGossip *gossip);
/* Sends DATA of LEN bytes to the VM at IP.  Returns true if it was sent.  A lost datagram does
 * little harm: hellos are sent several times, and reports are repeated while there is something to
 * report. */
bool
cf_feed_gossip_send (struct FeedGossip *gossip, const char *ip, const uint8_t *data, size_t len);
/* Sends DATA of LEN bytes to COUNT VMs, chosen at random and removed from IPS (text), or to all if
 * there are fewer.  Returns the number of datagrams sent. */
guint cf_feed_gossip_send_to_random (
    struct FeedGossip *gossip, GPtrArray *ips, guint count, const uint8_t *data, size_t len);

struct FeedRotation
{
  const struct CfFeed *feed;
  struct FeedGossip *gossip;
  struct CfRotation rotation;
  CfMillis next_hello_at;
  uint32_t hellos_left; /* to be sent after a start */
  CfMillis stop_at;     /* when this VM got a signal to stop, -1: it is not stopping */
};

void cf_feed_rotation_start (struct FeedRotation *rotation);
CfMillis cf_feed_rotation_tick (struct FeedRotation *rotation, CfMillis now);
/* This VM has to stop. */
void cf_feed_rotation_stop_vm (struct FeedRotation *rotation, CfMillis now);
void cf_feed_rotation_receive (struct FeedRotation *rotation,
                               const struct feed_hello *hello,
                               CfMillis now);

struct FeedReports
{
  const struct CfFeed *feed;
  struct FeedGossip *gossip;
  uint64_t incarnation; /* of this VM's load reports: when the task started, wall clock ms */
  uint32_t sequence;    /* of its last load report */
};

/* Sends REPORT, of which this fills in the sender. */
void cf_feed_reports_send_quality (struct FeedReports *reports, struct CfQualityReport *report);
void cf_feed_reports_send_load (struct FeedReports *reports, struct CfLoadReport *report);
/* Passes QUALITIES to the datapath task if it is of a VM of this failure domain. */
void cf_feed_reports_receive_quality (struct FeedReports *reports,
                                      const struct feed_qualities *qualities);
/* Passes LOADS, a datagram of LEN bytes, to the datapath task if it is of a VM of this region.
 * Returns false if it is not a valid report. */
bool cf_feed_reports_receive_load (struct FeedReports *reports,
                                   const struct feed_loads *loads,
                                   size_t len);

struct FeedTask
{
  struct CfFeed feed;
  struct CfFeedStatus status;
  struct CfReplica replica;
  struct CfEraCandidate era_candidate;
  struct CfNames names; /* from records that this task has passed on */
  GSource *timer;
  struct CfEventRate source_rate;
  CfMillis summary_at; /* when the next summary is due */
  struct FeedRecords records;
  struct FeedStore store;
  struct FeedFollow follow;
  struct FeedRelay relay;
  struct FeedEnroll enroll;
  struct FeedGossip gossip;
  struct FeedRotation rotation;
  struct FeedReports reports;
};

/* The interface of the feed, whose context is a struct FeedTask. */
extern const struct CfFeedCalls cf_feed_calls;

#endif
