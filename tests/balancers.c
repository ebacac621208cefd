#include "balancers.h"

#include <string.h>

#define FLOW_LIFE_MS 60000
#define FIRST_ACK 0xfffffff0 /* sequence numbers wrap around */

enum TestEventKind
{
  EVENT_REPEAT, /* a caller retransmits its first packet */
  EVENT_FOLLOW, /* a caller sends the second packet of its flow */
};

struct TestEvent
{
  CfMillis at;
  enum TestEventKind kind;
  struct TestFlow *flow;
  uint32_t cookie;
  uint16_t copy;
};

static void
add_event (struct TestWorld *world, const struct TestEvent *event)
{
  guint i = world->events->len;

  while (i > 0 && g_array_index (world->events, struct TestEvent, i - 1).at > event->at)
    i--;
  g_array_insert_vals (world->events, i, event, 1);
}

/* Packet format of the tests: the caller's address and port, then padding to the size of a real
 * packet. */
static void
pack (const struct TestFlow *flow, uint8_t bytes[32])
{
  memset (bytes, 0, 32);
  memcpy (bytes, &flow->caller, sizeof flow->caller);
}

static struct TestFlow *
flow_of (struct TestWorld *world, const uint8_t *bytes)
{
  struct CfEndpoint caller;

  memcpy (&caller, bytes, sizeof caller);
  for (guint i = world->flows->len; i > 0; i--)
    {
      struct TestFlow *flow = world->flows->pdata[i - 1];

      if (cf_endpoint_equal (flow->caller, caller))
        return flow;
    }
  return NULL;
}

static void
note_first (struct TestWorld *world, const char *id)
{
  GArray *times = g_hash_table_lookup (world->first_packets, id);

  if (!times)
    {
      times = g_array_new (FALSE, FALSE, sizeof (CfMillis));
      g_hash_table_insert (world->first_packets, g_strdup (id), times);
    }
  g_array_append_val (times, world->now);
}

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  struct TestWorld *world = context;
  struct TestFlow *flow = flow_of (world, bytes);

  (void) size;
  world->forwarded++;
  world->last = target;
  if (!flow || flow->opened_at >= 0)
    return;
  note_first (world, target->id);
  if (!g_hash_table_contains (world->dark, target->id))
    add_event (world, &(struct TestEvent){ .at = world->now + world->round_trip,
                                           .kind = EVENT_FOLLOW,
                                           .flow = flow,
                                           .cookie = target->cookie });
}

static void
hand_on (void *context, const struct CfSegment *segment, uint32_t ip)
{
  struct TestWorld *world = context;

  (void) segment;
  (void) ip;
  world->handed_on++;
}

static void
reset (void *context, const struct CfSegment *segment)
{
  struct TestWorld *world = context;
  struct TestFlow *flow = flow_of (world, segment->bytes);

  world->resets++;
  if (flow)
    flow->reset = true;
}

static const struct CfBalanceOutputs outputs = {
  .forward = forward,
  .hand_on = hand_on,
  .reset = reset,
};

static void
free_times (gpointer times)
{
  g_array_unref (times);
}

struct TestWorld *
test_world_new (void)
{
  struct TestWorld *world = g_new0 (struct TestWorld, 1);

  world->now = 10000;
  world->balances = g_ptr_array_new ();
  world->dark = g_hash_table_new (g_str_hash, g_str_equal);
  world->first_packets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_times);
  world->flows = g_ptr_array_new_with_free_func (g_free);
  world->events = g_array_new (FALSE, FALSE, sizeof (struct TestEvent));
  world->next_port = 1024;
  world->round_trip = 4;
  return world;
}

void
test_world_free (struct TestWorld *world)
{
  for (guint i = 0; i < world->balances->len; i++)
    cf_balance_free (world->balances->pdata[i]);
  g_ptr_array_unref (world->balances);
  g_hash_table_unref (world->dark);
  g_hash_table_unref (world->first_packets);
  g_ptr_array_unref (world->flows);
  g_array_unref (world->events);
  g_free (world);
}

