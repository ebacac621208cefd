#include "feed_play.h"
#include "silent_server.h"
#include "store.h"
#include "suite.h"
#include "runtime/clock.h"

#include <stdlib.h>
#include <string.h>

/* Calls of the feed task, to the store and to the VM that is followed.
 *
 * Their connections may go silent for good, without a reset, while new ones work.  A call may cost
 * its own deadline once; no later call may go over a silent connection, and no other may wait for
 * it.  An answer may come when the VM has come to know more, from elsewhere: it is one to what was
 * asked. */

#define MANIFEST                                                                                   \
  "{\"version\":1,\"routes\":[],\"services\":[],\"limits\":{\"idle-timeout-ms\":15000}}"

static const char *const kind_paths[CF_FEED_KINDS] = {
  [CF_FEED_MANIFEST] = "/config?",
  [CF_FEED_UPSTREAMS] = "/servers?",
  [CF_FEED_EVACUATIONS] = "/evacuations?",
  [CF_FEED_VMS] = "/cyclamenferry-vms?",
};

/* "vm-2" beside a store and, with FOLLOWS, the VM "vm-1", which it follows. */
struct Play
{
  struct FeedPlay feed;
  bool follows;
  struct SilentServer store;
  struct TestStore *data; /* guarded by the store's mutex, like the next eight */
  guint page;             /* records of a page of a list */
  bool hold_all;          /* nothing is answered */
  bool hold_list;         /* lists of upstreams are not answered */
  bool hold_writes;
  int writes;            /* that came */
  const char *era;       /* header of each answer; NULL: none */
  const char *write_era; /* the same of answers to writes; NULL: that of all */
  /* Watches of other kinds than upstreams with this number and later ones are not answered; 0: all
   * are. */
  int hold_from;
  int held; /* of these, those that came */
  struct SilentServer vm;
  struct CfReplica vm_data; /* of "vm-1", guarded by its mutex, like the next three */
  struct CfRelayCache vm_cache;
  struct CfUpdateOrigin vm_origin;
  int asked_all; /* requests to it for all upstreams */
};

static void
append_object (GString *text, const struct CfRecord *record)
{
  g_string_append_printf (
      text, "{\"meta\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT "},\"spec\":%s}",
      record->name, record->revision, record->text ? record->text : "null");
}

static GBytes *
format_response (struct CfFeedResponse *response, bool list)
{
  GString *text = g_string_new (list ? "{\"items\":[" : "{\"events\":[");

  for (guint i = 0; i < response->records->len; i++)
    {
      const struct CfRecord *record = response->records->pdata[i];

      g_string_append (text, i > 0 ? "," : "");
      if (!list)
        g_string_append_printf (text,
                                "{\"deleted\":%s,\"object\":", record->deleted ? "true" : "false");
      append_object (text, record);
      g_string_append (text, list ? "" : "}");
    }
  g_string_append_printf (text, "],\"truncated\":%s,\"store-revision\":%" G_GUINT64_FORMAT "}",
                          response->truncated ? "true" : "false", response->revision);
  cf_feed_response_clear (response);
  return g_string_free_to_bytes (text);
}

static enum CfFeedKind
kind_of (const char *path)
{
  char *query = strchr (path, '?') ? g_strdup (path) : g_strconcat (path, "?", NULL);
  int kind = 0;

  while (!strstr (query, kind_paths[kind]))
    kind++;
  g_free (query);
  return (enum CfFeedKind) kind;
}

/* The era of an answer is that in which the write was made, although it may come later. */
static GBytes *
answer_write (struct Play *play, struct SilentRequest *request)
{
  if (!request->headers)
    {
      request->headers = play->write_era ? play->write_era : play->era ? play->era : "";
      play->writes++;
    }
  return play->hold_writes ? NULL : g_bytes_new_static ("{}", 2);
}

