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
bool cf_relay_has_news (const struct CfReplica *replica, const struct CfFeedPosition *position);

/* Returns what REPLICA has after POSITION, encoded; AGE and SETTLED as in feed.x. */
GBytes *cf_relay_encode (const struct CfReplica *replica,
                         const struct CfFeedPosition *position,
                         CfMillis age,
                         bool settled);

/* Decodes DATA of LEN bytes into NEWS, to be released with cf_relay_clear.  Returns false
 * if it is not valid. */
bool cf_relay_decode (const void *data, size_t len, struct feed_news *news);
void cf_relay_clear (struct feed_news *news);

/* Returns the records of PART, an array of struct CfRecord. */
GPtrArray *cf_relay_records (const struct feed_part *part);

#endif
