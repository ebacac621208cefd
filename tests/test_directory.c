#include "balance/reach.h"
#include "simulation.h"
#include "suite.h"

/* The directory of upstreams. */

static struct CfAnnouncement
announcement (const char *id, uint64_t revision)
{
  return (struct CfAnnouncement){
    .id = id,
    .tag = 7,
    .service = "s",
    .domain = "a",
    .address = { .ip = 1, .port = 1 },
    .slots = 2,
    .started = 100,
    .revision = revision,
  };
}

START_TEST (test_directory_states)
{
  struct CfDirectory *directory = cf_directory_new ();
  struct CfAnnouncement ready = announcement ("i-1", 5);
  struct CfAnnouncement draining = announcement ("i-1", 8);
  struct CfTarget *target = cf_directory_announce (directory, &ready, 0);

  draining.draining = true;
  ck_assert_int_eq (target->state, CF_TARGET_READY);
  /* After an outage of the store an expired announcement is no evidence of the upstream's end. */
  cf_directory_withdraw (directory, "i-1", false, 10);
  ck_assert_int_eq (target->state, CF_TARGET_LAPSED);
  ready.revision = 6;
  cf_directory_announce (directory, &ready, 20);
  ck_assert_int_eq (target->state, CF_TARGET_READY);
  cf_directory_withdraw (directory, "i-1", false, 30);
  cf_directory_expire_lapsed (directory, 40);
  ck_assert_int_eq (target->state, CF_TARGET_GONE);
  ready.revision = 7;
  cf_directory_announce (directory, &ready, 50);
  ck_assert_int_eq (target->state, CF_TARGET_READY);
  cf_directory_announce (directory, &draining, 60);
  ck_assert_int_eq (target->state, CF_TARGET_LEAVING);
  /* An older announcement that arrives late does not make it ready again. */
  cf_directory_announce (directory, &ready, 70);
  ck_assert_int_eq (target->state, CF_TARGET_LEAVING);
  /* A draining upstream is gone when its announcement ends, whatever the store's state. */
  cf_directory_withdraw (directory, "i-1", false, 80);
  ck_assert_int_eq (target->state, CF_TARGET_GONE);
  cf_directory_free (directory);
}
END_TEST

START_TEST (test_directory_restart)
{
  struct CfDirectory *directory = cf_directory_new ();
  struct CfAnnouncement first = announcement ("i-1", 5);
  struct CfAnnouncement second = announcement ("i-1", 9);
  struct CfTarget *target = cf_directory_announce (directory, &first, 0);

  cf_reach_record_failure (&target->reach, 5, 10);
  second.started = 200;
  second.cold_ms = 2000;
  cf_directory_announce (directory, &second, 20);
  ck_assert (cf_reach_good (&target->reach));
  ck_assert_int_eq (target->cold_until, 2020);
  /* Announcements of the previous incarnation are ignored, whatever their revision. */
  first.revision = 10;
  first.draining = true;
  cf_directory_announce (directory, &first, 30);
  ck_assert_int_eq (target->state, CF_TARGET_READY);
  cf_directory_free (directory);
}
END_TEST

/* An upstream that started again while its clock had jumped back used to be ignored for good, and
 * with it that it drains, although it went on writing. */
START_TEST (test_directory_restart_with_lower_clock)
{
  struct CfDirectory *directory = cf_directory_new ();
  struct CfAnnouncement first = announcement ("i-1", 5);
  struct CfAnnouncement again = announcement ("i-1", 9);
  struct CfTarget *target;

  first.era = again.era = 2;
  first.started = 2500;
  again.started = 1500;
  target = cf_directory_announce (directory, &first, 0);
  /* This may be a late write of a process before. */
  cf_directory_announce (directory, &again, 10);
  ck_assert_int_eq (target->started, 2500);
  /* The same record, told once more, is no second write. */
  cf_directory_announce (directory, &again, 15);
  ck_assert_int_eq (target->started, 2500);
  again.draining = true;
  again.revision = 11;
  cf_directory_announce (directory, &again, 20);
  ck_assert_int_eq (target->state, CF_TARGET_LEAVING);
  /* The first incarnation, told late, is older by its revision. */
  cf_directory_announce (directory, &first, 30);
  ck_assert_int_eq (target->state, CF_TARGET_LEAVING);
  cf_directory_free (directory);
}
END_TEST