static GBytes *
answer_as_store (void *data, struct SilentRequest *request)
{
  struct Play *play = data;
  enum CfFeedKind kind = kind_of (request->path);
  const char *watch = strstr (request->path, "watch=");
  const char *after = strstr (request->path, "after=");
  struct CfFeedResponse response;

  if (!g_str_has_prefix (request->head, "GET "))
    return answer_write (play, request);
  request->headers = play->era;
  if (play->hold_all)
    return NULL;
  if (!watch && kind == CF_FEED_UPSTREAMS && play->hold_list)
    return NULL;
  if (!watch)
    {
      test_store_list (play->data, kind, after ? after + 6 : NULL, play->page, &response);
      return format_response (&response, true);
    }
  if (kind != CF_FEED_UPSTREAMS && play->hold_from > 0 && request->number >= play->hold_from)
    {
      play->held = request->number;
      return NULL;
    }
  ck_assert (
      test_store_watch (play->data, kind, g_ascii_strtoull (watch + 6, NULL, 10), &response));
  if (response.records->len > 0 || request->over)
    return format_response (&response, false);
  cf_feed_response_clear (&response);
  return NULL;
}

static GBytes *
answer_as_vm (void *data, struct SilentRequest *request)
{
  struct Play *play = data;
  GHashTable *query = soup_form_decode (strchr (request->path, '?') + 1);
  struct CfFeedPosition position = { .era = 0 };
  GBytes *body = NULL;

  ck_assert (cf_feed_position_parse (query, &position));
  if (position.revision[CF_FEED_UPSTREAMS] == 0)
    play->asked_all++;
  if (request->over || play->vm_origin.age > 0 || cf_relay_has_changes (&play->vm_data, &position))
    body = cf_relay_encode (&play->vm_cache, &play->vm_data, &position, &play->vm_origin);
  g_hash_table_unref (query);
  return body;
}

static void
put (struct Play *play, enum CfFeedKind kind, const char *name, const char *content)
{
  g_mutex_lock (&play->store.mutex);
  test_store_put (play->data, kind, name, content, 0);
  g_cond_broadcast (&play->store.changed);
  g_mutex_unlock (&play->store.mutex);
}

/* "vm-1" has what the store has now. */
static void
copy_store (struct Play *play)
{
  cf_replica_init (&play->vm_data);
  cf_replica_enter_era (&play->vm_data, 1, 0);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct CfFeedResponse response;

      test_store_list (play->data, (enum CfFeedKind) kind, NULL, G_MAXUINT, &response);
      g_ptr_array_unref (cf_replica_apply (&play->vm_data, (enum CfFeedKind) kind, response.records,
                                           response.revision, true));
      cf_feed_response_clear (&response);
    }
}

static void
add_vm (struct Play *play, const char *name, int host)
{
  char *ip = tcp_server_own_ip (host);
  char *content = feed_play_vm_record (name, ip);

  test_store_put (play->data, CF_FEED_VMS, name, content, 0);
  g_free (content);
  g_free (ip);
}

/* The VM has the data, and waits for changes: at "vm-1" if it follows that, else at the store. */
static bool
waits_for_changes (const void *data)
{
  struct Play *play = (struct Play *) data;

  if (play->follows)
    return silent_server_has_waiting (&play->vm, "/feed?");
  for (int kind = 0; kind < CF_FEED_VMS; kind++)
    if (!silent_server_has_waiting (&play->store, kind_paths[kind]))
      return false;
  return true;
}

static void
prepare (struct Play *play)
{
  *play = (struct Play){ .page = G_MAXUINT, .vm_origin = { .reader = (char *) "vm-1" } };
  play->data = test_store_new ();
  play->store = (struct SilentServer){ .answer = answer_as_store, .data = play };
  play->vm = (struct SilentServer){ .answer = answer_as_vm,
                                    .data = play,
                                    .headers = CF_RELAY_ERA_HEADER ": 1\r\n" };
  test_store_put (play->data, CF_FEED_MANIFEST, "main", MANIFEST, 0);
  add_vm (play, "vm-2", 2);
}

/* Starts the other VM, with what the store has now, and then the one under test. */
static void
begin (struct Play *play, bool seed)
{
  struct CfBalanceSettings *settings = &play->feed.balancer.settings;
  char *ip = tcp_server_own_ip (1);

  silent_server_start (&play->store, NULL, 0);
  feed_play_prepare (&play->feed, g_strdup_printf ("127.0.0.1:%u", play->store.tcp.port));
  silent_server_start (&play->vm, ip, settings->peer_port);
  if (seed)
    {
      g_strfreev (settings->seeds);
      settings->seeds = g_new0 (char *, 2);
      settings->seeds[0] = g_strdup (ip);
    }
  cf_feed_calls.learn_era (play->feed.task, NULL, 1);
  feed_play_start (&play->feed);
  g_free (ip);
}

