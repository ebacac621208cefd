#include "feed/reader.h"
#include "feed/replica.h"
#include "feed/sources.h"
#include "feed/vm_record.h"
#include "platform/store_requests.h"
#include "platform/objects.h"
#include "suite.h"

#include <string.h>

/* The replica of the store's records, the schedule of calls to the store, and the parsing of
 * its responses. */

static GPtrArray *
records_new (void)
{
  return g_ptr_array_new_with_free_func (cf_record_free);
}

static GPtrArray *
one_record (const char *name, uint64_t revision, bool deleted, const char *text)
{
  GPtrArray *records = records_new ();

  g_ptr_array_add (records, cf_record_new (name, revision, deleted, text));
  return records;
}

static uint32_t
apply (struct CfReplica *replica, GPtrArray *records, uint64_t revision, bool whole)
{
  GPtrArray *changes = cf_replica_apply (replica, CF_FEED_UPSTREAMS, records, revision, whole);
  uint32_t count = changes->len;

  g_ptr_array_unref (changes);
  g_ptr_array_unref (records);
  return count;
}

/* An upstream that changes twice between two reads occurs twice in one response. */
START_TEST (test_replica_repeated_record)
{
  struct CfReplica replica;
  GPtrArray *records = records_new ();
  GPtrArray *changes;

  cf_replica_init (&replica);
  g_ptr_array_add (records, cf_record_new ("i-1", 5, false, "{\"a\":1}"));
  g_ptr_array_add (records, cf_record_new ("i-1", 7, false, "{\"a\":2}"));
  changes = cf_replica_apply (&replica, CF_FEED_UPSTREAMS, records, 7, false);
  ck_assert_uint_eq (changes->len, 1);
  ck_assert_str_eq (((struct CfRecord *) changes->pdata[0])->name, "i-1");
  ck_assert_str_eq (((struct CfRecord *) changes->pdata[0])->text, "{\"a\":2}");
  g_ptr_array_unref (changes);
  g_ptr_array_unref (records);
  cf_replica_clear (&replica);
}
END_TEST

START_TEST (test_replica_never_goes_back)
{
  struct CfReplica replica;

  cf_replica_init (&replica);
  ck_assert_uint_eq (apply (&replica, one_record ("i-1", 9, false, "{}"), 9, true), 1);
  ck_assert_uint_eq (apply (&replica, one_record ("i-1", 8, false, "{}"), 8, false), 0);
  /* A list that is older than what is known deletes nothing. */
  ck_assert_uint_eq (apply (&replica, records_new (), 8, true), 0);
  ck_assert_uint_eq (cf_replica_count (&replica, CF_FEED_UPSTREAMS), 1);
  ck_assert_uint_eq (apply (&replica, one_record ("i-1", 10, true, NULL), 10, false), 1);
  ck_assert_uint_eq (apply (&replica, one_record ("i-1", 9, false, "{}"), 9, false), 0);
  ck_assert_uint_eq (cf_replica_count (&replica, CF_FEED_UPSTREAMS), 0);
  ck_assert_uint_eq (apply (&replica, one_record ("i-1", 12, false, "{}"), 12, false), 1);
  cf_replica_clear (&replica);
}
END_TEST

START_TEST (test_replica_list_deletes_the_rest)
{
  struct CfReplica replica;
  GPtrArray *changed;

  cf_replica_init (&replica);
  apply (&replica, one_record ("i-1", 3, false, "{}"), 3, true);
  apply (&replica, one_record ("i-2", 4, false, "{}"), 4, false);
  ck_assert_uint_eq (apply (&replica, one_record ("i-2", 4, false, "{}"), 9, true), 1);
  ck_assert_uint_eq (cf_replica_count (&replica, CF_FEED_UPSTREAMS), 1);
  changed = cf_replica_since (&replica, CF_FEED_UPSTREAMS, 4);
  ck_assert_uint_eq (changed->len, 1);
  ck_assert (((struct CfRecord *) changed->pdata[0])->deleted);
  g_ptr_array_unref (changed);
  cf_replica_clear (&replica);
}
END_TEST

static struct CfFeedResponse
parse (const char *text, guint status, enum CfReadOutcome expected)
{
  struct CfFeedResponse response = { 0 };

  ck_assert_int_eq (cf_platform_parse_response_body (status, text, strlen (text), CF_FEED_UPSTREAMS,
                                                     !strstr (text, "\"events\""), &response),
                    expected);
  return response;
}

START_TEST (test_reader_lists_then_waits)
{
  struct CfReader reader;
  GRand *random = g_rand_new_with_seed (1);
  struct CfFeedResponse first_page = parse (
      "{\"items\":[{\"meta\":{\"name\":\"i-1\",\"revision\":3},\"spec\":{}}],\"truncated\":true,"
      "\"store-revision\":20}",
      200, CF_READ_ANSWERED);
  struct CfFeedResponse last_page
      = parse ("{\"items\":[],\"truncated\":false,\"store-revision\":25}", 200, CF_READ_ANSWERED);
  struct CfFeedResponse events
      = parse ("{\"events\":[],\"store-revision\":30}", 200, CF_READ_ANSWERED);

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  ck_assert (cf_reader_start_due (&reader, 0));
  ck_assert (!cf_reader_start_due (&reader, 0));
  ck_assert (!cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &first_page, 5, random));
  ck_assert_str_eq (reader.after, "i-1");
  ck_assert (cf_reader_start_due (&reader, 5));
  ck_assert (cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &last_page, 9, random));
  /* Watches start at the revision of the first page, to get what changed while the others were
   * read. */
  ck_assert_uint_eq (reader.revision, 20);
  ck_assert (!cf_reader_start_due (&reader, 9));
  ck_assert (cf_reader_start_due (&reader, 9 + CF_READER_COALESCE_MS));
  cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &events, 1500, random);
  ck_assert_uint_eq (reader.revision, 30);
  ck_assert (cf_reader_start_due (&reader, 1500));
  cf_reader_handle_outcome (&reader, CF_READ_HISTORY_GONE, NULL, 1600, random);
  ck_assert (!reader.listed);
  ck_assert (cf_reader_start_due (&reader, 1600));
  cf_reader_clear (&reader);
  cf_feed_response_clear (&first_page);
  cf_feed_response_clear (&last_page);
  cf_feed_response_clear (&events);
  g_rand_free (random);
}
END_TEST

