#include "silent_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct Connection
{
  struct SilentServer *server;
  int fd;
  int silences;        /* of the server that it has survived */
  const char *waiting; /* path of the request that waits, or NULL */
  bool silent;
};

static bool
is_silent (struct Connection *connection)
{
  const struct SilentServer *server = connection->server;

  if (connection->silences < server->silences)
    connection->silent
        |= !server->silent_path
           || (connection->waiting && strstr (connection->waiting, server->silent_path));
  connection->silences = server->silences;
  return connection->silent;
}

/* Waits for a change.  Returns true if there was none by the time UNTIL. */
static bool
wait_until (struct SilentServer *server, gint64 until)
{
  return !g_cond_wait_until (&server->changed, &server->mutex, until);
}

static void
stay_silent (struct SilentServer *server)
{
  while (!server->stopping)
    g_cond_wait (&server->changed, &server->mutex);
}

static gint64
wait_of (const char *path)
{
  const char *wait = strstr (path, "wait-ms=");

  return wait ? atoi (wait + strlen ("wait-ms=")) * G_TIME_SPAN_MILLISECOND : 0;
}

/* Returns the body of the response to REQUEST, or NULL if the connection has gone silent or the
 * server stops. */
static GBytes *
await_answer (struct Connection *connection, struct SilentRequest *request)
{
  struct SilentServer *server = connection->server;
  const char *path = request->path;
  gint64 until = g_get_monotonic_time () + wait_of (path);
  GBytes *body = NULL;

  request->number = ++server->requests;
  connection->waiting = path;
  g_ptr_array_add (server->waiting, (gpointer) path);
  while (!body && !is_silent (connection) && !server->stopping)
    {
      request->over = g_get_monotonic_time () >= until;
      body = server->answer (server->data, request);
      if (!body && request->over)
        g_cond_wait (&server->changed, &server->mutex);
      else if (!body)
        wait_until (server, until);
    }
  connection->waiting = NULL;
  g_ptr_array_remove_fast (server->waiting, (gpointer) path);
  return body;
}

static bool
respond (struct Connection *connection, GBytes *body, const char *more, bool last)
{
  const struct SilentServer *server = connection->server;
  const char *status = server->status ? server->status : "200 OK";
  const char *headers = server->headers ? server->headers : "";
  gsize len;
  const char *data = g_bytes_get_data (body, &len);
  char *head
      = g_strdup_printf ("HTTP/1.1 %s\r\n%s%s%sContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n", status,
                         headers, more ? more : "", last ? "Connection: close\r\n" : "", len);
  bool sent = send (connection->fd, head, strlen (head), MSG_NOSIGNAL) == (ssize_t) strlen (head)
              && send (connection->fd, data, len, MSG_NOSIGNAL) == (ssize_t) len;

  g_free (head);
  g_bytes_unref (body);
  return sent && !last;
}

/* Reads what is left of the body of the request with HEAD, which may have some of it. */
static void
skip_body (int fd, const char *head)
{
  const char *length = strstr (head, "\r\nContent-Length: ");
  size_t len = length ? (size_t) atoi (length + strlen ("\r\nContent-Length: ")) : 0;
  size_t got = strlen (strstr (head, "\r\n\r\n") + 4);
  char buffer[TCP_SERVER_HEAD_MAX];

  while (got < len)
    {
      ssize_t more = read (fd, buffer, MIN (sizeof buffer, len - got));

      if (more <= 0)
        return;
      got += (size_t) more;
    }
}

/* Returns false if the connection is to be closed. */
static bool
handle_request (struct Connection *connection, const char *head)
{
  struct SilentServer *server = connection->server;
  char **words = g_strsplit (head, " ", 3);
  struct SilentRequest request = { .path = words[0] ? words[1] : NULL, .head = head };
  GBytes *body = NULL;
  bool go_on = false;

  skip_body (connection->fd, head);
  g_mutex_lock (&server->mutex);
  if (is_silent (connection))
    server->on_silent++;
  else if (request.path)
    body = await_answer (connection, &request);
  if (is_silent (connection))
    stay_silent (server);
  g_mutex_unlock (&server->mutex);
  if (body && !connection->silent)
    {
      go_on
          = respond (connection, body, request.headers, strstr (head, "\r\nConnection: close\r\n"));
      connection->silent = server->silent_if_idle;
    }
  else
    g_clear_pointer (&body, g_bytes_unref);
  g_strfreev (words);
  return go_on;
}

static void
handle_connection (void *data, int fd)
{
  struct SilentServer *server = data;
  struct Connection connection = { .server = server, .fd = fd };
  char head[TCP_SERVER_HEAD_MAX];

  g_mutex_lock (&server->mutex);
  connection.silences = server->silences;
  g_mutex_unlock (&server->mutex);
  while (tcp_server_read_head (fd, head) && handle_request (&connection, head))
    ;
}

void
silent_server_start (struct SilentServer *server, const char *ip, uint16_t port)
{
  g_mutex_init (&server->mutex);
  g_cond_init (&server->changed);
  server->waiting = g_ptr_array_new ();
  server->tcp.handle = handle_connection;
  server->tcp.data = server;
  tcp_server_start_at (&server->tcp, ip ? ip : "127.0.0.1", port);
}

void
silent_server_silence (struct SilentServer *server, const char *path)
{
  g_mutex_lock (&server->mutex);
  server->silences++;
  server->silent_path = path;
  g_cond_broadcast (&server->changed);
  g_mutex_unlock (&server->mutex);
}

static int
read_count (struct SilentServer *server, const int *count)
{
  int value;

  g_mutex_lock (&server->mutex);
  value = *count;
  g_mutex_unlock (&server->mutex);
  return value;
}

int
silent_server_requests (struct SilentServer *server)
{
  return read_count (server, &server->requests);
}

int
silent_server_on_silent (struct SilentServer *server)
{
  return read_count (server, &server->on_silent);
}

bool
silent_server_has_waiting (struct SilentServer *server, const char *path)
{
  bool found = false;

  g_mutex_lock (&server->mutex);
  for (guint i = 0; i < server->waiting->len && !found; i++)
    found = strstr (server->waiting->pdata[i], path);
  g_mutex_unlock (&server->mutex);
  return found;
}

void
silent_server_stop (struct SilentServer *server)
{
  g_mutex_lock (&server->mutex);
  server->stopping = true;
  g_cond_broadcast (&server->changed);
  g_mutex_unlock (&server->mutex);
  tcp_server_stop (&server->tcp);
  g_mutex_clear (&server->mutex);
  g_cond_clear (&server->changed);
  g_ptr_array_unref (server->waiting);
}