/* A VM that follows "vm-1" (FOLLOWS) or reads the store, and waits for changes. */
static void
start (struct Play *play, bool follows)
{
  prepare (play);
  play->follows = follows;
  if (follows)
    add_vm (play, "vm-1", 1);
  copy_store (play);
  begin (play, false);
  feed_play_await (&play->feed, waits_for_changes, play, "waiting for changes");
}

static void
stop (struct Play *play)
{
  feed_play_stop (&play->feed);
  silent_server_stop (&play->store);
  silent_server_stop (&play->vm);
  cf_relay_cache_clear (&play->vm_cache);
  cf_replica_clear (&play->vm_data);
  test_store_free (play->data);
}

static bool
knows_upstream (const void *data)
{
  const struct Play *play = data;

  return g_hash_table_contains (play->feed.task->replica.records[CF_FEED_UPSTREAMS], "i-1");
}

/* review/3: a VM that follows another kept its connections to the store from its start, idle.  They
 * went silent, and much later, when its source had no fresh data, each kind of records in turn was
 * asked for over one of them: the sum of the deadlines was beyond the time in which a drain has to
 * be in force. */
START_TEST (test_idle_connections_to_store_are_not_used)
{
  struct Play play;

  start (&play, true);
  silent_server_silence (&play.store, NULL);
  put (&play, CF_FEED_UPSTREAMS, "i-1", "{}");
  g_mutex_lock (&play.vm.mutex);
  play.vm_origin.age = 60 * CF_MS_PER_S;
  g_cond_broadcast (&play.vm.changed);
  g_mutex_unlock (&play.vm.mutex);
  feed_play_await (&play.feed, knows_upstream, &play, "the change");
  ck_assert_int_eq (silent_server_on_silent (&play.store), 0);
  stop (&play);
}
END_TEST

/* The watch of one kind has gone silent, and those of the others are under way over sound
 * connections.  After its deadline of 2.2 s the kind was asked for again only when one of these had
 * ended, up to 1.5 s later. */
START_TEST (test_silent_watch_waits_for_no_other_kind)
{
  struct Play play;

  start (&play, false);
  g_mutex_lock (&play.store.mutex);
  /* The others begin theirs again before that deadline, and have no answer until after it. */
  play.hold_from = play.store.requests + 1;
  g_mutex_unlock (&play.store.mutex);
  silent_server_silence (&play.store, kind_paths[CF_FEED_UPSTREAMS]);
  put (&play, CF_FEED_UPSTREAMS, "i-1", "{}");
  feed_play_await (&play.feed, knows_upstream, &play, "the change");
  ck_assert_int_gt (play.held, 0);
  ck_assert (play.feed.task->store.channels[CF_FEED_EVACUATIONS].call);
  ck_assert (!play.feed.task->store.channels[CF_FEED_EVACUATIONS].failed);
  stop (&play);
}
END_TEST

static bool
knows_drain (const void *data)
{
  const struct Play *play = data;
  const struct CfRecord *record
      = g_hash_table_lookup (play->feed.task->replica.records[CF_FEED_UPSTREAMS], "i-3");

  return record && g_strcmp0 (record->text, "{\"state\":\"draining\"}") == 0;
}

/* review/2: a VM starts, and asks the store and a seed at once.  The seed's records are old, and
 * come while the first page of the store's list is under way.  That page was taken for the answer
 * to a watch: of the change on the second page neither this VM nor those that follow it ever
 * learned. */
START_TEST (test_list_under_way_is_no_watch)
{
  struct Play play;

  prepare (&play);
  for (int i = 1; i <= 3; i++)
    {
      char *name = g_strdup_printf ("i-%d", i);

      test_store_put (play.data, CF_FEED_UPSTREAMS, name, "{\"state\":\"ready\"}", 0);
      g_free (name);
    }
  copy_store (&play);
  test_store_put (play.data, CF_FEED_UPSTREAMS, "i-3", "{\"state\":\"draining\"}", 0);
  play.page = 2;
  play.hold_list = true;
  begin (&play, true);
  feed_play_await (&play.feed, knows_upstream, &play, "the seed's records");
  ck_assert (!knows_drain (&play));
  g_mutex_lock (&play.store.mutex);
  play.hold_list = false;
  g_cond_broadcast (&play.store.changed);
  g_mutex_unlock (&play.store.mutex);
  feed_play_await (&play.feed, knows_drain, &play, "the change on the second page");
  stop (&play);
}
END_TEST

