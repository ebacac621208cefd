#include "patience.h"

#include <glib.h>

#define FACTOR 4
#define WEIGHT 0.1 /* of a new sample in the moving average */

void
cf_patience_init (struct CfPatience *timeout)
{
  timeout->usual_ms = CF_PATIENCE_START_MS / FACTOR;
}

void
cf_patience_learn (struct CfPatience *timeout, CfMillis wait)
{
  timeout->usual_ms += WEIGHT * ((double) wait - timeout->usual_ms);
}

CfMillis
cf_patience_ms (const struct CfPatience *timeout)
{
  return CLAMP ((CfMillis) (FACTOR * timeout->usual_ms), CF_PATIENCE_MIN_MS, CF_PATIENCE_MAX_MS);
}
