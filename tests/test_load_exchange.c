#include "simulation.h"
#include "suite.h"

/* What a VM reports of its services, on virtual time. */

#define UPSTREAMS 4

/* Makes BALANCE send reports: another VM has seen upstreams turn requests away. */
static void
receive_pressure (struct Simulation *sim, struct CfBalance *balance)
{
  struct CfLoadReport report = {
    .vm = "other",
    .domain = "a",
    .incarnation = 1,
    .sequence = 1,
    .domain_vms = 2,
    .service_count = 1,
    .services = { { .name = "s", .counts = { .answered = 10, .shed = 10 } } },
  };

  ck_assert (cf_balance_receive_load (balance, &report, sim->now));
}

static double
reported_in_progress (struct Simulation *sim, struct CfBalance *balance)
{
  struct CfLoadReport report = { 0 };

  ck_assert (cf_balance_load_report (balance, &report, sim->now));
  for (uint32_t i = 0; i < report.service_count; i++)
    if (g_str_equal (report.services[i].name, "s"))
      return report.services[i].counts.in_progress;
  return -1;
}

/* Requests at upstreams that were lost fill no slot of the others.  They were counted, so that a
 * service that had lost a part of its upstreams seemed to be overloaded. */
START_TEST (test_lost_upstreams_fill_no_slot)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance;
  double before;
  double after;

  sim->admission = (struct CfAdmissionOptions){ .enabled = true, .caller_prefix = 32 };
  balance = sim_add_vm (sim, "a", 0);
  for (int i = 0; i < UPSTREAMS; i++)
    sim_add_upstream (sim, NULL, (char[]){ 'i', '-', (char) ('1' + i), 0 }, "s", "a", 0);
  for (int i = 0; i < 8 * UPSTREAMS; i++)
    {
      struct SimFlow *flow = sim_open_flow (sim, balance, 80);

      sim_run (sim, sim->now + 10);
      sim_send_request (flow);
    }
  sim_run (sim, sim->now + 300);
  receive_pressure (sim, balance);
  before = reported_in_progress (sim, balance);
  ck_assert_double_gt (before, UPSTREAMS);
  g_hash_table_add (sim->unresponsive, (gpointer) "i-1");
  g_hash_table_add (sim->unresponsive, (gpointer) "i-2");
  for (int i = 0; i < 10; i++)
    {
      sim_open_flow (sim, balance, 80);
      sim_run (sim, sim->now + 15);
    }
  after = reported_in_progress (sim, balance);
  printf ("in progress: %.1f, with half of the upstreams lost %.1f\n", before, after);
  ck_assert_double_lt (after, 0.7 * before);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load exchange");

  suite_add_loop (suite, test_lost_upstreams_fill_no_slot, 1);
  return suite_run (suite);
}
