#include "cf_core.h"
#include "packets.h"
#include "peer/codec.h"
#include "peer/replay.h"
#include "sink.h"
#include "suite.h"

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* Packets and datagrams: parsing, refusals, and handling of mutated input. */

#define MUTATIONS 100000

static const struct CfAddress service4
    = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 10, [15] = 1 }, .port = 443 };
static const struct CfAddress caller4
    = { .ip = { [10] = 0xff, [11] = 0xff, [12] = 11, [15] = 9 }, .port = 4000 };

static struct CfAddress service6;
static struct CfAddress caller6;

static void
setup (void)
{
  cf_address_parse ("fd00::1", 443, &service6);
  cf_address_parse ("fd01::9", 4000, &caller6);
}

START_TEST (test_parse)
{
  const struct CfAddress *caller = _i ? &caller6 : &caller4;
  const struct CfAddress *service = _i ? &service6 : &service4;
  uint8_t data[CF_PACKET_MAX];
  struct CfPacket packet = { 0 };
  size_t len = test_packet_build (caller, service, CF_PROTOCOL_TCP, CF_PACKET_SYN, 5, data);

  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_NONE);
  ck_assert (cf_address_equal (&packet.caller, caller));
  ck_assert (cf_address_equal (&packet.service, service));
  ck_assert_int_eq (packet.flags, CF_PACKET_SYN);
  for (size_t cut = 0; cut < len; cut++)
    ck_assert_int_eq (cf_packet_parse (data, cut, &packet), CF_DROP_TRUNCATED);
}
END_TEST

START_TEST (test_fragment)
{
  uint8_t data[CF_PACKET_MAX];
  struct CfPacket packet = { 0 };
  size_t len = test_packet_build (&caller4, &service4, CF_PROTOCOL_UDP, 0, 20, data);

  data[6] = 0x20;
  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_FRAGMENT);
  data[6] = 0;
  data[7] = 4;
  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_FRAGMENT);
}
END_TEST

START_TEST (test_refusal)
{
  const struct CfAddress *caller = _i & 1 ? &caller6 : &caller4;
  const struct CfAddress *service = _i & 1 ? &service6 : &service4;
  uint8_t protocol = _i & 2 ? CF_PROTOCOL_UDP : CF_PROTOCOL_TCP;
  uint8_t data[CF_PACKET_MAX];
  uint8_t answer[CF_REFUSAL_MAX];
  struct CfPacket packet = { 0 };
  struct CfPacket back = { 0 };
  size_t len = test_packet_build (caller, service, protocol, CF_PACKET_SYN, 40, data);

  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_NONE);
  len = cf_refusal_build (&packet, answer);
  ck_assert_uint_gt (len, 0);
  if (protocol == CF_PROTOCOL_UDP)
    {
      /* The reply quotes the packet, and so is an error about a packet from the caller. */
      ck_assert_int_eq (cf_packet_parse (answer, len, &back), CF_DROP_NONE);
      ck_assert (back.icmp_error);
      ck_assert_int_eq (back.protocol, CF_PROTOCOL_UDP);
      ck_assert (cf_address_equal (&back.caller, service));
      ck_assert (cf_address_equal (&back.service, caller));
      /* An error is never answered by an error. */
      ck_assert_uint_eq (cf_refusal_build (&back, data), 0);
      return;
    }
  ck_assert_int_eq (cf_packet_parse (answer, len, &back), CF_DROP_NONE);
  ck_assert (cf_address_equal (&back.caller, service));
  ck_assert (cf_address_equal (&back.service, caller));
  ck_assert_int_eq (back.flags, CF_PACKET_RST | CF_PACKET_ACK);
  /* A reset is never answered by a reset. */
  ck_assert_uint_eq (cf_refusal_build (&back, data), 0);
}
END_TEST

START_TEST (test_icmp_error)
{
  const struct CfAddress *caller = _i & 1 ? &caller6 : &caller4;
  const struct CfAddress *service = _i & 1 ? &service6 : &service4;
  uint8_t protocol = _i & 2 ? CF_PROTOCOL_UDP : CF_PROTOCOL_TCP;
  size_t ip_len = _i & 1 ? 40 : 20;
  size_t quoted_source = ip_len + 8 + (_i & 1 ? 8 : 12);
  uint8_t data[CF_PACKET_MAX];
  struct CfPacket packet = { 0 };
  size_t len = test_packet_too_big (caller, service, protocol, data);

  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_NONE);
  ck_assert (packet.icmp_error);
  ck_assert_int_eq (packet.protocol, protocol);
  ck_assert_int_eq (packet.flags, 0);
  ck_assert (cf_address_equal (&packet.caller, caller));
  ck_assert (cf_address_equal (&packet.service, service));
  for (size_t cut = 0; cut < len; cut++)
    ck_assert_int_eq (cf_packet_parse (data, cut, &packet), CF_DROP_TRUNCATED);
  /* An ICMP error not addressed to the source of the packet that it quotes is forged. */
  data[quoted_source] ^= 1;
  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_HEADER);
  data[quoted_source] ^= 1;
  /* Echo requests are not forwarded to upstreams. */
  data[ip_len] = _i & 1 ? ICMP6_ECHO_REQUEST : ICMP_ECHO;
  ck_assert_int_eq (cf_packet_parse (data, len, &packet), CF_DROP_PROTOCOL);
}
END_TEST

