#include "balance/reach.h"
#include "balancers.h"
#include "suite.h"

/* The forwarding decisions for packets with flow cookies, on virtual time. */

/* Reachability. */

START_TEST (test_reach)
{
  struct CfReach reach = { .confirmed_at = -1 };
  CfMillis now = 1000;

  cf_reach_begin (&reach);
  cf_reach_strike (&reach, now, now + 12);
  ck_assert (!cf_reach_good (&reach));
  /* Flows that began before the first failure timed out do not count again. */
  cf_reach_strike (&reach, now + 2, now + 14);
  ck_assert_uint_eq (reach.strikes, 1);
  ck_assert (!cf_reach_may_try (&reach, now + 100));
  now += 12 + CF_REACH_RETRY_MIN_MS;
  ck_assert (cf_reach_may_try (&reach, now));
  cf_reach_begin (&reach);
  ck_assert (!cf_reach_may_try (&reach, now));
  for (int i = 0; i < 10; i++)
    {
      cf_reach_strike (&reach, now, now + 12);
      now = reach.retry_at;
      cf_reach_begin (&reach);
    }
  ck_assert_int_eq (reach.retry_at - reach.struck_at, CF_REACH_RETRY_MAX_MS);
  cf_reach_confirm (&reach, now + 5);
  ck_assert (cf_reach_good (&reach));
  /* A flow that began before the last success does not count. */
  cf_reach_strike (&reach, now, now + 12);
  ck_assert (cf_reach_good (&reach));
}
END_TEST

/* Placement. */

static void
add_upstreams (struct TestWorld *world, const char *service, const char *domain, int count)
{
  for (int i = 0; i < count; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "%s-%s-%d", service, domain, i);
      test_world_upstream (world, NULL, id, service, domain, 0);
    }
}

static uint32_t
firsts_in (struct TestWorld *world, const char *service, const char *domain, int count)
{
  uint32_t sum = 0;

  for (int i = 0; i < count; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "%s-%s-%d", service, domain, i);
      sum += test_world_firsts (world, id, 0, G_MAXINT64);
    }
  return sum;
}

/* Near upstreams are filled up to one open flow more per slot than far ones, then far ones are
 * used. */
START_TEST (test_place_near_first)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);

  add_upstreams (world, "s", "a", 2);
  add_upstreams (world, "s", "b", 2);
  for (int i = 0; i < 4; i++)
    test_world_open (world, balance, 80);
  ck_assert_uint_eq (firsts_in (world, "s", "a", 2), 4);
  for (int i = 0; i < 8; i++)
    test_world_open (world, balance, 80);
  ck_assert_uint_ge (firsts_in (world, "s", "b", 2), 2);
  test_world_free (world);
}
END_TEST

/* Equal upstreams get equal shares, whatever their position in the list. */
START_TEST (test_place_even)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);

  add_upstreams (world, "s", "b", 6);
  add_upstreams (world, "s", "a", 6);
  for (int i = 0; i < 3000; i++)
    {
      struct TestFlow *flow = test_world_open (world, balance, 80);

      test_world_run (world, world->now + 6);
      test_world_close (flow);
    }
  for (int i = 0; i < 6; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "s-a-%d", i);
      ck_assert_uint_ge (test_world_firsts (world, id, 0, G_MAXINT64), 400);
      ck_assert_uint_le (test_world_firsts (world, id, 0, G_MAXINT64), 600);
    }
  test_world_free (world);
}
END_TEST

START_TEST (test_place_evacuated)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 10);

  add_upstreams (world, "s", "a", 2);
  add_upstreams (world, "s", "b", 2);
  cf_balance_evacuate (balance, "a", true, world->now);
  for (int i = 0; i < 100; i++)
    {
      test_world_open (world, balance, 80);
      test_world_run (world, world->now + 10);
    }
  ck_assert_uint_eq (firsts_in (world, "s", "a", 2), 0);
  /* After the evacuation its upstreams may be cold: they get flows once they must be warm. */
  cf_balance_evacuate (balance, "a", false, world->now);
  test_world_open (world, balance, 80);
  ck_assert_uint_eq (firsts_in (world, "s", "a", 2), 0);
  test_world_run (world, world->now + 4000);
  test_world_open (world, balance, 80);
  ck_assert_uint_eq (firsts_in (world, "s", "a", 2), 1);
  test_world_free (world);
}
END_TEST

/* Flows. */

