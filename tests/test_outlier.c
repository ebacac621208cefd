#include "balance/outlier.h"
#include "simulation.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* Outlier detection: upstreams at which flows open and requests fail, on virtual time. */

#define UPSTREAMS 12
#define GOOD_BYTES 750 /* of an answer */
#define BAD_BYTES 120
#define NO_ANSWER UINT32_MAX
#define REQUEST_INTERVAL_MS 20

struct Failures
{
  int upstreams;   /* that fail: those with the lowest numbers */
  double share;    /* of their requests that fails */
  uint32_t answer; /* bytes of a failed answer, NO_ANSWER: none comes */
};

static bool
fails (const struct SimFlow *flow, const struct Failures *failures, GRand *random)
{
  return atoi (strchr (flow->target->id, '-') + 1) < failures->upstreams
         && g_rand_double (random) < failures->share;
}

/* Runs a request of 10 ms on FLOW, or on a new flow if FLOW is NULL.  Returns the flow. */
static struct SimFlow *
run_request (struct Simulation *sim,
             struct CfBalance *balance,
             struct SimFlow *flow,
             const struct Failures *failures,
             GRand *random)
{
  bool failed;

  if (!flow)
    {
      flow = sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + sim->round_trip + 2);
    }
  ck_assert_ptr_nonnull (flow->target);
  failed = fails (flow, failures, random);
  sim_send_request (flow);
  sim_run (sim, sim->now + 10);
  if (!failed)
    sim_acknowledge (flow, GOOD_BYTES);
  else if (failures->answer != NO_ANSWER)
    sim_acknowledge (flow, failures->answer);
  return flow;
}

struct Scenario
{
  struct Simulation *sim;
  struct CfBalance *balance;
  GRand *random;
  uint32_t failed;
};

static struct Scenario
scenario_new (uint32_t seed)
{
  struct Scenario scenario = { .sim = sim_new (), .random = g_rand_new_with_seed (seed) };

  scenario.balance = sim_add_vm (scenario.sim, "a", 0);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "i-%d", i);
      sim_add_upstream (scenario.sim, NULL, id, "s", "a", 0);
    }
  return scenario;
}

static void
scenario_free (struct Scenario *scenario)
{
  g_rand_free (scenario->random);
  sim_free (scenario->sim);
}

/* Runs COUNT requests, each on a new flow.  Returns how many went to failing upstreams. */
static uint32_t
run_requests (struct Scenario *scenario, int count, const struct Failures *failures)
{
  uint32_t to_failing = 0;

  for (int i = 0; i < count; i++)
    {
      struct SimFlow *flow
          = run_request (scenario->sim, scenario->balance, NULL, failures, scenario->random);

      to_failing += atoi (strchr (flow->target->id, '-') + 1) < failures->upstreams;
      if (failures->answer != NO_ANSWER || flow->acknowledged > 0)
        sim_close_flow (flow);
      sim_run (scenario->sim, scenario->sim->now + REQUEST_INTERVAL_MS - 16);
    }
  return to_failing;
}

static uint32_t
count_avoided (const struct Scenario *scenario)
{
  GPtrArray *all
      = cf_directory_service (cf_balance_directory (scenario->balance), g_quark_from_string ("s"));
  uint32_t count = 0;

  for (guint i = 0; i < all->len; i++)
    count += cf_outlier_avoided (all->pdata[i], scenario->sim->now);
  return count;
}

/* One upstream fails 40% of its requests while its health probe succeeds.  Guards against
 * callers' requests that keep failing at upstreams which report themselves healthy. */
START_TEST (test_one_fails)
{
  const struct Failures none = { 0 };
  const struct Failures some = { .upstreams = 1, .share = 0.4, .answer = BAD_BYTES };
  struct Scenario scenario = scenario_new ((uint32_t) _i + 1);
  uint32_t hit;

  run_requests (&scenario, 200, &none);
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  hit = run_requests (&scenario, 1200, &some);
  printf ("one of %d fails 40%%: %u of 1,200 requests went there, 100 without detection\n",
          UPSTREAMS, hit);
  ck_assert_uint_le (hit, 50);
  /* It is used again soon after it has recovered. */
  run_requests (&scenario, 1000, &none);
  ck_assert_uint_ge (run_requests (&scenario, 240, &(struct Failures){ .upstreams = 1 }), 10);
  scenario_free (&scenario);
}
END_TEST

