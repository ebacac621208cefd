#include "bench.h"

#include <stdio.h>

/* Deploys and failures at a small size, for the product and the baselines. */

static const struct FleetTraffic traffic
    = { .flows_per_s = 120, .life_min = 5000, .life_max = 60000, .gap = 1000 };

struct ByteCounts
{
  uint64_t control;
  uint64_t transferred;
};

static struct ByteCounts
bytes_sent (const struct Fleet *fleet)
{
  struct ByteCounts sum = { 0 };

  for (uint32_t i = 0; i < fleet->spec.vms; i++)
    {
      sum.control += fleet->vms[i].peer_bytes;
      sum.transferred += fleet->vms[i].transfer_bytes;
    }
  return sum;
}

static void
replace_and_drain (struct Fleet *fleet)
{
  for (uint32_t u = 0; u < 6; u++)
    {
      fleet_drain (fleet, u, true, 1000);
      fleet_leave (fleet, u);
      fleet_run (fleet, 7000);
      fleet_start (fleet, u, false);
      fleet_drain (fleet, u, false, 1000);
      fleet_run (fleet, 6000);
    }
}

static void
change_upstreams (struct Fleet *fleet)
{
  static const uint32_t sizes[] = { 18, 12, 15 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      uint32_t counts[2] = { sizes[i], 4 };
      char *text = fleet_config_text (&fleet->spec, counts);
      struct CfConfig *folder = cf_config_parse (text, NULL);

      fleet_set_config (
          fleet, cf_config_derive (fleet->config, folder, fleet->config->version + 1, 1000), 3000);
      fleet_run (fleet, 12000);
      cf_config_unref (folder);
      g_free (text);
    }
}

static void
fail_owner_in_drain (struct Fleet *fleet)
{
  for (uint32_t vm = 0; vm < 3; vm++)
    {
      fleet_drain (fleet, vm, true, 500);
      fleet_run (fleet, 8000);
      fleet_kill (fleet, vm);
      fleet_run (fleet, 8000);
      fleet_start (fleet, vm, false);
      fleet_run (fleet, 8000);
    }
}

static void
fail_two_vms (struct Fleet *fleet)
{
  fleet_drain (fleet, 0, true, 500);
  fleet_drain (fleet, 1, true, 500);
  fleet_run (fleet, 20000);
  fleet_kill (fleet, 1);
  fleet_kill (fleet, 2);
  fleet_run (fleet, 10000);
  fleet_start (fleet, 1, false);
  fleet_start (fleet, 2, false);
  fleet_run (fleet, 20000);
}

static const struct
{
  const char *name;
  void (*run) (struct Fleet *fleet);
} scenarios[] = {
  { "replace 6 VMs, drain 6", replace_and_drain },
  { "upstreams 15-18-12-15", change_upstreams },
  { "owner dies in a drain", fail_owner_in_drain },
  { "two VMs die", fail_two_vms },
};

static void
run_one (size_t scenario, const struct CfPolicy *policy)
{
  struct FleetSpec spec
      = { .seed = 1, .vms = 6, .domains = 4, .upstreams = { 15, 4 }, .policy = policy };
  struct Fleet *fleet = fleet_new (&spec);
  bool product = policy == &cf_policy_product;
  struct ByteCounts before;
  struct ByteCounts after;
  CfMillis start_ms;
  double seconds;

  fleet_start_all (fleet);
  fleet_set_traffic (fleet, &traffic);
  fleet_run (fleet, 20000);
  before = bytes_sent (fleet);
  start_ms = test_network_now (fleet->network);
  scenarios[scenario].run (fleet);
  seconds = (double) (test_network_now (fleet->network) - start_ms) / CF_MS_PER_S * spec.vms;
  after = bytes_sent (fleet);
  fleet_run (fleet, 70000);
  printf ("%-24s %-8s %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT " %9.3f %10.0f %10.0f\n",
          scenarios[scenario].name, policy->name, fleet->count.opened, fleet->count.broken,
          fleet_imbalance (fleet, 0), (double) (after.control - before.control) / seconds,
          (double) (after.transferred - before.transferred) / seconds);
  bench_bound ("misdelivered packets", (double) fleet->count.misdelivered, 0);
  if (product)
    {
      bench_bound ("broken flows", (double) fleet->count.broken, 0);
      bench_bound ("control bytes a second a VM during changes",
                   (double) (after.control - before.control) / seconds, 24000);
    }
  fleet_free (fleet);
}

void
bench_scenarios (void)
{
  const struct CfPolicy *policies[] = { &cf_policy_hash, &cf_policy_local, &cf_policy_product };

  printf ("\n%-24s %-8s %7s %7s %9s %10s %10s\n", "120 new flows/s", "policy", "opened", "broken",
          "imbalance", "control", "transfer");
  printf ("%-24s %-8s %7s %7s %9s %10s %10s\n", "", "", "", "", "max/mean", "B/s/VM", "B/s/VM");
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    for (size_t p = 0; p < G_N_ELEMENTS (policies); p++)
      run_one (i, policies[p]);
}

