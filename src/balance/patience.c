#include "patience.h"

#include <glib.h>

#define FACTOR 4
#define WEIGHT 0.1 /* of one flow */

void
cf_open_timeout_init (struct CfOpenTimeout *patience)
{
  patience->mean_ms = CF_OPEN_TIMEOUT_INITIAL_MS / FACTOR;
}

void
cf_open_timeout_update (struct CfOpenTimeout *patience, CfMillis wait)
{
  patience->mean_ms += WEIGHT * ((double) wait - patience->mean_ms);
}

CfMillis
cf_open_timeout_ms (const struct CfOpenTimeout *patience)
{
  return CLAMP ((CfMillis) (FACTOR * patience->mean_ms), CF_OPEN_TIMEOUT_MIN_MS,
                CF_OPEN_TIMEOUT_MAX_MS);
}