/* One upstream accepts requests and never answers. */
START_TEST (test_one_silent)
{
  const struct Failures silent = { .upstreams = 1, .share = 1, .answer = NO_ANSWER };
  struct Scenario scenario = scenario_new (7);
  uint32_t hit;

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  hit = run_requests (&scenario, 600, &silent);
  printf ("one of %d never answers: %u of 600 requests went there, 50 without detection\n",
          UPSTREAMS, hit);
  ck_assert_uint_le (hit, 25);
  scenario_free (&scenario);
}
END_TEST

/* Failures at all upstreams are not held against any: a release may have shorter answers, or the
 * callers may be at fault.  At most a third of the upstreams is avoided in any case. */
START_TEST (test_all_fail)
{
  struct Scenario scenario = scenario_new (9);

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  run_requests (&scenario, 600,
                &(struct Failures){ .upstreams = UPSTREAMS, .share = 0.4, .answer = BAD_BYTES });
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  run_requests (&scenario, 400,
                &(struct Failures){ .upstreams = UPSTREAMS, .share = 1, .answer = BAD_BYTES });
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  run_requests (&scenario, 600,
                &(struct Failures){ .upstreams = UPSTREAMS / 2, .share = 1, .answer = NO_ANSWER });
  ck_assert_uint_le (count_avoided (&scenario), UPSTREAMS / CF_OUTLIER_AVOID_ONE_IN);
  scenario_free (&scenario);
}
END_TEST

/* On a flow that stays open for many requests, with pauses, each request is counted. */
START_TEST (test_persistent_flows)
{
  const struct Failures some = { .upstreams = 1, .share = 0.5, .answer = BAD_BYTES };
  struct Scenario scenario = scenario_new (11);
  struct SimFlow *flows[2 * UPSTREAMS];

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    flows[i] = run_request (scenario.sim, scenario.balance, NULL, &some, scenario.random);
  for (int round = 0; round < 20; round++)
    for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
      run_request (scenario.sim, scenario.balance, flows[i], &some, scenario.random);
  ck_assert_uint_eq (count_avoided (&scenario), 1);
  /* An idle flow is not counted as a failure. */
  sim_run (scenario.sim, scenario.sim->now + CF_OUTLIER_AVOID_MAX_MS);
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  scenario_free (&scenario);
}
END_TEST

/* A VM that was paused has missed the answers of all upstreams: none of them has failed. */
START_TEST (test_pause_not_counted_as_failure)
{
  struct Scenario scenario = scenario_new (17);
  struct SimFlow *flows[UPSTREAMS];
  struct CfQualityReport report;

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    {
      flows[i] = sim_open_flow (scenario.sim, scenario.balance, 80);
      sim_run (scenario.sim, scenario.sim->now + scenario.sim->round_trip + 2);
      sim_send_request (flows[i]);
    }
  scenario.sim->now += 3000;
  sim_run (scenario.sim, scenario.sim->now + 10);
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  ck_assert (!cf_balance_report (scenario.balance, &report, scenario.sim->now));
  scenario_free (&scenario);
}
END_TEST

/* A VM that is slow, or whose callers are at fault, does not make others avoid upstreams. */
START_TEST (test_report_without_common_failures)
{
  struct Scenario scenario = scenario_new (19);
  struct CfQualityReport report;
  double failed = 0;

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  run_requests (&scenario, 400,
                &(struct Failures){ .upstreams = UPSTREAMS, .share = 0.5, .answer = BAD_BYTES });
  ck_assert (cf_balance_report (scenario.balance, &report, scenario.sim->now));
  for (uint32_t i = 0; i < report.count; i++)
    failed += report.lines[i].failed;
  ck_assert_double_le (failed / report.count, CF_OUTLIER_FAILURES_MIN / 2);
  scenario_free (&scenario);
}
END_TEST

