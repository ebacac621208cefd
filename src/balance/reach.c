#include "reach.h"

bool
cf_reach_may_try (const struct CfReach *reach, CfMillis now)
{
  return reach->failures > 0 && now >= reach->trial_until && now >= reach->retry_at;
}

void
cf_reach_record_attempt (struct CfReach *reach, CfMillis now)
{
  if (reach->failures > 0)
    reach->trial_until = now + CF_REACH_TRIAL_MAX_MS;
}

void
cf_reach_record_success (struct CfReach *reach, CfMillis now)
{
  reach->failures = 0;
  reach->trial_until = 0;
  reach->confirmed_at = now;
}

void
cf_reach_reset (struct CfReach *reach, CfMillis now)
{
  if (reach->failures == 0)
    return;
  reach->failures = 0;
  reach->trial_until = 0;
  /* Time-outs of flows that were begun before now do not count. */
  reach->confirmed_at = now;
}

void
cf_reach_record_failure (struct CfReach *reach, CfMillis begun, CfMillis now)
{
  CfMillis delay;

  if (reach->confirmed_at >= begun)
    return;
  reach->trial_until = 0;
  /* Concurrent flows fail together and count once. */
  if (reach->failures > 0 && begun <= reach->failed_at)
    return;
  reach->failures++;
  reach->failed_at = now;
  delay = (CfMillis) CF_REACH_RETRY_MIN_MS << MIN (reach->failures - 1, 8);
  reach->retry_at = now + MIN (delay, CF_REACH_RETRY_MAX_MS);
}
