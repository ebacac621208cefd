#include "internal.h"

/* Removes idle and closed flows, and refreshes the entries of active ones. */

#define UDP_RECENT_S 60

static uint32_t
lifetime (const struct CfCore *core, const struct CfFlow *flow, bool owner)
{
  uint32_t idle_s = (uint32_t) (core->config->limits.flow_idle_ms / CF_MS_PER_S);

  if (flow->flags & CF_FLOW_CLOSING)
    return CF_CLOSING_S;
  if ((flow->flags & CF_FLOW_HALF_OPEN) && flow->kind == CF_FLOW_RECENT)
    return CF_HALF_OPEN_S;
  if ((flow->flags & CF_FLOW_HALF_OPEN) && owner)
    return CF_HALF_OPEN_ENTRY_S;
  if (core->policy->local_table || flow->kind == CF_FLOW_ENTRY)
    return idle_s + CF_REFRESH_S;
  return flow->flags & CF_FLOW_UDP ? UDP_RECENT_S : CF_RECENT_S;
}

/* Removes or refreshes FLOW, depending on its age.  Returns true if it was removed. */
static bool
sweep_flow (struct CfCore *core, struct CfFlow *flow, CfMillis now)
{
  bool owner = core->current.holders[CF_BUCKET (flow->key)][0].member == 0;
  uint32_t now_s = cf_core_seconds (core, now);
  uint32_t age_s = now_s - flow->seen_s;

  if (age_s > lifetime (core, flow, owner))
    {
      if (owner && flow->kind == CF_FLOW_ENTRY)
        cf_replicate_removal (core, flow);
      /* A UDP flow ends only by idling. */
      if ((flow->flags & CF_FLOW_UDP) && (flow->flags & CF_FLOW_COUNTED))
        cf_slot (core, flow->slot)->load.closed++;
      if (!(flow->flags & (CF_FLOW_CLOSING | CF_FLOW_HALF_OPEN)))
        core->stats.counter[CF_COUNT_FLOWS_EXPIRED]++;
      cf_flows_drop (core, flow);
      return true;
    }
  if (owner && flow->kind == CF_FLOW_ENTRY && flow->seen_s > flow->sent_s + CF_REFRESH_S)
    cf_replicate (core, flow, false, now);
  return false;
}

void
cf_flows_sweep (struct CfCore *core, uint32_t count, CfMillis now)
{
  for (uint32_t n = 0; n < count; n++)
    {
      uint32_t i = core->sweep_cursor & (core->table.capacity - 1);

      /* A removal may have moved another record into this element. */
      if (core->table.flows[i].key && sweep_flow (core, &core->table.flows[i], now))
        continue;
      core->sweep_cursor = i + 1;
    }
}
