#include "folder.h"

#include <string.h>

/* The keys of one group in one file. */
struct Group
{
  guint keys;
  guint overridden;
};

/* Returns the location in the last of FILES after INDEX that sets ID, or NULL. */
static const char *
find_later (const GPtrArray *files, guint index, const char *id)
{
  for (guint i = files->len; i > index + 1; i--)
    {
      const char *where = g_hash_table_lookup (files->pdata[i - 1], id);

      if (where)
        return where;
    }
  return NULL;
}

static char *
group_of (const char *id)
{
  return g_strndup (id, strcspn (id, "\n"));
}

static const char *
key_of (const char *id)
{
  const char *end = strchr (id, '\n');

  return end ? end + 1 : "";
}

static int
compare_ids (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

/* Returns the keys of TABLE, sorted. */
static GPtrArray *
sorted_ids (GHashTable *table)
{
  GPtrArray *ids = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer id;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    g_ptr_array_add (ids, id);
  g_ptr_array_sort (ids, compare_ids);
  return ids;
}

/* Returns the groups of file INDEX: name to struct Group. */
static GHashTable *
count_keys (const GPtrArray *files, guint index, const GPtrArray *ids)
{
  GHashTable *groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (guint i = 0; i < ids->len; i++)
    {
      char *name = group_of (ids->pdata[i]);
      struct Group *group = g_hash_table_lookup (groups, name);

      if (!group)
        {
          group = g_new0 (struct Group, 1);
          g_hash_table_insert (groups, g_strdup (name), group);
        }
      if (*key_of (ids->pdata[i]))
        {
          group->keys++;
          group->overridden += find_later (files, index, ids->pdata[i]) != NULL;
        }
      g_free (name);
    }
  return groups;
}

static void
report (struct CfFindings *findings, const char *where, const char *id, const char *later)
{
  char *group = group_of (id);
  const char *key = key_of (id);
  char *name = *key ? g_strdup_printf ("[%s] %s", group, key) : g_strdup_printf ("[%s]", group);

  if (*key)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "key-overridden", where, name,
                     "has no effect: %s sets it again", later);
  else
    cf_findings_add (findings, CF_SEVERITY_WARNING, "group-overridden", where, name,
                     "has no effect: later files set each of its keys again");
  g_free (name);
  g_free (group);
}

static void
check_file (const GPtrArray *files, guint index, struct CfFindings *findings)
{
  GHashTable *file = files->pdata[index];
  GPtrArray *ids = sorted_ids (file);
  GHashTable *groups = count_keys (files, index, ids);

  for (guint i = 0; i < ids->len; i++)
    {
      const char *id = ids->pdata[i];
      char *name = group_of (id);
      const struct Group *group = g_hash_table_lookup (groups, name);
      bool whole = group->keys > 0 && group->overridden == group->keys;
      const char *later = find_later (files, index, id);

      if (*key_of (id) ? later && !whole : whole)
        report (findings, g_hash_table_lookup (file, id), id, later);
      g_free (name);
    }
  g_hash_table_unref (groups);
  g_ptr_array_unref (ids);
}

void
cf_check_overrides (const GPtrArray *files, struct CfFindings *findings)
{
  for (guint i = 0; i < files->len; i++)
    check_file (files, i, findings);
}
