#ifndef CF_FEED_VERSIONS_H
#define CF_FEED_VERSIONS_H

#include "replica.h"

/* Earlier texts of large records, from which a VM makes differences for its followers.  They are of
 * one era; in another one, all are forgotten. */

/* Records with shorter texts are sent whole. */
#define CF_VERSIONS_TEXT_MIN_BYTES 4097
/* Earlier texts of a record that are kept.  A follower is behind by the changes of one request,
 * which takes some 100 ms. */
#define CF_VERSIONS_OF_RECORD 4
/* Bytes of all texts. */
#define CF_VERSIONS_MAX_BYTES (4 * 1048576)

/* Zeroed, it is empty. */
struct CfVersions
{
  GQueue list;   /* of struct CfVersion, those of the latest change last */
  size_t bytes;  /* of their texts */
  uint64_t eras; /* that the replica had entered */
};

/* An earlier text of a record. */
struct CfVersion
{
  GList link; /* in the list */
  enum CfFeedKind kind;
  char *name;
  char *text;
  size_t len;
  uint64_t from;  /* revision of the text */
  uint64_t until; /* the record had it up to this revision at least */
};

void cf_versions_clear (struct CfVersions *versions);

/* Keeps the texts that REPLICA has of RECORDS of KIND, an array of struct CfRecord.  To be called
 * before cf_replica_apply with these. */
void cf_versions_keep (struct CfVersions *versions,
                       const struct CfReplica *replica,
                       enum CfFeedKind kind,
                       GPtrArray *records);

/* Returns the text that the record NAME of KIND had when REPLICA's store was at REVISION, NULL if
 * it is not known. */
const struct CfVersion *cf_versions_find (const struct CfVersions *versions,
                                          const struct CfReplica *replica,
                                          enum CfFeedKind kind,
                                          const char *name,
                                          uint64_t revision);

#endif
