#include "build.h"
#include "text.h"

#include <inttypes.h>
#include <string.h>

/* Derives a configuration from the one before it.  Every change is made to the key
 * file of the canonical text, so that keys for which this version of the program has
 * no field are kept. */

static void
set_version (GKeyFile *file, uint64_t version)
{
  g_key_file_set_uint64 (file, "fleet", "version", version);
}

/* Copies KEY of GROUP from FROM to INTO if only FROM has it. */
static void
carry_key (GKeyFile *into, GKeyFile *from, const char *group, const char *key)
{
  char *value;

  if (g_key_file_has_key (into, group, key, NULL))
    return;
  value = g_key_file_get_value (from, group, key, NULL);
  if (value)
    g_key_file_set_value (into, group, key, value);
  g_free (value);
}

/* A state that an operator set by command stays until a folder sets the key itself. */
static void
carry_states (GKeyFile *into, GKeyFile *from)
{
  char **groups = g_key_file_get_groups (into, NULL);

  for (int i = 0; groups[i]; i++)
    if (cf_config_group_name (groups[i], "failure-domain")
        || cf_config_group_name (groups[i], "upstream"))
      carry_key (into, from, groups[i], "state");
  g_strfreev (groups);
}

static bool
upstream_moved (const struct CfConfig *previous,
                const struct CfUpstream *old,
                const struct CfConfig *folder,
                const struct CfUpstream *fresh)
{
  return strcmp (previous->services[old->service].name, folder->services[fresh->service].name) != 0;
}

/* Returns true if the current list of SERVICE differs between PREVIOUS and FOLDER. */
static bool
list_changed (const struct CfConfig *previous,
              const struct CfService *service,
              const struct CfConfig *folder,
              const struct CfService *next)
{
  uint32_t current = 0;

  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      const struct CfUpstream *old = &previous->upstreams[service->upstreams[i]];
      uint32_t index = cf_config_find_upstream (folder, old->id);

      if (old->mode == CF_UPSTREAM_REMOVED)
        {
          if (index != CF_NO_INDEX)
            return true;
          continue;
        }
      current++;
      if (index == CF_NO_INDEX || folder->upstreams[index].weight != old->weight
          || upstream_moved (previous, old, folder, &folder->upstreams[index]))
        return true;
    }
  return current != next->upstream_count;
}

static const struct CfService *
service_by_id (const struct CfConfig *config, uint32_t id)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    if (config->services[i].id == id)
      return &config->services[i];
  return NULL;
}

static bool
tunnel_is_used (const struct CfConfig *folder, const struct CfAddress *tunnel)
{
  for (uint32_t i = 0; i < folder->upstream_count; i++)
    if (cf_address_equal (&folder->upstreams[i].tunnel, tunnel))
      return true;
  return false;
}

static void
carry_group (GKeyFile *into, GKeyFile *from, const char *group)
{
  char **keys = g_key_file_get_keys (from, group, NULL, NULL);

  for (int i = 0; keys && keys[i]; i++)
    carry_key (into, from, group, keys[i]);
  g_strfreev (keys);
}

/* Keeps the upstream OLD of PREVIOUS, which FOLDER no longer has, until its flows have
 * ended.  If FOLDER uses its address for another upstream, OLD is dropped at once:
 * none of the packets of its flows may go there. */
static void
keep_removed (GKeyFile *file,
              GKeyFile *old_file,
              const struct CfConfig *previous,
              const struct CfConfig *folder,
              const struct CfUpstream *old,
              int64_t now_s)
{
  int64_t removed_at = old->removed_at_s ? old->removed_at_s : now_s;
  char *group;

  if (now_s - removed_at > folder->limits.retain_ms / CF_MS_PER_S
      || tunnel_is_used (folder, &old->tunnel))
    return;
  group = g_strdup_printf ("failure-domain %s", previous->domains[old->domain].name);
  carry_group (file, old_file, group);
  g_free (group);
  group = g_strdup_printf ("upstream %s", old->name);
  carry_group (file, old_file, group);
  g_key_file_set_int64 (file, group, "removed-at", removed_at);
  g_free (group);
}

/* Sets the baseline weight of every upstream that PREVIOUS has in SERVICE.  With
 * ADVANCE the baseline becomes the list that was current in PREVIOUS. */
static void
carry_baseline (GKeyFile *file,
                GKeyFile *old_file,
                const struct CfConfig *previous,
                const struct CfService *service,
                const struct CfConfig *folder,
                bool advance,
                int64_t now_s)
{
  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      const struct CfUpstream *old = &previous->upstreams[service->upstreams[i]];
      uint32_t index = cf_config_find_upstream (folder, old->id);
      char *group = g_strdup_printf ("upstream %s", old->name);
      uint32_t weight = advance ? old->weight : old->baseline_weight;

      if (index == CF_NO_INDEX)
        keep_removed (file, old_file, previous, folder, old, now_s);
      else if (upstream_moved (previous, old, folder, &folder->upstreams[index]))
        weight = 0;
      if (g_key_file_has_group (file, group))
        g_key_file_set_integer (file, group, "baseline-weight", (int) weight);
      g_free (group);
    }
}

