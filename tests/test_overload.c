#include "balance/admission_queue.h"
#include "balance/overload.h"
#include "balance/service_load.h"
#include "busy_service.h"
#include "suite.h"

#include <math.h>
#include <string.h>

/* Overload: when it begins and ends, what is admitted meanwhile, and the loop of decisions, token
 * buckets and upstreams, on virtual time. */

#define DOMAINS 3
#define VMS 12
#define SLOTS (BUSY_UPSTREAMS * BUSY_SLOTS)
#define ROOM (SLOTS * 1000.0 / BUSY_WORK_MS)

static GQuark
domain_at (int index)
{
  const char *names[DOMAINS] = { "a", "b", "c" };

  return g_quark_from_static_string (names[index]);
}

/* --- Single decisions --- */

/* Returns what all VMs see with DEMAND by priority, in equal parts from all domains. */
static struct CfLoadSum
sum_of (double urgent, double other, double answered, double shed, double in_progress)
{
  struct CfLoadSum sum = {
    .domain_count = DOMAINS,
    .total = { .demand = { 0, urgent, other },
               .answered = answered,
               .shed = shed,
               .in_progress = in_progress },
    .vms = VMS,
    .reporting = VMS,
  };

  for (int i = 0; i < DOMAINS; i++)
    {
      sum.domains[i].domain = domain_at (i);
      sum.domains[i].counts.demand[1] = urgent / DOMAINS;
      sum.domains[i].counts.demand[2] = other / DOMAINS;
    }
  return sum;
}

static enum CfOverloadChange
decide (struct CfOverload *overload, struct CfLoadSum sum, CfMillis now)
{
  return cf_overload_update (overload, &sum, 100, domain_at (0), CF_OVERLOAD_FLOOR, now);
}

/* Guards against refusals where there is room: upstreams that fail, slow answers, a few requests
 * that are turned away at a small service, no upstreams, and numbers that are none. */
START_TEST (test_not_overloaded)
{
  struct CfOverload overload = { 0 };

  ck_assert_int_eq (decide (&overload, sum_of (50, 900, 940, 60, 20), 100), CF_OVERLOAD_SAME);
  ck_assert_double_eq_tol (overload.occupancy, 0.2, 1e-9);
  ck_assert_int_eq (decide (&overload, sum_of (50, 900, 950, 0, 400), 300), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, sum_of (50, 900, 950, 20, 400), 500), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, sum_of (3, 8, 10, 1.9, 400), 700), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, sum_of (NAN, -1, NAN, INFINITY, NAN), 900),
                    CF_OVERLOAD_SAME);
  ck_assert_int_eq (cf_overload_update (
                        &overload, &(struct CfLoadSum){ .total = { .shed = 9, .in_progress = 9 } },
                        0, domain_at (0), NAN, 1100),
                    CF_OVERLOAD_SAME);
  ck_assert_double_eq (cf_overload_admitted (&overload, 9), 1);
  ck_assert (isfinite (overload.occupancy) && isfinite (overload.shed_share));
  ck_assert_int_eq (decide (&overload, sum_of (500, 900, 950, 50, 100), 1300), CF_OVERLOAD_BEGINS);
  decide (&overload, sum_of (NAN, INFINITY, NAN, NAN, 1000), 1400);
  ck_assert (isfinite (overload.capacity) && isfinite (overload.shed_share));
  decide (&overload, sum_of (10, 10, INFINITY, 0, 1000), 1500);
  ck_assert (isfinite (overload.capacity));
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    ck_assert (overload.admitted[i] >= 0 && overload.admitted[i] <= 1);
}
END_TEST

/* Guards against an urgent priority that is cut while less urgent work is admitted beyond its
 * floor, a floor that is cut, and a part of the capacity that nobody gets. */
