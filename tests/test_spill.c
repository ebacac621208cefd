#include "balance/spill.h"
#include "suite.h"

#include <glib.h>
#include <math.h>

/* Spill-over, with waits that depend on the load of both sides: one of three domains, as one VM of
 * it sees it. */

#define STEP_MS 10
#define FAR_EXTRA_MS 2 /* two ways between domains */

struct Play
{
  struct CfSpill spill;
  CfMillis now;
  GRand *random;
  double per_s;     /* flows of this VM while its domain is at load 1 */
  double near_work; /* ms that an answer takes on an idle upstream */
  double far_work;
  double near_queue; /* utilisation of the last steps, smoothed */
  double far_queue;
  double share_sum; /* since the figures were cleared */
  double share_min;
  double share_max;
  uint32_t begins;
  uint32_t decisions;
};

static struct Play
play_new (double per_s, uint32_t seed)
{
  return (struct Play){
    .now = 1,
    .random = g_rand_new_with_seed (seed),
    .per_s = per_s,
    .near_work = 15,
    .far_work = 15,
  };
}

/* Returns a wait at an upstream with UTILISATION: exponential for one half, and with a full queue
 * above 1. */
static double
draw_wait (struct Play *play, double work, double utilisation)
{
  double chance = 0.5 - 0.5 * log (1 - g_rand_double (play->random));

  return work * chance * MIN (1 / MAX (1 - utilisation * utilisation, 0.01), 5);
}

/* Runs for MS.  NEAR and FAR are the loads that callers of this domain and of the two others cause,
 * as a part of the capacity of each domain. */
static void
run (struct Play *play, CfMillis ms, double near, double far)
{
  double due = 0;

  play->share_sum = play->share_max = 0;
  play->share_min = 1;
  play->begins = play->decisions = 0;
  for (CfMillis end = play->now + ms; play->now < end; play->now += STEP_MS)
    {
      double before = play->spill.share;
      double share = cf_spill_update (&play->spill, play->now);

      play->near_queue += 0.1 * (near * (1 - share) - play->near_queue);
      play->far_queue += 0.1 * (far + near * share / 2 - play->far_queue);
      due += play->per_s * near * STEP_MS / 1000;
      while (due >= 1)
        {
          due--;
          if (g_rand_double (play->random) < share)
            cf_spill_record (&play->spill, false,
                             FAR_EXTRA_MS + draw_wait (play, play->far_work, play->far_queue),
                             play->now);
          else
            cf_spill_record (&play->spill, true,
                             draw_wait (play, play->near_work, play->near_queue), play->now);
        }
      play->begins += before <= 0 && share > 0;
      play->share_sum += share;
      play->share_min = MIN (play->share_min, share);
      play->share_max = MAX (play->share_max, share);
      play->decisions++;
    }
}

static double
mean_share (const struct Play *play)
{
  return play->share_sum / play->decisions;
}

static void
print_figures (const struct Play *play, const char *name)
{
  printf (
      "%s: mean share %.3f, %.2f to %.2f, begun %u times, now %.2f, near at %.2f, far at %.2f\n",
      name, mean_share (play), play->share_min, play->share_max, play->begins, play->spill.share,
      play->near_queue, play->far_queue);
}

/* Guards against callers that wait at the full upstreams of their domain beside idle ones, against
 * a spill that stays after the load, and against one that flaps. */
START_TEST (test_domain_presses)
{
  struct Play play = play_new (_i % 2 ? 100 : 40, (uint32_t) _i);

  run (&play, 20000, 0.5, 0.3);
  run (&play, 3000, 1.6, 0.3);
  print_figures (&play, "a domain presses, first 3 s");
  ck_assert_double_ge (play.share_max, 0.3);
  run (&play, 10000, 1.6, 0.3);
  print_figures (&play, "then");
  ck_assert_double_ge (mean_share (&play), 0.35);
  ck_assert_uint_eq (play.begins, 0);
  ck_assert_double_ge (play.share_min, 0.1);
  /* The usual wait is still that before the load. */
  ck_assert_double_le (play.spill.near_usual.sum / play.spill.near_usual.samples, 30);
  run (&play, 3000, 0.5, 0.3);
  ck_assert_double_eq (play.spill.share, 0);
  run (&play, 10000, 0.5, 0.3);
  print_figures (&play, "after the load");
  ck_assert_uint_eq (play.begins, 0);
  g_rand_free (play.random);
}
END_TEST

