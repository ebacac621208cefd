#include "internal.h"

/* Configurations come into force.  Earlier ones are kept for differences between versions. */

static void
clear_differences (struct CfCore *core)
{
  for (int i = 0; i < CF_CONFIG_HISTORY; i++)
    g_clear_pointer (&core->changes[i], g_free);
}

static void
push_history (struct CfCore *core)
{
  if (!core->config)
    return;
  cf_config_unref (core->history[CF_CONFIG_HISTORY - 1]);
  for (int i = CF_CONFIG_HISTORY - 1; i > 0; i--)
    core->history[i] = core->history[i - 1];
  core->history[0] = core->config;
}

static void
find_region (struct CfCore *core)
{
  core->region = 0;
  for (uint32_t i = 0; i < core->config->domain_count; i++)
    if (core->config->domains[i].id == core->options.domain)
      core->region = cf_name_id (core->config->domains[i].region);
}

bool
cf_core_set_config (struct CfCore *core, struct CfConfig *config, CfMillis now)
{
  bool initial = core->config == NULL;

  if (!initial
      && (config->version < core->config->version
          || (config->version == core->config->version && config->digest <= core->config->digest)))
    {
      core->stats.counter[CF_COUNT_CONFIG_IGNORED]++;
      return false;
    }
  clear_differences (core);
  push_history (core);
  core->config = cf_config_ref (config);
  core->stats.counter[CF_COUNT_CONFIG_APPLIED]++;
  core->heartbeat_urgent = true;
  find_region (core);
  cf_slots_bind (core, initial, now);
  cf_services_compile (core);
  cf_flows_rebind (core);
  cf_members_list_config (core);
  /* Every other VM is unsure until this one has told it of the new version. */
  core->unsure = true;
  cf_view_update (core, now);
  cf_gatekeepers_update (core, now);
  cf_marks_update (core, now);
  return true;
}

void
cf_config_clear (struct CfCore *core)
{
  clear_differences (core);
  for (int i = 0; i < CF_CONFIG_HISTORY; i++)
    cf_config_unref (core->history[i]);
  cf_config_unref (core->config);
}
