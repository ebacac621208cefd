#ifndef CF_BALANCE_PATIENCE_H
#define CF_BALANCE_PATIENCE_H

#include "cf_types.h"

/* How long a first packet waits for its successor before it goes to another upstream too:
 * four times the usual wait, within bounds.  Below, a datagram that is merely queued would be
 * doubled; above, a caller waits in vain. */
#define CF_OPEN_TIMEOUT_MIN_MS 12
#define CF_OPEN_TIMEOUT_MAX_MS 100
#define CF_OPEN_TIMEOUT_INITIAL_MS 30.0 /* before the first flow has opened */

/* The usual wait for upstreams of one kind. */
struct CfOpenTimeout
{
  double mean_ms; /* smoothed, from a first packet to its successor */
};

void cf_open_timeout_init (struct CfOpenTimeout *patience);

/* A flow opened after WAIT. */
void cf_open_timeout_update (struct CfOpenTimeout *patience, CfMillis wait);

/* Returns how long to wait. */
CfMillis cf_open_timeout_ms (const struct CfOpenTimeout *patience);

#endif
