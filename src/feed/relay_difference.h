#ifndef CF_FEED_RELAY_DIFFERENCE_H
#define CF_FEED_RELAY_DIFFERENCE_H

#include "relay.h"

/* The differences of an update; parts of relay.c. */

/* Returns an empty array of struct feed_difference, whose elements own their frames only. */
GArray *cf_relay_new_differences (void);

/* Adds the difference of RECORD of KIND from the text that it had at the revision SINCE to LIST.
 * Returns false, with LIST unchanged, if that text is not in VERSIONS, or if the difference is not
 * much smaller than the text. */
bool cf_relay_add_difference (GArray *list,
                              const struct CfVersions *versions,
                              const struct CfReplica *replica,
                              enum CfFeedKind kind,
                              const struct CfRecord *record,
                              uint64_t since);

/* Returns true if the kinds, revisions and sizes of DIFFERENCES, from another VM, are within their
 * bounds, also all sizes together. */
bool cf_relay_differences_valid (const struct feed_differences *differences);

#endif
