#include "simulation.h"
#include "suite.h"

/* Upstreams whose ids have the same cookie.  Packets of their flows name them by it alone, so all
 * VMs must take the same one for its owner. */

/* Found by search among 9 million ids. */
static const char *const ids[] = { "i-0044ff4001", "i-006389ce01", "i-00854a5401" };

#define ID_COUNT 3
#define ANSWER_BYTES 500
#define REPEAT_MS 200

static const int orders[][ID_COUNT]
    = { { 0, 1, 2 }, { 0, 2, 1 }, { 1, 0, 2 }, { 1, 2, 0 }, { 2, 0, 1 }, { 2, 1, 0 } };

#define ORDERS G_N_ELEMENTS (orders)

static struct CfAnnouncement
announcement (const char *id, int64_t started, uint64_t revision)
{
  return (struct CfAnnouncement){
    .id = id,
    .tag = 1,
    .service = "s",
    .domain = "a",
    .address = { .ip = 1, .port = 1 },
    .slots = 2,
    .started = started,
    .era = 1,
    .revision = revision,
  };
}

static void
announce (struct CfBalance *vm, const char *id, int64_t started, CfMillis now)
{
  struct CfAnnouncement content = announcement (id, started, (uint64_t) now);

  cf_directory_announce (cf_balance_directory (vm), &content, now);
}

static const char *
owner (const struct CfDirectory *directory)
{
  return cf_directory_by_cookie (directory, cf_cookie (ids[0]))->id;
}

static bool
gets_flows (const struct CfDirectory *directory, const char *id, CfMillis now)
{
  return !cf_target_shares_cookie (cf_directory_by_id (directory, id), now);
}

static void
check_ids (void)
{
  for (int i = 1; i < ID_COUNT; i++)
    ck_assert_uint_eq (cf_cookie (ids[i]), cf_cookie (ids[0]));
}

/* VMs learned of upstreams with one cookie in different orders, and the first one that each learned
 * of was its owner there. */
START_TEST (test_owner_is_the_same_in_any_order)
{
  static const struct
  {
    int64_t started[ID_COUNT];
    int owner;
  } plays[] = {
    { { 100, 200, 300 }, 0 }, { { 300, 200, 100 }, 2 },
    { { 200, 100, 300 }, 1 }, { { 100, 100, 100 }, 0 }, /* at the same time: the lowest id */
    { { 0, 300, 200 }, 2 }, /* a start time that is not given is the latest */
    { { 0, 0, 0 }, 0 },       { { 200, -5, 100 }, 1 },
  };

  check_ids ();
  for (size_t play = 0; play < G_N_ELEMENTS (plays); play++)
    {
      struct CfDirectory *directory = cf_directory_new ();
      const char *expected = ids[plays[play].owner];

      for (int i = 0; i < ID_COUNT; i++)
        {
          int which = orders[_i][i];
          struct CfAnnouncement content
              = announcement (ids[which], plays[play].started[which], 5 + (uint64_t) i);

          cf_directory_announce (directory, &content, i);
        }
      ck_assert_str_eq (owner (directory), expected);
      for (int i = 0; i < ID_COUNT; i++)
        ck_assert (gets_flows (directory, ids[i], ID_COUNT) == g_str_equal (ids[i], expected));
      cf_directory_free (directory);
    }
}
END_TEST

/* What a VM that starts learns of the upstreams that another VM has seen come and go. */
static struct CfDirectory *
copy_announced (const struct CfDirectory *seen, const int64_t *started, const int *order)
{
  struct CfDirectory *directory = cf_directory_new ();

  for (int i = 0; i < ID_COUNT; i++)
    {
      const struct CfTarget *target = cf_directory_by_id (seen, ids[order[i]]);
      struct CfAnnouncement content = announcement (ids[order[i]], started[order[i]], 1000);

      if (!target || target->state == CF_TARGET_GONE)
        continue;
      content.draining = target->state == CF_TARGET_LEAVING;
      cf_directory_announce (directory, &content, 0);
    }
  cf_directory_set_listed (directory);
  return directory;
}

