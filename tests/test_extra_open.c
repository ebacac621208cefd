#include "balance/extra_open.h"
#include "balance/retry_budget.h"
#include "suite.h"

/* Extra openings, on virtual time. */

#define SERVICE 1
#define VMS_MAX 300
#define UPSTREAMS 120
#define OPENINGS_PER_S 1312 /* at all VMs */
#define END_S 80
#define SILENT_S 64 /* a fifth of the flows does not open for SILENT_LENGTH_S */
#define SILENT_LENGTH_S 5
#define SLOW_S 72 /* all openings are slow from now on */

/* Sends and opens COUNT flows to TARGET, each after WAIT. */
static void
open_flows (struct CfExtraOpen *extra,
            const struct CfTarget *target,
            int count,
            CfMillis wait,
            CfMillis now)
{
  for (int i = 0; i < count; i++)
    {
      cf_extra_open_record_usual (extra, target, now);
      cf_extra_open_record_opened (extra, target->service, wait, now);
    }
}

/* Returns true if VM takes part at NOW: one is killed and one is paused. */
static bool
is_running (guint vm, CfMillis now)
{
  return vm == 0 ? now < 66500 : vm != 1 || now < 64500 || now >= 67500;
}

/* Some upstreams stop responding for a while, and later all respond slowly.  Guards against a limit
 * that grows or shrinks with the number of VMs, and against extra work for a service that is slow
 * as a whole. */
START_TEST (test_limit)
{
  static const guint vms[] = { 6, 76, VMS_MAX };
  static const double limits[] = { 0, 0.01, 0.05, 0.1 };
  double limit = limits[_i % 4];
  struct CfExtraOpen *extra[VMS_MAX];
  struct CfTarget targets[UPSTREAMS];
  GRand *random = g_rand_new_with_seed (11);
  uint32_t usual = 0;
  uint32_t sent[END_S] = { 0 };
  uint32_t all = 0;
  uint32_t burst = 0;
  uint32_t silent_all = 0;

  for (guint i = 0; i < vms[_i / 4]; i++)
    extra[i] = cf_extra_open_new (limit);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    targets[i] = (struct CfTarget){ .cookie = i + 1, .service = SERVICE };
  for (uint32_t flow = 0; flow < END_S * OPENINGS_PER_S; flow++)
    {
      CfMillis now = (CfMillis) flow * CF_MS_PER_S / OPENINGS_PER_S;
      guint vm = g_rand_int (random) % vms[_i / 4];
      const struct CfTarget *target = &targets[g_rand_int (random) % UPSTREAMS];
      CfMillis second = now / CF_MS_PER_S;
      bool silent = second >= SILENT_S && second < SILENT_S + SILENT_LENGTH_S
                    && g_rand_int (random) % 5 == 0;
      CfMillis wait = second >= SLOW_S ? 60 : 1 + flow % 2;
      bool opened = !silent;

      if (!is_running (vm, now))
        continue;
      usual += second >= SILENT_S;
      cf_extra_open_record_usual (extra[vm], target, now);
      if ((silent || wait >= cf_extra_open_delay (extra[vm], SERVICE, now))
          && cf_extra_open_take (extra[vm], &targets[g_rand_int (random) % UPSTREAMS], now)
                 == CF_EXTRA_OPEN_SENT)
        {
          sent[second]++;
          cf_extra_open_record_result (extra[vm], SERVICE, silent, now);
          opened = true;
        }
      if (opened)
        cf_extra_open_record_opened (extra[vm], SERVICE, wait, now);
    }
  for (int i = 0; i < END_S; i++)
    {
      all += sent[i];
      silent_all += i < SILENT_S + SILENT_LENGTH_S ? sent[i] : 0;
      burst += i >= SILENT_S && i < SILENT_S + 2 ? sent[i] : 0;
    }
  printf (
      "limit %.2f, %u VMs: %u extra of %u openings, %u in the first 2 s of silence, %u in 5 s\n",
      limit, vms[_i / 4], all, usual, burst, silent_all);
  ck_assert_double_le (all, limit * usual);
  ck_assert (limit > 0 || cf_extra_open_size (extra[0]) == 0);
  ck_assert_double_ge (silent_all, 0.5 * limit * SILENT_LENGTH_S * OPENINGS_PER_S);
  /* Units of the 2 s before may be spent, too. */
  ck_assert_double_le (burst, 2.2 * limit * 2 * OPENINGS_PER_S);
  ck_assert_double_le (silent_all, 1.6 * limit * SILENT_LENGTH_S * OPENINGS_PER_S);
  ck_assert_uint_eq (sent[SILENT_S - 1], 0);
  ck_assert_uint_eq (sent[END_S - 1], 0);
  for (guint i = 0; i < vms[_i / 4]; i++)
    cf_extra_open_free (extra[i]);
  g_rand_free (random);
}
END_TEST

/* Guards against a delay below or above its bounds, one of few or old samples, and one that does
 * not follow a service that is slow as a whole. */
