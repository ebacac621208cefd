#include "balance/reach.h"
#include "simulation.h"
#include "suite.h"

/* The forwarding decisions for packets with flow cookies, on virtual time. */

/* Reachability. */

START_TEST (test_reach)
{
  struct CfReach reach = { .confirmed_at = -1 };
  CfMillis now = 1000;

  cf_reach_record_attempt (&reach, now);
  cf_reach_record_failure (&reach, now, now + 12);
  ck_assert (!cf_reach_good (&reach));
  /* Flows that began before the first failure timed out do not count again. */
  cf_reach_record_failure (&reach, now + 2, now + 14);
  ck_assert_uint_eq (reach.failures, 1);
  ck_assert (!cf_reach_may_try (&reach, now + 100));
  now += 12 + CF_REACH_RETRY_MIN_MS;
  ck_assert (cf_reach_may_try (&reach, now));
  cf_reach_record_attempt (&reach, now);
  ck_assert (!cf_reach_may_try (&reach, now));
  for (int i = 0; i < 10; i++)
    {
      cf_reach_record_failure (&reach, now, now + 12);
      now = reach.retry_at;
      cf_reach_record_attempt (&reach, now);
    }
  ck_assert_int_eq (reach.retry_at - reach.failed_at, CF_REACH_RETRY_MAX_MS);
  cf_reach_record_success (&reach, now + 5);
  ck_assert (cf_reach_good (&reach));
  /* A flow that began before the last success does not count. */
  cf_reach_record_failure (&reach, now, now + 12);
  ck_assert (cf_reach_good (&reach));
}
END_TEST

/* Placement. */

static void
add_upstreams (struct Simulation *sim, const char *service, const char *domain, int count)
{
  for (int i = 0; i < count; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "%s-%s-%d", service, domain, i);
      sim_add_upstream (sim, NULL, id, service, domain, 0);
    }
}

static uint32_t
first_packets_in (struct Simulation *sim, const char *service, const char *domain, int count)
{
  uint32_t sum = 0;

  for (int i = 0; i < count; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "%s-%s-%d", service, domain, i);
      sum += sim_count_first_packets (sim, id, 0, G_MAXINT64);
    }
  return sum;
}

/* Near upstreams are filled up to one open flow more per slot than far ones, then far ones are
 * used. */
START_TEST (test_place_near_first)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);

  add_upstreams (sim, "s", "a", 2);
  add_upstreams (sim, "s", "b", 2);
  for (int i = 0; i < 4; i++)
    sim_open_flow (sim, balance, 80);
  ck_assert_uint_eq (first_packets_in (sim, "s", "a", 2), 4);
  for (int i = 0; i < 8; i++)
    sim_open_flow (sim, balance, 80);
  ck_assert_uint_ge (first_packets_in (sim, "s", "b", 2), 2);
  sim_free (sim);
}
END_TEST

/* Equal upstreams get equal shares, whatever their position in the list. */
START_TEST (test_place_even)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);

  add_upstreams (sim, "s", "b", 6);
  add_upstreams (sim, "s", "a", 6);
  for (int i = 0; i < 3000; i++)
    {
      struct SimFlow *flow = sim_open_flow (sim, balance, 80);

      sim_run (sim, sim->now + 6);
      sim_close_flow (flow);
    }
  for (int i = 0; i < 6; i++)
    {
      char id[32];

      g_snprintf (id, sizeof id, "s-a-%d", i);
      ck_assert_uint_ge (sim_count_first_packets (sim, id, 0, G_MAXINT64), 400);
      ck_assert_uint_le (sim_count_first_packets (sim, id, 0, G_MAXINT64), 600);
    }
  sim_free (sim);
}
END_TEST

START_TEST (test_place_evacuated)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 10);

  add_upstreams (sim, "s", "a", 2);
  add_upstreams (sim, "s", "b", 2);
  cf_balance_evacuate (balance, "a", true, sim->now);
  for (int i = 0; i < 100; i++)
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 10);
    }
  ck_assert_uint_eq (first_packets_in (sim, "s", "a", 2), 0);
  /* After the evacuation its upstreams may be cold: they get flows once they must be warm. */
  cf_balance_evacuate (balance, "a", false, sim->now);
  sim_open_flow (sim, balance, 80);
  ck_assert_uint_eq (first_packets_in (sim, "s", "a", 2), 0);
  sim_run (sim, sim->now + 4000);
  sim_open_flow (sim, balance, 80);
  ck_assert_uint_eq (first_packets_in (sim, "s", "a", 2), 1);
  sim_free (sim);
}
END_TEST

/* Flows. */

