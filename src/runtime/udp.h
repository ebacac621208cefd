#ifndef CF_RUNTIME_UDP_H
#define CF_RUNTIME_UDP_H

#include "cf_types.h"

#include <gio/gio.h>

/* Returns a GSocketAddress for ADDRESS. */
GSocketAddress *cf_socket_address (const struct CfAddress *address);

/* Reads a GSocketAddress into ADDRESS.  Returns false if it is not an IP address. */
bool cf_from_socket_address (GSocketAddress *socket_address, struct CfAddress *address);

/* Opens a non-blocking UDP socket at IP and PORT, or returns NULL with ERROR. */
GSocket *cf_udp_open (const char *ip, uint16_t port, struct CfError *error);

/* Has FUNC called with DATA, on the thread-default context, when SOCKET has datagrams. */
GSource *cf_udp_watch (GSocket *socket, GSocketSourceFunc func, void *data);

#endif
