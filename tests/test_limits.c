#include "fleet.h"
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>

/* Cold starts, refusals, overload, failure domains and the propagation of
 * configurations, on virtual time. */

#define SEEDS 3
#define DOMAIN_SEEDS 12
#define IN_FORCE_MS 4000

static const struct FleetTraffic traffic
    = { .flows_per_s = 300, .life_min = 2000, .life_max = 10000, .gap = 1000 };

static struct Fleet *
running_fleet (uint32_t seed)
{
  struct FleetSpec spec = { .seed = seed, .vms = 6, .domains = 4, .upstreams = { 15, 4 } };
  struct Fleet *fleet = fleet_new (&spec);

  fleet->trace = getenv ("FLEET_TRACE") != NULL;
  fleet_start_all (fleet);
  fleet_set_traffic (fleet, &traffic);
  fleet_run (fleet, 10000);
  return fleet;
}

static void
check_limits (struct Fleet *fleet, const char *label)
{
  fleet_print (fleet, label);
  ck_assert_uint_gt (fleet->count.opened, 1000);
  ck_assert_uint_eq (fleet->count.misdelivered, 0);
  ck_assert_uint_eq (fleet->count.opened_twice, 0);
  ck_assert_uint_eq (fleet->count.false_not_run, 0);
  ck_assert_uint_eq (fleet->count.late_new, 0);
  ck_assert_uint_eq (fleet->count.late_packets, 0);
  ck_assert_uint_eq (fleet->count.cold_overload, 0);
  ck_assert_uint_eq (fleet->count.broken, 0);
  fleet_free (fleet);
}

START_TEST (test_silent_restart)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  uint64_t accepted;

  fleet_restart_upstream (fleet, 3);
  accepted = fleet->upstreams[3].accepted;
  fleet_run (fleet, 25000);
  /* It is warm again and takes its share. */
  ck_assert_uint_gt (fleet->upstreams[3].accepted - accepted, 100);
  check_limits (fleet, "silent restart");
}
END_TEST

START_TEST (test_new_upstream_is_cold)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  uint32_t counts[2] = { 16, 4 };
  char *text = fleet_config_text (&fleet->spec, counts);
  struct CfConfig *folder = cf_config_parse (text, NULL);

  fleet->upstreams[15].cold_since = test_network_now (fleet->network) - 1000;
  fleet_set_config (fleet, cf_config_derive (fleet->config, folder, 2, 1000), 1000);
  fleet_run (fleet, 20000);
  ck_assert_uint_gt (fleet->upstreams[15].accepted, 20);
  cf_config_unref (folder);
  g_free (text);
  check_limits (fleet, "new upstream");
}
END_TEST

/* The gatekeeper of a cold upstream, the VM that decides how many new flows it gets, is
 * paused and resumes with stale state. */
START_TEST (test_gatekeeper_pauses)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);

  for (uint32_t vm = 0; vm < 6; vm++)
    {
      fleet_restart_upstream (fleet, vm);
      fleet_run (fleet, 1500);
      fleet_pause (fleet, vm, 5000);
      fleet_run (fleet, 300);
      fleet->vms[vm].in_fabric = false;
      fleet_run (fleet, 6000);
      fleet->vms[vm].in_fabric = true;
      fleet_run (fleet, 4000);
    }
  fleet_run (fleet, 10000);
  check_limits (fleet, "gatekeeper pauses");
}
END_TEST

START_TEST (test_gatekeeper_dies)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);

  for (uint32_t vm = 0; vm < 3; vm++)
    {
      for (uint32_t u = 0; u < 15; u += 5)
        fleet_restart_upstream (fleet, vm + u);
      fleet_run (fleet, 2000);
      fleet_kill (fleet, vm);
      fleet_run (fleet, 6000);
      fleet_start (fleet, vm, false);
      fleet_run (fleet, 6000);
    }
  fleet_run (fleet, 10000);
  check_limits (fleet, "gatekeeper dies");
}
END_TEST

/* A partition must not double the new flows that a cold upstream gets. */
START_TEST (test_cold_in_partition)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);

  for (uint32_t vm = 0; vm < 6; vm++)
    test_network_set_group (fleet->network, vm, vm % 4 >= 2);
  fleet_run (fleet, 4000);
  for (uint32_t u = 0; u < 5; u++)
    fleet_restart_upstream (fleet, u);
  fleet_run (fleet, 15000);
  for (uint32_t vm = 0; vm < 6; vm++)
    test_network_set_group (fleet->network, vm, 0);
  fleet_run (fleet, 100000);
  fleet_print (fleet, "cold in a partition");
  ck_assert_uint_eq (fleet->count.cold_overload, 0);
  ck_assert_uint_eq (fleet->count.misdelivered, 0);
  ck_assert_uint_eq (fleet->count.false_not_run, 0);
  fleet_free (fleet);
}
END_TEST

