#include "internal.h"

/* Flow records, and the counts at upstreams that follow from them. */

uint32_t
cf_core_seconds (const struct CfCore *core, CfMillis now)
{
  return (uint32_t) ((now - core->start) / CF_MS_PER_S) + 1;
}

void
cf_flows_count_away (struct CfCore *core, const struct CfFlow *flow, int step)
{
  if (flow->kind == CF_FLOW_ENTRY && flow->slot != CF_NO_SLOT && flow->implied != flow->slot)
    cf_slot (core, flow->implied)->entries_away += (uint32_t) step;
}

struct CfFlow *
cf_flows_record (struct CfCore *core, const struct CfRoute *route, uint32_t slot, uint8_t kind)
{
  struct CfFlow *flow = cf_flow_insert (&core->table, route->key);
  uint32_t now_s = cf_core_seconds (core, route->now);

  if (!flow)
    {
      core->stats.counter[CF_COUNT_FLOWS_LOST]++;
      return NULL;
    }
  flow->slot = slot;
  flow->implied = route->implied;
  flow->seen_s = now_s;
  flow->placed_s = now_s;
  flow->kind = kind;
  flow->first_ms = (uint16_t) route->now;
  if (route->packet->protocol == CF_PROTOCOL_UDP)
    flow->flags = CF_FLOW_UDP;
  cf_flows_count_away (core, flow, 1);
  return flow;
}

void
cf_flows_move (struct CfCore *core, struct CfFlow *flow, uint32_t slot, uint8_t kind)
{
  cf_flows_count_away (core, flow, -1);
  flow->slot = slot;
  flow->kind = kind;
  cf_flows_count_away (core, flow, 1);
}

void
cf_flows_drop (struct CfCore *core, struct CfFlow *flow)
{
  cf_flows_count_away (core, flow, -1);
  cf_flow_remove (&core->table, flow);
}

void
cf_flows_seen (struct CfCore *core, struct CfFlow *flow, const struct CfRoute *route)
{
  struct CfSlot *slot = cf_slot (core, flow->slot);
  uint8_t flags = route->packet->flags;

  flow->seen_s = cf_core_seconds (core, route->now);
  if (route->opens && (flow->flags & CF_FLOW_HALF_OPEN))
    slot->outlier_counts.repeated++;
  if (!route->opens && (flow->flags & CF_FLOW_HALF_OPEN))
    {
      flow->flags &= ~CF_FLOW_HALF_OPEN;
      slot->load.completed++;
      slot->completed_at = route->now;
      slot->outlier_counts.completed++;
      cf_histogram_add (&route->service->stats->handshake_ms,
                        (uint16_t) ((uint16_t) route->now - flow->first_ms));
    }
  if ((flags & (CF_PACKET_FIN | CF_PACKET_RST)) && !(flow->flags & CF_FLOW_CLOSING))
    {
      flow->flags |= CF_FLOW_CLOSING;
      slot->load.closed++;
    }
}

void
cf_flows_rebind (struct CfCore *core)
{
  for (uint32_t i = 0; i < core->slots->len; i++)
    cf_slot (core, i)->entries_away = 0;
  for (uint32_t i = 0; i < core->table.capacity; i++)
    {
      struct CfFlow *flow = &core->table.flows[i];
      const struct CfUpstream *upstream;
      uint32_t first;

      if (!flow->key)
        continue;
      upstream = cf_slot (core, flow->slot)->upstream;
      flow->implied = flow->slot;
      if (upstream)
        cf_choose_preferred (&core->services[upstream->service], flow->key, &flow->implied, &first);
      cf_flows_count_away (core, flow, 1);
    }
}