START_TEST (test_priorities)
{
  struct CfOverload overload = { 0 };
  double capacity;

  ck_assert_int_eq (decide (&overload, sum_of (500, 2000, 1000, 100, 300), 100),
                    CF_OVERLOAD_BEGINS);
  capacity = overload.capacity;
  ck_assert_double_ge (capacity, 1000);
  ck_assert_double_le (capacity, 1100);
  ck_assert_double_eq (cf_overload_admitted (&overload, 1), 1);
  ck_assert_double_eq_tol (cf_overload_admitted (&overload, 2), (capacity - 500) / 2000, 1e-6);
  /* Not computed again before its time. */
  ck_assert_int_eq (decide (&overload, sum_of (5000, 2000, 1000, 100, 300), 199), CF_OVERLOAD_SAME);
  ck_assert_double_eq (cf_overload_admitted (&overload, 1), 1);
  decide (&overload, sum_of (5000, 2000, 1000, 100, 300), 200);
  ck_assert_double_eq_tol (cf_overload_admitted (&overload, 1), 0.9 * overload.capacity / 5000,
                           1e-6);
  ck_assert_double_eq_tol (cf_overload_admitted (&overload, 2), 0.1 * overload.capacity / 2000,
                           1e-6);
  decide (&overload, sum_of (5000, 10, 1000, 100, 300), 300);
  ck_assert_double_eq_tol (cf_overload_admitted (&overload, 1), (overload.capacity - 10) / 5000,
                           1e-6);
  ck_assert_double_eq (cf_overload_admitted (&overload, 2), 1);
  decide (&overload, sum_of (0, 2000, 1000, 100, 300), 400);
  ck_assert_double_eq_tol (cf_overload_admitted (&overload, 2), overload.capacity / 2000, 1e-6);
}
END_TEST

/* Guards against shares that waste capacity or take from those that ask for little. */
START_TEST (test_max_min)
{
  double share[4];

  cf_max_min_shares ((double[]){ 10, 0, 300, 100 }, NULL, 4, 210, share);
  ck_assert_double_eq (share[0], 1);
  ck_assert_double_eq (share[1], 1);
  ck_assert_double_eq_tol (share[2], 1.0 / 3, 1e-9);
  ck_assert_double_eq_tol (share[3], 1, 1e-9);
  /* All press alike, by their weights; then one of them alone. */
  cf_max_min_shares ((double[]){ 600, 300, 900, 0 }, (double[]){ 2, 1, 3, 0 }, 4, 900, share);
  for (int i = 0; i < 3; i++)
    ck_assert_double_eq_tol (share[i], 0.5, 1e-9);
  cf_max_min_shares ((double[]){ 900, 100, 300, 0 }, (double[]){ 2, 1, 3, 0 }, 4, 900, share);
  ck_assert_double_eq_tol (share[0], 5.0 / 9, 1e-9);
  ck_assert_double_eq_tol (share[1], 1, 1e-9);
  ck_assert_double_eq_tol (share[2], 1, 1e-9);
  cf_max_min_shares ((double[]){ 10, NAN, INFINITY, -3 }, NULL, 4, 0, share);
  ck_assert_double_eq (share[0], 0);
  for (int i = 0; i < 4; i++)
    ck_assert (share[i] >= 0 && share[i] <= 1);
}
END_TEST

/* Guards against an overload that ends by one quiet moment, does not end while it is quiet, or ends
 * because this VM was paused. */
START_TEST (test_leave)
{
  struct CfOverload overload = { 0 };
  const struct CfLoadSum busy = sum_of (500, 2000, 1000, 100, 300);
  const struct CfLoadSum quiet = sum_of (500, 400, 900, 20, 60);
  const struct CfLoadSum slow = sum_of (500, 400, 900, 0, 300);
  const struct CfLoadSum full = sum_of (500, 400, 900, 30, 300);

  ck_assert_int_eq (decide (&overload, busy, 100), CF_OVERLOAD_BEGINS);
  ck_assert_int_eq (decide (&overload, quiet, 200), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, busy, 300), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, quiet, 400), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, quiet, 3000), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, quiet, 3299), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, quiet, 3399), CF_OVERLOAD_ENDS);
  ck_assert_double_eq (cf_overload_admitted (&overload, 2), 1);
  /* Slow upstreams that turn nothing away, with all demand admitted, are not an overload. */
  ck_assert_int_eq (decide (&overload, busy, 4000), CF_OVERLOAD_BEGINS);
  for (CfMillis now = 4100; now < 5000; now += 100)
    ck_assert_int_eq (decide (&overload, full, now), CF_OVERLOAD_SAME);
  for (CfMillis now = 5000; now < 5300; now += 100)
    ck_assert_int_eq (decide (&overload, slow, now), CF_OVERLOAD_SAME);
  ck_assert_int_eq (decide (&overload, slow, 5300), CF_OVERLOAD_ENDS);
}
END_TEST

