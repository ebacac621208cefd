#include "feed_play.h"
#include "suite.h"
#include "runtime/clock.h"

/* Parts of the feed task, each alone, with a feed that counts what the part does to it. */

#define ERA 3
#define GRACE_MS 4000

struct Counts
{
  struct CfFeedStatus status;
  enum CfEraVerdict verdict; /* on each era */
  int applied;
  int synced;
  int answered;
  int failed;
  int run;
};

static enum CfEraVerdict
learn_era (void *context, const char *source, uint64_t era)
{
  ck_assert_str_eq (source, "vm-1");
  ck_assert_uint_eq (era, ERA);
  return ((struct Counts *) context)->verdict;
}

static void
apply (void *context,
       enum CfFeedKind kind,
       GPtrArray *records,
       uint64_t revision,
       bool whole,
       bool trusted)
{
  (void) whole;
  (void) trusted;
  ck_assert_int_eq (kind, CF_FEED_EVACUATIONS);
  ck_assert_uint_eq (records->len, 1);
  ck_assert_uint_eq (revision, 7);
  ((struct Counts *) context)->applied++;
}

static void
set_synced_at (void *context, const char *reader, CfMillis synced_at, bool settled)
{
  struct Counts *counts = context;

  (void) settled;
  ck_assert_str_eq (reader, "vm-3");
  counts->status.synced_at = synced_at;
  counts->synced++;
}

static void
source_answered (void *context, const char *name, CfMillis now)
{
  (void) name;
  (void) now;
  ((struct Counts *) context)->answered++;
}

static void
source_failed (void *context, const char *name, CfMillis now)
{
  (void) name;
  (void) now;
  ((struct Counts *) context)->failed++;
}

static void
log_line (void *context, const char *event, const struct CfField *fields, CfMillis now)
{
  (void) context;
  (void) event;
  (void) fields;
  (void) now;
}

static void
run_due (void *context)
{
  ((struct Counts *) context)->run++;
}

static const struct CfFeedCalls calls = {
  .learn_era = learn_era,
  .apply = apply,
  .set_synced_at = set_synced_at,
  .source_answered = source_answered,
  .source_failed = source_failed,
  .log = log_line,
  .run_due = run_due,
};

static bool
has_run (const void *data)
{
  return ((const struct Counts *) data)->run > 0;
}

/* Sends one evacuation, read by vm-3, in the era ERA. */
static void
answer (SoupServer *soup,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct CfFeedPosition position = { .era = 0 };
  struct CfUpdateOrigin origin = { .reader = "vm-3" };
  struct CfRelayCache cache = { 0 };
  GBytes *body = cf_relay_encode (&cache, data, &position, &origin);
  gsize len;
  const char *bytes = g_bytes_get_data (body, &len);

  (void) soup;
  (void) path;
  (void) query;
  soup_message_headers_replace (soup_server_message_get_response_headers (message),
                                CF_RELAY_ERA_HEADER, "3");
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "application/octet-stream", SOUP_MEMORY_COPY, bytes,
                                    len);
  g_bytes_unref (body);
  cf_relay_cache_clear (&cache);
}

/* Records of a VM whose era is doubted would be applied, and it would be asked again at once. */
START_TEST (test_follow_uses_nothing_of_doubted_era)
{
  struct FeedPlay play;
  struct CfReplica sent;
  struct CfReplica replica;
  struct Counts counts = {
    .status = { .synced_at = -1 },
    .verdict = _i ? CF_ERA_DOUBTED : CF_ERA_LATER,
  };
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  SoupServer *server = soup_server_new (NULL, NULL);
  struct CfFeed feed = { .calls = &calls, .context = &counts, .replica = &replica };
  struct FeedFollow follow = { .feed = &feed };
  struct CfSource source = { .name = "vm-1", .ip = "127.0.0.1" };
  GSList *uris;

  feed_play_prepare (&play, g_strdup ("127.0.0.1:1"));
  cf_replica_init (&sent);
  cf_replica_init (&replica);
  cf_replica_enter_era (&sent, ERA, 0);
  g_ptr_array_add (records, cf_record_new ("a", 7, false, "{}"));
  g_ptr_array_unref (cf_replica_apply (&sent, CF_FEED_EVACUATIONS, records, 7, true));
  soup_server_add_handler (server, NULL, answer, &sent, NULL);
  ck_assert (soup_server_listen_local (server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  uris = soup_server_get_uris (server);
  play.balancer.settings.peer_port = (uint16_t) g_uri_get_port (uris->data);
  feed.balancer = &play.balancer;
  feed.status = &counts.status;
  feed.session = soup_session_new ();

  cf_feed_follow_tick (&follow, &source, cf_now ());
  feed_play_await (&play, has_run, &counts, "an answer");
  ck_assert_int_eq (counts.applied, _i ? 0 : 1);
  ck_assert_int_eq (counts.synced, _i ? 0 : 1);
  ck_assert_int_eq (counts.answered, _i ? 0 : 1);
  ck_assert_int_eq (counts.failed, _i ? 1 : 0);
  cf_feed_follow_stop (&follow);

  g_slist_free_full (uris, (GDestroyNotify) g_uri_unref);
  soup_server_disconnect (server);
  g_object_unref (server);
  g_object_unref (feed.session);
  g_ptr_array_unref (records);
  cf_replica_clear (&sent);
  cf_replica_clear (&replica);
  feed_play_stop (&play);
}
END_TEST

/* A second SIGTERM would begin the wait for the other VMs again, beyond the grace period. */
START_TEST (test_second_stop_does_not_prolong_the_wait)
{
  struct FeedPlay play;
  struct Counts counts = { 0 };
  struct CfFeed feed = { .calls = &calls, .context = &counts };
  struct FeedRotation rotation = { .feed = &feed, .stop_at = -1 };
  const struct CfVmRecord vm = { .ip = "127.0.0.1", .domain = "d", .region = "r" };
  CfMillis wait = cf_rotation_wait_max (GRACE_MS);

  feed_play_prepare (&play, g_strdup ("127.0.0.1:1"));
  play.balancer.settings.grace_ms = GRACE_MS;
  feed.balancer = &play.balancer;
  feed.sources = play.task->feed.sources;
  cf_sources_set (feed.sources, "vm-1", &vm);
  cf_sources_set (feed.sources, "vm-2", &vm);
  cf_rotation_init (&rotation.rotation);
  cf_rotation_update (&rotation.rotation, "vm-1", true, 1000);
  cf_feed_rotation_stop_vm (&rotation, 1000);
  cf_feed_rotation_stop_vm (&rotation, 1000 + wait / 2);
  ck_assert_int_eq (counts.run, 1);
  rotation.next_hello_at = G_MAXINT64; /* there is no socket */
  cf_feed_rotation_tick (&rotation, 1000 + wait - 1);
  ck_assert (!atomic_load (&play.balancer.leaving));
  cf_feed_rotation_tick (&rotation, 1000 + wait);
  ck_assert (atomic_load (&play.balancer.leaving));
  cf_rotation_clear (&rotation.rotation);
  feed_play_stop (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed parts");

  cf_task_register_types ();
  suite_add_loop (suite, test_follow_uses_nothing_of_doubted_era, 2);
  suite_add_loop (suite, test_second_stop_does_not_prolong_the_wait, 1);
  return suite_run (suite);
}
