#include "serve/http_call.h"
#include "serve/server.h"
#include "suite.h"

#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server that resets a connection, or closes it, in the middle of a call.  The HTTP library sends
 * a request again if its connection was used before. */

#define WAIT_S 10

struct Server
{
  GSocket *listener;
  uint16_t port;
  int good;         /* requests of each connection that get a response */
  bool reset;       /* else the connection is closed */
  useconds_t pause; /* before that */
  size_t part;      /* bytes of the response that are sent before */
  bool redirect;    /* responses redirect to the same path */
  atomic_bool ended;
  atomic_int connections;
  GThread *thread;
};

static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
static const char redirect[] = "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 2\r\n\r\n{}";

/* Returns false at the end of the connection. */
static bool
read_request (int fd)
{
  char text[4096];
  size_t len = 0;

  while (len < sizeof text - 1)
    {
      ssize_t got = read (fd, text + len, sizeof text - 1 - len);

      if (got <= 0)
        return false;
      len += (size_t) got;
      text[len] = 0;
      if (strstr (text, "\r\n\r\n"))
        return true;
    }
  return false;
}

static void
serve_connection (struct Server *server, int fd)
{
  for (int i = 0; read_request (fd); i++)
    {
      if (i == server->good)
        {
          struct linger linger = { .l_onoff = server->reset };

          if (server->part > 0 && write (fd, response, server->part) < 0)
            return;
          usleep (server->pause);
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
          return;
        }
      if (write (fd, server->redirect ? redirect : response,
                 server->redirect ? sizeof redirect - 1 : sizeof response - 1)
          < 0)
        return;
    }
}

struct Connection
{
  struct Server *server;
  int fd;
};

static gpointer
run_connection (gpointer data)
{
  struct Connection *connection = data;

  serve_connection (connection->server, connection->fd);
  close (connection->fd);
  atomic_fetch_sub (&connection->server->connections, 1);
  g_free (connection);
  return NULL;
}

static gpointer
serve (gpointer data)
{
  struct Server *server = data;

  while (!atomic_load (&server->ended))
    {
      struct Connection connection = { .server = server };

      connection.fd = accept (g_socket_get_fd (server->listener), NULL, NULL);
      if (connection.fd < 0)
        continue;
      atomic_fetch_add (&server->connections, 1);
      g_thread_unref (
          g_thread_new ("connection", run_connection, g_memdup2 (&connection, sizeof connection)));
    }
  while (atomic_load (&server->connections) > 0)
    g_usleep (1000);
  return NULL;
}

static void
start_server (struct Server *server)
{
  GInetAddress *ip = g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  GSocketAddress *address = g_inet_socket_address_new (ip, 0);
  GSocketAddress *bound;

  server->listener
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  ck_assert (g_socket_bind (server->listener, address, TRUE, NULL));
  ck_assert (g_socket_listen (server->listener, NULL));
  g_socket_set_blocking (server->listener, TRUE);
  bound = g_socket_get_local_address (server->listener, NULL);
  server->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_object_unref (bound);
  g_object_unref (address);
  g_object_unref (ip);
  server->thread = g_thread_new ("server", serve, server);
}

static void
stop_server (struct Server *server)
{
  atomic_store (&server->ended, true);
  shutdown (g_socket_get_fd (server->listener), SHUT_RDWR);
  g_thread_join (server->thread);
  g_object_unref (server->listener);
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
  static const struct Server ends[] = {
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
  struct Server server = ends[_i];
  gint64 end = g_get_monotonic_time () + 3 * WAIT_S * G_TIME_SPAN_SECOND;
  struct Caller caller = {
    .session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 16,
                                              "max-conns-per-host", 16, NULL),
    .left = ROUNDS,
  };
  guint timer;

  start_server (&server);
  caller.url = g_strdup_printf ("http://127.0.0.1:%u/", server.port);
  timer = g_timeout_add (1, begin, &caller);
  while (caller.under_way > 0 || caller.left > 0)
    {
      ck_assert_msg (g_get_monotonic_time () < end, "%d calls do not end", caller.under_way);
      g_main_context_iteration (NULL, TRUE);
    }
  g_source_remove (timer);
  g_object_unref (caller.session);
  g_free (caller.url);
  stop_server (&server);
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
