#include "fleet_internal.h"
#include "packets.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Callers and the fabric of the test fleet. */

#define FABRIC_DELAY_MS 1
#define ANSWER_DELAY_MS 2
#define OPEN_RETRY_MS 1000 /* doubled with every retransmission, up to RETRY_MAX_MS */
#define OPEN_TRIES 7       /* RFC 1122 wants three minutes; these are 45 s */
#define DATA_RETRY_MS 300
#define DATA_TRIES 15 /* more than 100 s, as RFC 1122, section 4.2.3.5, wants of TCP */
#define RETRY_MAX_MS 10000
#define PORT_BASE 1024
#define PORT_BITS 14
#define IPV4_MAPPED "\0\0\0\0\0\0\0\0\0\0\xff\xff"
#define IPV6_CALLERS "\x20\x01\x0d\xb8\0\0\0\0\0\0\0\0"

/* Sets CALLER to the address of FLOW's caller, in the address family of SERVICE. */
static void
caller_of (uint32_t flow, const struct CfAddress *service, struct CfAddress *caller)
{
  uint32_t host = flow >> PORT_BITS;

  *caller = (struct CfAddress){ .ip = { [12] = 11,
                                        [13] = (uint8_t) (host >> 16),
                                        [14] = (uint8_t) (host >> 8),
                                        [15] = (uint8_t) host },
                                .port = (uint16_t) (PORT_BASE + (flow & ((1 << PORT_BITS) - 1))) };
  memcpy (caller->ip, cf_address_is_ipv4 (service) ? IPV4_MAPPED : IPV6_CALLERS, 12);
}

uint32_t
fleet_flow_of (const struct CfPacket *packet)
{
  const uint8_t *ip = packet->caller.ip + 12;
  uint32_t host = (uint32_t) ip[1] << 16 | (uint32_t) ip[2] << 8 | ip[3];

  return host << PORT_BITS | (uint32_t) (packet->caller.port - PORT_BASE);
}

/* The fabric. */

static void
deliver_from_fabric (void *context, void *payload)
{
  struct FleetVm *vm = context;
  const struct FleetPacket *packet = payload;
  static const struct CfAddress reply = { .port = 6080 };
  CfMillis now = test_network_now (vm->fleet->network);

  if (!vm->core)
    return;
  if (now < vm->paused_until)
    {
      test_network_at (vm->fleet->network, vm->paused_until, deliver_from_fabric, vm,
                       g_memdup2 (packet, sizeof *packet), g_free);
      return;
    }
  cf_core_packet (vm->core, packet->data, packet->len, &reply, now);
  cf_core_flush (vm->core, now);
}

void
fleet_to_fabric (struct Fleet *fleet, const struct FleetPacket *packet)
{
  uint32_t count = 0;
  uint32_t pick;

  for (uint32_t i = 0; i < fleet->spec.vms; i++)
    count += fleet->vms[i].in_fabric;
  if (count == 0)
    return;
  pick = (uint32_t) g_rand_int_range (test_network_random (fleet->network), 0, (gint32) count);
  for (uint32_t i = 0; i < fleet->spec.vms; i++)
    if (fleet->vms[i].in_fabric && pick-- == 0)
      {
        if (fleet->send)
          {
            fleet->send (fleet->send_context, i, packet->data, packet->len);
            return;
          }
        test_network_at (fleet->network,
                         test_network_now (fleet->network) + FABRIC_DELAY_MS
                             + g_rand_int_range (test_network_random (fleet->network), 0, 2),
                         deliver_from_fabric, &fleet->vms[i], g_memdup2 (packet, sizeof *packet),
                         g_free);
        return;
      }
}

/* Callers. */

struct FlowEvent
{
  uint32_t flow;
  uint32_t sent; /* for a retransmission: number of the packet */
  enum FleetAnswer answer;
  int32_t upstream;
};

static void
send_packet (struct Fleet *fleet, uint32_t index, uint8_t flags)
{
  const struct FleetFlow *flow = fleet_flow_at (fleet, index);
  struct FleetPacket packet = { 0 };
  struct CfAddress caller;
  uint8_t data[CF_PACKET_MAX];

  caller_of (index, &fleet->services[flow->service], &caller);
  packet.len = test_packet_build (&caller, &fleet->services[flow->service],
                                  flow->udp ? CF_PROTOCOL_UDP : CF_PROTOCOL_TCP, flags, 32, data);
  memcpy (packet.data, data, packet.len);
  fleet_to_fabric (fleet, &packet);
}

