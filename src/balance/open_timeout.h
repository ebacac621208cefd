#ifndef CF_BALANCE_OPEN_TIMEOUT_H
#define CF_BALANCE_OPEN_TIMEOUT_H

#include "cf_types.h"

/* Time-out for the second packet of a flow, after which its first packet is also sent to another
 * upstream: four times the mean time, within these bounds.  A lower minimum would resend first
 * packets that are merely queued; a higher maximum would keep callers of unresponsive upstreams
 * waiting. */
#define CF_OPEN_TIMEOUT_MIN_MS 12
#define CF_OPEN_TIMEOUT_MAX_MS 100
#define CF_OPEN_TIMEOUT_INITIAL_MS 30.0 /* before the first flow has opened */

struct CfOpenTimeout
{
  double mean_ms; /* moving average from the first packet to the second */
};

void cf_open_timeout_init (struct CfOpenTimeout *timeout);

/* Adds the sample WAIT, the time that a flow took to open. */
void cf_open_timeout_update (struct CfOpenTimeout *timeout, CfMillis wait);

CfMillis cf_open_timeout_ms (const struct CfOpenTimeout *timeout);

#endif
