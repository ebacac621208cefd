#ifndef CF_RUNTIME_HTTP_LISTEN_H
#define CF_RUNTIME_HTTP_LISTEN_H

#include "cf_types.h"

#include <libsoup/soup.h>

/* An HTTP server whose use of descriptors and memory is bounded, whatever its clients do.  It holds
 * a limited number of connections, of one request each, and ends the oldest for a new one.  It goes
 * on accepting when the process lacked descriptors for a while, and drops the bodies of
 * requests. */
struct CfHttpServer;

/* Connections that a server holds at most, or fewer if the process may open few descriptors. */
#define CF_HTTP_CONNECTIONS_MAX 512

/* Returns an HTTP server at ADDRESS that calls ANSWER with DATA for each request, on the
 * thread-default context, or NULL with ERROR set. */
struct CfHttpServer *cf_http_listen (const struct CfAddress *address,
                                     SoupServerCallback answer,
                                     void *data,
                                     struct CfError *error);

/* Bytes of a response that the kernel takes at once; it allocates up to twice as many, and would
 * otherwise take up to some MB.  Fills a path of 25 Mbit/s with 20 ms. */
#define CF_HTTP_SEND_BUFFER_BYTES 65536
/* A connection whose client has taken none of what was sent is ended by the kernel, also after the
 * server closed it. */
#define CF_HTTP_CLIENT_STALL_MS 5000

/* Ends the connection of MESSAGE, whose request is "finished" soon after. */
void cf_http_end (struct CfHttpServer *server, SoupServerMessage *message);

/* Closes *SERVER, which may be NULL, and its connections. */
void cf_http_close (struct CfHttpServer **server);

#endif
