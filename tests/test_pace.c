#include "balance/directory.h"
#include "balance/pace.h"
#include "suite.h"

#include <math.h>

/* The pace of one upstream, on virtual time. */

#define MEAN_MS 15.0

static void
record_many (struct CfPace *pace, double relative, int count, CfMillis now)
{
  for (int i = 0; i < count; i++)
    cf_pace_record (pace, (CfMillis) (relative * MEAN_MS), MEAN_MS, now);
}

/* Guards against a new upstream that is preferred or avoided, and against chance in few samples. */
START_TEST (test_unknown_and_few)
{
  struct CfPace pace = { 0 };
  double samples;
  double mean;

  ck_assert_double_eq (cf_pace_value (&pace, 1000), 1);
  ck_assert_double_eq (cf_pace_cached (&pace, 1000), 1);
  ck_assert_double_eq (cf_pace_share (1), 1);
  ck_assert (!cf_pace_own (&pace, 1000, &samples, &mean));
  record_many (&pace, 2, 1, 1000);
  ck_assert_double_lt (cf_pace_value (&pace, 1000), CF_PACE_TOLERANCE);
  record_many (&pace, 2, 9, 1000);
  ck_assert_double_gt (cf_pace_value (&pace, 1000), CF_PACE_TOLERANCE);
  /* Others get what was seen, without the prior. */
  ck_assert (cf_pace_own (&pace, 1000, &samples, &mean));
  ck_assert_double_eq_tol (samples, 10, 1e-9);
  ck_assert_double_eq_tol (mean, 2, 1e-9);
  cf_pace_clear (&pace);
}
END_TEST

/* Guards against an upstream that stays slow in the books, when it gets no flows or good ones. */
START_TEST (test_recovers)
{
  struct CfPace pace = { 0 };

  record_many (&pace, 6, 20, 1000);
  ck_assert_double_gt (cf_pace_cached (&pace, 1000), 5);
  for (CfMillis now = 1100; now <= 8000; now += 250)
    record_many (&pace, 1, 1, now);
  ck_assert_double_lt (cf_pace_cached (&pace, 8000), CF_PACE_TOLERANCE);
  record_many (&pace, 6, 20, 8000);
  ck_assert_double_lt (cf_pace_cached (&pace, 8000 + 10 * CF_PACE_HALF_LIFE_MS), CF_PACE_TOLERANCE);
  cf_pace_clear (&pace);
}
END_TEST

/* Guards against weights that turn chance into moves of flows, starve an upstream, or send all
 * flows to one. */
START_TEST (test_share)
{
  ck_assert_double_eq (cf_pace_share (1.4), 1);
  ck_assert_double_eq (cf_pace_share (0.7), 1);
  ck_assert_double_eq_tol (cf_pace_share (0.5), 2, 1e-9);
  ck_assert_double_eq_tol (cf_pace_share (4), 0.25, 1e-9);
  ck_assert_double_eq_tol (cf_pace_share (1000), CF_PACE_SHARE_MIN, 1e-9);
}
END_TEST

/* Guards against a full upstream that looks quick since it rejects at once, and against rejections
 * that add up beyond what recovers. */
START_TEST (test_rejections)
{
  struct CfPace pace = { 0 };

  record_many (&pace, 1, 4, 1000);
  for (int i = 0; i < 6; i++)
    cf_pace_record_shed (&pace, 1000);
  ck_assert_double_gt (cf_pace_value (&pace, 1000), CF_PACE_TOLERANCE);
  for (int i = 0; i < 1000; i++)
    cf_pace_record_shed (&pace, 1000);
  ck_assert_double_le (cf_pace_value (&pace, 1000), 1 / CF_PACE_SHARE_MIN);
  cf_pace_clear (&pace);
}
END_TEST

/* Guards against reports that count twice, outlive their VM, or fill the memory. */
START_TEST (test_reports)
{
  struct CfPace pace = { 0 };
  double samples;
  double mean;

  record_many (&pace, 1, 2, 1000);
  cf_pace_merge (&pace, 7, 4, 4, 1000);
  ck_assert_double_eq_tol (cf_pace_value (&pace, 1000), (2 + 16 + 2) / (2 + 4 + 2.0), 1e-9);
  cf_pace_merge (&pace, 7, 4, 4, 1000);
  ck_assert_double_eq_tol (cf_pace_value (&pace, 1000), (2 + 16 + 2) / (2 + 4 + 2.0), 1e-9);
  ck_assert_double_lt (cf_pace_value (&pace, 1000 + 5 * CF_PACE_HALF_LIFE_MS), 1.2);
  /* What others saw is not reported as the VM's own. */
  ck_assert (cf_pace_own (&pace, 1000, &samples, &mean));
  ck_assert_double_eq_tol (mean, 1, 1e-9);
  for (uint32_t vm = 100; vm < 400; vm++)
    cf_pace_merge (&pace, vm, 1, 2, 2000 + vm);
  ck_assert_uint_eq (pace.remote->len, CF_PACE_REMOTE_MAX);
  for (uint32_t i = 0; i < CF_PACE_REMOTE_MAX; i++)
    ck_assert_uint_ge (g_array_index (pace.remote, struct CfPaceRemote, i).vm,
                       400 - CF_PACE_REMOTE_MAX);
  cf_pace_clear (&pace);
  ck_assert_double_eq (cf_pace_value (&pace, 3000), 1);
}
END_TEST

