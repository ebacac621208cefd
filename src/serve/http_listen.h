#ifndef CF_SERVE_HTTP_LISTEN_H
#define CF_SERVE_HTTP_LISTEN_H

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

/* Closes *SERVER, which may be NULL, and its connections. */
void cf_http_close (struct CfHttpServer **server);

#endif
