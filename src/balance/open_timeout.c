#include "open_timeout.h"

#include <glib.h>

#define FACTOR 4
#define WEIGHT 0.1 /* of a new sample in the moving average */

void
cf_open_timeout_init (struct CfOpenTimeout *timeout)
{
  timeout->mean_ms = CF_OPEN_TIMEOUT_INITIAL_MS / FACTOR;
}

void
cf_open_timeout_update (struct CfOpenTimeout *timeout, CfMillis wait)
{
  timeout->mean_ms += WEIGHT * ((double) wait - timeout->mean_ms);
}

CfMillis
cf_open_timeout_ms (const struct CfOpenTimeout *timeout)
{
  return CLAMP ((CfMillis) (FACTOR * timeout->mean_ms), CF_OPEN_TIMEOUT_MIN_MS,
                CF_OPEN_TIMEOUT_MAX_MS);
}
