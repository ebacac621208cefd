#include "internal.h"

#include <string.h>

/* Compiles the services of a configuration into the form that the choice of upstreams uses. */

static uint32_t
tenant_index (struct CfCore *core, const char *name)
{
  struct CfTenant tenant = { 0 };

  for (guint i = 0; i < core->tenants->len; i++)
    if (strcmp (g_array_index (core->tenants, struct CfTenant, i).name, name) == 0)
      return i;
  tenant.name = g_strdup (name);
  g_array_append_val (core->tenants, tenant);
  return core->tenants->len - 1;
}

static struct CfServiceStats *
stats_for (struct CfCore *core, const struct CfService *service)
{
  struct CfServiceStats *stats;

  for (guint i = 0; i < core->stats.services->len; i++)
    {
      stats = core->stats.services->pdata[i];
      if (stats->service == service->id)
        return stats;
    }
  stats = g_new0 (struct CfServiceStats, 1);
  stats->service = service->id;
  stats->name = g_strdup (service->name);
  stats->tenant = g_strdup (service->tenant);
  g_ptr_array_add (core->stats.services, stats);
  return stats;
}

static void
compile (struct CfCore *core, const struct CfService *service, struct CfServiceState *state)
{
  uint32_t weight = 0;
  uint32_t baseline = 0;

  *state = (struct CfServiceState){
    .service = service,
    .stats = stats_for (core, service),
    .choices = g_new0 (struct CfChoice, service->upstream_count + 1),
    .count = service->upstream_count,
    .same_weights = true,
    .uniform = true,
    .baseline_uniform = true,
    .tenant = tenant_index (core, service->tenant),
  };
  for (uint32_t i = 0; i < state->count; i++)
    {
      const struct CfUpstream *upstream = &core->config->upstreams[service->upstreams[i]];
      struct CfChoice *choice = &state->choices[i];

      choice->slot = cf_slot_for_id (core, upstream->id);
      choice->weight = upstream->weight;
      choice->baseline_weight = upstream->baseline_weight;
      choice->salt = cf_rendezvous_score (0, upstream->id);
      state->same_weights &= choice->weight == choice->baseline_weight;
      if (choice->weight)
        {
          state->uniform &= weight == 0 || weight == choice->weight;
          weight = choice->weight;
        }
      if (choice->baseline_weight)
        {
          state->baseline_uniform &= baseline == 0 || baseline == choice->baseline_weight;
          baseline = choice->baseline_weight;
        }
    }
}

void
cf_services_compile (struct CfCore *core)
{
  cf_services_clear (core);
  core->service_count = core->config->service_count;
  core->services = g_new0 (struct CfServiceState, core->service_count);
  for (uint32_t i = 0; i < core->service_count; i++)
    compile (core, &core->config->services[i], &core->services[i]);
}

void
cf_services_clear (struct CfCore *core)
{
  for (uint32_t i = 0; i < core->service_count; i++)
    g_free (core->services[i].choices);
  g_clear_pointer (&core->services, g_free);
  core->service_count = 0;
}

struct CfServiceState *
cf_service_state (const struct CfCore *core, const struct CfService *service)
{
  return &core->services[service - core->config->services];
}
