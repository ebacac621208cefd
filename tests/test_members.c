#include "cf_core.h"
#include "packets.h"
#include "sink.h"
#include "suite.h"
#include "config/difference.h"
#include "peer/codec.h"

#include <malloc.h>
#include <string.h>

/* Contents of heartbeats, configurations served to members, and members that are replaced. */

#define REPLACEMENTS 2000
#define MANY_SERVICES 4500
#define FLOWS_PER_SERVICE 8
#define RETIRED_BYTES_MAX 1024 /* memory that a member that is gone may keep */

static const char text[] = "[fleet]\nversion=1\n[failure-domain a]\nregion=r\n"
                           "[service s]\naddress=10.0.0.1\nport=443\n"
                           "[upstream u]\nservice=s\nfailure-domain=a\ntunnel=127.1.0.1\n"
                           "[upstream w]\nservice=s\nfailure-domain=a\ntunnel=127.1.0.2\n";

/* The heartbeat and the chunk of a configuration that a core sent last. */
struct Sent
{
  struct CfPeerKeys keys;
  size_t bytes;
  peer_heartbeat heartbeat; /* without its lists */
  uint64_t base;
  char chunk[1025];
};

static void
record_sent (void *context, const struct CfAddress *address, const struct peer_message *message)
{
  struct Sent *sent = context;
  struct peer_envelope envelope = { .message = *message };
  uint8_t datagram[CF_PEER_DATAGRAM_MAX];

  (void) address;
  if (message->kind == PEER_CONFIG_CHUNK)
    {
      const peer_config_chunk *chunk = &message->peer_message_u.chunk;

      sent->base = chunk->base;
      memcpy (sent->chunk, chunk->data.data_val, chunk->data.data_len);
      sent->chunk[chunk->data.data_len] = '\0';
    }
  if (message->kind != PEER_HEARTBEAT)
    return;
  sent->bytes = cf_peer_encode (&sent->keys, 0, &envelope, datagram, sizeof datagram);
  sent->heartbeat = message->peer_message_u.heartbeat;
}

static struct CfCore *
new_core_of (const char *config_text, struct CfCoreOutputs *outputs, struct Sent *sent)
{
  struct CfCoreOptions options = { .vm = 1, .incarnation = 1, .domain = cf_name_id ("a") };
  struct CfConfig *config = cf_config_parse (config_text, NULL);
  struct CfCore *core;

  *outputs = test_sink_outputs ();
  if (sent)
    outputs->send_peer = record_sent;
  core = cf_core_new (&options, outputs, sent, 0);
  cf_core_set_config (core, config, 0);
  cf_config_unref (config);
  return core;
}

static struct CfCore *
new_core (struct CfCoreOutputs *outputs, struct Sent *sent)
{
  return new_core_of (text, outputs, sent);
}

/* Delivers a heartbeat of VM to CORE.  Its state and configuration are those of a member that
 * agrees with CORE; the other fields are given. */
static void
receive_heartbeat (
    struct CfCore *core, uint32_t vm, uint64_t incarnation, peer_heartbeat reported, CfMillis now)
{
  struct peer_envelope envelope = { .vm = vm, .incarnation = incarnation };

  reported.state = PEER_SERVING;
  reported.config_version = 1;
  reported.config_digest = cf_core_config (core)->digest;
  envelope.message.kind = PEER_HEARTBEAT;
  envelope.message.peer_message_u.heartbeat = reported;
  cf_core_peer (core, &envelope, now);
}

/* Returns the JSON object of UPSTREAM in the status of CORE, valid until the next call. */
static const char *
status_of (const struct CfCore *core, const char *upstream, CfMillis now)
{
  static char object[1024];
  GString *status = g_string_new (NULL);
  char *name = g_strdup_printf ("\"name\":\"%s\"", upstream);
  const char *place;

  cf_core_status (core, status, now);
  place = strstr (status->str, name);
  ck_assert_ptr_nonnull (place);
  g_strlcpy (object, place, MIN (sizeof object, strcspn (place, "}") + 1));
  g_free (name);
  g_string_free (status, TRUE);
  return object;
}