/* Today's size: 18,000 new flows a second over 6 VMs. */
void
bench_production_size (void)
{
  struct FleetSpec spec
      = { .seed = 1, .vms = 6, .domains = 4, .upstreams = { 15, 4 }, .connections = 1000000 };
  struct Fleet *fleet = fleet_new (&spec);
  struct ByteCounts samples[4];

  fleet_start_all (fleet);
  fleet_set_traffic (fleet,
                     &(struct FleetTraffic){
                         .flows_per_s = 18000, .life_min = 4000, .life_max = 20000, .gap = 3000 });
  fleet_run (fleet, 6000);
  samples[0] = bytes_sent (fleet);
  fleet_run (fleet, 5000);
  samples[1] = bytes_sent (fleet);
  fleet_leave (fleet, 0);
  fleet_run (fleet, 5000);
  fleet_start (fleet, 0, false);
  fleet_run (fleet, 5000);
  samples[2] = bytes_sent (fleet);
  fleet_drain (fleet, 2, true, 1000);
  fleet_run (fleet, 5000);
  samples[3] = bytes_sent (fleet);
  printf ("\ntoday's size: 6 VMs, 3,000 new flows/s a VM, 19 upstreams, %" G_GUINT64_FORMAT
          " flows open\n",
          fleet_open_count (fleet));
  for (int i = 0; i < 3; i++)
    {
      static const char *const names[] = { "steady", "a VM is replaced", "an upstream drains" };
      double seconds = (i == 1 ? 10.0 : 5.0) * spec.vms;

      printf ("%-24s control %8.0f B/s/VM, transferred %10.0f B/s/VM\n", names[i],
              (double) (samples[i + 1].control - samples[i].control) / seconds,
              (double) (samples[i + 1].transferred - samples[i].transferred) / seconds);
    }
  printf ("%-24s %.0f\n", "broken flows", (double) fleet->count.broken);
  bench_bound ("broken flows at today's size", (double) fleet->count.broken, 0);
  bench_bound ("control bytes a second a VM, steady",
               (double) (samples[1].control - samples[0].control) / 5 / spec.vms, 4096);
  bench_bound ("transferred bytes a second a VM, steady",
               (double) (samples[1].transferred - samples[0].transferred) / 5 / spec.vms, 4096);
  bench_bound ("control bytes a second a VM, replacement",
               (double) (samples[2].control - samples[1].control) / 10 / spec.vms, 24576);
  bench_bound ("control bytes a second a VM, drain",
               (double) (samples[3].control - samples[2].control) / 5 / spec.vms, 24576);
  fleet_free (fleet);
}

/* What callers meet whose flows begin within SPAN from BEGAN. */
struct ServiceQuality
{
  uint64_t flows;
  uint64_t refused;
  uint64_t slow; /* waited for more than SLOW_ANSWER_MS, or for ever */
  CfMillis longest;
};

#define SLOW_ANSWER_MS 500

static struct ServiceQuality
service_quality (const struct Fleet *fleet, CfMillis start_ms, CfMillis span)
{
  struct ServiceQuality service = { 0 };

  for (guint i = 0; i < fleet->flows->len; i++)
    {
      const struct FleetFlow *flow = fleet->flows->pdata[i];
      CfMillis waited = flow->answered_at - flow->opened_at;

      if (flow->opened_at < start_ms || flow->opened_at >= start_ms + span)
        continue;
      service.flows++;
      service.refused += flow->state == FLOW_REFUSED;
      service.slow += !flow->answered_at || waited > SLOW_ANSWER_MS;
      if (flow->answered_at)
        service.longest = MAX (service.longest, waited);
    }
  return service;
}

static void
print_service_quality (const char *policy, const char *phase, const struct ServiceQuality *service)
{
  printf ("%-8s %-26s %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
          " %9" G_GINT64_FORMAT "\n",
          policy, phase, service->flows, service->refused, service->slow, service->longest);
}

#define PHASE_MS 10000

