#include "internal.h"

#include <string.h>

/* First packets that are kept and retried on every tick, until they are placed or too old. */

#define PARK_LIMIT_MS 600 /* less than the callers' retransmission timeout */

static struct CfParked *
unused_element (struct CfCore *core)
{
  for (uint32_t i = 0; i < CF_PARKED_MAX; i++)
    if (!core->parked[i].used)
      return &core->parked[i];
  return NULL;
}

enum CfVerdict
cf_park (struct CfCore *core, const struct CfRoute *route, enum CfDrop drop)
{
  struct CfParked *parked = core->retrying;

  if (parked && route->now - parked->since < PARK_LIMIT_MS)
    {
      parked->used = true;
      return CF_VERDICT_DELAYED;
    }
  if (parked || route->packet->len > sizeof parked->data || !(parked = unused_element (core)))
    return cf_route_drop (core, drop);
  memcpy (parked->data, route->packet->data, route->packet->len);
  parked->len = route->packet->len;
  parked->reply = route->packet->reply;
  parked->hops = route->hops;
  parked->decide = route->decide;
  parked->since = route->now;
  parked->used = true;
  core->parked_count++;
  core->stats.counter[CF_COUNT_PARKED]++;
  return CF_VERDICT_DELAYED;
}