static void
receive_default_heartbeat (struct CfCore *core, uint32_t vm, CfMillis now)
{
  struct peer_load load = { .upstream = cf_name_id ("u"), .opened = 1 };

  receive_heartbeat (core, vm, 1,
                     (peer_heartbeat){ .loads = { .loads_len = 1, .loads_val = &load } }, now);
}

static CfMillis
advance (struct CfCore *core, CfMillis now, CfMillis span)
{
  for (CfMillis end = now + span; now < end; now += 500)
    cf_core_tick (core, now);
  return now;
}

/* Every replaced VM adds a member for good.  If each kept its counts and queues, memory would grow
 * without bound. */
START_TEST (test_replaced_members)
{
  struct CfCoreOutputs outputs;
  struct CfCore *core = new_core (&outputs, NULL);
  CfMillis now = 0;
  size_t before;
  size_t kept;

  now = advance (core, now, 5000);
  ck_assert_int_eq (cf_core_state (core), PEER_SERVING);
  before = mallinfo2 ().uordblks;
  for (uint32_t vm = 2; vm < REPLACEMENTS + 2; vm++)
    {
      receive_default_heartbeat (core, vm, now);
      /* The platform no longer lists it, and no further heartbeat of it arrives. */
      cf_core_vm_list (core, NULL, 0, now);
      now = advance (core, now, 3000);
    }
  advance (core, now, 700000);
  kept = (mallinfo2 ().uordblks - before) / REPLACEMENTS;
  printf ("memory kept per member that is gone: %zu bytes\n", kept);
  ck_assert_uint_le (kept, RETIRED_BYTES_MAX);
  ck_assert_int_eq (cf_core_state (core), PEER_SERVING);
  ck_assert (cf_core_settled (core));
  cf_core_free (core);
}
END_TEST

/* The size of a heartbeat does not depend on the number of members. */
START_TEST (test_heartbeat_size)
{
  struct CfCoreOutputs outputs;
  struct Sent sent = { 0 };
  struct CfCore *core = new_core (&outputs, &sent);
  size_t small;

  advance (core, 0, 3000);
  receive_default_heartbeat (core, 2, 3000);
  small = sent.bytes;
  for (uint32_t vm = 3; vm < 340; vm++)
    receive_default_heartbeat (core, vm, 3000);
  cf_core_tick (core, 3500);
  ck_assert_uint_gt (small, 0);
  ck_assert_uint_eq (sent.bytes, small);
  cf_core_free (core);
}
END_TEST

/* Marks are sent until the receiver has acknowledged them, and again if it reports that it has
 * lost them. */
START_TEST (test_marks_sent_until_seen)
{
  static const struct CfAddress caller = { .ip = { [10] = 0xff, 0xff, 11 }, .port = 1024 };
  static const struct CfAddress service = { .ip = { [10] = 0xff, 0xff, 10, 0, 0, 1 }, .port = 443 };
  struct CfHealthAnswer answer
      = { .upstream = cf_name_id ("u"), .reachable = true, .serving = true, .start_time = 1 };
  struct CfCoreOutputs outputs;
  struct Sent sent = { 0 };
  struct CfCore *core = new_core (&outputs, &sent);
  peer_heartbeat reported = { .seen_incarnation = 1 };
  CfMillis now = advance (core, 0, 5000);

  /* One of the two upstreams is cold: its new flows are to be diverted to the other. */
  answer.address = test_health_address (core, "u");
  cf_core_health (core, &answer, now);
  answer.start_time = 2;
  cf_core_health (core, &answer, now);
  for (uint16_t n = 0; n < 64; n++)
    {
      struct CfAddress from = caller;
      uint8_t data[CF_PACKET_MAX];

      from.port = (uint16_t) (from.port + n);
      cf_core_packet (core, data,
                      test_packet_build (&from, &service, CF_PROTOCOL_TCP, CF_PACKET_SYN, 0, data),
                      &service, now);
    }
  receive_heartbeat (core, 2, 1, reported, now);
  ck_assert (sent.heartbeat.has_marks);
  ck_assert_uint_eq (sent.heartbeat.marks.marks_len, 1);

  reported.seen_marks = sent.heartbeat.mark_version;
  receive_heartbeat (core, 2, 1, reported, now);
  now = advance (core, now, 1000);
  ck_assert (!sent.heartbeat.has_marks);
  ck_assert_uint_eq (sent.heartbeat.marks.marks_len, 0);

  reported.seen_marks = 0;
  receive_heartbeat (core, 2, 1, reported, now);
  advance (core, now, 1000);
  ck_assert (sent.heartbeat.has_marks);
  ck_assert_uint_eq (sent.heartbeat.marks.marks_len, 1);
  cf_core_free (core);
}
END_TEST

