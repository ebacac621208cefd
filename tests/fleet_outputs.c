#include "fleet_internal.h"

#include <stdio.h>
#include <string.h>

#include "peer/codec.h"

/* The outputs of the cores in the test fleet. */

#define UDP_IP_BYTES 28
#define TRANSFER_HEADER_BYTES (UDP_IP_BYTES + CF_GUE_HEADER_LEN + CF_TRANSFER_OPTIONS)

static const struct CfPeerKeys keys;

static uint32_t
vm_by_address (const struct CfAddress *address)
{
  return (uint32_t) (address->ip[14] << 8 | address->ip[15]) - 1;
}

static void
deliver_to_upstream (void *context, void *payload)
{
  struct FleetUpstream *upstream = context;

  fleet_upstream_receive (upstream->fleet, upstream->index, payload);
}

/* Prints what each VM knows of the flow of PACKET.  ACTION names what VM did with
 * it. */
static void
trace_flow (struct FleetVm *vm, const struct CfPacket *packet, const char *action)
{
  const struct FleetFlow *flow = vm->fleet->flows->pdata[fleet_flow_of (packet)];
  CfMillis now = test_network_now (vm->fleet->network);
  GString *text = g_string_new (NULL);

  printf ("%8" G_GINT64_FORMAT " vm-%u (state %d, settled %d) %s flow %u of %d\n", now, vm->index,
          cf_core_state (vm->core), cf_core_settled (vm->core), action, fleet_flow_of (packet),
          flow->upstream);
  for (uint32_t i = 0; i < vm->fleet->spec.vms; i++)
    {
      char *end;

      if (!vm->fleet->vms[i].core)
        continue;
      g_string_truncate (text, 0);
      cf_core_explain (vm->fleet->vms[i].core, &packet->caller, &packet->service, packet->protocol,
                       text, now);
      end = strstr (text->str, "preference");
      if (end)
        *end = '\0';
      printf ("    vm-%u: %s", i, text->str);
    }
  g_string_free (text, TRUE);
}

static void
trace_forward (struct FleetVm *vm, const struct CfPacket *packet, uint32_t index)
{
  const struct FleetFlow *flow = vm->fleet->flows->pdata[fleet_flow_of (packet)];
  CfMillis closed_at = vm->fleet->upstreams[index].closed_at;
  bool late = closed_at >= 0 && test_network_now (vm->fleet->network) > closed_at;
  bool first = packet->flags & CF_PACKET_SYN;

  if (first && late && flow->first_seen < 0)
    trace_flow (vm, packet, "opens late");
  if (!first && flow->state == FLOW_OPEN && flow->upstream != (int32_t) index)
    trace_flow (vm, packet, "sends to the wrong upstream");
}

static void
out_forward (void *context, const struct CfPacket *packet, const struct CfUpstream *upstream)
{
  struct FleetVm *vm = context;
  struct Fleet *fleet = vm->fleet;
  uint32_t index = (uint32_t) (upstream->tunnel.ip[14] << 8 | upstream->tunnel.ip[15]) - 1;
  struct FleetPacket copy = { .target = index, .len = packet->len };

  memcpy (copy.data, packet->data, packet->len);
  if (fleet->trace)
    trace_forward (vm, packet, index);
  test_network_at (fleet->network, test_network_now (fleet->network) + 1, deliver_to_upstream,
                   &fleet->upstreams[index], g_memdup2 (&copy, sizeof copy), g_free);
}

static void
deliver_transfer (void *context, void *payload)
{
  struct FleetVm *vm = context;
  const struct FleetPacket *packet = payload;
  CfMillis now = test_network_now (vm->fleet->network);

  if (!vm->core)
    return;
  if (now < vm->paused_until)
    {
      test_network_at (vm->fleet->network, vm->paused_until, deliver_transfer, vm,
                       g_memdup2 (packet, sizeof *packet), g_free);
      return;
    }
  cf_core_transferred (vm->core, packet->data, packet->len, &packet->transfer, now);
  cf_core_flush (vm->core, now);
}

