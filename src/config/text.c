#include "text.h"

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
