#include "isolation.h"

void
cf_isolation_init (struct CfIsolation *isolation)
{
  *isolation = (struct CfIsolation){ .found_at = -1 };
}

void
cf_isolation_lost (struct CfIsolation *isolation, CfMillis sent, CfMillis now)
{
  if (isolation->lost > 0 && sent < isolation->lost_since)
    return;
  if (isolation->lost++ == 0)
    isolation->lost_since = now;
}

void
cf_isolation_opened (struct CfIsolation *isolation)
{
  cf_isolation_init (isolation);
}

bool
cf_isolation_check (struct CfIsolation *isolation, CfMillis news_at, CfMillis now)
{
  if (isolation->found_at >= 0 && news_at > isolation->found_at)
    cf_isolation_init (isolation);
  if (isolation->found_at < 0 && isolation->lost >= CF_ISOLATION_LOST
      && now - isolation->lost_since >= CF_ISOLATION_MS)
    isolation->found_at = now;
  return isolation->found_at >= 0;
}
