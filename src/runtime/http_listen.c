#include "http_listen.h"
#include "base/list.h"
#include "udp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>

/* Each connection serves one request.  The HTTP library keeps the descriptor of a connection that
 * its client closes after a request, and gives up a listener of its own when it cannot accept once;
 * so connections are accepted here. */

/* Each of a process's servers uses up to this part of its descriptors. */
#define DESCRIPTORS_PART 6
#define CONNECTIONS_MIN 4
#define BACKLOG 256 /* connections; all followers of a VM may connect at once */
/* Before the next connection is accepted, when there are too many or no descriptor is left. */
#define ACCEPT_PAUSE_MS 20

struct CfHttpServer
{
  SoupServer *soup;
  GSocket *socket;
  GSource *accepting;        /* NULL: paused */
  GSource *pause;            /* NULL: accepting */
  struct CfLink connections; /* the oldest first */
  struct CfLink ending;      /* connections that are being closed */
  guint count;               /* of both */
  guint count_max;
  bool failing; /* the last connection could not be accepted */
};

struct Connection
{
  struct CfLink link; /* in the server's connections or ending */
  struct CfHttpServer *server;
  GSocket *socket;
  GSocketAddress *remote; /* may be NULL */
  GIOStream *stream;      /* not owned; frees this struct */
};

static guint
connections_max (void)
{
  struct rlimit limit = { 0 };

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return CONNECTIONS_MIN;
  return (guint) CLAMP (limit.rlim_cur / DESCRIPTORS_PART, CONNECTIONS_MIN,
                        CF_HTTP_CONNECTIONS_MAX);
}

static void
free_connection (struct Connection *connection)
{
  connection->server->count--;
  cf_list_remove (&connection->link);
  g_object_unref (connection->socket);
  g_clear_object (&connection->remote);
  g_free (connection);
}

static void
on_stream_freed (gpointer data, GObject *stream)
{
  (void) stream;
  free_connection (data);
}

/* The HTTP library closes CONNECTION when it reads its end. */
static void
end_connection (struct CfHttpServer *server, struct Connection *connection)
{
  cf_list_remove (&connection->link);
  cf_list_insert (&server->ending, &connection->link);
  g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
}

static void
end_oldest (struct CfHttpServer *server)
{
  if (!cf_list_empty (&server->connections))
    end_connection (server, CF_LIST_ENTRY (server->connections.next, struct Connection, link));
}

void
cf_http_end (struct CfHttpServer *server, SoupServerMessage *message)
{
  GSocketAddress *remote = soup_server_message_get_remote_address (message);

  for (struct CfLink *link = server->connections.next; link != &server->connections;
       link = link->next)
    {
      struct Connection *connection = CF_LIST_ENTRY (link, struct Connection, link);

      if (connection->remote && connection->remote == remote)
        {
          end_connection (server, connection);
          return;
        }
    }
}

static void
add_connection (struct CfHttpServer *server, GSocket *socket)
{
  struct Connection *connection = g_new0 (struct Connection, 1);
  GSocketConnection *stream = g_socket_connection_factory_create_connection (socket);
  GSocketAddress *local = g_socket_get_local_address (socket, NULL);
  GSocketAddress *remote = g_socket_get_remote_address (socket, NULL);

  connection->server = server;
  connection->socket = g_object_ref (socket);
  connection->stream = G_IO_STREAM (stream);
  connection->remote = remote ? g_object_ref (remote) : NULL;
  cf_list_insert (&server->connections, &connection->link);
  server->count++;
  g_object_weak_ref (G_OBJECT (stream), on_stream_freed, connection);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT, CF_HTTP_CLIENT_STALL_MS, NULL);
  g_socket_set_option (socket, SOL_SOCKET, SO_SNDBUF, CF_HTTP_SEND_BUFFER_BYTES, NULL);
  /* A client that is gone already has no address. */
  if (local && remote)
    soup_server_accept_iostream (server->soup, G_IO_STREAM (stream), local, remote, NULL);
  g_clear_object (&remote);
  g_clear_object (&local);
  g_object_unref (stream);
}

static void
prepare_request (SoupServer *soup,
                 SoupServerMessage *message,
                 const char *path,
                 GHashTable *query,
                 gpointer data)
{
  (void) soup;
  (void) path;
  (void) query;
  (void) data;
  /* No request of this product has a body. */
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
}

static void accept_connections (struct CfHttpServer *server);

