#include "balance/answers.h"
#include "balancers.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* Upstreams at which flows open and requests fail, on virtual time. */

#define UPSTREAMS 12
#define GOOD_BYTES 750 /* of an answer */
#define BAD_BYTES 120
#define SILENT UINT32_MAX
#define REQUEST_INTERVAL_MS 20

struct Failures
{
  int upstreams;   /* the first ones fail */
  double share;    /* of their requests */
  uint32_t answer; /* bytes of a failed answer, SILENT: none comes */
};

static bool
fails (const struct SimFlow *flow, const struct Failures *failures, GRand *random)
{
  return atoi (strchr (flow->at->id, '-') + 1) < failures->upstreams
         && g_rand_double (random) < failures->share;
}

/* A caller's request of 10 ms on a flow of its own, or on FLOW if that is open. */
static struct SimFlow *
exchange (struct Simulation *sim,
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
  ck_assert_ptr_nonnull (flow->at);
  failed = fails (flow, failures, random);
  sim_send_request (flow);
  sim_run (sim, sim->now + 10);
  if (!failed)
    sim_acknowledge (flow, GOOD_BYTES);
  else if (failures->answer != SILENT)
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
begin (uint32_t seed)
{
  struct Scenario play = { .sim = sim_new (), .random = g_rand_new_with_seed (seed) };

  play.balance = sim_add_vm (play.sim, "a", 0);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "i-%d", i);
      sim_add_upstream (play.sim, NULL, id, "s", "a", 0);
    }
  return play;
}

static void
finish (struct Scenario *play)
{
  g_rand_free (play->random);
  sim_free (play->sim);
}

/* COUNT requests on a flow each; returns how many of them went to upstreams that fail. */
static uint32_t
requests (struct Scenario *play, int count, const struct Failures *failures)
{
  uint32_t to_failing = 0;

  for (int i = 0; i < count; i++)
    {
      struct SimFlow *flow = exchange (play->sim, play->balance, NULL, failures, play->random);

      to_failing += atoi (strchr (flow->at->id, '-') + 1) < failures->upstreams;
      if (failures->answer != SILENT || flow->acknowledged > 0)
        sim_close_flow (flow);
      sim_run (play->sim, play->sim->now + REQUEST_INTERVAL_MS - 16);
    }
  return to_failing;
}

static uint32_t
avoided (const struct Scenario *play)
{
  GPtrArray *all
      = cf_directory_service (cf_balance_directory (play->balance), g_quark_from_string ("s"));
  uint32_t count = 0;

  for (guint i = 0; i < all->len; i++)
    count += cf_outlier_avoided (all->pdata[i], play->sim->now);
  return count;
}

/* One upstream fails four in ten requests and its health probe is good: users saw reservations
 * fail at upstreams that reported themselves healthy. */
START_TEST (test_one_fails)
{
  const struct Failures none = { 0 };
  const struct Failures some = { .upstreams = 1, .share = 0.4, .answer = BAD_BYTES };
  struct Scenario play = begin ((uint32_t) _i + 1);
  uint32_t hit;

  requests (&play, 200, &none);
  ck_assert_uint_eq (avoided (&play), 0);
  hit = requests (&play, 1200, &some);
  printf ("one of %d fails 40%%: %u of 1,200 requests went there, 100 without a judgement\n",
          UPSTREAMS, hit);
  ck_assert_uint_le (hit, 50);
  /* It is back in use soon after it works again. */
  requests (&play, 1000, &none);
  ck_assert_uint_ge (requests (&play, 240, &(struct Failures){ .upstreams = 1 }), 10);
  finish (&play);
}
END_TEST

/* One takes requests and never answers. */
START_TEST (test_one_silent)
{
  const struct Failures silent = { .upstreams = 1, .share = 1, .answer = SILENT };
  struct Scenario play = begin (7);
  uint32_t hit;

  requests (&play, 200, &(struct Failures){ 0 });
  hit = requests (&play, 600, &silent);
  printf ("one of %d is silent: %u of 600 requests went there, 50 without a judgement\n", UPSTREAMS,
          hit);
  ck_assert_uint_le (hit, 25);
  finish (&play);
}
END_TEST

/* What all do is usual: a release with shorter answers, or a fault of the callers.  And never
 * are more than a third avoided. */
START_TEST (test_all_fail)
{
  struct Scenario play = begin (9);

  requests (&play, 200, &(struct Failures){ 0 });
  requests (&play, 600,
            &(struct Failures){ .upstreams = UPSTREAMS, .share = 0.4, .answer = BAD_BYTES });
  ck_assert_uint_eq (avoided (&play), 0);
  requests (&play, 400,
            &(struct Failures){ .upstreams = UPSTREAMS, .share = 1, .answer = BAD_BYTES });
  ck_assert_uint_eq (avoided (&play), 0);
  requests (&play, 600,
            &(struct Failures){ .upstreams = UPSTREAMS / 2, .share = 1, .answer = SILENT });
  ck_assert_uint_le (avoided (&play), UPSTREAMS / CF_OUTLIER_AVOID_ONE_IN);
  finish (&play);
}
END_TEST