static bool
has_write (const void *data)
{
  struct Play *play = (struct Play *) data;
  bool has;

  g_mutex_lock (&play->store.mutex);
  has = play->writes > 0;
  g_mutex_unlock (&play->store.mutex);
  return has;
}

static bool
is_in_second_era (const void *data)
{
  return ((const struct Play *) data)->feed.task->replica.era == 2;
}

#define WRITE_AGAIN_MS 3000

/* A VM writes its record, the store is restored from a copy without it, and the answer to the write
 * comes when the VM knows of that.  It was taken for the record's being in the store, and the next
 * write came 10 s later. */
START_TEST (test_write_of_an_earlier_era_is_repeated)
{
  struct Play play;
  CfMillis answered_at;

  prepare (&play);
  test_store_put (play.data, CF_FEED_VMS, "vm-2", NULL, 0);
  play.era = "Store-Era: 1\r\n";
  play.hold_writes = true;
  copy_store (&play);
  begin (&play, false);
  feed_play_await (&play.feed, has_write, &play, "a write");
  g_mutex_lock (&play.store.mutex);
  play.era = "Store-Era: 2\r\n";
  g_mutex_unlock (&play.store.mutex);
  feed_play_await (&play.feed, is_in_second_era, &play, "the second era");
  g_mutex_lock (&play.store.mutex);
  play.hold_writes = false;
  play.writes = 0;
  g_cond_broadcast (&play.store.changed);
  g_mutex_unlock (&play.store.mutex);
  answered_at = cf_now ();
  feed_play_await (&play.feed, has_write, &play, "the write again");
  ck_assert_int_lt (cf_now () - answered_at, WRITE_AGAIN_MS);
  stop (&play);
}
END_TEST

static bool
is_over (const void *data)
{
  return cf_now () >= *(const CfMillis *) data;
}

/* The store answers each write in an earlier era than the VM's, as a new one under the old address
 * does.  The write was repeated at once, each time. */
START_TEST (test_writes_of_an_earlier_era_are_spaced)
{
  struct Play play;
  CfMillis end;

  prepare (&play);
  test_store_put (play.data, CF_FEED_VMS, "vm-2", NULL, 0);
  play.era = "Store-Era: 2\r\n";
  play.write_era = "Store-Era: 1\r\n";
  copy_store (&play);
  begin (&play, false);
  feed_play_await (&play.feed, has_write, &play, "a write");
  end = cf_now () + WRITE_AGAIN_MS;
  feed_play_await (&play.feed, is_over, &end, "the end");
  g_mutex_lock (&play.store.mutex);
  ck_assert_int_le (play.writes, 4);
  g_mutex_unlock (&play.store.mutex);
  stop (&play);
}
END_TEST

static bool
watches_vms (const void *data)
{
  return silent_server_has_waiting (&((struct Play *) data)->store, kind_paths[CF_FEED_VMS]);
}

static bool
knows_new_vm (const void *data)
{
  const struct Play *play = data;

  return g_hash_table_contains (play->feed.task->replica.records[CF_FEED_VMS], "vm-3");
}

/* The watch of the list of VMs has gone silent: a new VM was not known for up to 20.7 s. */
START_TEST (test_silent_watch_of_vms_is_replaced)
{
  struct Play play;
  char *content = feed_play_vm_record ("vm-3", "127.0.0.3");

  start (&play, false);
  feed_play_await (&play.feed, watches_vms, &play, "a watch of the VMs");
  silent_server_silence (&play.store, kind_paths[CF_FEED_VMS]);
  put (&play, CF_FEED_VMS, "vm-3", content);
  feed_play_await (&play.feed, knows_new_vm, &play, "the new VM");
  stop (&play);
  g_free (content);
}
END_TEST

struct Count
{
  struct SilentServer *server;
  int requests;
};

static bool
has_requests (const void *data)
{
  const struct Count *count = data;

  return silent_server_requests (count->server) >= count->requests;
}

/* The connection to the followed VM goes silent while a request waits, or each time after one: the
 * next request takes a new one. */
