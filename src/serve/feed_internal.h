#ifndef CF_SERVE_FEED_INTERNAL_H
#define CF_SERVE_FEED_INTERNAL_H

#include "balancer.h"
#include "feed/reader.h"
#include "feed/relay.h"
#include "feed/replica.h"
#include "feed/rotation.h"
#include "feed/sources.h"
#include "http_call.h"

/* The parts of the feed task, which owns all of them:
 *
 *   feed_task.c    chooses the source and tells the datapath task what is new
 *   feed_store.c   reads the store
 *   feed_follow.c  follows another entry VM
 *   feed_relay.c   serves the VMs that follow this one
 *   feed_enroll.c  keeps this VM's record in the store
 *   feed_rotation.c  agrees with the VMs of its failure domain on who may stop when, and
 *                  carries their reports of failing upstreams */

struct FeedTask;

/* Reads of one kind of records from the store. */
struct FeedChannel
{
  struct FeedTask *task;
  struct CfReader reader;
  struct CfHttpCall *call; /* NULL: none is under way */
  GPtrArray *list;         /* parts of a list so far, of struct CfRecord */
  bool failed;             /* the last call failed */
};

struct FeedFollow
{
  struct CfHttpCall *call; /* NULL: none is under way */
  char *name;              /* of the VM that is asked */
  CfMillis next_at;
};

struct FeedEnroll
{
  struct CfHttpCall *delete; /* of another VM's record; NULL: none is under way */
  CfMillis delete_next;
  struct CfHttpCall *call; /* NULL: none is under way */
  char *content;           /* what the record is to say */
  bool replace;            /* a record exists */
  CfMillis next_at;        /* of a write */
  CfMillis check_at;       /* whether the record needs one */
  uint32_t failures;
};

struct FeedTask
{
  struct CfBalancer *balancer;
  SoupSession *session;
  GSource *timer;
  GRand *random;
  struct CfReplica replica;
  struct CfSources *sources;
  char *source;        /* name of the VM that is followed, "" for the store, NULL: none yet */
  CfMillis synced_at;  /* the replica holds what the store held then, -1: never */
  char *reader;        /* name of the VM that the store answered then, NULL: none */
  bool settled;        /* the store has been there all the while */
  CfMillis read_until; /* this VM reads the store until then, whatever its source */
  CfMillis probed_at;  /* when the store last answered this VM, -1: never */
  struct CfEventRate source_rate;
  CfMillis summary_at; /* when the next summary is due */
  struct FeedChannel channels[CF_FEED_KINDS];
  struct FeedFollow follow;
  struct FeedEnroll enroll;
  struct CfRotation rotation;
  GSocket *gossip; /* UDP to and from the VMs of the failure domain */
  GSource *gossip_source;
  CfMillis hello_next; /* when the next is due */
  uint32_t hellos;     /* left to be sent after a start */
  CfMillis stop_at;    /* when this VM was told to stop, -1: it was not */
  SoupServer *relay;
  struct CfRelayCache relay_cache;
  GQueue waiting; /* of struct RelayRequest: followers that wait for news */
};

/* Begins what is due, and sets the timer for the next. */
void cf_feed_tick (struct FeedTask *task);

/* Takes RECORDS of KIND into the replica, as cf_replica_apply, and tells the datapath task
 * and the followers what is new.  With TRUSTED an ended announcement means an ended
 * upstream. */
void cf_feed_apply (struct FeedTask *task,
                    enum CfFeedKind kind,
                    GPtrArray *records,
                    uint64_t revision,
                    bool whole,
                    bool trusted);

/* The replica holds what the store told the VM called READER at KNOWN_AT. */
void
cf_feed_set_synced_at (struct FeedTask *task, const char *reader, CfMillis synced_at, bool settled);

/* Returns how old the news are, a very long time if there are none. */
CfMillis cf_feed_age (const struct FeedTask *task, CfMillis now);

void cf_feed_store_start (struct FeedTask *task);
void cf_feed_store_stop (struct FeedTask *task);
/* Begins the reads of USE that are due and returns when to look again. */
CfMillis cf_feed_store_tick (struct FeedTask *task, enum CfStoreUse use, CfMillis now);

void cf_feed_follow_stop (struct FeedTask *task);
/* Asks SOURCE for news unless a question is under way; returns when the next is due. */
CfMillis cf_feed_follow_tick (struct FeedTask *task, struct CfSource *source, CfMillis now);

bool cf_feed_relay_start (struct FeedTask *task, struct CfError *error);
void cf_feed_relay_stop (struct FeedTask *task);
/* Answers followers that wait and for whom there is news at NOW, or whose wait is over.
 * Returns when the next wait is over. */
CfMillis cf_feed_relay_tick (struct FeedTask *task, CfMillis now);

bool cf_feed_rotation_start (struct FeedTask *task, struct CfError *error);
void cf_feed_rotation_stop (struct FeedTask *task);
CfMillis cf_feed_rotation_tick (struct FeedTask *task, CfMillis now);

void cf_feed_enroll_start (struct FeedTask *task);
void cf_feed_enroll_stop (struct FeedTask *task);
CfMillis cf_feed_enroll_tick (struct FeedTask *task, CfMillis now);
/* Reads the record of a VM into the list of sources. */
void cf_feed_enroll_read (struct FeedTask *task, const struct CfRecord *record);

#endif