/* All upstreams of both services lose power at once. */
START_TEST (test_power_cut)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  uint64_t opened;
  CfMillis restored_at;
  CfMillis recovered_ms = 0;

  for (uint32_t u = 0; u < FLEET_UPSTREAMS; u++)
    {
      fleet_restart_upstream (fleet, u);
      fleet->upstreams[u].down = true;
    }
  fleet_run (fleet, 3000);
  for (uint32_t u = 0; u < FLEET_UPSTREAMS; u++)
    {
      fleet->upstreams[u].down = false;
      fleet_restart_upstream (fleet, u);
    }
  restored_at = test_network_now (fleet->network);
  /* Recovered: 90% of the flows that callers open in a second are accepted. */
  for (int s = 0; s < 60 && !recovered_ms; s++)
    {
      opened = fleet->count.opened;
      fleet_run (fleet, 1000);
      if (fleet->count.opened - opened > traffic.flows_per_s * 0.9)
        recovered_ms = test_network_now (fleet->network) - restored_at;
    }
  printf ("recovered %" G_GINT64_FORMAT " ms after the power returned\n", recovered_ms);
  ck_assert_int_gt (recovered_ms, 0);
  ck_assert_uint_gt (fleet_counter (fleet, CF_COUNT_REFUSED_NOT_RUN)
                         + fleet_counter (fleet, CF_COUNT_REFUSED_MAY_HAVE_RUN),
                     0);
  check_limits (fleet, "power cut");
}
END_TEST

/* The health endpoint reports that the upstream serves while it resets every flow. */
START_TEST (test_health_reports_up)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  struct FleetUpstream *upstream = &fleet->upstreams[2];
  uint64_t accepted;

  fleet_set_traffic (fleet,
                     &(struct FleetTraffic){
                         .flows_per_s = 1500, .life_min = 2000, .life_max = 6000, .gap = 500 });
  fleet_run (fleet, 5000);
  upstream->refusing = true;
  fleet_run (fleet, 6000);
  /* Its failing flows have been detected; from now on it gets no more than a cold one. */
  upstream->cold_since = test_network_now (fleet->network) - 1000;
  accepted = upstream->accepted;
  fleet_run (fleet, 10000);
  ck_assert_uint_le (upstream->accepted - accepted, 11 * 10);
  check_limits (fleet, "health reports up");
}
END_TEST

/* The health endpoint does not answer while the upstream serves. */
START_TEST (test_health_reports_down)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  struct FleetUpstream *upstream = &fleet->upstreams[2];
  uint64_t accepted;

  upstream->health_reports_down = true;
  accepted = upstream->accepted;
  fleet_run (fleet, 20000);
  ck_assert_uint_gt (upstream->accepted - accepted, 150);
  check_limits (fleet, "health reports down");
}
END_TEST

START_TEST (test_domain_out_and_in)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  uint64_t refused;

  fleet_set_domain (fleet, 1, false, 1000);
  /* Taking it out a second time changes nothing. */
  fleet_run (fleet, 2000);
  fleet_set_domain (fleet, 1, false, 1000);
  fleet_run (fleet, 10000);
  ck_assert_uint_gt (fleet->count.upstream_lost, 100);
  refused = fleet->count.refused;
  fleet_set_domain (fleet, 1, true, 1000);
  fleet_run (fleet, 30000);
  ck_assert_uint_eq (fleet->count.refused, refused);
  /* First packets wait until the marks are acknowledged, and do not go back and forth between VMs
   * that have another configuration each; no caller retransmits. */
  ck_assert_uint_eq (fleet->count.delayed, 0);
  ck_assert_uint_gt (g_hash_table_size (fleet->upstreams[1].open), 10);
  check_limits (fleet, "failure domain out and in");
}
END_TEST

