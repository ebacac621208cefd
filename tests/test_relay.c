#include "feed/deflate.h"
#include "feed/relay.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* Sending the store's records from one VM's replica to another's. */

static const struct CfUpdateOrigin origin
    = { .reader = (char *) "vm-1", .age = 123, .settled = true };

static void
apply_record (
    struct CfReplica *replica, const char *name, uint64_t revision, bool deleted, bool whole)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);

  g_ptr_array_add (records, cf_record_new (name, revision, deleted, deleted ? NULL : "{}"));
  g_ptr_array_unref (cf_replica_apply (replica, CF_FEED_UPSTREAMS, records, revision, whole));
  g_ptr_array_unref (records);
}

/* Sends TO the changes of FROM that it does not have.  Returns the number of upstream records
 * sent. */
static uint32_t
relay_changes (const struct CfReplica *from, struct CfReplica *to)
{
  struct CfFeedPosition position = { .era = to->era };
  struct CfRelayCache cache = { 0 };
  struct CfRelayUpdate update;
  GBytes *bytes;
  gsize len;
  const void *data;
  const struct feed_part *part;
  GPtrArray *records;
  uint32_t count;

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    position.revision[kind] = to->revision[kind];
  bytes = cf_relay_encode (&cache, from, &position, &origin);
  data = g_bytes_get_data (bytes, &len);
  ck_assert (cf_relay_decode (data, len, &update));
  ck_assert_int_eq (update.origin.age, 123);
  ck_assert_str_eq (update.origin.reader, "vm-1");
  ck_assert (update.origin.settled);
  part = &update.parts.parts.parts_val[CF_FEED_UPSTREAMS];
  records = cf_relay_records (part);
  count = records->len;
  g_ptr_array_unref (
      cf_replica_apply (to, CF_FEED_UPSTREAMS, records, part->revision, part->whole));
  g_ptr_array_unref (records);
  cf_relay_clear (&update);
  cf_relay_cache_clear (&cache);
  g_bytes_unref (bytes);
  return count;
}

START_TEST (test_relay)
{
  struct CfReplica from;
  struct CfReplica to;

  cf_replica_init (&from);
  cf_replica_init (&to);
  apply_record (&from, "i-1", 5, false, true);
  apply_record (&from, "i-2", 7, false, false);
  ck_assert_uint_eq (relay_changes (&from, &to), 2);
  ck_assert_uint_eq (relay_changes (&from, &to), 0);
  /* The store may give a deletion the revision of the change before. */
  apply_record (&from, "i-3", 9, false, false);
  apply_record (&from, "i-1", 5, true, false);
  ck_assert_uint_ge (relay_changes (&from, &to), 1);
  ck_assert_uint_eq (cf_replica_count (&to, CF_FEED_UPSTREAMS), 2);
  cf_replica_clear (&from);
  cf_replica_clear (&to);
}
END_TEST

/* A follower has an upstream that ended before its new source's first list, so that the source
 * has no record of the deletion. */
START_TEST (test_relay_unknown_deletion)
{
  struct CfReplica from;
  struct CfReplica to;

  cf_replica_init (&from);
  cf_replica_init (&to);
  apply_record (&to, "i-old", 3, false, true);
  apply_record (&from, "i-new", 8, false, true);
  relay_changes (&from, &to);
  ck_assert_uint_eq (cf_replica_count (&to, CF_FEED_UPSTREAMS), 1);
  cf_replica_clear (&from);
  cf_replica_clear (&to);
}
END_TEST

/* A record is created and deleted between two updates of the VM in between. */
START_TEST (test_deletion_of_unknown_record_is_relayed)
{
  struct CfReplica from;
  struct CfReplica to;

  cf_replica_init (&from);
  cf_replica_init (&to);
  apply_record (&from, "i-1", 5, false, true);
  apply_record (&to, "i-1", 5, false, true);
  apply_record (&to, "i-2", 7, false, false);
  apply_record (&from, "i-2", 8, true, false);
  relay_changes (&from, &to);
  ck_assert_uint_eq (cf_replica_count (&to, CF_FEED_UPSTREAMS), 1);
  cf_replica_clear (&from);
  cf_replica_clear (&to);
}
END_TEST

