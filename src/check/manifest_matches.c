#include "manifest.h"

#define KEY_MAX 80 /* bytes; "routes[N].weighted-services[N].weight" with numbers of ten digits */

struct Matching
{
  const char *file;
  const struct CfManifest *manifest;
  struct CfFindings *findings;
  GHashTable *by_address; /* routes in effect */
  GHashTable *listed;     /* GQuark to index + 1 of the last service of that name */
  GHashTable *used;       /* GQuarks of services to which a route in effect sends flows */
  GHashTable *named;      /* GQuarks of services that a route names */
};

static const struct CfRouteEntry *
get_route (const struct Matching *matching, guint index)
{
  return &g_array_index (matching->manifest->routes, struct CfRouteEntry, index);
}

static const char *
service_name (GQuark service)
{
  return g_quark_to_string (service);
}

static void
check_weights (struct Matching *matching, const struct CfRouteEntry *route, guint index)
{
  uint64_t total = 0;
  char key[KEY_MAX];

  for (uint32_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (total == 0)
    {
      g_snprintf (key, sizeof key, "routes[%u].weighted-services", index);
      cf_findings_add (matching->findings, CF_SEVERITY_WARNING, "route-without-weight",
                       matching->file, key,
                       "all weights are 0: every new flow of the route is refused");
      return;
    }
  for (uint32_t i = 0; i < route->split_count; i++)
    if (route->splits[i].weight == 0)
      {
        g_snprintf (key, sizeof key, "routes[%u].weighted-services[%u].weight", index, i);
        cf_findings_add (matching->findings, CF_SEVERITY_WARNING, "split-without-weight",
                         matching->file, key, "is 0: %s gets no new flow of the route",
                         service_name (route->splits[i].service));
      }
}

/* Returns true if ROUTE is in effect, otherwise a later one has its address. */
static bool
check_address (struct Matching *matching, const struct CfRouteEntry *route, guint index)
{
  const struct CfRouteEntry *winner = g_hash_table_lookup (matching->by_address, &route->address);
  char key[KEY_MAX];
  char address[CF_CHECK_ENDPOINT_TEXT_MAX];

  if (winner == route)
    return true;
  g_snprintf (key, sizeof key, "routes[%u]", index);
  cf_findings_add (matching->findings, CF_SEVERITY_WARNING, "route-shadowed", matching->file, key,
                   "never matches: routes[%u] has the same address %s and wins",
                   (guint) (winner - get_route (matching, 0)),
                   cf_check_format_endpoint (route->address, address));
  return false;
}

static void
check_services_of_route (struct Matching *matching,
                         const struct CfRouteEntry *route,
                         guint index,
                         bool in_effect)
{
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      gpointer service = GUINT_TO_POINTER (route->splits[i].service);
      char key[KEY_MAX];

      if (in_effect && route->splits[i].weight > 0)
        g_hash_table_add (matching->used, service);
      if (!g_hash_table_add (matching->named, service)
          || g_hash_table_contains (matching->listed, service))
        continue;
      g_snprintf (key, sizeof key, "routes[%u]", index);
      cf_findings_add (matching->findings, CF_SEVERITY_WARNING, "service-not-listed",
                       matching->file, key, "%s is not in services",
                       service_name (route->splits[i].service));
    }
}

static void
check_routes (struct Matching *matching)
{
  for (guint i = 0; i < matching->manifest->routes->len; i++)
    {
      const struct CfRouteEntry *route = get_route (matching, i);
      bool in_effect;

      if (route->removed)
        continue;
      in_effect = check_address (matching, route, i);
      check_weights (matching, route, i);
      check_services_of_route (matching, route, i, in_effect);
    }
}

static void
check_services (struct Matching *matching)
{
  const GArray *services = matching->manifest->services;

  for (guint i = 0; i < services->len; i++)
    {
      gpointer name = GUINT_TO_POINTER (g_array_index (services, struct CfServiceTraits, i).name);
      guint last = GPOINTER_TO_UINT (g_hash_table_lookup (matching->listed, name));
      char key[KEY_MAX];

      if (!name)
        continue;
      g_snprintf (key, sizeof key, "services[%u]", i);
      if (last != i + 1)
        cf_findings_add (matching->findings, CF_SEVERITY_WARNING, "service-shadowed",
                         matching->file, key, "has no effect: services[%u] is %s, too, and wins",
                         last - 1, service_name (GPOINTER_TO_UINT (name)));
      else if (!g_hash_table_contains (matching->used, name))
        cf_findings_add (matching->findings, CF_SEVERITY_WARNING, "service-without-route",
                         matching->file, key, "no route sends flows to %s",
                         service_name (GPOINTER_TO_UINT (name)));
    }
}

void
cf_check_manifest_matches (const char *file,
                           const struct CfManifest *manifest,
                           struct CfFindings *findings)
{
  struct Matching matching = {
    .file = file,
    .manifest = manifest,
    .findings = findings,
    .by_address = cf_check_routes_by_address (manifest),
    .listed = g_hash_table_new (NULL, NULL),
    .used = g_hash_table_new (NULL, NULL),
    .named = g_hash_table_new (NULL, NULL),
  };

  for (guint i = 0; i < manifest->services->len; i++)
    g_hash_table_insert (
        matching.listed,
        GUINT_TO_POINTER (g_array_index (manifest->services, struct CfServiceTraits, i).name),
        GUINT_TO_POINTER (i + 1));
  check_routes (&matching);
  check_services (&matching);
  g_hash_table_unref (matching.by_address);
  g_hash_table_unref (matching.listed);
  g_hash_table_unref (matching.used);
  g_hash_table_unref (matching.named);
}
