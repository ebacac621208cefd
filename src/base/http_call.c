#include "http_call.h"

struct CfHttpCall
{
  SoupMessage *message; /* NULL: none to send */
  GCancellable *cancellable;
  GSource *deadline;
  CfHttpDone *done; /* NULL: cancelled */
  void *data;
};

static gpointer
resize_body (gpointer data, gsize size)
{
  return size <= CF_HTTP_BODY_MAX_BYTES ? g_try_realloc (data, size) : NULL;
}

static gpointer
resize_short_body (gpointer data, gsize size)
{
  return size <= CF_HTTP_SHORT_BODY_MAX_BYTES ? g_try_realloc (data, size) : NULL;
}

static void
unref (gpointer object)
{
  g_object_unref (object);
}

static void
body_read (GObject *source, GAsyncResult *result, gpointer data)
{
  GTask *task = data;
  GError *error = NULL;

  if (g_output_stream_splice_finish (G_OUTPUT_STREAM (source), result, &error) < 0)
    {
      /* The session would go on to read the rest of a body that is too large. */
      g_cancellable_cancel (g_task_get_cancellable (task));
      g_task_return_error (task, error);
    }
  else
    g_task_return_pointer (task,
                           g_memory_output_stream_steal_as_bytes (G_MEMORY_OUTPUT_STREAM (source)),
                           (GDestroyNotify) g_bytes_unref);
  g_object_unref (task);
}

static void
head_read (GObject *source, GAsyncResult *result, gpointer data)
{
  GTask *task = data;
  GError *error = NULL;
  GInputStream *stream = soup_session_send_finish (SOUP_SESSION (source), result, &error);

  if (!stream)
    {
      g_task_return_error (task, error);
      g_object_unref (task);
      return;
    }
  g_output_stream_splice_async (g_task_get_task_data (task), stream,
                                G_OUTPUT_STREAM_SPLICE_CLOSE_SOURCE
                                    | G_OUTPUT_STREAM_SPLICE_CLOSE_TARGET,
                                G_PRIORITY_DEFAULT, g_task_get_cancellable (task), body_read, task);
  g_object_unref (stream);
}

/* The session's own handler of this signal would send the request again.  It is connected when the
 * message is sent, so this one, connected before, runs first. */
static void
stop_repetition (SoupMessage *message, void *data)
{
  (void) data;
  g_signal_stop_emission_by_name (message, "got-body");
}

void
cf_http_fetch (SoupSession *session,
               SoupMessage *message,
               gsize body_max,
               GCancellable *cancellable,
               GAsyncReadyCallback callback,
               void *data)
{
  GTask *task = g_task_new (session, cancellable, callback, data);

  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT);
  soup_message_headers_replace (soup_message_get_request_headers (message), "Connection", "close");
  soup_message_add_status_code_handler (message, "got-body", SOUP_STATUS_MISDIRECTED_REQUEST,
                                        G_CALLBACK (stop_repetition), NULL);
  g_task_set_check_cancellable (task, FALSE);
  g_task_set_task_data (
      task,
      g_memory_output_stream_new (
          NULL, 0, body_max == CF_HTTP_SHORT_BODY_MAX_BYTES ? resize_short_body : resize_body,
          g_free),
      unref);
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT, cancellable, head_read, task);
}

GBytes *
cf_http_fetch_finish (GAsyncResult *result, GError **error)
{
  return g_task_propagate_pointer (G_TASK (result), error);
}

static void
keep_result (GObject *source, GAsyncResult *result, gpointer data)
{
  (void) source;
  *(GAsyncResult **) data = g_object_ref (result);
}

static gboolean
cancel (gpointer cancellable)
{
  g_cancellable_cancel (cancellable);
  return G_SOURCE_REMOVE;
}

GBytes *
cf_http_fetch_wait (SoupSession *session, SoupMessage *message, guint deadline_ms, GError **error)
{
  GCancellable *cancellable = g_cancellable_new ();
  GSource *deadline = g_timeout_source_new (deadline_ms);
  GAsyncResult *result = NULL;
  GBytes *body;

  g_source_set_callback (deadline, cancel, cancellable, NULL);
  g_source_attach (deadline, g_main_context_get_thread_default ());
  cf_http_fetch (session, message, CF_HTTP_BODY_MAX_BYTES, cancellable, keep_result, &result);
  while (!result)
    g_main_context_iteration (g_main_context_get_thread_default (), TRUE);
  body = cf_http_fetch_finish (result, error);
  if (error && g_error_matches (*error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    {
      g_clear_error (error);
      g_set_error (error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT, "no complete answer within %u ms",
                   deadline_ms);
    }
  g_object_unref (result);
  g_source_destroy (deadline);
  g_source_unref (deadline);
  g_object_unref (cancellable);
  return body;
}

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
  g_clear_object (&call->message);
  g_free (call);
}

static void
complete (struct CfHttpCall *call, GBytes *body)
{
  if (call->done)
    call->done (call->data, call->message, body);
  g_clear_pointer (&body, g_bytes_unref);
  free_call (call);
}

static void
answered (GObject *source, GAsyncResult *result, gpointer data)
{
  (void) source;
  complete (data, cf_http_fetch_finish (result, NULL));
}

static gboolean
fail_unsent (gpointer data)
{
  complete (data, NULL);
  return G_SOURCE_REMOVE;
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
  call->deadline = message ? g_timeout_source_new (deadline_ms) : g_idle_source_new ();
  g_source_set_callback (call->deadline, message ? past_deadline : fail_unsent, call, NULL);
  g_source_attach (call->deadline, g_main_context_get_thread_default ());
  if (message)
    cf_http_fetch (session, message, CF_HTTP_BODY_MAX_BYTES, call->cancellable, answered, call);
  return call;
}

void
cf_http_call_cancel (struct CfHttpCall **call)
{
  struct CfHttpCall *begun = g_steal_pointer (call);

  if (!begun)
    return;
  begun->done = NULL;
  g_cancellable_cancel (begun->cancellable);
}
