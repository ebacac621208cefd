#ifndef CF_BALANCE_PATIENCE_H
#define CF_BALANCE_PATIENCE_H

#include "cf_types.h"

/* Time-out for the second packet of a flow, after which its first packet is also sent to another
 * upstream: four times the mean time, within these bounds.  A lower minimum would resend first
 * packets that are merely queued; a higher maximum would keep callers of unresponsive upstreams
 * waiting. */
#define CF_PATIENCE_MIN_MS 12
#define CF_PATIENCE_MAX_MS 100
#define CF_PATIENCE_START_MS 30.0 /* before the first flow has opened */

struct CfPatience
{
  double usual_ms; /* moving average from the first packet to the second */
};

void cf_patience_init (struct CfPatience *timeout);

/* Adds the sample WAIT, the time that a flow took to open. */
void cf_patience_learn (struct CfPatience *timeout, CfMillis wait);

CfMillis cf_patience_ms (const struct CfPatience *timeout);

#endif
