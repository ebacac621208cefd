#include "fleet_internal.h"

#include <math.h>
#include <stdio.h>

/* Upstreams of the test fleet, and the checker that tracks the upstream of each flow. */

#define COLD_CHECK_MS 20000 /* after that the upstream counts as warm */
#define COLD_DETECT_MS 500  /* two probes: the least time to detect a silent restart */
#define WARMUP_GROWTH 1.6

/* Checks the rate of new flows at a cold upstream.  The limit is the configured rate at
 * first and grows by the factor WARMUP_GROWTH each second, except for an upstream that
 * fails its flows: its limit stays. */
static void
count_arrival (struct Fleet *fleet, struct FleetUpstream *upstream, CfMillis now)
{
  double cold_flows_per_s = fleet->spec.cold_flows_per_s ? fleet->spec.cold_flows_per_s : 10;
  guint within = 0;

  if (upstream->cold_since < 0 || now - upstream->cold_since < COLD_DETECT_MS
      || (!upstream->refusing && now - upstream->cold_since > COLD_CHECK_MS))
    return;
  g_array_append_val (upstream->arrivals, now);
  for (guint i = upstream->arrivals->len;
       i > 0 && g_array_index (upstream->arrivals, CfMillis, i - 1) > now - CF_MS_PER_S; i--)
    within++;
  if (!upstream->refusing)
    cold_flows_per_s
        *= pow (WARMUP_GROWTH,
                (double) (now - g_array_index (upstream->arrivals, CfMillis, 0)) / CF_MS_PER_S);
  if (within <= cold_flows_per_s)
    return;
  fleet->count.cold_overload++;
  if (fleet->trace)
    printf ("%8" G_GINT64_FORMAT " upstream %u gets %u new flows within 1 s, limit %.1f\n", now,
            upstream->index, within, cold_flows_per_s);
}

static void
receive_first (struct Fleet *fleet, struct FleetUpstream *upstream, uint32_t index)
{
  struct FleetFlow *flow = fleet_flow_at (fleet, index);
  CfMillis now = test_network_now (fleet->network);

  if (flow->first_seen >= 0 && flow->first_seen != (int32_t) upstream->index)
    {
      if (fleet->trace)
        printf ("%8" G_GINT64_FORMAT " flow %u: first packet at %d and at %u\n", now, index,
                flow->first_seen, upstream->index);
      fleet->count.opened_twice++;
    }
  if (flow->first_seen < 0)
    {
      if (upstream->closed_at >= 0 && now > upstream->closed_at)
        {
          fleet->count.late_new++;
          if (fleet->trace)
            printf ("%8" G_GINT64_FORMAT " flow %u opens late at upstream %u\n", now, index,
                    upstream->index);
        }
      upstream->accepted++;
      count_arrival (fleet, upstream, now);
    }
  flow->first_seen = (int32_t) upstream->index;
  if (upstream->refusing)
    {
      fleet_answer (fleet, index, ANSWER_RESET, (int32_t) upstream->index);
      return;
    }
  g_hash_table_add (upstream->open, GUINT_TO_POINTER (index + 1));
  fleet_answer (fleet, index, ANSWER_OPENED, (int32_t) upstream->index);
}

static void
receive_icmp_error (struct Fleet *fleet, uint32_t upstream, uint32_t index)
{
  const struct FleetFlow *flow = fleet_flow_at (fleet, index);

  if (flow->state != FLOW_OPEN)
    return;
  fleet->count.icmp_delivered += flow->upstream == (int32_t) upstream;
  fleet->count.icmp_misdelivered += flow->upstream != (int32_t) upstream;
}

