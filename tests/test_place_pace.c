#include "balance/load_report.h"
#include "balance/place.h"
#include "suite.h"

#include <math.h>
#include <string.h>

/* Placement by pace: many VMs in front of uneven upstreams, on virtual time. */

#define VMS 76
#define UPSTREAMS 120
#define SLOTS 2
#define QUEUE 8
#define WORK_MS 15.0
#define REPORT_MS 500
#define REPORT_FANOUT 4
#define WINDOW_MS 500
#define WINDOWS_MAX 80

/* A request at an upstream. */
struct Request
{
  uint32_t vm;
  CfMillis since;
  double left; /* ms of work */
};

/* An upstream that processes SLOTS requests at a time, and queues QUEUE. */
struct Upstream
{
  double speed;
  struct Request requests[SLOTS + QUEUE];
  uint32_t count;
  double offered; /* ms of work that arrived since the figures were cleared */
};

struct Vm
{
  struct CfDirectory *directory;
  struct CfTarget *targets[UPSTREAMS];
  double mean_wait;
};

struct Report
{
  uint32_t from;
  uint32_t to;
  CfMillis arrives;
  struct CfLoadLine lines[CF_LOAD_LINES_MAX];
  uint32_t line_count;
};

struct Play
{
  CfMillis now;
  CfMillis report_age;
  bool reports_lost;
  GRand *random;
  GHashTable *evacuated;
  struct CfOutages *outages;
  struct Vm vms[VMS];
  struct Upstream upstreams[UPSTREAMS];
  GQueue reports;
  CfMillis cleared_at;
  uint32_t flows;
  uint32_t rejected;
  double waits;
  uint32_t window_flows[WINDOWS_MAX];
  uint32_t window_slow[WINDOWS_MAX]; /* to the upper half of the upstreams */
};

static void
announce_all (struct CfDirectory *directory, struct CfTarget **targets, const char *domain)
{
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "u-%d", i);
      targets[i] = cf_directory_announce (
          directory,
          &(struct CfAnnouncement){ .id = id, .service = "s", .domain = domain, .slots = SLOTS },
          0);
    }
}

static struct Play *
play_new (CfMillis report_age, uint32_t seed)
{
  static const double speeds[] = { 0.7, 0.7, 1.7 };
  struct Play *play = g_new0 (struct Play, 1);

  play->now = 1;
  play->report_age = report_age;
  play->random = g_rand_new_with_seed (seed);
  play->evacuated = g_hash_table_new (NULL, NULL);
  play->outages = cf_outages_new ();
  for (int i = 0; i < VMS; i++)
    {
      play->vms[i].directory = cf_directory_new ();
      announce_all (play->vms[i].directory, play->vms[i].targets, "a");
    }
  for (int i = 0; i < UPSTREAMS; i++)
    play->upstreams[i].speed = speeds[i % 3];
  return play;
}

static void
play_free (struct Play *play)
{
  g_queue_clear_full (&play->reports, g_free);
  for (int i = 0; i < VMS; i++)
    cf_directory_free (play->vms[i].directory);
  cf_outages_free (play->outages);
  g_hash_table_unref (play->evacuated);
  g_rand_free (play->random);
  g_free (play);
}

static struct CfPlacement
placement_of (const struct Play *play, uint32_t vm)
{
  return (struct CfPlacement){
    .directory = play->vms[vm].directory,
    .domain = g_quark_from_static_string ("a"),
    .evacuated = play->evacuated,
    .outages = play->outages,
    .use_pace = true,
    .random = play->random,
  };
}

static uint32_t
index_of (const struct CfTarget *target)
{
  return (uint32_t) atoi (target->id + strlen ("u-"));
}

