#include "server.h"
#include "health_messages.h"
#include "packet_messages.h"
#include "runtime/log.h"
#include "base/http_call.h"
#include "base/json_text.h"
#include "runtime/clock.h"

#include <libsoup/soup.h>

/* The health task probes the upstreams whose state this VM decides for the fleet (as their
 * gatekeeper): GET /health, answered by a JSON object with "serving" (boolean), "start"
 * (seconds since the epoch) and "open" (open flows). */

#define PROBE_TIMEOUT_MS 2000
#define PROBES_MAX 8 /* unanswered at a time, per upstream */
#define PROBES_PER_S 50
#define CONNECTIONS_MAX 256

struct HealthTask
{
  struct CfServer *server;
  SoupSession *session;
  GSource *timer;
  GArray *probes;  /* of struct CfProbe */
  guint next;      /* index in probes of the next one to send */
  GQueue requests; /* of struct Request, oldest first */
  bool stopping;
};

struct Request
{
  GList link; /* in the task's requests */
  struct HealthTask *task;
  struct CfProbe probe; /* what was asked */
  CfMillis began;
  SoupMessage *message;
  GCancellable *cancellable;
};

static bool
read_answer (GBytes *body, struct CfHealthAnswer *answer)
{
  gsize len;
  const char *text = g_bytes_get_data (body, &len);
  JsonNode *root = cf_json_parse_object ("/health", text, len, NULL);
  JsonObject *object = root ? json_node_get_object (root) : NULL;
  int64_t open_flows = 0;

  if (!object)
    return false;
  answer->serving = json_object_get_boolean_member_with_default (object, "serving", FALSE);
  cf_json_integer (object, "start", INT64_MIN, INT64_MAX, &answer->start_time);
  if (cf_json_integer (object, "open", 0, UINT32_MAX, &open_flows))
    answer->open_flows = (uint32_t) open_flows;
  json_node_unref (root);
  return true;
}

static void
answered (GObject *source, GAsyncResult *result, gpointer data)
{
  struct Request *request = data;
  struct HealthTask *task = request->task;
  GBytes *body = cf_http_fetch_finish (result, NULL);
  struct CfHealthAnswer answer = {
    .upstream = request->probe.upstream,
    .address = request->probe.address,
    .asked_at = request->began,
  };

  (void) source;
  if (!task->stopping)
    {
      if (body && soup_message_get_status (request->message) == SOUP_STATUS_OK)
        answer.reachable = read_answer (body, &answer);
      cf_task_post (&task->server->packet, CF_TO_PACKET_HEALTH, g_memdup2 (&answer, sizeof answer));
    }
  g_queue_unlink (&task->requests, &request->link);
  atomic_store (&task->server->health_waiting, task->requests.length);
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (request->cancellable);
  g_object_unref (request->message);
  g_free (request);
}

static void
probe (struct HealthTask *task, const struct CfProbe *item, CfMillis now)
{
  struct Request *request = g_new0 (struct Request, 1);
  char text[CF_ADDRESS_TEXT_MAX];
  char *url;

  cf_address_format (&item->address, text, sizeof text);
  url = g_strdup_printf ("http://%s/health", text);
  *request = (struct Request){
    .link = { .data = request },
    .task = task,
    .probe = *item,
    .began = now,
    .message = soup_message_new ("GET", url),
    .cancellable = g_cancellable_new (),
  };
  g_queue_push_tail_link (&task->requests, &request->link);
  atomic_store (&task->server->health_waiting, task->requests.length);
  cf_http_fetch (task->session, request->message, CF_HTTP_SHORT_BODY_MAX_BYTES,
                 request->cancellable, answered, request);
  g_free (url);
}

/* Cancels the requests that began before CUTOFF. */
static void
cancel_requests (struct HealthTask *task, CfMillis cutoff)
{
  for (GList *link = task->requests.head; link;)
    {
      const struct Request *request = link->data;

      link = link->next;
      if (request->began >= cutoff)
        return;
      g_cancellable_cancel (request->cancellable);
    }
}

static uint32_t
count_requests (const struct HealthTask *task, uint32_t upstream)
{
  uint32_t n = 0;

  for (const GList *link = task->requests.head; link; link = link->next)
    n += ((const struct Request *) link->data)->probe.upstream == upstream;
  return n;
}

/* Probes all upstreams, or the next ones in turn if there are too many for one interval. */
static gboolean
probe_next (gpointer data)
{
  struct HealthTask *task = data;
  CfMillis now = cf_now ();
  CfMillis most = MAX (1, task->server->settings.health_interval_ms * PROBES_PER_S / CF_MS_PER_S);

  cancel_requests (task, now - PROBE_TIMEOUT_MS);
  for (guint n = 0; n < task->probes->len && n < most; n++)
    {
      guint i = task->next++ % task->probes->len;
      const struct CfProbe *item = &g_array_index (task->probes, struct CfProbe, i);

      if (count_requests (task, item->upstream) < PROBES_MAX)
        probe (task, item, now);
    }
  return G_SOURCE_CONTINUE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct HealthTask *task = data;

  (void) error;
  task->stopping = false;
  task->session = soup_session_new_with_options ("max-conns", CONNECTIONS_MAX, "max-conns-per-host",
                                                 PROBES_MAX, NULL);
  task->timer = cf_task_timer (base, (guint) task->server->settings.health_interval_ms, probe_next);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct HealthTask *task = data;

  task->stopping = true;
  cancel_requests (task, G_MAXINT64);
  while (task->requests.length > 0)
    g_main_context_iteration (base->context, TRUE);
  cf_task_source_clear (&task->timer);
  g_clear_object (&task->session);
}

static void
handle_probes (void *data, void *message)
{
  struct HealthTask *task = data;

  g_array_unref (task->probes);
  task->probes = g_array_ref (message);
}

static void *
create (void *owner)
{
  struct CfServer *server = owner;
  struct HealthTask *task = g_new0 (struct HealthTask, 1);

  task->server = server;
  task->probes = g_array_new (FALSE, FALSE, sizeof (struct CfProbe));
  g_queue_init (&task->requests);
  return task;
}

static void
destroy (void *data)
{
  struct HealthTask *task = data;

  g_array_unref (task->probes);
  g_free (task);
}

static const struct CfMessageHandler handlers[CF_TO_HEALTH_KINDS] = {
  [CF_TO_HEALTH_PROBES] = { handle_probes, (GDestroyNotify) g_array_unref },
};

const struct CfTaskClass cf_health_task = {
  .name = "health",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = destroy,
  .start = start,
  .stop = stop,
};