START_TEST (test_silent_connection_to_vm_is_replaced)
{
  struct Play play;
  struct Count count;

  start (&play, true);
  play.vm.silent_if_idle = _i;
  silent_server_silence (&play.vm, "/feed?");
  count = (struct Count){ &play.vm, silent_server_requests (&play.vm) + 3 };
  feed_play_await (&play.feed, has_requests, &count, "three more requests");
  ck_assert_int_eq (silent_server_on_silent (&play.vm), 0);
  stop (&play);
}
END_TEST

static void
set_era (struct Play *play, const char *header)
{
  g_mutex_lock (&play->store.mutex);
  play->era = header;
  g_cond_broadcast (&play->store.changed);
  g_mutex_unlock (&play->store.mutex);
}

static bool
has_lost_store (const void *data)
{
  return ((const struct Play *) data)->feed.task->store.channels[CF_FEED_UPSTREAMS].failed;
}

/* An answer gives an era above 2^63, or one that no restores can explain.  The VM believed it, and
 * refused every later answer of the store. */
START_TEST (test_unbelievable_era_is_not_adopted)
{
  static const char *const eras[] = {
    "Store-Era: 9223372036854775809\r\n",
    "Store-Era: 18446744073709551616\r\n",
    "Store-Era: 1000000\r\n",
  };
  struct Play play;

  start (&play, false);
  set_era (&play, eras[_i]);
  feed_play_await (&play.feed, has_lost_store, &play, "an answer with that era");
  ck_assert_uint_eq (play.feed.task->replica.era, 1);
  set_era (&play, "Store-Era: 1\r\n");
  put (&play, CF_FEED_UPSTREAMS, "i-1", "{}");
  feed_play_await (&play.feed, knows_upstream, &play, "the change");
  stop (&play);
}
END_TEST

/* Another VM has adopted such an era: its records are not taken, and the store is read instead. */
START_TEST (test_unbelievable_era_of_vm_is_not_adopted)
{
  struct Play play;

  start (&play, true);
  put (&play, CF_FEED_UPSTREAMS, "i-1", "{}");
  g_mutex_lock (&play.vm.mutex);
  play.vm.headers = CF_RELAY_ERA_HEADER ": 1000000\r\n";
  g_mutex_unlock (&play.vm.mutex);
  feed_play_await (&play.feed, knows_upstream, &play, "the change, from the store");
  ck_assert_uint_eq (play.feed.task->replica.era, 1);
  stop (&play);
}
END_TEST

/* A VM that starts takes the first era that it hears of.  It stayed with a wrong one for good. */
START_TEST (test_wrong_era_is_left)
{
  struct Play play;

  prepare (&play);
  copy_store (&play);
  play.era = "Store-Era: 1\r\n";
  begin (&play, false);
  cf_feed_calls.learn_era (play.feed.task, NULL, 1000000);
  put (&play, CF_FEED_UPSTREAMS, "i-1", "{}");
  feed_play_await (&play.feed, knows_upstream, &play, "the store's records");
  ck_assert_uint_eq (play.feed.task->replica.era, 1);
  stop (&play);
}
END_TEST

/* "vm-1" has TEXT as the record "i-1" from REVISION on.  With DAMAGED it makes differences from
 * another text than it sent. */
static void
put_at_vm (struct Play *play, uint64_t revision, const char *text, bool damaged)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  struct CfVersions *versions = &play->vm_cache.versions;

  g_ptr_array_add (records, cf_record_new ("i-1", revision, false, text));
  g_mutex_lock (&play->vm.mutex);
  cf_versions_keep (versions, &play->vm_data, CF_FEED_UPSTREAMS, records);
  if (damaged)
    ((struct CfVersion *) versions->list.tail->data)->text[0] = 'b';
  g_ptr_array_unref (
      cf_replica_apply (&play->vm_data, CF_FEED_UPSTREAMS, records, revision, false));
  g_cond_broadcast (&play->vm.changed);
  g_mutex_unlock (&play->vm.mutex);
  g_ptr_array_unref (records);
}

static bool
knows_change (const void *data)
{
  const struct Play *play = data;
  const struct CfRecord *record
      = cf_replica_stored (&play->feed.task->replica, CF_FEED_UPSTREAMS, "i-1");

  return record && record->text[0] == 'b';
}

