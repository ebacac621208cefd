#include "bench.h"
#include "packets.h"
#include "sink.h"
#include "peer/codec.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* CPU time and memory of one struct CfCore, measured in process without a network. */

#define PACKETS 200000
/* On a VM at the target size: 25,300 of its own, the rest held for others. */
#define FLOWS_PER_VM 83000
/* Within this time a configuration change has to be in force on all VMs. */
#define CHANGE_DEADLINE_MS 4000
#define CONTROL_CPU_PERCENT 3.7 /* of a CPU core that a VM may spend on control */
#define LOADS_PER_HEARTBEAT 64
#define HEARTBEATS_PER_S 2 /* that each member sends */

static double
cpu_time_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e9 + (double) now.tv_nsec;
}

struct Probe
{
  struct CfCoreOutputs outputs;
  size_t peer_bytes; /* of the last message */
  const struct CfPeerKeys *keys;
};

static void
probe_peer (void *context, const struct CfAddress *address, const struct peer_message *message)
{
  struct Probe *probe = context;
  static uint8_t datagram[CF_PEER_DATAGRAM_MAX];
  struct peer_envelope envelope = { .message = *message };

  (void) address;
  probe->peer_bytes = cf_peer_encode (probe->keys, 0, &envelope, datagram, sizeof datagram);
}

static const struct CfPeerKeys keys;

static struct CfConfig *
build_config (uint32_t services, uint32_t upstreams, const char *extra)
{
  GString *text = g_string_new ("[fleet]\nversion=1\n[failure-domain a]\nregion=r\n");
  struct CfError error = { 0 };
  struct CfConfig *config;

  for (uint32_t s = 0; s < services; s++)
    g_string_append_printf (text, "[service s%u]\naddress=10.%u.%u.1\nport=443\n", s, s >> 8,
                            s & 0xff);
  for (uint32_t u = 0; u < upstreams; u++)
    g_string_append_printf (text,
                            "[upstream u%u]\nservice=s%u\nfailure-domain=a\ntunnel=10.200.%u.%u\n",
                            u, u % services, u >> 8, u & 0xff);
  g_string_append (text, extra);
  config = cf_config_parse (text->str, &error);
  if (!config)
    g_error ("%s", error.text);
  g_string_free (text, TRUE);
  return config;
}

static struct CfCore *
serving_core (struct Probe *probe, struct CfConfig *config)
{
  struct CfCoreOptions options = { .vm = 1, .incarnation = 1, .domain = cf_name_id ("a") };
  struct CfCore *core;

  probe->keys = &keys;
  probe->outputs = test_sink_outputs ();
  probe->outputs.send_peer = probe_peer;
  core = cf_core_new (&options, &probe->outputs, probe, 0);
  cf_core_set_config (core, config, 0);
  for (CfMillis now = 0; now < 3000; now += CF_TICK_MS)
    cf_core_tick (core, now);
  return core;
}

enum PacketKind
{
  PACKET_LATER,
  PACKET_FIRST,
  PACKET_IN_DRAIN,
};

/* Returns the time of one packet in ns, the best of three rounds. */
static double
packet_time (struct CfCore *core, enum PacketKind kind)
{
  const struct CfAddress service
      = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 10, [15] = 1 }, .port = 443 };
  struct CfAddress caller = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 11 } };
  double best = 1e18;

  for (int round = 0; round < 3; round++)
    {
      double start_ns;

      caller.ip[13] = (uint8_t) (kind * 3 + round);
      start_ns = cpu_time_ns ();
      for (uint32_t n = 0; n < PACKETS; n++)
        {
          static uint8_t data[CF_PACKET_MAX];
          size_t len;

          caller.ip[14] = (uint8_t) (n >> 14);
          caller.port = (uint16_t) (1024 + (n & 0x3fff));
          len = test_packet_build (&caller, &service, CF_PROTOCOL_TCP,
                                   kind == PACKET_FIRST ? CF_PACKET_SYN : CF_PACKET_ACK, 32, data);
          cf_core_packet (core, data, len, &service, 3000);
        }
      best = MIN (best, (cpu_time_ns () - start_ns) / PACKETS);
    }
  return best;
}

