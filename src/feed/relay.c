#include "relay.h"
#include "deflate.h"
#include "relay_difference.h"
#include "xdr_memory.h"

#include <string.h>

/* Deflating shorter responses gains nothing. */
#define DEFLATE_MIN_BYTES 512
/* Keys of the query of a request. */
#define ERA_KEY "era"
#define DIFFERENCES_KEY "differences" /* 1: the follower can apply them */

#define XDR_UNIT 4 /* bytes; what is encoded takes a multiple of it */

static const char zeros[XDR_UNIT];

static bool
parse_number (const char *text, uint64_t *number)
{
  return text && g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, number, NULL);
}

bool
cf_feed_position_parse (GHashTable *query, struct CfFeedPosition *position)
{
  const char *era = query ? g_hash_table_lookup (query, ERA_KEY) : NULL;
  const char *differences = query ? g_hash_table_lookup (query, DIFFERENCES_KEY) : NULL;

  if (era && !parse_number (era, &position->era))
    return false;
  position->differences = g_strcmp0 (differences, "1") == 0;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      const char *text
          = query ? g_hash_table_lookup (query, cf_feed_kind_name ((enum CfFeedKind) kind)) : NULL;

      if (!parse_number (text, &position->revision[kind]))
        return false;
    }
  return true;
}

char *
cf_feed_position_format (const struct CfFeedPosition *position)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, ERA_KEY "=%" G_GUINT64_FORMAT, position->era);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_string_append_printf (text, "&%s=%" G_GUINT64_FORMAT,
                            cf_feed_kind_name ((enum CfFeedKind) kind), position->revision[kind]);
  if (position->differences)
    g_string_append (text, "&" DIFFERENCES_KEY "=1");
  return g_string_free (text, FALSE);
}

bool
cf_relay_has_changes (const struct CfReplica *replica, const struct CfFeedPosition *position)
{
  if (position->era != replica->era)
    return true;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    if (replica->changed[kind] > position->revision[kind]
        || (position->revision[kind] == 0 && replica->revision[kind] > 0))
      return true;
  return false;
}

static void
add_item (struct feed_part *part, const struct CfRecord *record, uint64_t revision)
{
  part->records.records_val[part->records.records_len++] = (feed_record){
    .name = record->name,
    .revision = revision,
    .deleted = record->deleted,
    .text = record->text ? record->text : (char *) "",
  };
}

/* Fills PART, and DIFFERENCES (NULL: none are made), with the records of KIND that changed after
 * SINCE. */
static void
fill_part (struct feed_part *part,
           GArray *differences,
           const struct CfVersions *versions,
           const struct CfReplica *replica,
           enum CfFeedKind kind,
           uint64_t since)
{
  GPtrArray *changed;

  /* Deletions before the replica's first list are not known: a follower from before it gets all
   * records. */
  part->whole = since < replica->deletions_since[kind];
  part->revision = replica->revision[kind];
  changed = cf_replica_since (replica, kind, part->whole ? 0 : since);
  part->records.records_val = g_new0 (feed_record, MAX (2 * changed->len, 1));
  for (guint i = 0; i < changed->len; i++)
    {
      const struct CfRecord *record = changed->pdata[i];
      bool carried = cf_replica_is_carried (replica, record);

      if (differences && !part->whole
          && cf_relay_add_difference (differences, versions, replica, kind, record, since))
        continue;
      if (!record->deleted || (!part->whole && !carried))
        add_item (part, record, carried ? 0 : record->revision);
      if (record->superseded)
        add_item (part, record->superseded, record->superseded->revision);
    }
  g_ptr_array_unref (changed);
}

/* Encodes VALUE by ENCODER.  Returns NULL if it exceeds the format's bounds. */
static GBytes *
encode (xdrproc_t encoder, void *value)
{
  unsigned long size = xdr_sizeof (encoder, value);
  char *data = g_malloc (size);
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, data, (u_int) size, XDR_ENCODE);
  ok = encoder (&xdr, value);
  xdr_destroy (&xdr);
  if (ok)
    return g_bytes_new_take (data, size);
  g_free (data);
  return NULL;
}

/* Appends VALUE, encoded by ENCODER, to ARRAY.  Returns false if it exceeds the format's bounds. */
static bool
append_encoded (GByteArray *array, xdrproc_t encoder, void *value)
{
  GBytes *bytes = encode (encoder, value);

  if (!bytes)
    return false;
  g_byte_array_append (array, g_bytes_get_data (bytes, NULL), (guint) g_bytes_get_size (bytes));
  g_bytes_unref (bytes);
  return true;
}

/* Encodes the changes of REPLICA after POSITION, and sets HAS_DIFFERENCES.  Returns NULL if they
 * exceed the format's bounds. */