START_TEST (test_directory_moves_service)
{
  struct CfDirectory *directory = cf_directory_new ();
  struct CfAnnouncement first = announcement ("i-1", 5);

  cf_directory_announce (directory, &first, 0);
  first.service = "t";
  first.revision = 6;
  first.started = 300;
  cf_directory_announce (directory, &first, 0);
  ck_assert_uint_eq (cf_directory_service (directory, g_quark_from_string ("s"))->len, 0);
  ck_assert_uint_eq (cf_directory_service (directory, g_quark_from_string ("t"))->len, 1);
  cf_directory_free (directory);
}
END_TEST

/* Any number is a start time: an upstream whose first announcement was ignored was known without a
 * service, and what compares it with the others of its service found none. */
START_TEST (test_negative_start_time)
{
  struct CfDirectory *directory = cf_directory_new ();
  struct CfAnnouncement odd = announcement ("i-1", 5);
  struct CfTarget *target;

  odd.started = -1;
  target = cf_directory_announce (directory, &odd, 0);
  ck_assert_uint_eq (target->service, g_quark_from_string ("s"));
  ck_assert_uint_eq (cf_directory_service (directory, target->service)->len, 1);
  odd.started = -2;
  odd.service = "t";
  odd.revision = 6;
  cf_directory_announce (directory, &odd, 0);
  ck_assert_uint_eq (target->service, g_quark_from_string ("s"));
  cf_directory_withdraw (directory, "i-1", true, 0);
  cf_directory_prune (directory, 60001, 60000);
  ck_assert_ptr_null (cf_directory_by_id (directory, "i-1"));
  ck_assert_uint_eq (cf_directory_service (directory, g_quark_from_string ("s"))->len, 0);
  cf_directory_free (directory);
}
END_TEST

/* Finds two ids with the same cookie. */
static void
find_collision (char *first, char *second, size_t size)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  for (guint i = 1;; i++)
    {
      gpointer other;

      g_snprintf (second, size, "i-%x", i);
      other = g_hash_table_lookup (seen, GUINT_TO_POINTER (cf_cookie (second)));
      if (other)
        {
          g_snprintf (first, size, "i-%x", GPOINTER_TO_UINT (other));
          break;
        }
      g_hash_table_insert (seen, GUINT_TO_POINTER (cf_cookie (second)), GUINT_TO_POINTER (i));
    }
  g_hash_table_unref (seen);
}

START_TEST (test_cookie_collision)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);
  struct CfDirectory *directory = cf_balance_directory (balance);
  char first[16];
  char second[16];

  find_collision (first, second, sizeof first);
  sim_add_upstream (sim, NULL, first, "s", "a", 0);
  sim_add_upstream (sim, NULL, second, "s", "a", 0);
  for (int i = 0; i < 50; i++)
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 10);
    }
  ck_assert_uint_eq (sim_count_first_packets (sim, first, 0, sim->now), 50);
  ck_assert_uint_eq (sim_count_first_packets (sim, second, 0, sim->now), 0);
  /* The cookie passes to the later upstream once the earlier has been gone for a flow lifetime. */
  for (guint i = 0; i < sim->flows->len; i++)
    sim_close_flow (sim->flows->pdata[i]);
  cf_directory_withdraw (directory, first, true, sim->now);
  cf_directory_prune (directory, sim->now + 60001, 60000);
  ck_assert_ptr_null (cf_directory_by_id (directory, first));
  ck_assert_str_eq (cf_directory_by_cookie (directory, cf_cookie (second))->id, second);
  ck_assert (!cf_directory_by_id (directory, second)->collides);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("directory");

  suite_add_loop (suite, test_directory_states, 1);
  suite_add_loop (suite, test_directory_restart, 1);
  suite_add_loop (suite, test_directory_restart_with_lower_clock, 1);
  suite_add_loop (suite, test_directory_moves_service, 1);
  suite_add_loop (suite, test_negative_start_time, 1);
  suite_add_loop (suite, test_cookie_collision, 1);
  return suite_run (suite);
}