/* Until the store has been restored, builds from before eras are followed. */
START_TEST (test_first_era_carries_nothing)
{
  struct CfReplica replica;

  cf_replica_init (&replica);
  cf_replica_enter_era (&replica, 1, 1000);
  apply_record (&replica, "i-1", 5, false, true);
  g_ptr_array_unref (cf_replica_end_carry (&replica, CF_FEED_UPSTREAMS, 9000, true, 9000));
  ck_assert_int_lt (replica.carry_since, 0);
  cf_replica_clear (&replica);
}
END_TEST

/* Returns true if a message can be decoded whose parts are DATA of LEN bytes, with SIZE as their
 * stated uncompressed size. */
static bool
is_valid (const void *data, size_t len, size_t size)
{
  struct feed_news wire = {
    .reader = (char *) "vm-1",
    .size = (u_int) size,
    .parts = { .parts_len = (u_int) len, .parts_val = (char *) data },
  };
  size_t space = len + 64;
  char *bytes = g_malloc (space);
  struct CfRelayUpdate update;
  XDR xdr;
  bool valid;

  xdrmem_create (&xdr, bytes, (u_int) space, XDR_ENCODE);
  ck_assert (xdr_feed_news (&xdr, &wire));
  valid = cf_relay_decode (bytes, xdr_getpos (&xdr), &update);
  xdr_destroy (&xdr);
  if (valid)
    cf_relay_clear (&update);
  g_free (bytes);
  return valid;
}

/* A message that claimed to hold millions of records made its receiver allocate memory for them
 * first (found by fuzzing under AddressSanitizer).  More records than the format's bound are
 * rejected, even if the message does hold them. */
START_TEST (test_relay_bounded)
{
  const size_t count = 65536 + 1;
  const size_t record_size = 20; /* of a record with an empty name and text */
  const size_t head_size = 4;
  const size_t part_size = 8 + 4 + 4;
  size_t len = head_size + CF_FEED_KINDS * part_size + count * record_size;
  uint8_t *data = g_malloc0 (len);

  data[head_size - 1] = CF_FEED_KINDS;
  data[head_size + part_size - 4 + 1] = 1;
  data[head_size + part_size - 1] = 1;
  ck_assert (!is_valid (data, len, len));
  g_free (data);
}
END_TEST

/* A decompression bomb: a message of a few KB could inflate to gigabytes.  No more is inflated
 * than the stated size, and that size is bounded. */
START_TEST (test_relay_inflates_bounded)
{
  const size_t len = 1 << 20;
  GBytes *zeros = g_bytes_new_take (g_malloc0 (len), len);
  GBytes *deflated = cf_deflate (zeros);
  gsize deflated_len;
  const void *data;
  GBytes *inflated;

  ck_assert_ptr_nonnull (deflated);
  data = g_bytes_get_data (deflated, &deflated_len);
  ck_assert_uint_lt (deflated_len, len / 100);
  ck_assert_ptr_null (cf_inflate (data, deflated_len, len - 1));
  ck_assert_ptr_null (cf_inflate (data, deflated_len, len + 1));
  ck_assert_ptr_null (cf_inflate (data, deflated_len - 1, len));
  ck_assert_ptr_null (cf_inflate (data, deflated_len, 0));
  inflated = cf_inflate (data, deflated_len, len);
  ck_assert (g_bytes_equal (inflated, zeros));
  ck_assert (!is_valid (data, deflated_len, FEED_PARTS_MAX + 1));
  ck_assert (!is_valid (data, deflated_len, len));
  g_bytes_unref (inflated);
  g_bytes_unref (deflated);
  g_bytes_unref (zeros);
}
END_TEST

#define LONG_TEXTS 20 /* of the longest length each: more than a fleet's data can need */

/* A message of some 20 KB inflated to 64 MB, which a VM then held in several copies; its memory is
 * limited to 260 MB.  A sender states the bound, too: its followers read the store. */
