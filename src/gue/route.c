#include "internal.h"

#include <string.h>

/* Routing of a packet: directly to its implied upstream, to the upstream of its record, to the
 * owner of its bucket, or back to the caller as a refusal. */

static enum CfVerdict
transfer (struct CfCore *core, const struct CfRoute *route, uint32_t index, uint32_t flags)
{
  const struct CfMember *member = cf_member (core, index);
  struct peer_transfer context = {
    .from = core->options.vm,
    .service = route->service->service->id,
    .key = route->key,
    .hops = route->hops + 1,
    .flags = flags,
    .reply_port = route->packet->reply.port,
  };

  if (route->hops >= CF_TRANSFER_HOPS_MAX)
    return cf_route_drop (core, CF_DROP_HOPS);
  memcpy (context.reply_address, route->packet->reply.ip, sizeof context.reply_address);
  core->stats.counter[CF_COUNT_TRANSFERRED]++;
  core->stats.counter[CF_COUNT_TRANSFERRED_BYTES] += route->packet->len;
  core->out->transfer (core->context, route->packet, &context, &member->address);
  return CF_VERDICT_TRANSFERRED;
}

/* Returns true if FLOW has ended, so that a first packet opens a new flow with the same key. */
static bool
reusable (const struct CfCore *core, const struct CfFlow *flow, CfMillis now)
{
  return (flow->flags & CF_FLOW_CLOSING)
         || cf_core_seconds (core, now) - flow->seen_s > CF_HALF_OPEN_S;
}

/* Forwards a packet of a flow that this VM has a record of. */
static enum CfVerdict
forward_recorded (struct CfCore *core, struct CfRoute *route, struct CfFlow *flow)
{
  uint32_t slot = flow->slot;

  cf_flows_seen (core, flow, route);
  /* The packet is refused below, and the caller opens a new flow. */
  if (!cf_slot_usable (cf_slot (core, slot)))
    flow->flags |= CF_FLOW_CLOSING;
  return cf_route_to (core, route, slot);
}

/* Forwards a packet to its implied upstream, which is not marked, without asking the owner. */
static enum CfVerdict
route_direct (struct CfCore *core, struct CfRoute *route, struct CfFlow *flow)
{
  struct CfSlot *slot = cf_slot (core, route->implied);
  bool udp = route->packet->protocol == CF_PROTOCOL_UDP;

  if (flow && !(route->opens && reusable (core, flow, route->now)))
    return forward_recorded (core, route, flow);
  if (flow)
    cf_flows_drop (core, flow);
  if (route->opens && !cf_limit_tenant (core, route->service, route->now))
    {
      /* Another VM may have forwarded an earlier copy of this packet. */
      core->stats.counter[CF_COUNT_REFUSED_OVERLOAD]++;
      return cf_route_refuse (core, route, CF_VERDICT_MAY_HAVE_RUN);
    }
  if (route->opens || udp)
    {
      flow = cf_flows_record (core, route, route->implied, CF_FLOW_RECENT);
      if (flow)
        flow->flags |= CF_FLOW_HALF_OPEN | CF_FLOW_COUNTED;
      core->stats.counter[CF_COUNT_NEW_FLOWS]++;
      route->service->stats->new_flows++;
      slot->load.opened++;
      slot->outlier_counts.opened++;
    }
  else if (route->packet->flags & (CF_PACKET_FIN | CF_PACKET_RST))
    {
      flow = cf_flows_record (core, route, route->implied, CF_FLOW_RECENT);
      if (flow)
        cf_flows_seen (core, flow, route);
    }
  return cf_route_to (core, route, route->implied);
}

/* Returns the previous holder that still has to be asked about unknown flows of the bucket, or
 * CF_NO_MEMBER. */
static uint32_t
fallback (const struct CfCore *core, const struct CfRoute *route)
{
  uint32_t index = core->fallback[CF_BUCKET (route->key)];

  if (route->decide || index == CF_NO_MEMBER || !cf_member (core, index)->alive
      || cf_member (core, index)->state == PEER_JOINING)
    return CF_NO_MEMBER;
  return index;
}

/* Returns true if an entry from another member may still be in flight. */
static bool
entry_in_flight (const struct CfCore *core, const struct CfRoute *route)
{
  return route->now - core->decides_since[CF_BUCKET (route->key)] < CF_IN_FLIGHT_MS;
}