/* Upstreams start, drain, start again and go at random, and their announcements lapse: a VM that
 * has seen all of it and one that has just started send packets with the cookie to the same
 * upstream. */
START_TEST (test_running_and_restarted_vms_agree)
{
  struct CfDirectory *running = cf_directory_new ();
  GRand *random = g_rand_new_with_seed ((guint32) _i);
  int64_t started[ID_COUNT] = { 0 };
  uint64_t revision = 1;

  cf_directory_set_listed (running);
  for (CfMillis now = 1000; now < 400000; now += g_rand_int_range (random, 1, 4000))
    {
      int which = g_rand_int_range (random, 0, ID_COUNT);
      const struct CfTarget *target = cf_directory_by_id (running, ids[which]);
      bool trusted = g_rand_boolean (random);
      struct CfDirectory *restarted;

      if (!target || target->state == CF_TARGET_GONE || g_rand_int_range (random, 0, 8) == 0)
        {
          struct CfAnnouncement content = announcement (ids[which], now, ++revision);

          started[which] = now;
          cf_directory_announce (running, &content, now);
        }
      else if (target->state == CF_TARGET_READY && g_rand_boolean (random))
        {
          struct CfAnnouncement content = announcement (ids[which], started[which], ++revision);

          content.draining = true;
          cf_directory_announce (running, &content, now);
        }
      else
        {
          cf_directory_withdraw (running, ids[which], trusted, now);
          cf_directory_expire_lapsed (running, now);
        }
      if (g_rand_int_range (random, 0, 10) == 0)
        cf_directory_prune (running, now, 20000);
      restarted = copy_announced (running, started, orders[g_rand_int_range (random, 0, ORDERS)]);
      if (cf_directory_by_cookie (restarted, cf_cookie (ids[0])))
        ck_assert_str_eq (owner (running), owner (restarted));
      cf_directory_free (restarted);
    }
  g_rand_free (random);
  cf_directory_free (running);
}
END_TEST

struct Scene
{
  struct Simulation *sim;
  struct CfBalance *vm; /* has seen the upstreams begin, in the order of their starts */
};

/* A VM that has just started and knows the upstreams ids[FIRST] and later, which it learned of in
 * the order of their starts or, with REVERSED, in the opposite one. */
static struct CfBalance *
start_vm (struct Scene *scene, int first, bool reversed, const int64_t *started)
{
  struct CfBalance *vm = sim_add_unsynced_vm (scene->sim, "a");
  struct CfManifest *manifest = sim_manifest (1, 0, true);

  for (int i = first; i < ID_COUNT; i++)
    {
      int which = reversed ? ID_COUNT + first - 1 - i : i;

      announce (vm, ids[which], started[which], scene->sim->now);
    }
  cf_balance_manifest (vm, manifest);
  cf_manifest_free (manifest);
  cf_balance_synced (vm, scene->sim->now);
  return vm;
}

static struct Scene
set_up (int64_t started[ID_COUNT])
{
  struct Scene scene = { .sim = sim_new () };

  check_ids ();
  scene.vm = sim_add_vm (scene.sim, "a", 0);
  for (int i = 0; i < ID_COUNT; i++)
    {
      sim_run (scene.sim, scene.sim->now + 10);
      started[i] = scene.sim->now;
      announce (scene.vm, ids[i], started[i], scene.sim->now);
    }
  return scene;
}

/* Opens a flow through VM, which must choose ID. */
static struct SimFlow *
open_at (struct Scene *scene, struct CfBalance *vm, const char *id)
{
  struct SimFlow *flow = sim_open_flow (scene->sim, vm, 80);

  sim_run (scene->sim, scene->sim->now + scene->sim->round_trip + 2);
  ck_assert_ptr_nonnull (flow->target);
  ck_assert_str_eq (flow->target->id, id);
  return flow;
}

/* Sends a request on FLOW through VM, which must reach ID. */
static void
check_reaches (struct Scene *scene, struct SimFlow *flow, struct CfBalance *vm, const char *id)
{
  flow->balance = vm;
  sim_send_request (flow);
  ck_assert_str_eq (scene->sim->last->id, id);
  ck_assert (!flow->reset);
  sim_run (scene->sim, scene->sim->now + 20);
  sim_acknowledge (flow, ANSWER_BYTES);
}