/* Outputs that check where a core with four services sends packets. */
struct Sink
{
  struct CfCoreOutputs outputs;
  uint64_t forwarded;
  const struct CfConfig *config;
};

static void
sink_forward (void *context, const struct CfPacket *packet, const struct CfUpstream *upstream)
{
  struct Sink *sink = context;
  const struct CfService *service = &sink->config->services[upstream->service];

  ck_assert (cf_address_equal (&packet->service, &service->address));
  ck_assert_int_eq (packet->protocol, service->protocol);
  sink->forwarded++;
}

static void
sink_refuse (void *context, const struct CfPacket *packet, enum CfVerdict verdict)
{
  uint8_t answer[CF_REFUSAL_MAX];

  (void) context;
  (void) verdict;
  cf_refusal_build (packet, answer);
}

static const char sink_config_text[]
    = "[fleet]\nversion=1\n[failure-domain a]\nregion=r\n"
      "[service s]\naddress=10.0.0.1\nport=443\n"
      "[service t]\naddress=10.0.0.2\nport=443\n"
      "[service v]\naddress=fd00::1\nport=443\n"
      "[service w]\naddress=10.0.0.1\nport=443\nprotocol=udp\n"
      "[upstream s1]\nservice=s\nfailure-domain=a\ntunnel=127.1.0.1\n"
      "[upstream s2]\nservice=s\nfailure-domain=a\ntunnel=127.1.0.2\nstate=draining\n"
      "[upstream t1]\nservice=t\nfailure-domain=a\ntunnel=127.1.0.3\n"
      "[upstream v1]\nservice=v\nfailure-domain=a\ntunnel=127.1.0.4\n"
      "[upstream w1]\nservice=w\nfailure-domain=a\ntunnel=127.1.0.5\n";

static struct CfCore *
sink_core (struct Sink *sink)
{
  struct CfCoreOptions options = { .vm = 1, .incarnation = 1, .domain = cf_name_id ("a") };
  struct CfError error = { 0 };
  struct CfConfig *config = cf_config_parse (sink_config_text, &error);
  struct CfCore *core;

  ck_assert_msg (config != NULL, "%s", error.text);
  sink->outputs = test_sink_outputs ();
  sink->outputs.forward = sink_forward;
  sink->outputs.refuse = sink_refuse;
  core = cf_core_new (&options, &sink->outputs, sink, 1000);
  cf_core_set_config (core, config, 1000);
  sink->config = cf_core_config (core);
  cf_config_unref (config);
  for (CfMillis now = 1000; now < 4000; now += CF_TICK_MS)
    cf_core_tick (core, now);
  ck_assert_int_eq (cf_core_state (core), PEER_SERVING);
  return core;
}

static size_t
mutate (GRand *random, uint8_t data[CF_PACKET_MAX])
{
  bool v6 = g_rand_int_range (random, 0, 3) == 0;
  struct CfAddress caller = v6 ? caller6 : caller4;
  struct CfAddress service = v6 ? service6 : service4;
  uint8_t protocol = g_rand_boolean (random) ? CF_PROTOCOL_TCP : CF_PROTOCOL_UDP;
  size_t len;

  caller.port = (uint16_t) g_rand_int (random);
  service.ip[15] = (uint8_t) g_rand_int_range (random, 1, 4);
  if (g_rand_int_range (random, 0, 4) == 0)
    len = test_packet_too_big (&caller, &service, protocol, data);
  else
    len = test_packet_build (&caller, &service, protocol,
                             (uint8_t) g_rand_int_range (random, 0, 16),
                             (size_t) g_rand_int_range (random, 0, 60), data);
  for (int n = g_rand_int_range (random, 0, 5); n > 0; n--)
    data[g_rand_int_range (random, 0, (gint32) MIN (len, 64))] = (uint8_t) g_rand_int (random);
  if (g_rand_int_range (random, 0, 4) == 0)
    len = (size_t) g_rand_int_range (random, 0, (gint32) len + 1);
  return len;
}

