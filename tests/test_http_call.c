#include "base/http_call.h"
#include "suite.h"

#include <stdatomic.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <arpa/inet.h>
#include <unistd.h>

/* Calls to servers that answer in odd ways: each ends in time, and takes bounded memory.  Commands
 * read endless answers of the platform or a VM until memory ran out, and one that came byte by byte
 * for ever. */

#define DEADLINE_MS 4000
#define SLOW_MS 20 /* between two bytes */
#define MEMORY_MAX_KB (3 * CF_HTTP_BODY_MAX_BYTES / 1024)

enum Answer
{
  ANSWER_ENDLESS_BODY,
  ANSWER_ENDLESS_CHUNK,
  ANSWER_LARGE_LENGTH, /* says that a terabyte follows */
  ANSWER_ENDLESS_HEADER,
  ANSWER_SLOW_BODY,  /* a byte at a time, without end */
  ANSWER_LARGE_BODY, /* just within the limit */
  ANSWERS,
};

static const char *const heads[ANSWERS] = {
  [ANSWER_ENDLESS_BODY] = "HTTP/1.1 200 OK\r\n\r\n",
  [ANSWER_ENDLESS_CHUNK] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
  [ANSWER_LARGE_LENGTH] = "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n",
  [ANSWER_ENDLESS_HEADER] = "HTTP/1.1 200 OK\r\nX: ",
  [ANSWER_SLOW_BODY] = "HTTP/1.1 200 OK\r\n\r\n",
  [ANSWER_LARGE_BODY] = "HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n",
};

struct Server
{
  int socket;
  enum Answer answer;
  atomic_bool ended;
};

static gpointer
serve (gpointer data)
{
  struct Server *server = data;
  char buffer[65536];
  int connection = accept (server->socket, NULL, NULL);
  size_t part = server->answer == ANSWER_SLOW_BODY ? 1 : sizeof buffer;
  uint64_t left = server->answer == ANSWER_LARGE_BODY ? CF_HTTP_BODY_MAX_BYTES : G_MAXUINT64;

  (void) !read (connection, buffer, sizeof buffer);
  (void) !write (connection, heads[server->answer], strlen (heads[server->answer]));
  memset (buffer, 'x', sizeof buffer);
  while (left > 0)
    {
      ssize_t sent = send (connection, buffer, MIN (left, part), MSG_NOSIGNAL);

      if (server->answer == ANSWER_SLOW_BODY)
        g_usleep (SLOW_MS * G_TIME_SPAN_MILLISECOND);
      if (sent <= 0)
        break;
      left -= (uint64_t) sent;
    }
  atomic_store (&server->ended, true);
  close (connection);
  return NULL;
}

static char *
listen_on_loopback (struct Server *server)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  server->socket = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (server->socket, (struct sockaddr *) &address, len), 0);
  ck_assert_int_eq (listen (server->socket, 4), 0);
  getsockname (server->socket, (struct sockaddr *) &address, &len);
  return g_strdup_printf ("http://127.0.0.1:%u/", ntohs (address.sin_port));
}

struct Outcome
{
  bool done;
  gsize len; /* 0: no body */
};

static void
done (void *data, SoupMessage *message, GBytes *body)
{
  struct Outcome *outcome = data;

  (void) message;
  outcome->done = true;
  outcome->len = body ? g_bytes_get_size (body) : 0;
}

/* As a command does. */
static void
fetch_and_wait (SoupSession *session, const char *url, struct Outcome *outcome)
{
  SoupMessage *message = soup_message_new ("GET", url);
  GError *error = NULL;
  GBytes *body = cf_http_fetch_wait (session, message, DEADLINE_MS, &error);

  ck_assert ((body != NULL) == (error == NULL));
  done (outcome, message, body);
  g_clear_pointer (&body, g_bytes_unref);
  g_clear_error (&error);
  g_object_unref (message);
}

static long
peak_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

START_TEST (test_endless_answer_takes_bounded_memory)
{
  struct Server server = { .answer = (enum Answer) (_i % ANSWERS) };
  bool command = _i >= ANSWERS;
  char *url = listen_on_loopback (&server);
  SoupSession *session = soup_session_new ();
  struct Outcome outcome = { 0 };
  long before = peak_kb ();
  GThread *thread = g_thread_new ("server", serve, &server);
  gint64 began = g_get_monotonic_time ();

  if (command)
    fetch_and_wait (session, url, &outcome);
  else
    cf_http_call_begin (session, soup_message_new ("GET", url), DEADLINE_MS, done, &outcome);
  while (!outcome.done)
    g_main_context_iteration (NULL, TRUE);
  ck_assert_uint_eq (outcome.len, server.answer == ANSWER_LARGE_BODY ? CF_HTTP_BODY_MAX_BYTES : 0);
  /* The connection is closed: nothing goes on reading the rest. */
  while (!atomic_load (&server.ended)
         && g_get_monotonic_time () - began < 2 * DEADLINE_MS * G_TIME_SPAN_MILLISECOND)
    g_main_context_iteration (NULL, FALSE);
  printf ("answer %d: %ld MB more, %ld ms\n", _i, (peak_kb () - before) / 1024,
          (long) ((g_get_monotonic_time () - began) / 1000));
  ck_assert (atomic_load (&server.ended));
  ck_assert_int_le (peak_kb () - before, MEMORY_MAX_KB);
  g_thread_join (thread);
  close (server.socket);
  g_object_unref (session);
  g_free (url);
}
END_TEST

/* A follower of a VM whose record had an empty address waited for ever. */
START_TEST (test_call_without_url_ends)
{
  SoupSession *session = soup_session_new ();
  SoupMessage *message = soup_message_new ("GET", "http://:7720/feed");
  struct Outcome outcome = { 0 };
  gint64 began = g_get_monotonic_time ();
  struct CfHttpCall *call;

  ck_assert_ptr_null (message);
  cf_http_call_begin (session, message, DEADLINE_MS, done, &outcome);
  ck_assert (!outcome.done);
  while (!outcome.done && g_get_monotonic_time () - began < 2 * G_TIME_SPAN_SECOND)
    g_main_context_iteration (NULL, FALSE);
  ck_assert (outcome.done);
  ck_assert_uint_eq (outcome.len, 0);
  /* One that is cancelled at once. */
  outcome.done = false;
  call = cf_http_call_begin (session, NULL, DEADLINE_MS, done, &outcome);
  cf_http_call_cancel (&call);
  ck_assert_ptr_null (call);
  while (g_main_context_iteration (NULL, FALSE))
    ;
  ck_assert (!outcome.done);
  g_object_unref (session);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http_call");

  suite_add_loop (suite, test_endless_answer_takes_bounded_memory, 2 * ANSWERS);
  suite_add_loop (suite, test_call_without_url_ends, 1);
  return suite_run (suite);
}