#define VMS 20
#define MANY_UPSTREAMS 40
#define ROUNDS 100 /* in each, every VM runs one request */
#define ROUND_MS 60
#define REPORT_INTERVAL_ROUNDS 8

/* Returns how many requests of VMS VMs went to the one of MANY_UPSTREAMS upstreams that fails half
 * of them.  With SHARE_REPORTS the VMs send each other reports. */
static uint32_t
run_many_vms (bool share_reports)
{
  struct Simulation *sim = sim_new ();
  GRand *random = g_rand_new_with_seed (13);
  struct Failures failures = { .share = 0.5, .answer = BAD_BYTES };
  uint32_t to_failing = 0;

  for (int i = 0; i < VMS; i++)
    sim_add_vm (sim, "a", 0);
  for (int i = 0; i < MANY_UPSTREAMS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "i-%d", i);
      sim_add_upstream (sim, NULL, id, "s", "a", 0);
    }
  for (int round = 0; round < 2 * ROUNDS; round++)
    {
      failures.upstreams = round >= ROUNDS;
      for (int i = 0; i < VMS; i++)
        {
          struct CfBalance *balance = sim->balances->pdata[i];
          struct SimFlow *flow = run_request (sim, balance, NULL, &failures, random);

          to_failing += failures.upstreams && strcmp (flow->target->id, "i-0") == 0;
          sim_close_flow (flow);
          sim->now -= 16; /* the requests of the VMs are concurrent */
        }
      sim_run (sim, sim->now + ROUND_MS);
      for (int from = 0; share_reports && round % REPORT_INTERVAL_ROUNDS == 0 && from < VMS; from++)
        {
          struct CfQualityReport report;

          if (!cf_balance_report (sim->balances->pdata[from], &report, sim->now))
            continue;
          g_snprintf (report.vm, sizeof report.vm, "vm-%d", from);
          for (int to = 0; to < VMS; to++)
            if (to != from)
              cf_balance_receive_report (sim->balances->pdata[to], &report, sim->now);
        }
    }
  g_rand_free (random);
  sim_free (sim);
  return to_failing;
}

/* With 20 VMs and 40 upstreams, no VM alone observes enough answers of one upstream to detect that
 * it fails. */
START_TEST (test_shared_reports)
{
  uint32_t without_reports = run_many_vms (false);
  uint32_t with_reports = run_many_vms (true);

  printf ("%d VMs, one of %d fails 50%%: %u of %d requests went there, %u when VMs report\n", VMS,
          MANY_UPSTREAMS, without_reports, VMS * ROUNDS, with_reports);
  ck_assert_uint_le (2 * with_reports, (uint32_t) (VMS * ROUNDS / MANY_UPSTREAMS));
}
END_TEST

/* Has the upstream ID answer COUNT requests, of which the first FAILED get a short answer. */
static void
answer_requests (struct Scenario *scenario, const char *id, int count, int failed)
{
  struct SimFlow *flow = NULL;

  for (int i = 0; i < 400 && (!flow || !g_str_equal (flow->target->id, id)); i++)
    {
      flow = sim_open_flow (scenario->sim, scenario->balance, 80);
      sim_run (scenario->sim, scenario->sim->now + scenario->sim->round_trip + 2);
    }
  ck_assert_str_eq (flow->target->id, id);
  for (int i = 0; i < count; i++)
    {
      sim_send_request (flow);
      sim_run (scenario->sim, scenario->sim->now + 10);
      sim_acknowledge (flow, i < failed ? BAD_BYTES : GOOD_BYTES);
    }
}

static struct Scenario
scenario_with (int upstreams)
{
  struct Scenario scenario = { .sim = sim_new (), .random = g_rand_new_with_seed (1) };

  scenario.balance = sim_add_vm (scenario.sim, "a", 0);
  for (int i = 0; i < upstreams; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "i-%d", i);
      sim_add_upstream (scenario.sim, NULL, id, "s", "a", 0);
    }
  return scenario;
}

