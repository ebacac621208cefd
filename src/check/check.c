#include "check.h"
#include "folder.h"
#include "manifest.h"
#include "settings.h"

#include <stdbool.h>

/* What the inputs hold, as far as they can be read. */
struct Checked
{
  const struct CfSource *manifest_source;
  const struct CfSource *settings_source;
  struct CfManifest *manifest;
  struct CfBalanceSettings settings;
  bool settings_read;
  bool compared;
};

static void
add_unusable (struct CfFindings *findings, const struct CfSource *source, const char *reason)
{
  cf_findings_add (findings, CF_SEVERITY_ERROR, "unreadable", source->name, NULL,
                   "is no version to compare with: %s", reason);
}

static const struct CfSource *
in_force_of_kind (const struct CfCheckInputs *inputs, enum CfSourceKind kind)
{
  return inputs->in_force && inputs->in_force->kind == kind ? inputs->in_force : NULL;
}

/* Returns the version in force to compare a folder with, or NULL: a key file is one unless there is
 * a settings file to compare with it. */
static const struct CfSource *
folder_in_force (const struct CfCheckInputs *inputs)
{
  if (!inputs->in_force || inputs->in_force->kind == CF_SOURCE_MANIFEST)
    return NULL;
  for (guint i = 0; i < inputs->count; i++)
    if (inputs->in_force->kind == CF_SOURCE_KEY_FILE
        && inputs->inputs[i].kind == CF_SOURCE_KEY_FILE)
      return NULL;
  return inputs->in_force;
}

static struct CfConfig *
read_config_in_force (const struct CfSource *source, struct CfFindings *findings)
{
  GPtrArray *faults;
  struct CfError error = { 0 };
  struct CfConfig *config;

  if (source->kind == CF_SOURCE_KEY_FILE)
    {
      config = cf_config_parse (source->text, &error);
      if (!config)
        add_unusable (findings, source, error.text);
      return config;
    }
  faults = g_ptr_array_new_with_free_func (g_free);
  config = cf_config_read_folder (source->name, faults);
  if (!config)
    add_unusable (findings, source, faults->pdata[0]);
  g_ptr_array_unref (faults);
  return config;
}

static char *
check_folder (const struct CfCheckInputs *inputs,
              const struct CfSource *source,
              struct Checked *checked,
              struct CfFindings *findings)
{
  struct CfConfig *config = cf_check_folder_read (source->name, findings);
  const struct CfSource *against = folder_in_force (inputs);
  struct CfConfig *in_force;
  char *summary;

  checked->compared |= against != NULL;
  if (!config)
    return NULL;
  cf_check_folder_entries (source->name, config, findings);
  in_force = against ? read_config_in_force (against, findings) : NULL;
  if (in_force)
    {
      cf_check_folder_changes (source->name, in_force, config, findings);
      cf_config_unref (in_force);
    }
  summary = g_strdup_printf ("%s: %u services, %u upstreams, %u failure domains, %u VMs; no faults",
                             source->name, config->service_count, config->upstream_count,
                             config->domain_count, config->vm_count);
  cf_config_unref (config);
  return summary;
}

static void
check_manifest (const struct CfCheckInputs *inputs,
                const struct CfSource *source,
                struct Checked *checked,
                struct CfFindings *findings)
{
  const struct CfSource *against = in_force_of_kind (inputs, CF_SOURCE_MANIFEST);
  struct CfFindings ignored;
  struct CfManifest *in_force;

  checked->compared |= against != NULL;
  checked->manifest_source = source;
  checked->manifest = cf_check_manifest_read (source->name, source->text, source->len, findings);
  if (!checked->manifest)
    return;
  cf_check_manifest_matches (source->name, checked->manifest, findings);
  cf_check_manifest_limits (source->name, checked->manifest, findings);
  if (!against)
    return;
  cf_findings_init (&ignored);
  in_force = cf_check_manifest_read (against->name, against->text, against->len, &ignored);
  if (in_force)
    cf_check_manifest_changes (source->name, in_force, checked->manifest, findings);
  else
    add_unusable (findings, against, "no manifest can be read");
  cf_manifest_free (in_force);
  cf_findings_clear (&ignored);
}

static void
check_settings (const struct CfCheckInputs *inputs,
                const struct CfSource *source,
                struct Checked *checked,
                struct CfFindings *findings)
{
  const struct CfSource *against = in_force_of_kind (inputs, CF_SOURCE_KEY_FILE);

  checked->compared |= against != NULL;
  checked->settings_source = source;
  checked->settings_read = cf_check_settings_read (source->name, source->text, source->len,
                                                   &checked->settings, findings);
  if (!checked->settings_read)
    return;
  cf_check_settings_limits (source->name, &checked->settings, findings);
  if (against)
    cf_check_settings_changes (source->name, against->text, source->text, findings);
}

char *
cf_check_run (const struct CfCheckInputs *inputs, struct CfFindings *findings)
{
  struct Checked checked = { 0 };
  char *summary = NULL;

  for (guint i = 0; i < inputs->count; i++)
    switch (inputs->inputs[i].kind)
      {
      case CF_SOURCE_FOLDER:
        summary = check_folder (inputs, &inputs->inputs[i], &checked, findings);
        break;
      case CF_SOURCE_MANIFEST:
        check_manifest (inputs, &inputs->inputs[i], &checked, findings);
        break;
      case CF_SOURCE_KEY_FILE:
        check_settings (inputs, &inputs->inputs[i], &checked, findings);
        break;
      }
  if (checked.settings_read)
    cf_check_overload (checked.settings_source->name, &checked.settings.overload, checked.manifest,
                       findings);
  if (checked.manifest && checked.settings_read)
    cf_check_lifetime (checked.settings_source->name, &checked.settings,
                       checked.manifest_source->name, checked.manifest, findings);
  if (inputs->in_force && !checked.compared)
    add_unusable (findings, inputs->in_force, "no input is of its kind");
  if (checked.settings_read)
    cf_balance_settings_clear (&checked.settings);
  cf_manifest_free (checked.manifest);
  return summary;
}
