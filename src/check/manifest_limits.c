#include "manifest.h"

#include <inttypes.h>

#define KEY_MAX 40 /* bytes; "routes[N].timeout-ms" with a number of ten digits */

static void
check_route (const char *file,
             const struct CfManifest *manifest,
             guint index,
             struct CfFindings *findings)
{
  const struct CfRouteEntry *route = &g_array_index (manifest->routes, struct CfRouteEntry, index);
  char key[KEY_MAX];

  /* Values of 0 are not stated. */
  if (route->removed || route->timeout_ms == 0)
    return;
  g_snprintf (key, sizeof key, "routes[%u].timeout-ms", index);
  if (route->timeout_ms < route->target_latency_ms)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "timeout-below-target", file, key,
                     "%" PRId64 " is below routes[%u].target-latency-ms %" PRId64
                     ": callers give up before the answer is late",
                     route->timeout_ms, index, route->target_latency_ms);
  if (manifest->flow_idle_ms > 0 && manifest->flow_idle_ms < route->timeout_ms)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "idle-below-timeout", file,
                     "limits.idle-timeout-ms",
                     "%" PRId64 " is below routes[%u].timeout-ms %" PRId64
                     ": a flow may be forgotten while its caller waits",
                     manifest->flow_idle_ms, index, route->timeout_ms);
}

static void
check_service (const char *file,
               const struct CfManifest *manifest,
               guint index,
               struct CfFindings *findings)
{
  const struct CfServiceTraits *traits
      = &g_array_index (manifest->services, struct CfServiceTraits, index);
  char key[KEY_MAX];

  if (traits->name == 0 || traits->cold_ms == 0 || traits->cold_per_s > 0)
    return;
  g_snprintf (key, sizeof key, "services[%u].warmup-per-s", index);
  cf_findings_add (
      findings, CF_SEVERITY_WARNING, "cold-without-capacity", file, key,
      "is 0 or missing while services[%u].warmup-s is %g: cold upstreams of %s have no "
      "capacity",
      index, (double) traits->cold_ms / CF_MS_PER_S, g_quark_to_string (traits->name));
}

void
cf_check_manifest_limits (const char *file,
                          const struct CfManifest *manifest,
                          struct CfFindings *findings)
{
  for (guint i = 0; i < manifest->routes->len; i++)
    check_route (file, manifest, i, findings);
  for (guint i = 0; i < manifest->services->len; i++)
    check_service (file, manifest, i, findings);
}
