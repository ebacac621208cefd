#ifndef CF_BALANCE_PATIENCE_H
#define CF_BALANCE_PATIENCE_H

#include "cf_types.h"

/* How long a first packet waits for its successor before it goes to another upstream too:
 * four times the usual wait, within bounds.  Below, a datagram that is merely queued would be
 * doubled; above, a caller waits in vain. */
#define CF_PATIENCE_MIN_MS 12
#define CF_PATIENCE_MAX_MS 100
#define CF_PATIENCE_START_MS 30.0 /* before the first flow has opened */

/* The usual wait for upstreams of one kind. */
struct CfPatience
{
  double usual_ms; /* smoothed, from a first packet to its successor */
};

void cf_patience_init (struct CfPatience *timeout);

/* A flow opened after WAIT. */
void cf_patience_learn (struct CfPatience *timeout, CfMillis wait);

/* Returns how long to wait. */
CfMillis cf_patience_ms (const struct CfPatience *timeout);

#endif