/* Guards against a spill that ends as soon as it helps, and begins again. */
START_TEST (test_just_full)
{
  struct Play play = play_new (100, (uint32_t) _i);

  run (&play, 20000, 0.5, 0.3);
  run (&play, 20000, 1.0, 0.3);
  print_figures (&play, "just full");
  ck_assert_uint_le (play.begins, 2);
  g_rand_free (play.random);
}
END_TEST

/* Guards against bytes between domains that help nobody, as all of them are loaded. */
START_TEST (test_loaded_alike)
{
  struct Play play = play_new (60, (uint32_t) _i);

  run (&play, 20000, 0.5, 0.5);
  run (&play, 20000, 1.1, 1.1);
  print_figures (&play, "loaded alike");
  ck_assert_double_le (mean_share (&play), 0.05);
  g_rand_free (play.random);
}
END_TEST

/* Guards against spills by chance, when a VM sees few answers or waits vary. */
START_TEST (test_quiet)
{
  struct Play play = play_new (20 + 15 * _i, (uint32_t) _i);

  run (&play, 300000, 0.4, 0.1);
  print_figures (&play, "quiet for 300 s");
  ck_assert_uint_eq (play.begins, 0);
  g_rand_free (play.random);
}
END_TEST

/* Guards against spills by single slow answers: each tenth takes 7 or 20 times as long, as after a
 * pause of its upstream.  _i selects the factor and the rate, from the least that begins a spill.
 */
START_TEST (test_single_slow_answers)
{
  struct Play play = play_new (_i % 2 ? 100 : 23, (uint32_t) _i);
  double factor = _i / 2 ? 20 : 7;
  uint32_t answers = 0;
  double due = 0;

  for (; play.now < 300000; play.now += STEP_MS)
    {
      ck_assert_double_eq (cf_spill_update (&play.spill, play.now), 0);
      due += play.per_s * STEP_MS / 1000;
      while (due >= 1)
        {
          due--;
          cf_spill_record (&play.spill, true,
                           play.near_work * (0.5 + g_rand_double (play.random))
                               * (answers++ % 10 == 0 ? factor : 1),
                           play.now);
        }
    }
  g_rand_free (play.random);
}
END_TEST

/* Guards against a spill that begins later than 300 ms, three decisions, after callers of its
 * domain press, or only when waits are far above twice the usual ones. */
START_TEST (test_begins_in_time)
{
  struct Play play = play_new (_i % 2 ? 100 : 40, (uint32_t) _i);

  run (&play, 20000, 0.5, 0.3);
  run (&play, 300, 1.6, 0.3);
  ck_assert_double_gt (play.spill.share, 0);
  g_rand_free (play.random);
}
END_TEST

/* Guards against flows that go on to a far side that no longer answers. */
START_TEST (test_far_falls_silent)
{
  struct Play play = play_new (100, 3);

  run (&play, 20000, 0.5, 0.3);
  run (&play, 5000, 1.6, 0.3);
  ck_assert_double_ge (play.spill.share, 0.2);
  for (CfMillis end = play.now + 2500; play.now < end; play.now += STEP_MS)
    {
      cf_spill_update (&play.spill, play.now);
      cf_spill_record (&play.spill, true, 100, play.now);
    }
  ck_assert_double_le (play.spill.share, CF_SPILL_FIRST);
  g_rand_free (play.random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("spill");

  suite_add_loop (suite, test_domain_presses, 6);
  suite_add_loop (suite, test_just_full, 4);
  suite_add_loop (suite, test_loaded_alike, 4);
  suite_add_loop (suite, test_quiet, 6);
  suite_add_loop (suite, test_single_slow_answers, 4);
  suite_add_loop (suite, test_begins_in_time, 20);
  suite_add_loop (suite, test_far_falls_silent, 1);
  return suite_run (suite);
}