static void
measure_domain_outage (const struct CfPolicy *policy)
{
  struct FleetSpec spec
      = { .seed = 5, .vms = 6, .domains = 4, .upstreams = { 15, 4 }, .policy = policy };
  struct Fleet *fleet = fleet_new (&spec);
  struct ServiceQuality service;
  CfMillis start_ms;
  uint64_t broken;

  fleet_start_all (fleet);
  fleet_set_traffic (fleet,
                     &(struct FleetTraffic){
                         .flows_per_s = 300, .life_min = 2000, .life_max = 20000, .gap = 1000 });
  fleet_run (fleet, 15000);
  start_ms = test_network_now (fleet->network);
  fleet_set_domain (fleet, 2, false, 1000);
  fleet_run (fleet, 2 * PHASE_MS);
  service = service_quality (fleet, start_ms, PHASE_MS);
  print_service_quality (policy->name, "10 s from leaving", &service);
  start_ms = test_network_now (fleet->network);
  fleet_set_domain (fleet, 2, true, 1000);
  fleet_run (fleet, 2 * PHASE_MS);
  service = service_quality (fleet, start_ms, PHASE_MS);
  print_service_quality (policy->name, "10 s from returning", &service);
  broken = fleet->count.broken;
  printf ("%-8s flows broken elsewhere %" G_GUINT64_FORMAT ", given up %" G_GUINT64_FORMAT
          ", packets after 3 s %" G_GUINT64_FORMAT
          ", beyond what cold upstreams bear %" G_GUINT64_FORMAT "\n",
          policy->name, broken, fleet->count.upstream_lost, fleet->count.late_packets,
          fleet->count.cold_overload);
  if (policy == &cf_policy_product)
    {
      bench_bound ("flows broken when a failure domain leaves and returns", (double) broken, 0);
      bench_bound ("packets into a failure domain after 3 s", (double) fleet->count.late_packets,
                   0);
      bench_bound ("new flows beyond what cold upstreams bear", (double) fleet->count.cold_overload,
                   0);
      bench_bound ("refused while a failure domain returns", (double) service.refused, 0);
    }
  fleet_free (fleet);
}

void
bench_domain_outage (void)
{
  const struct CfPolicy *policies[] = { &cf_policy_hash, &cf_policy_local, &cf_policy_product };

  printf ("\n%-8s %-26s %7s %7s %7s %9s\n", "policy", "a failure domain, 300/s", "flows", "refused",
          ">500 ms", "longest");
  for (size_t p = 0; p < G_N_ELEMENTS (policies); p++)
    measure_domain_outage (policies[p]);
}

/* Prints the share of an upstream with three times the weight of the 14 others, over
 * its due. */
static void
unequal_weights (void)
{
  struct FleetSpec spec
      = { .seed = 3, .vms = 6, .domains = 4, .upstreams = { 15, 4 }, .connections = 1000000 };
  struct Fleet *fleet = fleet_new (&spec);
  char *text = fleet_config_text (&spec, spec.upstreams);
  char *weighted = g_strconcat (text, "[upstream u-0-0]\nweight=300\n", NULL);
  double sum = 0;

  cf_config_unref (fleet->config);
  fleet->config = cf_config_parse (weighted, NULL);
  fleet_start_all (fleet);
  fleet_set_traffic (fleet,
                     &(struct FleetTraffic){
                         .flows_per_s = 1000, .life_min = 10000, .life_max = 20000, .gap = 20000 });
  fleet_run (fleet, 40000);
  for (uint32_t u = 0; u < spec.upstreams[0]; u++)
    sum += (double) fleet->upstreams[u].accepted;
  printf ("weight 3 among 14 of weight 1: %.3f of its due\n",
          (double) fleet->upstreams[0].accepted / sum * 17 / 3);
  bench_bound ("share of a weighted upstream over its due",
               (double) fleet->upstreams[0].accepted / sum * 17 / 3, 1.05);
  g_free (weighted);
  g_free (text);
  fleet_free (fleet);
}

/* How even the load is, for several bounds of imbalance, against the entries that
 * the bound costs. */
void
bench_balance (void)
{
  static const char *const bounds[] = { "0.05", "0.10", "0.25", "0.50", "10" };

  printf ("\n%-24s %12s %12s %12s\n", "imbalance bound", "15 upstreams", "4 upstreams", "away, %");
  for (size_t i = 0; i < G_N_ELEMENTS (bounds); i++)
    {
      struct FleetSpec spec
          = { .seed = 3, .vms = 6, .domains = 4, .upstreams = { 15, 4 }, .connections = 1000000 };
      struct Fleet *fleet = fleet_new (&spec);
      char *text = fleet_config_text (&spec, spec.upstreams);
      char *bounded = g_strdup_printf ("%s[limits]\nimbalance=%s\n", text, bounds[i]);

      cf_config_unref (fleet->config);
      fleet->config = cf_config_parse (bounded, NULL);
      fleet_start_all (fleet);
      fleet_set_traffic (
          fleet, &(struct FleetTraffic){
                     .flows_per_s = 300, .life_min = 60000, .life_max = 90000, .gap = 20000 });
      fleet_run (fleet, 120000);
      printf ("%-16s %12.3f %12.3f %8.2f", bounds[i], fleet_imbalance (fleet, 0),
              fleet_imbalance (fleet, 1),
              100.0 * (double) fleet_counter (fleet, CF_COUNT_NEW_AWAY)
                  / (double) fleet_counter (fleet, CF_COUNT_NEW_FLOWS));
      fleet_set_domain (fleet, 3, false, 1000);
      fleet_run (fleet, 100000);
      printf ("  %12.3f %12.3f\n", fleet_imbalance (fleet, 0), fleet_imbalance (fleet, 1));
      g_free (bounded);
      g_free (text);
      fleet_free (fleet);
    }
  unequal_weights ();
}
