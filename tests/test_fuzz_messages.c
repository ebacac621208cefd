#include "balance/connections.h"
#include "feed/gossip.h"
#include "feed/referral.h"
#include "feed/load_message.h"
#include "feed/relay.h"
#include "feed/rotation.h"
#include "platform/datagram.h"
#include "simulation.h"
#include "suite.h"

#include <string.h>

/* Well-formed messages with any values, as packets and from other VMs, into the state that they
 * change: nothing crashes, and that state stays bounded.  FUZZ_ROUNDS sets the number of messages
 * of each kind. */

#define ROUNDS_DEFAULT 3000
#define SERVICES 3 /* two known ports, and one that no manifest has */

static int
message_count (void)
{
  const char *text = getenv ("FUZZ_ROUNDS");

  return text ? atoi (text) : ROUNDS_DEFAULT;
}

/* A number near a limit of its type as often as any other. */
static uint64_t
any_number (GRand *random)
{
  static const uint64_t edges[]
      = { 0, 1, 2, INT32_MAX, UINT32_MAX, INT64_MAX, (uint64_t) INT64_MAX + 1, UINT64_MAX };
  uint64_t edge = edges[g_rand_int_range (random, 0, G_N_ELEMENTS (edges))];

  switch (g_rand_int_range (random, 0, 3))
    {
    case 0:
      return edge;
    case 1:
      return edge + (uint64_t) g_rand_int_range (random, -2, 3);
    default:
      return (uint64_t) g_rand_int (random) << 32 | g_rand_int (random);
    }
}

static const char *
any_name (GRand *random)
{
  static const char *const names[]
      = { "", "a", "b", "vm-1", "vm-2", "i-1", "i-2", "\xff\xfe", "a\"\n", "{}" };

  return names[g_rand_int_range (random, 0, G_N_ELEMENTS (names))];
}

static struct CfSegment
any_segment (GRand *random, uint8_t bytes[CF_SEGMENT_MAX])
{
  struct CfSegment segment = {
    .caller = { .ip = 0x64400000 + (uint32_t) g_rand_int_range (random, 0, 8),
                .port = (uint16_t) g_rand_int_range (random, 0, 8) },
    .service
    = { .ip = SIM_SERVICE_IP, .port = (uint16_t) (80 + g_rand_int_range (random, 0, SERVICES)) },
    .flags = g_rand_int (random) & 31,
    .seq = (uint32_t) any_number (random),
    .ack = (uint32_t) any_number (random),
    .cookie
    = g_rand_boolean (random) ? cf_cookie (any_name (random)) : (uint32_t) any_number (random),
    .data = g_rand_boolean (random) ? 0 : (uint32_t) g_rand_int_range (random, 0, 1201),
    .retransmit_count = (uint16_t) g_rand_int_range (random, 0, 3),
    .bytes = bytes,
    .size = (size_t) g_rand_int_range (random, 32, 1233),
  };

  if (g_rand_boolean (random))
    segment.flags = g_rand_boolean (random) ? CF_SEGMENT_SYN : CF_SEGMENT_ACK;
  return segment;
}

/* Changes what the store says, or how upstreams answer. */
static void
change_state (struct Simulation *sim, struct CfBalance *balance, GRand *random, uint64_t version)
{
  struct CfDirectory *directory = cf_balance_directory (balance);
  struct CfManifest *manifest = sim_manifest (version, 10, g_rand_boolean (random));

  cf_balance_manifest (balance, manifest);
  cf_manifest_free (manifest);
  cf_directory_withdraw (directory, any_name (random), g_rand_boolean (random), sim->now);
  sim_add_upstream (sim, NULL, "i-1", "s", "a", g_rand_int_range (random, 0, 100));
  sim_add_upstream (sim, NULL, "i-2", "t", "b", 0);
  cf_balance_evacuate (balance, "b", g_rand_boolean (random), sim->now);
  if (g_rand_boolean (random))
    cf_balance_synced (balance, sim->now);
}

START_TEST (test_any_packets)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 10);
  GRand *random = g_rand_new_with_seed (21);
  uint8_t bytes[CF_SEGMENT_MAX] = { 0 };
  uint8_t out[CF_SEGMENT_MAX + 8];
  const uint32_t peers[] = { 1, 2, 3 };

  cf_balance_set_peers (balance, peers, G_N_ELEMENTS (peers));
  for (int i = 0; i < message_count (); i++)
    {
      struct CfSegment segment = any_segment (random, bytes);

      if (i % 100 == 0)
        change_state (sim, balance, random, 2 + (uint64_t) i);
      ck_assert_int_lt (cf_balance_segment (balance, &segment, sim->now), CF_OUTCOME_COUNT);
      ck_assert_uint_eq (cf_platform_codec.reset (&segment, out), 32);
      if (g_rand_int_range (random, 0, 10) == 0)
        sim->now += g_rand_int_range (random, 0, 100) ? g_rand_int_range (random, 0, 200) : 90000;
      if (g_rand_int_range (random, 0, 5) == 0)
        ck_assert_int_gt (cf_balance_tick (balance, sim->now), sim->now);
      ck_assert_uint_le (cf_balance_flows (balance), 8 * 8 * SERVICES);
    }
  g_rand_free (random);
  sim_free (sim);
}
END_TEST