static void
arrive (struct Play *play)
{
  uint32_t from = (uint32_t) g_rand_int_range (play->random, 0, VMS);
  struct CfPlacement placement = placement_of (play, from);
  enum CfPlaceReason reason;
  struct CfTarget *target
      = cf_place_flow (&placement, g_quark_from_static_string ("s"), NULL, 0, play->now, &reason);
  uint32_t to = index_of (target);
  struct Upstream *upstream = &play->upstreams[to];
  double work = WORK_MS * (0.5 + g_rand_double (play->random));
  CfMillis window = (play->now - play->cleared_at) / WINDOW_MS;

  play->flows++;
  if (window < WINDOWS_MAX)
    {
      play->window_flows[window]++;
      play->window_slow[window] += to >= UPSTREAMS / 2;
    }
  upstream->offered += work / upstream->speed;
  if (upstream->count == SLOTS + QUEUE)
    {
      play->rejected++;
      cf_pace_record_shed (&target->pace, play->now);
      return;
    }
  target->open++;
  upstream->requests[upstream->count++]
      = (struct Request){ .vm = from, .since = play->now, .left = work };
}

/* The upstream numbered INDEX works for 1 ms. */
static void
work (struct Play *play, uint32_t index)
{
  struct Upstream *upstream = &play->upstreams[index];

  for (uint32_t i = MIN (upstream->count, SLOTS); i > 0; i--)
    {
      struct Request *request = &upstream->requests[i - 1];
      struct Vm *vm = &play->vms[request->vm];
      CfMillis wait = play->now - request->since;

      request->left -= upstream->speed;
      if (request->left > 0)
        continue;
      vm->mean_wait += vm->mean_wait > 0 ? 0.05 * ((double) wait - vm->mean_wait) : (double) wait;
      cf_pace_record (&vm->targets[index]->pace, wait, vm->mean_wait, play->now);
      vm->targets[index]->open--;
      play->waits += (double) wait;
      memmove (request, request + 1, (upstream->count - i) * sizeof *request);
      upstream->count--;
    }
}

/* Inserts LINE, if its pace differs more from 1 than that of the last line. */
static void
add_line (struct Report *report, const struct CfLoadLine *line)
{
  uint32_t place = report->line_count;

  while (place > 0 && fabs (log (report->lines[place - 1].pace)) < fabs (log (line->pace)))
    place--;
  if (place == CF_LOAD_LINES_MAX)
    return;
  report->line_count = MIN (report->line_count + 1, CF_LOAD_LINES_MAX);
  memmove (&report->lines[place + 1], &report->lines[place],
           (report->line_count - place - 1) * sizeof *line);
  report->lines[place] = *line;
}

static void
send_reports (struct Play *play, uint32_t from)
{
  struct Report report = { .from = from, .arrives = play->now + play->report_age };

  for (int i = 0; i < UPSTREAMS; i++)
    {
      struct CfLoadLine line = { .cookie = (uint32_t) i };

      if (cf_pace_own (&play->vms[from].targets[i]->pace, play->now, &line.samples, &line.pace))
        add_line (&report, &line);
    }
  for (int i = 0; i < REPORT_FANOUT; i++)
    {
      report.to = (uint32_t) g_rand_int_range (play->random, 0, VMS);
      g_queue_push_tail (&play->reports, g_memdup2 (&report, sizeof report));
    }
}

static void
receive_reports (struct Play *play)
{
  struct Report *report;

  while ((report = g_queue_peek_head (&play->reports)) && report->arrives <= play->now)
    {
      for (uint32_t i = 0; report->to != report->from && i < report->line_count; i++)
        cf_pace_merge (&play->vms[report->to].targets[report->lines[i].cookie]->pace,
                       report->from + 1, report->lines[i].samples, report->lines[i].pace,
                       play->now);
      g_free (g_queue_pop_head (&play->reports));
    }
}

/* Runs for MS with LOAD times the capacity of all upstreams. */
static void
run (struct Play *play, CfMillis ms, double load)
{
  double capacity = 0; /* requests per ms */
  double due = 0;

  for (int i = 0; i < UPSTREAMS; i++)
    capacity += SLOTS * play->upstreams[i].speed / WORK_MS;
  play->cleared_at = play->now;
  play->flows = play->rejected = 0;
  play->waits = 0;
  memset (play->window_flows, 0, sizeof play->window_flows);
  memset (play->window_slow, 0, sizeof play->window_slow);
  for (int i = 0; i < UPSTREAMS; i++)
    play->upstreams[i].offered = 0;
  for (CfMillis end = play->now + ms; play->now < end; play->now++)
    {
      due += capacity * load;
      while (due >= 1)
        {
          arrive (play);
          due--;
        }
      for (uint32_t i = 0; i < UPSTREAMS; i++)
        work (play, i);
      for (uint32_t i = 0; !play->reports_lost && i < VMS; i++)
        if ((play->now + i * REPORT_MS / VMS) % REPORT_MS == 0)
          send_reports (play, i);
      receive_reports (play);
    }
}

