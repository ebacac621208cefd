#ifndef CF_FEED_RELAY_H
#define CF_FEED_RELAY_H

#include "cf_types.h"
#include "feed.h"
#include "versions.h"

/* Sends the records of one VM's replica to another VM, the follower. */

/* Header of a response with the era of its records, which no VM of a build before eras sends. */
#define CF_RELAY_ERA_HEADER "Feed-Era"

/* The largest revision and era that another VM is believed; see also era.h. */
#define CF_RELAY_NUMBER_MAX ((uint64_t) INT64_MAX)

/* Reads the value TEXT of that header.  Returns false if it is not valid. */
bool cf_relay_parse_era (const char *text, uint64_t *era);

/* What a follower has and understands: its era, and its revision of each kind in it, 0 if it has no
 * records. */
struct CfFeedPosition
{
  uint64_t era;
  uint64_t revision[CF_FEED_KINDS];
  bool differences; /* the follower can apply differences */
};

/* Reads POSITION from the query of a request.  POSITION keeps its era if the query, from a build
 * before eras, has none.  Returns false if a kind is missing or not a number. */
bool cf_feed_position_parse (GHashTable *query, struct CfFeedPosition *position);

/* Returns the query for POSITION. */
char *cf_feed_position_format (const struct CfFeedPosition *position);

/* Returns true if REPLICA has changes after POSITION. */
bool cf_relay_has_changes (const struct CfReplica *replica, const struct CfFeedPosition *position);

/* The responses that were encoded last, and what differences are made from.  Most followers are at
 * the same position. */
#define CF_RELAY_CACHED 4

struct CfRelayCache
{
  struct CfRelayEntry
  {
    struct CfFeedPosition position;
    uint64_t generation; /* of the replica */
    uint32_t size;       /* before compression */
    bool differences;    /* records are among them as differences */
    GBytes *parts;       /* NULL: free */
  } entries[CF_RELAY_CACHED];
  uint32_t next; /* entry to be replaced */
  struct CfVersions versions;
};

void cf_relay_cache_clear (struct CfRelayCache *cache);

/* The origin of an update. */
struct CfUpdateOrigin
{
  char *reader; /* name of the VM that read it from the store, NULL: none yet */
  CfMillis age; /* time since that read */
  bool settled; /* announcements that expired in an outage of the store have been renewed */
};

/* An encoded update: HEAD, PARTS and PADDING, one after the other.  PARTS, the largest, belongs to
 * all responses with the same changes. */
struct CfRelayChunks
{
  GBytes *head;
  GBytes *parts;
  GBytes *padding;
  bool differences; /* records are among them as differences */
};

void cf_relay_chunks_clear (struct CfRelayChunks *chunks);

/* Encodes the changes of REPLICA after POSITION, all of its records if POSITION is of another era,
 * to be released with cf_relay_chunks_clear.  Returns false if they exceed the format's bounds.
 * CACHE has to be zeroed at first and serves one replica. */
bool cf_relay_encode_chunks (struct CfRelayCache *cache,
                             const struct CfReplica *replica,
                             const struct CfFeedPosition *position,
                             const struct CfUpdateOrigin *origin,
                             struct CfRelayChunks *chunks);

/* The same in one piece, NULL if they exceed the bounds. */
GBytes *cf_relay_encode (struct CfRelayCache *cache,
                         const struct CfReplica *replica,
                         const struct CfFeedPosition *position,
                         const struct CfUpdateOrigin *origin);

/* A decoded update. */
struct CfRelayUpdate
{
  struct CfUpdateOrigin origin;
  struct feed_parts parts; /* CF_FEED_KINDS of them */
  struct feed_differences differences;
};

/* Decodes DATA of LEN bytes into UPDATE, to be released with cf_relay_clear.  Returns false
 * if it is not valid. */
bool cf_relay_decode (const void *data, size_t len, struct CfRelayUpdate *update);
void cf_relay_clear (struct CfRelayUpdate *update);

/* Adds the records that the differences of UPDATE make of those of REPLICA, of the same era, to its
 * parts.  Differences to a text that REPLICA has, or had before a later one, are skipped.  Returns
 * NULL, or the difference that does not apply.  Then no record was added, and none of UPDATE may be
 * applied: its revisions would say that the record is there. */
const struct feed_difference *cf_relay_apply_differences (struct CfRelayUpdate *update,
                                                          const struct CfReplica *replica);

/* Returns the records of PART, an array of struct CfRecord. */
GPtrArray *cf_relay_records (const struct feed_part *part);

#endif
