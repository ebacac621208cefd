#include "replica.h"

void
cf_replica_init (struct CfReplica *replica)
{
  replica->era = 0;
  replica->eras = 0;
  replica->carry_since = -1;
  replica->generation = 0;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      replica->records[kind]
          = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, cf_record_free);
      replica->revision[kind] = 0;
      replica->changed[kind] = 0;
      replica->deletions_since[kind] = 0;
      replica->carrying[kind] = false;
    }
}

void
cf_replica_clear (struct CfReplica *replica)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_clear_pointer (&replica->records[kind], g_hash_table_unref);
}

bool
cf_replica_is_empty (const struct CfReplica *replica)
{
  return replica->revision[CF_FEED_MANIFEST] == 0 && replica->carry_since < 0;
}

bool
cf_replica_is_carried (const struct CfReplica *replica, const struct CfRecord *record)
{
  return record->era < replica->eras;
}

const struct CfRecord *
cf_replica_stored (const struct CfReplica *replica, enum CfFeedKind kind, const char *name)
{
  const struct CfRecord *record = g_hash_table_lookup (replica->records[kind], name);

  if (record && cf_replica_is_carried (replica, record))
    record = record->superseded;
  return record && record->text ? record : NULL;
}

static void
set_deleted (struct CfRecord *record)
{
  record->deleted = true;
  g_clear_pointer (&record->text, g_free);
}

/* The store has FROM instead of the later content that RECORD has; NULL: it does not. */
static void
set_superseded (struct CfRecord *record, const struct CfRecord *from)
{
  struct CfRecord *superseded = NULL;

  if (from)
    {
      superseded = cf_record_new (record->name, from->revision, false, from->text);
      superseded->order = from->order;
    }
  if (record->superseded)
    cf_record_free (record->superseded);
  record->superseded = superseded;
}

void
cf_replica_enter_era (struct CfReplica *replica, uint64_t era, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  if (!cf_replica_is_empty (replica))
    replica->carry_since = now;
  replica->era = era;
  replica->eras++;
  replica->generation++;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      replica->revision[kind] = 0;
      replica->changed[kind] = 0;
      replica->deletions_since[kind] = 0;
      replica->carrying[kind] = g_hash_table_size (replica->records[kind]) > 0;
      g_hash_table_iter_init (&iter, replica->records[kind]);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          ((struct CfRecord *) value)->learned_revision = 0;
          set_superseded (value, NULL);
        }
    }
}

/* Gives RECORD the content of FROM. */
static void
set_content (struct CfRecord *record, const struct CfRecord *from)
{
  if (from->deleted)
    {
      set_deleted (record);
      return;
    }
  record->deleted = false;
  record->order = from->order;
  g_free (record->text);
  record->text = g_strdup (from->text);
}

/* What a record that was received changes in the replica. */
enum Effect
{
  EFFECT_NONE,
  EFFECT_CONFIRMED, /* the content stays, but followers may not know what the store has */
  EFFECT_CHANGED,
};

/* Returns true if RECORD has what was in KNOWN before its present content, or before it was
 * deleted: the store was restored from a copy of that time. */
static bool
is_superseded (const struct CfRecord *record, const struct CfRecord *known)
{
  static const struct CfRecordOrder none;
  int order = cf_record_order_compare (&record->order, &known->order);

  if (record->deleted || cf_record_order_compare (&record->order, &none) == 0)
    return false;
  return known->deleted ? order <= 0 : order < 0;
}

/* RECORD is what the store has, from REVISION of this era on. */
static void
set_stored (const struct CfReplica *replica, struct CfRecord *record, uint64_t revision)
{
  record->era = replica->eras;
  record->revision = revision;
  set_superseded (record, NULL);
}

/* KNOWN is carried; RECORD is what the store has in this era. */
static enum Effect
confirm_carried (const struct CfReplica *replica,
                 struct CfRecord *known,
                 const struct CfRecord *record)
{
  bool same = known->deleted == record->deleted && g_strcmp0 (known->text, record->text) == 0;

  if (known->superseded && record->revision < known->superseded->revision)
    return EFFECT_NONE;
  if (is_superseded (record, known))
    {
      set_superseded (known, record);
      return EFFECT_CONFIRMED;
    }
  set_stored (replica, known, record->revision);
  if (same)
    return EFFECT_CONFIRMED;
  set_content (known, record);
  return EFFECT_CHANGED;
}

