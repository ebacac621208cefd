#ifndef CF_BALANCE_FAIR_SHARE_H
#define CF_BALANCE_FAIR_SHARE_H

#include "cf_types.h"

#include <glib.h>

/* Fair shares of an overloaded service between callers: max-min by their recent requests.
 *
 * It is designed for one caller, or a few, that send far more than others while a service has less
 * room than is asked for.  The fabric spreads the flows of each caller over the VMs of a failure
 * domain, so that each VM sees about the same part of all of them and can decide by its own counts.
 * Repeated tries of a request count like new ones, so a caller that returns soonest does not win.
 *
 * The callers with the most requests are counted one by one (the space-saving algorithm, Metwally
 * et al. 2005); the count of such a caller is too high by at most the count of the least of them.
 * All others are counted together.  Memory does not grow with the number of callers.
 *
 * A caller is only held to a level above 4 requests and above the error of the counts: callers
 * below are not distinguished, and are admitted alike.  If they ask for more than is admitted on
 * their own, all parts are reduced by the same factor.  No I/O. */

#define CF_FAIR_SHARE_CALLERS 128 /* counted one by one */
#define CF_FAIR_SHARE_HALF_LIFE_MS 2000

struct CfFairShare;

/* PREFIX: leading bits of an address that make a caller, 8 to 32. */
struct CfFairShare *cf_fair_share_new (unsigned prefix);
void cf_fair_share_free (struct CfFairShare *fair);

/* Records a new flow of the caller at IP. */
void cf_fair_share_record (struct CfFairShare *fair, uint32_t ip, CfMillis now);

/* Returns what the caller at IP has asked for lately, in requests, too high by at most
 * cf_fair_share_error; 0 if it is not counted. */
double cf_fair_share_use (const struct CfFairShare *fair, uint32_t ip, CfMillis now);

/* Returns the part of the requests of the caller at IP that is within its share while the part
 * ADMITTED (0 to 1) of all requests is admitted: 1 for a caller below the level at which the rest
 * is divided equally, and less above it. */
double
cf_fair_share_admitted (struct CfFairShare *fair, uint32_t ip, double admitted, CfMillis now);

/* Returns by how much the count of a caller may be too high at NOW, in requests. */
double cf_fair_share_error (const struct CfFairShare *fair, CfMillis now);

#endif