/* Delivers a request of VM 2, which has the configuration FROM, for the current one, and checks
 * that the answer is the difference between them. */
static void
check_difference_served (struct CfCore *core,
                         const struct Sent *sent,
                         const struct CfConfig *from,
                         CfMillis now)
{
  const struct CfConfig *to = cf_core_config (core);
  struct peer_envelope envelope = { .vm = 2, .incarnation = 1 };
  peer_config_request *request = &envelope.message.peer_message_u.request;
  char *difference = cf_difference_make (from, to);

  envelope.message.kind = PEER_CONFIG_REQUEST;
  request->have = from->version;
  request->have_digest = from->digest;
  request->revision = to->version;
  request->digest = to->digest;
  cf_core_peer (core, &envelope, now);
  ck_assert_uint_eq (sent->base, from->version);
  ck_assert_str_eq (sent->chunk, difference);
  g_free (difference);
}

/* The difference that is served to a member always leads to the current configuration, also if
 * differences to an earlier one were computed before. */
START_TEST (test_config_differences_served)
{
  struct CfCoreOutputs outputs;
  struct Sent sent = { 0 };
  struct CfCore *core = new_core (&outputs, &sent);
  struct CfConfig *first = cf_config_ref ((struct CfConfig *) cf_core_config (core));
  struct CfConfig *second = cf_config_set_drain (first, "u", true, 2, NULL);
  struct CfConfig *third = cf_config_set_drain (second, "w", true, 3, NULL);

  receive_default_heartbeat (core, 2, 0);
  cf_core_set_config (core, second, 0);
  check_difference_served (core, &sent, first, 0);
  cf_core_set_config (core, third, 0);
  check_difference_served (core, &sent, second, 0);
  check_difference_served (core, &sent, first, 0);
  check_difference_served (core, &sent, second, 0);
  cf_core_free (core);
  cf_config_unref (first);
  cf_config_unref (second);
  cf_config_unref (third);
}
END_TEST

/* Returns a configuration of many services, each with two upstreams. */
static char *
many_services (void)
{
  GString *many = g_string_new ("[fleet]\nversion=1\n[failure-domain a]\nregion=r\n");

  for (int n = 0; n < MANY_SERVICES; n++)
    g_string_append_printf (many,
                            "[service s%d]\naddress=10.1.%d.%d\nport=443\n"
                            "[upstream c%d]\nservice=s%d\nfailure-domain=a\ntunnel=127.2.%d.%d\n"
                            "[upstream w%d]\nservice=s%d\nfailure-domain=a\ntunnel=127.3.%d.%d\n",
                            n, n >> 8, n & 0xff, n, n, n >> 8, n & 0xff, n, n, n >> 8, n & 0xff);
  return g_string_free (many, FALSE);
}

/* Makes one upstream of service number N cold and opens flows, some of which it is implied for. */
static void
divert_flows (struct CfCore *core, int n, CfMillis now)
{
  struct CfAddress service
      = { .ip = { [10] = 0xff, 0xff, 10, 1, (uint8_t) (n >> 8), (uint8_t) n }, .port = 443 };
  struct CfAddress caller = { .ip = { [10] = 0xff, 0xff, 11 } };
  struct CfHealthAnswer answer = { .reachable = true, .serving = true };
  uint8_t data[CF_PACKET_MAX];
  char name[16];

  g_snprintf (name, sizeof name, "c%d", n);
  answer.upstream = cf_name_id (name);
  answer.address = test_health_address (core, name);
  for (answer.start_time = 1; answer.start_time <= 2; answer.start_time++)
    cf_core_health (core, &answer, now);
  for (caller.port = 1; caller.port <= FLOWS_PER_SERVICE; caller.port++)
    cf_core_packet (core, data,
                    test_packet_build (&caller, &service, CF_PROTOCOL_TCP, CF_PACKET_SYN, 0, data),
                    &service, now);
}

