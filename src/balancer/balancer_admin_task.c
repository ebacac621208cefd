#include "balancer.h"
#include "admin_messages.h"
#include "datapath_messages.h"
#include "runtime/http_listen.h"
#include "runtime/log.h"
#include "platform/store_requests.h"
#include "runtime/process_usage.h"

/* The admin task answers the fabric's readiness checks and serves /metrics.  A VM whose metrics
 * port is taken still serves callers. */

#define METRICS_RETRY_MS 1000

struct AdminTask
{
  struct CfBalancer *balancer;
  struct CfHttpServer *ready;
  struct CfHttpServer *metrics; /* NULL: the port is taken, or none is configured */
  GSource *metrics_retry;       /* NULL: none is due */
};

static void
answer_ready (SoupServer *soup,
              SoupServerMessage *message,
              const char *path,
              GHashTable *query,
              gpointer data)
{
  struct AdminTask *task = data;
  bool ready = atomic_load (&task->balancer->serving) && !atomic_load (&task->balancer->leaving);

  (void) soup;
  (void) query;
  if (strcmp (path, cf_platform_ready_path) != 0)
    cf_http_respond (message, SOUP_STATUS_NOT_FOUND, CF_METRICS_TYPE, "");
  else
    cf_http_respond (message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
                     CF_METRICS_TYPE, "");
}

static void
answer_metrics (SoupServer *soup,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer data)
{
  struct AdminTask *task = data;
  struct CfReport *report;

  (void) soup;
  (void) query;
  if (strcmp (path, "/metrics") != 0)
    {
      cf_http_respond (message, SOUP_STATUS_NOT_FOUND, CF_METRICS_TYPE,
                       "not found; the path is /metrics\n");
      return;
    }
  report = g_new (struct CfReport, 1);
  cf_report_begin (report, message);
  cf_task_post (&task->balancer->datapath, CF_TO_DATAPATH_METRICS, report);
}

static void
handle_metrics (void *data, void *message)
{
  struct AdminTask *task = data;
  struct CfReport *report = message;
  struct CfProcessUsage usage;

  if (!task->metrics)
    return;
  if (cf_process_usage_read (&usage))
    cf_process_usage_write (&usage, report->text);
  cf_report_end (report, CF_METRICS_TYPE);
}

static bool
listen_for_metrics (struct AdminTask *task, struct CfError *error)
{
  struct CfAddress address = task->balancer->settings.ready;

  address.port = task->balancer->settings.metrics_port;
  task->metrics = cf_http_listen (&address, answer_metrics, task, error);
  return task->metrics != NULL;
}

static gboolean
retry_metrics (gpointer data)
{
  struct AdminTask *task = data;
  struct CfError error = { 0 };

  if (!listen_for_metrics (task, &error))
    return G_SOURCE_CONTINUE;
  cf_log_state ("TASK", "admin", "metrics are served");
  g_clear_pointer (&task->metrics_retry, g_source_unref);
  return G_SOURCE_REMOVE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct AdminTask *task = data;
  const struct CfBalanceSettings *settings = &task->balancer->settings;
  struct CfError metrics_error = { 0 };

  task->ready = cf_http_listen (&settings->ready, answer_ready, task, error);
  if (!task->ready)
    return false;
  if (settings->metrics_port == 0 || listen_for_metrics (task, &metrics_error))
    return true;
  cf_log_warning ("TASK", "admin", "metrics are not served yet: %s", metrics_error.text);
  task->metrics_retry = cf_task_timer (base, METRICS_RETRY_MS, retry_metrics);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct AdminTask *task = data;

  (void) base;
  cf_task_source_clear (&task->metrics_retry);
  cf_http_close (&task->ready);
  cf_http_close (&task->metrics);
}

static void *
create (void *owner)
{
  struct AdminTask *task = g_new0 (struct AdminTask, 1);

  task->balancer = owner;
  return task;
}

static const struct CfMessageHandler handlers[CF_TO_ADMIN_KINDS] = {
  [CF_TO_ADMIN_METRICS] = { handle_metrics, cf_report_free },
};

const struct CfTaskClass cf_balancer_admin_task = {
  .name = "admin",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = g_free,
  .start = start,
  .stop = stop,
};
