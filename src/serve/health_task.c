#include "server.h"
#include "log.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/* The health task asks the upstreams that this VM is the gatekeeper of for their
 * health: GET /health, answered by a JSON object with "serving" (boolean), "start"
 * (seconds since the epoch) and "open" (open flows). */

#define PROBE_TIMEOUT_S 2
#define BODY_MAX 4096

struct HealthTask
{
  struct CfServer *server;
  SoupSession *session;
  GSource *timer;
  GArray *probes; /* of struct CfProbe */
  GCancellable *cancellable;
};

struct Request
{
  struct HealthTask *task;
  uint32_t upstream;
  SoupMessage *message;
};

static bool
read_answer (GBytes *body, struct CfHealthAnswer *answer)
{
  JsonParser *parser = json_parser_new ();
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  JsonObject *object = NULL;

  if (len <= BODY_MAX && json_parser_load_from_data (parser, text, (gssize) len, NULL)
      && JSON_NODE_HOLDS_OBJECT (json_parser_get_root (parser)))
    object = json_node_get_object (json_parser_get_root (parser));
  if (object)
    {
      answer->serving = json_object_get_boolean_member_with_default (object, "serving", FALSE);
      answer->start_time = json_object_get_int_member_with_default (object, "start", 0);
      answer->open_flows = (uint32_t) json_object_get_int_member_with_default (object, "open", 0);
    }
  g_object_unref (parser);
  return object != NULL;
}

static void
answered (GObject *source, GAsyncResult *result, gpointer data)
{
  struct Request *request = data;
  GError *error = NULL;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  struct CfHealthAnswer answer = { .upstream = request->upstream };

  if (!g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    {
      if (body && soup_message_get_status (request->message) == SOUP_STATUS_OK)
        answer.reachable = read_answer (body, &answer);
      cf_send_health (request->task->server, &answer);
    }
  g_clear_error (&error);
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (request->message);
  g_free (request);
}

static void
probe (struct HealthTask *task, const struct CfProbe *item)
{
  struct Request *request = g_new0 (struct Request, 1);
  char text[CF_ADDRESS_TEXT_MAX];
  char *url;

  cf_address_format (&item->address, text, sizeof text);
  url = g_strdup_printf ("http://%s/health", text);
  request->task = task;
  request->upstream = item->upstream;
  request->message = soup_message_new ("GET", url);
  soup_message_add_flags (request->message, SOUP_MESSAGE_NEW_CONNECTION);
  soup_session_send_and_read_async (task->session, request->message, G_PRIORITY_DEFAULT,
                                    task->cancellable, answered, request);
  g_free (url);
}

static gboolean
probe_all (gpointer data)
{
  struct HealthTask *task = data;

  for (guint i = 0; i < task->probes->len; i++)
    probe (task, &g_array_index (task->probes, struct CfProbe, i));
  return G_SOURCE_CONTINUE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct HealthTask *task = data;

  (void) error;
  task->cancellable = g_cancellable_new ();
  task->session = soup_session_new_with_options ("timeout", PROBE_TIMEOUT_S, "max-conns", 256,
                                                 "max-conns-per-host", 2, NULL);
  task->timer = cf_task_timer (base, (guint) task->server->settings.health_interval_ms, probe_all);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct HealthTask *task = data;

  g_cancellable_cancel (task->cancellable);
  soup_session_abort (task->session);
  while (g_main_context_iteration (base->context, FALSE))
    ;
  g_source_destroy (task->timer);
  g_clear_pointer (&task->timer, g_source_unref);
  g_clear_object (&task->session);
  g_clear_object (&task->cancellable);
}

const struct CfTaskClass cf_health_task = { .name = "health", .start = start, .stop = stop };

void *
cf_health_task_new (struct CfServer *server)
{
  struct HealthTask *task = g_new0 (struct HealthTask, 1);

  task->server = server;
  task->probes = g_array_new (FALSE, FALSE, sizeof (struct CfProbe));
  return task;
}

void
cf_health_task_free (void *data)
{
  struct HealthTask *task = data;

  g_array_unref (task->probes);
  g_free (task);
}

static void
take_probes (void *data, void *message)
{
  struct HealthTask *task = data;

  g_array_unref (task->probes);
  task->probes = g_array_ref (message);
}

static void
free_array (gpointer data)
{
  g_array_unref (data);
}

void
cf_send_probes (struct CfServer *server, GArray *probes)
{
  cf_task_post (&server->health, take_probes, probes, free_array);
}
