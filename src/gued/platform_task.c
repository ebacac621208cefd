#include "server.h"
#include "packet_messages.h"
#include "source_messages.h"
#include "runtime/log.h"
#include "base/http_call.h"
#include "base/json_text.h"
#include "objectstore/http.h"

#include <string.h>

/* The platform task watches the configuration object while the core wants it to, and
 * reads the platform's list of VMs.  Each call has a deadline; a watch without
 * an answer by then is replaced by one over a new connection. */

/* A connection that has gone silent is noticed no sooner than WATCH_DEADLINE_MS, and a change has
 * to be in force on all VMs within 4 s. */
#define WATCH_WAIT_S 2
#define WATCH_DEADLINE_MS 2700
#define CALL_DEADLINE_MS 3000
#define CALLS 3 /* at a time: watch, list and status */
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 5000
#define LIST_INTERVAL_MS 5000
#define LIST_SKIP 12 /* intervals between two reads by a VM that does not watch */
#define STATUS_OBJECT_PREFIX "status-"

struct PlatformTask
{
  struct CfServer *server;
  GMainContext *context;
  SoupSession *session;
  struct CfHttpCall *watch; /* NULL: none in progress; the same for the next two */
  struct CfHttpCall *list;
  struct CfHttpCall *status;
  GSource *list_timer;
  GSource *retry;
  guint retry_ms;
  guint list_skip; /* intervals to pass before the next read of the list */
  char *tag;       /* of the configuration last read; NULL: it has to be read again */
  bool has_read;   /* the object has been read once */
  bool watching;   /* the core wants this VM to watch */
  bool reached;    /* the platform answered the last call */
};

static void begin_watch (struct PlatformTask *task);

static void
update_reached (struct PlatformTask *task, bool reached)
{
  if (reached != task->reached)
    cf_log_state ("PLATFORM", reached ? "reached" : "unreachable", "the platform %s",
                  reached ? "answers" : "does not answer; the VMs keep their configuration");
  task->reached = reached;
}

/* Starts a call over a connection of its own, so that a stalled one does not delay it.
 * MESSAGE is NULL if the name of the object gave no valid URL. */
static struct CfHttpCall *
begin_call (struct PlatformTask *task, SoupMessage *message, guint deadline_ms, CfHttpDone *done)
{
  return message ? cf_http_call_begin (task->session, message, deadline_ms, done, task) : NULL;
}

static gboolean
retry_now (gpointer data)
{
  struct PlatformTask *task = data;

  g_clear_pointer (&task->retry, g_source_unref);
  begin_watch (task);
  return G_SOURCE_REMOVE;
}

static void
retry_later (struct PlatformTask *task)
{
  if (task->retry)
    return;
  task->retry = g_timeout_source_new (task->retry_ms);
  g_source_set_callback (task->retry, retry_now, task, NULL);
  g_source_attach (task->retry, task->context);
  task->retry_ms = MIN (task->retry_ms * 2, RETRY_MAX_MS);
}

/* Returns true if OBJECT is the version that was read last. */
static bool
is_known (const struct PlatformTask *task, const struct CfObject *object)
{
  return task->tag && g_strcmp0 (task->tag, object->tag) == 0;
}

static void
handle_object (struct PlatformTask *task, struct CfObject *object)
{
  struct CfError error = { 0 };
  struct CfConfig *config = cf_config_parse (object->text, &error);

  g_free (task->tag);
  task->tag = g_steal_pointer (&object->tag);
  task->has_read = true;
  if (config)
    cf_task_post (&task->server->packet, CF_TO_PACKET_CONFIG, config);
  else
    cf_log_warning ("CONFIG", "fault", "the platform's configuration is not valid: %s", error.text);
}

static void
finish_watch (void *data, SoupMessage *message, GBytes *body)
{
  struct PlatformTask *task = data;
  struct CfObject object = { 0 };
  enum CfStoreResult result = cf_http_read_result (message, body, &object);
  bool changed = result == CF_STORE_OK && !is_known (task, &object);

  task->watch = NULL;
  update_reached (task, result != CF_STORE_UNKNOWN);
  if (changed)
    handle_object (task, &object);
  cf_object_clear (&object);
  if (result == CF_STORE_OK || (result == CF_STORE_UNCHANGED && task->tag))
    {
      task->retry_ms = RETRY_MIN_MS;
      /* An answer without a change need not mean that the platform has waited for one. */
      if (changed)
        begin_watch (task);
      else
        retry_later (task);
      return;
    }
  /* A platform that comes back from an older copy may give tags out again. */
  g_clear_pointer (&task->tag, g_free);
  retry_later (task);
}

static void
begin_watch (struct PlatformTask *task)
{
  /* Until its first read succeeds every VM reads the object, so that a fleet can start. */
  if (task->watch || task->retry || (!task->watching && task->has_read))
    return;
  task->watch = begin_call (task,
                            cf_http_read_message (task->server->settings.platform, CF_CONFIG_OBJECT,
                                                  task->tag, WATCH_WAIT_S),
                            task->tag ? WATCH_DEADLINE_MS : CALL_DEADLINE_MS, finish_watch);
}