/* Returns true if every active flow of the implied upstream should have a record: its new flows
 * go elsewhere, and its older ones were pinned. */
static bool
expects_record (const struct CfCore *core, const struct CfRoute *route)
{
  return route->first != route->implied || !cf_slot_takes_new (cf_slot (core, route->implied));
}

/* A flow without a record here may have one that this VM cannot read: at holders that
 * died, or on the other side of a partition.  The caller's retransmission may arrive at
 * a VM that has the record. */
static bool
in_doubt (const struct CfCore *core, const struct CfRoute *route)
{
  uint32_t bucket = CF_BUCKET (route->key);
  CfMillis gained = core->gained_without_entries_at[bucket];

  if (entry_in_flight (core, route) || (gained >= 0 && route->now - gained < CF_TAKEOVER_MS))
    return true;
  return expects_record (core, route)
         && (core->partition_suspected || core->entries_awaited
             || route->now - core->decides_since[bucket] < CF_TAKEOVER_MS);
}

/* Turns FLOW into an entry and replicates it to the bucket's holders. */
static void
pin (struct CfCore *core, const struct CfRoute *route, struct CfFlow *flow)
{
  core->stats.counter[CF_COUNT_PINNED]++;
  cf_flows_move (core, flow, flow->slot, CF_FLOW_ENTRY);
  flow->flags |= CF_FLOW_PINNED;
  cf_replicate (core, flow, false, route->now);
}

/* Routes a later packet of a flow without a record: it belongs to the implied upstream.  If new
 * flows go elsewhere, the flow gets an entry to tell it from those. */
static enum CfVerdict
route_unrecorded (struct CfCore *core, struct CfRoute *route)
{
  bool usable = cf_slot_usable (cf_slot (core, route->implied));
  bool ends = route->packet->flags & (CF_PACKET_FIN | CF_PACKET_RST);
  struct CfFlow *flow = NULL;

  if (in_doubt (core, route))
    return cf_route_drop (core, CF_DROP_DOUBT);
  if (usable && (ends || expects_record (core, route)))
    flow = cf_flows_record (core, route, route->implied, CF_FLOW_RECENT);
  if (!flow)
    return cf_route_to (core, route, route->implied);
  if (!ends)
    pin (core, route, flow);
  return forward_recorded (core, route, flow);
}

/* A UDP flow without a record may be older than this VM's records.  It stays at its
 * implied upstream while that takes new flows, however loaded, and for CF_GRACE_MS after it
 * stopped taking them. */
static enum CfVerdict
route_unrecorded_udp (struct CfCore *core, struct CfRoute *route)
{
  const struct CfSlot *slot = cf_slot (core, route->implied);
  bool open = cf_slot_takes_new (slot) && slot->health == PEER_WARM;
  bool grace = cf_slot_usable (slot) && slot->closed_since >= 0
               && route->now - slot->closed_since <= CF_GRACE_MS;
  struct CfFlow *flow;

  if (route->first != route->implied || (!open && !grace))
    return cf_place (core, route, NULL);
  flow = cf_flows_record (core, route, route->implied, CF_FLOW_RECENT);
  if (flow && expects_record (core, route))
    pin (core, route, flow);
  return cf_route_to (core, route, route->implied);
}

/* Routes a retransmitted first packet.  The upstream may not have received the earlier one, so
 * it counts as a new flow there; it never goes to another upstream. */
static enum CfVerdict
route_retransmission (struct CfCore *core, struct CfRoute *route, struct CfFlow *flow)
{
  struct CfSlot *slot = cf_slot (core, flow->slot);

  if (slot->health == PEER_UNREACHABLE)
    {
      flow->flags |= CF_FLOW_CLOSING;
      return cf_route_refuse (core, route, CF_VERDICT_MAY_HAVE_RUN);
    }
  if (slot->health == PEER_COLD)
    {
      if (!cf_grant_available (slot, route->now))
        return cf_park (core, route, CF_DROP_GATE);
      slot->grant--;
    }
  return forward_recorded (core, route, flow);
}

