#include "relay.h"
#include "deflate.h"
#include "xdr_memory.h"

#include <string.h>

/* Deflating shorter responses gains nothing. */
#define DEFLATE_MIN_BYTES 512
#define ERA_KEY "era" /* in the query of a request */
#define XDR_UNIT 4    /* bytes; what is encoded takes a multiple of it */

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

  if (era && !parse_number (era, &position->era))
    return false;
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

static void
fill_part (struct feed_part *part,
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

      if (!record->deleted || (!part->whole && !carried))
        add_item (part, record, carried ? 0 : record->revision);
      if (record->superseded)
        add_item (part, record->superseded, record->superseded->revision);
    }
  g_ptr_array_unref (changed);
}

/* Encodes VALUE, a struct feed_parts or feed_news.  Returns NULL if it exceeds the format's
 * bounds. */
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

static GBytes *
encode_parts (const struct CfReplica *replica, const struct CfFeedPosition *position)
{
  struct feed_part list[CF_FEED_KINDS] = { 0 };
  struct feed_parts parts = { .parts = { .parts_len = CF_FEED_KINDS, .parts_val = list } };
  GBytes *bytes;

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    fill_part (&list[kind], replica, (enum CfFeedKind) kind,
               position->era == replica->era ? position->revision[kind] : 0);
  bytes = encode ((xdrproc_t) xdr_feed_parts, &parts);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_free (list[kind].records.records_val);
  return bytes;
}

static bool
is_same (const struct CfRelayEntry *entry,
         const struct CfReplica *replica,
         const struct CfFeedPosition *position)
{
  return entry->parts && entry->generation == replica->generation
         && memcmp (&entry->position, position, sizeof *position) == 0;
}

/* Returns the entry of CACHE with the changes of REPLICA after POSITION, encoded now if it is not
 * there yet, or NULL if they cannot be encoded. */
static const struct CfRelayEntry *
find_or_encode (struct CfRelayCache *cache,
                const struct CfReplica *replica,
                const struct CfFeedPosition *position)
{
  struct CfRelayEntry *entry;
  GBytes *parts;
  GBytes *deflated;

  for (int i = 0; i < CF_RELAY_CACHED; i++)
    if (is_same (&cache->entries[i], replica, position))
      return &cache->entries[i];
  parts = encode_parts (replica, position);
  if (parts && g_bytes_get_size (parts) > FEED_PARTS_MAX)
    g_clear_pointer (&parts, g_bytes_unref);
  if (!parts)
    return NULL;
  entry = &cache->entries[cache->next++ % CF_RELAY_CACHED];
  g_clear_pointer (&entry->parts, g_bytes_unref);
  entry->position = *position;
  entry->generation = replica->generation;
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

static bool
decode_parts (const struct feed_news *wire, struct feed_parts *parts)
{
  GBytes *inflated;
  gsize len;
  const void *data;
  bool ok;

  if (wire->size == wire->parts.parts_len)
    return cf_xdr_decode ((xdrproc_t) xdr_feed_parts, wire->parts.parts_val, wire->size, parts);
  if (wire->size > FEED_PARTS_MAX
      || !(inflated = cf_inflate (wire->parts.parts_val, wire->parts.parts_len, wire->size)))
    return false;
  data = g_bytes_get_data (inflated, &len);
  ok = cf_xdr_decode ((xdrproc_t) xdr_feed_parts, data, len, parts);
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
  ok = ok && decode_parts (&wire, &update->parts) && update->parts.parts.parts_len == CF_FEED_KINDS
       && has_valid_revisions (&update->parts);
  xdr_free ((xdrproc_t) xdr_feed_news, &wire);
  if (!ok)
    cf_relay_clear (update);
  return ok;
}

void
cf_relay_clear (struct CfRelayUpdate *update)
{
  xdr_free ((xdrproc_t) xdr_feed_parts, &update->parts);
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
