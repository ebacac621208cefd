#include "internal.h"

/* Passive failure detection.  An upstream that restarted or fails is an outlier: its first
 * packets are followed by the caller's next packet far less often than those of the other
 * upstreams of the service.  If the fabric sprays the packets of a flow over the VMs, this VM
 * sees only part of each flow; the comparison within one service cancels that out. */

#define OUTLIER_WINDOW_MS 2000
#define OUTLIER_MIN_FLOWS 20
#define FAILING_SHARE 0.25  /* of the completion rate of the others */
#define OTHERS_MIN_RATE 0.1 /* below this rate the others are no reference */
#define SUSPECT_MS 2000

static bool
is_outlier (const struct CfCore *core, const struct CfServiceState *service, uint32_t number)
{
  const struct CfOutlierCounts *counts = &cf_slot (core, number)->outlier_counts;
  double opened = 0;
  double completed = 0;
  double rate;

  if (counts->opened < OUTLIER_MIN_FLOWS)
    return false;
  for (uint32_t i = 0; i < service->count; i++)
    {
      const struct CfSlot *other = cf_slot (core, service->choices[i].slot);

      if (service->choices[i].slot == number || other->health != PEER_WARM)
        continue;
      opened += other->outlier_counts.opened;
      completed += other->outlier_counts.completed;
    }
  if (opened < OUTLIER_MIN_FLOWS)
    return false;
  rate = completed / opened;
  return rate >= OTHERS_MIN_RATE && counts->completed < counts->opened * rate * FAILING_SHARE;
}

static void
evaluate (struct CfCore *core, const struct CfServiceState *service, CfMillis now)
{
  for (uint32_t i = 0; i < service->count; i++)
    {
      uint32_t number = service->choices[i].slot;
      struct CfSlot *slot = cf_slot (core, number);

      if (slot->health != PEER_WARM || !is_outlier (core, service, number))
        continue;
      g_array_append_val (core->suspects, number);
      core->suspects_until = now + SUSPECT_MS;
      core->heartbeat_urgent = true;
      if (slot->gatekeeper == 0)
        cf_set_health (core, number, PEER_COLD, now);
    }
}

void
cf_outliers_tick (struct CfCore *core, CfMillis now)
{
  if (now - core->outliers_checked_at < OUTLIER_WINDOW_MS)
    return;
  core->outliers_checked_at = now;
  g_array_set_size (core->suspects, 0);
  /* A UDP flow may consist of a single packet, so a missing second one says nothing. */
  for (uint32_t i = 0; i < core->service_count; i++)
    if (core->services[i].service->protocol == CF_PROTOCOL_TCP)
      evaluate (core, &core->services[i], now);
  for (uint32_t i = 0; i < core->slots->len; i++)
    cf_slot (core, i)->outlier_counts = (struct CfOutlierCounts){ 0 };
}
