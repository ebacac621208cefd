#include "balancer.h"
#include "crash_report.h"
#include "feed/rotation.h"
#include "log.h"
#include "process_setup.h"
#include "server.h"

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <sys/stat.h>

/* The supervisor of an entry VM behind a fabric with flow cookies: starts the tasks, turns signals
 * and a changed settings file into messages, and stops the tasks in reverse order. */

/* Time from leaving the rotation to the exit of the process.  The fabric checks readiness twice a
 * second and removes a VM after two failed checks; packets in flight then still have to be
 * forwarded. */
#define LINGER_MS 1400
#define LEAVE_CHECK_MS 50
/* Time that the feed task has beyond its longest wait to have this VM leave. */
#define LEAVE_LATE_MS 400
/* The settings file is polled, because it may change without a signal. */
#define SETTINGS_CHECK_S 2

struct Child
{
  const struct CfTaskClass *class;
  struct CfTask *task;
  void *(*new) (struct CfBalancer *balancer);
  void (*free) (void *data);
};

struct Supervisor
{
  struct CfBalancer balancer;
  gint64 settings_mtime;
  bool stopping;
  CfMillis leave_by; /* while stopping */
};

static void
log_event (struct CfBalancer *balancer, const char *event, const char *detail)
{
  cf_event_log_write (balancer->log, event,
                      (struct CfField[]){
                          { .key = "detail", .text = detail },
                          { 0 },
                      });
}

static void
log_notes (struct CfBalancer *balancer, const struct CfBalanceSettings *settings)
{
  for (guint i = 0; i < settings->notes->len; i++)
    log_event (balancer, "settings-note", settings->notes->pdata[i]);
}

static gboolean
quit (gpointer data)
{
  struct Supervisor *supervisor = data;

  g_main_loop_quit (supervisor->balancer.main_loop);
  return G_SOURCE_REMOVE;
}

/* The feed task decides when this VM leaves, but it may not have started. */
static gboolean
wait_for_leave (gpointer data)
{
  struct Supervisor *supervisor = data;
  struct CfBalancer *balancer = &supervisor->balancer;

  if (!atomic_load (&balancer->leaving))
    {
      if (cf_now () < supervisor->leave_by)
        return G_SOURCE_CONTINUE;
      atomic_store (&balancer->leaving, true);
      log_event (balancer, "leaving", "the feed task does not respond");
    }
  g_timeout_add (LINGER_MS, quit, supervisor);
  return G_SOURCE_REMOVE;
}

static gboolean
on_stop (gpointer data)
{
  struct Supervisor *supervisor = data;
  struct CfBalancer *balancer = &supervisor->balancer;

  if (supervisor->stopping)
    return G_SOURCE_CONTINUE;
  supervisor->stopping = true;
  log_event (balancer, "stopping", "SIGTERM");
  supervisor->leave_by
      = cf_now () + cf_rotation_wait_max (balancer->settings.grace_ms) + LEAVE_LATE_MS;
  cf_send_stop (balancer);
  g_timeout_add (LEAVE_CHECK_MS, wait_for_leave, supervisor);
  return G_SOURCE_CONTINUE;
}

static gint64
file_mtime (const char *path)
{
  struct stat info;

  if (stat (path, &info) != 0)
    return 0;
  return (gint64) info.st_mtim.tv_sec * G_TIME_SPAN_SECOND + info.st_mtim.tv_nsec / 1000;
}

/* Only the seeds of a new file take effect at once.  Addresses and names cannot change while the
 * process runs; they are read at the next start. */
static void
reload (struct Supervisor *supervisor, const char *why)
{
  struct CfBalancer *balancer = &supervisor->balancer;
  struct CfBalanceSettings fresh;
  struct CfError error = { 0 };

  supervisor->settings_mtime = file_mtime (balancer->settings.path);
  if (!cf_balance_settings_read (&fresh, balancer->settings.path, &error))
    {
      log_event (balancer, "reload-failed", error.text);
      return;
    }
  log_event (balancer, "reloaded", why);
  log_notes (balancer, &fresh);
  cf_send_seeds (balancer, g_steal_pointer (&fresh.seeds));
  cf_balance_settings_clear (&fresh);
}

static gboolean
on_reload (gpointer data)
{
  reload (data, "SIGHUP");
  return G_SOURCE_CONTINUE;
}

static gboolean
check_settings (gpointer data)
{
  struct Supervisor *supervisor = data;

  if (file_mtime (supervisor->balancer.settings.path) != supervisor->settings_mtime)
    reload (supervisor, "the file changed");
  return G_SOURCE_CONTINUE;
}

static void
run_children (struct CfBalancer *balancer, struct Child *children, size_t count)
{
  for (size_t i = 0; i < count; i++)
    cf_task_prepare (children[i].task, children[i].class, children[i].new(balancer));
  for (size_t i = 0; i < count; i++)
    cf_task_start (children[i].task);
  g_main_loop_run (balancer->main_loop);
  for (size_t i = count; i > 0; i--)
    cf_task_stop (children[i - 1].task);
  for (size_t i = count; i > 0; i--)
    {
      cf_task_finish (children[i - 1].task);
      children[i - 1].free (children[i - 1].task->data);
    }
}

bool
cf_balancer_run (const char *path, struct CfError *error)
{
  struct Supervisor *supervisor = g_new0 (struct Supervisor, 1);
  struct CfBalancer *balancer = &supervisor->balancer;
  struct Child children[] = {
    { &cf_datapath_task, &balancer->datapath, cf_datapath_task_new, cf_datapath_task_free },
    { &cf_feed_task, &balancer->feed, cf_feed_task_new, cf_feed_task_free },
    { &cf_balancer_admin_task, &balancer->admin, cf_balancer_admin_task_new,
      cf_balancer_admin_task_free },
  };

  /* A signal that comes before the main loop runs is handled when it does.  The time of the file is
   * taken first, so that a later change is seen. */
  g_unix_signal_add (SIGTERM, on_stop, supervisor);
  g_unix_signal_add (SIGINT, on_stop, supervisor);
  g_unix_signal_add (SIGHUP, on_reload, supervisor);
  cf_process_unblock_signals ();
  supervisor->settings_mtime = file_mtime (path);
  if (!cf_balance_settings_read (&balancer->settings, path, error))
    {
      g_free (supervisor);
      return false;
    }
  cf_task_register_types ();
  balancer->log = cf_event_log_new (balancer->settings.name);
  cf_event_log_capture_glib (balancer->log);
  cf_crash_report_install (balancer->settings.name);
  cf_crash_report_enter ("supervisor");
  balancer->main_loop = g_main_loop_new (NULL, FALSE);
  log_event (balancer, "started", path);
  log_notes (balancer, &balancer->settings);
  g_timeout_add_seconds (SETTINGS_CHECK_S, check_settings, supervisor);
  run_children (balancer, children, G_N_ELEMENTS (children));
  log_event (balancer, "stopped", "");
  g_main_loop_unref (balancer->main_loop);
  /* GLib's log writer stays installed and must not use the event log after it is freed. */
  g_log_set_default_handler (g_log_default_handler, NULL);
  cf_event_log_free (balancer->log);
  cf_crash_report_install ("");
  cf_crash_report_leave ();
  cf_balance_settings_clear (&balancer->settings);
  g_free (supervisor);
  return true;
}
