#include "replica.h"

void
cf_replica_init (struct CfReplica *replica)
{
  replica->generation = 0;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      replica->records[kind]
          = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cf_record_free);
      replica->revision[kind] = 0;
      replica->changed[kind] = 0;
      replica->complete[kind] = 0;
    }
}

void
cf_replica_clear (struct CfReplica *replica)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_clear_pointer (&replica->records[kind], g_hash_table_unref);
}

/* Keeps what RECORD says if it is changes.  Returns the copy then, else NULL. */
static struct CfRecord *
apply_record (GHashTable *records, const struct CfRecord *record)
{
  struct CfRecord *known = g_hash_table_lookup (records, record->name);

  if (!known && record->deleted)
    return NULL;
  if (!known)
    {
      known = cf_record_new (record->name, 0, true, NULL);
      g_hash_table_insert (records, known->name, known);
    }
  else if (record->revision < known->revision
           || (record->revision == known->revision && record->deleted == known->deleted))
    return NULL;
  /* In place: an answer may tell of one record several times, and all that was said to be
   * changes stays valid. */
  known->revision = record->revision;
  known->deleted = record->deleted;
  g_free (known->text);
  known->text = g_strdup (record->text);
  return known;
}

static GPtrArray *
apply_records (GHashTable *records, GPtrArray *incoming)
{
  GPtrArray *changes = g_ptr_array_new ();
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < incoming->len; i++)
    {
      struct CfRecord *record = apply_record (records, incoming->pdata[i]);

      if (record && g_hash_table_add (seen, record))
        g_ptr_array_add (changes, record);
    }
  g_hash_table_unref (seen);
  return changes;
}

/* Deletes the records that LISTED does not have and that are older than REVISION. */
static void
delete_unlisted (GHashTable *records, GPtrArray *listed, uint64_t revision, GPtrArray *changes)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < listed->len; i++)
    g_hash_table_add (names, ((struct CfRecord *) listed->pdata[i])->name);
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct CfRecord *record = value;

      if (record->deleted || record->revision > revision
          || g_hash_table_contains (names, record->name))
        continue;
      record->deleted = true;
      record->revision = revision;
      g_clear_pointer (&record->text, g_free);
      g_ptr_array_add (changes, record);
    }
  g_hash_table_unref (names);
}

/* Forgets the deleted records of KIND if there are too many: followers that have not heard of them
 * are incoming all records from then on. */
static void
prune_deleted (struct CfReplica *replica, enum CfFeedKind kind)
{
  GHashTable *records = replica->records[kind];
  GHashTableIter iter;
  gpointer value;

  if (g_hash_table_size (records) - cf_replica_count (replica, kind) <= CF_REPLICA_DELETED_MAX)
    return;
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct CfRecord *) value)->deleted)
      g_hash_table_iter_remove (&iter);
  replica->complete[kind] = replica->revision[kind];
}

GPtrArray *
cf_replica_apply (struct CfReplica *replica,
                  enum CfFeedKind kind,
                  GPtrArray *records,
                  uint64_t revision,
                  bool whole)
{
  GPtrArray *changes;

  if (whole && revision < replica->revision[kind])
    return g_ptr_array_new ();
  replica->generation++;
  prune_deleted (replica, kind);
  changes = apply_records (replica->records[kind], records);
  if (whole)
    delete_unlisted (replica->records[kind], records, revision, changes);
  if (whole && replica->complete[kind] == 0)
    replica->complete[kind] = revision;
  replica->revision[kind] = MAX (replica->revision[kind], revision);
  for (guint i = 0; i < changes->len; i++)
    ((struct CfRecord *) changes->pdata[i])->learned_at = replica->revision[kind];
  if (changes->len > 0)
    replica->changed[kind] = replica->revision[kind];
  return changes;
}

GPtrArray *
cf_replica_since (const struct CfReplica *replica, enum CfFeedKind kind, uint64_t revision)
{
  GPtrArray *changed = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, replica->records[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct CfRecord *) value)->learned_at > revision)
      g_ptr_array_add (changed, value);
  return changed;
}

uint32_t
cf_replica_count (const struct CfReplica *replica, enum CfFeedKind kind)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, replica->records[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += !((struct CfRecord *) value)->deleted;
  return count;
}
