#include "simulation.h"

#include <string.h>

#define FLOW_LIFETIME_MS 60000
#define FIRST_ACK 0xfffffff0 /* sequence numbers wrap around */
#define FIRST_SEQ 0xffffff80
#define REQUEST_BYTES 100

enum SimEventKind
{
  EVENT_RETRANSMIT, /* a caller retransmits its first packet */
  EVENT_FOLLOW_UP,  /* a caller sends the second packet of its flow */
};

struct SimEvent
{
  CfMillis at;
  enum SimEventKind kind;
  struct SimFlow *flow;
  uint32_t cookie;
  uint16_t retransmit_count;
};

static void
add_event (struct Simulation *sim, const struct SimEvent *event)
{
  guint i = sim->events->len;

  while (i > 0 && g_array_index (sim->events, struct SimEvent, i - 1).at > event->at)
    i--;
  g_array_insert_vals (sim->events, i, event, 1);
}

/* Packet format of the tests: the caller's address and port, then padding to the size of a real
 * packet. */
static void
pack (const struct SimFlow *flow, uint8_t bytes[32])
{
  memset (bytes, 0, 32);
  memcpy (bytes, &flow->caller, sizeof flow->caller);
}

static struct SimFlow *
find_flow (struct Simulation *sim, const uint8_t *bytes)
{
  struct CfEndpoint caller;

  memcpy (&caller, bytes, sizeof caller);
  for (guint i = sim->flows->len; i > 0; i--)
    {
      struct SimFlow *flow = sim->flows->pdata[i - 1];

      if (cf_endpoint_equal (flow->caller, caller))
        return flow;
    }
  return NULL;
}

static void
record_first_packet (struct Simulation *sim, const char *id)
{
  GArray *times = g_hash_table_lookup (sim->first_packets, id);

  if (!times)
    {
      times = g_array_new (FALSE, FALSE, sizeof (CfMillis));
      g_hash_table_insert (sim->first_packets, g_strdup (id), times);
    }
  g_array_append_val (times, sim->now);
}

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  struct Simulation *sim = context;
  struct SimFlow *flow = find_flow (sim, bytes);

  (void) size;
  sim->forwarded++;
  sim->last = target;
  if (!flow || flow->opened_at >= 0)
    return;
  record_first_packet (sim, target->id);
  if (!g_hash_table_contains (sim->unresponsive, target->id))
    add_event (sim, &(struct SimEvent){ .at = sim->now + sim->round_trip,
                                        .kind = EVENT_FOLLOW_UP,
                                        .flow = flow,
                                        .cookie = target->cookie });
}

static void
hand_on (void *context, const struct CfSegment *segment, uint32_t ip)
{
  struct Simulation *sim = context;

  (void) segment;
  (void) ip;
  sim->handed_on++;
}

static void
reset (void *context, const struct CfSegment *segment)
{
  struct Simulation *sim = context;
  struct SimFlow *flow = find_flow (sim, segment->bytes);

  sim->resets++;
  if (flow)
    flow->reset = true;
}

static void
decided (void *context, const struct CfDecision *decision)
{
  struct Simulation *sim = context;

  sim->decision = *decision;
}

static const struct CfBalanceOutputs outputs = {
  .forward = forward,
  .hand_on = hand_on,
  .reset = reset,
  .decided = decided,
};

static void
free_times (gpointer times)
{
  g_array_unref (times);
}

struct Simulation *
sim_new (void)
{
  struct Simulation *sim = g_new0 (struct Simulation, 1);

  sim->now = 10000;
  sim->balances = g_ptr_array_new ();
  sim->unresponsive = g_hash_table_new (g_str_hash, g_str_equal);
  sim->first_packets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_times);
  sim->flows = g_ptr_array_new_with_free_func (g_free);
  sim->events = g_array_new (FALSE, FALSE, sizeof (struct SimEvent));
  sim->next_port = 1024;
  sim->round_trip = 4;
  return sim;
}

void
sim_free (struct Simulation *sim)
{
  for (guint i = 0; i < sim->balances->len; i++)
    cf_balance_free (sim->balances->pdata[i]);
  g_ptr_array_unref (sim->balances);
  g_hash_table_unref (sim->unresponsive);
  g_hash_table_unref (sim->first_packets);
  g_ptr_array_unref (sim->flows);
  g_array_unref (sim->events);
  g_free (sim);
}

