#include "balance/service_load.h"
#include "suite.h"

#include <math.h>

/* Rates and requests in progress of a service, on virtual time. */

static GQuark
service (void)
{
  return g_quark_from_static_string ("s");
}

/* Records flows of PRIORITY at PER_S a second from BEGIN to END. */
static void
demand (struct CfServiceLoads *loads, uint32_t priority, int per_s, CfMillis begin, CfMillis end)
{
  for (CfMillis now = begin; now < end; now++)
    for (CfMillis i = (now - 1) * per_s / 1000; i < now * per_s / 1000; i++)
      cf_service_loads_demand (loads, service (), priority, now);
}

static struct CfLoadCounts
counts_at (const struct CfServiceLoads *loads, CfMillis now)
{
  struct CfLoadCounts counts;

  cf_service_loads_counts (loads, service (), now, &counts);
  return counts;
}

/* Guards against rates that depend on how long they are counted, priorities that are counted
 * together, and numbers above the last priority that are written out of bounds. */
START_TEST (test_rates)
{
  struct CfServiceLoads *loads = cf_service_loads_new ();
  struct CfLoadCounts counts;

  ck_assert (!cf_service_loads_counts (loads, service (), 1000, &counts));
  ck_assert_double_eq (counts.answered, 0);
  demand (loads, 1, 200, 1000, 8000);
  demand (loads, 7, 40, 1000, 8000);
  for (CfMillis now = 1000; now < 8000; now += 10)
    {
      cf_service_loads_learn_usual (loads, service (), now);
      cf_service_loads_answer (loads, service (), now % 50 == 0, now);
    }
  counts = counts_at (loads, 8000);
  ck_assert_double_eq (counts.demand[0], 0);
  ck_assert_double_eq_tol (counts.demand[1], 200, 4);
  ck_assert_double_eq_tol (counts.demand[CF_LOAD_PRIORITIES - 1], 40, 2);
  /* The mean since the beginning, when rates were still rising. */
  ck_assert_double_eq_tol (counts.usual, 240, 24);
  ck_assert_double_eq_tol (counts.answered, 80, 3);
  ck_assert_double_eq_tol (counts.shed, 20, 2);
  /* A clock that repeats a value or a pause leaves finite numbers. */
  ck_assert_double_eq (counts_at (loads, 7000).demand[1], counts_at (loads, 7995).demand[1]);
  ck_assert_double_eq_tol (counts_at (loads, 8000 + CF_SERVICE_LOAD_HALF_LIFE_MS).demand[1], 100,
                           2);
  ck_assert_double_le (counts_at (loads, 80000).demand[1], 1e-9);
  cf_service_loads_free (loads);
}
END_TEST

/* Guards against a count at one instant, which is 0 or 1 at a VM with few flows, in place of a
 * mean, and against a count below 0 when the begin of a request was not seen. */
START_TEST (test_requests_in_progress)
{
  struct CfServiceLoads *loads = cf_service_loads_new ();

  cf_service_loads_progress (loads, service (), false, 500);
  for (CfMillis now = 1000; now < 3000; now += 40)
    {
      cf_service_loads_progress (loads, service (), true, now);
      cf_service_loads_progress (loads, service (), false, now + 10);
    }
  ck_assert_double_eq_tol (counts_at (loads, 3000).in_progress, 0.25, 0.05);
  for (int i = 0; i < 4; i++)
    cf_service_loads_progress (loads, service (), true, 3000);
  ck_assert_double_le (counts_at (loads, 3010).in_progress, 0.6);
  ck_assert_double_eq_tol (
      counts_at (loads, 3000 + CF_SERVICE_LOAD_PROGRESS_HALF_LIFE_MS).in_progress, 2.1, 0.1);
  ck_assert_double_eq_tol (counts_at (loads, 8000).in_progress, 4, 0.01);
  cf_service_loads_free (loads);
}
END_TEST

/* Guards against a burst that counts as usual demand before it is noticed as an overload: the
 * claims of failure domains are in proportion to it. */
START_TEST (test_usual_demand)
{
  struct CfServiceLoads *loads = cf_service_loads_new ();
  double before;

  for (CfMillis now = 1000; now < 8000; now += 100)
    {
      demand (loads, 1, 200, now, now + 100);
      cf_service_loads_learn_usual (loads, service (), now + 100);
    }
  before = counts_at (loads, 8000).usual;
  ck_assert_double_eq_tol (before, 200, 30);
  demand (loads, 1, 2400, 8000, 8500);
  cf_service_loads_learn_usual (loads, service (), 8500);
  ck_assert_double_le (counts_at (loads, 8500).usual, 1.05 * before);
  cf_service_loads_free (loads);
}
END_TEST

/* Guards against token buckets that are filled at the rate before a burst, or run dry at its end,
 * and against a chance cluster of flows that counts as a burst. */
START_TEST (test_rate_in_burst)
{
  struct CfServiceLoads *loads = cf_service_loads_new ();

  demand (loads, 0, 100, 1000, 6000);
  ck_assert_double_eq_tol (cf_service_loads_demand_rate (loads, service (), 0, 6000), 100, 5);
  for (int i = 0; i < 3; i++)
    cf_service_loads_demand (loads, service (), 0, 6000);
  ck_assert_double_eq_tol (cf_service_loads_demand_rate (loads, service (), 0, 6000), 100, 6);
  demand (loads, 0, 400, 6001, 6300);
  ck_assert_double_ge (cf_service_loads_demand_rate (loads, service (), 0, 6300), 300);
  ck_assert_double_le (counts_at (loads, 6300).demand[0],
                       0.75 * cf_service_loads_demand_rate (loads, service (), 0, 6300));
  demand (loads, 0, 400, 6300, 9000);
  demand (loads, 0, 100, 9000, 9300);
  ck_assert_double_ge (cf_service_loads_demand_rate (loads, service (), 0, 9300), 250);
  ck_assert_double_eq (
      cf_service_loads_demand_rate (loads, g_quark_from_static_string ("other"), 0, 9300), 0);
  cf_service_loads_free (loads);
}
END_TEST

/* Guards against memory that grows with each service that was ever used. */
START_TEST (test_prune)
{
  struct CfServiceLoads *loads = cf_service_loads_new ();
  struct CfLoadCounts counts;

  demand (loads, 0, 10, 1000, 2000);
  cf_service_loads_prune (loads, 61000);
  ck_assert (cf_service_loads_counts (loads, service (), 61000, &counts));
  cf_service_loads_prune (loads, 62000);
  ck_assert (!cf_service_loads_counts (loads, service (), 62000, &counts));
  cf_service_loads_free (loads);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("service load");

  suite_add_loop (suite, test_rates, 1);
  suite_add_loop (suite, test_requests_in_progress, 1);
  suite_add_loop (suite, test_usual_demand, 1);
  suite_add_loop (suite, test_rate_in_burst, 1);
  suite_add_loop (suite, test_prune, 1);
  return suite_run (suite);
}
