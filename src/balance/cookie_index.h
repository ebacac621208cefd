#ifndef CF_BALANCE_COOKIE_INDEX_H
#define CF_BALANCE_COOKIE_INDEX_H

#include "directory.h"

/* Upstreams by cookie.  Several ids may have one cookie: then the order of their upstreams, by
 * start time and id, says which of them packets are for and which one gets new flows.  All VMs know
 * it, whenever and in whatever order they learned of the upstreams.  No I/O. */

struct CfCookieIndex;

struct CfCookieIndex *cf_cookie_index_new (void);
void cf_cookie_index_free (struct CfCookieIndex *index);

/* Returns true if A has the right to a cookie before B: it started first, or at the same time and
 * has the lower id.  A start time that is not given is the latest. */
bool cf_cookie_precedes (const struct CfTarget *a, const struct CfTarget *b);

/* Adds TARGET, or removes it if it is there.  Sets whether it and the others with its cookie
 * collide.  To be removed before its start time changes, and added again afterwards. */
void cf_cookie_index_add (struct CfCookieIndex *index, struct CfTarget *target);
void cf_cookie_index_remove (struct CfCookieIndex *index, struct CfTarget *target);

/* Returns the first upstream with COOKIE, or NULL: the only one that gets new flows. */
struct CfTarget *cf_cookie_index_first (const struct CfCookieIndex *index, uint32_t cookie);

/* Returns the upstream that packets with COOKIE are for: the first that is not gone, or the first
 * if all are, or NULL. */
struct CfTarget *cf_cookie_index_owner (const struct CfCookieIndex *index, uint32_t cookie);

#endif
