#include "tcp_server.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 100

struct Connection
{
  struct TcpServer *server;
  int fd;
};

bool
tcp_server_read_request (int fd)
{
  char text[TCP_SERVER_HEAD_MAX];

  return tcp_server_read_head (fd, text);
}

bool
tcp_server_read_head (int fd, char text[TCP_SERVER_HEAD_MAX])
{
  size_t len = 0;

  while (len < TCP_SERVER_HEAD_MAX - 1)
    {
      ssize_t got = read (fd, text + len, TCP_SERVER_HEAD_MAX - 1 - len);

      if (got <= 0)
        return false;
      len += (size_t) got;
      text[len] = 0;
      if (strstr (text, "\r\n\r\n"))
        return true;
    }
  return false;
}

static gpointer
run_connection (gpointer data)
{
  struct Connection *connection = data;

  connection->server->handle (connection->server->data, connection->fd);
  close (connection->fd);
  atomic_fetch_add (&connection->server->handled, 1);
  g_free (connection);
  return NULL;
}

static gpointer
run (gpointer data)
{
  struct TcpServer *server = data;

  while (!atomic_load (&server->stopping))
    {
      struct Connection connection = { .server = server };
      struct pollfd listener = { .fd = g_socket_get_fd (server->listener), .events = POLLIN };

      poll (&listener, 1, POLL_MS);
      connection.fd = accept (g_socket_get_fd (server->listener), NULL, NULL);
      if (connection.fd < 0)
        continue;
      atomic_fetch_add (&server->accepted, 1);
      g_thread_unref (
          g_thread_new ("connection", run_connection, g_memdup2 (&connection, sizeof connection)));
    }
  while (atomic_load (&server->handled) < atomic_load (&server->accepted))
    g_usleep (1000);
  return NULL;
}

char *
tcp_server_own_ip (int host)
{
  pid_t pid = getpid ();

  /* The soak test has the networks below 127.10, the scripts those below 127.110. */
  return g_strdup_printf ("127.%d.%d.%d", 110 + pid / 256 % 146, pid % 256, host);
}

void
tcp_server_start (struct TcpServer *server)
{
  tcp_server_start_at (server, "127.0.0.1", 0);
}

void
tcp_server_start_at (struct TcpServer *server, const char *ip, uint16_t port)
{
  GSocketAddress *address = g_inet_socket_address_new_from_string (ip, port);
  GSocketAddress *bound;

  server->listener
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_assert_true (g_socket_bind (server->listener, address, TRUE, NULL));
  g_assert_true (g_socket_listen (server->listener, NULL));
  bound = g_socket_get_local_address (server->listener, NULL);
  server->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_object_unref (bound);
  g_object_unref (address);
  server->thread = g_thread_new ("server", run, server);
}

void
tcp_server_stop (struct TcpServer *server)
{
  atomic_store (&server->stopping, true);
  shutdown (g_socket_get_fd (server->listener), SHUT_RDWR);
  g_thread_join (server->thread);
  g_object_unref (server->listener);
}