/* A VM with old data asked the store 37 times a second, since each response was followed by the
 * next call at once. */
START_TEST (test_reader_stale_wait)
{
  struct CfReader reader;
  GRand *random = g_rand_new_with_seed (1);
  struct CfFeedResponse whole
      = parse ("{\"items\":[],\"truncated\":false,\"store-revision\":25}", 200, CF_READ_ANSWERED);
  struct CfFeedResponse none
      = parse ("{\"events\":[],\"store-revision\":25}", 200, CF_READ_ANSWERED);
  const CfMillis stale_ms = 2300;
  CfMillis now = 10000;
  uint32_t calls = 0;

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, now);
  ck_assert_int_eq (cf_reader_wait (&reader, 1500, stale_ms, false, now), 0);
  cf_reader_start_due (&reader, now);
  cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &whole, now, random);
  ck_assert_int_eq (cf_reader_wait (&reader, 1500, stale_ms, true, now), 0);
  now += stale_ms;
  ck_assert_int_eq (cf_reader_wait (&reader, 1500, stale_ms, false, now), 0);
  for (CfMillis end = now + 3000; now < end; now++)
    if (cf_reader_start_due (&reader, now))
      {
        now += MAX (cf_reader_wait (&reader, 1500, stale_ms, false, now), 4);
        cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &none, now, random);
        calls++;
      }
  ck_assert_uint_le (calls, 4);
  cf_reader_clear (&reader);
  cf_feed_response_clear (&whole);
  cf_feed_response_clear (&none);
  g_rand_free (random);
}
END_TEST

START_TEST (test_reader_backs_off)
{
  struct CfReader reader;
  GRand *random = g_rand_new_with_seed (1);
  struct CfFeedResponse whole
      = parse ("{\"items\":[],\"truncated\":false,\"store-revision\":25}", 200, CF_READ_ANSWERED);
  CfMillis now = 0;
  uint32_t calls = 0;

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  for (now = 0; now < 20000; now += 10)
    if (cf_reader_start_due (&reader, now))
      {
        calls++;
        cf_reader_handle_outcome (&reader, now % 20 ? CF_READ_NO_ANSWER : CF_READ_REJECTED, NULL,
                                  now, random);
      }
  ck_assert_uint_ge (calls, 20);
  ck_assert_uint_le (calls, 50);
  ck_assert (!cf_reader_trusted (&reader, now));
  reader.next_at = now;
  ck_assert (cf_reader_start_due (&reader, now));
  cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &whole, now, random);
  ck_assert (!cf_reader_trusted (&reader, now + 1000));
  ck_assert (cf_reader_trusted (&reader, now + CF_READER_SETTLE_MS + 1000));
  cf_reader_clear (&reader);
  cf_feed_response_clear (&whole);
  g_rand_free (random);
}
END_TEST

#define ITEM(name) "{\"meta\":{\"name\":\"" name "\",\"revision\":3},\"spec\":{}}"

/* A list in the order of the store, with items of other writers. */
static const struct
{
  const char *item;
  const char *last;   /* position that the store is asked to go on after, if a page ends here */
  const char *record; /* NULL: it names none */
} listed_items[] = {
  { ITEM ("i-1"), "i-1", "i-1" },
  { ITEM ("i-2\\u0000"), "i-2", NULL },
  { ITEM ("i-3\\ud800"), "i-3", NULL },
  { "{\"meta\":{\"name\":\"i-4\",\"revision\":-1},\"spec\":{}}", "i-4", NULL },
  { "{\"meta\":{\"name\":\"i-5\"}}", "i-5", NULL },
  { ITEM ("i-6\\u00e9"), "i-6\xc3\xa9", "i-6\xc3\xa9" },
  { ITEM ("i-7\x80"), "i-7\x80", NULL },
  { ITEM ("i-7\x80z"), "i-7\x80z", NULL },
  { ITEM ("i-8"), "i-8", "i-8" },
};

/* Returns the page of SIZE items after the position AFTER. */
static char *
list_page (const char *after, guint size)
{
  GString *page = g_string_new ("{\"items\":[");
  guint first = 0;
  guint end;

  while (after && first < G_N_ELEMENTS (listed_items)
         && strcmp (listed_items[first].last, after) <= 0)
    first++;
  end = MIN (first + size, G_N_ELEMENTS (listed_items));
  for (guint i = first; i < end; i++)
    g_string_append_printf (page, "%s%s", i > first ? "," : "", listed_items[i].item);
  g_string_append_printf (page, "],\"truncated\":%s,\"store-revision\":9}",
                          end < G_N_ELEMENTS (listed_items) ? "true" : "false");
  return g_string_free (page, FALSE);
}

/* The name of a page's last readable record was where the next page began: a page without one ended
 * the list, whose rest counted as deleted, and one that began with the same item came for ever. */
START_TEST (test_list_gets_past_every_item)
{
  GRand *random = g_rand_new_with_seed (1);
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct CfReader reader;
  bool whole = false;

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  for (guint call = 0; call < G_N_ELEMENTS (listed_items) && !whole; call++)
    {
      char *page = list_page (reader.after, (guint) _i + 1);
      struct CfFeedResponse response = parse (page, 200, CF_READ_ANSWERED);

      ck_assert (cf_reader_start_due (&reader, 5));
      ck_assert (!cf_reader_is_stuck (&reader, &response));
      for (guint i = 0; i < response.records->len; i++)
        g_hash_table_add (names, g_strdup (((struct CfRecord *) response.records->pdata[i])->name));
      whole = cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &response, 5, random);
      cf_feed_response_clear (&response);
      g_free (page);
    }
  ck_assert (whole);
  for (guint i = 0; i < G_N_ELEMENTS (listed_items); i++)
    ck_assert (!listed_items[i].record || g_hash_table_contains (names, listed_items[i].record));
  cf_reader_clear (&reader);
  g_hash_table_unref (names);
  g_rand_free (random);
}
END_TEST