START_TEST (test_cookie_decides)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *first = test_world_vm (world, "a", 0);
  struct CfBalance *second = test_world_vm (world, "b", 0);
  struct TestFlow *flow;

  add_upstreams (world, "s", "a", 3);
  add_upstreams (world, "s", "b", 3);
  flow = test_world_open (world, first, 80);
  test_world_run (world, world->now + 10);
  ck_assert_int_ge (flow->opened_at, 0);
  /* The flow moves to a VM without a record of it, where its upstream is already gone. */
  flow->balance = second;
  cf_directory_withdraw (cf_balance_directory (second), flow->target->id, true, world->now);
  world->last = NULL;
  test_world_close (flow);
  ck_assert_ptr_nonnull (world->last);
  ck_assert_ptr_eq (world->last,
                    cf_directory_by_id (cf_balance_directory (second), flow->target->id));
  test_world_free (world);
}
END_TEST

START_TEST (test_refusals)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);
  struct CfManifest *without = test_world_manifest (2, 0, false);
  struct TestFlow *flow;

  add_upstreams (world, "s", "a", 1);
  /* No upstream of the service: refused at once. */
  flow = test_world_open (world, balance, 81);
  ck_assert (flow->reset);
  /* Flows with a route and an upstream are not refused. */
  flow = test_world_open (world, balance, 80);
  test_world_run (world, world->now + 10);
  ck_assert (!flow->reset);
  add_upstreams (world, "t", "a", 1);
  flow = test_world_open (world, balance, 81);
  test_world_run (world, world->now + 10);
  ck_assert_int_ge (flow->opened_at, 0);
  cf_balance_manifest (balance, without);
  test_world_close (flow);
  ck_assert (flow->reset);
  flow = test_world_open (world, balance, 81);
  ck_assert (flow->reset);
  /* The last sync is too long ago to refuse: another VM may have newer state. */
  world->resets = 0;
  test_world_run (world, world->now + 10000);
  cf_directory_withdraw (cf_balance_directory (balance), "s-a-0", true, world->now);
  cf_balance_helpers (balance, (const uint32_t[]){ 1 }, 1);
  test_world_open (world, balance, 80);
  ck_assert_uint_eq (world->resets, 0);
  ck_assert_uint_eq (world->handed_on, 1);
  cf_manifest_free (without);
  test_world_free (world);
}
END_TEST

static enum CfFate
send_later (struct TestWorld *world, struct CfBalance *balance, uint32_t cookie, unsigned flags)
{
  uint8_t bytes[32] = { 0 };
  struct CfSegment segment = {
    .caller = { .ip = 9, .port = 9 },
    .service = { .ip = TEST_SERVICE_IP, .port = 80 },
    .flags = CF_SEGMENT_ACK | flags,
    .cookie = cookie,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  return cf_balance_segment (balance, &segment, world->now);
}

START_TEST (test_wrong_cookies)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);

  add_upstreams (world, "s", "a", 1);
  add_upstreams (world, "t", "a", 1);
  ck_assert_int_eq (send_later (world, balance, cf_cookie ("s-a-0"), 0), CF_FATE_PASSED);
  ck_assert_int_eq (send_later (world, balance, cf_cookie ("t-a-0"), 0), CF_FATE_SILENT_OTHER);
  ck_assert_int_eq (send_later (world, balance, 12345, 0), CF_FATE_SILENT_COOKIE);
  cf_balance_helpers (balance, (const uint32_t[]){ 1 }, 1);
  ck_assert_int_eq (send_later (world, balance, 12345, 0), CF_FATE_HANDED_ON);
  /* A packet is handed on only once. */
  ck_assert_int_eq (send_later (world, balance, 12345, CF_SEGMENT_HANDED), CF_FATE_SILENT_COOKIE);
  ck_assert_uint_eq (world->forwarded, 1);
  test_world_free (world);
}
END_TEST

/* A flow that is placed at an unresponsive upstream opens elsewhere before its caller retransmits,
 * and soon no flow is placed there.  Callers retransmit after 200 ms; unless the VM resends the
 * first packet sooner, every flow that meets an unresponsive upstream waits that long. */
