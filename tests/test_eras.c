#include "feed/era.h"
#include "feed/reader.h"
#include "feed/replica.h"
#include "platform/store_requests.h"
#include "suite.h"

/* What a VM does with records and responses when the store begins a new era. */

#define ERA_AT_MS 10000 /* when the store returns */

/* Applies the record NAME of KIND with TEXT (NULL: deleted) at REVISION as a whole list, an empty
 * one if NAME is NULL.  Returns the number of records that changed. */
static uint32_t
list (struct CfReplica *replica,
      enum CfFeedKind kind,
      const char *name,
      const char *text,
      uint64_t revision)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  GPtrArray *changes;
  uint32_t count;

  if (name)
    {
      struct CfRecord *record = cf_record_new (name, revision, !text, text);

      cf_platform_read_order (kind, record);
      g_ptr_array_add (records, record);
    }
  changes = cf_replica_apply (replica, kind, records, revision, true);
  count = changes->len;
  g_ptr_array_unref (changes);
  g_ptr_array_unref (records);
  return count;
}

static uint32_t
end_carry (struct CfReplica *replica, enum CfFeedKind kind, CfMillis now)
{
  GPtrArray *changes = cf_replica_end_carry (replica, kind, now, true, now);
  uint32_t count = changes->len;

  g_ptr_array_unref (changes);
  return count;
}

static const char *
text_of (const struct CfReplica *replica, enum CfFeedKind kind, const char *name)
{
  const struct CfRecord *record = g_hash_table_lookup (replica->records[kind], name);

  ck_assert_ptr_nonnull (record);
  return record->deleted ? "deleted" : record->text;
}

/* A VM that has a manifest of the store's first era. */
static void
begin (struct CfReplica *replica)
{
  cf_replica_init (replica);
  cf_replica_enter_era (replica, 1, 0);
  list (replica, CF_FEED_MANIFEST, "main", "{\"version\":11}", 29);
}

/* The store's copy has a manifest from before the one in force. */
START_TEST (test_older_manifest_is_ignored)
{
  struct CfReplica replica;

  begin (&replica);
  cf_replica_enter_era (&replica, 2, ERA_AT_MS);
  ck_assert_uint_eq (list (&replica, CF_FEED_MANIFEST, "main", "{\"version\":4}", 20), 0);
  ck_assert_uint_eq (end_carry (&replica, CF_FEED_MANIFEST, ERA_AT_MS + 1000000), 0);
  ck_assert_str_eq (text_of (&replica, CF_FEED_MANIFEST, "main"), "{\"version\":11}");
  ck_assert_uint_eq (list (&replica, CF_FEED_MANIFEST, "main", "{\"version\":14}", 29), 1);
  ck_assert_str_eq (text_of (&replica, CF_FEED_MANIFEST, "main"), "{\"version\":14}");
  cf_replica_clear (&replica);
}
END_TEST

/* An upstream whose announcement the store lost, and that did not write it again, is gone. */
START_TEST (test_lost_announcement_is_carried_for_a_time)
{
  static const char text[] = "{\"sequence\":1,\"born\":5}";
  struct CfReplica replica;

  begin (&replica);
  list (&replica, CF_FEED_UPSTREAMS, "i-1", text, 29);
  cf_replica_enter_era (&replica, 2, ERA_AT_MS);
  ck_assert_uint_eq (list (&replica, CF_FEED_UPSTREAMS, NULL, NULL, 20), 0);
  ck_assert_uint_eq (
      end_carry (&replica, CF_FEED_UPSTREAMS, ERA_AT_MS + CF_REPLICA_CARRY_UPSTREAMS_MS - 1), 0);
  ck_assert_str_eq (text_of (&replica, CF_FEED_UPSTREAMS, "i-1"), text);
  ck_assert_uint_eq (
      end_carry (&replica, CF_FEED_UPSTREAMS, ERA_AT_MS + CF_REPLICA_CARRY_UPSTREAMS_MS), 1);
  ck_assert_str_eq (text_of (&replica, CF_FEED_UPSTREAMS, "i-1"), "deleted");
  cf_replica_clear (&replica);
}
END_TEST

