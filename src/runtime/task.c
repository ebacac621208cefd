#include "task.h"
#include "crash_report.h"
#include "log.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#define RESTART_MIN_MS 100
#define RESTART_MAX_MS 10000
#define START_RETRY_MAX_MS 1000 /* a port or address may be free again at any moment */
#define STABLE_RUN_MS 30000     /* a run this long resets the delay */
/* The limits on threads and memory may be reached for a moment. */
#define THREAD_WAIT_MS 2000
#define THREAD_RETRY_MS 100

struct Message
{
  struct CfTask *task;
  const struct CfMessageHandler *handler;
  void *content;
};

static void
sleep_unless_quit (struct CfTask *task, gint64 ms)
{
  for (gint64 slept = 0; slept < ms && !g_atomic_int_get (&task->quit); slept += 20)
    g_usleep (20 * 1000);
}

static gpointer
run (gpointer data)
{
  struct CfTask *task = data;
  gint64 delay_ms = RESTART_MIN_MS;
  char last[CF_ERROR_TEXT_MAX] = "";

  cf_crash_report_enter (task->class->name);
  g_main_context_push_thread_default (task->context);
  while (!g_atomic_int_get (&task->quit))
    {
      struct CfError error = { 0 };
      gint64 began = g_get_monotonic_time ();
      bool started = task->class->start (task, task->data, &error);

      if (started && *last)
        cf_log_state ("TASK", task->class->name, "task %s started", task->class->name);
      if (started)
        {
          last[0] = 0;
          g_atomic_int_set (&task->running, 1);
          g_main_loop_run (task->loop);
          g_atomic_int_set (&task->running, 0);
        }
      else if (strcmp (last, error.text) != 0)
        {
          cf_log_warning ("TASK", task->class->name, "task %s did not start: %s", task->class->name,
                          error.text);
          g_strlcpy (last, error.text, sizeof last);
        }
      task->class->stop (task, task->data);
      if (g_atomic_int_get (&task->quit))
        break;
      g_atomic_int_inc (&task->restarts);
      if (g_get_monotonic_time () - began > STABLE_RUN_MS * G_TIME_SPAN_MILLISECOND)
        delay_ms = RESTART_MIN_MS;
      sleep_unless_quit (task, delay_ms);
      delay_ms = MIN (delay_ms * 2, started ? RESTART_MAX_MS : START_RETRY_MAX_MS);
    }
  g_main_context_pop_thread_default (task->context);
  cf_crash_report_leave ();
  return NULL;
}

void
cf_task_register_types (void)
{
  const GType types[] = {
    G_TYPE_INET_ADDRESS, G_TYPE_INET_SOCKET_ADDRESS, G_TYPE_SOCKET,    G_TYPE_CANCELLABLE,
    SOUP_TYPE_SESSION,   SOUP_TYPE_MESSAGE,          SOUP_TYPE_SERVER, JSON_TYPE_PARSER,
  };

  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    g_type_class_unref (g_type_class_ref (types[i]));
}

void
cf_task_prepare (struct CfTask *task, const struct CfTaskClass *class, void *owner)
{
  *task = (struct CfTask){
    .class = class,
    .data = class->create ? class->create (owner) : owner,
    .context = g_main_context_new (),
  };
  task->loop = g_main_loop_new (task->context, FALSE);
}

bool
cf_task_start (struct CfTask *task, struct CfError *error)
{
  gint64 until = g_get_monotonic_time () + THREAD_WAIT_MS * G_TIME_SPAN_MILLISECOND;
  GError *gerror = NULL;

  while (!(task->thread = g_thread_try_new (task->class->name, run, task, &gerror)))
    {
      if (g_get_monotonic_time () >= until)
        {
          cf_error_set (error, CF_ERROR_IO, "task %s: %s", task->class->name, gerror->message);
          g_error_free (gerror);
          return false;
        }
      g_clear_error (&gerror);
      g_usleep (THREAD_RETRY_MS * G_TIME_SPAN_MILLISECOND);
    }
  return true;
}

/* Has FUNC called with DATA on the thread of TASK, and then FREE. */
static void
call_later (struct CfTask *task, GSourceFunc func, void *data, GDestroyNotify free)
{
  GSource *source = g_idle_source_new ();

  g_source_set_priority (source, G_PRIORITY_DEFAULT);
  g_source_set_callback (source, func, data, free);
  g_source_attach (source, task->context);
  g_source_unref (source);
}

static gboolean
quit_loop (gpointer task)
{
  g_main_loop_quit (((struct CfTask *) task)->loop);
  return G_SOURCE_REMOVE;
}

void
cf_task_stop (struct CfTask *task)
{
  if (!task->thread)
    return;
  g_atomic_int_set (&task->quit, 1);
  call_later (task, quit_loop, task, NULL);
  g_thread_join (task->thread);
  task->thread = NULL;
}

void
cf_task_finish (struct CfTask *task)
{
  g_main_loop_unref (task->loop);
  g_main_context_unref (task->context);
  if (task->class->destroy)
    task->class->destroy (task->data);
}

bool
cf_task_is_running (const struct CfTask *task)
{
  return g_atomic_int_get (&task->running);
}

static gboolean
deliver (gpointer data)
{
  struct Message *message = data;

  if (message->handler->handle)
    message->handler->handle (message->task->data, message->content);
  return G_SOURCE_REMOVE;
}

static void
free_message (gpointer data)
{
  struct Message *message = data;

  if (message->handler->free)
    message->handler->free (message->content);
  g_free (message);
}

void
cf_task_post (struct CfTask *task, unsigned kind, void *content)
{
  struct Message *message = g_new (struct Message, 1);

  g_assert (kind < task->class->handler_count);
  *message = (struct Message){
    .task = task,
    .handler = &task->class->handlers[kind],
    .content = content,
  };
  call_later (task, deliver, message, free_message);
}

GSource *
cf_task_timer (struct CfTask *task, guint interval_ms, GSourceFunc func)
{
  GSource *source = g_timeout_source_new (interval_ms);

  g_source_set_callback (source, func, task->data, NULL);
  g_source_attach (source, task->context);
  return source;
}

void
cf_task_source_clear (GSource **source)
{
  if (*source)
    g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

void *
cf_table_get (GHashTable *table, uint32_t key, size_t size)
{
  void *value = g_hash_table_lookup (table, GUINT_TO_POINTER (key));

  if (!value)
    {
      value = g_malloc0 (size);
      g_hash_table_insert (table, GUINT_TO_POINTER (key), value);
    }
  return value;
}
