#include "server.h"
#include "admin_messages.h"
#include "packet_messages.h"
#include "runtime/http_listen.h"

#include <string.h>

/* The admin task serves /metrics, /status and /explain over HTTP.  It passes each request
 * to the packet task, which sends the text of the response back. */

struct AdminTask
{
  struct CfServer *server;
  struct CfHttpServer *http;
};

/* Parses an address written as IP:PORT or [IP]:PORT. */
static bool
parse_endpoint (const char *text, struct CfAddress *address)
{
  GSocketConnectable *connectable = text ? g_network_address_parse (text, 0, NULL) : NULL;
  bool ok = false;

  if (!connectable)
    return false;
  ok = cf_address_parse (g_network_address_get_hostname (G_NETWORK_ADDRESS (connectable)),
                         g_network_address_get_port (G_NETWORK_ADDRESS (connectable)), address)
       && address->port != 0;
  g_object_unref (connectable);
  return ok;
}

static bool
parse_explain (GHashTable *query, struct CfCoreReport *report)
{
  const char *protocol = query ? g_hash_table_lookup (query, "protocol") : NULL;

  if (!query || !parse_endpoint (g_hash_table_lookup (query, "caller"), &report->caller)
      || !parse_endpoint (g_hash_table_lookup (query, "service"), &report->service))
    return false;
  report->protocol = protocol && strcmp (protocol, "udp") == 0 ? CF_PROTOCOL_UDP : CF_PROTOCOL_TCP;
  return true;
}

static void
handle (SoupServer *soup,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct AdminTask *task = data;
  struct CfCoreReport *report;

  (void) soup;
  if (strcmp (soup_server_message_get_method (message), "GET") != 0)
    {
      cf_http_respond (message, SOUP_STATUS_METHOD_NOT_ALLOWED, "text/plain",
                       "only GET is supported\n");
      return;
    }
  report = g_new0 (struct CfCoreReport, 1);
  if (strcmp (path, "/metrics") == 0)
    report->kind = CF_REPORT_METRICS;
  else if (strcmp (path, "/status") == 0)
    report->kind = CF_REPORT_STATUS;
  else if (strcmp (path, "/explain") == 0 && parse_explain (query, report))
    report->kind = CF_REPORT_EXPLAIN;
  else
    {
      bool known = strcmp (path, "/explain") == 0;

      cf_http_respond (message, known ? SOUP_STATUS_BAD_REQUEST : SOUP_STATUS_NOT_FOUND,
                       "text/plain",
                       known ? "caller=IP:PORT and service=IP:PORT are required\n"
                             : "not found; the paths are /metrics, /status and /explain\n");
      g_free (report);
      return;
    }
  cf_report_begin (&report->http, message);
  cf_task_post (&task->server->packet, CF_TO_PACKET_REPORT, report);
}

static void
handle_report (void *data, void *message)
{
  struct AdminTask *task = data;
  struct CfCoreReport *report = message;
  static const char *const types[] = {
    [CF_REPORT_METRICS] = CF_METRICS_TYPE,
    [CF_REPORT_STATUS] = "application/json",
    [CF_REPORT_EXPLAIN] = "text/plain",
  };

  if (task->http)
    cf_report_end (&report->http, types[report->kind]);
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct AdminTask *task = data;
  const struct CfSettings *settings = &task->server->settings;
  struct CfAddress address;

  (void) base;
  cf_address_parse (settings->admin_ip, settings->admin_port, &address);
  task->http = cf_http_listen (&address, handle, task, error);
  return task->http != NULL;
}

static void
stop (struct CfTask *base, void *data)
{
  struct AdminTask *task = data;

  (void) base;
  cf_http_close (&task->http);
}

static void *
create (void *owner)
{
  struct AdminTask *task = g_new0 (struct AdminTask, 1);

  task->server = owner;
  return task;
}

static const struct CfMessageHandler handlers[CF_TO_ADMIN_KINDS] = {
  [CF_TO_ADMIN_REPORT] = { handle_report, cf_report_free },
};

const struct CfTaskClass cf_admin_task = {
  .name = "admin",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = g_free,
  .start = start,
  .stop = stop,
};