START_TEST (test_domain_out_in_partition)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);

  /* Failure domain 1 is cut off from the others, and taken out meanwhile.  Its VMs
   * get the change like all others, from the platform. */
  for (uint32_t vm = 0; vm < 6; vm++)
    test_network_set_group (fleet->network, vm, vm % 4 == 1);
  fleet_run (fleet, 5000);
  fleet_set_domain (fleet, 1, false, 1000);
  fleet_run (fleet, 20000);
  for (uint32_t vm = 0; vm < 6; vm++)
    test_network_set_group (fleet->network, vm, 0);
  fleet_run (fleet, 10000);
  fleet_set_domain (fleet, 1, true, 1000);
  fleet_run (fleet, 100000);
  check_limits (fleet, "domain out in a partition");
}
END_TEST

/* The configuration is given to one VM only; the others get it as a difference. */
START_TEST (test_config_propagation)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);
  struct TestLink link = { .delay_min = 1, .delay_max = 20, .loss = 0.05 };
  struct CfError error = { 0 };
  struct CfConfig *next;

  test_network_set_link (fleet->network, &link);
  for (uint64_t version = 2; version < 12; version++)
    {
      uint32_t vm = (uint32_t) version % 6;

      next = cf_config_set_drain (cf_core_config (fleet->vms[vm].core), "u-0-1", version % 2,
                                  version, &error);
      ck_assert (cf_core_set_config (fleet->vms[vm].core, next, test_network_now (fleet->network)));
      cf_config_unref (next);
      fleet_run (fleet, IN_FORCE_MS);
      for (uint32_t i = 0; i < 6; i++)
        ck_assert_uint_eq (cf_core_config (fleet->vms[i].core)->version, version);
    }
  /* An older version is never applied. */
  next = cf_config_set_drain (fleet->config, "u-0-2", true, 7, &error);
  for (uint32_t i = 0; i < 6; i++)
    ck_assert (!cf_core_set_config (fleet->vms[i].core, next, test_network_now (fleet->network)));
  cf_config_unref (next);
  check_limits (fleet, "configuration propagation");
}
END_TEST

/* The platform is down: a fresh VM gets the configuration from its peers, and does
 * not serve before it has the highest version. */
START_TEST (test_fresh_vm_without_platform)
{
  struct Fleet *fleet = running_fleet ((uint32_t) _i + 1);

  fleet_drain (fleet, 4, true, 500);
  fleet_run (fleet, 5000);
  for (uint32_t vm = 0; vm < 6; vm++)
    {
      fleet_kill (fleet, vm);
      fleet_run (fleet, 5000);
      fleet_start (fleet, vm, true);
      for (int step = 0; step < 100; step++)
        {
          fleet_run (fleet, 50);
          if (cf_core_state (fleet->vms[vm].core) == PEER_SERVING)
            ck_assert_uint_eq (cf_core_config (fleet->vms[vm].core)->version, 2);
        }
      ck_assert_int_eq (cf_core_state (fleet->vms[vm].core), PEER_SERVING);
    }
  check_limits (fleet, "fresh VMs without the platform");
}
END_TEST

static uint32_t
watchers (const struct Fleet *fleet, uint32_t domain)
{
  uint32_t count = 0;

  for (uint32_t vm = 0; vm < fleet->spec.vms; vm++)
    count += fleet->vms[vm].core && vm % fleet->spec.domains == domain && fleet->vms[vm].watching;
  return count;
}

/* Two VMs of a failure domain watch the platform, however many there are; when they
 * die, others do. */
START_TEST (test_watchers)
{
  struct FleetSpec spec = { .seed = 1, .vms = 20, .domains = 2, .upstreams = { 4, 4 } };
  struct Fleet *fleet = fleet_new (&spec);

  fleet_start_all (fleet);
  fleet_run (fleet, 2000);
  ck_assert_uint_eq (watchers (fleet, 0), 2);
  ck_assert_uint_eq (watchers (fleet, 1), 2);
  for (uint32_t vm = 0; vm < 20; vm++)
    if (vm % 2 == 0 && fleet->vms[vm].watching)
      fleet_kill (fleet, vm);
  ck_assert_uint_eq (watchers (fleet, 0), 0);
  fleet_run (fleet, IN_FORCE_MS);
  ck_assert_uint_eq (watchers (fleet, 0), 2);
  fleet_free (fleet);
}
END_TEST

static void
set_provisional (struct Fleet *fleet, uint32_t vm, struct CfConfig *folder)
{
  struct CfConfig *provisional = cf_config_derive (NULL, folder, 0, 0);

  cf_core_set_config (fleet->vms[vm].core, provisional, test_network_now (fleet->network));
  cf_config_unref (provisional);
}

