#include "feed_play.h"
#include "balancer/datapath_internal.h"
#include "suite.h"
#include "runtime/clock.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* What a VM holds for the clients of its port for other VMs, whatever they do. */

#define UPSTREAMS 16000 /* of the target size */
#define FOLLOWERS 16
#define CHANGES 60              /* while clients connect; each makes another response */
#define CLIENTS_PER_CHANGE 8    /* that request everything and do not read */
#define RUN_MS 20               /* of the task for each of these */
#define GROWTH_MAX_KB 65536     /* of the process meanwhile */
#define RESIDENT_MAX_KB 262144  /* of the process at any time */
#define DESCRIPTORS 4096        /* of the process, so that the port takes 512 connections */
#define SLOW_BYTES_PER_S 250000 /* 2 Mbit/s */
#define SLOW_READ_BYTES 12500
#define SLOW_BUFFER_BYTES 16384 /* of a slow client's socket */

/* Freed memory that the sanitizer keeps must not count as the task's. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1";
}

struct Play
{
  struct FeedPlay feed;
  struct DatapathTask *datapath;
  uint64_t revision;
};

/* Runs the tasks for MILLIS, and then until they have nothing more to do. */
static void
run (struct Play *play, CfMillis millis)
{
  CfMillis end = cf_now () + millis;
  bool busy;

  do
    {
      busy = g_main_context_iteration (play->feed.balancer.feed.context, FALSE);
      busy = g_main_context_iteration (play->feed.balancer.datapath.context, FALSE) || busy;
      if (!busy)
        g_usleep (500);
    }
  while (busy || cf_now () < end);
}

/* Announces COUNT upstreams, with EXTRA bytes each that do not compress. */
static void
announce (struct Play *play, int count, int extra)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  GRand *random = g_rand_new_with_seed (1);

  for (int i = 0; i < count; i++)
    {
      char name[24];
      GString *text = g_string_new ("{\"extra\":\"");

      g_snprintf (name, sizeof name, "i-%08x", (unsigned) (i + 1) * 2654435761U);
      for (int j = 0; j < extra; j++)
        g_string_append_c (text, (char) g_rand_int_range (random, 'A', 'Z' + 1));
      g_string_append_printf (
          text,
          "\",\"service\":\"s\",\"address\":\"10.%d.%d.%d:%d\",\"zone\":\"a\",\"version\":\"v1\","
          "\"slots\":2,\"state\":\"ready\",\"warmup-remaining-ms\":0,\"sequence\":%d,"
          "\"born\":1791912%06d}",
          i % 11, i / 256 % 256, i % 256, 8000 + i % 900, i % 7000, i * 37 % 1000000);
      g_ptr_array_add (records, cf_record_new (name, ++play->revision, false, text->str));
      g_string_free (text, TRUE);
    }
  cf_feed_calls.apply (play->feed.task, CF_FEED_UPSTREAMS, records, play->revision,
                       play->revision == (uint64_t) count, true);
  g_rand_free (random);
  g_ptr_array_unref (records);
}

static void
start (struct Play *play, int upstreams, int extra)
{
  struct rlimit limit;

  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  limit.rlim_cur = MIN (limit.rlim_max, DESCRIPTORS);
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  *play = (struct Play){ .revision = 0 };
  feed_play_prepare (&play->feed, g_strdup ("127.0.0.1:1"));
  play->datapath = play->feed.balancer.datapath.data;
  play->datapath->source = g_timeout_source_new (G_MAXINT32);
  feed_play_start (&play->feed);
  announce (play, upstreams, extra);
  cf_feed_calls.set_synced_at (play->feed.task, "vm-2", cf_now (), false);
  run (play, RUN_MS);
}

static void
stop (struct Play *play)
{
  g_source_unref (play->datapath->source);
  feed_play_stop (&play->feed);
}

/* Requests what changed after REVISION, to wait for WAIT_MS, with QUERY.  Returns the connection,
 * which does not block. */
