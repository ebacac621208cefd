#ifndef CF_CHECK_MANIFEST_H
#define CF_CHECK_MANIFEST_H

#include "balance/routes.h"
#include "finding.h"

/* Checks of a manifest of the users' platform.  FILE names it in the findings.  No I/O. */

/* Returns the manifest in TEXT of LEN bytes, to be freed with cf_manifest_free, with an error for
 * each value that is not allowed: routes that cannot be read are marked as removed, such services
 * have name 0.  Returns NULL if TEXT is no JSON object. */
struct CfManifest *cf_check_manifest_read (const char *file,
                                           const char *text,
                                           size_t len,
                                           struct CfFindings *findings);

/* Adds a warning for each entry that has no effect: routes whose address a later one has, weights
 * of 0, services without a route, not listed, or listed twice. */
void cf_check_manifest_matches (const char *file,
                                const struct CfManifest *manifest,
                                struct CfFindings *findings);

/* Adds a warning for each two limits that contradict each other. */
void cf_check_manifest_limits (const char *file,
                               const struct CfManifest *manifest,
                               struct CfFindings *findings);

/* Adds the changes that lead from IN_FORCE to MANIFEST: version, limits, routes by address,
 * services by name. */
void cf_check_manifest_changes (const char *file,
                                const struct CfManifest *in_force,
                                const struct CfManifest *manifest,
                                struct CfFindings *findings);

/* Returns the fraction of callers whose new flows go to another service on ROUTE than on IN_FORCE,
 * for callers whose hashes are evenly distributed.  It is exact if the least common multiple of
 * both sums of weights is at most CF_CHECK_CALLERS, else an estimate from that many callers. */
#define CF_CHECK_CALLERS 32768
double cf_check_moved (const struct CfRouteEntry *in_force, const struct CfRouteEntry *route);

/* Returns a table of the routes of MANIFEST that are in effect, of which the last one counts at
 * each address: struct CfEndpoint to struct CfRouteEntry, both borrowed. */
GHashTable *cf_check_routes_by_address (const struct CfManifest *manifest);

#define CF_CHECK_ENDPOINT_TEXT_MAX 24 /* bytes */

/* Writes ADDRESS as "ip:port" to TEXT of CF_CHECK_ENDPOINT_TEXT_MAX bytes and returns it. */
const char *cf_check_format_endpoint (struct CfEndpoint address, char *text);

#endif
