#include "server.h"
#include "packet_messages.h"
#include "source_messages.h"
#include "runtime/crash_report.h"
#include "runtime/log.h"
#include "runtime/process_setup.h"

#include <glib-unix.h>
#include <poll.h>
#include <sodium.h>
#include <unistd.h>

/* The supervisor: starts the tasks, turns signals into messages, and stops the tasks
 * in reverse order.  A task that fails is started again by its own thread. */

struct Child
{
  const struct CfTaskClass *class;
  struct CfTask *task;
  void *(*new) (struct CfServer *server);
  void (*free) (void *data);
};

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

static bool
run_children (struct CfServer *server, struct Child *children, size_t count, struct CfError *error)
{
  bool ok = true;

  /* A task may post to any other as soon as it runs, so all states and contexts
   * exist before the first thread starts its work. */
  for (size_t i = 0; i < count; i++)
    cf_task_prepare (children[i].task, children[i].class, children[i].new(server));
  for (size_t i = 0; i < count && ok; i++)
    ok = cf_task_start (children[i].task, error);
  if (ok)
    g_main_loop_run (server->main_loop);
  for (size_t i = count; i > 0; i--)
    cf_task_stop (children[i - 1].task);
  for (size_t i = count; i > 0; i--)
    {
      cf_task_finish (children[i - 1].task);
      children[i - 1].free (children[i - 1].task->data);
    }
  return ok;
}

bool
cf_server_run (const struct CfSettings *settings, struct CfError *error)
{
  struct CfServer *server = g_new0 (struct CfServer, 1);
  bool folder = settings->config_dir != NULL;
  struct Child children[] = {
    { &cf_peer_task, &server->peer, cf_peer_task_new, cf_peer_task_free },
    { &cf_health_task, &server->health, cf_health_task_new, cf_health_task_free },
    { &cf_packet_task, &server->packet, cf_packet_task_new, cf_packet_task_free },
    { folder ? &cf_folder_task : &cf_platform_task, &server->source,
      folder ? cf_folder_task_new : cf_platform_task_new,
      folder ? cf_folder_task_free : cf_platform_task_free },
    { &cf_admin_task, &server->admin, cf_admin_task_new, cf_admin_task_free },
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
  g_unix_signal_add (SIGTERM, on_stop, server);
  g_unix_signal_add (SIGINT, on_stop, server);
  g_unix_signal_add (SIGHUP, on_reload, server);
  cf_process_unblock_signals ();
  ok = run_children (server, children, count, error);
  g_main_loop_unref (server->main_loop);
  cf_crash_report_install ("");
  cf_crash_report_leave ();
  g_free (server);
  return ok;
}