void
fleet_upstream_receive (struct Fleet *fleet, uint32_t number, const struct FleetPacket *bytes)
{
  struct FleetUpstream *upstream = &fleet->upstreams[number];
  struct CfPacket packet = { 0 };
  uint32_t index;
  bool known;

  if (cf_packet_parse (bytes->data, bytes->len, &packet) != CF_DROP_NONE)
    g_error ("an upstream received an invalid packet");
  if (!cf_address_equal (&packet.service, &fleet->services[upstream->service]))
    {
      fleet->count.misdelivered++;
      return;
    }
  if (upstream->out_at >= 0 && test_network_now (fleet->network) > upstream->out_at)
    fleet->count.late_packets++;
  if (upstream->down)
    return;
  index = fleet_flow_of (&packet);
  if (packet.icmp_error)
    {
      receive_icmp_error (fleet, number, index);
      return;
    }
  known = g_hash_table_contains (upstream->open, GUINT_TO_POINTER (index + 1));
  if (packet.flags & CF_PACKET_SYN || (fleet_flow_at (fleet, index)->udp && !known))
    receive_first (fleet, upstream, index);
  else if (packet.flags & CF_PACKET_FIN)
    g_hash_table_remove (upstream->open, GUINT_TO_POINTER (index + 1));
  else
    fleet_answer (fleet, index, known ? ANSWER_ACK : ANSWER_RESET, (int32_t) number);
}

void
fleet_restart_upstream (struct Fleet *fleet, uint32_t u)
{
  struct FleetUpstream *upstream = &fleet->upstreams[u];

  for (guint i = 0; i < fleet->flows->len; i++)
    {
      struct FleetFlow *flow = fleet->flows->pdata[i];

      if (flow->upstream == (int32_t) u && flow->state == FLOW_OPEN)
        fleet_finish (fleet, flow, FLOW_UPSTREAM_LOST);
    }
  g_hash_table_remove_all (upstream->open);
  upstream->start_time = test_network_now (fleet->network);
  upstream->cold_since = test_network_now (fleet->network);
  g_array_set_size (upstream->arrivals, 0);
}

uint64_t
fleet_open_count (const struct Fleet *fleet)
{
  uint64_t count = 0;

  for (guint i = 0; i < fleet->flows->len; i++)
    count += ((const struct FleetFlow *) fleet->flows->pdata[i])->state == FLOW_OPEN;
  return count;
}

double
fleet_imbalance (const struct Fleet *fleet, uint32_t service)
{
  uint64_t largest = 0;
  uint64_t sum = 0;
  uint64_t count = 0;

  for (uint32_t u = 0; u < fleet->upstream_count; u++)
    {
      const struct FleetUpstream *upstream = &fleet->upstreams[u];
      uint64_t open = g_hash_table_size (upstream->open);

      if (upstream->service != service || upstream->closed_at >= 0 || upstream->out_at >= 0
          || u % 32 >= fleet->spec.upstreams[service])
        continue;
      largest = MAX (largest, open);
      sum += open;
      count++;
    }
  return sum ? (double) largest * (double) count / (double) sum : 1;
}

void
fleet_print (const struct Fleet *fleet, const char *label)
{
  const struct FleetCount *count = &fleet->count;

  printf ("%-28s opened %" G_GUINT64_FORMAT " done %" G_GUINT64_FORMAT " broken %" G_GUINT64_FORMAT
          " upstream-lost %" G_GUINT64_FORMAT " refused %" G_GUINT64_FORMAT
          " unanswered %" G_GUINT64_FORMAT " delayed %" G_GUINT64_FORMAT
          " misdelivered %" G_GUINT64_FORMAT " opened-twice %" G_GUINT64_FORMAT
          " false-not-run %" G_GUINT64_FORMAT " late-new %" G_GUINT64_FORMAT
          " late-packets %" G_GUINT64_FORMAT " cold-overload %" G_GUINT64_FORMAT "\n",
          label, count->opened, count->done, count->broken, count->upstream_lost, count->refused,
          count->unanswered, count->delayed, count->misdelivered, count->opened_twice,
          count->false_not_run, count->late_new, count->late_packets, count->cold_overload);
}
