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
#define END_WAIT_MS 300       /* for such a reader when the process ends */
#define TEXT_BYTES_MAX 1024   /* of a field; texts from outside may be long */

struct CfEventLog
{
  char *name;
  GAsyncQueue *lines; /* of char * */
  GThread *thread;    /* NULL: none could be created, each line is written at once */
  GMutex mutex;       /* for writers without the thread */
  bool cut;           /* only the beginning of the last line was written */
  atomic_bool ended;  /* or there is no thread */
  atomic_uint_fast64_t lost;
};

/* GLib keeps its log writer until the process ends, and other threads may still use it then. */
static GRecMutex captured_mutex;    /* a line may make GLib log another one */
static struct CfEventLog *captured; /* NULL: none, or it is freed */

/* Writes DATA of LEN bytes to standard output and waits for its reader, from the end of LOG (NULL:
 * ended) on for a short time only.  Returns the number of bytes written, fewer than LEN if the
 * reader is gone or the disk is full, too. */
static size_t
write_all (const struct CfEventLog *log, const char *data, size_t len)
{
  size_t done = 0;
  int waited_ms = 0;

  while (done < len && waited_ms < END_WAIT_MS)
    {
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      /* A pipe that can be written to has room for this much, so the write does not block. */
      ssize_t written = poll (&out, 1, WRITE_POLL_MS) > 0
                            ? write (STDOUT_FILENO, data + done, MIN (len - done, PIPE_BUF))
                            : 0;

      if (written < 0 && errno != EINTR && errno != EAGAIN)
        break;
      if (written > 0)
        done += (size_t) written;
      else if (!log || atomic_load (&log->ended))
        waited_ms += WRITE_POLL_MS;
    }
  return done;
}

static uint64_t
count_lines (const char *text)
{
  uint64_t count = 0;

  for (; (text = strchr (text, '\n')); text++)
    count++;
  return count;
}

/* Writes TEXT, whole lines, after the end of a line that was cut off. */
static void
write_lines (struct CfEventLog *log, const char *text, size_t len)
{
  size_t done;

  if (len == 0 || (log->cut && write_all (log, "\n", 1) != 1))
    {
      atomic_fetch_add (&log->lost, count_lines (text));
      return;
    }
  done = write_all (log, text, len);
  log->cut = done > 0 && text[done - 1] != '\n';
  atomic_fetch_add (&log->lost, count_lines (text + done));
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
      write_lines (log, batch->str, batch->len);
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
  g_mutex_init (&log->mutex);
  log->thread = g_thread_try_new ("event-log", run, log, NULL);
  if (!log->thread)
    atomic_store (&log->ended, true);
  return log;
}

void
cf_event_log_free (struct CfEventLog *log)
{
  g_rec_mutex_lock (&captured_mutex);
  if (captured == log)
    captured = NULL;
  g_rec_mutex_unlock (&captured_mutex);
  atomic_store (&log->ended, true);
  g_async_queue_push (log->lines, g_strdup (""));
  if (log->thread)
    g_thread_join (log->thread);
  g_async_queue_unref (log->lines);
  g_mutex_clear (&log->mutex);
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
  char *line;

  if (g_async_queue_length (log->lines) >= QUEUE_MAX)
    {
      atomic_fetch_add (&log->lost, left_out + 1);
      return;
    }
  line = format (log->name, event, fields, left_out, atomic_exchange (&log->lost, 0));
  if (log->thread)
    {
      g_async_queue_push (log->lines, line);
      return;
    }
  g_mutex_lock (&log->mutex);
  write_lines (log, line, strlen (line));
  g_mutex_unlock (&log->mutex);
  g_free (line);
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
  (void) data;
  g_rec_mutex_lock (&captured_mutex);
  if (captured)
    cf_event_log_write (captured, level & G_LOG_LEVEL_MESSAGE ? "notice" : "fault",
                        (struct CfField[]){ { .key = "message", .text = message }, { 0 } });
  g_rec_mutex_unlock (&captured_mutex);
  return G_LOG_WRITER_HANDLED;
}

void
cf_event_log_capture_glib (struct CfEventLog *log)
{
  g_rec_mutex_lock (&captured_mutex);
  captured = log;
  g_rec_mutex_unlock (&captured_mutex);
  g_log_set_writer_func (write_glib, NULL, NULL);
}