static void
carry_service (GKeyFile *file,
               GKeyFile *old_file,
               const struct CfConfig *previous,
               const struct CfService *service,
               const struct CfConfig *folder,
               int64_t now_s)
{
  const struct CfService *next = service_by_id (folder, service->id);
  int64_t flow_idle_s = folder->limits.flow_idle_ms / CF_MS_PER_S;
  int64_t changed_at = service->changed_at_s;
  bool advance = changed_at != 0 && now_s - changed_at > flow_idle_s;
  char *group;

  if (!next)
    return;
  if (list_changed (previous, service, folder, next))
    changed_at = now_s;
  else if (advance)
    changed_at = 0;
  group = g_strdup_printf ("service %s", service->name);
  g_key_file_set_int64 (file, group, "changed-at", changed_at);
  g_free (group);
  /* An upstream that is new to the service has no share in the baseline. */
  for (uint32_t i = 0; i < next->upstream_count; i++)
    {
      group = g_strdup_printf ("upstream %s", folder->upstreams[next->upstreams[i]].name);
      g_key_file_set_integer (file, group, "baseline-weight", 0);
      g_free (group);
    }
  carry_baseline (file, old_file, previous, service, folder, advance, now_s);
}

struct CfConfig *
cf_config_derive (const struct CfConfig *previous,
                  const struct CfConfig *folder,
                  uint64_t version,
                  int64_t now_s)
{
  GKeyFile *file = cf_config_key_file (folder->text);
  GKeyFile *old_file;

  set_version (file, version);
  if (!previous)
    return cf_config_from_key_file (file);
  old_file = cf_config_key_file (previous->text);
  for (uint32_t i = 0; i < previous->service_count; i++)
    carry_service (file, old_file, previous, &previous->services[i], folder, now_s);
  carry_states (file, old_file);
  g_key_file_unref (old_file);
  return cf_config_from_key_file (file);
}

static char *
content_text (const struct CfConfig *config)
{
  GKeyFile *file = cf_config_key_file (config->text);
  char **groups = g_key_file_get_groups (file, NULL);
  char *text;

  g_key_file_remove_key (file, "fleet", "version", NULL);
  for (int i = 0; groups[i]; i++)
    {
      g_key_file_remove_key (file, groups[i], "changed-at", NULL);
      g_key_file_remove_key (file, groups[i], "baseline-weight", NULL);
      if (g_key_file_has_key (file, groups[i], "removed-at", NULL))
        g_key_file_remove_group (file, groups[i], NULL);
    }
  if (g_key_file_has_group (file, "fleet"))
    g_key_file_remove_group (file, "fleet", NULL);
  text = cf_config_canonical (file);
  g_strfreev (groups);
  g_key_file_unref (file);
  return text;
}

bool
cf_config_same_content (const struct CfConfig *a, const struct CfConfig *b)
{
  char *left = content_text (a);
  char *right = content_text (b);
  bool same = strcmp (left, right) == 0;

  g_free (left);
  g_free (right);
  return same;
}

static uint32_t
in_service_count (const struct CfConfig *config, const char *except)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < config->domain_count; i++)
    if (config->domains[i].in_service && strcmp (config->domains[i].name, except) != 0)
      count++;
  return count;
}

/* Returns a copy of CONFIG with VERSION and with STATE in the group KIND NAME. */
static struct CfConfig *
with_state (const struct CfConfig *config,
            const char *kind,
            const char *name,
            const char *state,
            uint64_t version,
            struct CfError *error)
{
  GKeyFile *file = cf_config_key_file (config->text);
  char *group = g_strdup_printf ("%s %s", kind, name);
  struct CfConfig *next = NULL;

  if (!g_key_file_has_group (file, group))
    {
      cf_error_set (error, CF_ERROR_INPUT, "there is no %s '%s' in configuration version %" PRIu64,
                    kind, name, config->version);
      g_key_file_unref (file);
    }
  else
    {
      g_key_file_set_string (file, group, "state", state);
      set_version (file, version);
      next = cf_config_from_key_file (file);
    }
  g_free (group);
  return next;
}

struct CfConfig *
cf_config_set_domain (const struct CfConfig *config,
                      const char *name,
                      bool in_service,
                      bool force,
                      uint64_t version,
                      struct CfError *error)
{
  if (!in_service && !force && in_service_count (config, name) == 0)
    {
      cf_error_set (error, CF_ERROR_INPUT,
                    "failure domain '%s' is the last one in service; taking it out stops every "
                    "service (use --force to do so anyway)",
                    name);
      return NULL;
    }
  return with_state (config, "failure-domain", name, in_service ? "in" : "out", version, error);
}

struct CfConfig *
cf_config_set_drain (const struct CfConfig *config,
                     const char *name,
                     bool draining,
                     uint64_t version,
                     struct CfError *error)
{
  return with_state (config, "upstream", name, draining ? "draining" : "active", version, error);
}
