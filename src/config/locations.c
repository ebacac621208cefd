#include "locations.h"

#include <string.h>

GHashTable *
cf_locations_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static char *
location_key (const char *group, const char *key)
{
  return g_strdup_printf ("%s\n%s", group, key ? key : "");
}

static void
record (GHashTable *locations,
        GHashTable *in_file,
        const char *where,
        const char *group,
        const char *key,
        GPtrArray *faults)
{
  char *id = location_key (group, key);

  g_hash_table_replace (locations, g_strdup (id), g_strdup (where));
  if (!g_hash_table_add (in_file, id))
    cf_locations_add_fault (locations, faults, group, key, "given twice in one file");
}

void
cf_locations_scan (GHashTable *locations, const char *name, const char *text, GPtrArray *faults)
{
  GHashTable *in_file = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char **lines = g_strsplit (text, "\n", -1);
  char *group = g_strdup ("");

  for (int i = 0; lines[i]; i++)
    {
      char *line = g_strstrip (lines[i]);
      char *where = g_strdup_printf ("%s:%d", name, i + 1);
      char *end;

      if (*line == '[' && (end = strchr (line, ']')))
        {
          g_free (group);
          group = g_strndup (line + 1, (gsize) (end - line - 1));
          record (locations, in_file, where, group, NULL, faults);
        }
      else if (*line && *line != '#' && (end = strchr (line, '=')))
        {
          *end = '\0';
          record (locations, in_file, where, group, g_strchomp (line), faults);
        }
      g_free (where);
    }
  g_free (group);
  g_strfreev (lines);
  g_hash_table_destroy (in_file);
}

void
cf_locations_add_fault (GHashTable *locations,
                        GPtrArray *faults,
                        const char *group,
                        const char *key,
                        const char *reason)
{
  char *id = location_key (group, key);
  const char *where = locations ? g_hash_table_lookup (locations, id) : NULL;

  g_free (id);
  if (locations && !where)
    {
      id = location_key (group, NULL);
      where = g_hash_table_lookup (locations, id);
      g_free (id);
    }
  if (!where)
    where = "configuration";
  if (key)
    g_ptr_array_add (faults, g_strdup_printf ("%s: [%s] %s: %s", where, group, key, reason));
  else
    g_ptr_array_add (faults, g_strdup_printf ("%s: [%s]: %s", where, group, reason));
}
