#include "balance/balance.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

/* Upstreams, routes and flows that are removed while others refer to them.  What is used after it
 * was freed shows under the address sanitizer: all inputs come in random order, the clock jumps,
 * and every output is read. */

#define INPUTS 80000
#define UPSTREAMS 24
#define SERVICES 3
#define DOMAINS 3
#define ADDRESSES 4
#define CALLERS 40
#define BURST 300 /* packets after a load report, so that some wait */

struct Churn
{
  GRand *random;
  struct CfBalance *balance;
  CfMillis now;
  uint64_t version;
  uint64_t revision;
  uint64_t seen; /* of what the outputs referred to */
  uint32_t held;
};

static int
pick (struct Churn *churn, int count)
{
  return g_rand_int_range (churn->random, 0, count);
}

static void
read_target (struct Churn *churn, const struct CfTarget *target)
{
  if (target)
    churn->seen += strlen (target->id) + target->cookie + target->open;
}

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  struct Churn *churn = context;

  for (size_t i = 0; i < size; i++)
    churn->seen += bytes[i];
  read_target (churn, target);
}

static void
hand_on (void *context, const struct CfSegment *segment, uint32_t ip)
{
  ((struct Churn *) context)->seen += segment->bytes[0] + ip;
}

static void
reset (void *context, const struct CfSegment *segment)
{
  ((struct Churn *) context)->seen += segment->bytes[0];
}

static void
decided (void *context, const struct CfDecision *decision)
{
  read_target (context, decision->target);
  read_target (context, decision->silent);
}

static void
note_target (void *context, const struct CfTarget *target)
{
  read_target (context, target);
}

static void
held (void *context, CfMillis wait)
{
  struct Churn *churn = context;

  ck_assert_int_ge (wait, 0);
  churn->held++;
}

static const struct CfBalanceOutputs outputs = {
  .forward = forward,
  .hand_on = hand_on,
  .reset = reset,
  .decided = decided,
  .reach_changed = note_target,
  .failing = note_target,
  .held = held,
};

static const char *
name (const char *prefix, int number)
{
  static char names[2][16];
  static int next;
  char *text = names[next++ % 2];

  g_snprintf (text, sizeof names[0], "%s%d", prefix, number);
  return text;
}

/* Some ids share a cookie. */
static const char *
pick_id (struct Churn *churn)
{
  static const char *const sharing[] = { "i-0044ff4001", "i-006389ce01", "i-00854a5401" };
  int number = pick (churn, UPSTREAMS);

  return number < (int) G_N_ELEMENTS (sharing) ? sharing[number] : name ("i-", number);
}

static void
announce (struct Churn *churn)
{
  static const int64_t starts[] = { -1, 0, 100, 200, 300 };
  struct CfAnnouncement announcement = {
    .id = pick_id (churn),
    .service = name ("s", pick (churn, SERVICES)),
    .domain = pick (churn, 2) ? "d0" : "d1",
    .address = { .ip = 1, .port = 1 },
    .slots = 2,
    .draining = pick (churn, 4) == 0,
    .cold_ms = pick (churn, 4) ? 0 : 500,
    .started = starts[pick (churn, G_N_ELEMENTS (starts))],
    .revision = ++churn->revision,
  };

  read_target (churn, cf_directory_announce (cf_balance_directory (churn->balance), &announcement,
                                             churn->now));
}

static void
withdraw (struct Churn *churn)
{
  cf_directory_withdraw (cf_balance_directory (churn->balance), pick_id (churn),
                         pick (churn, 4) > 0, churn->now);
}

/* Each address is left out of one manifest in four. */
static void
replace_manifest (struct Churn *churn)
{
  struct CfManifest *manifest = cf_manifest_new ();

  manifest->version = ++churn->version;
  manifest->flow_idle_ms = 2000;
  for (int i = 0; i < ADDRESSES; i++)
    {
      struct CfRouteEntry route = {
        .address = { .ip = 9, .port = (uint16_t) i },
        .split_count = 1,
        .idempotent = pick (churn, 2),
        .priority = (uint32_t) pick (churn, 3),
        .target_latency_ms = 400,
      };

      route.splits[0] = (struct CfSplit){
        .service = g_quark_from_string (name ("s", pick (churn, SERVICES))),
        .weight = pick (churn, 10) > 0,
      };
      if (pick (churn, 4))
        g_array_append_val (manifest->routes, route);
    }
  cf_balance_manifest (churn->balance, manifest);
  cf_manifest_free (manifest);
}