START_TEST (test_delay)
{
  const struct CfTarget target = { .cookie = 1, .service = SERVICE };
  struct CfExtraOpen *extra = cf_extra_open_new (0.1);
  CfMillis now = 1000;

  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), G_MAXINT64);
  open_flows (extra, &target, CF_EXTRA_OPEN_SAMPLES_MIN - 1, 1, now);
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), G_MAXINT64);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now), CF_EXTRA_OPEN_OFF);
  open_flows (extra, &target, 1, 1, now);
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), CF_EXTRA_OPEN_DELAY_MIN_MS);
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE + 1, now), G_MAXINT64);
  open_flows (extra, &target, 75, 1, now);
  open_flows (extra, &target, 5, 40, now);
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), CF_EXTRA_OPEN_DELAY_MIN_MS);
  open_flows (extra, &target, 1, 40, now);
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), 41);
  open_flows (extra, &target, 200, 300, now);
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), G_MAXINT64);
  /* Both windows have passed. */
  now += CF_EXTRA_OPEN_WINDOW_MS;
  open_flows (extra, &target, 20, 7, now);
  now += CF_EXTRA_OPEN_WINDOW_MS;
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), 8);
  now += CF_EXTRA_OPEN_WINDOW_MS;
  ck_assert_int_eq (cf_extra_open_delay (extra, SERVICE, now), G_MAXINT64);
  cf_extra_open_free (extra);
}
END_TEST

/* Guards against extra openings that all go to one upstream, that go on without winning, or that
 * stop although they win. */
START_TEST (test_bounds)
{
  const struct CfTarget target = { .cookie = 1, .service = SERVICE };
  const struct CfTarget other = { .cookie = 2, .service = SERVICE };
  struct CfExtraOpen *extra = cf_extra_open_new (0.1);
  CfMillis now = 1000;

  open_flows (extra, &other, 90, 1, now);
  open_flows (extra, &target, 10, 1, now);
  /* A quarter of 10 openings, and one in any case. */
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now), CF_EXTRA_OPEN_SENT);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now), CF_EXTRA_OPEN_SENT);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now), CF_EXTRA_OPEN_UPSTREAM);
  ck_assert_int_eq (
      cf_extra_open_take (extra, &(struct CfTarget){ .cookie = 3, .service = SERVICE }, now),
      CF_EXTRA_OPEN_SENT);
  for (int i = 0; i < 6; i++)
    ck_assert_int_eq (cf_extra_open_take (extra, &other, now), CF_EXTRA_OPEN_SENT);
  ck_assert_int_eq (cf_extra_open_take (extra, &other, now), CF_EXTRA_OPEN_BUDGET);

  now += CF_RETRY_BUDGET_WINDOW_MS;
  open_flows (extra, &target, 100, 1, now);
  /* One of 20 wins: they go on. */
  for (int i = 0; i < 400; i++)
    cf_extra_open_record_result (extra, SERVICE, i % 20 == 0, now);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now), CF_EXTRA_OPEN_SENT);
  /* Each second one wins, and then none: earlier wins count less. */
  for (int i = 0; i < 400; i++)
    cf_extra_open_record_result (extra, SERVICE, i % 2 == 0, now);
  for (int i = 0; i < 200; i++)
    cf_extra_open_record_result (extra, SERVICE, false, now);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now), CF_EXTRA_OPEN_PAUSED);
  /* Results of those that were sent before the pause do not prolong it. */
  for (int i = 0; i < CF_EXTRA_OPEN_JUDGED; i++)
    cf_extra_open_record_result (extra, SERVICE, false, now + 100);
  open_flows (extra, &target, 100, 1, now + CF_EXTRA_OPEN_PAUSE_MS);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now + CF_EXTRA_OPEN_PAUSE_MS - 1),
                    CF_EXTRA_OPEN_PAUSED);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, now + CF_EXTRA_OPEN_PAUSE_MS),
                    CF_EXTRA_OPEN_SENT);
  cf_extra_open_free (extra);
}
END_TEST

/* Guards against upstreams and services that are forgotten while they are in use, with their
 * budgets, or kept for good. */
START_TEST (test_prune)
{
  const struct CfTarget target = { .cookie = 1, .service = SERVICE };
  struct CfExtraOpen *extra = cf_extra_open_new (0.1);

  open_flows (extra, &target, 100, 1, 1000);
  cf_extra_open_prune (extra, 2000);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, 2000), CF_EXTRA_OPEN_SENT);
  ck_assert_int_eq (cf_extra_open_take (extra, &target, 2000), CF_EXTRA_OPEN_SENT);
  ck_assert_uint_eq (cf_extra_open_size (extra), 2);
  cf_extra_open_prune (extra, 2000 + 60001);
  ck_assert_uint_eq (cf_extra_open_size (extra), 0);
  ck_assert_str_eq (cf_extra_open_result_name (CF_EXTRA_OPEN_OFF), "off");
  cf_extra_open_free (extra);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("extra openings");

  suite_add_loop (suite, test_limit, 12);
  suite_add_loop (suite, test_delay, 1);
  suite_add_loop (suite, test_bounds, 1);
  suite_add_loop (suite, test_prune, 1);
  return suite_run (suite);
}