/* Datagrams of all lengths, up to more than a buffer of the datapath task holds. */
START_TEST (test_any_datagram_length)
{
  GRand *random = g_rand_new_with_seed (22);

  for (int i = 0; i < message_count (); i++)
    {
      size_t len = (size_t) g_rand_int_range (random, 0, 2100);
      uint8_t *data = g_malloc (MAX (len, 1));
      uint8_t out[CF_SEGMENT_MAX + 8];
      struct CfSegment segment;

      for (size_t at = 0; at < len; at++)
        data[at] = (uint8_t) g_rand_int (random);
      if (len >= 32 && g_rand_boolean (random))
        {
          data[0] = (uint8_t) ((len - 32) >> 8);
          data[1] = (uint8_t) (len - 32);
        }
      if (cf_platform_codec.parse (data, len, &segment))
        {
          ck_assert_uint_le (len, CF_SEGMENT_MAX);
          ck_assert_uint_eq (cf_platform_codec.wrap (data, len, 7, 9, out), len + 8);
          ck_assert_uint_eq (cf_platform_codec.hand_on (data, len, out), len);
        }
      g_free (data);
    }
  g_rand_free (random);
}
END_TEST

#define RECORDS_MAX 6

/* Appends any differences to XDR. */
static void
append_differences (XDR *xdr, GRand *random)
{
  static const char frame[] = "\x28\xb5\x2f\xfd\x20\x01\x09\x00\x00\x00";
  struct feed_difference list[RECORDS_MAX] = { 0 };
  struct feed_differences differences = { .list = { .list_val = list } };

  differences.list.list_len = (u_int) g_rand_int_range (random, 0, RECORDS_MAX + 1);
  for (u_int i = 0; i < differences.list.list_len; i++)
    list[i] = (struct feed_difference){
      .kind = (u_int) g_rand_int_range (random, 0, g_rand_int_range (random, 0, 8) ? 4 : 6),
      .name = (char *) any_name (random),
      .base = any_number (random),
      .revision = any_number (random) & INT64_MAX,
      .size = (u_int) (g_rand_boolean (random) ? 1 : any_number (random)),
      .frame = { .frame_len = (u_int) g_rand_int_range (random, 0, sizeof frame),
                 .frame_val = (char *) frame },
    };
  ck_assert (xdr_feed_differences (xdr, &differences));
}

/* Returns a message as another VM sends it, with any values. */
static GBytes *
any_update (GRand *random)
{
  struct feed_record records[8][RECORDS_MAX] = { 0 };
  struct feed_part list[8] = { 0 };
  struct feed_parts parts = {
    .parts
    = { .parts_len
        = g_rand_int_range (random, 0, 8) ? CF_FEED_KINDS : (u_int) g_rand_int_range (random, 0, 9),
        .parts_val = list },
  };
  struct feed_news news = {
    .reader = (char *) any_name (random),
    .age_ms = any_number (random),
    .settled = g_rand_boolean (random),
  };
  char inner[8192];
  char outer[16384];
  XDR xdr;

  for (u_int i = 0; i < parts.parts.parts_len; i++)
    {
      list[i] = (struct feed_part){
        .revision
        = any_number (random) & (g_rand_int_range (random, 0, 8) ? INT64_MAX : UINT64_MAX),
        .whole = g_rand_boolean (random),
        .records = { .records_len = (u_int) g_rand_int_range (random, 0, RECORDS_MAX + 1),
                     .records_val = records[i] },
      };
      for (u_int j = 0; j < list[i].records.records_len; j++)
        records[i][j] = (struct feed_record){
          .name = (char *) any_name (random),
          .revision = any_number (random) & INT64_MAX,
          .deleted = g_rand_boolean (random),
          .text = (char *) any_name (random),
        };
    }
  xdrmem_create (&xdr, inner, sizeof inner, XDR_ENCODE);
  ck_assert (xdr_feed_parts (&xdr, &parts));
  if (g_rand_boolean (random))
    append_differences (&xdr, random);
  news.parts.parts_val = inner;
  news.parts.parts_len = xdr_getpos (&xdr);
  news.size = g_rand_int_range (random, 0, 20) ? news.parts.parts_len : (u_int) any_number (random);
  xdrmem_create (&xdr, outer, sizeof outer, XDR_ENCODE);
  ck_assert (xdr_feed_news (&xdr, &news));
  return g_bytes_new (outer, xdr_getpos (&xdr));
}

