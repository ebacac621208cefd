#include "balance/answers.h"
#include "balancers.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* Outlier detection: upstreams at which flows open and requests fail, on virtual time. */

#define UPSTREAMS 12
#define GOOD_BYTES 750 /* of an answer */
#define BAD_BYTES 120
#define NO_ANSWER UINT32_MAX
#define BETWEEN_MS 20

struct Failures
{
  int upstreams;   /* that fail: those with the lowest numbers */
  double share;    /* of their requests that fails */
  uint32_t answer; /* bytes of a failed answer, NO_ANSWER: none comes */
};

static bool
fails (const struct TestFlow *flow, const struct Failures *failures, GRand *random)
{
  return atoi (strchr (flow->target->id, '-') + 1) < failures->upstreams
         && g_rand_double (random) < failures->share;
}

/* Runs a request of 10 ms on FLOW, or on a new flow if FLOW is NULL.  Returns the flow. */
static struct TestFlow *
run_request (struct TestWorld *world,
             struct CfBalance *balance,
             struct TestFlow *flow,
             const struct Failures *failures,
             GRand *random)
{
  bool failed;

  if (!flow)
    {
      flow = test_world_open (world, balance, 80);
      test_world_run (world, world->now + world->round_trip + 2);
    }
  ck_assert_ptr_nonnull (flow->target);
  failed = fails (flow, failures, random);
  test_world_ask (flow);
  test_world_run (world, world->now + 10);
  if (!failed)
    test_world_answer (flow, GOOD_BYTES);
  else if (failures->answer != NO_ANSWER)
    test_world_answer (flow, failures->answer);
  return flow;
}

struct Play
{
  struct TestWorld *world;
  struct CfBalance *balance;
  GRand *random;
  uint32_t failed;
};

static struct Play
scenario_new (uint32_t seed)
{
  struct Play scenario = { .world = test_world_new (), .random = g_rand_new_with_seed (seed) };

  scenario.balance = test_world_vm (scenario.world, "a", 0);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "i-%d", i);
      test_world_upstream (scenario.world, NULL, id, "s", "a", 0);
    }
  return scenario;
}

static void
scenario_free (struct Play *scenario)
{
  g_rand_free (scenario->random);
  test_world_free (scenario->world);
}

/* Runs COUNT requests, each on a new flow.  Returns how many went to failing upstreams. */
static uint32_t
run_requests (struct Play *scenario, int count, const struct Failures *failures)
{
  uint32_t to_failing = 0;

  for (int i = 0; i < count; i++)
    {
      struct TestFlow *flow
          = run_request (scenario->world, scenario->balance, NULL, failures, scenario->random);

      to_failing += atoi (strchr (flow->target->id, '-') + 1) < failures->upstreams;
      if (failures->answer != NO_ANSWER || flow->acknowledged > 0)
        test_world_close (flow);
      test_world_run (scenario->world, scenario->world->now + BETWEEN_MS - 16);
    }
  return to_failing;
}

static uint32_t
count_avoided (const struct Play *scenario)
{
  GPtrArray *all
      = cf_directory_service (cf_balance_directory (scenario->balance), g_quark_from_string ("s"));
  uint32_t count = 0;

  for (guint i = 0; i < all->len; i++)
    count += cf_answers_avoids (all->pdata[i], scenario->world->now);
  return count;
}

/* One upstream fails 40% of its requests while its health probe succeeds.  Guards against
 * reservations that failed at upstreams which reported themselves healthy. */
START_TEST (test_one_fails)
{
  const struct Failures none = { 0 };
  const struct Failures some = { .upstreams = 1, .share = 0.4, .answer = BAD_BYTES };
  struct Play scenario = scenario_new ((uint32_t) _i + 1);
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
  struct Play scenario = scenario_new (7);
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
  struct Play scenario = scenario_new (9);

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  run_requests (&scenario, 600,
                &(struct Failures){ .upstreams = UPSTREAMS, .share = 0.4, .answer = BAD_BYTES });
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  run_requests (&scenario, 400,
                &(struct Failures){ .upstreams = UPSTREAMS, .share = 1, .answer = BAD_BYTES });
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  run_requests (&scenario, 600,
                &(struct Failures){ .upstreams = UPSTREAMS / 2, .share = 1, .answer = NO_ANSWER });
  ck_assert_uint_le (count_avoided (&scenario), UPSTREAMS / CF_ANSWERS_AVOID_ONE_OF);
  scenario_free (&scenario);
}
END_TEST

/* On a flow that stays open for many requests, with pauses, each request is counted. */
START_TEST (test_kept_open)
{
  const struct Failures some = { .upstreams = 1, .share = 0.5, .answer = BAD_BYTES };
  struct Play scenario = scenario_new (11);
  struct TestFlow *flows[2 * UPSTREAMS];

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    flows[i] = run_request (scenario.world, scenario.balance, NULL, &some, scenario.random);
  for (int round = 0; round < 20; round++)
    for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
      run_request (scenario.world, scenario.balance, flows[i], &some, scenario.random);
  ck_assert_uint_eq (count_avoided (&scenario), 1);
  /* An idle flow is not counted as a failure. */
  test_world_run (scenario.world, scenario.world->now + CF_ANSWERS_AVOID_MAX_MS);
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  scenario_free (&scenario);
}
END_TEST

