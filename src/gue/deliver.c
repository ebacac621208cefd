#include "internal.h"

/* The three outcomes for a packet: forwarded to an upstream, refused or dropped. */

enum CfVerdict
cf_route_drop (struct CfCore *core, enum CfDrop drop)
{
  core->stats.drop[drop]++;
  return CF_VERDICT_DELAYED;
}

enum CfVerdict
cf_route_refuse (struct CfCore *core, const struct CfRoute *route, enum CfVerdict verdict)
{
  if (route->packet->icmp_error)
    return cf_route_drop (core, CF_DROP_ICMP);
  core->stats.counter[verdict == CF_VERDICT_NOT_RUN ? CF_COUNT_REFUSED_NOT_RUN
                                                    : CF_COUNT_REFUSED_MAY_HAVE_RUN]++;
  route->service->stats->refused++;
  core->out->refuse (core->context, route->packet, verdict);
  return verdict;
}

enum CfVerdict
cf_route_to (struct CfCore *core, const struct CfRoute *route, uint32_t number)
{
  const struct CfSlot *slot = cf_slot (core, number);

  /* Whatever chose the slot, a packet only goes to an upstream of its own service, in a failure
   * domain that is in service. */
  if (!cf_slot_usable (slot)
      || &core->config->services[slot->upstream->service] != route->service->service)
    return cf_route_refuse (core, route, CF_VERDICT_MAY_HAVE_RUN);
  core->stats.counter[CF_COUNT_FORWARDED]++;
  core->out->forward (core->context, route->packet, slot->upstream);
  return CF_VERDICT_FORWARDED;
}