static void
apply_update (struct CfReplica *replica, const struct CfRelayUpdate *update)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      const struct feed_part *part = &update->parts.parts.parts_val[kind];
      GPtrArray *records = cf_relay_records (part);

      g_ptr_array_unref (
          cf_replica_apply (replica, (enum CfFeedKind) kind, records, part->revision, part->whole));
      g_ptr_array_unref (records);
    }
}

START_TEST (test_any_updates)
{
  GRand *random = g_rand_new_with_seed (23);
  struct CfRelayCache cache = { 0 };
  struct CfReplica replica;
  int accepted = 0;

  cf_replica_init (&replica);
  for (int i = 0; i < message_count (); i++)
    {
      const struct CfUpdateOrigin origin = { .age = (CfMillis) any_number (random) };
      struct CfFeedPosition position = { .era = any_number (random) };
      GBytes *update = any_update (random);
      struct CfRelayUpdate decoded;
      gsize len;
      const void *data = g_bytes_get_data (update, &len);
      GBytes *relayed;

      if (cf_relay_decode (data, len, &decoded))
        {
          accepted++;
          ck_assert_int_ge (decoded.origin.age, 0);
          if (!cf_relay_apply_differences (&decoded, &replica))
            apply_update (&replica, &decoded);
          cf_relay_clear (&decoded);
        }
      g_bytes_unref (update);
      position.revision[i % CF_FEED_KINDS] = any_number (random);
      cf_relay_has_changes (&replica, &position);
      relayed = cf_relay_encode (&cache, &replica, &position, &origin);
      ck_assert_ptr_nonnull (relayed);
      g_bytes_unref (relayed);
      if (i % 100 == 99)
        cf_replica_enter_era (&replica, replica.era + 1, i * CF_MS_PER_S);
      for (int kind = 0; kind < CF_FEED_KINDS; kind++)
        g_ptr_array_unref (cf_replica_end_carry (&replica, (enum CfFeedKind) kind, i * CF_MS_PER_S,
                                                 true, i * CF_MS_PER_S));
    }
  ck_assert_int_gt (accepted, message_count () / 4);
  cf_relay_cache_clear (&cache);
  cf_replica_clear (&replica);
  g_rand_free (random);
}
END_TEST

/* Any bytes near a referral: what it names becomes a part of a URL. */
START_TEST (test_any_referral)
{
  GRand *random = g_rand_new_with_seed (26);
  struct CfReferral referral = { .count = 0 };

  for (int i = 0; i < message_count (); i++)
    {
      char data[] = "\0\0\0\1\0\0\0\b10.0.0.2";
      CfMillis due;
      const char *ip;

      for (int changes = g_rand_int_range (random, 0, 4); changes > 0; changes--)
        data[g_rand_int_range (random, 0, sizeof data)] = (char) g_rand_int_range (random, 0, 128);
      cf_referral_receive (&referral, i % 2, data, sizeof data - 1, i);
      ip = cf_referral_next (&referral, i, &due);
      ck_assert (!ip || strspn (ip, "0123456789.") == strlen (ip));
      ck_assert_uint_le (referral.count, CF_REFERRAL_NAMED_MAX);
    }
  g_rand_free (random);
}
END_TEST

/* The parts of a datagram that it refers to. */
struct Lines
{
  struct feed_quality qualities[FEED_QUALITIES_MAX];
  struct feed_load_service services[FEED_LOAD_SERVICES_MAX];
  struct feed_load_line loads[FEED_LOAD_LINES_MAX];
};

/* A number that a load report may contain nine times out of ten, so that a part of the reports is
 * valid. */
static u_int
any_load (GRand *random)
{
  return g_rand_int_range (random, 0, 10) ? (u_int) g_rand_int_range (random, 10, 100000)
                                          : (u_int) any_number (random);
}

