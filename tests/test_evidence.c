#include "balancers.h"
#include "suite.h"

/* What a VM does with first packets that it cannot place yet, and what lost ones tell it. */

/* Every VM has lost power: what comes before the store's answer is not lost. */
START_TEST (test_start_waits_for_news)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_started (world, "a");
  struct CfManifest *manifest = test_world_manifest (1, 0, true);
  const uint32_t other_vm = 0x7f000002;
  struct TestFlow *flows[3];

  cf_balance_helpers (balance, &other_vm, 1);
  for (int i = 0; i < 3; i++)
    {
      flows[i] = test_world_open (world, balance, 80);
      test_world_run (world, world->now + 20);
    }
  /* Another VM may know more, and is asked once for each. */
  ck_assert_uint_eq (world->handed_on, 3);
  cf_balance_manifest (balance, manifest);
  test_world_upstream (world, balance, "i-1", "s", "a", 0);
  test_world_run (world, world->now + 10);
  /* Evacuations are not known yet. */
  ck_assert_uint_eq (world->forwarded, 0);
  cf_balance_news (balance, world->now);
  test_world_run (world, world->now + 10);
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_ge (flows[i]->opened_at, 0);
      ck_assert_int_lt (flows[i]->opened_at - flows[i]->begun_at, TEST_REPEAT_MS);
    }
  ck_assert_uint_eq (test_world_firsts (world, "i-1", 0, world->now), 3);
  cf_manifest_free (manifest);
  test_world_free (world);
}
END_TEST

/* A caller that has given up gets nothing, and what no upstream may take is refused. */
START_TEST (test_start_late_news)
{
  struct TestWorld *world = test_world_new ();
  struct CfBalance *balance = test_world_started (world, "a");
  struct CfManifest *manifest = test_world_manifest (1, 0, true);
  struct TestFlow *late;

  test_world_open (world, balance, 80);
  test_world_run (world, world->now + 3000);
  late = test_world_open (world, balance, 81);
  cf_balance_manifest (balance, manifest);
  test_world_upstream (world, balance, "i-1", "s", "a", 0);
  cf_balance_news (balance, world->now);
  test_world_run (world, world->now + 10);
  ck_assert_uint_eq (test_world_firsts (world, "i-1", 0, world->now), 0);
  ck_assert (late->reset);
  cf_manifest_free (manifest);
  test_world_free (world);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("evidence");

  suite_add_loop (suite, test_start_waits_for_news, 1);
  suite_add_loop (suite, test_start_late_news, 1);
  return suite_run (suite);
}
