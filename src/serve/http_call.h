#ifndef CF_SERVE_HTTP_CALL_H
#define CF_SERVE_HTTP_CALL_H

#include <libsoup/soup.h>
#include <stdbool.h>

/* An HTTP call with a deadline, made on the thread-default context. */

struct CfHttpCall;

/* MESSAGE has been answered with BODY; BODY is NULL if no whole answer came in time. */
typedef void CfHttpDone (void *data, SoupMessage *message, GBytes *body);

/* Sends MESSAGE, which the call releases, and calls DONE with DATA within DEADLINE_MS.
 * With FRESH it uses a connection of its own: one that has gone silent does not delay it.
 * DONE may begin other calls. */
struct CfHttpCall *cf_http_call_begin (SoupSession *session,
                                       SoupMessage *message,
                                       guint deadline_ms,
                                       bool new_connection,
                                       CfHttpDone *done,
                                       void *data);

/* Ends CALL, which is not done yet: DONE is not called. */
void cf_http_call_cancel (struct CfHttpCall *call);

#endif
