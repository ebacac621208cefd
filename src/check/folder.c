#include "folder.h"
#include "config/build.h"
#include "config/text.h"
#include "config/folder.h"

#include <inttypes.h>
#include <string.h>

/* Adds FAULT, a line "file:line: [group] key: reason", of which each part but the last may be
 * missing. */
static void
add_fault (const char *dir, const char *fault, struct CfFindings *findings)
{
  const char *rest = strstr (fault, ": ");
  const char *end = rest && rest[2] == '[' ? strstr (rest + 2, ": ") : NULL;
  char *file = rest ? g_strndup (fault, (gsize) (rest - fault)) : g_strdup (dir);
  char *key = end ? g_strndup (rest + 2, (gsize) (end - rest) - 2) : NULL;

  cf_findings_add (findings, CF_SEVERITY_ERROR, "not-allowed", file, key, "%s",
                   end    ? end + 2
                   : rest ? rest + 2
                          : fault);
  g_free (file);
  g_free (key);
}

struct CfConfig *
cf_check_folder_read (const char *dir, struct CfFindings *findings)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *files = g_ptr_array_new_with_free_func ((GDestroyNotify) g_hash_table_unref);
  struct CfConfig *config = cf_config_read_folder_files (dir, faults, files);

  for (guint i = 0; i < faults->len; i++)
    add_fault (dir, faults->pdata[i], findings);
  cf_check_overrides (files, findings);
  g_ptr_array_unref (faults);
  g_ptr_array_unref (files);
  return config;
}

static bool
has_member (const struct CfConfig *config, uint32_t domain)
{
  for (uint32_t i = 0; i < config->upstream_count; i++)
    if (config->upstreams[i].domain == domain)
      return true;
  for (uint32_t i = 0; i < config->vm_count; i++)
    if (config->vms[i].domain == domain)
      return true;
  return false;
}

static bool
takes_new_flows (const struct CfConfig *config, const struct CfService *service)
{
  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      const struct CfUpstream *upstream = &config->upstreams[service->upstreams[i]];

      if (upstream->mode == CF_UPSTREAM_ACTIVE && config->domains[upstream->domain].in_service)
        return true;
    }
  return false;
}

void
cf_check_folder_entries (const char *dir,
                         const struct CfConfig *config,
                         struct CfFindings *findings)
{
  char *key;

  for (uint32_t i = 0; i < config->domain_count; i++)
    if (!has_member (config, i))
      {
        key = g_strdup_printf ("[failure-domain %s]", config->domains[i].name);
        cf_findings_add (findings, CF_SEVERITY_WARNING, "domain-without-member", dir, key,
                         "no upstream and no VM is in it");
        g_free (key);
      }
  for (uint32_t i = 0; i < config->service_count; i++)
    if (!takes_new_flows (config, &config->services[i]))
      {
        key = g_strdup_printf ("[service %s]", config->services[i].name);
        cf_findings_add (findings, CF_SEVERITY_WARNING, "service-without-upstream", dir, key,
                         "each of its upstreams drains or is in a failure domain that is out");
        g_free (key);
      }
  if (config->limits.retain_ms < config->limits.flow_idle_ms)
    cf_findings_add (findings, CF_SEVERITY_WARNING, "retain-below-idle", dir, "[limits] retain",
                     "%" PRId64 " is below [limits] flow-idle %" PRId64
                     ": a removed upstream loses flows that are open",
                     config->limits.retain_ms / CF_MS_PER_S,
                     config->limits.flow_idle_ms / CF_MS_PER_S);
}

static int
compare_texts (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

/* Returns the texts of A and B, which it frees, each once and sorted. */
static GPtrArray *
merge_names (char **a, char **b)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  for (int i = 0; a && a[i]; i++)
    g_ptr_array_add (names, g_strdup (a[i]));
  for (int i = 0; b && b[i]; i++)
    g_ptr_array_add (names, g_strdup (b[i]));
  g_ptr_array_sort (names, compare_texts);
  for (guint i = names->len; i > 1; i--)
    if (strcmp (names->pdata[i - 1], names->pdata[i - 2]) == 0)
      g_ptr_array_remove_index (names, i - 1);
  g_strfreev (a);
  g_strfreev (b);
  return names;
}

