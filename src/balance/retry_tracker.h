#ifndef CF_BALANCE_RETRY_TRACKER_H
#define CF_BALANCE_RETRY_TRACKER_H

#include "cf_types.h"

#include <glib.h>

/* Recognises repeated tries: a new flow of a caller whose flow to the same service was refused
 * here, or turned away by an upstream, shortly before.  A try that comes through another VM is not
 * recognised here; fair_share.h counts it as a request of its caller.  No I/O. */

#define CF_RETRY_TRACKER_MS 1000  /* tries later than this count as new requests */
#define CF_RETRY_TRACKER_MAX 4096 /* failures that are remembered, the oldest is dropped */

struct CfRetryTracker;

struct CfRetryTracker *cf_retry_tracker_new (void);
void cf_retry_tracker_free (struct CfRetryTracker *tracker);

/* Records that a flow of the caller at IP to SERVICE was refused or turned away. */
void
cf_retry_tracker_failed (struct CfRetryTracker *tracker, uint32_t ip, GQuark service, CfMillis now);

/* Returns true if a new flow of the caller at IP to SERVICE is a repeated try.  Each failure
 * explains one try. */
bool
cf_retry_tracker_match (struct CfRetryTracker *tracker, uint32_t ip, GQuark service, CfMillis now);

#endif
