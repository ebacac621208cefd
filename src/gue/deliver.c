#include "internal.h"

/* How a packet's way ends here: at an upstream, with a refusal, or dropped. */

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

  /* Whatever led here, a packet never leaves its service, and never enters a
   * failure domain that is out of service. */
  if (!cf_slot_usable (slot)
      || &core->config->services[slot->upstream->service] != route->service->service)
    return cf_route_refuse (core, route, CF_VERDICT_MAY_HAVE_RUN);
  core->stats.counter[CF_COUNT_FORWARDED]++;
  core->out->forward (core->context, route->packet, slot->upstream);
  return CF_VERDICT_FORWARDED;
}