/* Other VMs were refused the records while one could not be sent to them, and records of a megabyte
 * take a process's memory. */
START_TEST (test_large_records_are_bounded)
{
  const size_t sizes[] = { 16000, 17000, 1048000 };
  char *name = g_strnfill (1000000, 'n');
  char *text = g_strnfill (sizes[_i], 'x');
  char *list = g_strconcat ("{\"items\":[{\"meta\":{\"name\":\"i-1\",\"revision\":2},\"spec\":\"",
                            text, "\"},{\"meta\":{\"name\":\"i-2", name,
                            "\",\"revision\":2},\"spec\":{}}],\"truncated\":true,"
                            "\"store-revision\":9}",
                            NULL);

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      bool fits = kind == CF_FEED_MANIFEST || _i == 0;
      struct CfFeedResponse response = { 0 };
      const struct CfRecord *record;

      ck_assert_int_eq (cf_platform_parse_response_body (200, list, strlen (list),
                                                         (enum CfFeedKind) kind, true, &response),
                        CF_READ_ANSWERED);
      ck_assert_uint_eq (response.records->len, 1);
      ck_assert_uint_eq (response.skipped, 1);
      ck_assert_uint_eq (response.emptied, !fits);
      record = response.records->pdata[0];
      ck_assert (fits ? strlen (record->text) == sizes[_i] + 2
                      : strcmp (record->text, "null") == 0);
      /* The next page begins after all names that are too long and begin like this one. */
      ck_assert_uint_eq (strlen (response.last), CF_RECORD_NAME_MAX_BYTES + 4);
      ck_assert (g_str_has_prefix (response.last, "i-2nnn"));
      ck_assert (g_str_has_suffix (response.last, "nnn\xf4\x8f\xbf\xbf"));
      cf_feed_response_clear (&response);
    }
  g_free (list);
  g_free (text);
  g_free (name);
}
END_TEST

/* Pages after which the list is not whole, though the store gives no way on. */
static const char *const stuck_pages[] = {
  "{\"items\":[],\"truncated\":true,\"store-revision\":9}",
  "{\"items\":[7,null,[]],\"truncated\":true,\"store-revision\":9}",
  "{\"items\":[{\"meta\":{\"name\":[],\"revision\":2}}],\"truncated\":true,\"store-revision\":9}",
  "{\"items\":[" ITEM ("i-1") "],\"truncated\":true,\"store-revision\":9}",
};

START_TEST (test_list_that_ends_nowhere_is_never_whole)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  CfMillis now;
  uint32_t calls = 0;

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  for (now = 0; now < 20000; now += 10)
    if (cf_reader_start_due (&reader, now))
      {
        struct CfFeedResponse response = parse (stuck_pages[_i], 200, CF_READ_ANSWERED);
        enum CfReadOutcome outcome
            = cf_reader_is_stuck (&reader, &response) ? CF_READ_UNREADABLE : CF_READ_ANSWERED;

        ck_assert (!cf_reader_handle_outcome (&reader, outcome, &response, now, random));
        ck_assert (!reader.listed);
        cf_feed_response_clear (&response);
        calls++;
      }
  ck_assert_uint_ge (calls, 10);
  ck_assert_uint_le (calls, 60);
  cf_reader_clear (&reader);
  g_rand_free (random);
}
END_TEST

/* Each page has another name, and the list never ends: it would take all memory. */
START_TEST (test_list_without_end_is_given_up)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  uint32_t page = 0;

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  for (bool stuck = false; !stuck; page++)
    {
      char *name = g_strdup_printf ("i-%08u", page);
      char *text = g_strconcat ("{\"items\":[{\"meta\":{\"name\":\"", name,
                                "\",\"revision\":3},\"spec\":{}}],\"truncated\":true,"
                                "\"store-revision\":9}",
                                NULL);
      struct CfFeedResponse response = parse (text, 200, CF_READ_ANSWERED);

      ck_assert_uint_le (page, CF_READER_PAGES_MAX);
      cf_reader_start_due (&reader, 5);
      stuck = cf_reader_is_stuck (&reader, &response);
      cf_reader_handle_outcome (&reader, stuck ? CF_READ_UNREADABLE : CF_READ_ANSWERED, &response,
                                5, random);
      cf_feed_response_clear (&response);
      g_free (name);
      g_free (text);
    }
  for (int i = 1; i < CF_READER_UNREADABLE_MAX; i++)
    cf_reader_handle_outcome (&reader, CF_READ_UNREADABLE, NULL, 5, random);
  ck_assert_ptr_null (reader.after);
  ck_assert_uint_eq (reader.pages, 0);
  cf_reader_clear (&reader);
  g_rand_free (random);
}
END_TEST

/* While the first page of a list was under way, another VM sent the whole list.  The page was taken
 * for the answer to a watch from then on: the changes between the two were lost. */
START_TEST (test_list_page_is_no_watch_answer)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  struct CfFeedResponse page
      = parse ("{\"items\":[" ITEM ("i-1") "],\"truncated\":true,\"store-revision\":20}", 200,
               CF_READ_ANSWERED);

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  ck_assert (cf_reader_start_due (&reader, 0));
  cf_reader_skip_to (&reader, 10);
  ck_assert (!cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &page, 5, random));
  ck_assert (!reader.listed);
  /* Between two pages the reader may leave the list, if it goes on from the other's revision. */
  cf_reader_skip_to (&reader, 10);
  ck_assert (!reader.listed);
  cf_reader_skip_to (&reader, 30);
  ck_assert (reader.listed);
  ck_assert_uint_eq (reader.revision, 30);
  cf_reader_clear (&reader);
  cf_feed_response_clear (&page);
  g_rand_free (random);
}
END_TEST