START_TEST (test_cookie_selects_upstream)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *first = sim_add_vm (sim, "a", 0);
  struct CfBalance *second = sim_add_vm (sim, "b", 0);
  struct SimFlow *flow;

  add_upstreams (sim, "s", "a", 3);
  add_upstreams (sim, "s", "b", 3);
  flow = sim_open_flow (sim, first, 80);
  sim_run (sim, sim->now + 10);
  ck_assert_int_ge (flow->opened_at, 0);
  /* The flow moves to a VM without a record of it, where its upstream is already gone. */
  flow->balance = second;
  cf_directory_withdraw (cf_balance_directory (second), flow->target->id, true, sim->now);
  sim->last = NULL;
  sim_close_flow (flow);
  ck_assert_ptr_nonnull (sim->last);
  ck_assert_ptr_eq (sim->last,
                    cf_directory_by_id (cf_balance_directory (second), flow->target->id));
  sim_free (sim);
}
END_TEST

START_TEST (test_refusals)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);
  struct CfManifest *without = sim_manifest (2, 0, false);
  struct SimFlow *flow;

  add_upstreams (sim, "s", "a", 1);
  /* No upstream of the service: refused at once. */
  flow = sim_open_flow (sim, balance, 81);
  ck_assert (flow->reset);
  /* Flows with a route and an upstream are not refused. */
  flow = sim_open_flow (sim, balance, 80);
  sim_run (sim, sim->now + 10);
  ck_assert (!flow->reset);
  add_upstreams (sim, "t", "a", 1);
  flow = sim_open_flow (sim, balance, 81);
  sim_run (sim, sim->now + 10);
  ck_assert_int_ge (flow->opened_at, 0);
  cf_balance_manifest (balance, without);
  sim_close_flow (flow);
  ck_assert (flow->reset);
  flow = sim_open_flow (sim, balance, 81);
  ck_assert (flow->reset);
  /* The last sync is too long ago to refuse: another VM may have newer state. */
  sim->resets = 0;
  sim_run (sim, sim->now + 10000);
  cf_directory_withdraw (cf_balance_directory (balance), "s-a-0", true, sim->now);
  cf_balance_set_peers (balance, (const uint32_t[]){ 1 }, 1);
  sim_open_flow (sim, balance, 80);
  ck_assert_uint_eq (sim->resets, 0);
  ck_assert_uint_eq (sim->handed_on, 1);
  cf_manifest_free (without);
  sim_free (sim);
}
END_TEST

static enum CfOutcome
send_later_packet (struct Simulation *sim,
                   struct CfBalance *balance,
                   uint32_t cookie,
                   unsigned flags)
{
  uint8_t bytes[32] = { 0 };
  struct CfSegment segment = {
    .caller = { .ip = 9, .port = 9 },
    .service = { .ip = SIM_SERVICE_IP, .port = 80 },
    .flags = CF_SEGMENT_ACK | flags,
    .cookie = cookie,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  return cf_balance_segment (balance, &segment, sim->now);
}

START_TEST (test_wrong_cookies)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);

  add_upstreams (sim, "s", "a", 1);
  add_upstreams (sim, "t", "a", 1);
  ck_assert_int_eq (send_later_packet (sim, balance, cf_cookie ("s-a-0"), 0), CF_OUTCOME_PASSED);
  ck_assert_int_eq (send_later_packet (sim, balance, cf_cookie ("t-a-0"), 0),
                    CF_OUTCOME_DROPPED_OTHER_SERVICE);
  ck_assert_int_eq (send_later_packet (sim, balance, 12345, 0), CF_OUTCOME_DROPPED_UNKNOWN_COOKIE);
  cf_balance_set_peers (balance, (const uint32_t[]){ 1 }, 1);
  ck_assert_int_eq (send_later_packet (sim, balance, 12345, 0), CF_OUTCOME_HANDED_ON);
  /* A packet is handed on only once. */
  ck_assert_int_eq (send_later_packet (sim, balance, 12345, CF_SEGMENT_FROM_PEER),
                    CF_OUTCOME_DROPPED_UNKNOWN_COOKIE);
  ck_assert_uint_eq (sim->forwarded, 1);
  sim_free (sim);
}
END_TEST

/* A flow that is placed at an unresponsive upstream opens elsewhere before its caller retransmits,
 * and soon no flow is placed there.  Callers retransmit after 200 ms; unless the VM resends the
 * first packet sooner, every flow that meets an unresponsive upstream waits that long. */
