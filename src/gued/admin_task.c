#include "server.h"
#include "admin_messages.h"
#include "packet_messages.h"
#include "runtime/http_listen.h"
#include "runtime/log.h"

#include <libsoup/soup.h>
#include <string.h>

/* The admin task serves /metrics, /status and /explain over HTTP.  It passes each request
 * to the packet task, which sends the text of the response back. */

struct AdminTask
{
  struct CfServer *server;
  struct CfHttpServer *http;
};

static void
respond (SoupServerMessage *message, guint status, const char *type, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_COPY, text, strlen (text));
}

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
parse_explain (GHashTable *query, struct CfReport *report)
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
  struct CfReport *report;

  (void) soup;
  if (strcmp (soup_server_message_get_method (message), "GET") != 0)
    {
      respond (message, SOUP_STATUS_METHOD_NOT_ALLOWED, "text/plain", "only GET is supported\n");
      return;
    }
  report = g_new0 (struct CfReport, 1);
  if (strcmp (path, "/metrics") == 0)
    report->kind = CF_REPORT_METRICS;
  else if (strcmp (path, "/status") == 0)
    report->kind = CF_REPORT_STATUS;
  else if (strcmp (path, "/explain") == 0 && parse_explain (query, report))
    report->kind = CF_REPORT_EXPLAIN;
  else
    {
      bool known = strcmp (path, "/explain") == 0;

      respond (message, known ? SOUP_STATUS_BAD_REQUEST : SOUP_STATUS_NOT_FOUND, "text/plain",
               known ? "caller=IP:PORT and service=IP:PORT are required\n"
                     : "not found; the paths are /metrics, /status and /explain\n");
      g_free (report);
      return;
    }
  report->request = g_object_ref (message);
  soup_server_message_pause (message);
  cf_task_post (&task->server->packet, CF_TO_PACKET_REPORT, report);
}

static void
handle_report (void *data, void *message)
{
  struct AdminTask *task = data;
  struct CfReport *report = message;
  static const char *const types[] = {
    [CF_REPORT_METRICS] = "text/plain; version=0.0.4",
    [CF_REPORT_STATUS] = "application/json",
    [CF_REPORT_EXPLAIN] = "text/plain",
  };

  if (!task->http)
    return;
  respond (report->request, SOUP_STATUS_OK, types[report->kind], report->text->str);
  soup_server_message_unpause (report->request);
}

static void
free_report (gpointer data)
{
  struct CfReport *report = data;

  g_object_unref (report->request);
  g_string_free (report->text, TRUE);
  g_free (report);
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

static const struct CfMessageHandler handlers[CF_TO_ADMIN_KINDS] = {
  [CF_TO_ADMIN_REPORT] = { handle_report, free_report },
};

const struct CfTaskClass cf_admin_task = {
  .name = "admin",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .start = start,
  .stop = stop,
};

void *
cf_admin_task_new (struct CfServer *server)
{
  struct AdminTask *task = g_new0 (struct AdminTask, 1);

  task->server = server;
  return task;
}

void
cf_admin_task_free (void *data)
{
  g_free (data);
}
