#ifndef CF_SERVE_HTTP_CALL_H
#define CF_SERVE_HTTP_CALL_H

#include <libsoup/soup.h>
#include <stdbool.h>

/* An HTTP call with a deadline, made on the thread-default context. */

struct CfHttpCall;

/* Receives the BODY of the response to MESSAGE, NULL if none arrived completely in time. */
typedef void CfHttpDone (void *data, SoupMessage *message, GBytes *body);

/* Sends MESSAGE, which the call releases, and calls DONE with DATA within DEADLINE_MS.
 * DONE may begin other calls.  A redirect is a response like any other.
 *
 * Each call has a connection of its own.  On a connection that was used before, libsoup 3.2 sends a
 * request again when the connection ends; if another call begins at that moment, the library uses
 * the message after it has finished with it, and the process ends by SIGSEGV.  A connection that
 * has gone silent cannot delay a call either. */
struct CfHttpCall *cf_http_call_begin (
    SoupSession *session, SoupMessage *message, guint deadline_ms, CfHttpDone *done, void *data);

/* Cancels CALL, which has not completed yet; DONE is not called. */
void cf_http_call_cancel (struct CfHttpCall *call);

#endif