static int
request_with (struct Play *play, uint64_t revision, int wait_ms, int buffer, const char *query)
{
  const struct CfBalanceSettings *settings = &play->feed.balancer.settings;

  const int segment = 1400;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (settings->peer_port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  char *text = g_strdup_printf ("GET /feed?era=0&manifest=0&upstreams=%" G_GUINT64_FORMAT
                                "&evacuations=0&vms=0&wait-ms=%d%s HTTP/1.1\r\nHost: a\r\n\r\n",
                                revision, wait_ms, query);

  ck_assert_int_eq (inet_pton (AF_INET, settings->ip, &to.sin_addr), 1);
  /* As on an Ethernet: on loopback the kernel takes some MB of a response at once. */
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  if (buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &to, sizeof to), 0);
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  g_free (text);
  return fd;
}

static int
request (struct Play *play, uint64_t revision, int wait_ms, int buffer)
{
  return request_with (play, revision, wait_ms, buffer, "");
}

/* Returns the bytes that arrive on FD until its end, read PER_READ at a time each EVERY_MS, or -1
 * if the response is not good.  *AT_END tells whether the end came with all that was announced. */
static gint64
read_all (struct Play *play, int fd, size_t per_read, CfMillis every_ms)
{
  GString *text = g_string_new (NULL);
  char *buffer = g_malloc (per_read);
  CfMillis next = cf_now ();
  gint64 len = -1;
  const char *body;

  for (;;)
    {
      ssize_t got = recv (fd, buffer, per_read, MSG_DONTWAIT);

      if (got == 0 || (got < 0 && errno != EAGAIN))
        break;
      if (got > 0)
        g_string_append_len (text, buffer, got);
      next += every_ms;
      run (play, MAX (next - cf_now (), 0));
    }
  body = g_strstr_len (text->str, (gssize) text->len, "\r\n\r\n");
  if (body && g_str_has_prefix (text->str, "HTTP/1.1 200"))
    {
      const char *header = strcasestr (text->str, "content-length: ");

      len = text->str + text->len - (body + 4);
      ck_assert_ptr_nonnull (header);
      ck_assert_int_eq (len, atol (header + 16));
    }
  g_string_free (text, TRUE);
  g_free (buffer);
  close (fd);
  return len;
}

static long
resident_kb (void)
{
  char *text = NULL;
  long pages;

  ck_assert (g_file_get_contents ("/proc/self/statm", &text, NULL, NULL));
  pages = strtol (strchr (text, ' '), NULL, 10);
  g_free (text);
  return pages * (sysconf (_SC_PAGESIZE) / 1024);
}

/* Each client that requested everything and read nothing held a response of its own for as long as
 * it liked: 512 of them some 225 MB. */
START_TEST (test_clients_that_do_not_read)
{
  struct Play play;
  int clients[CHANGES * CLIENTS_PER_CHANGE];
  int followers[FOLLOWERS];
  int count = 0;
  long before;
  long most = 0;

  start (&play, UPSTREAMS, 0);
  for (int i = 0; i < FOLLOWERS; i++)
    followers[i] = request (&play, play.revision, 30000, 0);
  close (request (&play, 0, 0, 0));
  run (&play, 10 * RUN_MS);
  before = resident_kb ();
  for (int i = 0; i < CHANGES; i++)
    {
      announce (&play, 1, 0);
      for (int j = 0; j < CLIENTS_PER_CHANGE; j++)
        clients[count++] = request (&play, 0, 0, SLOW_BUFFER_BYTES);
      run (&play, RUN_MS);
      most = MAX (most, resident_kb ());
    }
  printf ("relay: %d upstreams, %d clients that do not read: %ld KB before, at most %ld KB\n",
          UPSTREAMS, count, before, most);
  ck_assert_int_lt (most - before, GROWTH_MAX_KB);
#ifndef __SANITIZE_ADDRESS__
  ck_assert_int_lt (most, RESIDENT_MAX_KB);
#endif
  /* A follower that reads is served again when the others have had their time. */
  run (&play, CF_RELAY_STALL_MS + 500);
  ck_assert_int_gt (read_all (&play, request (&play, 0, 0, 0), 65536, 1), 100000);
  for (int i = 0; i < count; i++)
    close (clients[i]);
  for (int i = 0; i < FOLLOWERS; i++)
    close (followers[i]);
  stop (&play);
}
END_TEST