/* An event that cannot be read, or events that are too large, came again with each call. */
START_TEST (test_unreadable_watch_becomes_a_list)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  struct CfFeedResponse whole
      = parse ("{\"items\":[],\"truncated\":false,\"store-revision\":25}", 200, CF_READ_ANSWERED);

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  ck_assert (cf_reader_start_due (&reader, 0));
  cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &whole, 0, random);
  ck_assert (cf_reader_start_due (&reader, CF_READER_COALESCE_MS));
  /* A store that is away does not cost a list. */
  for (int i = 0; i < 10; i++)
    cf_reader_handle_outcome (&reader, i % 2 ? CF_READ_NO_ANSWER : CF_READ_UNREADABLE, NULL, 0,
                              random);
  ck_assert (reader.listed);
  for (int i = 0; i < CF_READER_UNREADABLE_MAX; i++)
    cf_reader_handle_outcome (&reader, CF_READ_UNREADABLE, NULL, 0, random);
  ck_assert (!reader.listed);
  cf_reader_clear (&reader);
  cf_feed_response_clear (&whole);
  g_rand_free (random);
}
END_TEST

/* A reader at revision 25 after a list; a call to wait for changes is under way since 1,000. */
static void
begin_watch (struct CfReader *reader, GRand *random)
{
  struct CfFeedResponse whole
      = parse ("{\"items\":[],\"truncated\":false,\"store-revision\":25}", 200, CF_READ_ANSWERED);

  cf_reader_init (reader, CF_FEED_UPSTREAMS, 0);
  ck_assert (cf_reader_start_due (reader, 0));
  ck_assert (cf_reader_handle_outcome (reader, CF_READ_ANSWERED, &whole, 0, random));
  ck_assert (cf_reader_start_due (reader, 1000));
  cf_feed_response_clear (&whole);
}

/* Answers were read by what the reader knew when they came.  The history after a revision that
 * another VM's records have passed is gone: all was listed anew.  A page of a list that is not
 * under way any more was one of the list that is. */
START_TEST (test_answer_is_read_by_what_was_asked)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  enum CfReadOutcome outcome;

  begin_watch (&reader, random);
  cf_reader_skip_to (&reader, 30);
  outcome = cf_reader_outcome (&reader, CF_READ_HISTORY_GONE, 0);
  ck_assert_int_eq (outcome, CF_READ_OVERTAKEN);
  ck_assert (!cf_reader_handle_outcome (&reader, outcome, NULL, 1004, random));
  ck_assert (reader.listed);
  ck_assert_uint_eq (reader.revision, 30);
  ck_assert (cf_reader_start_due (&reader, 1004));
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_HISTORY_GONE, 0), CF_READ_HISTORY_GONE);
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 0), CF_READ_ANSWERED);
  /* Whatever makes the reader list again: the answer to the watch is no page. */
  reader.listed = false;
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 0), CF_READ_OVERTAKEN);
  reader.in_flight = false;
  ck_assert (cf_reader_start_due (&reader, 1004));
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 0), CF_READ_ANSWERED);
  /* And a page is neither the answer to a watch nor another page. */
  reader.after = g_strdup ("i-1");
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 0), CF_READ_OVERTAKEN);
  g_clear_pointer (&reader.after, g_free);
  reader.listed = true;
  ck_assert_int_eq (cf_reader_outcome (&reader, CF_READ_ANSWERED, 0), CF_READ_OVERTAKEN);
  cf_reader_clear (&reader);
  g_rand_free (random);
}
END_TEST

/* A list counted as the store's data of the time of its last page, although what changed since the
 * first is not in it: a VM was taken to be up to date that was behind by all of a list's time. */
START_TEST (test_list_is_as_old_as_its_first_page)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  struct CfFeedResponse first
      = parse ("{\"items\":[" ITEM ("i-1") "],\"truncated\":true,\"store-revision\":20}", 200,
               CF_READ_ANSWERED);
  struct CfFeedResponse last
      = parse ("{\"items\":[],\"truncated\":false,\"store-revision\":25}", 200, CF_READ_ANSWERED);

  cf_reader_init (&reader, CF_FEED_UPSTREAMS, 0);
  ck_assert (cf_reader_start_due (&reader, 0));
  ck_assert (!cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &first, 250, random));
  ck_assert_int_lt (reader.answered_at, 0);
  ck_assert (cf_reader_start_due (&reader, 250));
  ck_assert (cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &last, 500, random));
  ck_assert_int_eq (reader.answered_at, 250);
  cf_reader_clear (&reader);
  cf_feed_response_clear (&first);
  cf_feed_response_clear (&last);
  g_rand_free (random);
}
END_TEST

/* A store that answers a watch at once and without changes, as one does that knows no waiting, was
 * called again at once, some hundred times a second. */
START_TEST (test_answer_without_changes_is_no_end_of_wait)
{
  GRand *random = g_rand_new_with_seed (1);
  struct CfReader reader;
  struct CfFeedResponse none
      = parse ("{\"events\":[],\"store-revision\":25}", 200, CF_READ_ANSWERED);
  CfMillis now = 1000;
  int calls = 0;

  begin_watch (&reader, random);
  cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &none, now, random);
  for (; now < 2000; now++)
    if (cf_reader_start_due (&reader, now))
      {
        cf_reader_handle_outcome (&reader, CF_READ_ANSWERED, &none, ++now, random);
        calls++;
      }
  ck_assert_int_ge (calls, 5);
  ck_assert_int_le (calls, 10);
  cf_reader_clear (&reader);
  cf_feed_response_clear (&none);
  g_rand_free (random);
}
END_TEST

