#include "server.h"
#include "packet_messages.h"
#include "source_messages.h"
#include "runtime/crash_report.h"
#include "runtime/log.h"
#include "runtime/supervisor.h"

#include <poll.h>
#include <sodium.h>
#include <unistd.h>

/* The daemon of the GUE form. */

/* Drops lines while standard error cannot take them: a task must not block on its log. */
static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  struct pollfd out = { .fd = STDERR_FILENO, .events = POLLOUT };

  if (poll (&out, 1, 0) != 1 || !(out.revents & POLLOUT))
    return G_LOG_WRITER_UNHANDLED;
  return g_log_writer_default (level, fields, count, data);
}

static gboolean
on_stop (gpointer data)
{
  struct CfServer *server = data;

  /* Without the packet task there are no flows to hand over, and no task that ends the process. */
  if (cf_task_is_running (&server->packet))
    cf_task_post (&server->packet, CF_TO_PACKET_LEAVE, NULL);
  else
    g_main_loop_quit (server->main_loop);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_reload (gpointer data)
{
  cf_task_post (&((struct CfServer *) data)->source, CF_TO_SOURCE_RELOAD, NULL);
  return G_SOURCE_CONTINUE;
}

bool
cf_server_run (const struct CfSettings *settings, struct CfError *error)
{
  struct CfServer *server = g_new0 (struct CfServer, 1);
  bool folder = settings->config_dir != NULL;
  const struct CfChild children[] = {
    { &server->peer, &cf_peer_task },
    { &server->health, &cf_health_task },
    { &server->packet, &cf_packet_task },
    { &server->source, folder ? &cf_folder_task : &cf_platform_task },
    { &server->admin, &cf_admin_task },
  };
  size_t count = G_N_ELEMENTS (children) - (settings->admin_port == 0);
  bool ok;

  g_log_set_writer_func (write_log, NULL, NULL);
  cf_task_register_types ();
  server->settings = *settings;
  cf_peer_keys (settings->fleet_key, &server->keys);
  server->main_loop = g_main_loop_new (NULL, FALSE);
  cf_crash_report_install (settings->name);
  cf_crash_report_enter ("supervisor");
  cf_supervisor_handle_signals (on_stop, on_reload, server);
  ok = cf_supervisor_run (children, count, server, server->main_loop, error);
  g_main_loop_unref (server->main_loop);
  cf_crash_report_install ("");
  cf_crash_report_leave ();
  g_free (server);
  return ok;
}