/* Guards against an estimate that falls to nothing, since less is answered when less is admitted:
 * errors at part of the upstreams, answers that this VM does not see, and refusals by other rules
 * leave free slots, by which it rises again; and one that rises beyond all demand meanwhile, so
 * that the next burst is admitted whole. */
START_TEST (test_no_collapse)
{
  struct CfOverload overload = { 0 };
  double admitted = 3000;

  for (CfMillis now = 100; now < 20000; now += 100)
    {
      /* A quarter of what is admitted is not seen to be answered; 1,000/s fill the slots. */
      double busy = MIN (admitted / 1000, 2) * 100;

      decide (&overload, sum_of (1000, 2000, admitted * 0.65, admitted * 0.1, busy), now);
      admitted = overload.active ? MIN (overload.capacity, 3000) : 3000;
      ck_assert_double_ge (admitted, 600);
    }
  for (CfMillis now = 20000; now < 22000; now += 100)
    decide (&overload, sum_of (200, 300, 450, 30, 100), now);
  ck_assert_double_eq_tol (overload.capacity, 500 * CF_OVERLOAD_PROBE, 1e-6);
}
END_TEST

/* Guards against a VM that hears nobody and compares its own domain's requests with the slots of
 * all domains, so that it never sees an overload. */
START_TEST (test_hears_nobody)
{
  struct CfLoadSum sum = sum_of (100, 400, 200, 30, 40);
  struct CfOverload overload = { 0 };

  sum.vms = VMS / DOMAINS;
  sum.reporting = 1;
  sum.domain_count = 1;
  sum.domains[0].counts = sum.total;
  ck_assert_double_eq_tol (cf_overload_slots (&sum, 90, VMS), 30, 1e-9);
  ck_assert_double_eq (cf_overload_slots (&sum, 90, 0), 90);
  ck_assert_int_eq (cf_overload_update (&overload, &sum, cf_overload_slots (&sum, 90, VMS),
                                        domain_at (0), CF_OVERLOAD_FLOOR, 100),
                    CF_OVERLOAD_BEGINS);
  ck_assert_double_eq (cf_overload_admitted (&overload, 1), 1);
  ck_assert_double_le (cf_overload_admitted (&overload, 2), 0.3);
}
END_TEST

/* --- The whole loop --- */

#define ARRIVAL_PARTS 100 /* of a millisecond, with at most one arrival each */
#define REPORT_STEPS 10   /* reports held, one each 100 ms */

struct Vm
{
  struct CfServiceLoads *loads;
  struct CfAdmissionQueue *queue;
  struct CfOverload overload;
};

struct Play
{
  struct BusyService service;
  struct Vm vms[VMS]; /* VM i is in domain i % DOMAINS */
  struct CfLoadSum sums[REPORT_STEPS];
  int report_age; /* in steps of 100 ms, below REPORT_STEPS */
  int reporting;  /* VMs of each domain whose counts are known at a time */
  CfMillis now;
  uint32_t flows;
  uint32_t asked[DOMAINS][CF_LOAD_PRIORITIES];
  uint32_t placed[DOMAINS][CF_LOAD_PRIORITIES];
  uint32_t answered;
  uint32_t shed;
};

static GQuark
service (void)
{
  return g_quark_from_static_string ("s");
}

static void
on_ended (void *context, uint8_t owner, bool shed)
{
  struct Play *play = context;

  cf_service_loads_answer (play->vms[owner].loads, service (), shed, play->now);
  cf_service_loads_progress (play->vms[owner].loads, service (), false, play->now);
  play->answered += !shed;
  play->shed += shed;
}