/* Guards against an upstream that is avoided after its restart for what its last incarnation did.
 */
START_TEST (test_new_incarnation)
{
  struct CfDirectory *directory = cf_directory_new ();
  struct CfAnnouncement first = { .id = "u", .service = "s", .domain = "a", .started = 1 };
  struct CfTarget *target = cf_directory_announce (directory, &first, 0);

  cf_pace_merge (&target->pace, 1, 20, 6, 0);
  cf_directory_announce (directory, &first, 10);
  ck_assert_double_gt (cf_pace_value (&target->pace, 10), 5);
  first.started = 2;
  first.revision = 1;
  cf_directory_announce (directory, &first, 20);
  ck_assert_double_eq (cf_pace_value (&target->pace, 20), 1);
  cf_directory_free (directory);
}
END_TEST

/* Guards against a pace outside the tolerance that is taken for 1, and against costs that go on for
 * one within it: the time at which it returns is worked out in advance. */
START_TEST (test_uneven_until)
{
  GRand *random = g_rand_new_with_seed ((guint32) _i);
  struct CfServicePace service = { 0 };
  struct CfPace pace = { 0 };
  uint32_t uneven = 0;

  cf_pace_set_service (&pace, &service);
  for (CfMillis now = 1; now < 60000; now++)
    {
      double chance = g_rand_double (random);

      if (chance < 0.002)
        record_many (&pace, exp2 (g_rand_double_range (random, -4, 4)), 1 + now % 4, now);
      else if (chance < 0.004)
        cf_pace_merge (&pace, now % 3, g_rand_double_range (random, 0, 20),
                       exp2 (g_rand_double_range (random, -3, 3)), now);
      /* It ends up to 1 ms late by its rounding. */
      if (cf_pace_weight (cf_pace_value (&pace, now)) != 1)
        ck_assert_int_lt (now, pace.uneven_until);
      else
        ck_assert_int_ge (now + 1, pace.uneven_until);
      ck_assert_double_eq_tol (cf_pace_cached (&pace, now),
                               cf_pace_weight (cf_pace_value (&pace, now)), 0.6);
      ck_assert_int_ge (service.uneven_until, pace.uneven_until);
      uneven += now < pace.uneven_until;
    }
  ck_assert_uint_gt (uneven, 10000);
  ck_assert_uint_lt (uneven, 50000);
  cf_pace_clear (&pace);
  g_rand_free (random);
}
END_TEST

/* Guards against a service whose flows ignore that an upstream has turned slow, and against one for
 * which pace is computed although all upstreams are alike again. */
START_TEST (test_uneven_service)
{
  struct CfDirectory *directory = cf_directory_new ();
  GQuark service = g_quark_from_static_string ("s");
  struct CfAnnouncement announcement = { .service = "s", .domain = "a", .started = 1 };
  struct CfTarget *slow;
  struct CfTarget *moved;

  ck_assert (!cf_directory_uneven (directory, service, 1000));
  announcement.id = "slow";
  slow = cf_directory_announce (directory, &announcement, 0);
  announcement.id = "moved";
  moved = cf_directory_announce (directory, &announcement, 0);
  ck_assert (!cf_directory_uneven (directory, service, 1000));
  cf_pace_merge (&slow->pace, 1, 20, 6, 1000);
  ck_assert (cf_directory_uneven (directory, service, 1000));
  cf_pace_merge (&slow->pace, 1, 20, 1, 1100);
  ck_assert (!cf_directory_uneven (directory, service, 1000 + CF_PACE_CHECK_MS));
  cf_pace_merge (&slow->pace, 1, 20, 6, 2000);
  ck_assert (cf_directory_uneven (directory, service, 2000));
  ck_assert (!cf_directory_uneven (directory, service, 2000 + 10 * CF_PACE_HALF_LIFE_MS));
  /* What is known of an upstream goes with it to another service. */
  cf_pace_merge (&moved->pace, 1, 20, 6, 30000);
  announcement.service = "t";
  announcement.revision = 1;
  cf_directory_announce (directory, &announcement, 30000);
  ck_assert (cf_directory_uneven (directory, g_quark_from_static_string ("t"), 30000));
  ck_assert (!cf_directory_uneven (directory, service, 30000 + CF_PACE_CHECK_MS));
  /* Another incarnation forgets it, and is looked at as before. */
  announcement.started = 2;
  announcement.revision = 2;
  cf_directory_announce (directory, &announcement, 31000);
  ck_assert (!cf_directory_uneven (directory, g_quark_from_static_string ("t"), 31000));
  cf_pace_merge (&moved->pace, 1, 20, 0.1, 31000);
  ck_assert (cf_directory_uneven (directory, g_quark_from_static_string ("t"), 31000));
  cf_directory_free (directory);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pace");

  suite_add_loop (suite, test_unknown_and_few, 1);
  suite_add_loop (suite, test_recovers, 1);
  suite_add_loop (suite, test_share, 1);
  suite_add_loop (suite, test_rejections, 1);
  suite_add_loop (suite, test_reports, 1);
  suite_add_loop (suite, test_new_incarnation, 1);
  suite_add_loop (suite, test_uneven_until, 4);
  suite_add_loop (suite, test_uneven_service, 1);
  return suite_run (suite);
}
