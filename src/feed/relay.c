#include "relay.h"

#include <string.h>

bool
cf_feed_position_parse (GHashTable *query, struct CfFeedPosition *position)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      const char *text
          = query ? g_hash_table_lookup (query, cf_feed_kind_name ((enum CfFeedKind) kind)) : NULL;

      if (!text
          || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &position->revision[kind],
                                          NULL))
        return false;
    }
  return true;
}

char *
cf_feed_position_format (const struct CfFeedPosition *position)
{
  GString *text = g_string_new (NULL);

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_string_append_printf (text, "%s%s=%" G_GUINT64_FORMAT, kind ? "&" : "",
                            cf_feed_kind_name ((enum CfFeedKind) kind), position->revision[kind]);
  return g_string_free (text, FALSE);
}

bool
cf_relay_has_news (const struct CfReplica *replica, const struct CfFeedPosition *position)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    if (replica->changed[kind] > position->revision[kind]
        || (position->revision[kind] == 0 && replica->revision[kind] > 0))
      return true;
  return false;
}

static void
fill_part (struct feed_part *part,
           const struct CfReplica *replica,
           enum CfFeedKind kind,
           uint64_t since)
{
  GPtrArray *changed;

  /* Deletions before the replica's first list are not known: then all records are told. */
  part->whole = since < replica->complete[kind];
  part->revision = replica->revision[kind];
  changed = cf_replica_since (replica, kind, part->whole ? 0 : since);
  part->records.records_val = g_new0 (feed_record, MAX (changed->len, 1));
  for (guint i = 0; i < changed->len; i++)
    {
      struct CfRecord *record = changed->pdata[i];

      if (part->whole && record->deleted)
        continue;
      part->records.records_val[part->records.records_len++] = (feed_record){
        .name = record->name,
        .revision = record->revision,
        .deleted = record->deleted,
        .text = record->text ? record->text : (char *) "",
      };
    }
  g_ptr_array_unref (changed);
}

GBytes *
cf_relay_encode (const struct CfReplica *replica,
                 const struct CfFeedPosition *position,
                 CfMillis age,
                 bool settled)
{
  struct feed_part parts[CF_FEED_KINDS] = { 0 };
  struct feed_news news = {
    .age_ms = (uint64_t) MAX (age, 0),
    .settled = settled,
    .parts = { .parts_len = CF_FEED_KINDS, .parts_val = parts },
  };
  GBytes *bytes = NULL;
  unsigned long size;
  char *data;
  XDR xdr;

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    fill_part (&parts[kind], replica, (enum CfFeedKind) kind, position->revision[kind]);
  size = xdr_sizeof ((xdrproc_t) xdr_feed_news, &news);
  data = g_malloc (size);
  xdrmem_create (&xdr, data, (u_int) size, XDR_ENCODE);
  if (xdr_feed_news (&xdr, &news))
    bytes = g_bytes_new_take (data, size);
  else
    g_free (data);
  xdr_destroy (&xdr);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    g_free (parts[kind].records.records_val);
  return bytes;
}

bool
cf_relay_decode (const void *data, size_t len, struct feed_news *news)
{
  XDR xdr;
  bool ok;

  memset (news, 0, sizeof *news);
  xdrmem_create (&xdr, (char *) data, (u_int) len, XDR_DECODE);
  ok = xdr_feed_news (&xdr, news) && news->parts.parts_len == CF_FEED_KINDS;
  xdr_destroy (&xdr);
  if (!ok)
    cf_relay_clear (news);
  return ok;
}

void
cf_relay_clear (struct feed_news *news)
{
  xdr_free ((xdrproc_t) xdr_feed_news, news);
  memset (news, 0, sizeof *news);
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
