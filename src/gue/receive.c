#include "internal.h"

#include <string.h>

/* Entry points for packets from the fabric, from other VMs and from the queue of parked ones. */

void
cf_detect_pause (struct CfCore *core, CfMillis now)
{
  if (now - core->last_tick <= CF_PAUSE_LIMIT_MS)
    return;
  core->last_tick = now;
  core->resumed_at = now;
  if (core->state != PEER_LEAVING)
    cf_members_resume (core, now);
}

/* Looks up the service of the route's packet and the upstreams that the flow prefers.  Returns
 * CF_DROP_NONE, or the reason to drop the packet. */
static enum CfDrop
classify (struct CfCore *core, struct CfRoute *route)
{
  const struct CfPacket *packet = route->packet;
  const struct CfService *service;

  if (!core->config)
    return CF_DROP_NO_CONFIG;
  /* The packet waited in a queue during the pause.  Its caller has retransmitted it meanwhile, so
   * it could open its flow twice. */
  if (route->now - core->resumed_at < CF_RESUME_DISCARD_MS)
    return CF_DROP_DOUBT;
  service = cf_config_find_service (core->config, &packet->service, packet->protocol);
  if (!service)
    return CF_DROP_NO_SERVICE;
  route->service = cf_service_state (core, service);
  route->key = cf_flow_key (core, service, packet);
  route->opens = packet->flags & CF_PACKET_SYN;
  cf_choose_preferred (route->service, route->key, &route->implied, &route->first);
  return CF_DROP_NONE;
}

static enum CfVerdict
dispatch (struct CfCore *core, struct CfRoute *route)
{
  if (route->implied == CF_NO_SLOT)
    return cf_route_refuse (core, route, CF_VERDICT_MAY_HAVE_RUN);
  return core->policy->use_owners ? cf_route (core, route) : cf_route_baseline (core, route);
}

static enum CfVerdict
count_and_dispatch (struct CfCore *core, struct CfRoute *route)
{
  struct CfServiceStats *stats = route->service->stats;

  stats->packets++;
  stats->bytes += route->packet->len;
  cf_histogram_add (&stats->packet_bytes, route->packet->len);
  return dispatch (core, route);
}

enum CfVerdict
cf_core_packet (struct CfCore *core,
                const uint8_t *data,
                size_t len,
                const struct CfAddress *reply,
                CfMillis now)
{
  struct CfPacket packet = { .reply = *reply };
  struct CfRoute route = { .packet = &packet, .now = now };
  enum CfDrop drop;

  cf_detect_pause (core, now);
  core->stats.counter[CF_COUNT_FABRIC_PACKETS]++;
  core->stats.counter[CF_COUNT_FABRIC_BYTES] += len;
  drop = cf_packet_parse (data, len, &packet);
  if (drop == CF_DROP_NONE)
    drop = classify (core, &route);
  return drop == CF_DROP_NONE ? count_and_dispatch (core, &route) : cf_route_drop (core, drop);
}

enum CfVerdict
cf_core_transferred (struct CfCore *core,
                     const uint8_t *data,
                     size_t len,
                     const struct peer_transfer *transfer,
                     CfMillis now)
{
  struct CfPacket packet = { .reply = { .port = (uint16_t) transfer->reply_port } };
  struct CfRoute route = {
    .packet = &packet,
    .hops = transfer->hops,
    .from = transfer->from,
    .decide = transfer->flags & CF_TRANSFER_DECIDE,
    .now = now,
  };
  enum CfDrop drop;

  cf_detect_pause (core, now);
  memcpy (packet.reply.ip, transfer->reply_address, sizeof packet.reply.ip);
  core->stats.counter[CF_COUNT_TRANSFERS_RECEIVED]++;
  drop = cf_packet_parse (data, len, &packet);
  if (drop == CF_DROP_NONE)
    drop = classify (core, &route);
  if (drop == CF_DROP_NONE
      && (transfer->service != route.service->service->id || transfer->key != route.key))
    drop = CF_DROP_TRANSFER;
  return drop == CF_DROP_NONE ? count_and_dispatch (core, &route) : cf_route_drop (core, drop);
}

static void
retry (struct CfCore *core, struct CfParked *parked, CfMillis now)
{
  struct CfPacket packet = { .reply = parked->reply };
  struct CfRoute route
      = { .packet = &packet, .hops = parked->hops, .decide = parked->decide, .now = now };

  parked->used = false;
  core->retrying = parked;
  if (cf_packet_parse (parked->data, parked->len, &packet) == CF_DROP_NONE
      && classify (core, &route) == CF_DROP_NONE)
    dispatch (core, &route);
  core->retrying = NULL;
  core->parked_count -= !parked->used;
}

void
cf_park_retry (struct CfCore *core, CfMillis now)
{
  /* An unused element keeps its bytes until the next packet is parked, since the
   * outputs may still refer to them. */
  for (uint32_t i = 0; i < CF_PARKED_MAX && core->parked_count; i++)
    if (core->parked[i].used)
      retry (core, &core->parked[i], now);
}