static void
add_route (struct CfManifest *manifest, uint16_t port, const char *service)
{
  struct CfRouteEntry route = {
    .address = { .ip = TEST_SERVICE_IP, .port = port },
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
test_world_manifest (uint64_t version, double cold_per_s, bool second)
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
test_world_vm (struct TestWorld *world, const char *domain, double cold_per_s)
{
  return test_world_vm_living (world, domain, cold_per_s, FLOW_LIFE_MS);
}

static struct CfBalance *
add_vm (struct TestWorld *world, const char *domain, CfMillis life_ms)
{
  struct CfBalance *balance = cf_balance_new (
      &(struct CfBalanceOptions){
          .domain = domain,
          .seed = world->balances->len + 1,
          .flow_lifetime_ms = life_ms,
      },
      &outputs, world);

  g_ptr_array_add (world->balances, balance);
  return balance;
}

struct CfBalance *
test_world_started (struct TestWorld *world, const char *domain)
{
  return add_vm (world, domain, FLOW_LIFE_MS);
}

struct CfBalance *
test_world_vm_living (struct TestWorld *world,
                      const char *domain,
                      double cold_per_s,
                      CfMillis life_ms)
{
  struct CfBalance *balance = add_vm (world, domain, life_ms);
  struct CfManifest *manifest = test_world_manifest (1, cold_per_s, true);

  cf_balance_manifest (balance, manifest);
  cf_manifest_free (manifest);
  cf_balance_news (balance, world->now);
  return balance;
}

void
test_world_upstream (struct TestWorld *world,
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
    .address = { .ip = 1, .port = 1 },
    .slots = 2,
    .cold_ms = cold_ms,
    .started = world->now,
    .revision = (uint64_t) world->now,
  };

  for (guint i = 0; i < world->balances->len; i++)
    if (!balance || balance == world->balances->pdata[i])
      cf_directory_announce (cf_balance_directory (world->balances->pdata[i]), &announcement,
                             world->now);
}

static void
send (struct TestFlow *flow, uint16_t port, unsigned flags, uint32_t cookie, uint16_t copy)
{
  uint8_t bytes[32];
  struct CfSegment segment = {
    .caller = flow->caller,
    .service = { .ip = TEST_SERVICE_IP, .port = port },
    .flags = flags,
    .cookie = cookie,
    .ack = flags & CF_SEGMENT_ACK ? FIRST_ACK + flow->acknowledged : 0,
    .copy = copy,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  pack (flow, bytes);
  cf_balance_segment (flow->balance, &segment, flow->world->now);
}

/* Callers of port 81 have odd addresses. */
static uint16_t
port_of (const struct TestFlow *flow)
{
  return (uint16_t) (80 + (flow->caller.ip & 1));
}

static void
send_data (struct TestFlow *flow, uint32_t data)
{
  uint8_t bytes[32];
  struct CfSegment segment = {
    .caller = flow->caller,
    .service = { .ip = TEST_SERVICE_IP, .port = port_of (flow) },
    .flags = CF_SEGMENT_ACK,
    .cookie = flow->target->cookie,
    .ack = FIRST_ACK + flow->acknowledged,
    .data = data,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  pack (flow, bytes);
  cf_balance_segment (flow->balance, &segment, flow->world->now);
}

void
test_world_ask (struct TestFlow *flow)
{
  send_data (flow, 100);
}

void
test_world_answer (struct TestFlow *flow, uint32_t bytes)
{
  flow->acknowledged += bytes;
  send_data (flow, 0);
}

struct TestFlow *
test_world_open (struct TestWorld *world, struct CfBalance *balance, uint16_t port)
{
  struct TestFlow *flow = g_new0 (struct TestFlow, 1);
  const CfMillis retransmits[] = { TEST_REPEAT_MS, TEST_REPEAT_LATE_MS };

  flow->world = world;
  flow->balance = balance;
  flow->caller.ip = (0x64400000 + (world->next_port >> 15 << 1)) | (port == 81);
  flow->caller.port = (uint16_t) (1024 + world->next_port++ % 32768);
  flow->begun_at = world->now;
  flow->opened_at = -1;
  g_ptr_array_add (world->flows, flow);
  for (uint16_t i = 0; i < 2; i++)
    add_event (world, &(struct TestEvent){ .at = world->now + retransmits[i],
                                           .kind = EVENT_REPEAT,
                                           .flow = flow,
                                           .copy = (uint16_t) (i + 1) });
  send (flow, port, CF_SEGMENT_SYN, 0, 0);
  return flow;
}

void
test_world_close (struct TestFlow *flow)
{
  if (flow->target)
    send (flow, port_of (flow), CF_SEGMENT_FIN | CF_SEGMENT_ACK, flow->target->cookie, 0);
}

static void
handle (struct TestWorld *world, const struct TestEvent *event)
{
  struct TestFlow *flow = event->flow;

  if (flow->reset || flow->opened_at >= 0)
    return;
  if (event->kind == EVENT_REPEAT)
    {
      send (flow, port_of (flow), CF_SEGMENT_SYN, 0, event->copy);
      return;
    }
  flow->opened_at = world->now;
  send (flow, port_of (flow), CF_SEGMENT_ACK, event->cookie, 0);
  flow->target = world->last;
}

void
test_world_run (struct TestWorld *world, CfMillis until)
{
  while (world->now < until)
    {
      while (world->events->len > 0
             && g_array_index (world->events, struct TestEvent, 0).at <= world->now)
        {
          struct TestEvent event = g_array_index (world->events, struct TestEvent, 0);

          g_array_remove_index (world->events, 0);
          handle (world, &event);
        }
      for (guint i = 0; i < world->balances->len; i++)
        cf_balance_tick (world->balances->pdata[i], world->now);
      world->now++;
    }
}

uint32_t
test_world_firsts (struct TestWorld *world, const char *id, CfMillis from, CfMillis to)
{
  GArray *times = g_hash_table_lookup (world->first_packets, id);
  uint32_t count = 0;

  for (guint i = 0; times && i < times->len; i++)
    {
      CfMillis at = g_array_index (times, CfMillis, i);

      count += at >= from && at < to;
    }
  return count;
}
