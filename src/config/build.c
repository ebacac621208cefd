#include "build.h"
#include "index.h"
#include "locations.h"
#include "schema.h"
#include "text.h"

#include <stdlib.h>
#include <string.h>

/* State of one build: its input, the faults found and the result. */
struct Build
{
  GKeyFile *file;
  GHashTable *locations;
  GPtrArray *faults;
  bool internal;
  struct CfConfig *config;
  GHashTable *by_group; /* group header to index + 1 in its array */
};

static void fault (struct Build *build, const char *group, const char *key, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

static void
fault (struct Build *build, const char *group, const char *key, const char *format, ...)
{
  va_list args;
  char *reason;

  va_start (args, format);
  reason = g_strdup_vprintf (format, args);
  va_end (args);
  cf_locations_add_fault (build->locations, build->faults, group, key, reason);
  g_free (reason);
}

static char *
group_kind (const char *group)
{
  return g_strndup (group, strcspn (group, " "));
}

const char *
cf_config_group_name (const char *group, const char *kind)
{
  size_t len = strlen (kind);

  if (strncmp (group, kind, len) != 0 || group[len] != ' ')
    return NULL;
  return group + len + 1;
}

char *
cf_config_value (GKeyFile *file, const char *group, const char *key)
{
  char *value = g_key_file_get_string (file, group, key, NULL);
  char *kind;
  const struct CfKeySpec *spec;

  if (value)
    return g_strchomp (value);
  kind = group_kind (group);
  spec = cf_schema_find (kind, key);
  g_free (kind);
  return g_strdup (spec && spec->fallback ? spec->fallback : "");
}

static int64_t
integer (struct Build *build, const char *group, const char *key)
{
  char *value = cf_config_value (build->file, group, key);
  int64_t number = strtoll (value, NULL, 10);

  g_free (value);
  return number;
}

static void
check_key (struct Build *build, const char *group, const char *kind, const char *key)
{
  const struct CfKeySpec *spec = cf_schema_find (kind, key);
  char *value;
  char *reason;

  if (!spec || (spec->internal && !build->internal))
    {
      fault (build, group, key, "unknown key");
      return;
    }
  value = g_key_file_get_string (build->file, group, key, NULL);
  reason = value ? cf_schema_check (spec, g_strchomp (value)) : g_strdup ("not valid text");
  if (reason)
    fault (build, group, key, "%s", reason);
  g_free (reason);
  g_free (value);
}

static void
check_required (struct Build *build, const char *group, const char *kind)
{
  for (const struct CfKeySpec *spec = NULL; (spec = cf_schema_next (kind, spec));)
    if (!spec->fallback && !g_key_file_has_key (build->file, group, spec->key, NULL))
      fault (build, group, spec->key, "missing");
}

static void
check_group (struct Build *build, const char *group)
{
  char *kind = group_kind (group);
  const char *name = cf_config_group_name (group, kind);
  char **keys;
  bool named;

  if (!cf_schema_has_kind (kind, &named))
    {
      fault (build, group, NULL, "unknown group");
      g_free (kind);
      return;
    }
  if (named && (!name || !*name || strchr (name, ' ')))
    fault (build, group, NULL, "the group needs one name without spaces");
  if (!named && name)
    fault (build, group, NULL, "the group takes no name");
  keys = g_key_file_get_keys (build->file, group, NULL, NULL);
  for (int i = 0; keys && keys[i]; i++)
    check_key (build, group, kind, keys[i]);
  check_required (build, group, kind);
  g_strfreev (keys);
  g_free (kind);
}

static void
read_limits (struct Build *build)
{
  char *imbalance = cf_config_value (build->file, "limits", "imbalance");

  build->config->limits = (struct CfLimits){
    .imbalance = g_ascii_strtod (imbalance, NULL),
    .flow_idle_ms = integer (build, "limits", "flow-idle") * CF_MS_PER_S,
    .retain_ms = integer (build, "limits", "retain") * CF_MS_PER_S,
    .peer_bytes_per_s = (uint32_t) integer (build, "limits", "peer-bytes"),
    .new_flows_per_s = (uint32_t) integer (build, "limits", "new-flows"),
  };
  g_free (imbalance);
}

/* Returns the index of the object of KIND that KEY of GROUP names. */
static uint32_t
reference (struct Build *build, const char *group, const char *key, const char *kind)
{
  char *name = cf_config_value (build->file, group, key);
  char *target = g_strdup_printf ("%s %s", kind, name);
  uint32_t index = GPOINTER_TO_UINT (g_hash_table_lookup (build->by_group, target));

  /* An empty or missing name is a fault of its own already. */
  if (index == 0 && *name)
    fault (build, group, key, "there is no group [%s]", target);
  g_free (target);
  g_free (name);
  return index - 1;
}

static void
read_address (struct Build *build,
              const char *group,
              const char *key,
              uint16_t port,
              struct CfAddress *address)
{
  char *text = cf_config_value (build->file, group, key);

  cf_address_parse (text, port, address);
  g_free (text);
}

static bool
choice_is (struct Build *build, const char *group, const char *key, const char *word)
{
  char *value = cf_config_value (build->file, group, key);
  bool equal = strcmp (value, word) == 0;

  g_free (value);
  return equal;
}

static void
read_domain (struct Build *build, const char *group, const char *name)
{
  struct CfConfig *config = build->config;

  config->domains[config->domain_count++] = (struct CfFailureDomain){
    .name = g_strdup (name),
    .id = cf_name_id (name),
    .region = cf_config_value (build->file, group, "region"),
    .in_service = choice_is (build, group, "state", "in"),
  };
}

static void
read_vm (struct Build *build, const char *group, const char *name)
{
  struct CfConfig *config = build->config;

  config->vms[config->vm_count++] = (struct CfVm){
    .name = g_strdup (name),
    .id = cf_name_id (name),
    .domain = reference (build, group, "failure-domain", "failure-domain"),
    .ip = cf_config_value (build->file, group, "address"),
  };
}

static void
read_service (struct Build *build, const char *group, const char *name)
{
  struct CfConfig *config = build->config;
  struct CfService *service = &config->services[config->service_count++];

  *service = (struct CfService){
    .name = g_strdup (name),
    .id = cf_name_id (name),
    .tenant = cf_config_value (build->file, group, "tenant"),
    .protocol = choice_is (build, group, "protocol", "tcp") ? CF_PROTOCOL_TCP : CF_PROTOCOL_UDP,
    .changed_at_s = integer (build, group, "changed-at"),
  };
  read_address (build, group, "address", (uint16_t) integer (build, group, "port"),
                &service->address);
}

static void
read_upstream (struct Build *build, const char *group, const char *name)
{
  struct CfConfig *config = build->config;
  struct CfUpstream *upstream = &config->upstreams[config->upstream_count++];
  bool has_baseline = g_key_file_has_key (build->file, group, "baseline-weight", NULL);

  *upstream = (struct CfUpstream){
    .name = g_strdup (name),
    .id = cf_name_id (name),
    .service = reference (build, group, "service", "service"),
    .domain = reference (build, group, "failure-domain", "failure-domain"),
    .weight = (uint32_t) integer (build, group, "weight"),
    .cold_flows_per_s = (uint32_t) integer (build, group, "bears"),
    .slots = (uint32_t) integer (build, group, "slots"),
    .connections = (uint32_t) integer (build, group, "connections"),
    .removed_at_s = integer (build, group, "removed-at"),
  };
  upstream->baseline_weight
      = has_baseline ? (uint32_t) integer (build, group, "baseline-weight") : upstream->weight;
  if (choice_is (build, group, "state", "draining"))
    upstream->mode = CF_UPSTREAM_DRAINING;
  if (upstream->removed_at_s)
    {
      upstream->mode = CF_UPSTREAM_REMOVED;
      upstream->weight = 0;
    }
  read_address (build, group, "tunnel", (uint16_t) integer (build, group, "tunnel-port"),
                &upstream->tunnel);
  read_address (build, group, "tunnel", (uint16_t) integer (build, group, "health-port"),
                &upstream->health);
}

typedef void ReadGroup (struct Build *build, const char *group, const char *name);

static void
read_kind (struct Build *build, char **groups, const char *kind, ReadGroup *read)
{
  uint32_t index = 0;

  for (int i = 0; groups[i]; i++)
    {
      const char *name = cf_config_group_name (groups[i], kind);

      if (!name)
        continue;
      g_hash_table_insert (build->by_group, groups[i], GUINT_TO_POINTER (++index));
      read (build, groups[i], name);
    }
}

/* Adds a fault if the address TEXT is already in TABLE. */
static void
check_unique_address (
    struct Build *build, GHashTable *table, const char *text, const char *group, const char *key)
{
  const char *other = g_hash_table_lookup (table, text);

  if (other)
    fault (build, group, key, "%s is already used by [%s]", text, other);
  else
    g_hash_table_insert (table, g_strdup (text), g_strdup (group));
}

static void
check_addresses (struct Build *build)
{
  const struct CfConfig *config = build->config;
  GHashTable *tables[3];
  char text[CF_ADDRESS_TEXT_MAX];

  for (int i = 0; i < 3; i++)
    tables[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      char *group = g_strdup_printf ("service %s", config->services[i].name);
      char *full;

      cf_address_format (&config->services[i].address, text, sizeof text);
      full = g_strdup_printf ("%s/%d", text, config->services[i].protocol);
      check_unique_address (build, tables[0], full, group, "address");
      g_free (full);
      g_free (group);
    }
  for (uint32_t i = 0; i < config->upstream_count; i++)
    {
      char *group = g_strdup_printf ("upstream %s", config->upstreams[i].name);

      cf_address_format (&config->upstreams[i].tunnel, text, sizeof text);
      check_unique_address (build, tables[1], text, group, "tunnel");
      g_free (group);
    }
  for (uint32_t i = 0; i < config->vm_count; i++)
    {
      char *group = g_strdup_printf ("vm %s", config->vms[i].name);

      check_unique_address (build, tables[2], config->vms[i].ip, group, "address");
      g_free (group);
    }
  for (int i = 0; i < 3; i++)
    g_hash_table_destroy (tables[i]);
}

static void
check_complete (struct Build *build)
{
  const struct CfConfig *config = build->config;

  if (config->service_count == 0)
    g_ptr_array_add (build->faults, g_strdup ("configuration: there is no service"));
  for (uint32_t i = 0; i < config->service_count; i++)
    if (config->services[i].upstream_count == 0)
      {
        char *group = g_strdup_printf ("service %s", config->services[i].name);

        fault (build, group, NULL, "no upstream names this service");
        g_free (group);
      }
}

static void
read_groups (struct Build *build, char **groups)
{
  struct CfConfig *config = build->config;
  guint len = g_strv_length (groups);

  config->domains = g_new0 (struct CfFailureDomain, len);
  config->vms = g_new0 (struct CfVm, len);
  config->services = g_new0 (struct CfService, len);
  config->upstreams = g_new0 (struct CfUpstream, len);
  config->version = (uint64_t) integer (build, "fleet", "version");
  read_limits (build);
  read_kind (build, groups, "failure-domain", read_domain);
  read_kind (build, groups, "vm", read_vm);
  read_kind (build, groups, "service", read_service);
  read_kind (build, groups, "upstream", read_upstream);
}

struct CfConfig *
cf_config_build (GKeyFile *file, GHashTable *locations, bool internal, GPtrArray *faults)
{
  struct Build build = {
    .file = file,
    .locations = locations,
    .faults = faults,
    .internal = internal,
    .config = g_new0 (struct CfConfig, 1),
    .by_group = g_hash_table_new (g_str_hash, g_str_equal),
  };
  char **groups = g_key_file_get_groups (file, NULL);

  build.config->refs = 1;
  for (int i = 0; groups[i]; i++)
    check_group (&build, groups[i]);
  read_groups (&build, groups);
  /* Addresses are only compared once each value is known to be valid. */
  if (faults->len == 0)
    {
      cf_config_index (build.config);
      check_addresses (&build);
      check_complete (&build);
      cf_config_check_ids (build.config, faults);
      build.config->text = cf_config_canonical (file);
      build.config->digest = cf_config_digest (build.config->text);
    }
  g_hash_table_destroy (build.by_group);
  g_strfreev (groups);
  if (faults->len == 0)
    return build.config;
  cf_config_unref (build.config);
  return NULL;
}

struct CfConfig *
cf_config_parse (const char *text, struct CfError *error)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  GKeyFile *file = g_key_file_new ();
  struct CfConfig *config = NULL;
  GError *parse_error = NULL;

  if (!g_key_file_load_from_data (file, text, strlen (text), G_KEY_FILE_NONE, &parse_error))
    {
      cf_error_set (error, CF_ERROR_INPUT, "configuration: %s", parse_error->message);
      g_error_free (parse_error);
    }
  else
    {
      config = cf_config_build (file, NULL, true, faults);
      if (!config)
        cf_error_set (error, CF_ERROR_INPUT, "%s", (const char *) faults->pdata[0]);
    }
  g_key_file_unref (file);
  g_ptr_array_unref (faults);
  return config;
}

struct CfConfig *
cf_config_from_key_file (GKeyFile *file)
{
  char *text = cf_config_canonical (file);
  struct CfError error = { 0 };
  struct CfConfig *config = cf_config_parse (text, &error);

  if (!config)
    g_error ("a derived configuration is not valid: %s", error.text);
  g_free (text);
  g_key_file_unref (file);
  return config;
}