static struct Play *
play_new (uint32_t seed, int report_age)
{
  struct Play *play = g_new0 (struct Play, 1);

  busy_service_init (&play->service, seed);
  play->service.ended = on_ended;
  play->service.context = play;
  play->report_age = report_age;
  play->reporting = report_age > 3 ? 2 : VMS / DOMAINS;
  for (int i = 0; i < VMS; i++)
    {
      play->vms[i].loads = cf_service_loads_new ();
      play->vms[i].queue = cf_admission_queue_new ();
    }
  return play;
}

static void
play_free (struct Play *play)
{
  for (int i = 0; i < VMS; i++)
    {
      cf_admission_queue_free (play->vms[i].queue);
      cf_service_loads_free (play->vms[i].loads);
    }
  busy_service_clear (&play->service);
  g_free (play);
}

static void
place (struct Play *play, int vm, uint32_t priority)
{
  cf_service_loads_progress (play->vms[vm].loads, service (), true, play->now);
  busy_service_send (&play->service, (uint8_t) vm);
  play->placed[vm % DOMAINS][priority]++;
}

static void
arrive (struct Play *play, int index, uint32_t priority)
{
  const uint8_t bytes[40] = { 0 };
  struct Vm *vm = &play->vms[index];
  struct CfSegment segment = { .caller = { ++play->flows, 1 }, .bytes = bytes, .size = 40 };
  double admitted;

  cf_service_loads_demand (vm->loads, service (), priority, play->now);
  play->asked[index % DOMAINS][priority]++;
  admitted = cf_overload_admitted (&vm->overload, priority);
  if (!vm->overload.active
      || cf_admission_request (vm->queue,
                               &(struct CfAdmissionRequest){
                                   .segment = &segment,
                                   .service = service (),
                                   .priority = priority,
                                   .rate = admitted
                                           * cf_service_loads_demand_rate (vm->loads, service (),
                                                                           priority, play->now),
                                   .admitted = admitted,
                                   .hold_ms = 100,
                               },
                               play->now)
             == CF_ADMISSION_PLACE)
    place (play, index, priority);
}

static void
add_counts (struct CfLoadCounts *to, const struct CfLoadCounts *counts, double factor)
{
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    to->demand[i] += factor * counts->demand[i];
  to->answered += factor * counts->answered;
  to->shed += factor * counts->shed;
  to->in_progress += factor * counts->in_progress;
}

/* All VMs decide by what some have seen REPORT_AGE steps ago, scaled to all. */
static void
decide_all (struct Play *play)
{
  int step = (int) (play->now / CF_OVERLOAD_INTERVAL_MS);
  struct CfLoadSum *sum = &play->sums[step % REPORT_STEPS];

  *sum = (struct CfLoadSum){ .domain_count = DOMAINS, .vms = VMS, .reporting = VMS };
  for (int i = 0; i < VMS; i++)
    {
      const double factor = (double) VMS / (DOMAINS * play->reporting);
      struct CfLoadCounts counts;

      sum->domains[i % DOMAINS].domain = domain_at (i % DOMAINS);
      if ((i / DOMAINS + step) % (VMS / DOMAINS) >= play->reporting)
        continue;
      cf_service_loads_counts (play->vms[i].loads, service (), play->now, &counts);
      add_counts (&sum->domains[i % DOMAINS].counts, &counts, factor);
      add_counts (&sum->total, &counts, factor);
    }
  sum = &play->sums[(step + REPORT_STEPS - play->report_age) % REPORT_STEPS];
  for (int i = 0; i < VMS; i++)
    if (cf_overload_update (&play->vms[i].overload, sum, SLOTS, domain_at (i % DOMAINS),
                            CF_OVERLOAD_FLOOR, play->now)
        == CF_OVERLOAD_ENDS)
      cf_admission_release (play->vms[i].queue, service (), play->now);
}

/* Runs the play for TIME with DEMAND flows a second of each domain and priority, and counts anew.
 */