/* Returns the highest utilisation of an upstream, relative to the mean. */
static double
highest_utilisation (const struct Play *play)
{
  double sum = 0;
  double highest = 0;

  for (int i = 0; i < UPSTREAMS; i++)
    {
      sum += play->upstreams[i].offered;
      highest = MAX (highest, play->upstreams[i].offered);
    }
  return highest / sum * UPSTREAMS;
}

/* Returns the standard deviation of the part of the flows that goes to the upper half, relative to
 * its mean, from window to window. */
static double
swing (const struct Play *play, uint32_t windows)
{
  double sum = 0;
  double squares = 0;

  for (uint32_t i = 0; i < windows; i++)
    {
      double part = (double) play->window_slow[i] / play->window_flows[i];

      sum += part / windows;
      squares += part * part / windows;
    }
  return sqrt (MAX (squares - sum * sum, 0)) / sum;
}

static void
print_figures (const struct Play *play, const char *name, uint32_t windows)
{
  printf ("%s: reports %d ms old: highest utilisation %.2f of the mean, mean wait %.1f ms, "
          "rejected %.2f%%, swing %.3f\n",
          name, (int) play->report_age, highest_utilisation (play),
          play->waits / (play->flows - play->rejected), 100.0 * play->rejected / play->flows,
          swing (play, windows));
}

static void
set_half_speed (struct Play *play, double factor)
{
  for (int i = UPSTREAMS / 2; i < UPSTREAMS; i++)
    play->upstreams[i].speed *= factor;
}

/* Runs at 0.9 of the capacity while upstreams are uneven, then while half of them are 6 times
 * slower, and then with a lower load after these have recovered.  HIGHEST bounds the utilisation
 * while the VMs learn which upstreams have turned slow. */
static void
run_uneven (struct Play *play, double highest)
{
  run (play, 4000, 0.9);
  run (play, 4000, 0.9);
  print_figures (play, "uneven", 8);
  ck_assert_double_le (highest_utilisation (play), 1.25);
  set_half_speed (play, 1.0 / 6);
  run (play, 3000, 0.9);
  run (play, 6000, 0.9);
  print_figures (play, "half is slow", 12);
  ck_assert_double_le (highest_utilisation (play), highest);
  run (play, 8000, 0.9);
  print_figures (play, "half is slow, later", 16);
  ck_assert_double_le (highest_utilisation (play), 1.5);
  ck_assert_double_le (swing (play, 16), 0.25);
  ck_assert_double_le (play->rejected, 0.1 * play->flows);
  set_half_speed (play, 6);
  run (play, 8000, 0.45);
  printf ("recovered: part of the flows after 2, 4, 6, 8 s: %.2f %.2f %.2f %.2f\n",
          (double) play->window_slow[3] / play->window_flows[3],
          (double) play->window_slow[7] / play->window_flows[7],
          (double) play->window_slow[11] / play->window_flows[11],
          (double) play->window_slow[15] / play->window_flows[15]);
  ck_assert_double_ge ((double) play->window_slow[15] / play->window_flows[15], 0.4);
}

/* Guards against queues at slow upstreams beside free slots, against reports that are old by the
 * time they count and make flows swing, and against a slow upstream that is never tried again. */
START_TEST (test_uneven_upstreams)
{
  static const CfMillis ages[] = { 50, 250, 1000 };
  struct Play *play = play_new (ages[_i], 5);

  run_uneven (play, 1.5);
  play_free (play);
}
END_TEST

/* Guards against a choice that needs reports: without them each VM has its own samples only,
 * and learns more slowly. */
START_TEST (test_reports_lost)
{
  struct Play *play = play_new (0, 6);

  play->reports_lost = true;
  run_uneven (play, 1.5);
  play_free (play);
}
END_TEST