static bool
read_vm (const struct PlatformTask *task, JsonNode *node, struct CfListedVm *vm)
{
  JsonObject *object;
  const char *name;
  const char *domain;
  const char *ip;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return false;
  object = json_node_get_object (node);
  name = cf_json_string (object, "name");
  domain = cf_json_string (object, "failure-domain");
  ip = cf_json_string (object, "address");
  if (!name || !domain || !ip
      || !cf_address_parse (ip, task->server->settings.transfer_port, &vm->address))
    return false;
  vm->id = cf_name_id (name);
  vm->domain = cf_name_id (domain);
  vm->leaving = g_strcmp0 (cf_json_string (object, "state"), "leaving") == 0;
  return true;
}

static void
finish_list (void *data, SoupMessage *message, GBytes *body)
{
  struct PlatformTask *task = data;
  struct CfError error = { 0 };
  JsonNode *root = NULL;
  const char *text;
  gsize len;

  task->list = NULL;
  if (body && soup_message_get_status (message) == SOUP_STATUS_OK)
    {
      text = g_bytes_get_data (body, &len);
      root = cf_json_parse ("the platform's list of VMs", text, len, &error);
      if (!root)
        cf_log_warning ("PLATFORM", "fault", "%s", error.text);
    }
  if (root && JSON_NODE_HOLDS_ARRAY (root))
    {
      JsonArray *array = json_node_get_array (root);
      GArray *vms = g_array_new (FALSE, TRUE, sizeof (struct CfListedVm));

      for (guint i = 0; i < json_array_get_length (array); i++)
        {
          struct CfListedVm vm = { 0 };

          if (read_vm (task, json_array_get_element (array, i), &vm))
            g_array_append_val (vms, vm);
        }
      cf_task_post (&task->server->packet, CF_TO_PACKET_VM_LIST, vms);
      task->list_skip = LIST_SKIP - 1;
    }
  g_clear_pointer (&root, json_node_unref);
}

/* VMs that watch the platform read the list at each interval.  The others learn of new VMs from
 * the heartbeats of these, and read it rarely. */
static gboolean
read_list (gpointer data)
{
  struct PlatformTask *task = data;
  char *url;

  if (task->list)
    return G_SOURCE_CONTINUE;
  if (!task->watching && task->list_skip > 0)
    {
      task->list_skip--;
      return G_SOURCE_CONTINUE;
    }
  url = g_strdup_printf ("%s/vms", task->server->settings.platform);
  task->list = begin_call (task, soup_message_new ("GET", url), CALL_DEADLINE_MS, finish_list);
  g_free (url);
  return G_SOURCE_CONTINUE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct PlatformTask *task = data;
  SoupMessage *probe
      = cf_http_read_message (task->server->settings.platform, CF_CONFIG_OBJECT, NULL, 0);

  if (!probe)
    return cf_error_set (error, CF_ERROR_INPUT, "--platform: '%s' is not a URL",
                         task->server->settings.platform);
  g_object_unref (probe);
  task->context = base->context;
  task->retry_ms = RETRY_MIN_MS;
  task->reached = true;
  task->session = soup_session_new_with_options ("max-conns-per-host", CALLS, NULL);
  task->list_timer = cf_task_timer (base, LIST_INTERVAL_MS, read_list);
  read_list (task);
  begin_watch (task);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct PlatformTask *task = data;
  SoupSession *session = g_steal_pointer (&task->session);

  (void) base;
  if (!session)
    return;
  cf_http_call_cancel (&task->watch);
  cf_http_call_cancel (&task->list);
  cf_http_call_cancel (&task->status);
  cf_task_source_clear (&task->retry);
  cf_task_source_clear (&task->list_timer);
  g_object_unref (session);
}

static void
handle_watch (void *data, void *message)
{
  struct PlatformTask *task = data;

  task->watching = GPOINTER_TO_INT (message);
  if (task->session)
    begin_watch (task);
}

static void
finish_status (void *data, SoupMessage *message, GBytes *body)
{
  struct PlatformTask *task = data;
  /* No retry: nothing depends on the object, and the next change writes it again. */
  task->status = NULL;
  (void) message;
  (void) body;
}

static void
handle_status (void *data, void *message)
{
  struct PlatformTask *task = data;
  SoupMessage *put;
  GBytes *value;
  char *url;

  if (!task->session || task->status)
    return;
  url = g_strdup_printf ("%s/objects/" STATUS_OBJECT_PREFIX "%s", task->server->settings.platform,
                         task->server->settings.name);
  put = soup_message_new ("PUT", url);
  value = g_bytes_new (message, strlen (message));
  if (put)
    soup_message_set_request_body_from_bytes (put, "application/json", value);
  task->status = begin_call (task, put, CALL_DEADLINE_MS, finish_status);
  g_bytes_unref (value);
  g_free (url);
}

static void *
create (void *owner)
{
  struct PlatformTask *task = g_new0 (struct PlatformTask, 1);

  task->server = owner;
  return task;
}

static void
destroy (void *data)
{
  struct PlatformTask *task = data;

  g_free (task->tag);
  g_free (task);
}

static const struct CfMessageHandler handlers[CF_TO_SOURCE_KINDS] = {
  [CF_TO_SOURCE_WATCH] = { handle_watch, NULL },
  [CF_TO_SOURCE_STATUS] = { handle_status, g_free },
};

const struct CfTaskClass cf_platform_task = {
  .name = "platform",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = destroy,
  .start = start,
  .stop = stop,
};