/* A VM that was restarted took an upstream that began later, but that it learned of first, for the
 * owner of the cookie: packets of open flows went there, and it reset them. */
START_TEST (test_open_flow_through_restarted_vm)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct SimFlow *flow = open_at (&scene, scene.vm, ids[0]);

  check_reaches (&scene, flow, start_vm (&scene, 0, _i == 1, started), ids[0]);
  check_reaches (&scene, flow, scene.vm, ids[0]);
  sim_free (scene.sim);
}
END_TEST

/* An upstream has gone, and VMs that knew it sent packets with its cookie there for a flow's
 * longest life.  A VM that started later does not know it, and opens flows at the next one: these
 * went silent, or were reset since their upstream was gone, when another VM got their packets. */
START_TEST (test_first_is_gone)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfDirectory *directory = cf_balance_directory (scene.vm);
  struct SimFlow *flow;

  cf_directory_withdraw (directory, ids[0], true, scene.sim->now);
  flow = open_at (&scene, start_vm (&scene, 1, _i == 1, started), ids[1]);
  check_reaches (&scene, flow, scene.vm, ids[1]);
  /* It gets none from here, so that flows of the first that are still open reach only one that
   * never had any. */
  ck_assert (!gets_flows (directory, ids[1], scene.sim->now));
  cf_directory_prune (directory, scene.sim->now + 60001, 60000);
  ck_assert (gets_flows (directory, ids[1], scene.sim->now));
  ck_assert (!gets_flows (directory, ids[2], scene.sim->now));
  sim_free (scene.sim);
}
END_TEST

/* The same flow loses a packet: its upstream is there, so that the repeat must not reset it. */
START_TEST (test_first_is_gone_and_a_packet_is_lost)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct SimFlow *other;
  struct SimFlow *flow;

  sim_add_upstream (scene.sim, NULL, "other", "s", "b", 0);
  cf_directory_withdraw (cf_balance_directory (scene.vm), ids[0], true, scene.sim->now);
  flow = open_at (&scene, start_vm (&scene, 1, false, started), ids[1]);
  other = open_at (&scene, scene.vm, "other");
  flow->balance = scene.vm;
  sim_send_request (flow);
  check_reaches (&scene, other, scene.vm, "other");
  sim_run (scene.sim, scene.sim->now + REPEAT_MS);
  check_reaches (&scene, other, scene.vm, "other");
  sim_repeat_request (flow);
  ck_assert_str_eq (scene.sim->last->id, ids[1]);
  ck_assert (!flow->reset);
  sim_free (scene.sim);
}
END_TEST

/* Announcements that ended while the store was away: the upstream may be there, and keeps its
 * cookie. */
START_TEST (test_first_has_lapsed)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfDirectory *directory = cf_balance_directory (scene.vm);
  struct SimFlow *flow = open_at (&scene, scene.vm, ids[0]);

  cf_directory_withdraw (directory, ids[0], false, scene.sim->now);
  check_reaches (&scene, flow, scene.vm, ids[0]);
  ck_assert_str_eq (owner (directory), ids[0]);
  cf_directory_expire_lapsed (directory, scene.sim->now);
  ck_assert_str_eq (owner (directory), ids[1]);
  announce (scene.vm, ids[0], started[0], scene.sim->now);
  ck_assert_str_eq (owner (directory), ids[0]);
  sim_free (scene.sim);
}
END_TEST

/* A flow that this VM opened stays at its upstream, whoever else has the cookie later: one that
 * started earlier and announced itself later, or the next one as the first is gone. */
START_TEST (test_own_flow_stays)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfBalance *vm = start_vm (&scene, 1, false, started);
  struct CfDirectory *directory = cf_balance_directory (vm);
  struct SimFlow *flow = open_at (&scene, vm, ids[1]);

  if (_i == 0)
    announce (vm, ids[0], started[0], scene.sim->now);
  else
    cf_directory_withdraw (directory, ids[1], true, scene.sim->now);
  ck_assert_str_eq (owner (directory), ids[_i == 0 ? 0 : 2]);
  check_reaches (&scene, flow, vm, ids[1]);
  sim_free (scene.sim);
}
END_TEST

