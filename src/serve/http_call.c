#include "http_call.h"

struct CfHttpCall
{
  SoupMessage *message;
  GCancellable *cancellable;
  GSource *deadline;
  CfHttpDone *done; /* NULL: cancelled */
  void *data;
};

static gboolean
past_deadline (gpointer data)
{
  g_cancellable_cancel (((struct CfHttpCall *) data)->cancellable);
  return G_SOURCE_REMOVE;
}

static void
free_call (struct CfHttpCall *call)
{
  g_source_destroy (call->deadline);
  g_source_unref (call->deadline);
  g_object_unref (call->cancellable);
  g_object_unref (call->message);
  g_free (call);
}

static void
answered (GObject *source, GAsyncResult *result, gpointer data)
{
  struct CfHttpCall *call = data;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  if (call->done)
    call->done (call->data, call->message, body);
  g_clear_pointer (&body, g_bytes_unref);
  free_call (call);
}

struct CfHttpCall *
cf_http_call_begin (
    SoupSession *session, SoupMessage *message, guint deadline_ms, CfHttpDone *done, void *data)
{
  struct CfHttpCall *call = g_new0 (struct CfHttpCall, 1);

  call->message = message;
  call->done = done;
  call->data = data;
  call->cancellable = g_cancellable_new ();
  call->deadline = g_timeout_source_new (deadline_ms);
  g_source_set_callback (call->deadline, past_deadline, call, NULL);
  g_source_attach (call->deadline, g_main_context_get_thread_default ());
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT);
  soup_message_headers_replace (soup_message_get_request_headers (message), "Connection", "close");
  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, call->cancellable,
                                    answered, call);
  return call;
}

void
cf_http_call_cancel (struct CfHttpCall *call)
{
  call->done = NULL;
  g_cancellable_cancel (call->cancellable);
}