START_TEST (test_answers)
{
  struct CfFeedResponse response;

  response = parse ("", 410, CF_READ_HISTORY_GONE);
  response = parse ("", 429, CF_READ_REJECTED);
  response = parse ("", 503, CF_READ_REJECTED);
  response = parse ("{\"items\":", 200, CF_READ_UNREADABLE);
  cf_feed_response_clear (&response);
  response = parse ("{\"items\":[]}", 200, CF_READ_UNREADABLE);
  cf_feed_response_clear (&response);
  /* A list is no answer to a watch: what it lacks is not deleted.  Nor are changes a list. */
  for (int list = 0; list < 2; list++)
    {
      const char *text
          = list ? "{\"events\":[],\"store-revision\":2}" : "{\"items\":[],\"store-revision\":2}";

      ck_assert_int_eq (cf_platform_parse_response_body (200, text, strlen (text),
                                                         CF_FEED_UPSTREAMS, list, &response),
                        CF_READ_UNREADABLE);
      cf_feed_response_clear (&response);
    }
  /* Invalid UTF-8 from one writer, and an item that is not an object, hide no other records. */
  response
      = parse ("{\"items\":[7,{\"meta\":{\"name\":\"x\",\"revision\":1},\"spec\":\"\xff\xfe\"},"
               "{\"meta\":{\"name\":\"i-2\",\"revision\":2},\"spec\":{\"a\":1}}],"
               "\"store-revision\":2}",
               200, CF_READ_ANSWERED);
  ck_assert_uint_eq (response.records->len, 2);
  ck_assert_uint_eq (response.skipped, 1);
  cf_feed_response_clear (&response);
  response = parse ("{\"events\":[{\"deleted\":true,\"object\":{\"meta\":{\"name\":\"i-2\","
                    "\"revision\":3},\"spec\":{}}},{\"deleted\":false,\"object\":{\"meta\":{"
                    "\"name\":\"i-3\",\"revision\":4,\"deleting\":true},\"spec\":{}}}],"
                    "\"store-revision\":4}",
                    200, CF_READ_ANSWERED);
  ck_assert (((struct CfRecord *) response.records->pdata[0])->deleted);
  ck_assert (((struct CfRecord *) response.records->pdata[1])->deleted);
  cf_feed_response_clear (&response);
}
END_TEST

#define VALID_ANNOUNCEMENT                                                                         \
  "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","          \
  "\"slots\":2,\"state\":\"ready\",\"warmup-remaining-ms\":1500,\"sequence\":4,"                   \
  "\"born\":1791912288048}"

START_TEST (test_announcement)
{
  struct CfRecord *record = cf_record_new ("i-78ef942547", 9, false, VALID_ANNOUNCEMENT);
  struct CfAnnouncement announcement;
  struct CfError error = { 0 };

  ck_assert (cf_platform_read_announcement (record, &announcement, &error));
  ck_assert_uint_eq (announcement.tag, 0x78ef942547);
  ck_assert_uint_eq (announcement.address.ip, 0x0a800009);
  ck_assert_uint_eq (announcement.address.port, 8080);
  ck_assert_int_eq (announcement.cold_ms, 1500);
  ck_assert_int_eq (announcement.started, 1791912288048);
  ck_assert (!announcement.draining);
  cf_platform_announcement_clear (&announcement);
  cf_record_free (record);
}
END_TEST

/* Invalid announcements by other writers: the error names the record and the field. */
static const struct
{
  const char *text;
  const char *expected_error;
} invalid_announcements[] = {
  { "null", "not a JSON object" },
  { "[1", "not JSON" },
  { "{}", "service" },
  { "{\"service\":7,\"zone\":\"a\"}", "service" },
  { "{\"service\":\"s\",\"zone\":\"a\",\"state\":\"ready\"}", "address" },
  { "{\"service\":\"s\",\"zone\":\"a\",\"state\":\"ready\",\"address\":\"10.0.0.1\"}", "address" },
  { "{\"service\":\"s\",\"zone\":\"a\",\"state\":\"ready\",\"address\":\"10.0.0.1:99999\"}",
    "address" },
  { "{\"service\":\"s\",\"zone\":\"a\",\"state\":\"paused\",\"address\":\"10.0.0.1:9\","
    "\"slots\":2}",
    "state" },
  { "{\"service\":\"s\",\"zone\":\"a\",\"state\":\"ready\",\"address\":\"10.0.0.1:9\","
    "\"slots\":\"2\"}",
    "slots" },
  { "{\"service\":\"s\",\"zone\":\"a\",\"state\":\"ready\",\"address\":\"10.0.0.1:9\","
    "\"slots\":2,\"warmup-remaining-ms\":\"soon\"}",
    "warmup-remaining-ms" },
};

START_TEST (test_invalid_announcement)
{
  struct CfRecord *record = cf_record_new ("i-1", 9, false, invalid_announcements[_i].text);
  struct CfAnnouncement announcement;
  struct CfError error = { 0 };

  ck_assert (!cf_platform_read_announcement (record, &announcement, &error));
  ck_assert_msg (strstr (error.text, invalid_announcements[_i].expected_error)
                     && strstr (error.text, "i-1"),
                 "%s", error.text);
  cf_record_free (record);
}
END_TEST

/* Returns TEXT with the first "%s" in it replaced by arrays nested 150,000 deep. */
static char *
with_nest (const char *text)
{
  const size_t depth = 150000;
  char *nest = g_malloc (2 * depth + 1);
  char **parts = g_strsplit (text, "%s", 2);
  char *result;

  memset (nest, '[', depth);
  memset (nest + depth, ']', depth);
  nest[2 * depth] = 0;
  result = g_strconcat (parts[0], nest, parts[1], NULL);
  g_strfreev (parts);
  g_free (nest);
  return result;
}

