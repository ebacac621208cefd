#include "routes.h"

#define FLOW_IDLE_DEFAULT_MS 15000 /* until a manifest sets it */

struct CfRoutes
{
  uint64_t version;
  CfMillis flow_idle_ms;
  GHashTable *by_address; /* struct CfEndpoint to struct CfRouteEntry, owned */
  GHashTable *services;   /* GQuark to struct CfServiceTraits, owned */
};

static guint
hash_endpoint (gconstpointer key)
{
  return cf_endpoint_hash (*(const struct CfEndpoint *) key);
}

static gboolean
same_endpoint (gconstpointer a, gconstpointer b)
{
  return cf_endpoint_equal (*(const struct CfEndpoint *) a, *(const struct CfEndpoint *) b);
}

struct CfManifest *
cf_manifest_new (void)
{
  struct CfManifest *manifest = g_new0 (struct CfManifest, 1);

  manifest->routes = g_array_new (FALSE, TRUE, sizeof (struct CfRouteEntry));
  manifest->services = g_array_new (FALSE, TRUE, sizeof (struct CfServiceTraits));
  return manifest;
}

void
cf_manifest_free (struct CfManifest *manifest)
{
  if (!manifest)
    return;
  g_array_unref (manifest->routes);
  g_array_unref (manifest->services);
  g_free (manifest);
}

struct CfRoutes *
cf_routes_new (void)
{
  struct CfRoutes *routes = g_new0 (struct CfRoutes, 1);

  routes->flow_idle_ms = FLOW_IDLE_DEFAULT_MS;
  routes->by_address = g_hash_table_new_full (hash_endpoint, same_endpoint, NULL, g_free);
  routes->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return routes;
}

void
cf_routes_free (struct CfRoutes *routes)
{
  g_hash_table_unref (routes->by_address);
  g_hash_table_unref (routes->services);
  g_free (routes);
}

bool
cf_routes_apply (struct CfRoutes *routes, const struct CfManifest *manifest)
{
  GHashTableIter iter;
  gpointer value;

  if (manifest->version <= routes->version)
    return false;
  routes->version = manifest->version;
  if (manifest->flow_idle_ms > 0)
    routes->flow_idle_ms = manifest->flow_idle_ms;
  /* Removed routes are kept, to distinguish an address that is no longer served from one that
   * this VM does not know yet. */
  g_hash_table_iter_init (&iter, routes->by_address);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct CfRouteEntry *) value)->removed = true;
  for (guint i = 0; i < manifest->routes->len; i++)
    {
      struct CfRouteEntry *route = g_memdup2 (
          &g_array_index (manifest->routes, struct CfRouteEntry, i), sizeof (struct CfRouteEntry));

      g_hash_table_replace (routes->by_address, &route->address, route);
    }
  g_hash_table_remove_all (routes->services);
  for (guint i = 0; i < manifest->services->len; i++)
    {
      struct CfServiceTraits *traits
          = g_memdup2 (&g_array_index (manifest->services, struct CfServiceTraits, i),
                       sizeof (struct CfServiceTraits));

      g_hash_table_insert (routes->services, GUINT_TO_POINTER (traits->name), traits);
    }
  return true;
}

uint64_t
cf_routes_version (const struct CfRoutes *routes)
{
  return routes->version;
}

CfMillis
cf_routes_flow_idle (const struct CfRoutes *routes)
{
  return routes->flow_idle_ms;
}

const struct CfRouteEntry *
cf_routes_find (const struct CfRoutes *routes, struct CfEndpoint address)
{
  return g_hash_table_lookup (routes->by_address, &address);
}

const struct CfServiceTraits *
cf_routes_service (const struct CfRoutes *routes, GQuark service)
{
  return g_hash_table_lookup (routes->services, GUINT_TO_POINTER (service));
}

GQuark
cf_route_service (const struct CfRouteEntry *route, struct CfEndpoint caller)
{
  return cf_route_service_of_hash (route, cf_endpoint_hash (caller));
}

GQuark
cf_route_service_of_hash (const struct CfRouteEntry *route, uint32_t hash)
{
  uint64_t total = 0;
  uint64_t point;

  for (uint32_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (total == 0)
    return 0;
  point = hash % total;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      if (point < route->splits[i].weight)
        return route->splits[i].service;
      point -= route->splits[i].weight;
    }
  return 0;
}
