#include "settings.h"
#include "folder.h"
#include "feed/rotation.h"

#include <inttypes.h>
#include <string.h>

struct Reading
{
  const char *file;
  struct CfFindings *findings;
};

static void
add_fault (void *context, const char *group, const char *key, const char *value, const char *reason)
{
  const struct Reading *reading = context;
  char *name = group ? g_strdup_printf ("[%s] %s", group, key) : NULL;

  cf_findings_add (reading->findings, CF_SEVERITY_ERROR, group ? "not-allowed" : "unreadable",
                   reading->file, name, "%s%s%s%s", value ? "'" : "", value ? value : "",
                   value ? "' " : "", reason);
  g_free (name);
}

bool
cf_check_settings_read (const char *file,
                        const char *text,
                        size_t len,
                        struct CfBalanceSettings *settings,
                        struct CfFindings *findings)
{
  struct Reading reading = { .file = file, .findings = findings };

  return cf_balance_settings_check (settings, file, text, len, add_fault, &reading);
}

void
cf_check_settings_limits (const char *file,
                          const struct CfBalanceSettings *settings,
                          struct CfFindings *findings)
{
  CfMillis wait = cf_rotation_wait_max (settings->grace_ms);

  for (guint i = 0; i < settings->notes->len; i++)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "setting-default", file, NULL, "%s",
                     (const char *) settings->notes->pdata[i]);
  if (settings->grace_ms < CF_ROTATION_FORWARD_RESERVE_MS)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "grace-short", file, "[limits] grace-s",
                     "%g is below the %g s in which a VM passes packets on after SIGTERM and ends: "
                     "flows are cut",
                     (double) settings->grace_ms / CF_MS_PER_S,
                     (double) CF_ROTATION_FORWARD_RESERVE_MS / CF_MS_PER_S);
  else if (wait < CF_ROTATION_WAIT_MAX_MS)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "grace-short", file, "[limits] grace-s",
                     "%g leaves %g s of the %g s for which a VM waits after SIGTERM for another of "
                     "its failure domain that is away",
                     (double) settings->grace_ms / CF_MS_PER_S, (double) wait / CF_MS_PER_S,
                     (double) CF_ROTATION_WAIT_MAX_MS / CF_MS_PER_S);
}

void
cf_check_lifetime (const char *file,
                   const struct CfBalanceSettings *settings,
                   const char *manifest_file,
                   const struct CfManifest *manifest,
                   struct CfFindings *findings)
{
  CfMillis lifetime = settings->max_flow_lifetime_ms;

  if (manifest->flow_idle_ms > lifetime)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "lifetime-below-idle", file,
                     "[limits] flow-lifetime-s",
                     "%g s is below limits.idle-timeout-ms %" PRId64 " of %s",
                     (double) lifetime / CF_MS_PER_S, manifest->flow_idle_ms, manifest_file);
  for (guint i = 0; i < manifest->routes->len; i++)
    {
      const struct CfRouteEntry *route = &g_array_index (manifest->routes, struct CfRouteEntry, i);

      if (!route->removed && route->timeout_ms > lifetime)
        cf_findings_add (findings, CF_SEVERITY_WARNING, "lifetime-below-timeout", file,
                         "[limits] flow-lifetime-s",
                         "%g s is below routes[%u].timeout-ms %" PRId64 " of %s",
                         (double) lifetime / CF_MS_PER_S, i, route->timeout_ms, manifest_file);
    }
}

static char *
get_value (GKeyFile *file, const char *group, const char *key)
{
  return g_key_file_get_value (file, group, key, NULL);
}

static GKeyFile *
load (const char *text)
{
  GKeyFile *file = g_key_file_new ();

  g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, NULL);
  return file;
}

void
cf_check_settings_changes (const char *file,
                           const char *in_force,
                           const char *text,
                           struct CfFindings *findings)
{
  GKeyFile *old = load (in_force);
  GKeyFile *new = load (text);

  cf_check_key_file_changes (file, old, new, get_value, findings);
  g_key_file_unref (old);
  g_key_file_unref (new);
}