START_TEST (test_dark_upstreams)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);
  CfMillis dark_at = 0;
  CfMillis worst = 0;
  uint32_t late = 0;

  add_upstreams (world, "s", "a", 4);
  add_upstreams (world, "s", "b", 4);
  for (int i = 0; i < 400; i++)
    {
      struct TestFlow *flow = test_world_open (world, balance, 80);

      if (i == 100)
        {
          g_hash_table_add (world->dark, (gpointer) "s-a-1");
          g_hash_table_add (world->dark, (gpointer) "s-a-2");
          dark_at = world->now;
        }
      test_world_run (world, world->now + 15);
      test_world_close (flow);
    }
  test_world_run (world, world->now + 700);
  for (guint i = 0; i < world->flows->len; i++)
    {
      struct TestFlow *flow = world->flows->pdata[i];

      ck_assert_int_ge (flow->opened_at, 0);
      worst = MAX (worst, flow->opened_at - flow->begun_at);
      late += flow->opened_at - flow->begun_at > 30;
    }
  printf (
      "unresponsive: slowest opening %d ms, %u of 300 flows over 30 ms; %u first packets there\n",
      (int) worst, late,
      test_world_firsts (world, "s-a-1", dark_at, G_MAXINT64)
          + test_world_firsts (world, "s-a-2", dark_at, G_MAXINT64));
  ck_assert_int_lt (worst, TEST_REPEAT_MS / 2);
  /* Two first packets reach it in the first second after the fault, from then on only trials. */
  ck_assert_uint_le (test_world_firsts (world, "s-a-1", dark_at + 1000, G_MAXINT64), 4);
  /* After recovery they are noticed within the longest delay and used like the others. */
  g_hash_table_remove_all (world->dark);
  for (int i = 0; i < 400; i++)
    {
      struct TestFlow *flow = test_world_open (world, balance, 80);

      test_world_run (world, world->now + 15);
      test_world_close (flow);
    }
  ck_assert_uint_ge (
      test_world_firsts (world, "s-a-1", world->now - 400 * 15 + CF_REACH_RETRY_MAX_MS, world->now),
      40);
  test_world_free (world);
}
END_TEST

/* All near upstreams of a service are unresponsive, and one of the far ones: flows open at the
 * rest. */
START_TEST (test_dark_domain)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);
  uint32_t slow = 0;

  add_upstreams (world, "s", "a", 2);
  add_upstreams (world, "s", "b", 4);
  g_hash_table_add (world->dark, (gpointer) "s-a-0");
  g_hash_table_add (world->dark, (gpointer) "s-a-1");
  g_hash_table_add (world->dark, (gpointer) "s-b-0");
  for (int i = 0; i < 200; i++)
    {
      struct TestFlow *flow = test_world_open (world, balance, 80);

      test_world_run (world, world->now + 15);
      test_world_close (flow);
    }
  test_world_run (world, world->now + 700);
  for (guint i = 0; i < world->flows->len; i++)
    {
      struct TestFlow *flow = world->flows->pdata[i];

      ck_assert_int_ge (flow->opened_at, 0);
      slow += flow->opened_at - flow->begun_at > TEST_REPEAT_MS / 2;
    }
  ck_assert_uint_le (slow, 2);
  test_world_free (world);
}
END_TEST

/* A VM that reaches no upstream is isolated until the next sync.  One that reaches a single
 * upstream is not isolated. */
START_TEST (test_isolated)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);
  static const char *const ids[] = { "s-a-0", "s-a-1", "s-b-0", "s-b-1" };
  CfMillis cut_at;

  add_upstreams (world, "s", "a", 2);
  add_upstreams (world, "s", "b", 2);
  for (int i = 0; i < 3; i++)
    g_hash_table_add (world->dark, (gpointer) ids[i]);
  for (int i = 0; i < 100; i++)
    {
      test_world_open (world, balance, 80);
      test_world_run (world, world->now + 20);
      ck_assert (!cf_balance_isolated (balance, world->now));
    }
  g_hash_table_add (world->dark, (gpointer) ids[3]);
  cut_at = world->now;
  while (!cf_balance_isolated (balance, world->now))
    {
      test_world_open (world, balance, 80);
      test_world_run (world, world->now + 20);
      ck_assert_int_lt (world->now, cut_at + 1000);
    }
  ck_assert (!cf_balance_ready (balance));
  g_hash_table_remove_all (world->dark);
  cf_balance_news (balance, world->now + 1);
  ck_assert (!cf_balance_isolated (balance, world->now + 1));
  ck_assert (cf_balance_ready (balance));
  test_world_free (world);
}
END_TEST

/* An upstream that is gone is not pruned while a flow that is being opened may refer to it, however
 * short the configured lifetime of flows is.  Otherwise the flow would use freed memory. */
START_TEST (test_prune_spares_pending)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm_living (world, "a", 0, 0);

  add_upstreams (world, "s", "a", 1);
  add_upstreams (world, "s", "b", 1);
  g_hash_table_add (world->dark, (gpointer) "s-a-0");
  g_hash_table_add (world->dark, (gpointer) "s-b-0");
  test_world_run (world, 19500);
  test_world_open (world, balance, 80);
  cf_directory_withdraw (cf_balance_directory (balance), "s-a-0", true, world->now);
  cf_directory_withdraw (cf_balance_directory (balance), "s-b-0", true, world->now);
  test_world_run (world, 20600);
  ck_assert_ptr_nonnull (cf_directory_by_id (cf_balance_directory (balance), "s-a-0"));
  test_world_run (world, 40000);
  ck_assert_ptr_null (cf_directory_by_id (cf_balance_directory (balance), "s-a-0"));
  test_world_free (world);
}
END_TEST