/* Where another writer may leave a nest.  A list's reader ended by SIGSEGV. */
static const char *const nested_items[] = {
  "{\"meta\":{\"name\":\"i-1\",\"revision\":3},\"spec\":%s}",
  "{\"meta\":{\"name\":\"i-1\",\"revision\":3},\"spec\":{\"slots\":%s}}",
  "{\"meta\":{\"name\":\"i-1\",\"revision\":3},\"spec\":{},\"born\":%s}",
  "{\"meta\":{\"name\":\"i-1\",\"revision\":3},\"spec\":{},\"status\":%s}",
  "{\"meta\":{\"name\":%s,\"revision\":3},\"spec\":{}}",
  "{\"meta\":{\"name\":\"i-1\",\"revision\":%s},\"spec\":{}}",
  "{\"meta\":{\"name\":\"i-1\",\"revision\":3,\"deleting\":%s},\"spec\":{}}",
  "{\"meta\":%s,\"spec\":{}}",
  "%s",
};

START_TEST (test_nested_entry_ends_no_process)
{
  char *item = with_nest (nested_items[_i]);
  char *list
      = g_strconcat ("{\"items\":[", item,
                     ",{\"meta\":{\"name\":\"i-2\",\"revision\":2},\"spec\":" VALID_ANNOUNCEMENT
                     "}],\"truncated\":false,\"store-revision\":20}",
                     NULL);
  struct CfFeedResponse response = parse (list, 200, CF_READ_ANSWERED);
  struct CfAnnouncement announcement;
  struct CfVmRecord vm;
  struct CfError error = { 0 };

  ck_assert_uint_ge (response.records->len, 1);
  for (guint i = 0; i < response.records->len; i++)
    {
      struct CfRecord *record = response.records->pdata[i];
      bool last = i == response.records->len - 1;

      for (int kind = 0; kind < CF_FEED_KINDS; kind++)
        cf_platform_read_order ((enum CfFeedKind) kind, record);
      ck_assert_int_eq (cf_platform_read_announcement (record, &announcement, &error), last);
      if (last)
        cf_platform_announcement_clear (&announcement);
      ck_assert_ptr_null (cf_platform_read_manifest (record, &error));
      ck_assert_ptr_null (cf_vm_record_parse (record->text, &vm));
      if (record->text)
        ck_assert (!cf_vm_record_equal (record->text, "{\"hour\":1}"));
    }
  cf_feed_response_clear (&response);
  g_free (item);
  g_free (list);
}
END_TEST

/* Contents whose size nothing bounds: of another VM's records, and of manifests. */
static const char *const nested_contents[] = {
  "%s",
  "{\"slots\":%s}",
  "{\"version\":%s}",
  "{\"version\":1,\"routes\":%s}",
  "{\"version\":1,\"routes\":[{\"host\":%s}],\"services\":[],\"limits\":{}}",
};

/* Guards against the recursion of json-glib where only the check of depth stands before it: every
 * reader of a content ended by SIGSEGV.  The bound on sizes hides that for an upstream's entry. */
START_TEST (test_nested_record_of_vm_ends_no_process)
{
  char *text = with_nest (nested_contents[_i]);
  struct CfRecord *record = cf_record_new ("main", 3, false, text);
  struct CfAnnouncement announcement;
  struct CfVmRecord vm;
  struct CfError error = { 0 };

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    cf_platform_read_order ((enum CfFeedKind) kind, record);
  ck_assert (!cf_platform_read_announcement (record, &announcement, &error));
  ck_assert_ptr_null (cf_platform_read_manifest (record, &error));
  ck_assert_ptr_null (cf_vm_record_parse (text, &vm));
  ck_assert (!cf_vm_record_equal (text, text));
  cf_record_free (record);
  g_free (text);
}
END_TEST

static const char *const odd_numbers[] = {
  "1e300",
  "-1e300",
  "1e999",
  "-1e999",
  "9223372036854775807",
  "-9223372036854775808",
  "1e19",
  "18446744073709551615",
  "18446744073709551616",
  "-9223372036854775809",
  "9223372036854775808",
  "1e-999",
  "-0.0",
  "\"NaN\"",
  "[]",
  "true",
  "null",
};

/* Returns TEXT with the first "%s" in it replaced by NUMBER. */
static char *
with_number (const char *text, const char *number)
{
  char **parts = g_strsplit (text, "%s", 2);
  char *result = g_strconcat (parts[0], number, parts[1], NULL);

  g_strfreev (parts);
  return result;
}

static const struct
{
  const char *field;
  const char *text;
} announced_numbers[] = {
  { "slots", "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":%s,"
             "\"state\":\"ready\",\"warmup-remaining-ms\":0,\"born\":5}" },
  { "warmup-remaining-ms",
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":2,\"state\":\"ready\","
    "\"warmup-remaining-ms\":%s,\"born\":5}" },
  { "born", "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":2,"
            "\"state\":\"ready\",\"warmup-remaining-ms\":0,\"born\":%s}" },
};

/* A number out of range was cast to an integer, which is undefined, or became another number. */
START_TEST (test_announced_number_too_large)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_numbers); i++)
    {
      char *text = with_number (announced_numbers[_i].text, odd_numbers[i]);
      struct CfRecord *record = cf_record_new ("i-1", 9, false, text);
      struct CfAnnouncement announcement;
      struct CfError error = { 0 };
      bool zero = strcmp (odd_numbers[i], "1e-999") == 0 || strcmp (odd_numbers[i], "-0.0") == 0;

      cf_platform_read_order (CF_FEED_UPSTREAMS, record);
      if (cf_platform_read_announcement (record, &announcement, &error))
        {
          ck_assert (zero && _i > 0);
          cf_platform_announcement_clear (&announcement);
        }
      else
        ck_assert_msg (strstr (error.text, announced_numbers[_i].field)
                           && strstr (error.text, "i-1: "),
                       "%s", error.text);
      cf_record_free (record);
      g_free (text);
    }
}
END_TEST

static const char *const invalid_ports[] = {
  "0",
  "65536",
  "70000",
  "-1",
  "+80",
  " 80",
  "80 ",
  "80x",
  "0x50",
  "",
  "4294967376",
  "18446744073709551696",
  "99999999999999999999",
  "8\\u0030\\n",
  "80:80",
  "1e2",
};

