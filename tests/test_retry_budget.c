#include "balance/retry_budget.h"
#include "balance/retry_tracker.h"
#include "suite.h"

#include <glib.h>

/* The retry budget and the recognition of repeated tries, on virtual time. */

#define VMS_MAX 300
#define REQUESTS_PER_S 1312 /* first attempts at all VMs */
#define SHARE 0.2

/* Returns true if VM takes part at NOW: one is killed, one joins late and one is paused. */
static bool
is_running (guint vm, CfMillis now)
{
  if (vm == 0)
    return now < 4000;
  if (vm == 1)
    return now >= 3000;
  return vm != 2 || now < 2000 || now >= 5000;
}

/* All first attempts fail and come back twice, at 6, 76 and 300 VMs of which some come, go and
 * pause.  Guards against a limit that grows with the number of VMs, and against one that is rounded
 * down to nothing where each has few requests. */
START_TEST (test_share)
{
  static const guint vms[] = { 6, 76, VMS_MAX };
  struct CfRetryBudget budgets[VMS_MAX];
  GRand *random = g_rand_new_with_seed (7);
  uint32_t usual = 0;
  uint32_t extra = 0;
  double window = 0; /* highest sum in a window */
  guint owing = 0;

  for (guint i = 0; i < vms[_i]; i++)
    cf_retry_budget_init (&budgets[i], SHARE, 0);
  for (CfMillis now = 1; now < 10000; now++)
    {
      double used = 0;

      for (owing += REQUESTS_PER_S; owing >= CF_MS_PER_S; owing -= CF_MS_PER_S)
        {
          guint vm = g_rand_int (random) % vms[_i];

          if (!is_running (vm, now))
            continue;
          cf_retry_budget_deposit (&budgets[vm], now);
          usual++;
          extra += cf_retry_budget_withdraw (&budgets[vm], now);
          extra += cf_retry_budget_withdraw (&budgets[vm], now);
        }
      for (guint i = 0; i < vms[_i] && now % 100 == 0; i++)
        used += cf_retry_budget_used (&budgets[i], now) / vms[_i];
      window = MAX (window, used);
    }
  printf ("%u VMs: %u retries of %u first attempts, up to %.3f in a window\n", vms[_i], extra,
          usual, window);
  ck_assert_double_le (extra, SHARE * usual);
  ck_assert_double_ge (extra, 0.8 * SHARE * usual);
  ck_assert_double_le (window, 1.1 * SHARE);
  g_rand_free (random);
}
END_TEST

/* Guards against units that are saved up while nothing fails and spent at once, and against a
 * minimum that is not granted, or granted more than once. */
START_TEST (test_window)
{
  struct CfRetryBudget budget;
  uint32_t extra = 0;
  CfMillis now = 0;

  cf_retry_budget_init (&budget, 0.25, 1);
  ck_assert (cf_retry_budget_has (&budget, now));
  ck_assert (cf_retry_budget_withdraw (&budget, now));
  ck_assert (!cf_retry_budget_has (&budget, now));
  ck_assert (!cf_retry_budget_withdraw (&budget, now));
  ck_assert_double_eq (cf_retry_budget_used (&budget, now), 1);
  for (; now < 100000; now += 10)
    cf_retry_budget_deposit (&budget, now);
  while (cf_retry_budget_withdraw (&budget, now))
    extra++;
  ck_assert_uint_ge (extra, 42);
  ck_assert_uint_le (extra, 50);
  ck_assert_double_le (cf_retry_budget_used (&budget, now), 0.3);
  now += CF_RETRY_BUDGET_WINDOW_MS;
  ck_assert_double_eq (cf_retry_budget_used (&budget, now), 0);
  ck_assert (cf_retry_budget_withdraw (&budget, now));
  ck_assert (!cf_retry_budget_withdraw (&budget, now));
  cf_retry_budget_init (&budget, 0, 0);
  for (int i = 0; i < 1000; i++)
    cf_retry_budget_deposit (&budget, now);
  ck_assert (!cf_retry_budget_withdraw (&budget, now));
}
END_TEST

/* A burst after which the tries of requests that were turned away would keep the upstreams busy:
 * each comes back at once, up to twice.  The upstreams serve 1,000 requests a second, and turn away
 * twice as many in that time; 800 are sent, and 4,000 in the seconds 1 and 2.  Guards against a
 * collapse that outlasts its cause. */