#define FLOWS_EACH 200

/* Guards against VMs that all choose the fastest upstream because all have the same reports, and
 * against a slow one that gets nothing. */
START_TEST (test_same_reports)
{
  struct Play *play = play_new (0, 7);
  uint32_t chosen[UPSTREAMS] = { 0 };
  uint32_t fastest = 0;

  for (uint32_t vm = 0; vm < VMS; vm++)
    {
      struct CfPlacement placement = placement_of (play, vm);
      enum CfPlaceReason reason;

      for (uint32_t i = 0; i < UPSTREAMS; i++)
        cf_pace_merge (&play->vms[vm].targets[i]->pace, 1, 50,
                       i == 0              ? 0.3
                       : i < UPSTREAMS / 2 ? 1
                                           : 4,
                       play->now);
      for (int i = 0; i < FLOWS_EACH; i++)
        chosen[index_of (cf_place_flow (&placement, g_quark_from_static_string ("s"), NULL, 0,
                                        play->now, &reason))]++;
    }
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    {
      ck_assert_uint_gt (chosen[i], 0);
      fastest = MAX (fastest, chosen[i]);
    }
  printf ("same reports: %u flows to the fastest, %u to one of pace 1, %u to one of pace 4\n",
          chosen[0], chosen[1], chosen[UPSTREAMS - 1]);
  /* Twice its part by weight at most. */
  ck_assert_uint_le (fastest, VMS * FLOWS_EACH / 10);
  ck_assert_uint_lt (2 * chosen[UPSTREAMS - 1], chosen[1]);
  play_free (play);
}
END_TEST

/* Guards against a change for services without overload: without use_pace, paces change nothing. */
START_TEST (test_pace_not_used)
{
  struct Play *paced = play_new (0, 8);
  struct Play *plain = play_new (0, 8);
  struct CfPlacement with_pace = placement_of (paced, 0);
  struct CfPlacement without = placement_of (plain, 0);
  enum CfPlaceReason reason;

  with_pace.use_pace = without.use_pace = false;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    cf_pace_merge (&paced->vms[0].targets[i]->pace, 1, 50, 1 + i, paced->now);
  for (int i = 0; i < FLOWS_EACH; i++)
    ck_assert_str_eq (
        cf_place_flow (&with_pace, g_quark_from_static_string ("s"), NULL, 0, 1, &reason)->id,
        cf_place_flow (&without, g_quark_from_static_string ("s"), NULL, 0, 1, &reason)->id);
  play_free (paced);
  play_free (plain);
}
END_TEST

/* Guards against a spilled flow that stays near or finds no upstream, and against other flows that
 * leave their domain without need. */
START_TEST (test_prefer_far)
{
  struct Play *play = play_new (0, 9);
  struct CfPlacement placement = placement_of (play, 0);
  GQuark service = g_quark_from_static_string ("s");
  enum CfPlaceReason reason;

  placement.use_pace = _i > 0;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (i % 3 > 0)
      play->vms[0].targets[i]->domain = g_quark_from_static_string ("b");
  for (int i = 0; i < 100; i++)
    {
      placement.prefer_far = true;
      cf_place_flow (&placement, service, NULL, 0, 1, &reason);
      ck_assert_int_eq (reason, CF_PLACE_FAR);
      placement.prefer_far = false;
      cf_place_flow (&placement, service, NULL, 0, 1, &reason);
      ck_assert_int_eq (reason, CF_PLACE_NEAR);
    }
  placement.prefer_far = true;
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    if (i % 3 > 0)
      play->vms[0].targets[i]->state = CF_TARGET_LEAVING;
  ck_assert_ptr_nonnull (cf_place_flow (&placement, service, NULL, 0, 1, &reason));
  ck_assert_int_eq (reason, CF_PLACE_NEAR);
  play_free (play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("place_pace");

  suite_add_loop (suite, test_uneven_upstreams, 3);
  suite_add_loop (suite, test_reports_lost, 1);
  suite_add_loop (suite, test_same_reports, 1);
  suite_add_loop (suite, test_pace_not_used, 1);
  suite_add_loop (suite, test_prefer_far, 2);
  return suite_run (suite);
}