static void
restart_upstream (struct Scenario *scenario, const char *id)
{
  struct CfDirectory *directory = cf_balance_directory (scenario->balance);
  const struct CfTarget *target = cf_directory_by_id (directory, id);

  cf_directory_announce (directory,
                         &(struct CfAnnouncement){
                             .id = id,
                             .tag = target->tag,
                             .service = "s",
                             .domain = "a",
                             .address = target->address,
                             .slots = target->slots,
                             .started = scenario->sim->now,
                             .revision = target->revision + 1,
                         },
                         scenario->sim->now);
}

static bool
is_avoided (const struct Scenario *scenario, const char *id)
{
  return cf_outlier_avoided (cf_directory_by_id (cf_balance_directory (scenario->balance), id),
                             scenario->sim->now);
}

/* An upstream that was avoided has gone, and took the place of the one in three that may be:
 * another that failed was used on. */
START_TEST (test_gone_upstream_leaves_room)
{
  struct Scenario scenario = scenario_with (4);
  struct CfDirectory *directory = cf_balance_directory (scenario.balance);

  answer_requests (&scenario, "i-2", 20, 0);
  answer_requests (&scenario, "i-0", 8, 8);
  ck_assert (is_avoided (&scenario, "i-0"));
  cf_directory_withdraw (directory, "i-0", true, scenario.sim->now);
  answer_requests (&scenario, "i-1", 8, 8);
  ck_assert (is_avoided (&scenario, "i-1"));
  scenario_free (&scenario);
}
END_TEST

/* The failures of an upstream that has gone, or has started again, made those of another one look
 * usual. */
START_TEST (test_failures_of_ended_upstream)
{
  struct Scenario scenario = scenario_with (4);
  struct CfDirectory *directory = cf_balance_directory (scenario.balance);

  answer_requests (&scenario, "i-2", 20, 0);
  answer_requests (&scenario, "i-0", 8, 8);
  if (_i == 0)
    cf_directory_withdraw (directory, "i-0", true, scenario.sim->now);
  else
    restart_upstream (&scenario, "i-0");
  answer_requests (&scenario, "i-1", 8, 6);
  ck_assert (is_avoided (&scenario, "i-1"));
  scenario_free (&scenario);
}
END_TEST

/* An upstream has started again, and a VM that does not know yet reports failures of its previous
 * process. */
START_TEST (test_report_about_previous_incarnation)
{
  static const struct CfQualityReport report = {
    .vm = "other",
    .lines = { { .id = "i-0", .answers = 20, .failed = 20, .avoided = true } },
    .count = 1,
  };
  struct Scenario scenario = scenario_with (4);
  struct CfDirectory *directory = cf_balance_directory (scenario.balance);
  struct CfTarget *target = cf_directory_by_id (directory, "i-0");

  answer_requests (&scenario, "i-2", 20, 0);
  restart_upstream (&scenario, "i-0");
  cf_balance_receive_report (scenario.balance, &report, scenario.sim->now);
  ck_assert (!is_avoided (&scenario, "i-0"));
  answer_requests (&scenario, "i-2", 20, 0);
  cf_balance_receive_report (scenario.balance, &report, scenario.sim->now + CF_DIRECTORY_SETTLE_MS);
  ck_assert (cf_outlier_avoided (target, scenario.sim->now + CF_DIRECTORY_SETTLE_MS));
  scenario_free (&scenario);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("outlier");

  suite_add_loop (suite, test_one_fails, 20);
  suite_add_loop (suite, test_one_silent, 1);
  suite_add_loop (suite, test_all_fail, 1);
  suite_add_loop (suite, test_persistent_flows, 1);
  suite_add_loop (suite, test_pause_not_counted_as_failure, 1);
  suite_add_loop (suite, test_report_without_common_failures, 1);
  suite_add_loop (suite, test_shared_reports, 1);
  suite_add_loop (suite, test_gone_upstream_leaves_room, 1);
  suite_add_loop (suite, test_failures_of_ended_upstream, 2);
  suite_add_loop (suite, test_report_about_previous_incarnation, 1);
  return suite_run (suite);
}