/* If there are more marks than a heartbeat can list, it says that all upstreams are marked. */
START_TEST (test_too_many_marks)
{
  char *many = many_services ();
  struct CfCoreOutputs outputs;
  struct Sent sent = { 0 };
  struct CfCore *core = new_core_of (many, &outputs, &sent);
  CfMillis now = advance (core, 0, 5000);

  for (int n = 0; n < MANY_SERVICES; n++)
    divert_flows (core, n, now);
  receive_heartbeat (core, 2, 1, (peer_heartbeat){ .seen_incarnation = 1 }, now);
  ck_assert_uint_gt (sent.bytes, 0);
  ck_assert (sent.heartbeat.has_marks && sent.heartbeat.all_marked);
  ck_assert_uint_eq (sent.heartbeat.marks.marks_len, 0);
  cf_core_free (core);
  g_free (many);
}
END_TEST

/* If a member says that all upstreams are marked, all are marked here until it lists its marks. */
START_TEST (test_all_marked)
{
  struct CfCoreOutputs outputs;
  struct CfCore *core = new_core (&outputs, NULL);
  peer_heartbeat reported = { .mark_version = 2, .has_marks = TRUE, .all_marked = TRUE };

  advance (core, 0, 3000);
  receive_heartbeat (core, 2, 1, reported, 3000);
  ck_assert (strstr (status_of (core, "u", 3000), "\"marked\":true"));
  ck_assert (strstr (status_of (core, "w", 3000), "\"marked\":true"));
  reported.mark_version = 3;
  reported.all_marked = FALSE;
  receive_heartbeat (core, 2, 1, reported, 3100);
  ck_assert (strstr (status_of (core, "u", 3100), "\"marked\":false"));
  /* The marks of a former incarnation end with it. */
  reported.mark_version = 4;
  reported.all_marked = TRUE;
  receive_heartbeat (core, 2, 1, reported, 3200);
  ck_assert (strstr (status_of (core, "u", 3200), "\"marked\":true"));
  receive_heartbeat (core, 2, 2, (peer_heartbeat){ .mark_version = 1, .has_marks = TRUE }, 3300);
  ck_assert (strstr (status_of (core, "u", 3300), "\"marked\":false"));
  cf_core_free (core);
}
END_TEST

/* A version of the marks is not acknowledged if the heartbeat omitted the marks themselves. */
START_TEST (test_marks_omitted)
{
  struct CfCoreOutputs outputs;
  struct Sent sent = { 0 };
  struct CfCore *core = new_core (&outputs, &sent);
  u_int marks[] = { cf_name_id ("u") };
  peer_heartbeat reported = { .mark_version = 5 };

  advance (core, 0, 3000);
  receive_heartbeat (core, 2, 1, reported, 3000);
  cf_core_tick (core, 3500);
  ck_assert_uint_eq (sent.heartbeat.seen_marks, 0);
  reported.has_marks = TRUE;
  reported.marks.marks_len = 1;
  reported.marks.marks_val = marks;
  receive_heartbeat (core, 2, 1, reported, 3600);
  cf_core_tick (core, 4000);
  ck_assert_uint_eq (sent.heartbeat.seen_marks, 5);
  cf_core_free (core);
}
END_TEST

static uint64_t
open_at (const struct CfCore *core, const char *upstream, CfMillis now)
{
  const char *open = strstr (status_of (core, upstream, now), "\"open\":");

  ck_assert_ptr_nonnull (open);
  return g_ascii_strtoull (open + strlen ("\"open\":"), NULL, 10);
}

