#include "base/http_call.h"
#include "cf_types.h"
#include "suite.h"
#include "tcp_server.h"

#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server that resets a connection, or closes it, in the middle of a call.  The HTTP library sends
 * a request again if its connection was used before. */

#define WAIT_S 10

struct Answerer
{
  struct TcpServer tcp;
  int good;         /* requests of each connection that get a response */
  bool reset;       /* else the connection is closed */
  useconds_t pause; /* before that */
  size_t part;      /* bytes of the response that are sent before */
  bool redirect;    /* responses redirect to the same path */
  atomic_int requests;
};

static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
static const char redirect[] = "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 2\r\n\r\n{}";

static void
answer (void *data, int fd)
{
  struct Answerer *answerer = data;

  for (int i = 0; tcp_server_read_request (fd); i++)
    {
      atomic_fetch_add (&answerer->requests, 1);
      if (i == answerer->good)
        {
          struct linger linger = { .l_onoff = answerer->reset };

          if (answerer->part > 0 && write (fd, response, answerer->part) < 0)
            return;
          usleep (answerer->pause);
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
          return;
        }
      if (write (fd, answerer->redirect ? redirect : response,
                 answerer->redirect ? sizeof redirect - 1 : sizeof response - 1)
          < 0)
        return;
    }
}

/* As many calls at a time as a VM has to the store. */
#define CALLS 6
#define ROUNDS 1000

struct Caller
{
  SoupSession *session;
  char *url;
  int under_way;
  int left;
};

static void
note_outcome (void *data, SoupMessage *message, GBytes *body)
{
  struct Caller *caller = data;

  (void) message;
  (void) body;
  caller->under_way--;
}

/* Calls begin while others are under way, at any time. */
static gboolean
begin (gpointer data)
{
  struct Caller *caller = data;

  if (caller->left == 0 || caller->under_way == CALLS)
    return G_SOURCE_CONTINUE;
  caller->left--;
  caller->under_way++;
  cf_http_call_begin (caller->session, soup_message_new ("GET", caller->url), WAIT_S * CF_MS_PER_S,
                      note_outcome, caller);
  return G_SOURCE_CONTINUE;
}

START_TEST (test_connections_end_during_calls)
{
  static const struct Answerer ends[] = {
    { .good = 0, .reset = true },
    { .good = 1, .reset = true },
    { .good = 1, .reset = false },
    { .good = 1, .reset = true, .pause = 2000 },
    { .good = 1, .reset = false, .pause = 2000 },
    { .good = 3, .reset = true, .pause = 100 },
    { .good = 1, .reset = true, .pause = 2000, .part = 10 },
    { .good = 1, .reset = true, .pause = 2000, .part = sizeof response - 2 },
    { .good = 1, .reset = false, .pause = 2000, .part = 10 },
    { .good = 1000, .redirect = true },
    { .good = 3, .reset = true, .redirect = true },
  };
  struct Answerer answerer = ends[_i];
  gint64 end = g_get_monotonic_time () + 3 * WAIT_S * G_TIME_SPAN_SECOND;
  struct Caller caller = {
    .session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 16,
                                              "max-conns-per-host", 16, NULL),
    .left = ROUNDS,
  };
  guint timer;

  answerer.tcp.handle = answer;
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
  g_object_unref (caller.session);
  g_free (caller.url);
  tcp_server_stop (&answerer.tcp);
  /* One request a connection: the library never has one to send again. */
  ck_assert_int_eq (atomic_load (&answerer.tcp.accepted), ROUNDS);
  ck_assert_int_eq (atomic_load (&answerer.requests), ROUNDS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("connection reset");

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  suite_add_loop (suite, test_connections_end_during_calls, 11);
  return suite_run (suite);
}
