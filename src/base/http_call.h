#ifndef CF_BASE_HTTP_CALL_H
#define CF_BASE_HTTP_CALL_H

#include <libsoup/soup.h>
#include <stdbool.h>

/* An HTTP call with a deadline, made on the thread-default context. */

struct CfHttpCall;

/* Bounds of a response's body.  A page of a list has about a megabyte, a value at most one; the
 * answer to a watch may hold several, and escaped text takes up to six times its size.  The answer
 * to a probe takes some 100 bytes. */
#define CF_HTTP_BODY_MAX_BYTES (32 << 20)
#define CF_HTTP_SHORT_BODY_MAX_BYTES 65536

/* Sends MESSAGE and reads the body of its response, up to BODY_MAX bytes, which is one of the two
 * above.  CALLBACK gets the result for cf_http_fetch_finish.  A redirect and status 421 are
 * responses like any other: the request is sent once.
 *
 * Each message has a connection of its own.  On a connection that was used before, libsoup 3.2
 * sends a request again when the connection ends; if another call begins at that moment, the
 * library uses the message after it has finished with it, and the process ends by SIGSEGV.  A
 * connection that has gone silent cannot delay a call either. */
void cf_http_fetch (SoupSession *session,
                    SoupMessage *message,
                    gsize body_max,
                    GCancellable *cancellable,
                    GAsyncReadyCallback callback,
                    void *data);

/* Returns the body, or NULL with ERROR (may be NULL) set if it did not arrive completely or is too
 * large. */
GBytes *cf_http_fetch_finish (GAsyncResult *result, GError **error);

/* Sends MESSAGE as cf_http_fetch does and waits for the body of its response, up to
 * CF_HTTP_BODY_MAX_BYTES, for DEADLINE_MS at most.  Returns NULL with ERROR set if it did not
 * arrive completely, in time, or is too large.  For commands, which have nothing else to do
 * meanwhile. */
GBytes *
cf_http_fetch_wait (SoupSession *session, SoupMessage *message, guint deadline_ms, GError **error);

/* Receives the BODY of the response to MESSAGE, NULL if none arrived completely in time or it was
 * too large.  MESSAGE is NULL if there was none to send. */
typedef void CfHttpDone (void *data, SoupMessage *message, GBytes *body);

/* Sends MESSAGE, which the call releases, and calls DONE with DATA within DEADLINE_MS.  MESSAGE may
 * be NULL, as soup_message_new returns for a text that is no URL: the call fails, but not at once.
 * DONE may begin other calls. */
struct CfHttpCall *cf_http_call_begin (
    SoupSession *session, SoupMessage *message, guint deadline_ms, CfHttpDone *done, void *data);

/* Cancels *CALL, which has not completed yet or is NULL, and makes it NULL; DONE is not called. */
void cf_http_call_cancel (struct CfHttpCall **call);

#endif