/* KNOWN is carried, and the VM that sent RECORD carries that. */
static enum Effect
update_carried (struct CfRecord *known, const struct CfRecord *record)
{
  if (record->deleted || cf_record_order_compare (&record->order, &known->order) <= 0)
    return EFFECT_NONE;
  set_content (known, record);
  return EFFECT_CHANGED;
}

/* Applies RECORD to KNOWN. */
static enum Effect
apply_record (const struct CfReplica *replica,
              struct CfRecord *known,
              const struct CfRecord *record)
{
  if (cf_replica_is_carried (replica, known))
    return record->revision > 0 ? confirm_carried (replica, known, record)
                                : update_carried (known, record);
  if (record->revision < known->revision
      || (record->revision == known->revision && record->deleted == known->deleted))
    return EFFECT_NONE;
  /* Changed in place: a response may hold several changes of one record, and pointers to the
   * copy that were returned before have to stay valid. */
  known->revision = record->revision;
  set_content (known, record);
  return EFFECT_CHANGED;
}

static enum Effect
add_record (struct CfReplica *replica, enum CfFeedKind kind, const struct CfRecord *record)
{
  struct CfRecord *added;

  if (record->deleted && record->revision == 0)
    return EFFECT_NONE;
  added = cf_record_new (record->name, record->revision, record->deleted, record->text);
  added->order = record->order;
  added->era = record->revision > 0 ? replica->eras : 0;
  if (cf_replica_is_carried (replica, added))
    replica->carrying[kind] = true;
  g_hash_table_insert (replica->records[kind], added->name, added);
  return record->deleted ? EFFECT_CONFIRMED : EFFECT_CHANGED;
}

/* Applies INCOMING.  Adds the records with another content to CHANGES, and those that the store
 * turns out to have as they are to CONFIRMED. */
static void
apply_records (struct CfReplica *replica,
               enum CfFeedKind kind,
               GPtrArray *incoming,
               GPtrArray *changes,
               GPtrArray *confirmed)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < incoming->len; i++)
    {
      const struct CfRecord *record = incoming->pdata[i];
      struct CfRecord *known = g_hash_table_lookup (replica->records[kind], record->name);
      enum Effect effect
          = known ? apply_record (replica, known, record) : add_record (replica, kind, record);

      if (!known)
        known = g_hash_table_lookup (replica->records[kind], record->name);
      if (effect == EFFECT_CHANGED && g_hash_table_add (seen, known))
        g_ptr_array_add (changes, known);
      else if (effect == EFFECT_CONFIRMED)
        g_ptr_array_add (confirmed, known);
    }
  g_hash_table_unref (seen);
}

/* Returns true if the store had RECORD in this era, at a revision up to REVISION. */
static bool
was_listed (const struct CfReplica *replica, const struct CfRecord *record, uint64_t revision)
{
  if (cf_replica_is_carried (replica, record))
    return record->superseded && record->superseded->revision <= revision;
  return !record->deleted && record->revision <= revision;
}

/* Marks the records up to REVISION that are not in LISTED as deleted. */
static void
delete_unlisted (const struct CfReplica *replica,
                 enum CfFeedKind kind,
                 GPtrArray *listed,
                 uint64_t revision,
                 GPtrArray *changes)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < listed->len; i++)
    {
      struct CfRecord *record = listed->pdata[i];

      if (record->revision > 0) /* others are carried by the VM that sent the list */
        g_hash_table_add (names, record->name);
    }
  g_hash_table_iter_init (&iter, replica->records[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct CfRecord *record = value;

      if (!was_listed (replica, record, revision) || g_hash_table_contains (names, record->name))
        continue;
      set_stored (replica, record, revision);
      set_deleted (record);
      g_ptr_array_add (changes, record);
    }
  g_hash_table_unref (names);
}