static gboolean
on_pause_over (gpointer data)
{
  struct CfHttpServer *server = data;

  g_clear_pointer (&server->pause, g_source_unref);
  accept_connections (server);
  return G_SOURCE_REMOVE;
}

static void
clear_source (GSource **source)
{
  if (*source)
    g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

static void
pause_accepting (struct CfHttpServer *server)
{
  clear_source (&server->accepting);
  server->pause = g_timeout_source_new (ACCEPT_PAUSE_MS);
  g_source_set_callback (server->pause, on_pause_over, server, NULL);
  g_source_attach (server->pause, g_main_context_get_thread_default ());
}

static gboolean
on_connection (GSocket *listener, GIOCondition condition, gpointer data)
{
  struct CfHttpServer *server = data;
  GError *error = NULL;
  GSocket *socket;

  (void) condition;
  /* A place is made before it is needed; one whose request waits for an answer takes longer. */
  if (server->count + 1 >= server->count_max)
    end_oldest (server);
  if (server->count >= server->count_max)
    {
      pause_accepting (server);
      return G_SOURCE_REMOVE;
    }
  socket = g_socket_accept (listener, NULL, &error);
  if (socket)
    {
      server->failing = false;
      add_connection (server, socket);
      g_object_unref (socket);
      return G_SOURCE_CONTINUE;
    }
  if (!server->failing)
    g_warning ("cannot accept a connection: %s", error->message);
  server->failing = true;
  g_error_free (error);
  end_oldest (server);
  pause_accepting (server);
  return G_SOURCE_REMOVE;
}

static void
accept_connections (struct CfHttpServer *server)
{
  server->accepting = g_socket_create_source (server->socket, G_IO_IN, NULL);
  g_source_set_callback (server->accepting, G_SOURCE_FUNC (on_connection), server, NULL);
  g_source_attach (server->accepting, g_main_context_get_thread_default ());
}

static GSocket *
open_listener (const struct CfAddress *address, GError **error)
{
  GSocketAddress *local = cf_socket_address (address);
  GSocket *socket = g_socket_new (g_socket_address_get_family (local), G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, error);

  if (socket)
    {
      g_socket_set_blocking (socket, FALSE);
      g_socket_set_listen_backlog (socket, BACKLOG);
      if (!g_socket_bind (socket, local, TRUE, error) || !g_socket_listen (socket, error))
        g_clear_object (&socket);
    }
  g_object_unref (local);
  return socket;
}

struct CfHttpServer *
cf_http_listen (const struct CfAddress *address,
                SoupServerCallback answer,
                void *data,
                struct CfError *error)
{
  GError *gerror = NULL;
  GSocket *socket = open_listener (address, &gerror);
  struct CfHttpServer *server;

  if (!socket)
    {
      char text[CF_ADDRESS_TEXT_MAX];

      cf_address_format (address, text, sizeof text);
      cf_error_set (error, CF_ERROR_IO, "TCP %s: %s", text, gerror->message);
      g_error_free (gerror);
      return NULL;
    }
  server = g_new0 (struct CfHttpServer, 1);
  server->socket = socket;
  server->count_max = connections_max ();
  cf_list_init (&server->connections);
  cf_list_init (&server->ending);
  server->soup = soup_server_new ("server-header", "cyclamenferry ", NULL);
  soup_server_add_early_handler (server->soup, NULL, prepare_request, NULL, NULL);
  soup_server_add_handler (server->soup, NULL, answer, data, NULL);
  accept_connections (server);
  return server;
}

/* Messages that other tasks still hold may keep connections beyond the server. */
static void
forget_connections (struct CfLink *list)
{
  struct CfLink *next;

  for (struct CfLink *link = list->next; link != list; link = next)
    {
      struct Connection *connection = CF_LIST_ENTRY (link, struct Connection, link);

      next = link->next;
      g_object_weak_unref (G_OBJECT (connection->stream), on_stream_freed, connection);
      free_connection (connection);
    }
}

void
cf_http_close (struct CfHttpServer **server)
{
  struct CfHttpServer *old = *server;

  if (!old)
    return;
  *server = NULL;
  clear_source (&old->accepting);
  clear_source (&old->pause);
  soup_server_disconnect (old->soup);
  g_clear_object (&old->soup);
  forget_connections (&old->connections);
  forget_connections (&old->ending);
  g_socket_close (old->socket, NULL);
  g_object_unref (old->socket);
  g_free (old);
}