static double
bare_lookup_time (void)
{
  const struct CfAddress service
      = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 10, [15] = 1 }, .port = 443 };
  struct CfAddress caller = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 11 } };
  GHashTable *table = g_hash_table_new (g_direct_hash, g_direct_equal);
  struct CfPacket packet = { 0 };
  uint64_t found = 0;
  double best = 1e18;

  for (uint32_t n = 0; n < PACKETS; n++)
    g_hash_table_add (table, GUINT_TO_POINTER (n + 1));
  for (int round = 0; round < 3; round++)
    {
      double start_ns = cpu_time_ns ();

      for (uint32_t n = 0; n < PACKETS; n++)
        {
          static uint8_t data[CF_PACKET_MAX];
          size_t len;

          caller.ip[14] = (uint8_t) (n >> 14);
          caller.port = (uint16_t) (1024 + (n & 0x3fff));
          len = test_packet_build (&caller, &service, CF_PROTOCOL_TCP, CF_PACKET_ACK, 32, data);
          cf_packet_parse (data, len, &packet);
          found += g_hash_table_contains (
              table,
              GUINT_TO_POINTER ((packet.caller.port * 7919U + packet.caller.ip[14]) % PACKETS));
        }
      best = MIN (best, (cpu_time_ns () - start_ns) / PACKETS);
    }
  g_hash_table_destroy (table);
  return found ? best : 0;
}

void
bench_packets (void)
{
  struct Probe probe = { 0 };
  struct CfConfig *config = build_config (1, 15, "");
  struct CfConfig *draining = build_config (1, 15, "[upstream u0]\nstate=draining\n");
  struct CfCore *core = serving_core (&probe, config);
  struct CfCore *draining_core = serving_core (&probe, draining);
  double bare = bare_lookup_time ();
  double later = packet_time (core, PACKET_LATER);
  double first = packet_time (core, PACKET_FIRST);
  double in_drain = packet_time (draining_core, PACKET_IN_DRAIN);

  printf ("one packet, built and parsed: bare look-up %.0f ns; packet of a flow %.0f ns (x%.1f), "
          "first packet %.0f ns (x%.1f),\nwith 1 of 15 upstreams draining %.0f ns (x%.1f); "
          "record %u bytes a flow\n",
          bare, later, later / bare, first, first / bare, in_drain, in_drain / bare, 32U);
  bench_bound ("packet of a flow, ratio to a bare look-up", later / bare, 5);
  bench_bound ("first packet, ratio to a bare look-up", first / bare, 10);
  bench_bound ("packet in a drain, ratio to a bare look-up", in_drain / bare, 10);
  cf_core_free (core);
  cf_core_free (draining_core);
  cf_config_unref (config);
  cf_config_unref (draining);
  bench_cookies (later, first);
}

static void
receive_loads (struct CfCore *core,
               uint32_t vm,
               const struct CfConfig *config,
               struct peer_load *loads,
               uint32_t count,
               CfMillis now)
{
  struct peer_envelope envelope = { .vm = vm, .incarnation = 1 };
  peer_heartbeat *heartbeat = &envelope.message.peer_message_u.heartbeat;

  envelope.message.kind = PEER_HEARTBEAT;
  heartbeat->state = PEER_SERVING;
  heartbeat->domain = vm % 11 + 1;
  heartbeat->port = 6081;
  heartbeat->config_version = config->version;
  heartbeat->config_digest = config->digest;
  heartbeat->loads.loads_len = count;
  heartbeat->loads.loads_val = loads;
  cf_core_peer (core, &envelope, now);
}

static void
receive_heartbeat (struct CfCore *core, uint32_t vm, const struct CfConfig *config, CfMillis now)
{
  receive_loads (core, vm, config, NULL, 0, now);
}