static void
out_transfer (void *context,
              const struct CfPacket *packet,
              const struct peer_transfer *transfer,
              const struct CfAddress *address)
{
  struct FleetVm *vm = context;
  uint32_t to = vm_by_address (address);
  struct FleetPacket copy = { .target = to, .len = packet->len, .transfer = *transfer };

  memcpy (copy.data, packet->data, packet->len);
  vm->transfer_bytes += TRANSFER_HEADER_BYTES + packet->len;
  test_network_send (vm->fleet->network, vm->index, to, deliver_transfer, &vm->fleet->vms[to],
                     &copy, sizeof copy);
}

static void
out_refuse (void *context, const struct CfPacket *packet, enum CfVerdict verdict)
{
  struct FleetVm *vm = context;
  const struct FleetFlow *flow = vm->fleet->flows->pdata[fleet_flow_of (packet)];

  if (vm->fleet->trace && flow->state == FLOW_OPEN
      && vm->fleet->upstreams[flow->upstream].out_at < 0)
    trace_flow (vm, packet, "refuses");
  fleet_answer (vm->fleet, fleet_flow_of (packet),
                verdict == CF_VERDICT_NOT_RUN ? ANSWER_REFUSED_NOT_RUN : ANSWER_REFUSED, -1);
}

struct Datagram
{
  size_t len;
  uint8_t data[];
};

static void
deliver_peer (void *context, void *payload)
{
  struct FleetVm *vm = context;
  struct Datagram *datagram = payload;
  struct peer_envelope envelope;
  CfMillis now = test_network_now (vm->fleet->network);
  uint32_t xid;

  if (!vm->core)
    return;
  if (now < vm->paused_until)
    {
      test_network_at (vm->fleet->network, vm->paused_until, deliver_peer, vm,
                       g_memdup2 (datagram, sizeof *datagram + datagram->len), g_free);
      return;
    }
  if (cf_peer_decode (&keys, datagram->data, datagram->len, &xid, &envelope) != CF_PEER_OK)
    g_error ("a datagram between VMs could not be decoded");
  cf_core_peer (vm->core, &envelope, now);
  cf_peer_release (&envelope);
}

static void
out_send_peer (void *context, const struct CfAddress *address, const struct peer_message *message)
{
  struct FleetVm *vm = context;
  char name[32];
  struct peer_envelope envelope = { .message = *message };
  struct Datagram *datagram = g_malloc (sizeof *datagram + CF_PEER_DATAGRAM_MAX);
  uint32_t to = vm_by_address (address);

  snprintf (name, sizeof name, "vm-%u", vm->index);
  envelope.vm = cf_name_id (name);
  envelope.incarnation = cf_core_incarnation (vm->core);
  datagram->len = cf_peer_encode (&keys, 0, &envelope, datagram->data, CF_PEER_DATAGRAM_MAX);
  vm->peer_bytes += datagram->len + UDP_IP_BYTES;
  test_network_send (vm->fleet->network, vm->index, to, deliver_peer, &vm->fleet->vms[to], datagram,
                     sizeof *datagram + datagram->len);
  g_free (datagram);
}

static void
out_probe (void *context, const uint32_t *upstreams, uint32_t count)
{
  struct FleetVm *vm = context;

  g_array_set_size (vm->probes, 0);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t id = cf_core_config (vm->core)->upstreams[upstreams[i]].id;

      g_array_append_val (vm->probes, id);
    }
}

static void
out_watch (void *context, bool watch)
{
  ((struct FleetVm *) context)->watching = watch;
}

static void
out_config (void *context, const struct CfConfig *config)
{
  (void) context;
  (void) config;
}

static void
out_state (void *context, enum peer_state state, bool may_stop)
{
  struct FleetVm *vm = context;

  if (vm->fleet->trace)
    printf ("%8" G_GINT64_FORMAT " vm-%u state %d%s\n", test_network_now (vm->fleet->network),
            vm->index, state, may_stop ? " may stop" : "");
  vm->may_stop = may_stop;
}

const struct CfCoreOutputs fleet_outputs = {
  .forward = out_forward,
  .transfer = out_transfer,
  .refuse = out_refuse,
  .send_peer = out_send_peer,
  .probe = out_probe,
  .watch_platform = out_watch,
  .config_changed = out_config,
  .state_changed = out_state,
};