START_TEST (test_unresponsive_upstreams)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);
  CfMillis unresponsive_at = 0;
  CfMillis worst = 0;
  uint32_t late = 0;

  add_upstreams (sim, "s", "a", 4);
  add_upstreams (sim, "s", "b", 4);
  for (int i = 0; i < 400; i++)
    {
      struct SimFlow *flow = sim_open_flow (sim, balance, 80);

      if (i == 100)
        {
          g_hash_table_add (sim->unresponsive, (gpointer) "s-a-1");
          g_hash_table_add (sim->unresponsive, (gpointer) "s-a-2");
          unresponsive_at = sim->now;
        }
      sim_run (sim, sim->now + 15);
      sim_close_flow (flow);
    }
  sim_run (sim, sim->now + 700);
  for (guint i = 0; i < sim->flows->len; i++)
    {
      struct SimFlow *flow = sim->flows->pdata[i];

      ck_assert_int_ge (flow->opened_at, 0);
      worst = MAX (worst, flow->opened_at - flow->begun_at);
      late += flow->opened_at - flow->begun_at > 30;
    }
  printf (
      "unresponsive: slowest opening %d ms, %u of 300 flows over 30 ms; %u first packets there\n",
      (int) worst, late,
      sim_count_first_packets (sim, "s-a-1", unresponsive_at, G_MAXINT64)
          + sim_count_first_packets (sim, "s-a-2", unresponsive_at, G_MAXINT64));
  ck_assert_int_lt (worst, SIM_RETRANSMIT_MS / 2);
  /* Two first packets reach it in the first second after the fault, from then on only trials. */
  ck_assert_uint_le (sim_count_first_packets (sim, "s-a-1", unresponsive_at + 1000, G_MAXINT64), 4);
  /* Recovery is noticed within the longest retry delay; then they get an equal share again. */
  g_hash_table_remove_all (sim->unresponsive);
  for (int i = 0; i < 400; i++)
    {
      struct SimFlow *flow = sim_open_flow (sim, balance, 80);

      sim_run (sim, sim->now + 15);
      sim_close_flow (flow);
    }
  ck_assert_uint_ge (
      sim_count_first_packets (sim, "s-a-1", sim->now - 400 * 15 + CF_REACH_RETRY_MAX_MS, sim->now),
      40);
  sim_free (sim);
}
END_TEST

/* All near upstreams of a service are unresponsive, and one of the far ones: flows open at the
 * rest. */
START_TEST (test_unresponsive_domain)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);
  uint32_t slow = 0;

  add_upstreams (sim, "s", "a", 2);
  add_upstreams (sim, "s", "b", 4);
  g_hash_table_add (sim->unresponsive, (gpointer) "s-a-0");
  g_hash_table_add (sim->unresponsive, (gpointer) "s-a-1");
  g_hash_table_add (sim->unresponsive, (gpointer) "s-b-0");
  for (int i = 0; i < 200; i++)
    {
      struct SimFlow *flow = sim_open_flow (sim, balance, 80);

      sim_run (sim, sim->now + 15);
      sim_close_flow (flow);
    }
  sim_run (sim, sim->now + 700);
  for (guint i = 0; i < sim->flows->len; i++)
    {
      struct SimFlow *flow = sim->flows->pdata[i];

      ck_assert_int_ge (flow->opened_at, 0);
      slow += flow->opened_at - flow->begun_at > SIM_RETRANSMIT_MS / 2;
    }
  ck_assert_uint_le (slow, 2);
  sim_free (sim);
}
END_TEST

/* A VM that reaches no upstream is isolated until the next sync.  One that reaches a single
 * upstream is not isolated. */
START_TEST (test_isolated)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);
  static const char *const ids[] = { "s-a-0", "s-a-1", "s-b-0", "s-b-1" };
  CfMillis cut_at;

  add_upstreams (sim, "s", "a", 2);
  add_upstreams (sim, "s", "b", 2);
  for (int i = 0; i < 3; i++)
    g_hash_table_add (sim->unresponsive, (gpointer) ids[i]);
  for (int i = 0; i < 100; i++)
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 20);
      ck_assert (!cf_balance_isolated (balance, sim->now));
    }
  g_hash_table_add (sim->unresponsive, (gpointer) ids[3]);
  cut_at = sim->now;
  while (!cf_balance_isolated (balance, sim->now))
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 20);
      ck_assert_int_lt (sim->now, cut_at + 1000);
    }
  ck_assert (!cf_balance_ready (balance));
  g_hash_table_remove_all (sim->unresponsive);
  cf_balance_synced (balance, sim->now + 1);
  ck_assert (!cf_balance_isolated (balance, sim->now + 1));
  ck_assert (cf_balance_ready (balance));
  sim_free (sim);
}
END_TEST

/* An upstream that is gone is not pruned while a flow that is being opened may refer to it, however
 * short the configured lifetime of flows is.  Otherwise the flow would use freed memory. */
