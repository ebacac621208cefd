#include "record.h"
#include "feed.h"

#define SMALL_TEXT_MAX_BYTES 16384

G_STATIC_ASSERT (CF_RECORD_NAME_MAX_BYTES <= FEED_NAME_MAX);
G_STATIC_ASSERT (SMALL_TEXT_MAX_BYTES <= FEED_TEXT_MAX);

const char *
cf_feed_kind_name (enum CfFeedKind kind)
{
  static const char *const names[CF_FEED_KINDS] = {
    [CF_FEED_MANIFEST] = "manifest",
    [CF_FEED_UPSTREAMS] = "upstreams",
    [CF_FEED_EVACUATIONS] = "evacuations",
    [CF_FEED_VMS] = "vms",
  };

  return names[kind];
}

size_t
cf_record_text_max (enum CfFeedKind kind)
{
  return kind == CF_FEED_MANIFEST ? SIZE_MAX : SMALL_TEXT_MAX_BYTES;
}

int
cf_record_order_compare (const struct CfRecordOrder *a, const struct CfRecordOrder *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation < b->incarnation ? -1 : 1;
  return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

struct CfRecord *
cf_record_new (const char *name, uint64_t revision, bool deleted, const char *text)
{
  struct CfRecord *record = g_new0 (struct CfRecord, 1);

  record->name = g_strdup (name);
  record->revision = revision;
  record->deleted = deleted;
  record->text = g_strdup (text);
  return record;
}

void
cf_record_free (gpointer data)
{
  struct CfRecord *record = data;

  if (record->superseded)
    cf_record_free (record->superseded);
  g_free (record->name);
  g_free (record->text);
  g_free (record);
}

void
cf_feed_response_clear (struct CfFeedResponse *response)
{
  g_clear_pointer (&response->records, g_ptr_array_unref);
  g_clear_pointer (&response->last, g_free);
}
