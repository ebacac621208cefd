#include "relay_difference.h"
#include "deflate.h"
#include "difference.h"

#include <stdlib.h>
#include <string.h>

G_STATIC_ASSERT (FEED_CHECKSUM_BYTES == CF_TEXT_DIFFERENCE_CHECKSUM_BYTES);
G_STATIC_ASSERT (FEED_DIFFERENCES_MAX >= CF_VERSIONS_MAX_BYTES / CF_VERSIONS_TEXT_MIN_BYTES);

/* A larger difference than this part of the deflated record saves too little for its processor
 * time. */
#define GAIN_MIN 2

static void
clear_difference (gpointer data)
{
  struct feed_difference *difference = data;

  g_free (difference->frame.frame_val);
}

GArray *
cf_relay_new_differences (void)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct feed_difference));

  g_array_set_clear_func (list, clear_difference);
  return list;
}

/* Returns the size of TEXT of LEN bytes as it is sent in a whole record. */
static size_t
deflated_size (const char *text, size_t len)
{
  GBytes *bytes = g_bytes_new_static (text, len);
  GBytes *deflated = cf_deflate (bytes);
  size_t size = deflated ? g_bytes_get_size (deflated) : len;

  if (deflated)
    g_bytes_unref (deflated);
  g_bytes_unref (bytes);
  return size;
}

bool
cf_relay_add_difference (GArray *list,
                         const struct CfVersions *versions,
                         const struct CfReplica *replica,
                         enum CfFeedKind kind,
                         const struct CfRecord *record,
                         uint64_t since)
{
  const struct CfVersion *base;
  struct feed_difference difference = { .kind = kind };
  GBytes *frame;
  gsize frame_len;
  size_t len;

  if (cf_replica_stored (replica, kind, record->name) != record || list->len == FEED_DIFFERENCES_MAX
      || (len = strlen (record->text)) < CF_VERSIONS_TEXT_MIN_BYTES
      || !(base = cf_versions_find (versions, replica, kind, record->name, since)))
    return false;
  frame = cf_text_difference_new (
      base->text, record->text, MIN (deflated_size (record->text, len) / GAIN_MIN, FEED_FRAME_MAX));
  if (!frame)
    return false;
  difference.name = record->name;
  difference.base = base->from;
  difference.revision = record->revision;
  difference.size = (u_int) len;
  cf_text_difference_checksum (record->text, len, (uint8_t *) difference.checksum);
  difference.frame.frame_val = g_bytes_unref_to_data (frame, &frame_len);
  difference.frame.frame_len = (u_int) frame_len;
  g_array_append_val (list, difference);
  return true;
}

bool
cf_relay_differences_valid (const struct feed_differences *differences)
{
  uint64_t sum = 0;

  for (u_int i = 0; i < differences->list.list_len; i++)
    {
      const struct feed_difference *difference = &differences->list.list_val[i];

      if (difference->kind >= CF_FEED_KINDS || difference->size > FEED_TEXT_MAX
          || difference->revision == 0 || difference->revision > CF_RELAY_NUMBER_MAX)
        return false;
      sum += difference->size;
    }
  return sum <= FEED_PARTS_MAX;
}

/* Sets TEXT to what DIFFERENCE makes of the text in REPLICA, NULL if REPLICA has a text as late.
 * Returns false if DIFFERENCE does not apply. */
static bool
resolve (const struct feed_difference *difference, const struct CfReplica *replica, char **text)
{
  const struct CfRecord *stored
      = cf_replica_stored (replica, (enum CfFeedKind) difference->kind, difference->name);

  *text = NULL;
  if (!stored)
    return false;
  if (stored->revision >= difference->revision)
    return true;
  if (stored->revision != difference->base)
    return false;
  *text = cf_text_difference_apply (stored->text, difference->frame.frame_val,
                                    difference->frame.frame_len, difference->size,
                                    (const uint8_t *) difference->checksum);
  return *text != NULL;
}

/* Moves the texts, NULL for those that are skipped, of the differences of KIND into PART. */
static void
add_records (struct feed_part *part,
             const struct feed_differences *differences,
             u_int kind,
             char **texts)
{
  u_int count = part->records.records_len;
  /* xdr_free releases it with free(3). */
  struct feed_record *records
      = realloc (part->records.records_val, (count + differences->list.list_len) * sizeof *records);

  g_assert (records);
  for (u_int i = 0; i < differences->list.list_len; i++)
    {
      const struct feed_difference *difference = &differences->list.list_val[i];

      if (difference->kind == kind && texts[i])
        records[count++] = (struct feed_record){
          .name = strdup (difference->name),
          .revision = difference->revision,
          .text = g_steal_pointer (&texts[i]),
        };
    }
  part->records.records_val = records;
  part->records.records_len = count;
}

const struct feed_difference *
cf_relay_apply_differences (struct CfRelayUpdate *update, const struct CfReplica *replica)
{
  const struct feed_differences *differences = &update->differences;
  u_int count = differences->list.list_len;
  const struct feed_difference *failed = NULL;
  char **texts;

  if (count == 0)
    return NULL;
  texts = g_new0 (char *, count);
  for (u_int i = 0; i < count && !failed; i++)
    if (!resolve (&differences->list.list_val[i], replica, &texts[i]))
      failed = &differences->list.list_val[i];
  for (u_int kind = 0; kind < CF_FEED_KINDS && !failed; kind++)
    add_records (&update->parts.parts.parts_val[kind], differences, kind, texts);
  for (u_int i = 0; i < count; i++)
    free (texts[i]);
  g_free (texts);
  return failed;
}
