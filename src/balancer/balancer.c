#include "balancer.h"
#include "feed_messages.h"
#include "runtime/crash_report.h"
#include "feed/rotation.h"
#include "runtime/log.h"
#include "runtime/supervisor.h"
#include "runtime/clock.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/* The daemon of an entry VM behind a fabric with flow cookies.  Its supervisor also turns a changed
 * settings file into messages. */

/* Time from leaving the rotation to the exit of the process.  The fabric checks readiness twice a
 * second and removes a VM after two failed checks; packets in flight then still have to be
 * forwarded. */
#define LINGER_MS 1400
#define LEAVE_CHECK_MS 50
#define LEAVE_SLACK_MS 200 /* until the feed task is given up, which decides when to leave */
#define END_MS 400         /* of the grace period, for the end of the process */
/* The settings file is polled, because it may change without a signal. */
#define SETTINGS_CHECK_S 2
/* The platform writes the file in place, so it may be empty or half written when it is read.  At
 * the start it is read again for a while; a file that may lack its end is used once it stays the
 * same. */
#define SETTINGS_WAIT_MS 5000
#define SETTINGS_RETRY_MS 50
#define SETTINGS_UNCHANGED_MS 500
/* Log lines about the settings. */
#define SETTINGS_LINES_PER_S 2
#define SETTINGS_LINES_BURST 10

struct Supervisor
{
  struct CfBalancer balancer;
  const char *path;     /* of the settings file */
  char *text;           /* of the file when it was last read, NULL: it could not be read */
  CfMillis changed_at;  /* when TEXT was first seen */
  bool used;            /* TEXT is in force, or it was rejected */
  bool loaded;          /* the first settings are in force */
  CfMillis load_until;  /* without valid settings, the process ends then */
  struct CfError error; /* why the file could not be used at the start */
  struct CfEventRate rate;
  bool stopping;
  CfMillis stop_at; /* when the signal came */
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

static gboolean
quit (gpointer data)
{
  struct Supervisor *supervisor = data;

  g_main_loop_quit (supervisor->balancer.main_loop);
  return G_SOURCE_REMOVE;
}

/* The feed task does not answer if it could not start, as when its port is taken. */
static bool
is_overdue (const struct Supervisor *supervisor)
{
  CfMillis wait = cf_rotation_wait_max (supervisor->balancer.settings.grace_ms);

  return cf_now () - supervisor->stop_at >= wait + LEAVE_SLACK_MS;
}

static gboolean
wait_for_leave (gpointer data)
{
  struct Supervisor *supervisor = data;
  CfMillis left;

  if (!atomic_load (&supervisor->balancer.leaving))
    {
      if (!is_overdue (supervisor))
        return G_SOURCE_CONTINUE;
      log_event (&supervisor->balancer, "leaving", "the feed task does not run");
      atomic_store (&supervisor->balancer.leaving, true);
    }
  left = supervisor->stop_at + supervisor->balancer.settings.grace_ms - END_MS - cf_now ();
  g_timeout_add ((guint) CLAMP (left, 0, LINGER_MS), quit, supervisor);
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
  supervisor->stop_at = cf_now ();
  if (!supervisor->loaded)
    {
      g_main_loop_quit (balancer->main_loop);
      return G_SOURCE_CONTINUE;
    }
  log_event (balancer, "stopping", "SIGTERM");
  cf_task_post (&balancer->feed, CF_TO_FEED_STOP, NULL);
  g_timeout_add (LEAVE_CHECK_MS, wait_for_leave, supervisor);
  return G_SOURCE_CONTINUE;
}

static void
log_settings (struct Supervisor *supervisor, const char *event, const char *detail)
{
  cf_event_log_write_limited (supervisor->balancer.log, &supervisor->rate, event,
                              (struct CfField[]){
                                  { .key = "detail", .text = detail },
                                  { 0 },
                              },
                              cf_now ());
}

static void
log_notes (struct Supervisor *supervisor, const struct CfBalanceSettings *settings)
{
  for (guint i = 0; settings->notes && i < settings->notes->len; i++)
    log_settings (supervisor, "settings-note", settings->notes->pdata[i]);
}

/* Reads the file.  Contents are compared, since two changes may have the same time. */
static bool
read_settings (struct Supervisor *supervisor,
               struct CfBalanceSettings *settings,
               struct CfError *error)
{
  char *text = NULL;
  GError *gerror = NULL;
  gsize len = 0;
  bool ok;