/* Folders instead of a platform: every VM starts with a provisional version 0 of its
 * own folder.  A fresh VM takes what the fleet has, with its baseline, though its
 * folder has the same version. */
START_TEST (test_fresh_vm_with_folder)
{
  struct FleetSpec spec
      = { .seed = (uint32_t) _i + 1, .vms = 6, .domains = 4, .upstreams = { 15, 4 } };
  struct Fleet *fleet = fleet_new (&spec);
  uint32_t counts[2] = { 17, 4 };
  char *text = fleet_config_text (&spec, counts);
  struct CfConfig *folder = cf_config_parse (text, NULL);
  const struct CfConfig *config;

  for (uint32_t vm = 0; vm < 6; vm++)
    {
      fleet_start (fleet, vm, true);
      set_provisional (fleet, vm, fleet->config);
    }
  fleet_set_config (fleet, cf_config_ref (fleet->config), 0);
  fleet_run (fleet, 4000);
  fleet_set_traffic (fleet, &traffic);
  fleet_set_config (fleet, cf_config_derive (fleet->config, folder, 2, 1000), 0);
  fleet_run (fleet, 5000);
  fleet_kill (fleet, 3);
  fleet_run (fleet, 4000);
  fleet_start (fleet, 3, true);
  set_provisional (fleet, 3, folder);
  fleet_run (fleet, 1000);
  config = cf_core_config (fleet->vms[3].core);
  ck_assert_uint_eq (config->version, 2);
  ck_assert_uint_eq (config->digest, fleet->config->digest);
  fleet_run (fleet, 10000);
  cf_config_unref (folder);
  g_free (text);
  check_limits (fleet, "fresh VM with a folder");
}
END_TEST

/* One tenant exceeds the limit on new flows; the other still gets its share. */
START_TEST (test_overload_is_fair)
{
  struct FleetSpec spec = { .seed = 1, .vms = 2, .domains = 2, .upstreams = { 4, 4 } };
  struct Fleet *fleet = fleet_new (&spec);
  char *text = fleet_config_text (&spec, spec.upstreams);
  char *limited = g_strconcat (text, "[limits]\nnew-flows=100\n", NULL);
  uint64_t small = 0;

  cf_config_unref (fleet->config);
  fleet->config = cf_config_parse (limited, NULL);
  fleet_start_all (fleet);
  fleet_set_traffic (fleet, &(struct FleetTraffic){ .gap = 5000 });
  /* 600 a second of the first tenant, 40 of the second, against 2 VMs of 100. */
  for (int step = 0; step < 500; step++)
    {
      for (int n = 0; n < 12; n++)
        fleet_open (fleet, 0, 100000, 5000);
      if (step % 5 < 4)
        fleet_open (fleet, 1, 100000, 5000);
      fleet_run (fleet, 20);
    }
  for (guint i = 0; i < fleet->flows->len; i++)
    {
      const struct FleetFlow *flow = fleet->flows->pdata[i];

      small += flow->service == 1 && flow->state == FLOW_OPEN;
    }
  fleet_print (fleet, "overload");
  ck_assert_uint_ge (small, 390);
  ck_assert_uint_le (fleet->count.opened, 2 * 100 * 10 + 50);
  ck_assert_uint_eq (fleet->count.broken, 0);
  ck_assert_uint_eq (fleet->count.false_not_run, 0);
  g_free (limited);
  g_free (text);
  fleet_free (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limits");

  suite_add_loop (suite, test_silent_restart, SEEDS);
  suite_add_loop (suite, test_new_upstream_is_cold, SEEDS);
  suite_add_loop (suite, test_gatekeeper_pauses, SEEDS);
  suite_add_loop (suite, test_gatekeeper_dies, SEEDS);
  suite_add_loop (suite, test_cold_in_partition, SEEDS);
  suite_add_loop (suite, test_power_cut, SEEDS);
  suite_add_loop (suite, test_health_reports_up, SEEDS);
  suite_add_loop (suite, test_health_reports_down, SEEDS);
  suite_add_loop (suite, test_domain_out_and_in, DOMAIN_SEEDS);
  suite_add_loop (suite, test_domain_out_in_partition, SEEDS);
  suite_add_loop (suite, test_config_propagation, SEEDS);
  suite_add_loop (suite, test_fresh_vm_without_platform, SEEDS);
  suite_add_loop (suite, test_watchers, 1);
  suite_add_loop (suite, test_fresh_vm_with_folder, SEEDS);
  suite_add_loop (suite, test_overload_is_fair, 1);
  return suite_run (suite);
}