static GBytes *
encode_parts (const struct CfVersions *versions,
              const struct CfReplica *replica,
              const struct CfFeedPosition *position,
              bool *has_differences)
{
  struct feed_part list[CF_FEED_KINDS] = { 0 };
  struct feed_parts parts = { .parts = { .parts_len = CF_FEED_KINDS, .parts_val = list } };
  bool same_era = position->era == replica->era;
  GArray *changed = cf_relay_new_differences ();
  struct feed_differences differences;
  GByteArray *array = g_byte_array_new ();
  bool ok;

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    fill_part (&list[kind], same_era && position->differences ? changed : NULL, versions, replica,
               (enum CfFeedKind) kind, same_era ? position->revision[kind] : 0);
  differences.list.list_len = changed->len;
  differences.list.list_val = (struct feed_difference *) (void *) changed->data;
  ok = append_encoded (array, (xdrproc_t) xdr_feed_parts, &parts);
  if (changed->len > 0)
    ok = ok && append_encoded (array, (xdrproc_t) xdr_feed_differences, &differences);
  *has_differences = changed->len > 0;
  g_array_unref (changed);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_free (list[kind].records.records_val);
  if (ok)
    return g_byte_array_free_to_bytes (array);
  g_byte_array_unref (array);
  return NULL;
}

static bool
is_same (const struct CfRelayEntry *entry,
         const struct CfReplica *replica,
         const struct CfFeedPosition *position)
{
  const struct CfFeedPosition *cached = &entry->position;

  return entry->parts && entry->generation == replica->generation && cached->era == position->era
         && cached->differences == position->differences
         && memcmp (cached->revision, position->revision, sizeof cached->revision) == 0;
}

/* Returns the entry of CACHE with the changes of REPLICA after POSITION, encoded now if it is not
 * there yet, or NULL if they cannot be encoded. */
static const struct CfRelayEntry *
find_or_encode (struct CfRelayCache *cache,
                const struct CfReplica *replica,
                const struct CfFeedPosition *position)
{
  struct CfRelayEntry *entry;
  bool differences;
  GBytes *parts;
  GBytes *deflated;

  for (int i = 0; i < CF_RELAY_CACHED; i++)
    if (is_same (&cache->entries[i], replica, position))
      return &cache->entries[i];
  parts = encode_parts (&cache->versions, replica, position, &differences);
  if (parts && g_bytes_get_size (parts) > FEED_PARTS_MAX)
    g_clear_pointer (&parts, g_bytes_unref);
  if (!parts)
    return NULL;
  entry = &cache->entries[cache->next++ % CF_RELAY_CACHED];
  g_clear_pointer (&entry->parts, g_bytes_unref);
  entry->position = *position;
  entry->generation = replica->generation;
  entry->differences = differences;
  entry->size = (uint32_t) g_bytes_get_size (parts);
  deflated = entry->size >= DEFLATE_MIN_BYTES ? cf_deflate (parts) : NULL;
  entry->parts = deflated ? deflated : g_bytes_ref (parts);
  g_bytes_unref (parts);
  return entry;
}

void
cf_relay_chunks_clear (struct CfRelayChunks *chunks)
{
  g_clear_pointer (&chunks->head, g_bytes_unref);
  g_clear_pointer (&chunks->parts, g_bytes_unref);
  g_clear_pointer (&chunks->padding, g_bytes_unref);
}

bool
cf_relay_encode_chunks (struct CfRelayCache *cache,
                        const struct CfReplica *replica,
                        const struct CfFeedPosition *position,
                        const struct CfUpdateOrigin *origin,
                        struct CfRelayChunks *chunks)
{
  const struct CfRelayEntry *entry = find_or_encode (cache, replica, position);
  struct feed_news update = {
    .reader = origin->reader ? origin->reader : (char *) "",
    .age_ms = (uint64_t) MAX (origin->age, 0),
    .settled = origin->settled,
  };
  GByteArray *head;
  GBytes *empty;
  uint32_t len;

  *chunks = (struct CfRelayChunks){ 0 };
  if (!entry)
    return false;
  update.size = entry->size;
  empty = encode ((xdrproc_t) xdr_feed_news, &update);
  if (!empty)
    return false;
  /* Without parts, the encoding ends with their length. */
  head = g_bytes_unref_to_array (empty);
  len = GUINT32_TO_BE ((uint32_t) g_bytes_get_size (entry->parts));
  memcpy (head->data + head->len - sizeof len, &len, sizeof len);
  chunks->head = g_byte_array_free_to_bytes (head);
  chunks->parts = g_bytes_ref (entry->parts);
  chunks->differences = entry->differences;
  chunks->padding = g_bytes_new_static (
      zeros, (XDR_UNIT - g_bytes_get_size (entry->parts) % XDR_UNIT) % XDR_UNIT);
  return true;
}