/* The copy has an upstream as ready that drains: its later content counts for a time, then the
 * store's, whose writer may be content with it. */
START_TEST (test_earlier_announcement_waits)
{
  static const char ready[] = "{\"state\":\"ready\",\"sequence\":1,\"born\":5}";
  static const char draining[] = "{\"state\":\"draining\",\"sequence\":2,\"born\":5}";
  struct CfReplica replica;

  begin (&replica);
  list (&replica, CF_FEED_UPSTREAMS, "i-1", draining, 29);
  cf_replica_enter_era (&replica, 2, ERA_AT_MS);
  ck_assert_uint_eq (list (&replica, CF_FEED_UPSTREAMS, "i-1", ready, 20), 0);
  ck_assert_uint_eq (
      end_carry (&replica, CF_FEED_UPSTREAMS, ERA_AT_MS + CF_REPLICA_CARRY_SUPERSEDING_MS - 1), 0);
  ck_assert_str_eq (text_of (&replica, CF_FEED_UPSTREAMS, "i-1"), draining);
  ck_assert_uint_eq (
      end_carry (&replica, CF_FEED_UPSTREAMS, ERA_AT_MS + CF_REPLICA_CARRY_SUPERSEDING_MS), 1);
  ck_assert_str_eq (text_of (&replica, CF_FEED_UPSTREAMS, "i-1"), ready);
  cf_replica_clear (&replica);
}
END_TEST

START_TEST (test_reader_starts_over)
{
  struct CfReader reader;
  struct CfFeedResponse whole
      = { .records = g_ptr_array_new_with_free_func (cf_record_free), .revision = 25 };
  GRand *random = g_rand_new_with_seed (1);

  cf_reader_init (&reader, CF_FEED_MANIFEST, 0);
  ck_assert (cf_reader_start_due (&reader, 0));
  /* The first response is accepted whatever its era. */
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 2), CF_READ_ANSWERED);
  ck_assert (!cf_reader_enter_era (&reader, 2, 0));
  ck_assert (cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &whole, 0, random));
  ck_assert (cf_reader_start_due (&reader, CF_READER_COALESCE_MS));
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 2), CF_READ_ANSWERED);
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 0), CF_READ_ANSWERED);
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 1), CF_READ_REJECTED);
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 3), CF_READ_HISTORY_GONE);
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_NO_ANSWER, 0), CF_READ_NO_ANSWER);
  ck_assert (cf_reader_enter_era (&reader, 3, 100));
  ck_assert (!reader.listed);
  ck_assert_uint_eq (reader.revision, 0);
  ck_assert (cf_reader_start_due (&reader, 100));
  ck_assert (!cf_reader_trusted (&reader, 100));
  cf_reader_clear (&reader);
  cf_feed_response_clear (&whole);
  g_rand_free (random);
}
END_TEST

START_TEST (test_era_of_response)
{
  static const struct
  {
    const char *header;
    uint64_t era;
  } cases[] = { { NULL, 0 }, { "3", 3 },  { "", 0 },
                { "-1", 0 }, { "3x", 0 }, { "18446744073709551616", UINT64_MAX } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      SoupMessage *message = soup_message_new ("GET", "http://127.0.0.1/");

      if (cases[i].header)
        soup_message_headers_replace (soup_message_get_response_headers (message), "Store-Era",
                                      cases[i].header);
      ck_assert_uint_eq (cf_platform_era (message), cases[i].era);
      g_object_unref (message);
    }
}
END_TEST

