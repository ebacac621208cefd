#include "traffic.h"

#include <string.h>

/* Packets in the platform's format, as callers and upstreams write them. */

static void
put16 (uint8_t *at, unsigned value)
{
  at[0] = (uint8_t) (value >> 8);
  at[1] = (uint8_t) value;
}

void
soak_put32 (uint8_t *at, uint32_t value)
{
  put16 (at, value >> 16);
  put16 (at + 2, value & 0xffff);
}

void
soak_wire_build (uint8_t *out,
                 unsigned flags,
                 struct CfEndpoint from,
                 struct CfEndpoint to,
                 uint32_t ack,
                 uint32_t cookie,
                 unsigned len)
{
  memset (out, 0, SOAK_HEADER + len);
  put16 (out, len);
  out[2] = (uint8_t) flags;
  soak_put32 (out + 4, to.ip);
  put16 (out + 8, from.port);
  soak_put32 (out + 10, from.ip);
  put16 (out + 14, to.port);
  soak_put32 (out + 24, ack);
  soak_put32 (out + 28, cookie);
}

void
soak_wire_send (GSocket *socket, const char *ip, uint16_t port, const uint8_t *data, size_t len)
{
  GSocketAddress *address = g_inet_socket_address_new_from_string (ip, port);

  g_socket_send_to (socket, address, (const char *) data, len, NULL, NULL);
  g_object_unref (address);
}
