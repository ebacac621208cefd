#ifndef CF_SERVE_HTTP_CALL_H
#define CF_SERVE_HTTP_CALL_H

#include <libsoup/soup.h>
#include <stdbool.h>

/* An HTTP call with a deadline, made on the thread-default context. */

struct CfHttpCall;

/* Receives the BODY of the response to MESSAGE, NULL if none arrived completely in time.  MESSAGE
 * is NULL if there was none to send. */
typedef void CfHttpDone (void *data, SoupMessage *message, GBytes *body);

/* Sends MESSAGE, which the call releases, and calls DONE with DATA within DEADLINE_MS.  MESSAGE may
 * be NULL, as soup_message_new returns for a text that is no URL: the call fails, but not at once.
 * With NEW_CONNECTION it uses a connection of its own, so that a stalled one does not delay it.
 * DONE may begin other calls. */
struct CfHttpCall *cf_http_call_begin (SoupSession *session,
                                       SoupMessage *message,
                                       guint deadline_ms,
                                       bool new_connection,
                                       CfHttpDone *done,
                                       void *data);

/* Cancels CALL, which has not completed yet; DONE is not called. */
void cf_http_call_cancel (struct CfHttpCall *call);

#endif