START_TEST (test_mutated_packets)
{
  struct Sink sink = { 0 };
  struct CfCore *core = sink_core (&sink);
  GRand *random = g_rand_new_with_seed (7);
  const struct CfStats *stats = cf_core_stats (core);
  uint64_t dropped = 0;
  uint64_t other;

  for (int n = 0; n < MUTATIONS; n++)
    {
      uint8_t data[CF_PACKET_MAX];
      size_t len = mutate (random, data);
      /* A copy of the exact size lets the sanitizer see any read beyond it. */
      uint8_t *exact = g_memdup2 (data, MAX (len, 1));

      cf_core_packet (core, exact, len, &service4, 4000 + n / 100);
      if (n % 500 == 0)
        cf_core_tick (core, 4000 + n / 100);
      g_free (exact);
    }
  for (int i = 1; i < CF_DROP_COUNT; i++)
    dropped += stats->drop[i];
  other = stats->counter[CF_COUNT_REFUSED_NOT_RUN] + stats->counter[CF_COUNT_REFUSED_MAY_HAVE_RUN];
  /* Every packet has one outcome, and each drop reason from TRUNCATED to NO_SERVICE occurred. */
  ck_assert_uint_eq (dropped + sink.forwarded + other, MUTATIONS);
  ck_assert_uint_gt (sink.forwarded, MUTATIONS / 10);
  for (int i = CF_DROP_TRUNCATED; i <= CF_DROP_NO_SERVICE; i++)
    ck_assert_msg (stats->drop[i] > 0, "no packet was dropped for '%s'", cf_drop_name (i));
  cf_core_free (core);
  g_rand_free (random);
}
END_TEST

START_TEST (test_mutated_transfers)
{
  struct Sink sink = { 0 };
  struct CfCore *core = sink_core (&sink);
  GRand *random = g_rand_new_with_seed (11);

  for (int n = 0; n < MUTATIONS; n++)
    {
      uint8_t data[CF_PACKET_MAX];
      struct peer_transfer transfer = {
        .from = g_rand_int (random),
        .service = g_rand_boolean (random) ? cf_name_id ("t") : cf_name_id ("s"),
        .key = g_rand_int (random),
        .hops = (u_int) g_rand_int_range (random, 0, 6),
        .flags = (u_int) g_rand_int_range (random, 0, 4),
      };

      cf_core_transferred (core, data, mutate (random, data), &transfer, 4000);
    }
  /* A packet is never forwarded by a context that does not match it. */
  ck_assert_uint_eq (sink.forwarded, 0);
  ck_assert_uint_gt (cf_core_stats (core)->drop[CF_DROP_TRANSFER], MUTATIONS / 10);
  cf_core_free (core);
  g_rand_free (random);
}
END_TEST

/* A number near a limit as often as any other. */
static uint64_t
any_number (GRand *random)
{
  static const uint64_t edges[] = { 0, 1, 2, INT32_MAX, UINT32_MAX, INT64_MAX, UINT64_MAX };

  if (g_rand_boolean (random))
    return edges[g_rand_int_range (random, 0, G_N_ELEMENTS (edges))];
  return (uint64_t) g_rand_int (random) << 32 | g_rand_int (random);
}

#define LIST_MAX 4

/* What the lists of a message refer to. */
struct Lists
{
  u_int numbers[LIST_MAX];
  struct peer_load loads[LIST_MAX];
  struct peer_upstream upstreams[LIST_MAX];
  struct peer_entry entries[LIST_MAX];
  char data[64];
};

static u_int
any_upstream (GRand *random)
{
  return g_rand_boolean (random) ? cf_name_id ("s1") : (u_int) any_number (random);
}

static void
fill_lists (GRand *random, struct Lists *lists)
{
  for (int i = 0; i < LIST_MAX; i++)
    {
      lists->numbers[i] = (u_int) any_number (random);
      lists->loads[i] = (struct peer_load){
        .upstream = any_upstream (random),
        .opened = (u_int) any_number (random),
        .completed = (u_int) any_number (random),
        .closed = (u_int) any_number (random),
      };
      lists->upstreams[i] = (struct peer_upstream){
        .upstream = any_upstream (random),
        .health = (peer_health) g_rand_int_range (random, -1, 5),
        .generation = (u_int) any_number (random),
        .budget = (u_int) any_number (random),
        .grant = (u_int) any_number (random),
      };
      lists->entries[i] = (struct peer_entry){
        .key = any_number (random),
        .upstream = any_upstream (random),
        .flags = (u_int) any_number (random),
      };
    }
}