/* A port that does not fit is an error, and never another port. */
START_TEST (test_port_out_of_range)
{
  const char *port = invalid_ports[_i];
  char *address = with_number ("{\"service\":\"s\",\"zone\":\"a\",\"state\":\"ready\",\"slots\":2,"
                               "\"address\":\"10.0.0.1:%s\"}",
                               port);
  char *prefix = with_number ("{\"version\":1,\"routes\":[{\"host\":\"198.18.0.1\",\"path-prefix\":"
                              "\"/%s/\",\"service\":\"s\"}]}",
                              port);
  struct CfRecord *upstream = cf_record_new ("i-1", 9, false, address);
  struct CfRecord *manifest = cf_record_new ("main", 9, false, prefix);
  struct CfAnnouncement announcement;
  struct CfError error = { 0 };

  ck_assert (!cf_platform_read_announcement (upstream, &announcement, &error));
  ck_assert_msg (strstr (error.text, "i-1: address"), "%s", error.text);
  ck_assert_ptr_null (cf_platform_read_manifest (manifest, &error));
  ck_assert_msg (strstr (error.text, "main: routes[0]"), "%s", error.text);
  cf_record_free (upstream);
  cf_record_free (manifest);
  g_free (address);
  g_free (prefix);
}
END_TEST

#define ROUTE "\"host\":\"198.18.0.1\",\"path-prefix\":\"/80/\""

static const char *const manifest_numbers[] = {
  "{\"version\":%s,\"routes\":[]}",
  "{\"version\":1,\"routes\":[{" ROUTE ",\"service\":\"s\",\"priority\":%s}]}",
  "{\"version\":1,\"routes\":[{" ROUTE
  ",\"weighted-services\":[{\"service\":\"s\",\"weight\":%s},{\"service\":\"t\",\"weight\":"
  "4294967295}]}]}",
  "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-s\":%s,\"warmup-per-s\":1}]"
  "}",
  "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"warmup-s\":1,\"warmup-per-s\":%s}]"
  "}",
  "{\"version\":1,\"routes\":[],\"limits\":{\"idle-timeout-ms\":%s}}",
};

START_TEST (test_record_beside_the_manifest_is_none)
{
  static const char text[] = "{\"version\":9,\"routes\":[]}";
  struct CfRecord *manifest = cf_record_new ("main", 7, false, text);
  struct CfRecord *other = cf_record_new ("main-copy", 8, false, text);
  struct CfManifest *read = cf_platform_read_manifest (manifest, NULL);
  struct CfError error = { 0 };

  ck_assert_ptr_nonnull (read);
  ck_assert_ptr_null (cf_platform_read_manifest (other, &error));
  ck_assert_str_eq (error.text, "main-copy: only main is a manifest");
  cf_manifest_free (read);
  cf_record_free (manifest);
  cf_record_free (other);
}
END_TEST

START_TEST (test_manifest_number_too_large)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_numbers); i++)
    {
      char *text = with_number (manifest_numbers[_i], odd_numbers[i]);
      struct CfRecord *record = cf_record_new ("main", 9, false, text);
      struct CfError error = { 0 };
      struct CfManifest *manifest;

      cf_platform_read_order (CF_FEED_MANIFEST, record);
      manifest = cf_platform_read_manifest (record, &error);
      if (!manifest)
        ck_assert_msg (g_str_has_prefix (error.text, "main: "), "%s", error.text);
      else
        {
          ck_assert_int_ge (manifest->flow_idle_ms, 0);
          ck_assert_int_le (manifest->flow_idle_ms, 86400000);
          for (guint j = 0; j < manifest->services->len; j++)
            {
              const struct CfServiceTraits *traits
                  = &g_array_index (manifest->services, struct CfServiceTraits, j);

              ck_assert_int_ge (traits->cold_ms, 0);
              ck_assert_int_le (traits->cold_ms, 86400000);
              ck_assert (traits->cold_per_s >= 0 && traits->cold_per_s <= 1e6);
            }
          for (guint j = 0; j < manifest->routes->len; j++)
            cf_route_service (&g_array_index (manifest->routes, struct CfRouteEntry, j),
                              (struct CfEndpoint){ .ip = 1, .port = 2 });
        }
      cf_manifest_free (manifest);
      cf_record_free (record);
      g_free (text);
    }
}
END_TEST

/* A version beyond 2^53 keeps its order. */
START_TEST (test_manifest_version_keeps_its_digits)
{
  struct CfRecord *record
      = cf_record_new ("main", 9, false, "{\"version\":9223372036854775807,\"routes\":[]}");
  struct CfManifest *manifest = cf_platform_read_manifest (record, NULL);

  ck_assert_uint_eq (manifest->version, 9223372036854775807U);
  cf_manifest_free (manifest);
  cf_record_free (record);
}
END_TEST

#define VM_RECORD(address, link, hour)                                                             \
  "{\"address\":\"" address "\",\"domain\":\"a\",\"region\":\"r\",\"link_mbps\":" link             \
  ",\"hour\":" hour "}"

/* Records of VMs of another writer.  The difference of hours overflowed, and a follower waited
 * without end for a VM whose address makes no URL (the second and third). */
static const char *const unreadable_vms[] = {
  VM_RECORD ("10.0.0.1 x", "5", "5"),
  VM_RECORD ("", "5", "5"),
  VM_RECORD ("[::1", "5", "5"),
  VM_RECORD ("::1", "5", "5"),
  VM_RECORD ("10.0.0.1:99999/%", "5", "5"),
  VM_RECORD ("10.0.0.1", "-1", "5"),
  VM_RECORD ("10.0.0.1", "1e300", "5"),
  VM_RECORD ("10.0.0.1", "9223372036854775807", "5"),
  VM_RECORD ("10.0.0.1", "5", "-9223372036854775808"),
  VM_RECORD ("10.0.0.1", "5", "9223372036854775807"),
  VM_RECORD ("10.0.0.1", "5", "18446744073709551616"),
  VM_RECORD ("10.0.0.1", "5", "\"5\""),
  "{\"address\":\"10.0.0.1\",\"domain\":[],\"region\":\"r\",\"link_mbps\":5,\"hour\":5}",
};