/* The cookie passes to another upstream while this VM has moved flows: their packets and counts go
 * with it. */
START_TEST (test_moved_flow_follows_cookie)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfDirectory *directory = cf_balance_directory (scene.vm);
  struct SimFlow *flow = open_at (&scene, start_vm (&scene, 1, false, started), ids[1]);

  check_reaches (&scene, flow, scene.vm, ids[0]);
  ck_assert_uint_eq (cf_directory_by_id (directory, ids[0])->open, 1);
  cf_directory_withdraw (directory, ids[0], true, scene.sim->now);
  check_reaches (&scene, flow, scene.vm, ids[1]);
  ck_assert_uint_eq (cf_directory_by_id (directory, ids[0])->open, 0);
  ck_assert_uint_eq (cf_directory_by_id (directory, ids[1])->open, 1);
  sim_free (scene.sim);
}
END_TEST

/* An upstream that starts again under its id has lost its flows, and is the last one from then on.
 * Other VMs may not know yet that the next one has the cookie now, and get packets of its flows. */
START_TEST (test_first_starts_again)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfDirectory *directory = cf_balance_directory (scene.vm);
  CfMillis now = scene.sim->now;

  ck_assert (gets_flows (directory, ids[0], now));
  announce (scene.vm, ids[0], now, now);
  ck_assert_str_eq (owner (directory), ids[1]);
  for (int i = 0; i < ID_COUNT; i++)
    ck_assert (!gets_flows (directory, ids[i], now + CF_DIRECTORY_SETTLE_MS - 1));
  ck_assert (gets_flows (directory, ids[1], now + CF_DIRECTORY_SETTLE_MS));
  ck_assert (!gets_flows (directory, ids[0], now + CF_DIRECTORY_SETTLE_MS));
  sim_free (scene.sim);
}
END_TEST

/* What is known from the first list is known to other VMs, too: no waiting. */
START_TEST (test_first_list_is_settled)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfBalance *vm = start_vm (&scene, 0, true, started);

  open_at (&scene, vm, ids[0]);
  sim_free (scene.sim);
}
END_TEST

/* The store was restored from an older copy: announcements come again in a later era, in another
 * order and with other revisions. */
START_TEST (test_owner_after_restore)
{
  int64_t started[ID_COUNT];
  struct Scene scene = set_up (started);
  struct CfDirectory *directory = cf_balance_directory (scene.vm);
  struct SimFlow *flow = open_at (&scene, scene.vm, ids[0]);

  for (int i = 0; i < ID_COUNT; i++)
    {
      int which = orders[_i][i];
      struct CfAnnouncement content = announcement (ids[which], started[which], 3 + (uint64_t) i);

      content.era = 2;
      cf_directory_announce (directory, &content, scene.sim->now);
      ck_assert_str_eq (owner (directory), ids[0]);
      check_reaches (&scene, flow, scene.vm, ids[0]);
    }
  sim_free (scene.sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("cookie_owner");

  suite_add_loop (suite, test_owner_is_the_same_in_any_order, ORDERS);
  suite_add_loop (suite, test_running_and_restarted_vms_agree, 50);
  suite_add_loop (suite, test_open_flow_through_restarted_vm, 2);
  suite_add_loop (suite, test_first_is_gone, 2);
  suite_add_loop (suite, test_first_is_gone_and_a_packet_is_lost, 1);
  suite_add_loop (suite, test_first_has_lapsed, 1);
  suite_add_loop (suite, test_own_flow_stays, 2);
  suite_add_loop (suite, test_moved_flow_follows_cookie, 1);
  suite_add_loop (suite, test_first_starts_again, 1);
  suite_add_loop (suite, test_first_list_is_settled, 1);
  suite_add_loop (suite, test_owner_after_restore, ORDERS);
  return suite_run (suite);
}