static u_int
any_count (GRand *random)
{
  return (u_int) g_rand_int_range (random, 0, LIST_MAX + 1);
}

static struct peer_heartbeat
any_heartbeat (GRand *random, struct Lists *lists)
{
  return (struct peer_heartbeat){
    .state = (peer_state) g_rand_int_range (random, -1, 5),
    .domain = (u_int) any_number (random),
    .address = { [10] = (char) 0xff, [11] = (char) 0xff, [12] = 127, [15] = 2 },
    .port = (u_int) any_number (random),
    .config_version = any_number (random),
    .config_digest = any_number (random),
    .view = any_number (random),
    .seen_incarnation = any_number (random),
    .seen_marks = (u_int) any_number (random),
    .mark_version = (u_int) any_number (random),
    .has_marks = g_rand_boolean (random),
    .all_marked = g_rand_boolean (random),
    .marks = { any_count (random), lists->numbers },
    .loads = { any_count (random), lists->loads },
    .upstreams = { any_count (random), lists->upstreams },
    .suspects = { any_count (random), lists->numbers },
  };
}

static struct peer_envelope
any_envelope (GRand *random, struct Lists *lists)
{
  struct peer_envelope envelope = {
    .vm = (u_int) g_rand_int_range (random, 0, 4),
    .incarnation = g_rand_boolean (random) ? 3 : any_number (random),
    .message = { .kind = (peer_kind) g_rand_int_range (random, 0, PEER_CONFIG_CHUNK + 1) },
  };

  fill_lists (random, lists);
  switch (envelope.message.kind)
    {
    case PEER_HEARTBEAT:
      envelope.message.peer_message_u.heartbeat = any_heartbeat (random, lists);
      break;
    case PEER_ENTRIES:
      envelope.message.peer_message_u.entries = (struct peer_entries){
        .seq = (u_int) any_number (random),
        .entries = { any_count (random), lists->entries },
      };
      break;
    case PEER_ENTRIES_ACK:
      envelope.message.peer_message_u.ack = (struct peer_entries_ack){
        .incarnation = any_number (random),
        .seqs = { any_count (random), lists->numbers },
      };
      break;
    case PEER_CONFIG_REQUEST:
      envelope.message.peer_message_u.request = (struct peer_config_request){
        .have = any_number (random),
        .have_digest = any_number (random),
        .revision = any_number (random),
        .digest = any_number (random),
        .offset = (u_int) any_number (random),
      };
      break;
    case PEER_CONFIG_CHUNK:
      envelope.message.peer_message_u.chunk = (struct peer_config_chunk){
        .revision = any_number (random),
        .digest = any_number (random),
        .base = any_number (random),
        .total = (u_int) any_number (random),
        .offset = (u_int) any_number (random),
        .data = { (u_int) g_rand_int_range (random, 0, sizeof lists->data), lists->data },
      };
      break;
    }
  return envelope;
}

/* Well-formed messages of other VMs with any values. */
START_TEST (test_any_peer_messages)
{
  const char *rounds = getenv ("FUZZ_ROUNDS");
  struct Sink sink = { 0 };
  struct CfCore *core = sink_core (&sink);
  GRand *random = g_rand_new_with_seed (13);
  CfMillis now = 4000;

  for (int n = rounds ? atoi (rounds) : 3000; n > 0; n--)
    {
      struct Lists lists = { 0 };
      struct peer_envelope envelope = any_envelope (random, &lists);
      uint8_t data[CF_PACKET_MAX];

      cf_core_peer (core, &envelope, now);
      cf_core_packet (core, data, mutate (random, data), &service4, now);
      now += g_rand_int_range (random, 0, 20);
      if (n % 5 == 0)
        {
          cf_core_tick (core, now);
          cf_core_flush (core, now);
        }
    }
  cf_core_free (core);
  g_rand_free (random);
}
END_TEST

static const struct CfPeerKeys keys = { .peer = { 1 }, .transfer = { 2 } };

static size_t
encoded_entries (uint8_t *out, size_t size)
{
  struct peer_entry list[3] = { { .key = 7, .upstream = 8 }, { .key = 9, .upstream = 8 } };
  struct peer_envelope envelope = { .vm = 2, .incarnation = 3 };

  envelope.message.kind = PEER_ENTRIES;
  envelope.message.peer_message_u.entries.seq = 4;
  envelope.message.peer_message_u.entries.entries.entries_len = 3;
  envelope.message.peer_message_u.entries.entries.entries_val = list;
  return cf_peer_encode (&keys, 5, &envelope, out, size);
}

