#include "isolation.h"

void
cf_isolation_init (struct CfIsolation *isolation)
{
  *isolation = (struct CfIsolation){ .detected_at = -1 };
}

void
cf_isolation_record_loss (struct CfIsolation *isolation, CfMillis sent, CfMillis now)
{
  if (isolation->lost > 0 && sent < isolation->lost_since)
    return;
  if (isolation->lost++ == 0)
    isolation->lost_since = now;
}

void
cf_isolation_forget (struct CfIsolation *isolation)
{
  if (isolation->detected_at < 0)
    isolation->lost = 0;
}

void
cf_isolation_record_open (struct CfIsolation *isolation)
{
  cf_isolation_init (isolation);
}

bool
cf_isolation_check (struct CfIsolation *isolation, CfMillis synced_at, CfMillis now)
{
  if (isolation->detected_at >= 0 && synced_at > isolation->detected_at)
    cf_isolation_init (isolation);
  if (isolation->detected_at < 0 && isolation->lost >= CF_ISOLATION_LOST
      && now - isolation->lost_since >= CF_ISOLATION_MS)
    isolation->detected_at = now;
  return isolation->detected_at >= 0;
}
