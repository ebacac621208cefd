#include "platform/datagram.h"
#include "simulation.h"
#include "suite.h"

#include <string.h>

/* More packets than a VM is made for must not use up its memory, or take it longer each. */

#define PACKETS 400000
#define PACKETS_PER_MS 100
#define CONNECTIONS_MAX 131072

/* Sends PACKETS packets, each of another caller, to SERVICE_PORT (0: each to another address), and
 * returns the largest number of flows meanwhile. */
static uint32_t
flood (struct Simulation *sim,
       struct CfBalance *balance,
       unsigned flags,
       uint32_t cookie,
       uint16_t service_port)
{
  uint8_t bytes[64] = { 0 };
  uint32_t most = 0;
  gint64 begun = g_get_monotonic_time ();

  for (uint32_t i = 0; i < PACKETS; i++)
    {
      struct CfSegment segment = {
        .caller = { .ip = 0x64400000 + i, .port = (uint16_t) i },
        .service = { .ip = service_port ? SIM_SERVICE_IP : i, .port = service_port },
        .flags = flags,
        .cookie = cookie,
        .data = flags & CF_SEGMENT_SYN ? 0 : 10,
        .bytes = bytes,
        .size = sizeof bytes,
      };

      cf_balance_segment (balance, &segment, sim->now);
      if (i % PACKETS_PER_MS == 0)
        cf_balance_tick (balance, ++sim->now);
      most = MAX (most, cf_balance_flows (balance));
    }
  printf ("%d packets in %d ms\n", PACKETS,
          (int) ((g_get_monotonic_time () - begun) / G_TIME_SPAN_MILLISECOND));
  return most;
}

START_TEST (test_flood_of_first_packets)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);

  sim_add_upstream (sim, NULL, "i-1", "s", "a", 0);
  ck_assert_uint_le (flood (sim, balance, CF_SEGMENT_SYN, 0, 80), CONNECTIONS_MAX);
  sim_free (sim);
}
END_TEST

START_TEST (test_flood_of_later_packets)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);

  sim_add_upstream (sim, NULL, "i-1", "s", "a", 0);
  ck_assert_uint_le (flood (sim, balance, CF_SEGMENT_ACK, cf_cookie ("i-1"), 80), CONNECTIONS_MAX);
  sim_free (sim);
}
END_TEST

/* Nothing is kept of flows to addresses that no manifest has. */
START_TEST (test_flood_to_unknown_addresses)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 0);

  sim_add_upstream (sim, NULL, "i-1", "s", "a", 0);
  ck_assert_uint_eq (flood (sim, balance, CF_SEGMENT_ACK, cf_cookie ("i-1"), 0), 0);
  sim_free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flood");

  suite_add_loop (suite, test_flood_of_first_packets, 1);
  suite_add_loop (suite, test_flood_of_later_packets, 1);
  suite_add_loop (suite, test_flood_to_unknown_addresses, 1);
  return suite_run (suite);
}