static void
receive_segment (struct Churn *churn)
{
  static const unsigned flags[]
      = { CF_SEGMENT_SYN, CF_SEGMENT_SYN, CF_SEGMENT_SYN, CF_SEGMENT_ACK,
          CF_SEGMENT_ACK, CF_SEGMENT_ACK, CF_SEGMENT_FIN, CF_SEGMENT_RST };
  const uint8_t bytes[8] = { 1 };
  uint8_t *copy = g_memdup2 (bytes, sizeof bytes);
  struct CfSegment segment = {
    .caller = { .ip = 2, .port = (uint16_t) pick (churn, CALLERS) },
    .service = { .ip = 9, .port = (uint16_t) pick (churn, ADDRESSES + 1) },
    .flags = flags[pick (churn, G_N_ELEMENTS (flags))],
    .seq = (uint32_t) pick (churn, 3000),
    .ack = (uint32_t) pick (churn, 3000),
    .data = (uint32_t) pick (churn, 2) * 100,
    .retransmit_count = (uint16_t) pick (churn, 3),
    .bytes = copy,
    .size = sizeof bytes,
  };

  segment.cookie = cf_cookie (pick_id (churn));
  cf_balance_segment (churn->balance, &segment, churn->now);
  g_free (copy);
}

static void
receive_report (struct Churn *churn)
{
  struct CfQualityReport report = { .vm = "v", .count = 1 };

  report.lines[0] = (struct CfQualityLine){
    .answers = 20,
    .failed = pick (churn, 20),
    .avoided = pick (churn, 2),
  };
  g_strlcpy (report.lines[0].id, pick_id (churn), sizeof report.lines[0].id);
  cf_balance_receive_report (churn->balance, &report, churn->now);
  cf_balance_report (churn->balance, &report, churn->now);
}

/* Another VM reports a service that is full and turns requests away. */
static void
receive_load (struct Churn *churn)
{
  struct CfLoadReport report = {
    .vm = "v",
    .domain = "d0",
    .incarnation = 1,
    .sequence = (uint32_t) ++churn->revision,
    .domain_vms = 2,
    .service_count = 1,
    .line_count = 1,
  };

  report.services[0].counts = (struct CfLoadCounts){
    .demand = { 10, 10, 40 },
    .answered = 20,
    .shed = pick (churn, 2) * 20,
    .in_progress = 200,
    .usual = 20,
  };
  g_strlcpy (report.services[0].name, name ("s", pick (churn, SERVICES)),
             sizeof report.services[0].name);
  report.lines[0] = (struct CfLoadLine){
    .cookie = cf_cookie (pick_id (churn)),
    .samples = 10,
    .pace = pick (churn, 2) ? 0.1 : 10,
  };
  cf_balance_receive_load (churn->balance, &report, churn->now);
  cf_balance_load_report (churn->balance, &report, churn->now);
  for (int i = 0; i < BURST; i++)
    receive_segment (churn);
}

static void
pass_time (struct Churn *churn)
{
  static const CfMillis steps[] = { 1, 1, 5, 20, 20, 100, 200, 600, 1500, 11000, 70000 };

  churn->now += steps[pick (churn, G_N_ELEMENTS (steps))];
  if (pick (churn, 4))
    cf_balance_tick (churn->balance, churn->now);
}

static void
input (struct Churn *churn)
{
  int kind = pick (churn, 100);

  if (kind < 15)
    announce (churn);
  else if (kind < 30)
    withdraw (churn);
  else if (kind < 70)
    receive_segment (churn);
  else if (kind < 72)
    receive_report (churn);
  else if (kind < 74)
    receive_load (churn);
  else if (kind < 76)
    replace_manifest (churn);
  else if (kind < 78)
    cf_balance_evacuate (churn->balance, name ("d", pick (churn, DOMAINS)), pick (churn, 2),
                         churn->now);
  else if (kind < 80)
    cf_directory_expire_lapsed (cf_balance_directory (churn->balance), churn->now);
  else if (kind < 85)
    cf_balance_synced (churn->balance, churn->now);
  else
    pass_time (churn);
}

START_TEST (test_random_removals)
{
  static const CfMillis lifetimes[] = { 0, 1000, 60000 };
  struct Churn churn = { .random = g_rand_new_with_seed ((guint32) _i), .now = 1000 };

  churn.balance = cf_balance_new (
      &(struct CfBalanceOptions){
          .domain = "d0",
          .seed = (uint32_t) _i,
          .flow_lifetime_ms = lifetimes[_i % G_N_ELEMENTS (lifetimes)],
          .admission = { .enabled = _i % 2, .hold_share = 0.25, .caller_prefix = 32 },
          .extra_openings = _i % 2 ? 0.1 : 0,
      },
      &outputs, &churn);
  for (int i = 0; i < INPUTS; i++)
    input (&churn);
  ck_assert_uint_gt (churn.seen, 0);
  ck_assert ((churn.held > 0) == _i % 2);
  cf_balance_free (churn.balance);
  g_rand_free (churn.random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("balance lifetime");

  suite_add_loop (suite, test_random_removals, 12);
  return suite_run (suite);
}