static void
append (GByteArray *array, GBytes *bytes)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);

  g_byte_array_append (array, data, (guint) len);
}

GBytes *
cf_relay_encode (struct CfRelayCache *cache,
                 const struct CfReplica *replica,
                 const struct CfFeedPosition *position,
                 const struct CfUpdateOrigin *origin)
{
  struct CfRelayChunks chunks;
  GByteArray *array;

  if (!cf_relay_encode_chunks (cache, replica, position, origin, &chunks))
    return NULL;
  array = g_byte_array_new ();
  append (array, chunks.head);
  append (array, chunks.parts);
  append (array, chunks.padding);
  cf_relay_chunks_clear (&chunks);
  return g_byte_array_free_to_bytes (array);
}

void
cf_relay_cache_clear (struct CfRelayCache *cache)
{
  for (int i = 0; i < CF_RELAY_CACHED; i++)
    g_clear_pointer (&cache->entries[i].parts, g_bytes_unref);
  cf_versions_clear (&cache->versions);
}

/* The store counts in signed numbers, so a later one is wrong.  A VM that believed it would take
 * nothing that the store has for later. */
static bool
has_valid_revisions (const struct feed_parts *parts)
{
  for (u_int i = 0; i < parts->parts.parts_len; i++)
    {
      const struct feed_part *part = &parts->parts.parts_val[i];

      if (part->revision > CF_RELAY_NUMBER_MAX)
        return false;
      for (u_int j = 0; j < part->records.records_len; j++)
        if (part->records.records_val[j].revision > CF_RELAY_NUMBER_MAX)
          return false;
    }
  return true;
}

bool
cf_relay_parse_era (const char *text, uint64_t *era)
{
  return g_ascii_string_to_unsigned (text, 10, 0, CF_RELAY_NUMBER_MAX, era, NULL);
}

/* Decodes DATA of LEN bytes: parts, and differences if anything follows them. */
static bool
decode_records (const void *data, size_t len, struct CfRelayUpdate *update)
{
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *) data, (u_int) len, XDR_DECODE);
  ok = xdr_feed_parts (&xdr, &update->parts)
       && (xdr_getpos (&xdr) == len || xdr_feed_differences (&xdr, &update->differences));
  xdr_destroy (&xdr);
  return ok;
}

static bool
decode_parts (const struct feed_news *wire, struct CfRelayUpdate *update)
{
  GBytes *inflated;
  gsize len;
  const void *data;
  bool ok;

  if (wire->size == wire->parts.parts_len)
    return decode_records (wire->parts.parts_val, wire->size, update);
  if (wire->size > FEED_PARTS_MAX
      || !(inflated = cf_inflate (wire->parts.parts_val, wire->parts.parts_len, wire->size)))
    return false;
  data = g_bytes_get_data (inflated, &len);
  ok = decode_records (data, len, update);
  g_bytes_unref (inflated);
  return ok;
}

bool
cf_relay_decode (const void *data, size_t len, struct CfRelayUpdate *update)
{
  struct feed_news wire = { 0 };
  bool ok = cf_xdr_decode ((xdrproc_t) xdr_feed_news, data, len, &wire);

  *update = (struct CfRelayUpdate){
    .origin = {
      .reader = g_strdup (wire.reader),
      .age = (CfMillis) MIN (wire.age_ms, (uint64_t) G_MAXINT32),
      .settled = wire.settled,
    },
  };
  ok = ok && decode_parts (&wire, update) && update->parts.parts.parts_len == CF_FEED_KINDS
       && has_valid_revisions (&update->parts) && cf_relay_differences_valid (&update->differences);
  xdr_free ((xdrproc_t) xdr_feed_news, &wire);
  if (!ok)
    cf_relay_clear (update);
  return ok;
}

void
cf_relay_clear (struct CfRelayUpdate *update)
{
  xdr_free ((xdrproc_t) xdr_feed_parts, &update->parts);
  xdr_free ((xdrproc_t) xdr_feed_differences, &update->differences);
  g_free (update->origin.reader);
  memset (update, 0, sizeof *update);
}

GPtrArray *
cf_relay_records (const struct feed_part *part)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);

  for (u_int i = 0; i < part->records.records_len; i++)
    {
      const struct feed_record *record = &part->records.records_val[i];

      g_ptr_array_add (records, cf_record_new (record->name, record->revision, record->deleted,
                                               record->deleted ? NULL : record->text));
    }
  return records;
}