static enum CfVerdict
route_as_owner (struct CfCore *core, struct CfRoute *route, struct CfFlow *flow)
{
  uint32_t other;

  if (flow && !(route->opens && reusable (core, flow, route->now)))
    {
      if (flow->kind == CF_FLOW_RECENT && expects_record (core, route))
        pin (core, route, flow);
      return route->opens ? route_retransmission (core, route, flow)
                          : forward_recorded (core, route, flow);
    }
  if (flow)
    return cf_place (core, route, flow);
  other = fallback (core, route);
  if (other != CF_NO_MEMBER)
    return transfer (core, route, other, CF_TRANSFER_DECIDE);
  if (route->packet->protocol == CF_PROTOCOL_UDP)
    return route_unrecorded_udp (core, route);
  if (!route->opens)
    return route_unrecorded (core, route);
  return entry_in_flight (core, route) ? cf_park (core, route, CF_DROP_DOUBT)
                                       : cf_place (core, route, NULL);
}

/* Returns true if the configuration alone determines the upstream of the packet. */
static bool
is_direct (const struct CfCore *core, const struct CfRoute *route)
{
  if (core->unsure || route->decide || route->first != route->implied
      || cf_marked (core, route->implied))
    return false;
  return !route->opens
         || (!cf_limit_full (core, cf_slot (core, route->implied))
             && !cf_limit_unfair (core, route->service, route->implied));
}

/* Any holder of an entry may forward the flow's packets, except those that change
 * the entry: the owner has to see them. */
static bool
holder_may_follow (const struct CfCore *core, const struct CfRoute *route, struct CfFlow *flow)
{
  bool unconfirmed = flow->flags & CF_FLOW_UNCONFIRMED;

  if (route->opens || (route->packet->flags & (CF_PACKET_FIN | CF_PACKET_RST))
      || core->state == PEER_JOINING || (flow->flags & CF_FLOW_STALE))
    return false;
  flow->flags &= ~CF_FLOW_UNCONFIRMED;
  return !unconfirmed;
}

/* While a configuration spreads, two VMs may each take the other for the owner, and would use up a
 * packet's hops within milliseconds.  A first packet waits for the next tick instead. */
static enum CfVerdict
transfer_to_owner (struct CfCore *core, const struct CfRoute *route, uint32_t owner)
{
  if (owner == CF_NO_MEMBER)
    return cf_route_drop (core, CF_DROP_NO_OWNER);
  if (route->opens && !core->retrying && route->hops > 0
      && cf_member (core, owner)->id == route->from)
    return cf_park (core, route, CF_DROP_HOPS);
  return transfer (core, route, owner, 0);
}

/* An ICMP error, such as one that reports the path MTU, goes to the upstream of its
 * flow and changes no state. */
static enum CfVerdict
route_error (struct CfCore *core,
             const struct CfRoute *route,
             const struct CfFlow *flow,
             uint32_t owner)
{
  bool decides = owner == 0 || route->decide;
  uint32_t other;

  if (flow && !(flow->flags & CF_FLOW_STALE) && (flow->kind == CF_FLOW_ENTRY || decides))
    return cf_route_to (core, route, flow->slot);
  if (is_direct (core, route))
    return cf_route_to (core, route, route->implied);
  if (!decides)
    return transfer_to_owner (core, route, owner);
  other = fallback (core, route);
  if (other != CF_NO_MEMBER)
    return transfer (core, route, other, CF_TRANSFER_DECIDE);
  if (in_doubt (core, route))
    return cf_route_drop (core, CF_DROP_DOUBT);
  return cf_route_to (core, route, route->implied);
}

enum CfVerdict
cf_route (struct CfCore *core, struct CfRoute *route)
{
  struct CfFlow *flow = cf_flow_find (&core->table, route->key);
  uint32_t owner = core->current.holders[CF_BUCKET (route->key)][0].member;
  bool entry = flow && flow->kind == CF_FLOW_ENTRY;

  if (route->packet->icmp_error)
    return route_error (core, route, flow, owner);
  if (!entry && is_direct (core, route))
    return route_direct (core, route, flow);
  if (owner == 0 || route->decide)
    return route_as_owner (core, route, flow);
  if (entry && holder_may_follow (core, route, flow))
    return forward_recorded (core, route, flow);
  return transfer_to_owner (core, route, owner);
}
