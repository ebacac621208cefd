#include "settings.h"

struct RouteSums
{
  bool with_target;
  bool idempotent;
  bool priorities; /* there is more than one */
};

static struct RouteSums
sum_routes (const struct CfManifest *manifest)
{
  struct RouteSums sums = { 0 };
  const struct CfRouteEntry *first = NULL;

  for (guint i = 0; i < manifest->routes->len; i++)
    {
      const struct CfRouteEntry *route = &g_array_index (manifest->routes, struct CfRouteEntry, i);

      if (route->removed)
        continue;
      first = first ? first : route;
      sums.with_target |= route->target_latency_ms > 0;
      sums.idempotent |= route->idempotent;
      sums.priorities |= route->priority != first->priority;
    }
  return sums;
}

static void
check_with_manifest (const char *file,
                     const struct CfOverloadSettings *values,
                     const struct CfManifest *manifest,
                     struct CfFindings *findings)
{
  struct RouteSums sums = sum_routes (manifest);

  if (values->admission.enabled && !sums.with_target)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "overload-without-target", file,
                     "[overload] enabled",
                     "is true while no route has target-latency-ms above 0: no flow is held or "
                     "refused");
  if (values->admission.enabled && values->admission.floor_share == 0 && sums.priorities)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "floor-zero", file, "[overload] floor-share",
                     "is 0 while routes have several priorities: the lower ones may get nothing "
                     "during overload");
  if (values->extra_openings > 0 && !sums.idempotent)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "extra-without-route", file,
                     "[slow-answers] extra-openings",
                     "is %g while the kind of no route is idempotent or download: there are no "
                     "extra openings",
                     values->extra_openings);
}

void
cf_check_overload (const char *file,
                   const struct CfOverloadSettings *values,
                   const struct CfManifest *manifest,
                   struct CfFindings *findings)
{
  if (!values->admission.enabled && values->has_other_keys)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "overload-disabled", file, "[overload] enabled",
                     "is false: the other keys of [overload] have no effect");
  if (values->admission.enabled
      && values->admission.floor_share + values->admission.retry_share > 1)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "shares-above-one", file,
                     "[overload] floor-share",
                     "%g and [overload] retry-share %g are above 1 together: no capacity is left "
                     "for first attempts of the highest priority",
                     values->admission.floor_share, values->admission.retry_share);
  if (values->admission.enabled && values->admission.retry_share == 0 && values->extra_openings > 0)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "extra-without-retries", file,
                     "[slow-answers] extra-openings",
                     "is %g while [overload] retry-share is 0: requests are opened twice but not "
                     "retried",
                     values->extra_openings);
  if (manifest)
    check_with_manifest (file, values, manifest, findings);
}