void
fleet_finish (struct Fleet *fleet, struct FleetFlow *flow, enum FlowState state)
{
  if (state == FLOW_BROKEN && flow->upstream >= 0)
    {
      const struct FleetUpstream *upstream = &fleet->upstreams[flow->upstream];

      /* A flow that ends in a failure domain that was taken out, or at an upstream that
       * restarted after the flow's first packet, is not a fault of the fleet. */
      if (upstream->last_out >= flow->opened_at || upstream->out_at >= 0 || upstream->down
          || upstream->start_time >= flow->opened_at)
        state = FLOW_UPSTREAM_LOST;
    }
  flow->state = state;
  fleet->count.done += state == FLOW_DONE;
  fleet->count.broken += state == FLOW_BROKEN;
  fleet->count.upstream_lost += state == FLOW_UPSTREAM_LOST;
  fleet->count.refused += state == FLOW_REFUSED;
}

static void schedule (struct Fleet *fleet, uint32_t index, CfMillis wait, TestHandler *handler);

static void
retransmit (void *context, void *payload)
{
  struct Fleet *fleet = context;
  const struct FlowEvent *event = payload;
  struct FleetFlow *flow = fleet_flow_at (fleet, event->flow);
  bool opening = flow->state == FLOW_OPENING;

  if (event->sent != flow->sent || (flow->state != FLOW_OPEN && !opening)
      || (!opening && flow->acked == flow->sent))
    return;
  if (++flow->tries >= (opening ? OPEN_TRIES : DATA_TRIES))
    {
      fleet->count.unanswered += opening;
      if (fleet->trace)
        printf ("%8" G_GINT64_FORMAT " flow %u at %d times out\n",
                test_network_now (fleet->network), event->flow, flow->upstream);
      fleet_finish (fleet, flow, opening ? FLOW_REFUSED : FLOW_BROKEN);
      return;
    }
  fleet->count.delayed += opening && flow->tries == 1;
  send_packet (fleet, event->flow, opening ? CF_PACKET_SYN : CF_PACKET_ACK);
  flow->wait = MIN (flow->wait * 2, RETRY_MAX_MS);
  schedule (fleet, event->flow, flow->wait, retransmit);
}

static void
schedule (struct Fleet *fleet, uint32_t index, CfMillis wait, TestHandler *handler)
{
  struct FlowEvent *event = g_new0 (struct FlowEvent, 1);

  event->flow = index;
  event->sent = fleet_flow_at (fleet, index)->sent;
  test_network_at (fleet->network, test_network_now (fleet->network) + wait, handler, fleet, event,
                   g_free);
}

static void
send_data (struct Fleet *fleet, uint32_t index)
{
  struct FleetFlow *flow = fleet_flow_at (fleet, index);

  flow->sent++;
  flow->tries = 0;
  flow->wait = DATA_RETRY_MS;
  send_packet (fleet, index, CF_PACKET_ACK);
  schedule (fleet, index, flow->wait, retransmit);
}

static void
next_packet (void *context, void *payload)
{
  struct Fleet *fleet = context;
  const struct FlowEvent *event = payload;
  struct FleetFlow *flow = fleet_flow_at (fleet, event->flow);
  CfMillis now = test_network_now (fleet->network);

  if (flow->state != FLOW_OPEN)
    return;
  if (now >= flow->ends_at && flow->acked == flow->sent)
    {
      send_packet (fleet, event->flow, CF_PACKET_FIN | CF_PACKET_ACK);
      fleet_finish (fleet, flow, FLOW_DONE);
      return;
    }
  if (flow->acked == flow->sent)
    send_data (fleet, event->flow);
  schedule (fleet, event->flow, fleet->traffic.gap, next_packet);
}

void
fleet_icmp_errors (struct Fleet *fleet)
{
  for (guint i = 0; i < fleet->flows->len; i++)
    {
      const struct FleetFlow *flow = fleet_flow_at (fleet, i);
      struct FleetPacket packet = { 0 };
      struct CfAddress caller;
      uint8_t data[CF_PACKET_MAX];

      if (flow->state != FLOW_OPEN)
        continue;
      caller_of (i, &fleet->services[flow->service], &caller);
      packet.len = test_packet_too_big (&caller, &fleet->services[flow->service],
                                        flow->udp ? CF_PROTOCOL_UDP : CF_PROTOCOL_TCP, data);
      memcpy (packet.data, data, packet.len);
      fleet_to_fabric (fleet, &packet);
      fleet->count.icmp_sent++;
    }
}