START_TEST (test_prune_keeps_pending)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm_with_lifetime (sim, "a", 0, 0);

  add_upstreams (sim, "s", "a", 1);
  add_upstreams (sim, "s", "b", 1);
  g_hash_table_add (sim->unresponsive, (gpointer) "s-a-0");
  g_hash_table_add (sim->unresponsive, (gpointer) "s-b-0");
  sim_run (sim, 19500);
  sim_open_flow (sim, balance, 80);
  cf_directory_withdraw (cf_balance_directory (balance), "s-a-0", true, sim->now);
  cf_directory_withdraw (cf_balance_directory (balance), "s-b-0", true, sim->now);
  sim_run (sim, 20600);
  ck_assert_ptr_nonnull (cf_directory_by_id (cf_balance_directory (balance), "s-a-0"));
  sim_run (sim, 40000);
  ck_assert_ptr_null (cf_directory_by_id (cf_balance_directory (balance), "s-a-0"));
  sim_free (sim);
}
END_TEST

/* After a pause of the VM, time-outs that expired meanwhile count against no upstream. */
START_TEST (test_pause_not_counted_as_loss)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);
  GHashTableIter iter;
  gpointer value;

  add_upstreams (sim, "s", "a", 4);
  for (int i = 0; i < 8; i++)
    sim_open_flow (sim, balance, 80);
  sim->now += 3000;
  cf_balance_tick (balance, sim->now);
  g_hash_table_iter_init (&iter, cf_directory_all (cf_balance_directory (balance)));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ck_assert (cf_reach_good (&((struct CfTarget *) value)->reach));
  sim_free (sim);
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
  struct Simulation *sim = sim_new ();
  GRand *random = g_rand_new_with_seed ((guint32) _i + 1);
  const int vms = cold_vms[_i % 2];
  const double limit = COLD_PER_S * 1.5 + 5;
  CfMillis began = sim->now;

  for (int i = 0; i < vms; i++)
    cf_balance_set_fleet_size (sim_add_vm (sim, i % 2 ? "a" : "b", COLD_PER_S), (uint32_t) vms);
  for (int i = 0; i < vms; i++)
    {
      /* Some VMs learn of it later; for them it stays cold for longer. */
      if (g_rand_boolean (random))
        sim_run (sim, sim->now + g_rand_int_range (random, 0, 1000 / vms));
      sim_add_upstream (sim, sim->balances->pdata[i], "cold", "s", "a", COLD_FOR_MS);
    }
  while (sim->now < began + COLD_FOR_MS)
    {
      sim_open_flow (sim, sim->balances->pdata[g_rand_int_range (random, 0, vms)], 80);
      sim_run (sim, sim->now + g_rand_int_range (random, 1, 4));
    }
  for (CfMillis at = began; at < began + COLD_FOR_MS - 1000; at += 10)
    ck_assert_uint_le (sim_count_first_packets (sim, "cold", at, at + 1000), (uint32_t) limit);
  /* It is not left idle either. */
  ck_assert_uint_ge (sim_count_first_packets (sim, "cold", began, began + COLD_FOR_MS),
                     (uint32_t) (COLD_PER_S * COLD_FOR_MS / CF_MS_PER_S / 4));
  g_rand_free (random);
  sim_free (sim);
}
END_TEST

/* A cold upstream gets no flows while there are warm ones, whatever their load. */
START_TEST (test_cold_avoided)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", COLD_PER_S);

  add_upstreams (sim, "s", "b", 2);
  sim_add_upstream (sim, NULL, "cold", "s", "a", 2000);
  for (int i = 0; i < 100; i++)
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 10);
    }
  ck_assert_uint_eq (sim_count_first_packets (sim, "cold", 0, sim->now), 0);
  sim_run (sim, sim->now + 2000);
  sim_open_flow (sim, balance, 80);
  ck_assert_uint_eq (sim_count_first_packets (sim, "cold", 0, sim->now + 1), 1);
  sim_free (sim);
}
END_TEST

/* The random part of an interval below 1 ms was drawn from an empty range. */
START_TEST (test_cold_capacity_too_large)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 1e6);

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  sim_add_upstream (sim, NULL, "cold", "s", "a", 1000);
  for (int i = 0; i < 5; i++)
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 10);
    }
  ck_assert_uint_ge (sim_count_first_packets (sim, "cold", 0, sim->now), 4);
  sim_free (sim);
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
  suite_add_loop (suite, test_cookie_selects_upstream, 1);
  suite_add_loop (suite, test_refusals, 1);
  suite_add_loop (suite, test_wrong_cookies, 1);
  suite_add_loop (suite, test_unresponsive_upstreams, 1);
  suite_add_loop (suite, test_unresponsive_domain, 1);
  suite_add_loop (suite, test_isolated, 1);
  suite_add_loop (suite, test_prune_keeps_pending, 1);
  suite_add_loop (suite, test_pause_not_counted_as_loss, 1);
  suite_add_loop (suite, test_cold_limit, 2 * COLD_SEEDS);
  suite_add_loop (suite, test_cold_avoided, 1);
  suite_add_loop (suite, test_cold_capacity_too_large, 1);
  return suite_run (suite);
}