/* Counts of flows are sums over members and their former incarnations, and may wrap
 * around. */
START_TEST (test_counts_of_flows)
{
  struct CfCoreOutputs outputs;
  struct CfCore *core = new_core (&outputs, NULL);
  struct peer_load load = { .upstream = cf_name_id ("u"), .opened = 9, .closed = 2 };
  peer_heartbeat reported = { .loads = { .loads_len = 1, .loads_val = &load } };
  CfMillis now = advance (core, 0, 3000);

  receive_heartbeat (core, 2, 1, reported, now);
  receive_heartbeat (core, 3, 1, reported, now);
  now = advance (core, now, 1000);
  ck_assert_uint_eq (open_at (core, "u", now), 14);
  /* A repeated heartbeat changes nothing. */
  receive_heartbeat (core, 2, 1, reported, now);
  now = advance (core, now, 1000);
  ck_assert_uint_eq (open_at (core, "u", now), 14);
  /* A new incarnation counts from 0; the flows that the former one opened stay open. */
  load = (struct peer_load){ .upstream = cf_name_id ("u"), .opened = 4, .closed = 1 };
  receive_heartbeat (core, 2, 2, reported, now);
  now = advance (core, now, 1000);
  ck_assert_uint_eq (open_at (core, "u", now), 17);
  load = (struct peer_load){ .upstream = cf_name_id ("u"), .opened = 2, .closed = UINT32_MAX - 7 };
  receive_heartbeat (core, 3, 1, reported, now);
  now = advance (core, now, 1000);
  ck_assert_uint_eq (open_at (core, "u", now), 20);
  cf_core_free (core);
}
END_TEST

#define PROBE_FAILURES 3 /* that make an upstream unreachable */

/* The outcome of a probe was taken for that of the upstream now.  Probes over connections that went
 * silent end late: they made an upstream unreachable that had answered later ones, and a start time
 * of before its restart made it cold again.  So did probes of an address that it no longer has. */
START_TEST (test_health_answer_is_about_what_was_asked)
{
  struct CfCoreOutputs outputs;
  struct Sent sent = { 0 };
  struct CfCore *core = new_core (&outputs, &sent);
  CfMillis now = advance (core, 0, 5000);
  struct CfHealthAnswer answer = {
    .upstream = cf_name_id ("u"),
    .address = test_health_address (core, "u"),
    .asked_at = now,
    .reachable = true,
    .serving = true,
    .start_time = 2,
  };

  cf_core_health (core, &answer, now);
  if (_i == 0) /* sent before, ends after */
    answer.asked_at = now - 1000;
  else
    answer.address.port++;
  answer.start_time = 1;
  cf_core_health (core, &answer, now);
  ck_assert_ptr_nonnull (strstr (status_of (core, "u", now), "\"health\":\"warm\""));
  answer.reachable = false;
  for (int i = 0; i < PROBE_FAILURES; i++)
    cf_core_health (core, &answer, now);
  ck_assert_ptr_nonnull (strstr (status_of (core, "u", now), "\"health\":\"warm\""));
  /* Those that are about the upstream as it is count. */
  answer.address = test_health_address (core, "u");
  answer.asked_at = now;
  for (int i = 0; i < PROBE_FAILURES; i++)
    cf_core_health (core, &answer, now);
  ck_assert_ptr_nonnull (strstr (status_of (core, "u", now), "\"health\":\"unreachable\""));
  cf_core_free (core);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("members");

  suite_add_loop (suite, test_replaced_members, 1);
  suite_add_loop (suite, test_counts_of_flows, 1);
  suite_add_loop (suite, test_heartbeat_size, 1);
  suite_add_loop (suite, test_config_differences_served, 1);
  suite_add_loop (suite, test_marks_sent_until_seen, 1);
  suite_add_loop (suite, test_marks_omitted, 1);
  suite_add_loop (suite, test_too_many_marks, 1);
  suite_add_loop (suite, test_all_marked, 1);
  suite_add_loop (suite, test_health_answer_is_about_what_was_asked, 2);
  return suite_run (suite);
}