/* A VM that was paused has missed the answers of all upstreams: none of them has failed. */
START_TEST (test_pause_no_failure)
{
  struct Play scenario = scenario_new (17);
  struct TestFlow *flows[UPSTREAMS];
  struct CfQualityReport report;

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    {
      flows[i] = test_world_open (scenario.world, scenario.balance, 80);
      test_world_run (scenario.world, scenario.world->now + scenario.world->round_trip + 2);
      test_world_ask (flows[i]);
    }
  scenario.world->now += 3000;
  test_world_run (scenario.world, scenario.world->now + 10);
  ck_assert_uint_eq (count_avoided (&scenario), 0);
  ck_assert (!cf_balance_report (scenario.balance, &report, scenario.world->now));
  scenario_free (&scenario);
}
END_TEST

/* A VM that is slow, or whose callers are at fault, does not make others avoid upstreams. */
START_TEST (test_report_without_common_failures)
{
  struct Play scenario = scenario_new (19);
  struct CfQualityReport report;
  double failed = 0;

  run_requests (&scenario, 200, &(struct Failures){ 0 });
  run_requests (&scenario, 400,
                &(struct Failures){ .upstreams = UPSTREAMS, .share = 0.5, .answer = BAD_BYTES });
  ck_assert (cf_balance_report (scenario.balance, &report, scenario.world->now));
  for (uint32_t i = 0; i < report.count; i++)
    failed += report.lines[i].failed;
  ck_assert_double_le (failed / report.count, CF_ANSWERS_FAILED_MIN / 2);
  scenario_free (&scenario);
}
END_TEST

#define VMS 20
#define MANY_UPSTREAMS 40
#define ROUNDS 100 /* in each, every VM runs one request */
#define ROUND_MS 60
#define REPORT_EVERY 8

/* Returns how many requests of VMS VMs went to the one of MANY_UPSTREAMS upstreams that fails half
 * of them.  With SHARE_REPORTS the VMs send each other reports. */
static uint32_t
requests_of_many (bool share_reports)
{
  struct TestWorld *world = test_world_new ();
  GRand *random = g_rand_new_with_seed (13);
  struct Failures failures = { .share = 0.5, .answer = BAD_BYTES };
  uint32_t to_failing = 0;

  for (int i = 0; i < VMS; i++)
    test_world_vm (world, "a", 0);
  for (int i = 0; i < MANY_UPSTREAMS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "i-%d", i);
      test_world_upstream (world, NULL, id, "s", "a", 0);
    }
  for (int round = 0; round < 2 * ROUNDS; round++)
    {
      failures.upstreams = round >= ROUNDS;
      for (int i = 0; i < VMS; i++)
        {
          struct CfBalance *balance = world->balances->pdata[i];
          struct TestFlow *flow = run_request (world, balance, NULL, &failures, random);

          to_failing += failures.upstreams && strcmp (flow->target->id, "i-0") == 0;
          test_world_close (flow);
          world->now -= 16; /* the requests of the VMs are concurrent */
        }
      test_world_run (world, world->now + ROUND_MS);
      for (int from = 0; share_reports && round % REPORT_EVERY == 0 && from < VMS; from++)
        {
          struct CfQualityReport report;

          if (!cf_balance_report (world->balances->pdata[from], &report, world->now))
            continue;
          g_snprintf (report.vm, sizeof report.vm, "vm-%d", from);
          for (int to = 0; to < VMS; to++)
            if (to != from)
              cf_balance_hear (world->balances->pdata[to], &report, world->now);
        }
    }
  g_rand_free (random);
  test_world_free (world);
  return to_failing;
}

/* With 20 VMs and 40 upstreams, no VM observes enough answers of one upstream to detect it alone.
 */
START_TEST (test_told)
{
  uint32_t alone = requests_of_many (false);
  uint32_t share_reports = requests_of_many (true);

  printf ("%d VMs, one of %d fails 50%%: %u of %d requests went there, %u when VMs report\n", VMS,
          MANY_UPSTREAMS, alone, VMS * ROUNDS, share_reports);
  ck_assert_uint_le (2 * share_reports, (uint32_t) (VMS * ROUNDS / MANY_UPSTREAMS));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answers");

  suite_add_loop (suite, test_one_fails, 20);
  suite_add_loop (suite, test_one_silent, 1);
  suite_add_loop (suite, test_all_fail, 1);
  suite_add_loop (suite, test_kept_open, 1);
  suite_add_loop (suite, test_pause_no_failure, 1);
  suite_add_loop (suite, test_report_without_common_failures, 1);
  suite_add_loop (suite, test_told, 1);
  return suite_run (suite);
}