/* Frees the deleted records of KIND if there are too many.  Followers that have not received
 * these deletions get all records from then on. */
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
  replica->deletions_since[kind] = replica->revision[kind];
}

/* Notes that followers have to learn of RECORDS. */
static void
set_learned (const struct CfReplica *replica, enum CfFeedKind kind, GPtrArray *records)
{
  for (guint i = 0; i < records->len; i++)
    ((struct CfRecord *) records->pdata[i])->learned_revision = replica->revision[kind];
}

GPtrArray *
cf_replica_apply (struct CfReplica *replica,
                  enum CfFeedKind kind,
                  GPtrArray *records,
                  uint64_t revision,
                  bool whole)
{
  GPtrArray *changes = g_ptr_array_new ();
  GPtrArray *confirmed;

  if (whole && revision < replica->revision[kind])
    return changes;
  replica->generation++;
  prune_deleted (replica, kind);
  confirmed = g_ptr_array_new ();
  apply_records (replica, kind, records, changes, confirmed);
  if (whole)
    delete_unlisted (replica, kind, records, revision, changes);
  if (whole && replica->deletions_since[kind] == 0)
    replica->deletions_since[kind] = revision;
  replica->revision[kind] = MAX (replica->revision[kind], revision);
  set_learned (replica, kind, changes);
  set_learned (replica, kind, confirmed);
  if (changes->len + confirmed->len > 0)
    replica->changed[kind] = replica->revision[kind];
  g_ptr_array_unref (confirmed);
  return changes;
}

/* Ends the carrying of RECORD: from now on it is what the store has.  Returns true if that is
 * another content. */
static bool
end_carry (const struct CfReplica *replica, enum CfFeedKind kind, struct CfRecord *record)
{
  bool changed = record->superseded || !record->deleted;

  if (record->superseded)
    {
      set_content (record, record->superseded);
      set_stored (replica, record, record->superseded->revision);
      return changed;
    }
  /* An evacuation stays a carried record, which followers get no deletion of: they count the time
   * from the beginning of their own carrying. */
  if (kind != CF_FEED_EVACUATIONS)
    set_stored (replica, record, replica->revision[kind]);
  set_deleted (record);
  return changed;
}

GPtrArray *
cf_replica_end_carry (
    struct CfReplica *replica, enum CfFeedKind kind, CfMillis synced_at, bool settled, CfMillis now)
{
  static const CfMillis carry_ms[CF_FEED_KINDS] = {
    [CF_FEED_UPSTREAMS] = CF_REPLICA_CARRY_UPSTREAMS_MS,
    [CF_FEED_EVACUATIONS] = CF_REPLICA_CARRY_EVACUATIONS_MS,
    [CF_FEED_VMS] = CF_REPLICA_CARRY_VMS_MS,
  };
  GPtrArray *changes = g_ptr_array_new ();
  bool by_data = kind == CF_FEED_EVACUATIONS; /* they do not expire, so SETTLED does not matter */
  CfMillis known_at = by_data ? synced_at : now;
  GHashTableIter iter;
  gpointer value;

  if (kind == CF_FEED_MANIFEST || !replica->carrying[kind] || replica->revision[kind] == 0)
    return changes;
  if (!by_data && !settled)
    return changes;
  if (replica->carry_since < 0)
    replica->carry_since = now; /* another VM sent records that it carries */
  if (known_at - replica->carry_since < carry_ms[kind])
    return changes;
  replica->carrying[kind] = false;
  g_hash_table_iter_init (&iter, replica->records[kind]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct CfRecord *record = value;

      if (!cf_replica_is_carried (replica, record))
        continue;
      if (record->superseded && now - replica->carry_since < CF_REPLICA_CARRY_SUPERSEDING_MS)
        replica->carrying[kind] = true;
      else if (end_carry (replica, kind, record))
        g_ptr_array_add (changes, record);
    }
  if (changes->len > 0)
    replica->generation++;
  set_learned (replica, kind, changes);
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
    {
      const struct CfRecord *record = value;

      if (record->learned_revision > revision
          || (revision == 0 && cf_replica_is_carried (replica, record)))
        g_ptr_array_add (changed, value);
    }
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