/* A flow that is kept open for many requests, with pauses between them, counts by these. */
START_TEST (test_persistent_flows)
{
  const struct Failures some = { .upstreams = 1, .share = 0.5, .answer = BAD_BYTES };
  struct Scenario play = begin (11);
  struct SimFlow *flows[2 * UPSTREAMS];

  requests (&play, 200, &(struct Failures){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    flows[i] = exchange (play.sim, play.balance, NULL, &some, play.random);
  for (int round = 0; round < 20; round++)
    for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
      exchange (play.sim, play.balance, flows[i], &some, play.random);
  ck_assert_uint_eq (avoided (&play), 1);
  /* A pause is no failure. */
  sim_run (play.sim, play.sim->now + CF_OUTLIER_AVOID_MAX_MS);
  ck_assert_uint_eq (avoided (&play), 0);
  finish (&play);
}
END_TEST

/* A VM that stood still has missed the answers of all upstreams alike. */
START_TEST (test_pause_not_counted_as_failure)
{
  struct Scenario play = begin (17);
  struct SimFlow *flows[UPSTREAMS];
  struct CfQualityReport report;

  requests (&play, 200, &(struct Failures){ 0 });
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    {
      flows[i] = sim_open_flow (play.sim, play.balance, 80);
      sim_run (play.sim, play.sim->now + play.sim->round_trip + 2);
      sim_send_request (flows[i]);
    }
  play.sim->now += 3000;
  sim_run (play.sim, play.sim->now + 10);
  ck_assert_uint_eq (avoided (&play), 0);
  ck_assert (!cf_balance_report (play.balance, &report, play.sim->now));
  finish (&play);
}
END_TEST

/* One that is slow, or whose callers are at fault, does not talk others into avoiding anything. */
START_TEST (test_report_without_common_failures)
{
  struct Scenario play = begin (19);
  struct CfQualityReport report;
  double failed = 0;

  requests (&play, 200, &(struct Failures){ 0 });
  requests (&play, 400,
            &(struct Failures){ .upstreams = UPSTREAMS, .share = 0.5, .answer = BAD_BYTES });
  ck_assert (cf_balance_report (play.balance, &report, play.sim->now));
  for (uint32_t i = 0; i < report.count; i++)
    failed += report.lines[i].failed;
  ck_assert_double_le (failed / report.count, CF_OUTLIER_FAILURES_MIN / 2);
  finish (&play);
}
END_TEST

#define VMS 20
#define MANY 40
#define ROUNDS 100 /* of a request of each VM */
#define ROUND_MS 60
#define REPORT_INTERVAL_ROUNDS 8 /* rounds */

/* Returns how many requests of VMS VMs went to the one of MANY upstreams that fails half of them;
 * with TOLD the VMs report to each other. */
static uint32_t
run_many_vms (bool told)
{
  struct Simulation *sim = sim_new ();
  GRand *random = g_rand_new_with_seed (13);
  struct Failures failures = { .share = 0.5, .answer = BAD_BYTES };
  uint32_t to_failing = 0;

  for (int i = 0; i < VMS; i++)
    sim_add_vm (sim, "a", 0);
  for (int i = 0; i < MANY; i++)
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
          struct SimFlow *flow = exchange (sim, balance, NULL, &failures, random);

          to_failing += failures.upstreams && strcmp (flow->at->id, "i-0") == 0;
          sim_close_flow (flow);
          sim->now -= 16; /* the VMs' requests are concurrent */
        }
      sim_run (sim, sim->now + ROUND_MS);
      for (int from = 0; told && round % REPORT_INTERVAL_ROUNDS == 0 && from < VMS; from++)
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

/* With 20 VMs before 40 upstreams, none sees enough answers of one to judge it alone. */
START_TEST (test_shared_reports)
{
  uint32_t alone = run_many_vms (false);
  uint32_t told = run_many_vms (true);

  printf ("%d VMs, one of %d fails 50%%: %u of %d requests went there, %u when VMs report\n", VMS,
          MANY, alone, VMS * ROUNDS, told);
  ck_assert_uint_le (2 * told, (uint32_t) (VMS * ROUNDS / MANY));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("answers");

  suite_add_loop (suite, test_one_fails, 20);
  suite_add_loop (suite, test_one_silent, 1);
  suite_add_loop (suite, test_all_fail, 1);
  suite_add_loop (suite, test_persistent_flows, 1);
  suite_add_loop (suite, test_pause_not_counted_as_failure, 1);
  suite_add_loop (suite, test_report_without_common_failures, 1);
  suite_add_loop (suite, test_shared_reports, 1);
  return suite_run (suite);
}
