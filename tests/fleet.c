#include "fleet_internal.h"
#include "sink.h"

#include <stdio.h>
#include <string.h>

#define TRANSFER_PORT 6081
#define HEALTH_MS 250
#define FABRIC_LEAVE_DELAY_MS 2000  /* until the fabric stops using a VM that leaves */
#define FABRIC_FAILURE_DELAY_MS 300 /* until the fabric stops using a VM that died */

static uint32_t
domain_of_vm (const struct Fleet *fleet, uint32_t vm)
{
  return vm % fleet->spec.domains;
}

/* VMs. */

struct Timer
{
  uint64_t generation;
};

static void
stop_vm (struct FleetVm *vm)
{
  const struct CfStats *stats = cf_core_stats (vm->core);

  for (int i = 0; i < CF_COUNT_MAX; i++)
    vm->past_stats.counter[i] += stats->counter[i];
  for (int i = 0; i < CF_DROP_COUNT; i++)
    vm->past_stats.drop[i] += stats->drop[i];
  g_clear_pointer (&vm->core, cf_core_free);
  vm->generation++;
}

static void
tick (void *context, void *payload)
{
  struct FleetVm *vm = context;
  struct Timer *timer = payload;
  CfMillis now = test_network_now (vm->fleet->network);

  if (!vm->core || timer->generation != vm->generation)
    return;
  if (now < vm->paused_until)
    {
      test_network_at (vm->fleet->network, vm->paused_until, tick, vm,
                       g_memdup2 (timer, sizeof *timer), g_free);
      return;
    }
  cf_core_tick (vm->core, now);
  if (vm->may_stop && !vm->in_fabric && cf_core_may_stop (vm->core))
    {
      stop_vm (vm);
      return;
    }
  test_network_at (vm->fleet->network, now + CF_TICK_MS, tick, vm, g_memdup2 (timer, sizeof *timer),
                   g_free);
}

static void
probe_upstreams (void *context, void *payload)
{
  struct FleetVm *vm = context;
  struct Timer *timer = payload;
  struct Fleet *fleet = vm->fleet;
  CfMillis now = test_network_now (fleet->network);

  if (!vm->core || timer->generation != vm->generation)
    return;
  for (guint i = 0; i < vm->probes->len && now >= vm->paused_until; i++)
    for (uint32_t u = 0; u < fleet->upstream_count; u++)
      {
        struct FleetUpstream *upstream = &fleet->upstreams[u];
        bool up
            = upstream->health_reports_up || (!upstream->down && !upstream->health_reports_down);
        struct CfHealthAnswer answer = {
          .upstream = cf_name_id (upstream->name),
          .address = test_health_address (vm->core, upstream->name),
          .asked_at = now,
          .reachable = up,
          .serving = up,
          .start_time = upstream->start_time,
        };

        if (answer.upstream == g_array_index (vm->probes, uint32_t, i))
          cf_core_health (vm->core, &answer, now);
      }
  test_network_at (fleet->network, now + HEALTH_MS, probe_upstreams, vm,
                   g_memdup2 (timer, sizeof *timer), g_free);
}

void
fleet_start (struct Fleet *fleet, uint32_t index, bool without_config)
{
  struct FleetVm *vm = &fleet->vms[index];
  CfMillis now = test_network_now (fleet->network);
  struct Timer timer = { .generation = ++vm->generation };
  char name[32];
  char domain[32];
  struct CfCoreOptions options = {
    .incarnation = (uint64_t) now * 1000 + vm->generation,
    .address = { .ip = { [10] = 0xff,
                         [11] = 0xff,
                         [12] = 127,
                         [14] = (uint8_t) ((index + 1) >> 8),
                         [15] = (uint8_t) (index + 1) },
                 .port = TRANSFER_PORT },
    .policy = fleet->spec.policy,
  };

  snprintf (name, sizeof name, "vm-%u", index);
  snprintf (domain, sizeof domain, "domain-%u", domain_of_vm (fleet, index));
  options.vm = cf_name_id (name);
  options.domain = cf_name_id (domain);
  vm->fleet = fleet;
  vm->index = index;
  vm->may_stop = false;
  vm->watching = false;
  vm->in_fabric = true;
  if (!vm->probes)
    vm->probes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  vm->core = cf_core_new (&options, &fleet_outputs, vm, now);
  if (!without_config)
    cf_core_set_config (vm->core, fleet->config, now);
  else
    {
      GArray *list = g_array_new (FALSE, TRUE, sizeof (struct CfListedVm));

      /* A VM learns of the others from the platform's list or from its settings. */
      for (uint32_t i = 0; i < fleet->spec.vms; i++)
        {
          struct CfListedVm listed = { .address = options.address };

          snprintf (name, sizeof name, "vm-%u", i);
          snprintf (domain, sizeof domain, "domain-%u", domain_of_vm (fleet, i));
          listed.id = cf_name_id (name);
          listed.domain = cf_name_id (domain);
          listed.address.ip[14] = (uint8_t) ((i + 1) >> 8);
          listed.address.ip[15] = (uint8_t) (i + 1);
          g_array_append_val (list, listed);
        }
      cf_core_vm_list (vm->core, (const struct CfListedVm *) (const void *) list->data, list->len,
                       now);
      g_array_unref (list);
    }
  tick (vm, &timer);
  probe_upstreams (vm, &timer);
}