static void
run (struct Play *play, CfMillis time, double demand[DOMAINS][CF_LOAD_PRIORITIES])
{
  memset (play->asked, 0, sizeof play->asked);
  memset (play->placed, 0, sizeof play->placed);
  play->answered = play->shed = 0;
  for (CfMillis end = play->now + time; play->now < end;)
    {
      play->now++;
      for (int domain = 0; domain < DOMAINS; domain++)
        for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
          for (int part = 0; part < ARRIVAL_PARTS; part++)
            if (g_rand_double (play->service.random) < demand[domain][i] / 1000 / ARRIVAL_PARTS)
              arrive (play,
                      domain + DOMAINS * g_rand_int_range (play->service.random, 0, VMS / DOMAINS),
                      i);
      for (int i = 0; i < VMS; i++)
        {
          struct CfAdmissionResult result;
          enum CfAdmissionEnd ended;

          while ((ended = cf_admission_next (play->vms[i].queue, &result, play->now))
                 != CF_ADMISSION_END_NONE)
            if (ended == CF_ADMISSION_END_PLACE)
              place (play, i, result.priority);
        }
      busy_service_step (&play->service);
      if (play->now % CF_OVERLOAD_INTERVAL_MS == 0)
        decide_all (play);
    }
}

/* Runs the play with demand URGENT and OTHER, as multiples of the room, from all domains alike. */
static void
run_even (struct Play *play, CfMillis time, double urgent, double other)
{
  double demand[DOMAINS][CF_LOAD_PRIORITIES];

  for (int i = 0; i < DOMAINS; i++)
    memcpy (demand[i],
            (double[CF_LOAD_PRIORITIES]){ 0, urgent * ROOM / DOMAINS, other * ROOM / DOMAINS, 0 },
            sizeof demand[i]);
  run (play, time, demand);
}

/* Returns the part of the flows of PRIORITY from DOMAIN that was placed. */
static double
placed_share (const struct Play *play, int domain, uint32_t priority)
{
  return (double) play->placed[domain][priority] / play->asked[domain][priority];
}

static uint32_t
placed_total (const struct Play *play)
{
  uint32_t total = 0;

  for (int i = 0; i < DOMAINS; i++)
    for (uint32_t j = 0; j < CF_LOAD_PRIORITIES; j++)
      total += play->placed[i][j];
  return total;
}

static const char *
print_play (const struct Play *play, const char *what)
{
  printf ("%s: placed %.3f and %.3f of priorities 1 and 2, %u flows; answered %u, shed %u\n", what,
          placed_share (play, 0, 1), placed_share (play, 0, 2), placed_total (play), play->answered,
          play->shed);
  return what;
}

/* A burst at 1.3 and at 3 times the room.  Guards against urgent flows that are cut, lower ones
 * that starve, too little or too much that is admitted, and refusals after the burst has ended;
 * with reports as old as they are on a large platform, too. */
START_TEST (test_burst)
{
  const double other[] = { 0.9, 2.6 };
  struct Play *play = play_new ((uint32_t) _i + 1, _i < 4 ? 0 : 5);

  run_even (play, 3000, 0.1, 0.4);
  ck_assert_uint_eq (placed_total (play), play->asked[0][1] + play->asked[0][2] + play->asked[1][1]
                                              + play->asked[1][2] + play->asked[2][1]
                                              + play->asked[2][2]);
  run_even (play, 2000, 0.4, other[_i % 2]);
  print_play (play, "begin of burst");
  run_even (play, 4000, 0.4, other[_i % 2]);
  print_play (play, "burst");
  for (int i = 0; i < DOMAINS; i++)
    {
      ck_assert_double_ge (placed_share (play, i, 1), 0.985);
      ck_assert_double_ge (placed_share (play, i, 2), 0.5 / other[_i % 2]);
    }
  ck_assert_double_eq_tol (placed_total (play), 4 * ROOM, 0.1 * 4 * ROOM);
  ck_assert_uint_ge (play->answered, (uint32_t) (0.93 * 4 * ROOM));
  run_even (play, 1000, 0.1, 0.4);
  print_play (play, "1 s after");
  ck_assert_double_ge (placed_share (play, 0, 2), 0.95);
  run_even (play, 2000, 0.1, 0.4);
  ck_assert_double_ge (placed_share (play, 0, 2), 1);
  ck_assert (!play->vms[0].overload.active);
  play_free (play);
}
END_TEST

