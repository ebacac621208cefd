#ifndef CF_FEED_REPLICA_H
#define CF_FEED_REPLICA_H

#include "cf_types.h"
#include "record.h"

/* This VM's copy of the store's records of each kind.  A record never goes back to an
 * earlier revision, whichever source sends it.
 *
 * When the store begins a new era, the records are carried over: they stay as they are until the
 * store has them again, or until their writers have had time to write them again.  So do records of
 * which the store has an earlier content, from its copy, and records deleted since that.
 *
 * What ends the carrying of a record depends on who writes it.  The start of the era is the time at
 * which this VM first carried records into it (carry_since), the latest one if there are several.
 *
 * - Any record: the store has had it in the new era, at a revision, also if it is deleted since.
 * - Manifest (operators): nothing else.
 * - Evacuation (operators): data of a time 3,000 ms after the start.  It does not expire, so one
 *   that the store lacks at that time was not written again, or was withdrawn, whether or not calls
 *   to the store have failed since.
 * - Upstream (renews its announcement): 2,500 ms, and the data have to be settled.  An announcement
 *   that the store lacks may have expired in an outage and be about to be renewed.
 * - VM (renews its record each hour, and when it learns of the era): 10,000 ms, settled.
 *
 * A VM that gives an evacuation up sends no deletion to its followers, since the store has none:
 * each VM counts from its own start.  docs/PLATFORM.md says what happens in each case. */

/* Deleted records that are kept for followers that lag behind; one takes about 100 bytes. */
#define CF_REPLICA_DELETED_MAX 2048

/* Milliseconds after the beginning of an era for which records that the store lacks are carried. */
/* Upstreams renew their announcements every second or two. */
#define CF_REPLICA_CARRY_UPSTREAMS_MS 2500
/* Operators write evacuations again; a withdrawn one keeps a healthy domain out of service. */
#define CF_REPLICA_CARRY_EVACUATIONS_MS 3000
/* VMs may have to wait for the store to accept their writes. */
#define CF_REPLICA_CARRY_VMS_MS 10000
/* The same for a content of which the store has an earlier one.  By then the store has removed what
 * had ended before it was restored. */
#define CF_REPLICA_CARRY_SUPERSEDING_MS 10000

struct CfReplica
{
  uint64_t era;                            /* of the store, 0: not known */
  uint64_t eras;                           /* entered so far; it rises when a wrong era is left */
  CfMillis carry_since;                    /* when records were first carried in it, -1: none */
  bool carrying[CF_FEED_KINDS];            /* there may be carried records */
  GHashTable *records[CF_FEED_KINDS];      /* name to struct CfRecord, deleted ones included */
  uint64_t revision[CF_FEED_KINDS];        /* all changes of the era up to it are in the copy */
  uint64_t changed[CF_FEED_KINDS];         /* of the last response with a change */
  uint64_t deletions_since[CF_FEED_KINDS]; /* deletions after it are in the copy */
  uint64_t generation;                     /* counts the responses that were applied */
};

void cf_replica_init (struct CfReplica *replica);
void cf_replica_clear (struct CfReplica *replica);

/* Enters the era ERA, which is another than the replica's. */
void cf_replica_enter_era (struct CfReplica *replica, uint64_t era, CfMillis now);

/* Returns true if the replica has never had data. */
bool cf_replica_is_empty (const struct CfReplica *replica);

/* Returns true if RECORD of the replica is from an earlier era, and the store has not been seen to
 * have it in this one. */
bool cf_replica_is_carried (const struct CfReplica *replica, const struct CfRecord *record);

/* Returns what the store has of the record NAME of KIND in this era, as far as the replica knows: a
 * record with a text that is not carried, or NULL. */
const struct CfRecord *
cf_replica_stored (const struct CfReplica *replica, enum CfFeedKind kind, const char *name);

/* Gives the records of KIND that have been carried for long enough the content that the store has,
 * or deletes them if it has none.  To be called after data of the replica's era were applied at
 * NOW. With them the replica holds all that the store had at SYNCED_AT (-1: not known).  With
 * SETTLED the store had not failed for a time, so that announcements which expired in an outage
 * have been renewed.  Manifests are carried until the next one.  Returns the records that changed,
 * as cf_replica_apply does. */
GPtrArray *cf_replica_end_carry (struct CfReplica *replica,
                                 enum CfFeedKind kind,
                                 CfMillis synced_at,
                                 bool settled,
                                 CfMillis now);

/* Applies RECORDS of KIND in the replica's era, all changes up to REVISION; with WHOLE they are all
 * records that exist.  A record with revision 0 is carried by the VM that sent it.  Returns the
 * records that changed, an array of struct CfRecord that belong to the replica. */
GPtrArray *cf_replica_apply (struct CfReplica *replica,
                             enum CfFeedKind kind,
                             GPtrArray *records,
                             uint64_t revision,
                             bool whole);

/* Returns the records of KIND that changed after REVISION, and perhaps some that changed
 * before, an array of struct CfRecord that belong to the replica.  After 0 the carried records are
 * among them. */
GPtrArray *
cf_replica_since (const struct CfReplica *replica, enum CfFeedKind kind, uint64_t revision);

/* Returns the number of records of KIND that are not deleted. */
uint32_t cf_replica_count (const struct CfReplica *replica, enum CfFeedKind kind);

#endif