START_TEST (test_collapse)
{
  struct CfRetryBudget budget;
  struct CfRetryTracker *tracker = cf_retry_tracker_new ();
  GQueue attempts = G_QUEUE_INIT; /* numbers of requests, 4 times, and of their tries */
  uint32_t requests = 0;
  double work = 0; /* that can be done at once, in requests */
  uint32_t served[6] = { 0 };
  uint32_t tries[6] = { 0 };

  cf_retry_budget_init (&budget, SHARE, 0);
  for (CfMillis now = 1; now < 6 * CF_MS_PER_S; now++)
    {
      int second = (int) (now / CF_MS_PER_S);

      for (int i = 0; i < (second == 1 || second == 2 ? 4 : now % 5 != 0); i++)
        g_queue_push_tail (&attempts, GUINT_TO_POINTER (4 * ++requests));
      work = MIN (work + 1, 5);
      for (guint count = attempts.length; count > 0; count--)
        {
          guint attempt = GPOINTER_TO_UINT (g_queue_pop_head (&attempts));
          bool retry = cf_retry_tracker_match (tracker, attempt / 4, 1, now);

          ck_assert (retry == (attempt % 4 > 0));
          if (!retry)
            cf_retry_budget_deposit (&budget, now);
          else if (!cf_retry_budget_withdraw (&budget, now))
            continue;
          tries[second] += retry;
          served[second] += work >= 1;
          work -= work >= 1 ? 1 : 0.5;
          if (work >= 0 || attempt % 4 == 2)
            continue;
          work = MAX (work, -80); /* requests that wait at the upstreams */
          cf_retry_tracker_failed (tracker, attempt / 4, 1, now);
          g_queue_push_tail (&attempts, GUINT_TO_POINTER (attempt + 1));
        }
    }
  printf ("served in each second: %u %u %u %u %u %u; retries in the second one: %u\n", served[0],
          served[1], served[2], served[3], served[4], served[5], tries[1]);
  /* Units of the 2 s before may be spent in the burst, too. */
  ck_assert_double_le (tries[1], SHARE * (4000 + 2 * 800));
  ck_assert_uint_ge (served[3], 500);
  ck_assert_uint_ge (served[4], 790);
  g_queue_clear (&attempts);
  cf_retry_tracker_free (tracker);
}
END_TEST

/* Guards against tries that are taken for new requests, and against new requests, of other callers
 * or to other services, that are taken for tries. */
START_TEST (test_match)
{
  struct CfRetryTracker *tracker = cf_retry_tracker_new ();
  CfMillis now = 1000;

  ck_assert (!cf_retry_tracker_match (tracker, 7, 1, now));
  cf_retry_tracker_failed (tracker, 7, 1, now);
  cf_retry_tracker_failed (tracker, 7, 1, now + 500);
  cf_retry_tracker_failed (tracker, 8, 2, now + 500);
  ck_assert (!cf_retry_tracker_match (tracker, 7, 2, now + 600));
  ck_assert (!cf_retry_tracker_match (tracker, 8, 1, now + 600));
  /* Each failure explains one try. */
  ck_assert (cf_retry_tracker_match (tracker, 7, 1, now + 600));
  ck_assert (cf_retry_tracker_match (tracker, 7, 1, now + 1500));
  ck_assert (!cf_retry_tracker_match (tracker, 7, 1, now + 1500));
  /* A failure is forgotten after CF_RETRY_TRACKER_MS, also if the caller has failed since. */
  ck_assert (!cf_retry_tracker_match (tracker, 8, 2, now + 501 + CF_RETRY_TRACKER_MS));
  cf_retry_tracker_failed (tracker, 7, 1, 5000);
  cf_retry_tracker_failed (tracker, 7, 1, 5900);
  ck_assert (cf_retry_tracker_match (tracker, 7, 1, 6001));
  ck_assert (!cf_retry_tracker_match (tracker, 7, 1, 6001));
  cf_retry_tracker_free (tracker);
}
END_TEST

/* Guards against memory that grows with the failures while time stands still: the oldest are
 * dropped. */
START_TEST (test_bounded)
{
  struct CfRetryTracker *tracker = cf_retry_tracker_new ();
  uint32_t found = 0;

  for (uint32_t ip = 0; ip < 100000; ip++)
    cf_retry_tracker_failed (tracker, ip, 1, 10);
  ck_assert (cf_retry_tracker_match (tracker, 100000 - CF_RETRY_TRACKER_MAX, 1, 10));
  for (uint32_t ip = 0; ip < 100000; ip++)
    found += cf_retry_tracker_match (tracker, ip, 1, 10);
  ck_assert_uint_eq (found, CF_RETRY_TRACKER_MAX - 1);
  cf_retry_tracker_free (tracker);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("retry budget");

  suite_add_loop (suite, test_share, 3);
  suite_add_loop (suite, test_window, 1);
  suite_add_loop (suite, test_collapse, 1);
  suite_add_loop (suite, test_match, 1);
  suite_add_loop (suite, test_bounded, 1);
  return suite_run (suite);
}