  if (g_file_get_contents (supervisor->path, &text, &len, &gerror))
    ok = cf_balance_settings_parse (settings, supervisor->path, text, len, error);
  else
    {
      ok = cf_error_set (error, CF_ERROR_INPUT, "%s", gerror->message);
      g_error_free (gerror);
    }
  if (supervisor->changed_at == 0 || g_strcmp0 (text, supervisor->text) != 0)
    {
      supervisor->changed_at = cf_now ();
      supervisor->used = false;
    }
  g_free (supervisor->text);
  supervisor->text = text;
  return ok;
}

/* Returns true if SETTINGS, just read, have their end. */
static bool
is_whole (const struct Supervisor *supervisor, const struct CfBalanceSettings *settings)
{
  return settings->complete || cf_now () - supervisor->changed_at >= SETTINGS_UNCHANGED_MS;
}

/* Only the seeds of a new file take effect at once.  Addresses and names cannot change while the
 * process runs; they are read at the next start. */
static void
reload (struct Supervisor *supervisor, const char *why, bool always)
{
  struct CfBalanceSettings fresh = { 0 };
  struct CfError error = { 0 };
  bool ok = read_settings (supervisor, &fresh, &error);

  if ((!supervisor->used || always) && !ok)
    log_settings (supervisor, "reload-failed", error.text);
  else if ((!supervisor->used || always) && is_whole (supervisor, &fresh))
    {
      log_settings (supervisor, "reloaded", why);
      log_notes (supervisor, &fresh);
      cf_task_post (&supervisor->balancer.feed, CF_TO_FEED_SEEDS, g_steal_pointer (&fresh.seeds));
    }
  else if (!supervisor->used)
    {
      /* The next check uses it if it stays the same. */
      cf_balance_settings_clear (&fresh);
      return;
    }
  supervisor->used = true;
  if (ok)
    cf_balance_settings_clear (&fresh);
}

/* Tries to read the first settings. */
static gboolean
load_settings (gpointer data)
{
  struct Supervisor *supervisor = data;
  struct CfBalancer *balancer = &supervisor->balancer;
  struct CfBalanceSettings settings = { 0 };
  struct CfError error = { 0 };
  bool ok = read_settings (supervisor, &settings, &error);

  if (ok && is_whole (supervisor, &settings))
    {
      balancer->settings = settings;
      supervisor->loaded = true;
      supervisor->used = true;
      g_main_loop_quit (balancer->main_loop);
      return G_SOURCE_REMOVE;
    }
  if (ok)
    {
      cf_error_set (&error, CF_ERROR_INPUT, "%s: the end may be missing", supervisor->path);
      cf_balance_settings_clear (&settings);
    }
  if (!*supervisor->error.text)
    cf_event_log_write_early ("", "settings-awaited",
                              (struct CfField[]){
                                  { .key = "fault", .text = error.text },
                                  { .key = "wait_ms", .number = SETTINGS_WAIT_MS },
                                  { 0 },
                              });
  supervisor->error = error;
  if (!ok && cf_now () >= supervisor->load_until)
    {
      g_main_loop_quit (balancer->main_loop);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

/* Waits until the settings can be used, or a signal stops the process. */
static void
await_settings (struct Supervisor *supervisor)
{
  supervisor->load_until = cf_now () + SETTINGS_WAIT_MS;
  if (load_settings (supervisor) == G_SOURCE_REMOVE)
    return;
  g_timeout_add (SETTINGS_RETRY_MS, load_settings, supervisor);
  g_main_loop_run (supervisor->balancer.main_loop);
}

static gboolean
on_reload (gpointer data)
{
  struct Supervisor *supervisor = data;

  if (supervisor->loaded)
    reload (supervisor, "SIGHUP", true);
  return G_SOURCE_CONTINUE;
}

static gboolean
check_settings (gpointer data)
{
  reload (data, "the file changed", false);
  return G_SOURCE_CONTINUE;
}

static bool
serve (struct Supervisor *supervisor, struct CfError *error)
{
  struct CfBalancer *balancer = &supervisor->balancer;
  const struct CfChild children[] = {
    { &balancer->datapath, &cf_datapath_task },
    { &balancer->feed, &cf_feed_task },
    { &balancer->admin, &cf_balancer_admin_task },
  };
  bool ok;

  cf_task_register_types ();
  balancer->log = cf_event_log_new (balancer->settings.name);
  cf_event_log_capture_glib (balancer->log);
  cf_crash_report_install (balancer->settings.name);
  cf_crash_report_enter ("supervisor");
  log_event (balancer, "started", supervisor->path);
  log_notes (supervisor, &balancer->settings);
  g_timeout_add_seconds (SETTINGS_CHECK_S, check_settings, supervisor);
  ok = cf_supervisor_run (children, G_N_ELEMENTS (children), balancer, balancer->main_loop, error);
  log_event (balancer, "stopped", "");
  cf_event_log_free (balancer->log);
  cf_crash_report_install ("");
  cf_crash_report_leave ();
  return ok;
}

bool
cf_balancer_run (const char *path, struct CfError *error)
{
  struct Supervisor *supervisor = g_new0 (struct Supervisor, 1);
  struct CfBalancer *balancer = &supervisor->balancer;
  bool ok;

  supervisor->path = path;
  supervisor->rate
      = (struct CfEventRate){ .per_s = SETTINGS_LINES_PER_S, .burst = SETTINGS_LINES_BURST };
  balancer->main_loop = g_main_loop_new (NULL, FALSE);
  cf_supervisor_handle_signals (on_stop, on_reload, supervisor);
  await_settings (supervisor);
  ok = supervisor->stopping;
  if (!ok && supervisor->loaded)
    ok = serve (supervisor, error);
  else
    *error = supervisor->error;
  g_main_loop_unref (balancer->main_loop);
  cf_balance_settings_clear (&balancer->settings);
  g_free (supervisor->text);
  g_free (supervisor);
  return ok;
}
