#include "internal.h"

/* Baseline policies for comparison: rendezvous hashing over the upstreams that are
 * usable now, with or without a table of flows on each VM. */

const struct CfPolicy cf_policy_product = { .name = "product", .use_owners = true };
const struct CfPolicy cf_policy_hash = { .name = "hash" };
const struct CfPolicy cf_policy_local = { .name = "local", .local_table = true };

static bool
healthy (struct CfCore *core, uint32_t number, void *data)
{
  const struct CfSlot *slot = cf_slot (core, number);

  (void) data;
  return cf_slot_takes_new (slot) && slot->health != PEER_UNREACHABLE;
}

enum CfVerdict
cf_route_baseline (struct CfCore *core, struct CfRoute *route)
{
  struct CfFlow *flow = NULL;
  uint32_t slot;

  if (core->policy->local_table)
    flow = cf_flow_find (&core->table, route->key);
  if (flow && cf_slot_usable (cf_slot (core, flow->slot)))
    {
      if (!route->packet->icmp_error)
        cf_flows_seen (core, flow, route);
      return cf_route_to (core, route, flow->slot);
    }
  slot = cf_choose_first (core, route->service, route->key, healthy, NULL);
  if (slot == CF_NO_SLOT)
    return cf_route_refuse (core, route, CF_VERDICT_MAY_HAVE_RUN);
  if (core->policy->local_table && !flow && !route->packet->icmp_error)
    cf_flows_record (core, route, slot, CF_FLOW_RECENT);
  if (route->opens)
    core->stats.counter[CF_COUNT_NEW_FLOWS]++;
  return cf_route_to (core, route, slot);
}