/* Returns the keys of GROUP with their values in one text, to be freed, or NULL if there is no such
 * group. */
static char *
describe_group (GKeyFile *file, const char *group)
{
  char **keys = g_key_file_get_keys (file, group, NULL, NULL);
  GString *text;

  if (!keys)
    return NULL;
  text = g_string_new (NULL);
  for (int i = 0; keys[i]; i++)
    {
      char *value = g_key_file_get_value (file, group, keys[i], NULL);

      g_string_append_printf (text, "%s%s=%s", i > 0 ? ", " : "", keys[i], value ? value : "");
      g_free (value);
    }
  g_strfreev (keys);
  return g_string_free (text, FALSE);
}

static void
compare_keys (const char *name,
              GKeyFile *in_force,
              GKeyFile *file,
              const char *group,
              char *(*value) (GKeyFile *, const char *, const char *),
              struct CfFindings *findings)
{
  GPtrArray *keys = merge_names (g_key_file_get_keys (in_force, group, NULL, NULL),
                                 g_key_file_get_keys (file, group, NULL, NULL));

  for (guint i = 0; i < keys->len; i++)
    {
      char *key = g_strdup_printf ("[%s] %s", group, (const char *) keys->pdata[i]);
      char *from = value (in_force, group, keys->pdata[i]);
      char *to = value (file, group, keys->pdata[i]);

      cf_findings_add_change (findings, name, key, from, to);
      g_free (key);
      g_free (from);
      g_free (to);
    }
  g_ptr_array_unref (keys);
}

void
cf_check_key_file_changes (const char *name,
                           GKeyFile *in_force,
                           GKeyFile *file,
                           char *(*value) (GKeyFile *, const char *, const char *),
                           struct CfFindings *findings)
{
  GPtrArray *groups
      = merge_names (g_key_file_get_groups (in_force, NULL), g_key_file_get_groups (file, NULL));

  for (guint i = 0; i < groups->len; i++)
    {
      const char *group = groups->pdata[i];
      char *from = describe_group (in_force, group);
      char *to = describe_group (file, group);
      char *key = g_strdup_printf ("[%s]", group);

      /* A group without a name has its defaults while it is not given. */
      if ((from && to) || !strchr (group, ' '))
        compare_keys (name, in_force, file, group, value, findings);
      else
        cf_findings_add_change (findings, name, key, from, to);
      if (from && !to && g_str_has_prefix (group, "service "))
        cf_findings_add (findings, CF_SEVERITY_CHANGE, "flows-dropped", name, key,
                         "open flows of the service are dropped");
      g_free (key);
      g_free (from);
      g_free (to);
    }
  g_ptr_array_unref (groups);
}

void
cf_check_folder_changes (const char *dir,
                         const struct CfConfig *in_force,
                         const struct CfConfig *config,
                         struct CfFindings *findings)
{
  GKeyFile *old = cf_config_key_file (in_force->text);
  GKeyFile *new = cf_config_key_file (config->text);
  guint before = findings->counts[CF_SEVERITY_CHANGE];

  cf_check_key_file_changes (dir, old, new, cf_config_value, findings);
  /* Without this key the platform numbers the versions. */
  if (g_key_file_has_key (new, "fleet", "version", NULL)
      && (config->version < in_force->version
          || (config->version == in_force->version
              && findings->counts[CF_SEVERITY_CHANGE] > before)))
    cf_findings_add (findings, CF_SEVERITY_WARNING, "version-not-higher", dir, "[fleet] version",
                     "%" PRIu64 " is not higher than %" PRIu64
                     ", which is in force: VMs with --config-dir ignore the content",
                     config->version, in_force->version);
  g_key_file_unref (old);
  g_key_file_unref (new);
}
