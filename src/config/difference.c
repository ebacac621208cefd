#include "difference.h"
#include "text.h"

#include <string.h>

#define REMOVED_GROUP "removed"
#define REMOVED_KEY "groups"

static char *
group_text (GKeyFile *file, const char *group)
{
  GString *text = g_string_new (NULL);
  char **keys = g_key_file_get_keys (file, group, NULL, NULL);

  for (int i = 0; keys && keys[i]; i++)
    {
      char *value = g_key_file_get_value (file, group, keys[i], NULL);

      g_string_append_printf (text, "%s=%s\n", keys[i], value);
      g_free (value);
    }
  g_strfreev (keys);
  return g_string_free (text, FALSE);
}

static void
copy_group (GKeyFile *into, GKeyFile *from, const char *group)
{
  char **keys = g_key_file_get_keys (from, group, NULL, NULL);

  g_key_file_remove_group (into, group, NULL);
  for (int i = 0; keys && keys[i]; i++)
    {
      char *value = g_key_file_get_value (from, group, keys[i], NULL);

      g_key_file_set_value (into, group, keys[i], value);
      g_free (value);
    }
  g_strfreev (keys);
}

static bool
same_group (GKeyFile *a, GKeyFile *b, const char *group)
{
  char *left = group_text (a, group);
  char *right = group_text (b, group);
  bool same = strcmp (left, right) == 0;

  g_free (left);
  g_free (right);
  return same;
}

char *
cf_difference_make (const struct CfConfig *from, const struct CfConfig *to)
{
  GKeyFile *old = cf_config_key_file (from->text);
  GKeyFile *new = cf_config_key_file (to->text);
  GKeyFile *result = g_key_file_new ();
  GPtrArray *removed = g_ptr_array_new ();
  char **new_groups = g_key_file_get_groups (new, NULL);
  char **old_groups = g_key_file_get_groups (old, NULL);
  char *text;

  for (int i = 0; new_groups[i]; i++)
    if (!g_key_file_has_group (old, new_groups[i]) || !same_group (old, new, new_groups[i]))
      copy_group (result, new, new_groups[i]);
  for (int i = 0; old_groups[i]; i++)
    if (!g_key_file_has_group (new, old_groups[i]))
      g_ptr_array_add (removed, old_groups[i]);
  if (removed->len)
    g_key_file_set_string_list (result, REMOVED_GROUP, REMOVED_KEY,
                                (const char *const *) removed->pdata, removed->len);
  text = cf_config_canonical (result);
  g_ptr_array_unref (removed);
  g_strfreev (new_groups);
  g_strfreev (old_groups);
  g_key_file_unref (old);
  g_key_file_unref (new);
  g_key_file_unref (result);
  return text;
}

char *
cf_difference_apply (const struct CfConfig *from, const char *difference)
{
  GKeyFile *file;
  GKeyFile *changes = g_key_file_new ();
  char **groups;
  char **removed;
  char *text;

  if (!g_key_file_load_from_data (changes, difference, strlen (difference), G_KEY_FILE_NONE, NULL))
    {
      g_key_file_unref (changes);
      return NULL;
    }
  file = cf_config_key_file (from->text);
  removed = g_key_file_get_string_list (changes, REMOVED_GROUP, REMOVED_KEY, NULL, NULL);
  for (int i = 0; removed && removed[i]; i++)
    g_key_file_remove_group (file, removed[i], NULL);
  g_key_file_remove_group (changes, REMOVED_GROUP, NULL);
  groups = g_key_file_get_groups (changes, NULL);
  for (int i = 0; groups[i]; i++)
    copy_group (file, changes, groups[i]);
  text = cf_config_canonical (file);
  g_strfreev (removed);
  g_strfreev (groups);
  g_key_file_unref (changes);
  g_key_file_unref (file);
  return text;
}