/* After a pause of the VM, time-outs that expired meanwhile count against no upstream. */
START_TEST (test_pause_is_no_evidence)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", 0);
  GHashTableIter iter;
  gpointer value;

  add_upstreams (world, "s", "a", 4);
  for (int i = 0; i < 8; i++)
    test_world_open (world, balance, 80);
  world->now += 3000;
  cf_balance_tick (balance, world->now);
  g_hash_table_iter_init (&iter, cf_directory_all (cf_balance_directory (balance)));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ck_assert (cf_reach_good (&((struct CfTarget *) value)->reach));
  test_world_free (world);
}
END_TEST

/* Cold limits: VMs that learn of a cold upstream at different times together never exceed its
 * limit in any second, in fleets of different sizes.  It is the only upstream, so no warm one
 * takes the load. */
#define COLD_PER_S 10.0
#define COLD_FOR_MS 8000
#define COLD_SEEDS 100 /* for each size of the fleet */

static const int cold_vms[] = { 6, 75 };

START_TEST (test_cold_limit)
{
  struct TestWorld *world = test_world_new ();
  GRand *random = g_rand_new_with_seed ((guint32) _i + 1);
  const int vms = cold_vms[_i % 2];
  const double limit = COLD_PER_S * 1.5 + 5;
  CfMillis began = world->now;

  for (int i = 0; i < vms; i++)
    cf_balance_fleet (test_world_vm (world, i % 2 ? "a" : "b", COLD_PER_S), (uint32_t) vms);
  for (int i = 0; i < vms; i++)
    {
      /* Some VMs learn of it later; for them it stays cold for longer. */
      if (g_rand_boolean (random))
        test_world_run (world, world->now + g_rand_int_range (random, 0, 1000 / vms));
      test_world_upstream (world, world->balances->pdata[i], "cold", "s", "a", COLD_FOR_MS);
    }
  while (world->now < began + COLD_FOR_MS)
    {
      test_world_open (world, world->balances->pdata[g_rand_int_range (random, 0, vms)], 80);
      test_world_run (world, world->now + g_rand_int_range (random, 1, 4));
    }
  for (CfMillis at = began; at < began + COLD_FOR_MS - 1000; at += 10)
    ck_assert_uint_le (test_world_firsts (world, "cold", at, at + 1000), (uint32_t) limit);
  /* It is not left idle either. */
  ck_assert_uint_ge (test_world_firsts (world, "cold", began, began + COLD_FOR_MS),
                     (uint32_t) (COLD_PER_S * COLD_FOR_MS / CF_MS_PER_S / 4));
  g_rand_free (random);
  test_world_free (world);
}
END_TEST

/* A cold upstream gets no flows while there are warm ones, whatever their load. */
START_TEST (test_cold_spared)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_vm (world, "a", COLD_PER_S);

  add_upstreams (world, "s", "b", 2);
  test_world_upstream (world, NULL, "cold", "s", "a", 2000);
  for (int i = 0; i < 100; i++)
    {
      test_world_open (world, balance, 80);
      test_world_run (world, world->now + 10);
    }
  ck_assert_uint_eq (test_world_firsts (world, "cold", 0, world->now), 0);
  test_world_run (world, world->now + 2000);
  test_world_open (world, balance, 80);
  ck_assert_uint_eq (test_world_firsts (world, "cold", 0, world->now + 1), 1);
  test_world_free (world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("balance");

  suite_add_loop (suite, test_reach, 1);
  suite_add_loop (suite, test_place_near_first, 1);
  suite_add_loop (suite, test_place_even, 1);
  suite_add_loop (suite, test_place_evacuated, 1);
  suite_add_loop (suite, test_cookie_decides, 1);
  suite_add_loop (suite, test_refusals, 1);
  suite_add_loop (suite, test_wrong_cookies, 1);
  suite_add_loop (suite, test_dark_upstreams, 1);
  suite_add_loop (suite, test_dark_domain, 1);
  suite_add_loop (suite, test_isolated, 1);
  suite_add_loop (suite, test_prune_spares_pending, 1);
  suite_add_loop (suite, test_pause_is_no_evidence, 1);
  suite_add_loop (suite, test_cold_limit, 2 * COLD_SEEDS);
  suite_add_loop (suite, test_cold_spared, 1);
  return suite_run (suite);
}