/* Returns the mean time of a tick in the second from BEGIN on. */
static double
mean_tick_time (struct CfCore *core, CfMillis begin)
{
  double start_ns = cpu_time_ns ();

  for (CfMillis now = begin; now < begin + CF_MS_PER_S; now += CF_TICK_MS)
    cf_core_tick (core, now);
  return (cpu_time_ns () - start_ns) * CF_TICK_MS / CF_MS_PER_S;
}

static void
measure_members (uint32_t members)
{
  struct Probe probe = { 0 };
  struct CfConfig *config = build_config (2, 19, "");
  size_t memory = mallinfo2 ().uordblks;
  struct CfCore *core = serving_core (&probe, config);
  double start_ns;
  double heartbeat_ns;
  double join;
  double tick;

  for (uint32_t i = 2; i < members; i++)
    receive_heartbeat (core, i, config, 3000);
  start_ns = cpu_time_ns ();
  receive_heartbeat (core, members, config, 3000);
  join = cpu_time_ns () - start_ns;
  start_ns = cpu_time_ns ();
  for (uint32_t i = 2; i <= members; i++)
    receive_heartbeat (core, i, config, 3010);
  heartbeat_ns = (cpu_time_ns () - start_ns) / (members - 1);
  tick = mean_tick_time (core, 3050);
  printf ("%8u members  %8.1f us/heartbeat  %8.2f ms/join  %8.2f ms/tick  %7zu B/heartbeat  "
          "%8.0f KB\n",
          members, heartbeat_ns / 1e3, join / 1e6, tick / 1e6, probe.peer_bytes,
          (double) (mallinfo2 ().uordblks - memory) / 1024);
  cf_core_free (core);
  cf_config_unref (config);
}

static void
measure_upstreams (uint32_t services, uint32_t upstreams)
{
  struct Probe probe = { 0 };
  size_t memory = mallinfo2 ().uordblks;
  double start_ns = cpu_time_ns ();
  struct CfConfig *config = build_config (services, upstreams, "");
  double parse = cpu_time_ns () - start_ns;
  struct CfCore *core = serving_core (&probe, config);
  struct CfConfig *next = cf_config_set_drain (config, "u1", true, config->version + 1, NULL);
  double apply;
  double tick;

  start_ns = cpu_time_ns ();
  cf_core_set_config (core, next, 3000);
  apply = cpu_time_ns () - start_ns;
  tick = mean_tick_time (core, 3050);
  printf ("%8u upstreams %6u services  %8.1f ms/parse  %8.2f ms/apply  %8.2f ms/tick  %8zu B text  "
          "%8.0f KB\n",
          upstreams, services, parse / 1e6, apply / 1e6, tick / 1e6, strlen (config->text),
          (double) (mallinfo2 ().uordblks - memory) / 1024);
  cf_core_free (core);
  cf_config_unref (next);
  cf_config_unref (config);
}

/* Sends CORE a request from each of MEMBERS for the difference between BASE and the current
 * configuration.  Returns the time in ns that CORE takes to answer them. */
static double
serve_change (struct CfCore *core, const struct CfConfig *base, uint32_t members, CfMillis now)
{
  const struct CfConfig *config = cf_core_config (core);
  double start_ns = cpu_time_ns ();

  for (uint32_t vm = 2; vm <= members; vm++)
    {
      struct peer_envelope envelope = { .vm = vm, .incarnation = 1 };
      peer_config_request *config_request = &envelope.message.peer_message_u.request;

      envelope.message.kind = PEER_CONFIG_REQUEST;
      config_request->have = base->version;
      config_request->have_digest = base->digest;
      config_request->revision = config->version;
      config_request->digest = config->digest;
      cf_core_peer (core, &envelope, now);
    }
  return cpu_time_ns () - start_ns;
}