static struct feed_datagram
any_loads (GRand *random, struct Lines *lines)
{
  struct feed_datagram datagram = { .kind = FEED_LOADS };
  struct feed_loads *loads = &datagram.feed_datagram_u.loads;

  *loads = (struct feed_loads){
    .name = (char *) any_name (random),
    .domain = (char *) any_name (random),
    .incarnation = any_number (random),
    .sequence = (u_int) any_number (random),
    .domain_vms = any_load (random) / 100,
    .services
    = { .services_len = (u_int) g_rand_int_range (random, 0, 3), .services_val = lines->services },
    .upstreams = { .upstreams_len = (u_int) g_rand_int_range (random, 0, FEED_LOAD_LINES_MAX + 1),
                   .upstreams_val = lines->loads },
  };
  for (u_int i = 0; i < loads->services.services_len; i++)
    lines->services[i] = (struct feed_load_service){
      .name = (char *) any_name (random),
      .demand = { any_load (random), any_load (random) },
      .answered = any_load (random),
      .in_progress = any_load (random),
    };
  for (u_int i = 0; i < loads->upstreams.upstreams_len; i++)
    lines->loads[i] = (struct feed_load_line){
      .cookie = (u_int) any_number (random),
      .samples = (u_int) g_rand_int_range (random, 0, 100000),
      .pace
      = (u_int) g_rand_int_range (random, 10, g_rand_int_range (random, 0, 40) ? 1000 : 200000),
    };
  return datagram;
}

static struct feed_datagram
any_datagram (GRand *random, struct Lines *lines)
{
  struct feed_datagram datagram = { .kind = FEED_HELLO };
  int kind = g_rand_int_range (random, 0, 3);

  if (kind == 0)
    return any_loads (random, lines);
  if (kind == 1)
    {
      datagram.feed_datagram_u.hello = (struct feed_hello){
        .name = (char *) any_name (random),
        .domain = (char *) any_name (random),
        .leaving = g_rand_boolean (random),
      };
      return datagram;
    }
  datagram.kind = FEED_QUALITIES;
  datagram.feed_datagram_u.qualities = (struct feed_qualities){
    .name = (char *) any_name (random),
    .domain = (char *) any_name (random),
    .upstreams = { .upstreams_len = (u_int) g_rand_int_range (random, 0, FEED_QUALITIES_MAX + 1),
                   .upstreams_val = lines->qualities },
  };
  for (u_int i = 0; i < datagram.feed_datagram_u.qualities.upstreams.upstreams_len; i++)
    lines->qualities[i] = (struct feed_quality){
      .upstream = (char *) any_name (random),
      .answers = (u_int) any_number (random),
      .failed = (u_int) any_number (random) & (u_int) g_rand_int (random),
      .avoided = g_rand_boolean (random),
    };
  return datagram;
}

START_TEST (test_any_gossip)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance;
  GRand *random = g_rand_new_with_seed (24);
  struct CfRotation rotation;
  int loads_merged = 0;

  sim->admission = (struct CfAdmissionOptions){ .enabled = true, .caller_prefix = 32 };
  balance = sim_add_vm (sim, "a", 0);
  cf_rotation_init (&rotation);
  sim_add_upstream (sim, NULL, "i-1", "s", "a", 0);
  sim_add_upstream (sim, NULL, "i-2", "s", "a", 0);
  for (int i = 0; i < message_count (); i++)
    {
      struct Lines lines;
      struct feed_datagram sent = any_datagram (random, &lines);
      uint8_t bytes[CF_GOSSIP_BYTES_MAX];
      struct feed_datagram datagram;
      struct CfQualityReport report;
      struct CfLoadReport load;
      XDR xdr;

      xdrmem_create (&xdr, (char *) bytes, sizeof bytes, XDR_ENCODE);
      ck_assert (xdr_feed_datagram (&xdr, &sent));
      ck_assert (cf_gossip_decode (bytes, xdr_getpos (&xdr), &datagram));
      sim->now += g_rand_int_range (random, 0, 50);
      if (datagram.kind == FEED_HELLO)
        cf_rotation_update (&rotation, datagram.feed_datagram_u.hello.name,
                            datagram.feed_datagram_u.hello.leaving, sim->now);
      else if (datagram.kind == FEED_LOADS)
        {
          if (cf_load_message_read (&datagram.feed_datagram_u.loads, &load))
            loads_merged += cf_balance_receive_load (balance, &load, sim->now);
        }
      else
        {
          cf_gossip_read_quality (&datagram.feed_datagram_u.qualities, &report);
          cf_balance_receive_report (balance, &report, sim->now);
        }
      cf_gossip_clear (&datagram);
      cf_balance_report (balance, &report, sim->now);
      ck_assert (cf_rotation_should_leave (&rotation, 3, CF_ROTATION_WAIT_MAX_MS, 6000, sim->now));
    }
  ck_assert_int_gt (loads_merged, message_count () / 100);
  cf_rotation_clear (&rotation);
  g_rand_free (random);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fuzz_messages");

  /* GLib only logs a wrong argument. */
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  suite_add_loop (suite, test_any_packets, 1);
  suite_add_loop (suite, test_any_datagram_length, 1);
  suite_add_loop (suite, test_any_updates, 1);
  suite_add_loop (suite, test_any_referral, 1);
  suite_add_loop (suite, test_any_gossip, 1);
  return suite_run (suite);
}