/* A difference that did not apply left the follower without the record, or asking for the same
 * difference again and again. */
START_TEST (test_follower_asks_for_all_after_a_difference)
{
  GString *text = g_string_new ("a");
  struct Play play;
  int asked_all;

  /* Deflated, the record is still long. */
  for (uint32_t i = 0; i < CF_VERSIONS_TEXT_MIN_BYTES; i++)
    g_string_append_printf (text, "%x", i * 2654435761U);
  start (&play, true);
  put_at_vm (&play, 1000, text->str, false);
  feed_play_await (&play.feed, knows_upstream, &play, "the record");
  asked_all = play.asked_all;
  text->str[0] = 'b';
  put_at_vm (&play, 1001, text->str, _i);
  feed_play_await (&play.feed, knows_change, &play, "the change");
  ck_assert_int_eq (play.asked_all, asked_all + _i);
  ck_assert ((play.feed.task->follow.no_differences_until > cf_now ()) == _i);
  g_string_free (text, TRUE);
  stop (&play);
}
END_TEST

static GBytes *
answer_with_referral (void *data, struct SilentRequest *request)
{
  struct feed_referral referral;
  char *ips[] = { tcp_server_own_ip (4), tcp_server_own_ip (3) };
  char bytes[64];
  XDR xdr;

  (void) data;
  ck_assert_ptr_nonnull (strstr (request->path, "&referral-wait-ms=0&referral-named=0"));
  referral.ips.ips_len = 2;
  referral.ips.ips_val = ips;
  xdrmem_create (&xdr, bytes, sizeof bytes, XDR_ENCODE);
  ck_assert (xdr_feed_referral (&xdr, &referral));
  g_free (ips[0]);
  g_free (ips[1]);
  return g_bytes_new (bytes, xdr_getpos (&xdr));
}

static GBytes *
answer_as_named_vm (void *data, struct SilentRequest *request)
{
  ck_assert_ptr_nonnull (strstr (request->path, "&wait-ms=0&referral-wait-ms="));
  ck_assert_ptr_nonnull (strstr (request->path, "&referral-named=1"));
  return answer_as_vm (data, request);
}

/* A VM whose seed was busy asked it again and again, or never again.  Of the two VMs that are
 * named, nothing listens at the first. */
START_TEST (test_referred_vm_asks_named_ones)
{
  struct Play play;
  struct SilentServer named
      = { .answer = answer_as_named_vm, .data = &play, .headers = CF_RELAY_ERA_HEADER ": 1\r\n" };
  char *ip = tcp_server_own_ip (3);

  prepare (&play);
  copy_store (&play);
  put_at_vm (&play, 1000, "{}", false);
  play.hold_all = true;
  play.vm.answer = answer_with_referral;
  play.vm.status = "503 Service Unavailable";
  begin (&play, true);
  silent_server_start (&named, ip, play.feed.balancer.settings.peer_port);
  feed_play_await (&play.feed, knows_upstream, &play, "the named VM's records");
  ck_assert_int_eq (silent_server_requests (&play.vm), 1);
  ck_assert_int_eq (silent_server_requests (&named), 1);
  stop (&play);
  silent_server_stop (&named);
  g_free (ip);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed calls");

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  cf_task_register_types ();
  suite_add_loop (suite, test_idle_connections_to_store_are_not_used, 1);
  suite_add_loop (suite, test_silent_watch_waits_for_no_other_kind, 1);
  suite_add_loop (suite, test_list_under_way_is_no_watch, 1);
  suite_add_loop (suite, test_write_of_an_earlier_era_is_repeated, 1);
  suite_add_loop (suite, test_writes_of_an_earlier_era_are_spaced, 1);
  suite_add_loop (suite, test_silent_watch_of_vms_is_replaced, 1);
  suite_add_loop (suite, test_silent_connection_to_vm_is_replaced, 2);
  suite_add_loop (suite, test_unbelievable_era_is_not_adopted, 3);
  suite_add_loop (suite, test_unbelievable_era_of_vm_is_not_adopted, 1);
  suite_add_loop (suite, test_wrong_era_is_left, 1);
  suite_add_loop (suite, test_follower_asks_for_all_after_a_difference, 2);
  suite_add_loop (suite, test_referred_vm_asks_named_ones, 1);
  return suite_run (suite);
}