START_TEST (test_relay_size_is_bounded)
{
  const struct CfFeedPosition nothing = { 0 };
  struct feed_record records[LONG_TEXTS] = { 0 };
  struct feed_part list[CF_FEED_KINDS] = {
    { .revision = 1, .records = { .records_len = LONG_TEXTS, .records_val = records } },
  };
  struct feed_parts parts = { .parts = { .parts_len = CF_FEED_KINDS, .parts_val = list } };
  char *text = g_strnfill (FEED_TEXT_MAX, 'a');
  char *data = g_malloc (FEED_TEXT_MAX * (LONG_TEXTS + 1));
  GPtrArray *stored = g_ptr_array_new_with_free_func (cf_record_free);
  struct CfRelayCache cache = { 0 };
  struct CfReplica replica;
  GBytes *whole;
  GBytes *deflated;
  gsize len;
  const void *bytes;
  XDR xdr;

  cf_replica_init (&replica);
  for (int i = 0; i < LONG_TEXTS; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "i-%d", i);
      g_ptr_array_add (stored, cf_record_new (name, 1, false, text));
      records[i] = (struct feed_record){ .name = (char *) "i", .revision = 1, .text = text };
    }
  xdrmem_create (&xdr, data, FEED_TEXT_MAX * (LONG_TEXTS + 1), XDR_ENCODE);
  ck_assert (xdr_feed_parts (&xdr, &parts));
  whole = g_bytes_new_take (data, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
  deflated = cf_deflate (whole);
  bytes = g_bytes_get_data (deflated, &len);
  ck_assert (!is_valid (bytes, len, g_bytes_get_size (whole)));
  g_ptr_array_unref (cf_replica_apply (&replica, CF_FEED_UPSTREAMS, stored, 1, true));
  ck_assert_ptr_null (cf_relay_encode (&cache, &replica, &nothing, &origin));
  g_bytes_unref (deflated);
  g_bytes_unref (whole);
  g_ptr_array_unref (stored);
  g_free (text);
  cf_relay_cache_clear (&cache);
  cf_replica_clear (&replica);
}
END_TEST

/* A revision or era above all that the store can have left its receiver with that data for good. */
START_TEST (test_impossible_numbers_are_rejected)
{
  const struct CfFeedPosition nothing = { 0 };
  struct CfRelayCache cache = { 0 };
  struct CfReplica replica;
  struct CfRelayUpdate update;
  GBytes *bytes;
  gsize len;
  const void *data;
  uint64_t era;

  cf_replica_init (&replica);
  apply_record (&replica, "i-1", _i ? 5 : UINT64_MAX, false, true);
  replica.revision[CF_FEED_MANIFEST] = _i ? UINT64_MAX : 5;
  bytes = cf_relay_encode (&cache, &replica, &nothing, &origin);
  data = g_bytes_get_data (bytes, &len);
  ck_assert (!cf_relay_decode (data, len, &update));
  ck_assert (!cf_relay_parse_era ("18446744073709551615", &era));
  ck_assert (cf_relay_parse_era ("7", &era));
  ck_assert_uint_eq (era, 7);
  g_bytes_unref (bytes);
  cf_relay_cache_clear (&cache);
  cf_replica_clear (&replica);
}
END_TEST

#define UPSTREAMS 3000 /* of one region, about a fifth of the target size of 16,000 */

/* A reader sends all upstreams to each follower that starts; uncompressed, one reader sent 3.2 MB
 * a second at 300 VMs. */
