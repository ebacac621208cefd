#include "internal.h"

#include <math.h>

#define TENANT_WINDOW_MS 100
#define LOAD_LAG_S 4        /* maximum age of other VMs' counts */
#define RATE_SMOOTHING 0.25 /* weight of the newest sample in the moving average */
#define CHANCE_DEVIATIONS 3 /* tolerated standard deviations of hashing, each sqrt (mean) */

static void
next_window (struct CfCore *core, CfMillis now)
{
  core->tenant_window = now;
  core->window_accepted = 0;
  for (guint i = 0; i < core->tenants->len; i++)
    {
      struct CfTenant *tenant = &g_array_index (core->tenants, struct CfTenant, i);

      tenant->last_wanted -= tenant->last_wanted / 8;
      tenant->last_wanted = MAX (tenant->last_wanted, tenant->wanted);
      tenant->wanted = 0;
      tenant->accepted = 0;
    }
}

/* Returns the new flows that are still reserved for the other tenants in this window: their fair
 * share, as far as they used it in recent windows. */
static uint32_t
reserved_for_others (const struct CfCore *core, uint32_t except, uint32_t share)
{
  uint32_t owed = 0;

  for (guint i = 0; i < core->tenants->len; i++)
    {
      const struct CfTenant *tenant = &g_array_index (core->tenants, struct CfTenant, i);
      uint32_t due = MIN (share, tenant->last_wanted);

      if (i != except && due > tenant->accepted)
        owed += due - tenant->accepted;
    }
  return owed;
}

bool
cf_limit_tenant (struct CfCore *core, struct CfServiceState *service, CfMillis now)
{
  struct CfTenant *tenant;
  uint32_t limit = core->config->limits.new_flows_per_s;
  uint32_t allowance = MAX (1, limit * TENANT_WINDOW_MS / CF_MS_PER_S);
  uint32_t share = MAX (1, allowance / MAX (1, core->tenants->len));

  if (limit == 0)
    return true;
  if (now - core->tenant_window >= TENANT_WINDOW_MS)
    next_window (core, now);
  tenant = &g_array_index (core->tenants, struct CfTenant, service->tenant);
  tenant->wanted++;
  if (core->window_accepted >= allowance)
    return false;
  if (tenant->accepted >= share
      && core->window_accepted + reserved_for_others (core, service->tenant, share) >= allowance)
    return false;
  tenant->accepted++;
  core->window_accepted++;
  return true;
}

/* The counts are cumulative and wrap around; their difference is correct all the same. */
uint32_t
cf_limit_open (const struct CfSlot *slot)
{
  int32_t open = (int32_t) (slot->fleet.opened - slot->fleet.closed);

  return (uint32_t) MAX (0, open);
}

/* Returns how many members count the same flow: for UDP, every VM that sees packets of it. */
static uint32_t
counting_members (const struct CfCore *core, const struct CfSlot *slot)
{
  if (core->config->services[slot->upstream->service].protocol == CF_PROTOCOL_TCP)
    return 1;
  return MAX (1, core->current.candidates->len);
}

bool
cf_limit_full (const struct CfCore *core, const struct CfSlot *slot)
{
  return cf_limit_open (slot) / counting_members (core, slot) >= slot->upstream->connections;
}

bool
cf_limit_unfair (const struct CfCore *core, const struct CfServiceState *service, uint32_t number)
{
  const struct CfSlot *slot = cf_slot (core, number);
  double open = 0;
  double weight = 0;

  for (uint32_t i = 0; i < service->count; i++)
    {
      const struct CfSlot *other = cf_slot (core, service->choices[i].slot);

      if (!cf_slot_takes_new (other) || other->health != PEER_WARM)
        continue;
      open += (double) cf_limit_open (other);
      weight += other->upstream->weight;
    }
  /* After a change of members, some of them have not sent all their counts yet. */
  if (weight == 0 || core->last_tick - core->view_changed_at < LOAD_LAG_S * CF_MS_PER_S)
    return false;
  open = open * slot->upstream->weight / weight;
  return (double) cf_limit_open (slot) > open * (1 + core->config->limits.imbalance)
                                             + CHANCE_DEVIATIONS * sqrt (open)
                                             + slot->rate * LOAD_LAG_S;
}

static void
sum_slot (struct CfCore *core, uint32_t number)
{
  struct CfSlot *slot = cf_slot (core, number);
  uint32_t opened = slot->fleet.opened;

  slot->fleet.opened = slot->load.opened + slot->others.opened;
  slot->fleet.completed = slot->load.completed + slot->others.completed;
  slot->fleet.closed = slot->load.closed + slot->others.closed;
  slot->rate += RATE_SMOOTHING
                * ((double) (int32_t) (slot->fleet.opened - opened) * CF_MS_PER_S / CF_HEARTBEAT_MS
                   - slot->rate);
}

void
cf_limits_sum (struct CfCore *core)
{
  for (uint32_t i = 0; i < core->slots->len; i++)
    sum_slot (core, i);
}