void
fleet_start_all (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->spec.vms; i++)
    fleet_start (fleet, i, false);
  fleet_run (fleet, 4000);
}

static void
leave_fabric (void *context, void *payload)
{
  (void) payload;
  ((struct FleetVm *) context)->in_fabric = false;
}

void
fleet_kill (struct Fleet *fleet, uint32_t index)
{
  struct FleetVm *vm = &fleet->vms[index];

  stop_vm (vm);
  test_network_at (fleet->network, test_network_now (fleet->network) + FABRIC_FAILURE_DELAY_MS,
                   leave_fabric, vm, NULL, NULL);
}

void
fleet_leave (struct Fleet *fleet, uint32_t index)
{
  struct FleetVm *vm = &fleet->vms[index];

  cf_core_leave (vm->core, test_network_now (fleet->network));
  test_network_at (fleet->network, test_network_now (fleet->network) + FABRIC_LEAVE_DELAY_MS,
                   leave_fabric, vm, NULL, NULL);
}

void
fleet_pause (struct Fleet *fleet, uint32_t index, CfMillis span)
{
  fleet->vms[index].paused_until = test_network_now (fleet->network) + span;
}

/* Configuration. */

char *
fleet_config_text (const struct FleetSpec *spec, const uint32_t counts[2])
{
  GString *text = g_string_new ("[fleet]\nversion=1\n[limits]\nflow-idle=3900\n");
  uint32_t domains = MAX (1, spec->domains);

  for (uint32_t d = 0; d < domains; d++)
    g_string_append_printf (text, "[failure-domain domain-%u]\nregion=test\n", d);
  for (uint32_t v = 0; v < spec->vms; v++)
    g_string_append_printf (text, "[vm vm-%u]\naddress=127.0.%u.%u\nfailure-domain=domain-%u\n", v,
                            (v + 1) >> 8, (v + 1) & 0xff, v % domains);
  for (uint32_t s = 0; s < 2; s++)
    {
      g_string_append_printf (text,
                              "[service service-%u]\naddress=10.0.0.%u\nport=443\n"
                              "protocol=%s\ntenant=tenant-%u\n",
                              s, s + 1, spec->udp ? "udp" : "tcp", s);
      for (uint32_t i = 0; i < counts[s]; i++)
        g_string_append_printf (text,
                                "[upstream u-%u-%u]\nservice=service-%u\n"
                                "failure-domain=domain-%u\ntunnel=127.1.%u.%u\n"
                                "health-port=8080\nbears=%u\nconnections=%u\n",
                                s, i, s, i % domains, (s * 32 + i + 1) >> 8,
                                (s * 32 + i + 1) & 0xff,
                                spec->cold_flows_per_s ? spec->cold_flows_per_s : 10,
                                spec->connections ? spec->connections : 2000);
    }
  return g_string_free (text, FALSE);
}

static void
add_upstreams (struct Fleet *fleet)
{
  fleet->upstream_count = FLEET_UPSTREAMS;
  for (uint32_t u = 0; u < FLEET_UPSTREAMS; u++)
    {
      struct FleetUpstream *upstream = &fleet->upstreams[u];

      upstream->fleet = fleet;
      upstream->index = u;
      upstream->service = u / 32;
      upstream->domain = u % 32 % fleet->spec.domains;
      upstream->open = g_hash_table_new (NULL, NULL);
      upstream->arrivals = g_array_new (FALSE, FALSE, sizeof (CfMillis));
      upstream->start_time = 1000 + u;
      upstream->cold_since = upstream->closed_at = upstream->out_at = -1;
      snprintf (upstream->name, sizeof upstream->name, "u-%u-%u", u / 32, u % 32);
    }
}

struct Delivery
{
  struct CfConfig *config;
};

