#include "feed_play.h"
#include "suite.h"
#include "runtime/udp.h"
#include "tcp_server.h"

/* What the feed task refers to while it handles an answer must outlive the handling, also where the
 * answer itself removes it.  The task runs on the test's thread, with the VM that it follows on
 * another loopback address.  Most of these failures show under the address sanitizer only. */

/* The VM under test is "vm-2".  It follows "vm-1", the first of its failure domain. */
struct Feed
{
  struct FeedPlay play;
  SoupServer *followed;
  struct CfReplica answer; /* what the followed VM sends */
  struct CfUpdateOrigin origin;
  int requests; /* that the followed VM has had */
};

static void
answer_follower (SoupServer *soup,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer data)
{
  struct Feed *feed = data;
  struct CfFeedPosition position = { .era = feed->answer.era };
  struct CfRelayCache cache = { 0 };
  GBytes *body;
  const char *bytes;
  gsize len;

  (void) soup;
  (void) path;
  feed->requests++;
  ck_assert (cf_feed_position_parse (query, &position));
  body = cf_relay_encode (&cache, &feed->answer, &position, &feed->origin);
  bytes = g_bytes_get_data (body, &len);
  soup_message_headers_replace (soup_server_message_get_response_headers (message),
                                CF_RELAY_ERA_HEADER, "1");
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "application/octet-stream", SOUP_MEMORY_COPY, bytes,
                                    len);
  g_bytes_unref (body);
  cf_relay_cache_clear (&cache);
}

static SoupServer *
listen_at (const char *ip, uint16_t port, struct Feed *feed)
{
  SoupServer *server = soup_server_new (NULL, NULL);
  struct CfAddress address;
  GSocketAddress *local;

  ck_assert (cf_address_parse (ip, port, &address));
  local = cf_socket_address (&address);
  soup_server_add_handler (server, NULL, answer_follower, feed, NULL);
  ck_assert (soup_server_listen (server, local, 0, NULL));
  g_object_unref (local);
  return server;
}

static void
close_server (SoupServer *server)
{
  soup_server_disconnect (server);
  g_object_unref (server);
}

static void
add_vm (GPtrArray *records, const char *name, const char *ip, uint64_t revision)
{
  char *content = feed_play_vm_record (name, ip);

  g_ptr_array_add (records, cf_record_new (name, revision, false, content));
  g_free (content);
}

static GPtrArray *
new_records (void)
{
  return g_ptr_array_new_with_free_func (cf_record_free);
}

static void
apply_and_free (struct CfReplica *replica, GPtrArray *records, uint64_t revision, bool whole)
{
  g_ptr_array_unref (cf_replica_apply (replica, CF_FEED_VMS, records, revision, whole));
  g_ptr_array_unref (records);
}

static void
start_feed (struct Feed *feed)
{
  const struct CfBalanceSettings *settings = &feed->play.balancer.settings;
  char *ip = tcp_server_own_ip (1);
  GPtrArray *records = new_records ();

  *feed = (struct Feed){ .origin = { .age = 0 } };
  feed_play_prepare (&feed->play, g_strdup_printf ("%s:1", ip)); /* nothing listens there */
  cf_replica_init (&feed->answer);
  feed->followed = listen_at (ip, settings->peer_port, feed);
  feed_play_start (&feed->play);
  cf_feed_calls.learn_era (feed->play.task, NULL, 1);
  add_vm (records, "vm-1", ip, 1);
  add_vm (records, "vm-2", settings->ip, 1);
  cf_feed_calls.apply (feed->play.task, CF_FEED_VMS, records, 1, true, true);
  cf_replica_enter_era (&feed->answer, 1, 0);
  apply_and_free (&feed->answer, records, 1, true);
  g_free (ip);
}

static void
stop_feed (struct Feed *feed)
{
  close_server (feed->followed);
  feed_play_stop (&feed->play);
  cf_replica_clear (&feed->answer);
}

static bool
has_response (const void *data)
{
  const struct Feed *feed = data;

  return feed->requests > 0 && !feed->play.task->follow.call;
}