void
fleet_send_data (struct Fleet *fleet, struct FleetFlow *flow)
{
  for (guint i = 0; i < fleet->flows->len; i++)
    if (fleet->flows->pdata[i] == flow)
      send_data (fleet, i);
}

static void
handle_answer (void *context, void *payload)
{
  struct Fleet *fleet = context;
  const struct FlowEvent *event = payload;
  struct FleetFlow *flow = fleet_flow_at (fleet, event->flow);

  if (flow->state != FLOW_OPENING && flow->state != FLOW_OPEN)
    return;
  switch (event->answer)
    {
    case ANSWER_OPENED:
      if (flow->state == FLOW_OPEN)
        return;
      flow->state = FLOW_OPEN;
      flow->answered_at = test_network_now (fleet->network);
      flow->upstream = event->upstream;
      fleet->count.opened++;
      send_packet (fleet, event->flow, CF_PACKET_ACK);
      if (!flow->silent)
        {
          send_data (fleet, event->flow);
          schedule (fleet, event->flow, fleet->traffic.gap, next_packet);
        }
      return;
    case ANSWER_ACK:
      if (event->upstream == flow->upstream)
        flow->acked = flow->sent;
      return;
    case ANSWER_REFUSED_NOT_RUN:
    case ANSWER_REFUSED:
      if (event->answer == ANSWER_REFUSED_NOT_RUN && flow->first_seen >= 0)
        fleet->count.false_not_run++;
      fleet_finish (fleet, flow, flow->state == FLOW_OPENING ? FLOW_REFUSED : FLOW_BROKEN);
      return;
    case ANSWER_RESET:
      if (fleet->trace)
        printf ("%8" G_GINT64_FORMAT " flow %u of upstream %d is reset by upstream %d\n",
                test_network_now (fleet->network), event->flow, flow->upstream, event->upstream);
      fleet_finish (fleet, flow, flow->state == FLOW_OPENING ? FLOW_REFUSED : FLOW_BROKEN);
      return;
    }
}

void
fleet_answer (struct Fleet *fleet, uint32_t flow, enum FleetAnswer answer, int32_t upstream)
{
  struct FlowEvent *event = g_new0 (struct FlowEvent, 1);

  *event = (struct FlowEvent){ .flow = flow, .answer = answer, .upstream = upstream };
  test_network_at (fleet->network, test_network_now (fleet->network) + ANSWER_DELAY_MS,
                   handle_answer, fleet, event, g_free);
}

struct FleetFlow *
fleet_open (struct Fleet *fleet, uint32_t service, CfMillis life, CfMillis gap)
{
  struct FleetFlow *flow = g_new0 (struct FleetFlow, 1);
  CfMillis now = test_network_now (fleet->network);

  *flow = (struct FleetFlow){
    .service = (uint8_t) service,
    .udp = fleet->spec.udp,
    .silent = gap == 0,
    .upstream = -1,
    .first_seen = -1,
    .opened_at = now,
    .ends_at = now + life,
    .wait = OPEN_RETRY_MS,
  };
  g_ptr_array_add (fleet->flows, flow);
  send_packet (fleet, fleet->flows->len - 1, CF_PACKET_SYN);
  schedule (fleet, fleet->flows->len - 1, flow->wait, retransmit);
  return flow;
}

static void
new_flows (void *context, void *payload)
{
  struct Fleet *fleet = context;
  GRand *random = test_network_random (fleet->network);
  double rate = fleet->traffic.flows_per_s;
  double now = (double) test_network_now (fleet->network);
  double wait = rate > 0 ? -1000 / rate * log (1 - g_rand_double (random)) : 100;

  (void) payload;
  if (rate > 0)
    fleet_open (fleet, g_rand_int_range (random, 0, 4) == 0,
                g_rand_int_range (random, (gint32) fleet->traffic.life_min,
                                  (gint32) fleet->traffic.life_max + 1),
                fleet->traffic.gap);
  fleet->next_flow = MAX (fleet->next_flow, now) + wait;
  test_network_at (fleet->network, (CfMillis) fleet->next_flow, new_flows, fleet, NULL, NULL);
}

void
fleet_traffic_start (struct Fleet *fleet)
{
  new_flows (fleet, NULL);
}

void
fleet_set_traffic (struct Fleet *fleet, const struct FleetTraffic *traffic)
{
  fleet->traffic = *traffic;
}
