#include "internal.h"

/* Placement of new flows by the owner of their bucket. */

#define REPORT_SETTLE_MS 1000 /* reports of first packets have arrived by then */

struct Admission
{
  const struct CfRoute *route;
  bool ignore_fairness;
};

static bool
admit (struct CfCore *core, uint32_t number, void *data)
{
  const struct Admission *admission = data;
  const struct CfSlot *slot = cf_slot (core, number);

  if (!cf_slot_takes_new (slot) || cf_limit_full (core, slot))
    return false;
  if (slot->health == PEER_COLD)
    return cf_grant_available (slot, admission->route->now);
  if (slot->health != PEER_WARM)
    return false;
  return admission->ignore_fairness || !cf_limit_unfair (core, admission->route->service, number);
}

static uint32_t
choose (struct CfCore *core, const struct CfRoute *route)
{
  struct Admission admission = { .route = route };
  uint32_t slot = cf_choose_first (core, route->service, route->key, admit, &admission);

  if (slot != CF_NO_SLOT)
    return slot;
  admission.ignore_fairness = true;
  return cf_choose_first (core, route->service, route->key, admit, &admission);
}

/* No packet of the flow reached an upstream if every VM has reported its first
 * packets to this owner and this owner has no record of the flow. */
static enum CfVerdict
refusal_verdict (const struct CfCore *core, const struct CfRoute *route)
{
  const struct CfSlot *slot = cf_slot (core, route->implied);
  CfMillis owned = route->now - core->owned_since[CF_BUCKET (route->key)];

  if (core->settled && slot->marked_since >= 0
      && route->now - slot->marked_since >= REPORT_SETTLE_MS
      && (owned >= CF_HALF_OPEN_S * CF_MS_PER_S || core->members->len == 1))
    return CF_VERDICT_NOT_RUN;
  return CF_VERDICT_MAY_HAVE_RUN;
}

/* A packet that may not be diverted yet goes to the implied upstream if that can
 * bear it. */
static bool
implied_accepts (const struct CfSlot *slot)
{
  return cf_slot_usable (slot) && slot->health == PEER_WARM;
}

static void
record (struct CfCore *core, const struct CfRoute *route, struct CfFlow *flow, uint32_t number)
{
  bool entry = number != route->implied || !core->config_settled;
  uint8_t kind = entry ? CF_FLOW_ENTRY : CF_FLOW_RECENT;
  struct CfSlot *slot = cf_slot (core, number);

  if (!flow)
    flow = cf_flows_record (core, route, number, kind);
  else
    cf_flows_move (core, flow, number, flow->kind == CF_FLOW_ENTRY ? flow->kind : kind);
  core->stats.counter[CF_COUNT_NEW_FLOWS]++;
  core->stats.counter[CF_COUNT_NEW_AWAY] += entry;
  route->service->stats->new_flows++;
  slot->load.opened++;
  slot->evidence.opened++;
  if (slot->health == PEER_COLD && slot->grant)
    slot->grant--;
  if (!flow)
    return;
  flow->flags = (flow->flags & CF_FLOW_UDP) | CF_FLOW_HALF_OPEN | CF_FLOW_COUNTED;
  flow->placed_s = flow->seen_s = cf_core_seconds (core, route->now);
  flow->first_ms = (uint16_t) route->now;
  if (flow->kind == CF_FLOW_ENTRY)
    cf_replicate (core, flow, true, route->now);
}

enum CfVerdict
cf_place (struct CfCore *core, struct CfRoute *route, struct CfFlow *flow)
{
  const struct CfSlot *implied = cf_slot (core, route->implied);
  uint32_t slot;

  if (!cf_limit_tenant (core, route->service, route->now))
    {
      core->stats.counter[CF_COUNT_REFUSED_OVERLOAD]++;
      return cf_route_refuse (core, route,
                              flow ? CF_VERDICT_MAY_HAVE_RUN : refusal_verdict (core, route));
    }
  slot = choose (core, route);
  if (slot == CF_NO_SLOT)
    return cf_route_refuse (core, route,
                            flow ? CF_VERDICT_MAY_HAVE_RUN : refusal_verdict (core, route));
  if (slot != route->implied && !cf_may_divert (core, route->implied, route->now))
    {
      if (!implied_accepts (implied))
        return cf_park (core, route, CF_DROP_GATE);
      slot = route->implied;
    }
  record (core, route, flow, slot);
  return cf_route_to (core, route, slot);
}