/* Runs the task until it has handled a response of the followed VM. */
static void
await_response (struct Feed *feed)
{
  feed_play_await (&feed->play, has_response, feed, "a response");
}

/* Records that the followed VM sends beside the removal of its own record. */
enum Removal
{
  REMOVAL_CHANGE,     /* in an update */
  REMOVAL_LIST,       /* a whole list does not have it */
  REMOVAL_UNREADABLE, /* the record has become unreadable */
  REMOVALS,
};

static void
remove_followed (struct Feed *feed, enum Removal removal)
{
  GPtrArray *records = new_records ();

  if (removal == REMOVAL_CHANGE)
    g_ptr_array_add (records, cf_record_new ("vm-1", 2, true, NULL));
  else if (removal == REMOVAL_UNREADABLE)
    g_ptr_array_add (records, cf_record_new ("vm-1", 2, false, "{}"));
  else
    add_vm (records, "vm-2", feed->play.balancer.settings.ip, 1);
  apply_and_free (&feed->answer, records, 2, removal == REMOVAL_LIST);
}

/* A VM is followed, and its response says that it is gone: heap-use-after-free. */
START_TEST (test_response_removes_its_source)
{
  struct Feed feed;
  bool stale = _i >= REMOVALS;

  start_feed (&feed);
  remove_followed (&feed, (enum Removal) (_i % REMOVALS));
  if (stale)
    feed.origin.age = 60 * CF_MS_PER_S;
  await_response (&feed);
  ck_assert_str_eq (feed.play.task->follow.name, "vm-1");
  ck_assert_uint_eq (feed.play.task->replica.revision[CF_FEED_VMS], 2);
  ck_assert_uint_eq (cf_sources_domain_size (feed.play.task->feed.sources), 1);
  stop_feed (&feed);
}
END_TEST

/* Another process has the port for a while, TCP or UDP: the task starts later, and what the failed
 * starts left behind does no harm. */
START_TEST (test_failed_starts)
{
  struct Feed feed;
  struct CfTask *base = &feed.play.balancer.feed;
  struct CfError error = { 0 };
  const char *ip;
  SoupServer *listener = NULL;
  GSocket *socket = NULL;

  start_feed (&feed);
  cf_feed_task.stop (base, feed.play.task);
  ip = feed.play.balancer.settings.ip;
  if (_i == 0)
    listener = listen_at (ip, feed.play.balancer.settings.peer_port, &feed);
  else
    socket = cf_udp_open (ip, feed.play.balancer.settings.peer_port, &error);
  ck_assert (listener || socket);
  for (int i = 0; i < 2; i++)
    {
      ck_assert (!cf_feed_task.start (base, feed.play.task, &error));
      cf_feed_task.stop (base, feed.play.task);
    }
  g_clear_pointer (&listener, close_server);
  g_clear_object (&socket);
  ck_assert_msg (cf_feed_task.start (base, feed.play.task, &error), "%s", error.text);
  await_response (&feed);
  stop_feed (&feed);
}
END_TEST

/* A task that is started again knows the era of its records: a reader that does not takes each
 * answer for one from another era, and lists without end. */
START_TEST (test_restart_keeps_era)
{
  struct Feed feed;
  struct CfError error = { 0 };

  start_feed (&feed);
  cf_feed_task.stop (&feed.play.balancer.feed, feed.play.task);
  ck_assert (cf_feed_task.start (&feed.play.balancer.feed, feed.play.task, &error));
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct CfReader *reader = &feed.play.task->store.channels[kind].reader;

      reader->listed = true;
      ck_assert_int_eq (cf_reader_outcome (reader, CF_READ_ANSWERED, 1), CF_READ_ANSWERED);
    }
  stop_feed (&feed);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed lifetime");

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  cf_task_register_types ();
  suite_add_loop (suite, test_response_removes_its_source, 2 * REMOVALS);
  suite_add_loop (suite, test_failed_starts, 2);
  suite_add_loop (suite, test_restart_keeps_era, 1);
  return suite_run (suite);
}
