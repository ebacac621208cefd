#include "store.h"

#include <string.h>

#define FIRST_REVISION 10

struct Change
{
  enum CfFeedKind kind;
  char *name;
  char *content; /* NULL: deleted */
  uint64_t revision;
  CfMillis at;
};

struct TestStore
{
  GPtrArray *changes; /* of struct Change, in order */
  uint64_t revision;
  uint64_t compacted; /* changes up to it cannot be watched any more */
  uint64_t era;
};

static void
free_change (gpointer data)
{
  struct Change *change = data;

  g_free (change->name);
  g_free (change->content);
  g_free (change);
}

struct TestStore *
test_store_new (void)
{
  struct TestStore *store = g_new0 (struct TestStore, 1);

  store->changes = g_ptr_array_new_with_free_func (free_change);
  store->revision = FIRST_REVISION;
  store->era = 1;
  return store;
}

void
test_store_free (struct TestStore *store)
{
  g_ptr_array_unref (store->changes);
  g_free (store);
}

const char *
test_store_get (const struct TestStore *store, enum CfFeedKind kind, const char *name)
{
  for (guint i = store->changes->len; i > 0; i--)
    {
      const struct Change *change = store->changes->pdata[i - 1];

      if (change->kind == kind && strcmp (change->name, name) == 0)
        return change->content;
    }
  return NULL;
}

bool
test_store_put (struct TestStore *store,
                enum CfFeedKind kind,
                const char *name,
                const char *content,
                CfMillis at)
{
  struct Change *change;

  if (g_strcmp0 (test_store_get (store, kind, name), content) == 0)
    return false;
  change = g_new0 (struct Change, 1);
  *change = (struct Change){
    .kind = kind,
    .name = g_strdup (name),
    .content = g_strdup (content),
    .revision = ++store->revision,
    .at = at,
  };
  g_ptr_array_add (store->changes, change);
  return true;
}

static void
begin_response (const struct TestStore *store, struct CfFeedResponse *response)
{
  *response = (struct CfFeedResponse){
    .records = g_ptr_array_new_with_free_func (cf_record_free),
    .revision = store->revision,
    .era = store->era,
  };
}

static void
add_record (struct CfFeedResponse *response, const struct Change *change)
{
  g_ptr_array_add (response->records, cf_record_new (change->name, change->revision,
                                                     !change->content, change->content));
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct CfRecord *const *) a)->name, (*(struct CfRecord *const *) b)->name);
}

void
test_store_list (const struct TestStore *store,
                 enum CfFeedKind kind,
                 const char *after,
                 guint max,
                 struct CfFeedResponse *response)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  begin_response (store, response);
  for (guint i = store->changes->len; i > 0; i--)
    {
      const struct Change *change = store->changes->pdata[i - 1];

      if (change->kind == kind && g_hash_table_add (seen, change->name) && change->content
          && (!after || strcmp (change->name, after) > 0))
        add_record (response, change);
    }
  g_hash_table_unref (seen);
  g_ptr_array_sort (response->records, compare_names);
  response->truncated = response->records->len > max;
  if (response->truncated)
    g_ptr_array_set_size (response->records, (gint) max);
  if (response->records->len > 0)
    response->last = g_strdup (
        ((struct CfRecord *) response->records->pdata[response->records->len - 1])->name);
}

bool
test_store_watch (const struct TestStore *store,
                  enum CfFeedKind kind,
                  uint64_t revision,
                  struct CfFeedResponse *response)
{
  if (revision < store->compacted || revision > store->revision)
    {
      *response = (struct CfFeedResponse){ .era = store->era };
      return false;
    }
  begin_response (store, response);
  for (guint i = 0; i < store->changes->len; i++)
    {
      const struct Change *change = store->changes->pdata[i];

      if (change->kind == kind && change->revision > revision)
        add_record (response, change);
    }
  return true;
}

uint64_t
test_store_era (const struct TestStore *store)
{
  return store->era;
}

void
test_store_compact (struct TestStore *store)
{
  store->compacted = store->revision;
}

void
test_store_restore (struct TestStore *store, CfMillis since)
{
  guint kept = 0;

  while (kept < store->changes->len && ((struct Change *) store->changes->pdata[kept])->at <= since)
    store->revision = ((struct Change *) store->changes->pdata[kept++])->revision;
  if (kept == 0)
    store->revision = FIRST_REVISION;
  g_ptr_array_set_size (store->changes, (gint) kept);
  store->compacted = MIN (store->compacted, store->revision);
  store->era++;
}