START_TEST (test_unreadable_vm_record)
{
  struct CfVmRecord vm;
  struct CfVmRecordHolder *holder;

  ck_assert_ptr_null (cf_vm_record_parse (unreadable_vms[_i], &vm));
  holder = cf_vm_record_parse (VM_RECORD ("10.0.0.1", "5", "5"), &vm);
  ck_assert_str_eq (vm.ip, "10.0.0.1");
  cf_vm_record_release (holder);
}
END_TEST

START_TEST (test_hour_of_any_size_overflows_nothing)
{
  struct CfSources *sources = cf_sources_new ("vm-1", "a", "r");
  struct CfVmRecord vm = { .ip = "10.0.0.1", .domain = "a", .region = "r", .hour = INT64_MAX };

  cf_sources_set (sources, "vm-2", &vm);
  ck_assert_ptr_null (cf_sources_expired (sources, 1791912288));
  vm.hour = INT64_MIN;
  cf_sources_set (sources, "vm-2", &vm);
  ck_assert_ptr_nonnull (cf_sources_expired (sources, 1791912288));
  cf_sources_free (sources);
}
END_TEST

START_TEST (test_manifest)
{
  struct CfRecord *record = cf_record_new (
      "main", 9, false,
      "{\"version\":7,\"routes\":[{\"host\":\"198.18.0.1\",\"path-prefix\":\"/8080/\","
      "\"priority\":1,\"service\":\"s\"},{\"host\":\"198.18.0.2\",\"path-prefix\":\"/8443/\","
      "\"kind\":\"idempotent\","
      "\"weighted-services\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":"
      "10}]},{\"host\":\"198.18.0.3\",\"path-prefix\":\"/80/\",\"kind\":\"download\","
      "\"service\":\"t\"},{\"host\":\"198.18.0.4\",\"path-prefix\":\"/80/\",\"kind\":\"upload\","
      "\"service\":\"t\"}],\"services\":[{\"name\":\"s\",\"warmup-s\":2.0,\"warmup-per-s\":12.5}],"
      "\"limits\":{\"idle-timeout-ms\":15000}}");
  struct CfError error = { 0 };
  struct CfManifest *manifest = cf_platform_read_manifest (record, &error);
  const struct CfRouteEntry *route;

  ck_assert_msg (manifest != NULL, "%s", error.text);
  ck_assert_uint_eq (manifest->version, 7);
  ck_assert_uint_eq (manifest->routes->len, 4);
  /* A route that does not say that its requests may be repeated: they may not. */
  for (guint i = 0; i < manifest->routes->len; i++)
    ck_assert (g_array_index (manifest->routes, struct CfRouteEntry, i).idempotent
               == (i == 1 || i == 2));
  route = &g_array_index (manifest->routes, struct CfRouteEntry, 1);
  ck_assert_uint_eq (route->address.port, 8443);
  ck_assert_uint_eq (route->split_count, 2);
  ck_assert_int_eq (manifest->flow_idle_ms, 15000);
  ck_assert (g_array_index (manifest->services, struct CfServiceTraits, 0).cold_per_s == 12.5);
  cf_manifest_free (manifest);
  cf_record_free (record);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed");

  suite_add_loop (suite, test_replica_repeated_record, 1);
  suite_add_loop (suite, test_replica_never_goes_back, 1);
  suite_add_loop (suite, test_replica_list_deletes_the_rest, 1);
  suite_add_loop (suite, test_reader_lists_then_waits, 1);
  suite_add_loop (suite, test_reader_stale_wait, 1);
  suite_add_loop (suite, test_reader_backs_off, 1);
  suite_add_loop (suite, test_list_gets_past_every_item, G_N_ELEMENTS (listed_items));
  suite_add_loop (suite, test_list_that_ends_nowhere_is_never_whole, G_N_ELEMENTS (stuck_pages));
  suite_add_loop (suite, test_large_records_are_bounded, 3);
  suite_add_loop (suite, test_list_without_end_is_given_up, 1);
  suite_add_loop (suite, test_list_page_is_no_watch_answer, 1);
  suite_add_loop (suite, test_unreadable_watch_becomes_a_list, 1);
  suite_add_loop (suite, test_answer_is_read_by_what_was_asked, 1);
  suite_add_loop (suite, test_list_is_as_old_as_its_first_page, 1);
  suite_add_loop (suite, test_answer_without_changes_is_no_end_of_wait, 1);
  suite_add_loop (suite, test_answers, 1);
  suite_add_loop (suite, test_announcement, 1);
  suite_add_loop (suite, test_invalid_announcement, G_N_ELEMENTS (invalid_announcements));
  suite_add_loop (suite, test_nested_entry_ends_no_process, G_N_ELEMENTS (nested_items));
  suite_add_loop (suite, test_nested_record_of_vm_ends_no_process, G_N_ELEMENTS (nested_contents));
  suite_add_loop (suite, test_announced_number_too_large, G_N_ELEMENTS (announced_numbers));
  suite_add_loop (suite, test_port_out_of_range, G_N_ELEMENTS (invalid_ports));
  suite_add_loop (suite, test_record_beside_the_manifest_is_none, 1);
  suite_add_loop (suite, test_manifest_number_too_large, G_N_ELEMENTS (manifest_numbers));
  suite_add_loop (suite, test_manifest_version_keeps_its_digits, 1);
  suite_add_loop (suite, test_unreadable_vm_record, G_N_ELEMENTS (unreadable_vms));
  suite_add_loop (suite, test_hour_of_any_size_overflows_nothing, 1);
  suite_add_loop (suite, test_manifest, 1);
  return suite_run (suite);
}