/* Half of the upstreams have just crashed: the answered rate is low since flows still go there,
 * while the others have free slots.  Guards against refusals by that rate. */
START_TEST (test_begin_after_crash)
{
  struct CfOverload overload = { 0 };

  ck_assert_int_eq (decide (&overload, sum_of (600, 5000, 2900, 120, 130), 100),
                    CF_OVERLOAD_BEGINS);
  ck_assert_double_eq (cf_overload_admitted (&overload, 1), 1);
  ck_assert_double_ge (cf_overload_admitted (&overload, 2), 0.985);
}
END_TEST

/* More urgent flows than room.  Guards against a lower priority without its floor. */
START_TEST (test_floor)
{
  struct Play *play = play_new (11, 3);

  run_even (play, 2000, 1.5, 1);
  run_even (play, 4000, 1.5, 1);
  print_play (play, "urgent above the room");
  ck_assert_double_eq_tol (placed_share (play, 0, 2), 0.1, 0.03);
  ck_assert_double_ge (placed_share (play, 0, 1), 0.55);
  play_free (play);
}
END_TEST

/* One domain sends nine times its usual flows.  Guards against others that pay for it. */
START_TEST (test_domain_presses)
{
  double demand[DOMAINS][CF_LOAD_PRIORITIES]
      = { { 0, 600, 9 * 900 }, { 0, 300, 900 }, { 0, 300, 900 } };
  struct Play *play = play_new ((uint32_t) _i + 21, 3);

  run (play, 2000, demand);
  run (play, 4000, demand);
  print_play (play, "one domain presses");
  for (int i = 1; i < DOMAINS; i++)
    for (uint32_t j = 1; j <= 2; j++)
      ck_assert_double_ge (placed_share (play, i, j), 0.985);
  ck_assert_double_ge (placed_share (play, 0, 2), 0.3);
  ck_assert_double_eq_tol (placed_total (play), 4 * ROOM, 0.1 * 4 * ROOM);
  play_free (play);
}
END_TEST

/* Work takes twice as long, and later as before.  Guards against an estimate that does not follow
 * down, or stays down because only little is admitted. */
START_TEST (test_capacity_returns)
{
  struct Play *play = play_new ((uint32_t) _i + 31, 3);

  run_even (play, 3000, 0.2, 1);
  play->service.work_ms = 2 * BUSY_WORK_MS;
  run_even (play, 2000, 0.2, 1);
  run_even (play, 3000, 0.2, 1);
  print_play (play, "half the room");
  ck_assert_double_ge (placed_share (play, 0, 1), 0.985);
  ck_assert_double_eq_tol (placed_total (play), 1.5 * ROOM, 0.1 * 1.5 * ROOM);
  play->service.work_ms = BUSY_WORK_MS;
  run_even (play, 1000, 0.2, 1);
  run_even (play, 3000, 0.2, 1);
  print_play (play, "room is back");
  ck_assert_uint_ge (play->answered, (uint32_t) (0.9 * 3 * ROOM));
  play_free (play);
}
END_TEST

/* Upstreams answer 6% of the requests with errors in a normal load.  Guards against refusals. */
START_TEST (test_errors)
{
  struct Play *play = play_new (41, 0);

  play->service.error_share = 0.06;
  run_even (play, 3000, 0.05, 0.15);
  ck_assert_double_eq (placed_share (play, 0, 2), 1);
  ck_assert_uint_ge (play->shed, 100);
  play_free (play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("overload");

  suite_add_loop (suite, test_not_overloaded, 1);
  suite_add_loop (suite, test_priorities, 1);
  suite_add_loop (suite, test_max_min, 1);
  suite_add_loop (suite, test_leave, 1);
  suite_add_loop (suite, test_no_collapse, 1);
  suite_add_loop (suite, test_hears_nobody, 1);
  suite_add_loop (suite, test_burst, 8);
  suite_add_loop (suite, test_begin_after_crash, 1);
  suite_add_loop (suite, test_floor, 1);
  suite_add_loop (suite, test_domain_presses, 2);
  suite_add_loop (suite, test_capacity_returns, 2);
  suite_add_loop (suite, test_errors, 1);
  return suite_run (suite);
}
