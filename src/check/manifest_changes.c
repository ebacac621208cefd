#include "manifest.h"

#include <inttypes.h>
#include <string.h>

struct Comparison
{
  const char *file;
  struct CfFindings *findings;
};

static int
compare_addresses (gconstpointer a, gconstpointer b)
{
  const struct CfEndpoint *left = *(const struct CfEndpoint *const *) a;
  const struct CfEndpoint *right = *(const struct CfEndpoint *const *) b;

  if (left->ip != right->ip)
    return left->ip < right->ip ? -1 : 1;
  return (left->port > right->port) - (left->port < right->port);
}

static int
compare_quarks (gconstpointer a, gconstpointer b)
{
  return strcmp (g_quark_to_string (GPOINTER_TO_UINT (*(gconstpointer *) a)),
                 g_quark_to_string (GPOINTER_TO_UINT (*(gconstpointer *) b)));
}

/* Returns the keys of A and B, each once, in the order of COMPARE. */
static GPtrArray *
merge_keys (GHashTable *a, GHashTable *b, GCompareFunc compare)
{
  GPtrArray *keys = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, a);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (keys, key);
  g_hash_table_iter_init (&iter, b);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (a, key))
      g_ptr_array_add (keys, key);
  g_ptr_array_sort (keys, compare);
  return keys;
}

/* Returns the services of ROUTE with their weights, "a 90, b 10".  The weight of a single service
 * does not matter unless it is 0. */
static char *
format_splits (const struct CfRouteEntry *route)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < route->split_count; i++)
    {
      g_string_append_printf (text, "%s%s", i > 0 ? ", " : "",
                              g_quark_to_string (route->splits[i].service));
      if (route->split_count > 1 || route->splits[i].weight == 0)
        g_string_append_printf (text, " %" PRIu32, route->splits[i].weight);
    }
  return g_string_free (text, FALSE);
}

static void
compare_numbers (const struct Comparison *comparison,
                 const char *element,
                 const char *field,
                 double old,
                 double value)
{
  char *key = g_strconcat (element, field, NULL);
  char *from = g_strdup_printf ("%.15g", old);
  char *to = g_strdup_printf ("%.15g", value);

  cf_findings_add_change (comparison->findings, comparison->file, key, from, to);
  g_free (key);
  g_free (from);
  g_free (to);
}

static bool
leads_to (const struct CfRouteEntry *route, GQuark service)
{
  for (uint32_t i = 0; i < route->split_count; i++)
    if (route->splits[i].service == service)
      return true;
  return false;
}

static void
compare_splits (const struct Comparison *comparison,
                const char *element,
                const struct CfRouteEntry *old,
                const struct CfRouteEntry *route)
{
  char *from = format_splits (old);
  char *to = format_splits (route);
  char *key = g_strconcat (element, "services", NULL);

  cf_findings_add_change (comparison->findings, comparison->file, key, from, to);
  if (strcmp (from, to) != 0)
    cf_findings_add (comparison->findings, CF_SEVERITY_CHANGE, "callers-moved", comparison->file,
                     key, "new flows of %.1f%% of the callers go to another service",
                     100 * cf_check_moved (old, route));
  /* As for packets with a cookie: a split of weight 0 keeps its open flows. */
  for (uint32_t i = 0; i < old->split_count; i++)
    if (!leads_to (route, old->splits[i].service))
      cf_findings_add (comparison->findings, CF_SEVERITY_CHANGE, "flows-dropped", comparison->file,
                       key, "open flows to %s are dropped",
                       g_quark_to_string (old->splits[i].service));
  g_free (key);
  g_free (from);
  g_free (to);
}

static void
compare_route (const struct Comparison *comparison,
               const struct CfRouteEntry *old,
               const struct CfRouteEntry *route)
{
  char address[CF_CHECK_ENDPOINT_TEXT_MAX];
  char *key = g_strdup_printf ("route %s",
                               cf_check_format_endpoint ((route ? route : old)->address, address));
  char *from = old ? format_splits (old) : NULL;
  char *to = route ? format_splits (route) : NULL;
  char *element = g_strconcat (key, " ", NULL);

  if (!old || !route)
    cf_findings_add_change (comparison->findings, comparison->file, key, from, to);
  if (!route)
    cf_findings_add (comparison->findings, CF_SEVERITY_CHANGE, "flows-dropped", comparison->file,
                     key, "open flows of the route are reset");
  if (old && route)
    {
      compare_splits (comparison, element, old, route);
      compare_numbers (comparison, element, "priority", old->priority, route->priority);
      compare_numbers (comparison, element, "target-latency-ms", (double) old->target_latency_ms,
                       (double) route->target_latency_ms);
      compare_numbers (comparison, element, "timeout-ms", (double) old->timeout_ms,
                       (double) route->timeout_ms);
      compare_numbers (comparison, element, "idempotent", old->idempotent, route->idempotent);
    }
  g_free (element);
  g_free (from);
  g_free (to);
  g_free (key);
}

