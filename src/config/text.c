#include "build.h"

#include <stdlib.h>
#include <string.h>

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

char *
cf_config_canonical (GKeyFile *file)
{
  GString *text = g_string_new (NULL);
  gsize group_count;
  char **groups = g_key_file_get_groups (file, &group_count);

  qsort (groups, group_count, sizeof *groups, compare_names);
  for (gsize i = 0; i < group_count; i++)
    {
      gsize key_count;
      char **keys = g_key_file_get_keys (file, groups[i], &key_count, NULL);

      qsort (keys, key_count, sizeof *keys, compare_names);
      g_string_append_printf (text, "[%s]\n", groups[i]);
      for (gsize j = 0; j < key_count; j++)
        {
          char *value = g_key_file_get_value (file, groups[i], keys[j], NULL);

          g_string_append_printf (text, "%s=%s\n", keys[j], value);
          g_free (value);
        }
      g_strfreev (keys);
    }
  g_strfreev (groups);
  return g_string_free (text, FALSE);
}

GKeyFile *
cf_config_key_file (const char *text)
{
  GKeyFile *file = g_key_file_new ();

  g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, NULL);
  return file;
}

struct CfConfig *
cf_config_parse (const char *text, struct CfError *error)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  GKeyFile *file = g_key_file_new ();
  struct CfConfig *config = NULL;
  GError *parse_error = NULL;

  if (!g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, &parse_error))
    {
      cf_error_set (error, CF_ERROR_INPUT, "configuration: %s", parse_error->message);
      g_error_free (parse_error);
    }
  else
    {
      config = cf_config_build (file, NULL, true, faults);
      if (!config)
        cf_error_set (error, CF_ERROR_INPUT, "%s", (const char *) faults->pdata[0]);
    }
  g_key_file_unref (file);
  g_ptr_array_unref (faults);
  return config;
}

struct CfConfig *
cf_config_from_key_file (GKeyFile *file)
{
  char *text = cf_config_canonical (file);
  struct CfError error = { 0 };
  struct CfConfig *config = cf_config_parse (text, &error);

  if (!config)
    g_error ("a derived configuration is not valid: %s", error.text);
  g_free (text);
  g_key_file_unref (file);
  return config;
}
