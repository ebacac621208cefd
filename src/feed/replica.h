#ifndef CF_FEED_REPLICA_H
#define CF_FEED_REPLICA_H

#include "record.h"

/* This VM's copy of the store's records of each kind.  A record never goes back to an
 * earlier revision, whoever tells of it. */

/* Deleted records that are kept for followers that are behind; one is about 100 bytes. */
#define CF_REPLICA_DELETED_MAX 2048

struct CfReplica
{
  GHashTable *records[CF_FEED_KINDS]; /* name to struct CfRecord, deleted ones included */
  uint64_t revision[CF_FEED_KINDS];   /* all changes up to it are in the copy */
  uint64_t changed[CF_FEED_KINDS];    /* of the last answer with changes */
  uint64_t complete[CF_FEED_KINDS];   /* deletions after it are in the copy */
  uint64_t generation;                /* changes with each answer that is taken */
};

void cf_replica_init (struct CfReplica *replica);
void cf_replica_clear (struct CfReplica *replica);

/* Takes RECORDS of KIND, all changes up to REVISION; with WHOLE they are all records that
 * there are.  Returns those that are changes, an array of struct CfRecord that belong to the
 * replica. */
GPtrArray *cf_replica_apply (struct CfReplica *replica,
                             enum CfFeedKind kind,
                             GPtrArray *records,
                             uint64_t revision,
                             bool whole);

/* Returns the records of KIND that changed after REVISION, and perhaps some that changed
 * before, an array of struct CfRecord that belong to the replica. */
GPtrArray *
cf_replica_since (const struct CfReplica *replica, enum CfFeedKind kind, uint64_t revision);

/* Returns the number of records of KIND that are not deleted. */
uint32_t cf_replica_count (const struct CfReplica *replica, enum CfFeedKind kind);

#endif