static void
deliver_config (void *context, void *payload)
{
  struct FleetVm *vm = context;
  struct Delivery *delivery = payload;

  if (vm->core)
    cf_core_set_config (vm->core, delivery->config, test_network_now (vm->fleet->network));
}

static void
free_delivery (gpointer data)
{
  cf_config_unref (((struct Delivery *) data)->config);
  g_free (data);
}

void
fleet_set_config (struct Fleet *fleet, struct CfConfig *config, CfMillis max_delay)
{
  cf_config_unref (fleet->config);
  fleet->config = config;
  for (uint32_t i = 0; i < fleet->spec.vms; i++)
    {
      struct Delivery *delivery = g_new (struct Delivery, 1);
      CfMillis wait = max_delay ? g_rand_int_range (test_network_random (fleet->network), 0,
                                                    (gint32) max_delay)
                                : 0;

      if (!fleet->vms[i].core)
        {
          g_free (delivery);
          continue;
        }
      delivery->config = cf_config_ref (config);
      test_network_at (fleet->network, test_network_now (fleet->network) + wait, deliver_config,
                       &fleet->vms[i], delivery, free_delivery);
    }
}

void
fleet_drain (struct Fleet *fleet, uint32_t u, bool draining, CfMillis max_delay)
{
  struct CfError error = { 0 };
  struct CfConfig *next = cf_config_set_drain (fleet->config, fleet->upstreams[u].name, draining,
                                               fleet->config->version + 1, &error);

  if (!next)
    g_error ("%s", error.text);
  fleet->upstreams[u].closed_at
      = draining ? test_network_now (fleet->network) + max_delay + 3000 : -1;
  fleet_set_config (fleet, next, max_delay);
}

void
fleet_set_domain (struct Fleet *fleet, uint32_t d, bool in, CfMillis max_delay)
{
  struct CfError error = { 0 };
  char name[32];
  struct CfConfig *next;

  snprintf (name, sizeof name, "domain-%u", d);
  next = cf_config_set_domain (fleet->config, name, in, false, fleet->config->version + 1, &error);
  if (!next)
    g_error ("%s", error.text);
  for (uint32_t u = 0; u < fleet->upstream_count; u++)
    if (fleet->upstreams[u].domain == d)
      {
        fleet->upstreams[u].out_at = in ? -1 : test_network_now (fleet->network) + max_delay + 3000;
        if (!in)
          fleet->upstreams[u].last_out = test_network_now (fleet->network) + max_delay + 3000;
        fleet->upstreams[u].cold_since = in ? test_network_now (fleet->network) : -1;
      }
  fleet_set_config (fleet, next, max_delay);
}

struct Fleet *
fleet_new (const struct FleetSpec *spec)
{
  struct Fleet *fleet = g_new0 (struct Fleet, 1);
  struct CfError error = { 0 };
  char *text = fleet_config_text (spec, spec->upstreams);

  fleet->spec = *spec;
  fleet->network = test_network_new (spec->seed);
  fleet->flows = g_ptr_array_new_with_free_func (g_free);
  fleet->config = cf_config_parse (text, &error);
  if (!fleet->config)
    g_error ("%s", error.text);
  for (uint32_t s = 0; s < 2; s++)
    fleet->services[s] = fleet->config->services[s].address;
  g_free (text);
  add_upstreams (fleet);
  fleet_traffic_start (fleet);
  return fleet;
}

void
fleet_free (struct Fleet *fleet)
{
  for (uint32_t i = 0; i < FLEET_VMS; i++)
    {
      if (fleet->vms[i].core)
        cf_core_free (fleet->vms[i].core);
      if (fleet->vms[i].probes)
        g_array_unref (fleet->vms[i].probes);
    }
  for (uint32_t u = 0; u < fleet->upstream_count; u++)
    {
      g_hash_table_destroy (fleet->upstreams[u].open);
      g_array_unref (fleet->upstreams[u].arrivals);
    }
  test_network_free (fleet->network);
  cf_config_unref (fleet->config);
  g_ptr_array_unref (fleet->flows);
  g_free (fleet);
}

void
fleet_run (struct Fleet *fleet, CfMillis span)
{
  test_network_run (fleet->network, test_network_now (fleet->network) + span);
}

uint64_t
fleet_counter (const struct Fleet *fleet, enum CfCounter counter)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < FLEET_VMS; i++)
    {
      sum += fleet->vms[i].past_stats.counter[counter];
      if (fleet->vms[i].core)
        sum += cf_core_stats (fleet->vms[i].core)->counter[counter];
    }
  return sum;
}
