#include "udp.h"

#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define SOCKET_BUFFER_BYTES (4 << 20)

GSocketAddress *
cf_socket_address (const struct CfAddress *address)
{
  bool v4 = cf_address_is_ipv4 (address);
  GInetAddress *ip = g_inet_address_new_from_bytes (
      v4 ? address->ip + 12 : address->ip, v4 ? G_SOCKET_FAMILY_IPV4 : G_SOCKET_FAMILY_IPV6);
  GSocketAddress *result = g_inet_socket_address_new (ip, address->port);

  g_object_unref (ip);
  return result;
}

bool
cf_from_socket_address (GSocketAddress *socket_address, struct CfAddress *address)
{
  GInetAddress *ip;
  char *text;
  bool ok;

  if (!G_IS_INET_SOCKET_ADDRESS (socket_address))
    return false;
  ip = g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (socket_address));
  if (g_inet_address_get_family (ip) == G_SOCKET_FAMILY_IPV4)
    {
      memset (address->ip, 0, 10);
      memset (address->ip + 10, 0xff, 2);
      memcpy (address->ip + 12, g_inet_address_to_bytes (ip), 4);
      address->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (socket_address));
      return true;
    }
  text = g_inet_address_to_string (ip);
  ok = cf_address_parse (
      text, g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (socket_address)), address);
  g_free (text);
  return ok;
}

GSocket *
cf_udp_open (const char *ip, uint16_t port, struct CfError *error)
{
  struct CfAddress address;
  GSocketAddress *local;
  GSocket *socket;
  GError *gerror = NULL;

  if (!cf_address_parse (ip, port, &address))
    {
      cf_error_set (error, CF_ERROR_INPUT, "'%s' is not an IP address", ip);
      return NULL;
    }
  local = cf_socket_address (&address);
  socket = g_socket_new (g_socket_address_get_family (local), G_SOCKET_TYPE_DATAGRAM,
                         G_SOCKET_PROTOCOL_UDP, &gerror);
  if (socket && g_socket_bind (socket, local, FALSE, &gerror))
    {
      g_socket_set_blocking (socket, FALSE);
      g_socket_set_option (socket, SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES, NULL);
      g_socket_set_option (socket, SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES, NULL);
    }
  else
    {
      cf_error_set (error, CF_ERROR_IO, "UDP %s port %u: %s", ip, port, gerror->message);
      g_clear_object (&socket);
      g_error_free (gerror);
    }
  g_object_unref (local);
  return socket;
}

GSource *
cf_udp_watch (GSocket *socket, GSocketSourceFunc func, void *data)
{
  GSource *source = g_socket_create_source (socket, G_IO_IN, NULL);

  g_source_set_callback (source, G_SOURCE_FUNC (func), data, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
  return source;
}
