#include "event_log.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <limits.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define QUEUE_MAX 4096        /* lines: about a megabyte */
#define WRITE_INTERVAL_MS 100 /* lines are collected for this long to save wake-ups */
#define WRITE_POLL_MS 100     /* while the reader of the log does not read */
#define END_WAIT_MAX_MS 500   /* for such a reader when the process ends */
#define TEXT_BYTES_MAX 1024   /* of a field; texts from outside may be long */

struct CfEventLog
{
  char *name;
  GAsyncQueue *lines; /* of char * */
  GThread *thread;
  atomic_bool ended;
  atomic_uint_fast64_t lost;
};

/* Writes DATA of LEN bytes to standard output, and waits for its reader; from the end of LOG (NULL:
 * ended) on for a short time only. */
static void
write_all (const struct CfEventLog *log, const char *data, size_t len)
{
  int waited_ms = 0;

  while (len > 0 && waited_ms < END_WAIT_MAX_MS)
    {
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      /* A pipe that can be written to has room for this much, so the write does not block. */
      ssize_t written = poll (&out, 1, WRITE_POLL_MS) > 0
                            ? write (STDOUT_FILENO, data, MIN (len, PIPE_BUF))
                            : 0;

      if (written < 0 && errno != EINTR && errno != EAGAIN)
        return; /* the reader of the log is gone */
      if (written > 0)
        {
          data += written;
          len -= (size_t) written;
        }
      else if (!log || atomic_load (&log->ended))
        waited_ms += WRITE_POLL_MS;
    }
}

static gpointer
run (gpointer data)
{
  struct CfEventLog *log = data;
  GString *batch = g_string_new (NULL);

  for (;;)
    {
      bool ended = atomic_load (&log->ended);
      char *line = g_async_queue_timeout_pop (log->lines, ended ? 0 : G_TIME_SPAN_SECOND);

      if (line && !ended)
        g_usleep (WRITE_INTERVAL_MS * G_TIME_SPAN_MILLISECOND);
      for (; line; line = g_async_queue_try_pop (log->lines))
        {
          g_string_append (batch, line);
          g_free (line);
        }
      write_all (log, batch->str, batch->len);
      g_string_truncate (batch, 0);
      if (ended)
        break;
    }
  g_string_free (batch, TRUE);
  return NULL;
}

struct CfEventLog *
cf_event_log_new (const char *name)
{
  struct CfEventLog *log = g_new0 (struct CfEventLog, 1);

  log->name = g_strdup (name);
  log->lines = g_async_queue_new_full (g_free);
  log->thread = g_thread_new ("event-log", run, log);
  return log;
}

void
cf_event_log_free (struct CfEventLog *log)
{
  atomic_store (&log->ended, true);
  g_async_queue_push (log->lines, g_strdup (""));
  g_thread_join (log->thread);
  g_async_queue_unref (log->lines);
  g_free (log->name);
  g_free (log);
}

static void
add_field (JsonObject *object, const struct CfField *field)
{
  if (field->text)
    {
      /* Texts of other VMs need not be UTF-8, which JSON has to be. */
      char *text = g_utf8_make_valid (field->text, (gssize) strnlen (field->text, TEXT_BYTES_MAX));

      json_object_set_string_member (object, field->key, text);
      g_free (text);
    }
  else
    json_object_set_int_member (object, field->key, field->number);
}

static char *
format (const char *vm,
        const char *event,
        const struct CfField *fields,
        uint64_t left_out,
        uint64_t lost)
{
  JsonObject *object = json_object_new ();
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  char *text;
  char *line;

  json_object_set_int_member (object, "time_ms", g_get_real_time () / G_TIME_SPAN_MILLISECOND);
  json_object_set_int_member (object, "clock_ms",
                              g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND);
  json_object_set_string_member (object, "vm", vm);
  json_object_set_string_member (object, "event", event);
  for (const struct CfField *field = fields; field->key; field++)
    add_field (object, field);
  if (left_out > 0)
    json_object_set_int_member (object, "left_out", (gint64) left_out);
  if (lost > 0)
    json_object_set_int_member (object, "lines_lost", (gint64) lost);
  json_node_take_object (node, object);
  text = json_to_string (node, FALSE);
  line = g_strconcat (text, "\n", NULL);
  g_free (text);
  json_node_unref (node);
  return line;
}

static void
add_line (struct CfEventLog *log,
          const char *event,
          const struct CfField *fields,
          uint64_t left_out)
{
  if (g_async_queue_length (log->lines) >= QUEUE_MAX)
    {
      atomic_fetch_add (&log->lost, left_out + 1);
      return;
    }
  g_async_queue_push (log->lines,
                      format (log->name, event, fields, left_out, atomic_exchange (&log->lost, 0)));
}

void
cf_event_log_write (struct CfEventLog *log, const char *event, const struct CfField *fields)
{
  add_line (log, event, fields, 0);
}

void
cf_event_log_write_early (const char *vm, const char *event, const struct CfField *fields)
{
  char *line = format (vm, event, fields, 0, 0);

  write_all (NULL, line, strlen (line));
  g_free (line);
}

void
cf_event_log_write_limited (struct CfEventLog *log,
                            struct CfEventRate *rate,
                            const char *event,
                            const struct CfField *fields,
                            CfMillis now)
{
  if (rate->refilled_at == 0)
    rate->tokens = rate->burst;
  rate->tokens += (double) (now - rate->refilled_at) * rate->per_s / CF_MS_PER_S;
  rate->tokens = MIN (rate->tokens, rate->burst);
  rate->refilled_at = now;
  if (rate->tokens < 1)
    {
      rate->left_out++;
      return;
    }
  rate->tokens -= 1;
  add_line (log, event, fields, rate->left_out);
  rate->left_out = 0;
}

static GLogWriterOutput
write_glib (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  const char *message = "";

  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      message = fields[i].value;
  if (level & (G_LOG_LEVEL_DEBUG | G_LOG_LEVEL_INFO))
    return G_LOG_WRITER_HANDLED;
  cf_event_log_write (data, level & G_LOG_LEVEL_MESSAGE ? "notice" : "fault",
                      (struct CfField[]){ { .key = "message", .text = message }, { 0 } });
  return G_LOG_WRITER_HANDLED;
}

void
cf_event_log_capture_glib (struct CfEventLog *log)
{
  g_log_set_writer_func (write_glib, log, NULL);
}