START_TEST (test_peer_codec)
{
  uint8_t data[2048];
  size_t len = encoded_entries (data, sizeof data);
  struct peer_envelope envelope;
  uint32_t xid;

  ck_assert_uint_gt (len, 0);
  ck_assert_int_eq (cf_peer_decode (&keys, data, len, &xid, &envelope), CF_PEER_OK);
  ck_assert_uint_eq (xid, 5);
  ck_assert_uint_eq (envelope.message.peer_message_u.entries.entries.entries_val[1].key, 9);
  cf_peer_release (&envelope);
  for (size_t i = 0; i < len; i++)
    {
      data[i] ^= 0x40;
      ck_assert_int_eq (cf_peer_decode (&keys, data, len, &xid, &envelope), CF_PEER_FORGED);
      data[i] ^= 0x40;
    }
  ck_assert_int_eq (cf_peer_decode (&keys, data, 16, &xid, &envelope), CF_PEER_SHORT);
  ck_assert_uint_eq (encoded_entries (data, 64), 0);
}
END_TEST

START_TEST (test_malformed_messages)
{
  GRand *random = g_rand_new_with_seed (3);
  uint64_t malformed = 0;

  for (int n = 0; n < 20000; n++)
    {
      uint8_t data[2048];
      size_t len = encoded_entries (data, sizeof data) - CF_PEER_MAC_BYTES;
      struct peer_envelope envelope;
      uint32_t xid;
      uint8_t *exact;

      for (int k = g_rand_int_range (random, 1, 4); k > 0; k--)
        data[g_rand_int_range (random, 0, (gint32) len)] = (uint8_t) g_rand_int (random);
      len = (size_t) g_rand_int_range (random, 8, (gint32) len + 1);
      cf_peer_sign (&keys, data, len);
      exact = g_memdup2 (data, len + CF_PEER_MAC_BYTES);
      if (cf_peer_decode (&keys, exact, len + CF_PEER_MAC_BYTES, &xid, &envelope) == CF_PEER_OK)
        cf_peer_release (&envelope);
      else
        malformed++;
      g_free (exact);
    }
  ck_assert_uint_gt (malformed, 10000);
  g_rand_free (random);
}
END_TEST

START_TEST (test_replay)
{
  struct CfReplayWindow window = { 0 };

  ck_assert (cf_replay_accept (&window, 1, 10));
  ck_assert (!cf_replay_accept (&window, 1, 10));
  ck_assert (cf_replay_accept (&window, 1, 12));
  ck_assert (cf_replay_accept (&window, 1, 11));
  ck_assert (!cf_replay_accept (&window, 1, 11));
  ck_assert (cf_replay_accept (&window, 1, 200));
  ck_assert (!cf_replay_accept (&window, 1, 12));
  ck_assert (cf_replay_accept (&window, 2, 1));
  ck_assert (!cf_replay_accept (&window, 1, 201));
}
END_TEST

START_TEST (test_transfer_codec)
{
  struct peer_transfer transfer = { .from = 1, .service = 2, .key = 3, .hops = 1 };
  struct peer_transfer read = { 0 };
  uint8_t options[CF_TRANSFER_OPTIONS];
  uint8_t packet[40] = { 0x45 };

  ck_assert (cf_transfer_encode (&keys, &transfer, packet, sizeof packet, options));
  ck_assert (cf_transfer_decode (&keys, options, packet, sizeof packet, &read));
  ck_assert_uint_eq (read.key, 3);
  packet[39] ^= 1;
  ck_assert (!cf_transfer_decode (&keys, options, packet, sizeof packet, &read));
  packet[39] ^= 1;
  options[3] ^= 1;
  ck_assert (!cf_transfer_decode (&keys, options, packet, sizeof packet, &read));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("packet");
  TCase *group = tcase_create ("packet");

  tcase_add_checked_fixture (group, setup, NULL);
  tcase_set_timeout (group, 0);
  tcase_add_loop_test (group, test_parse, 0, 2);
  tcase_add_test (group, test_fragment);
  tcase_add_loop_test (group, test_refusal, 0, 4);
  tcase_add_loop_test (group, test_icmp_error, 0, 4);
  tcase_add_test (group, test_mutated_packets);
  tcase_add_test (group, test_mutated_transfers);
  tcase_add_test (group, test_any_peer_messages);
  tcase_add_test (group, test_peer_codec);
  tcase_add_test (group, test_malformed_messages);
  tcase_add_test (group, test_replay);
  tcase_add_test (group, test_transfer_codec);
  suite_add_tcase (suite, group);
  return suite_run (suite);
}