static void
compare_routes (const struct Comparison *comparison,
                const struct CfManifest *in_force,
                const struct CfManifest *manifest)
{
  GHashTable *old = cf_check_routes_by_address (in_force);
  GHashTable *new = cf_check_routes_by_address (manifest);
  GPtrArray *addresses = merge_keys (old, new, compare_addresses);

  for (guint i = 0; i < addresses->len; i++)
    compare_route (comparison, g_hash_table_lookup (old, addresses->pdata[i]),
                   g_hash_table_lookup (new, addresses->pdata[i]));
  g_ptr_array_unref (addresses);
  g_hash_table_unref (old);
  g_hash_table_unref (new);
}

static void
compare_service (const struct Comparison *comparison,
                 GQuark name,
                 const struct CfServiceTraits *old,
                 const struct CfServiceTraits *traits)
{
  char *key = g_strdup_printf ("service %s", g_quark_to_string (name));
  char *element = g_strconcat (key, " ", NULL);

  if (!old || !traits)
    cf_findings_add_change (comparison->findings, comparison->file, key,
                            old ? g_quark_to_string (name) : NULL,
                            traits ? g_quark_to_string (name) : NULL);
  else
    {
      compare_numbers (comparison, element, "warmup-s", (double) old->cold_ms / CF_MS_PER_S,
                       (double) traits->cold_ms / CF_MS_PER_S);
      compare_numbers (comparison, element, "warmup-per-s", old->cold_per_s, traits->cold_per_s);
    }
  g_free (element);
  g_free (key);
}

static GHashTable *
services_by_name (const struct CfManifest *manifest)
{
  GHashTable *services = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < manifest->services->len; i++)
    {
      struct CfServiceTraits *traits
          = &g_array_index (manifest->services, struct CfServiceTraits, i);

      if (traits->name != 0)
        g_hash_table_insert (services, GUINT_TO_POINTER (traits->name), traits);
    }
  return services;
}

static void
compare_services (const struct Comparison *comparison,
                  const struct CfManifest *in_force,
                  const struct CfManifest *manifest)
{
  GHashTable *old = services_by_name (in_force);
  GHashTable *new = services_by_name (manifest);
  GPtrArray *names = merge_keys (old, new, compare_quarks);

  for (guint i = 0; i < names->len; i++)
    compare_service (comparison, GPOINTER_TO_UINT (names->pdata[i]),
                     g_hash_table_lookup (old, names->pdata[i]),
                     g_hash_table_lookup (new, names->pdata[i]));
  g_ptr_array_unref (names);
  g_hash_table_unref (old);
  g_hash_table_unref (new);
}

static void
compare_limits (const struct Comparison *comparison,
                const struct CfManifest *in_force,
                const struct CfManifest *manifest)
{
  compare_numbers (comparison, "limits.", "idle-timeout-ms", (double) in_force->flow_idle_ms,
                   (double) manifest->flow_idle_ms);
  if (manifest->flow_idle_ms == 0 && in_force->flow_idle_ms > 0)
    cf_findings_add (comparison->findings, CF_SEVERITY_CHANGE, "limit-kept", comparison->file,
                     "limits.idle-timeout-ms",
                     "running VMs keep %" PRId64 ", others begin with their default",
                     in_force->flow_idle_ms);
}

static void
compare_versions (const struct Comparison *comparison,
                  const struct CfManifest *in_force,
                  const struct CfManifest *manifest,
                  bool changed)
{
  char *from = g_strdup_printf ("%" PRIu64, in_force->version);
  char *to = g_strdup_printf ("%" PRIu64, manifest->version);

  cf_findings_add_change (comparison->findings, comparison->file, "version", from, to);
  if (manifest->version < in_force->version || (changed && manifest->version == in_force->version))
    cf_findings_add (comparison->findings, CF_SEVERITY_WARNING, "version-not-higher",
                     comparison->file, "version",
                     "%s is not higher than %s, which is in force: the manifest is ignored", to,
                     from);
  g_free (from);
  g_free (to);
}

void
cf_check_manifest_changes (const char *file,
                           const struct CfManifest *in_force,
                           const struct CfManifest *manifest,
                           struct CfFindings *findings)
{
  struct Comparison comparison = { .file = file, .findings = findings };
  guint before = findings->counts[CF_SEVERITY_CHANGE];

  compare_limits (&comparison, in_force, manifest);
  compare_routes (&comparison, in_force, manifest);
  compare_services (&comparison, in_force, manifest);
  compare_versions (&comparison, in_force, manifest, findings->counts[CF_SEVERITY_CHANGE] > before);
}