/* Beyond the bound a request was accepted like any other.  On a busy machine the first client may
 * have made no progress for so long that its response yields to the last one. */
START_TEST (test_clients_beyond_bound_are_refused)
{
  static const char refused[] = "HTTP/1.1 503";
  static const char accepted[] = "HTTP/1.1 200";
  struct Play play;
  int clients[CF_RELAY_SENDING_MAX + 1];
  char text[sizeof refused] = "";
  CfMillis began_at;
  bool yields;

  start (&play, 200, 10000);
  began_at = cf_now ();
  for (int i = 0; i <= CF_RELAY_SENDING_MAX; i++)
    {
      clients[i] = request (&play, 0, 0, SLOW_BUFFER_BYTES);
      run (&play, 0);
    }
  run (&play, RUN_MS);
  yields = cf_now () - began_at >= CF_RELAY_YIELD_MS;
  ck_assert_int_eq (
      recv (clients[CF_RELAY_SENDING_MAX], text, sizeof refused - 1, MSG_DONTWAIT | MSG_PEEK),
      sizeof refused - 1);
  ck_assert_uint_eq (play.feed.task->relay.sending->len, CF_RELAY_SENDING_MAX);
  if (!yields || strcmp (text, accepted) != 0)
    ck_assert_str_eq (text, refused);
  for (int i = 0; i <= CF_RELAY_SENDING_MAX; i++)
    close (clients[i]);
  stop (&play);
}
END_TEST

/* A follower behind a link of 2 Mbit/s takes longer than one that does not read may. */
START_TEST (test_slow_follower_is_served)
{
  struct Play play;
  gint64 len;
  CfMillis began_at;

  start (&play, 200, 10000);
  began_at = cf_now ();
  len = read_all (&play, request (&play, 0, 0, SLOW_BUFFER_BYTES), SLOW_READ_BYTES,
                  SLOW_READ_BYTES * CF_MS_PER_S / SLOW_BYTES_PER_S);
  ck_assert_int_gt (len, 1000000);
  ck_assert_int_gt (cf_now () - began_at, CF_RELAY_STALL_MS);
  stop (&play);
}
END_TEST

/* A follower that understands differences was sent the changed record whole.  A busy VM referred no
 * one, or one that it has to serve: of the build before, or without data for long. */
START_TEST (test_forms_of_responses)
{
  static const char *const waits[]
      = { "&referral-wait-ms=0", "&referral-wait-ms=1000", "&referral-wait-ms=x", "" };
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  struct Play play;
  const atomic_uint_fast64_t *sent;

  start (&play, 50, 10000);
  sent = play.feed.balancer.update_bytes_sent;
  g_ptr_array_add (records, cf_record_new ("main", 1, false, "{}"));
  play.feed.task->feed.calls->apply (play.feed.task->feed.context, CF_FEED_MANIFEST, records, 1,
                                     true, true);
  announce (&play, 1, 10000);
  ck_assert_int_lt (read_all (&play, request_with (&play, 50, 0, 0, "&differences=1"), 65536, 1),
                    500);
  ck_assert_uint_gt (atomic_load (&sent[CF_UPDATE_DIFFERENCE]), 100);
  ck_assert_int_gt (read_all (&play, request (&play, 0, 0, 0), 1 << 20, 1), 300000);
  ck_assert_uint_gt (atomic_load (&sent[CF_UPDATE_WHOLE]), 300000);
  ck_assert ((read_all (&play, request_with (&play, 0, 0, 0, waits[_i]), 1 << 20, 1) < 0)
             == (_i == 0));
  ck_assert_uint_eq (atomic_load (&play.feed.balancer.update_referrals), _i == 0);
  g_ptr_array_unref (records);
  stop (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed relay");

  cf_task_register_types ();
  suite_add_loop (suite, test_clients_that_do_not_read, 1);
  suite_add_loop (suite, test_clients_beyond_bound_are_refused, 1);
  suite_add_loop (suite, test_slow_follower_is_served, 1);
  suite_add_loop (suite, test_forms_of_responses, 4);
  return suite_run (suite);
}
