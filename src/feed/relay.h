#ifndef CF_FEED_RELAY_H
#define CF_FEED_RELAY_H

#include "cf_types.h"
#include "feed.h"
#include "replica.h"

/* The records of one VM's replica on their way to another's. */

/* What a follower has: the revision of each kind, 0 for nothing. */
struct CfFeedPosition
{
  uint64_t revision[CF_FEED_KINDS];
};

/* Reads POSITION from the query of a request.  Returns false if a kind is missing or not a
 * number. */
bool cf_feed_position_parse (GHashTable *query, struct CfFeedPosition *position);

/* Returns the query for POSITION. */
char *cf_feed_position_format (const struct CfFeedPosition *position);

/* Returns true if REPLICA has changes after POSITION. */
bool cf_relay_has_changes (const struct CfReplica *replica, const struct CfFeedPosition *position);

/* The answers that were encoded last.  Most followers are at the same position. */
#define CF_RELAY_CACHED 4

struct CfRelayCache
{
  struct CfRelayEntry
  {
    struct CfFeedPosition position;
    uint64_t generation; /* of the replica */
    uint32_t size;       /* as in feed.x */
    GBytes *parts;       /* NULL: free */
  } entries[CF_RELAY_CACHED];
  uint32_t next; /* entry to be replaced */
};

void cf_relay_cache_clear (struct CfRelayCache *cache);

/* Where update come from. */
struct CfUpdateOrigin
{
  char *reader; /* name of the VM that the store answered, NULL: nobody yet */
  CfMillis age; /* since then */
  bool settled; /* announcements that lapsed with the store would be back */
};

/* Returns what REPLICA has after POSITION, encoded.  CACHE, zeroed at first, serves one replica.
 * Returns NULL if the records exceed the format's bounds. */
GBytes *cf_relay_encode (struct CfRelayCache *cache,
                         const struct CfReplica *replica,
                         const struct CfFeedPosition *position,
                         const struct CfUpdateOrigin *origin);

/* What a VM was told. */
struct CfRelayUpdate
{
  struct CfUpdateOrigin origin;
  struct feed_parts parts; /* CF_FEED_KINDS of them */
};

/* Decodes DATA of LEN bytes into NEWS, to be released with cf_relay_clear.  Returns false
 * if it is not valid. */
bool cf_relay_decode (const void *data, size_t len, struct CfRelayUpdate *update);
void cf_relay_clear (struct CfRelayUpdate *update);

/* Returns the records of PART, an array of struct CfRecord. */
GPtrArray *cf_relay_records (const struct feed_part *part);

#endif