START_TEST (test_relay_many)
{
  const struct CfFeedPosition nothing = { 0 };
  struct CfRelayCache cache = { 0 };
  struct CfReplica replica;
  struct CfRelayUpdate update;
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  size_t texts = 0;
  GBytes *bytes;
  GBytes *again;
  gsize len;
  const void *data;

  for (unsigned i = 0; i < UPSTREAMS; i++)
    {
      char name[16];
      char text[256];

      g_snprintf (name, sizeof name, "i-%08x", i * 2654435761U);
      texts += (size_t) g_snprintf (
          text, sizeof text,
          "{\"service\":\"s\",\"address\":\"10.%u.%u.%u:%u\",\"zone\":\"a\",\"slots\":2,"
          "\"state\":\"ready\",\"born\":%u}",
          i % 11, i / 256, i % 256, 8000 + i % 900, 1769126985 + i * 37);
      g_ptr_array_add (records, cf_record_new (name, i + 1, false, text));
    }
  cf_replica_init (&replica);
  g_ptr_array_unref (cf_replica_apply (&replica, CF_FEED_UPSTREAMS, records, UPSTREAMS + 1, true));
  bytes = cf_relay_encode (&cache, &replica, &nothing, &origin);
  data = g_bytes_get_data (bytes, &len);
  printf ("relay: %d upstreams in %zu bytes, %zu of text\n", UPSTREAMS, len, texts);
  ck_assert_uint_lt (len, texts / 3);
  ck_assert (cf_relay_decode (data, len, &update));
  ck_assert_uint_eq (update.parts.parts.parts_val[CF_FEED_UPSTREAMS].records.records_len,
                     UPSTREAMS);
  cf_relay_clear (&update);
  /* The next follower at the same position gets the cached encoding, and after a change of the
   * replica it does not. */
  again = cf_relay_encode (&cache, &replica, &nothing, &origin);
  ck_assert (g_bytes_equal (bytes, again));
  ck_assert_ptr_null (cache.entries[1].parts);
  g_bytes_unref (again);
  apply_record (&replica, "i-new", UPSTREAMS + 2, false, false);
  again = cf_relay_encode (&cache, &replica, &nothing, &origin);
  ck_assert (!g_bytes_equal (bytes, again));
  g_bytes_unref (again);
  g_bytes_unref (bytes);
  g_ptr_array_unref (records);
  cf_relay_cache_clear (&cache);
  cf_replica_clear (&replica);
}
END_TEST

/* Records of deleted upstreams do not accumulate, and a follower that missed a deletion still
 * learns of it. */
START_TEST (test_replica_prunes_deleted)
{
  struct CfReplica from;
  struct CfReplica to;
  uint64_t revision = 10;

  cf_replica_init (&from);
  cf_replica_init (&to);
  apply_record (&from, "i-first", revision, false, true);
  relay_changes (&from, &to);
  for (int i = 0; i < 3 * CF_REPLICA_DELETED_MAX; i++)
    {
      char name[32];

      g_snprintf (name, sizeof name, "i-%d", i);
      apply_record (&from, name, ++revision, false, false);
      apply_record (&from, name, ++revision, true, false);
    }
  apply_record (&from, "i-first", ++revision, true, false);
  apply_record (&from, "i-last", ++revision, false, false);
  ck_assert_uint_le (g_hash_table_size (from.records[CF_FEED_UPSTREAMS]),
                     CF_REPLICA_DELETED_MAX + 2);
  relay_changes (&from, &to);
  ck_assert_uint_eq (cf_replica_count (&to, CF_FEED_UPSTREAMS), 1);
  cf_replica_clear (&from);
  cf_replica_clear (&to);
}
END_TEST

START_TEST (test_position)
{
  struct CfFeedPosition position
      = { .era = 7, .revision = { 1, 2, 3, 18446744073709551615ULL }, .differences = _i };
  struct CfFeedPosition copy;
  char *query = cf_feed_position_format (&position);
  GHashTable *parsed = g_uri_parse_params (query, -1, "&", G_URI_PARAMS_NONE, NULL);

  ck_assert (cf_feed_position_parse (parsed, &copy));
  ck_assert_uint_eq (copy.era, position.era);
  ck_assert (memcmp (position.revision, copy.revision, sizeof copy.revision) == 0);
  ck_assert (copy.differences == position.differences);
  g_hash_table_remove (parsed, "upstreams");
  ck_assert (!cf_feed_position_parse (parsed, &copy));
  ck_assert (!cf_feed_position_parse (NULL, &copy));
  g_hash_table_unref (parsed);
  g_free (query);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relay");

  suite_add_loop (suite, test_relay, 1);
  suite_add_loop (suite, test_relay_unknown_deletion, 1);
  suite_add_loop (suite, test_deletion_of_unknown_record_is_relayed, 1);
  suite_add_loop (suite, test_first_era_carries_nothing, 1);
  suite_add_loop (suite, test_relay_bounded, 1);
  suite_add_loop (suite, test_relay_inflates_bounded, 1);
  suite_add_loop (suite, test_relay_size_is_bounded, 1);
  suite_add_loop (suite, test_impossible_numbers_are_rejected, 2);
  suite_add_loop (suite, test_relay_many, 1);
  suite_add_loop (suite, test_replica_prunes_deleted, 1);
  suite_add_loop (suite, test_position, 2);
  return suite_run (suite);
}