static void
add_route (struct CfManifest *manifest, uint16_t port, const char *service)
{
  struct CfRouteEntry route = {
    .address = { .ip = SIM_SERVICE_IP, .port = port },
    .idempotent = port == 80,
    .splits = { { .service = g_quark_from_string (service), .weight = 1 } },
    .split_count = 1,
  };

  g_array_append_val (manifest->routes, route);
}

static void
add_service (struct CfManifest *manifest, const char *service, double cold_per_s)
{
  struct CfServiceTraits traits = {
    .name = g_quark_from_string (service),
    .cold_per_s = cold_per_s,
    .cold_ms = 2000,
  };

  g_array_append_val (manifest->services, traits);
}

struct CfManifest *
sim_manifest (uint64_t version, double cold_per_s, bool second)
{
  struct CfManifest *manifest = cf_manifest_new ();

  manifest->version = version;
  manifest->flow_idle_ms = 15000;
  add_route (manifest, 80, "s");
  if (second)
    add_route (manifest, 81, "t");
  add_service (manifest, "s", cold_per_s);
  add_service (manifest, "t", cold_per_s);
  return manifest;
}

struct CfBalance *
sim_add_vm (struct Simulation *sim, const char *domain, double cold_per_s)
{
  return sim_add_vm_with_lifetime (sim, domain, cold_per_s, FLOW_LIFETIME_MS);
}

static struct CfBalance *
add_vm (struct Simulation *sim, const char *domain, CfMillis lifetime_ms)
{
  struct CfBalance *balance = cf_balance_new (
      &(struct CfBalanceOptions){
          .domain = domain,
          .seed = sim->balances->len + 1,
          .flow_lifetime_ms = lifetime_ms,
          .admission = sim->admission,
      },
      &outputs, sim);

  g_ptr_array_add (sim->balances, balance);
  return balance;
}

struct CfBalance *
sim_add_unsynced_vm (struct Simulation *sim, const char *domain)
{
  return add_vm (sim, domain, FLOW_LIFETIME_MS);
}

struct CfBalance *
sim_add_vm_with_lifetime (struct Simulation *sim,
                          const char *domain,
                          double cold_per_s,
                          CfMillis lifetime_ms)
{
  struct CfBalance *balance = add_vm (sim, domain, lifetime_ms);
  struct CfManifest *manifest = sim_manifest (1, cold_per_s, true);

  cf_balance_manifest (balance, manifest);
  cf_manifest_free (manifest);
  cf_balance_synced (balance, sim->now);
  return balance;
}

void
sim_add_upstream (struct Simulation *sim,
                  struct CfBalance *balance,
                  const char *id,
                  const char *service,
                  const char *domain,
                  CfMillis cold_ms)
{
  struct CfAnnouncement announcement = {
    .id = id,
    .tag = 1,
    .service = service,
    .domain = domain,
    .address = { .ip = g_str_hash (id), .port = 1 },
    .slots = 2,
    .cold_ms = cold_ms,
    .started = sim->now,
    .revision = (uint64_t) sim->now,
  };

  for (guint i = 0; i < sim->balances->len; i++)
    if (!balance || balance == sim->balances->pdata[i])
      cf_directory_announce (cf_balance_directory (sim->balances->pdata[i]), &announcement,
                             sim->now);
}

