#include "base/http_call.h"
#include "suite.h"
#include "tcp_server.h"

#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server whose answers are odd: redirects, demands of a password, codings, interim answers, wrong
 * lengths.  Each call ends in time, goes nowhere else and sends its request once. */

#define WAIT_S 10
#define DEADLINE_MS 800
#define CALLS 6
#define ROUNDS 60

struct Answerer
{
  struct TcpServer tcp;
  const char *answer; /* "%u" stands for the port */
  atomic_int requests;
};

static const char *const answers[] = {
  "HTTP/1.1 301 Moved\r\nLocation: http://127.0.0.1:%u/other\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 307 Moved\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 302 Moved\r\nLocation: https://127.0.0.1:%u/other\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 302 Moved\r\nLocation: file:///etc/hostname\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 302 Moved\r\nLocation: data:,x\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 302 Moved\r\nLocation: http://\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 302 Moved\r\nLocation: \xff\xfe%%\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 302 Moved\r\nLocation:\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 308 Moved\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic realm=\"x\"\r\nContent-Length: 0\r\n\r\n",
  ("HTTP/1.1 401 No\r\nWWW-Authenticate: Digest realm=\"x\", nonce=\"\", qop=\"auth\"\r\n"
   "Content-Length: 0\r\n\r\n"),
  ("HTTP/1.1 401 No\r\nWWW-Authenticate: Negotiate\r\nWWW-Authenticate: NTLM\r\n"
   "Content-Length: 0\r\n\r\n"),
  "HTTP/1.1 401 No\r\nWWW-Authenticate: ,,=\"\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 407 No\r\nProxy-Authenticate: Basic realm=\"x\"\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 200 OK\r\nContent-Encoding: deflate\r\nContent-Length: 4\r\n\r\nabcd",
  "HTTP/1.1 200 OK\r\nContent-Encoding: gzip, gzip, br, x\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
  "HTTP/1.1 101 Switching\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\nabc",
  "HTTP/1.1 103 Early\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
  "HTTP/1.0 200 OK\r\n\r\n{}",
  "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\nhello",
  "HTTP/1.1 304 None\r\n\r\nhello",
  "HTTP/0.9 200 OK\r\n\r\n{}",
  "HTTP/2.0 200 OK\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 9\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 500 No\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA: b\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nab",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\nContent-Length: 2\n\n{}",
  "HTTP/1.1 200\r\n\r\n",
  "HTTP/1.1 999 OK\r\n\r\n",
  "HTTP/1.1 000 OK\r\n\r\n",
  "HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nStrict-Transport-Security: max-age=9\r\n\r\n{}",
  "HTTP/1.1 200 OK\r\nContent-Type: multipart/x;boundary=\r\nContent-Length: 2\r\n\r\n{}",
  "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 408 Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
  "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
  "\x15\x03\x01\x00\x02\x02\x28",
  "\r\n\r\n\r\n",
  "HTTP/1.1 200 OK\r\n: x\r\n a\r\n\tb\r\nContent-Length: 2\r\n\r\n{}",
};

static void
answer (void *data, int fd)
{
  struct Answerer *answerer = data;
  char *text = strstr (answerer->answer, "%u")
                   ? g_strdup_printf (answerer->answer, answerer->tcp.port)
                   : g_strdup (answerer->answer);

  if (tcp_server_read_request (fd))
    {
      int n = atomic_fetch_add (&answerer->requests, 1);
      struct linger linger = { .l_onoff = n % 3 == 0 };

      send (fd, text, strlen (text), MSG_NOSIGNAL);
      usleep ((useconds_t) (n % 5) * 1000);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
  g_free (text);
}

struct Caller
{
  SoupSession *session;
  char *url;
  int under_way;
  int left;
  int bodies;
  guint status;
  guint error; /* status of the last response with 4xx that arrived whole */
};

static void
note_outcome (void *data, SoupMessage *message, GBytes *body)
{
  struct Caller *caller = data;

  caller->status = soup_message_get_status (message);
  caller->bodies += body != NULL;
  if (body && caller->status >= 400 && caller->status < 500)
    caller->error = caller->status;
  caller->under_way--;
}

static gboolean
begin (gpointer data)
{
  struct Caller *caller = data;

  if (caller->left == 0 || caller->under_way == CALLS)
    return G_SOURCE_CONTINUE;
  caller->left--;
  caller->under_way++;
  cf_http_call_begin (caller->session, soup_message_new ("GET", caller->url), DEADLINE_MS,
                      note_outcome, caller);
  return G_SOURCE_CONTINUE;
}

/* Failed on redirects: they were followed, to any address, with up to 20 requests a call.  Failed
 * on status 421: libsoup sent each request once more.  An error reaches the caller as the server
 * gave it. */
START_TEST (test_odd_answer_neither_ends_process_nor_repeats_calls)
{
  struct Answerer answerer = { .tcp.handle = answer, .answer = answers[_i] };
  gint64 end = g_get_monotonic_time () + 3 * WAIT_S * G_TIME_SPAN_SECOND;
  struct Caller caller = {
    .session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 16,
                                              "max-conns-per-host", 16, NULL),
    .left = ROUNDS,
  };
  guint timer;

  answerer.tcp.data = &answerer;
  tcp_server_start (&answerer.tcp);
  caller.url = g_strdup_printf ("http://127.0.0.1:%u/", answerer.tcp.port);
  timer = g_timeout_add (1, begin, &caller);
  while (caller.under_way > 0 || caller.left > 0)
    {
      ck_assert_msg (g_get_monotonic_time () < end, "%d calls do not end", caller.under_way);
      g_main_context_iteration (NULL, TRUE);
    }
  g_source_remove (timer);
  printf ("%d: %d requests, %d bodies, status %u: %.40s\n", _i, atomic_load (&answerer.requests),
          caller.bodies, caller.status, answers[_i]);
  fflush (stdout);
  g_object_unref (caller.session);
  g_free (caller.url);
  tcp_server_stop (&answerer.tcp);
  ck_assert_int_le (atomic_load (&answerer.requests), ROUNDS);
  if (g_str_has_prefix (answers[_i], "HTTP/1.1 4"))
    ck_assert_uint_eq (caller.error, strtoul (answers[_i] + strlen ("HTTP/1.1 "), NULL, 10));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("odd answers");

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  suite_add_loop (suite, test_odd_answer_neither_ends_process_nor_repeats_calls,
                  G_N_ELEMENTS (answers));
  return suite_run (suite);
}
