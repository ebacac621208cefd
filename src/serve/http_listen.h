#ifndef CF_SERVE_HTTP_LISTEN_H
#define CF_SERVE_HTTP_LISTEN_H

#include "cf_types.h"

#include <libsoup/soup.h>

/* Returns an HTTP server at ADDRESS that has ANSWER handle each request with DATA, on the
 * thread-default context, or NULL with ERROR. */
SoupServer *cf_http_listen (const struct CfAddress *address,
                            SoupServerCallback answer,
                            void *data,
                            struct CfError *error);

/* Closes *SOUP, which may be NULL, and its connections. */
void cf_http_close (SoupServer **soup);

#endif