static void
send (
    struct SimFlow *flow, uint16_t port, unsigned flags, uint32_t cookie, uint16_t retransmit_count)
{
  uint8_t bytes[32];
  struct CfSegment segment = {
    .caller = flow->caller,
    .service = { .ip = SIM_SERVICE_IP, .port = port },
    .flags = flags,
    .cookie = cookie,
    .seq = FIRST_SEQ + flow->sent,
    .ack = flags & CF_SEGMENT_ACK ? FIRST_ACK + flow->acknowledged : 0,
    .retransmit_count = retransmit_count,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  pack (flow, bytes);
  cf_balance_segment (flow->balance, &segment, flow->sim->now);
}

/* Callers of port 81 have odd addresses. */
static uint16_t
port_of (const struct SimFlow *flow)
{
  return (uint16_t) (80 + (flow->caller.ip & 1));
}

static void
send_data (struct SimFlow *flow, uint32_t data)
{
  uint8_t bytes[32];
  struct CfSegment segment = {
    .caller = flow->caller,
    .service = { .ip = SIM_SERVICE_IP, .port = port_of (flow) },
    .flags = CF_SEGMENT_ACK,
    .cookie = flow->target->cookie,
    .seq = FIRST_SEQ + flow->sent - data,
    .ack = FIRST_ACK + flow->acknowledged,
    .data = data,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  pack (flow, bytes);
  cf_balance_segment (flow->balance, &segment, flow->sim->now);
}

void
sim_send_request (struct SimFlow *flow)
{
  flow->sent += REQUEST_BYTES;
  send_data (flow, REQUEST_BYTES);
}

void
sim_repeat_request (struct SimFlow *flow)
{
  send_data (flow, REQUEST_BYTES);
}

void
sim_acknowledge (struct SimFlow *flow, uint32_t bytes)
{
  flow->acknowledged += bytes;
  send_data (flow, 0);
}

struct SimFlow *
sim_open_flow (struct Simulation *sim, struct CfBalance *balance, uint16_t port)
{
  struct SimFlow *flow = g_new0 (struct SimFlow, 1);
  const CfMillis retransmits[] = { SIM_RETRANSMIT_MS, SIM_SECOND_RETRANSMIT_MS };

  flow->sim = sim;
  flow->balance = balance;
  flow->caller.ip = (0x64400000 + (sim->next_port % SIM_CALLERS << 1)) | (port == 81);
  flow->caller.port = (uint16_t) (1024 + sim->next_port++ % 32768);
  flow->begun_at = sim->now;
  flow->opened_at = -1;
  g_ptr_array_add (sim->flows, flow);
  for (uint16_t i = 0; i < 2; i++)
    add_event (sim, &(struct SimEvent){ .at = sim->now + retransmits[i],
                                        .kind = EVENT_RETRANSMIT,
                                        .flow = flow,
                                        .retransmit_count = (uint16_t) (i + 1) });
  send (flow, port, CF_SEGMENT_SYN, 0, 0);
  return flow;
}

void
sim_close_flow (struct SimFlow *flow)
{
  if (flow->target)
    send (flow, port_of (flow), CF_SEGMENT_FIN | CF_SEGMENT_ACK, flow->target->cookie, 0);
}

static void
handle (struct Simulation *sim, const struct SimEvent *event)
{
  struct SimFlow *flow = event->flow;

  if (flow->reset || flow->opened_at >= 0)
    return;
  if (event->kind == EVENT_RETRANSMIT)
    {
      send (flow, port_of (flow), CF_SEGMENT_SYN, 0, event->retransmit_count);
      return;
    }
  flow->opened_at = sim->now;
  if (sim->request_at_once)
    {
      flow->target = cf_directory_by_cookie (cf_balance_directory (flow->balance), event->cookie);
      sim_send_request (flow);
      return;
    }
  send (flow, port_of (flow), CF_SEGMENT_ACK, event->cookie, 0);
  flow->target = sim->last;
}

void
sim_run (struct Simulation *sim, CfMillis until)
{
  while (sim->now < until)
    {
      while (sim->events->len > 0 && g_array_index (sim->events, struct SimEvent, 0).at <= sim->now)
        {
          struct SimEvent event = g_array_index (sim->events, struct SimEvent, 0);

          g_array_remove_index (sim->events, 0);
          handle (sim, &event);
        }
      for (guint i = 0; i < sim->balances->len; i++)
        cf_balance_tick (sim->balances->pdata[i], sim->now);
      sim->now++;
    }
}

uint32_t
sim_count_first_packets (struct Simulation *sim, const char *id, CfMillis from, CfMillis to)
{
  GArray *times = g_hash_table_lookup (sim->first_packets, id);
  uint32_t count = 0;

  for (guint i = 0; times && i < times->len; i++)
    {
      CfMillis at = g_array_index (times, CfMillis, i);

      count += at >= from && at < to;
    }
  return count;
}
