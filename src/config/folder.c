#include "folder.h"
#include "build.h"
#include "locations.h"

#include <string.h>

#define FILE_SUFFIX ".conf"

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

/* Returns the names of the configuration files in DIR, sorted. */
static GPtrArray *
list_files (const char *dir, GPtrArray *faults)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GError *error = NULL;
  GDir *handle = g_dir_open (dir, 0, &error);
  const char *name;

  if (!handle)
    {
      g_ptr_array_add (faults, g_strdup_printf ("%s: %s", dir, error->message));
      g_error_free (error);
      return names;
    }
  while ((name = g_dir_read_name (handle)))
    if (g_str_has_suffix (name, FILE_SUFFIX))
      g_ptr_array_add (names, g_strdup (name));
  g_dir_close (handle);
  g_ptr_array_sort (names, compare_names);
  if (names->len == 0)
    g_ptr_array_add (faults, g_strdup_printf ("%s: the folder has no file *%s", dir, FILE_SUFFIX));
  return names;
}

static void
merge_key_file (GKeyFile *into, GKeyFile *from)
{
  char **groups = g_key_file_get_groups (from, NULL);

  for (int i = 0; groups[i]; i++)
    {
      char **keys = g_key_file_get_keys (from, groups[i], NULL, NULL);

      /* Keep a group without keys, so that it is checked too. */
      if (keys && !keys[0] && !g_key_file_has_group (into, groups[i]))
        {
          g_key_file_set_value (into, groups[i], "x", "");
          g_key_file_remove_key (into, groups[i], "x", NULL);
        }
      for (int j = 0; keys && keys[j]; j++)
        {
          char *value = g_key_file_get_value (from, groups[i], keys[j], NULL);

          g_key_file_set_value (into, groups[i], keys[j], value);
          g_free (value);
        }
      g_strfreev (keys);
    }
  g_strfreev (groups);
}

/* Appends the locations in TEXT, the contents of file NAME, to FILES. */
static void
append_file (GPtrArray *files, const char *name, const char *text)
{
  GHashTable *locations = cf_locations_new ();
  GPtrArray *repeated = g_ptr_array_new_with_free_func (g_free);

  cf_locations_scan (locations, name, text, repeated);
  g_ptr_array_add (files, locations);
  g_ptr_array_unref (repeated);
}

static void
merge_file (GKeyFile *merged,
            GHashTable *locations,
            const char *dir,
            const char *name,
            GPtrArray *faults,
            GPtrArray *files)
{
  char *path = g_build_filename (dir, name, NULL);
  GKeyFile *file = g_key_file_new ();
  GError *error = NULL;
  char *text = NULL;
  gsize len = 0;
  bool read = g_file_get_contents (path, &text, &len, &error);
  bool valid = read && g_utf8_validate (text, (gssize) len, NULL);

  if (read && !valid)
    g_ptr_array_add (faults, g_strdup_printf ("%s: the file is not valid UTF-8", name));
  else if (!read || !g_key_file_load_from_data (file, text, len, G_KEY_FILE_NONE, &error))
    g_ptr_array_add (faults, g_strdup_printf ("%s: %s", name, error->message));
  else
    {
      if (files)
        append_file (files, name, text);
      cf_locations_scan (locations, name, text, faults);
      merge_key_file (merged, file);
    }
  g_clear_error (&error);
  g_free (text);
  g_key_file_unref (file);
  g_free (path);
}

struct CfConfig *
cf_config_read_folder (const char *dir, GPtrArray *faults)
{
  return cf_config_read_folder_files (dir, faults, NULL);
}

struct CfConfig *
cf_config_read_folder_files (const char *dir, GPtrArray *faults, GPtrArray *files)
{
  GHashTable *locations = cf_locations_new ();
  GKeyFile *merged = g_key_file_new ();
  GPtrArray *names = list_files (dir, faults);
  struct CfConfig *config = NULL;
  GPtrArray *build_faults = g_ptr_array_new ();

  for (guint i = 0; i < names->len; i++)
    merge_file (merged, locations, dir, names->pdata[i], faults, files);
  /* Without any file a build would only add misleading faults. */
  if (names->len > 0)
    config = cf_config_build (merged, locations, false, build_faults);
  g_ptr_array_extend_and_steal (faults, build_faults);
  if (faults->len > 0)
    g_clear_pointer (&config, cf_config_unref);
  g_ptr_array_unref (names);
  g_key_file_unref (merged);
  g_hash_table_destroy (locations);
  return config;
}