/* Opens FLOWS flows, spread over the services of CONFIG. */
static void
open_flows (struct CfCore *core, const struct CfConfig *config, uint32_t flows, CfMillis now)
{
  struct CfAddress caller = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 11 } };

  for (uint32_t n = 0; n < flows; n++)
    {
      const struct CfAddress *service = &config->services[n % config->service_count].address;
      uint8_t data[CF_PACKET_MAX];
      size_t len;

      caller.ip[14] = (uint8_t) (n >> 14);
      caller.port = (uint16_t) (1024 + (n & 0x3fff));
      len = test_packet_build (&caller, service, CF_PROTOCOL_TCP, CF_PACKET_SYN, 32, data);
      cf_core_packet (core, data, len, service, now);
    }
}

/* Measures a region at the target size in one core: all MEMBERS have reported their flow counts
 * of every upstream. */
static void
measure_region (uint32_t members, uint32_t services, uint32_t upstreams)
{
  struct Probe probe = { 0 };
  size_t memory = mallinfo2 ().uordblks;
  struct CfConfig *config = build_config (services, upstreams, "");
  struct CfCore *core = serving_core (&probe, config);
  struct peer_load loads[LOADS_PER_HEARTBEAT];
  double start_ns;
  double heartbeat_ns;
  double tick;
  double leave_ns;
  double serve_ns;
  struct CfConfig *drained = cf_config_set_drain (config, "u1", true, 2, NULL);
  struct CfConfig *next = cf_config_set_domain (config, "a", false, true, 3, NULL);

  open_flows (core, config, FLOWS_PER_VM, 2950);
  for (uint32_t vm = 2; vm <= members; vm++)
    for (uint32_t u = 0; u + LOADS_PER_HEARTBEAT <= upstreams; u += LOADS_PER_HEARTBEAT)
      {
        for (uint32_t i = 0; i < LOADS_PER_HEARTBEAT; i++)
          loads[i] = (struct peer_load){ .upstream = config->upstreams[u + i].id, .opened = vm };
        receive_loads (core, vm, config, loads, LOADS_PER_HEARTBEAT, 3000);
      }
  start_ns = cpu_time_ns ();
  for (uint32_t vm = 2; vm <= members; vm++)
    receive_loads (core, vm, config, loads, 3, 3010);
  heartbeat_ns = (cpu_time_ns () - start_ns) / (members - 1);
  tick = mean_tick_time (core, 3050);
  cf_core_set_config (core, drained, 4050);
  serve_ns = serve_change (core, config, members, 4050);
  start_ns = cpu_time_ns ();
  cf_core_set_config (core, next, 4050);
  leave_ns = cpu_time_ns () - start_ns;
  printf ("%8u members %6u upstreams  %8.1f us/heartbeat  %8.2f ms/tick  %8.0f KB  "
          "%8.1f ms when all leave service  %8.1f ms to serve a change to all\n",
          members, upstreams, heartbeat_ns / 1e3, tick / 1e6,
          (double) (mallinfo2 ().uordblks - memory) / 1024, leave_ns / 1e6, serve_ns / 1e6);
  bench_bound ("ms to serve a change to all members", serve_ns / 1e6, CHANGE_DEADLINE_MS);
  bench_bound ("ms in which all upstreams leave service", leave_ns / 1e6, CF_PAUSE_LIMIT_MS);
  bench_bound ("control of a region, percent of a core",
               (tick / 1e6 / CF_TICK_MS + heartbeat_ns / 1e9 * members * HEARTBEATS_PER_S) * 100,
               CONTROL_CPU_PERCENT);
  cf_core_free (core);
  cf_config_unref (next);
  cf_config_unref (drained);
  cf_config_unref (config);
}

void
bench_scaling (void)
{
  static const uint32_t members[] = { 6, 31, 100, 340, 1700 };

  printf ("\ncosts in one core, against its number of members\n");
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    measure_members (members[i]);
  printf ("\ncosts in one core, against the number of upstreams\n");
  measure_upstreams (2, 19);
  measure_upstreams (11, 160);
  measure_upstreams (110, 1600);
  measure_upstreams (1100, 16000);
  printf ("\na region at the target size, in one core\n");
  measure_region (340, 1100, 16000);
}
