#include "manifest.h"
#include "platform/objects.h"

#include <string.h>

struct Reading
{
  const char *file;
  struct CfFindings *findings;
};

static void
add_fault (void *context, const char *key, const char *value, const char *allowed)
{
  const struct Reading *reading = context;

  cf_findings_add_fault (reading->findings, "not-allowed", reading->file, key, value, allowed);
}

struct CfManifest *
cf_check_manifest_read (const char *file, const char *text, size_t len, struct CfFindings *findings)
{
  struct Reading reading = { .file = file, .findings = findings };
  struct CfError error = { 0 };
  struct CfManifest *manifest;
  struct CfRecord *record;
  char *content;

  if (memchr (text, 0, len))
    {
      cf_findings_add (findings, CF_SEVERITY_ERROR, "unreadable", file, NULL,
                       "the file holds a NUL character");
      return NULL;
    }
  content = g_strndup (text, len);
  record = cf_record_new ("main", 0, false, content);
  manifest = cf_platform_check_manifest (record, add_fault, &reading, &error);
  if (!manifest)
    cf_findings_add (findings, CF_SEVERITY_ERROR, "unreadable", file, NULL, "%s", error.text);
  cf_record_free (record);
  g_free (content);
  return manifest;
}

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

GHashTable *
cf_check_routes_by_address (const struct CfManifest *manifest)
{
  GHashTable *routes = g_hash_table_new (hash_endpoint, same_endpoint);

  for (guint i = 0; i < manifest->routes->len; i++)
    {
      struct CfRouteEntry *route = &g_array_index (manifest->routes, struct CfRouteEntry, i);

      if (!route->removed)
        g_hash_table_replace (routes, &route->address, route);
    }
  return routes;
}

const char *
cf_check_format_endpoint (struct CfEndpoint address, char *text)
{
  g_snprintf (text, CF_CHECK_ENDPOINT_TEXT_MAX, "%u.%u.%u.%u:%u", address.ip >> 24,
              address.ip >> 16 & 255, address.ip >> 8 & 255, address.ip & 255, address.port);
  return text;
}