/* A VM that left a wrong era took what it had in it for later than the store's records. */
START_TEST (test_records_of_a_left_era_are_carried)
{
  struct CfReplica replica;
  const struct CfRecord *record;

  cf_replica_init (&replica);
  cf_replica_enter_era (&replica, 1000000, 0);
  list (&replica, CF_FEED_UPSTREAMS, "i-1", "{}", 29);
  record = g_hash_table_lookup (replica.records[CF_FEED_UPSTREAMS], "i-1");
  cf_replica_enter_era (&replica, 1, ERA_AT_MS);
  ck_assert (cf_replica_is_carried (&replica, record));
  list (&replica, CF_FEED_UPSTREAMS, "i-1", "{}", 7);
  ck_assert (!cf_replica_is_carried (&replica, record));
  ck_assert_uint_eq (record->revision, 7);
  ck_assert_uint_gt (record->era, 1);
  cf_replica_clear (&replica);
}
END_TEST

/* One wrong answer, or several that differ, must not be enough, and a right one discards it. */
START_TEST (test_doubted_era_needs_confirmation)
{
  struct CfEraCandidate candidate = { 0 };
  const CfMillis end = CF_ERA_CONFIRM_MS;

  ck_assert_int_eq (cf_era_judge_store (&candidate, 0, 5000, 0), CF_ERA_LATER);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5, 5 + CF_ERA_JUMP_MAX, 0), CF_ERA_LATER);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 5000 - CF_ERA_JUMP_MAX, 0),
                    CF_ERA_EARLIER);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 5, 0), CF_ERA_DOUBTED);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 5, 1), CF_ERA_DOUBTED);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 5, end - 1), CF_ERA_DOUBTED);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 5000, end), CF_ERA_HELD);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 5, end), CF_ERA_DOUBTED);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 6, 2 * end), CF_ERA_DOUBTED);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 6, 3 * end), CF_ERA_DOUBTED);
  ck_assert_int_eq (cf_era_judge_store (&candidate, 5000, 6, 3 * end), CF_ERA_LATER);
  for (int i = 0; i <= 2 * CF_ERA_CONFIRM_ANSWERS; i++)
    ck_assert_int_eq (cf_era_judge_store (&candidate, 5, CF_ERA_MAX + 1, i * end), CF_ERA_DOUBTED);
}
END_TEST

START_TEST (test_order_of_contents)
{
  static const struct
  {
    enum CfFeedKind kind;
    const char *text;
    int64_t incarnation;
    uint64_t sequence;
  } cases[] = {
    { CF_FEED_MANIFEST, "{\"version\":15,\"routes\":[{\"version\":3}]}", 0, 15 },
    { CF_FEED_UPSTREAMS, "{\"sequence\":4,\"born\":1791912288048}", 1791912288048, 4 },
    { CF_FEED_UPSTREAMS, "{\"state\":\"ready\"}", 0, 0 },
    { CF_FEED_UPSTREAMS, "{\"sequence\":\"4\",\"born\":[7]}", 0, 0 },
    { CF_FEED_UPSTREAMS, "\xff\xfe", 0, 0 },
    { CF_FEED_UPSTREAMS, NULL, 0, 0 },
    { CF_FEED_EVACUATIONS, "{\"version\":15,\"sequence\":4,\"born\":7}", 0, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct CfRecord *record = cf_record_new ("a", 1, !cases[i].text, cases[i].text);

      cf_platform_read_order (cases[i].kind, record);
      ck_assert_int_eq (record->order.incarnation, cases[i].incarnation);
      ck_assert_uint_eq (record->order.sequence, cases[i].sequence);
      cf_record_free (record);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("eras");

  suite_add_loop (suite, test_older_manifest_is_ignored, 1);
  suite_add_loop (suite, test_lost_announcement_is_carried_for_a_time, 1);
  suite_add_loop (suite, test_earlier_announcement_waits, 1);
  suite_add_loop (suite, test_reader_starts_over, 1);
  suite_add_loop (suite, test_era_of_response, 1);
  suite_add_loop (suite, test_records_of_a_left_era_are_carried, 1);
  suite_add_loop (suite, test_doubted_era_needs_confirmation, 1);
  suite_add_loop (suite, test_order_of_contents, 1);
  return suite_run (suite);
}
