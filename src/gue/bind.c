#include "internal.h"

/* Binds the slots to the upstreams of a new configuration. */

static void
bind_slot (struct CfCore *core, uint32_t index, bool initial, CfMillis now)
{
  const struct CfUpstream *upstream = &core->config->upstreams[index];
  uint32_t number = cf_slot_for_id (core, upstream->id);
  struct CfSlot *slot = cf_slot (core, number);
  bool known = slot->upstream != NULL;
  bool was_out = known && !slot->domain_in_service;

  slot->index = index;
  slot->upstream = upstream;
  slot->domain_in_service = core->config->domains[upstream->domain].in_service;
  if (cf_slot_takes_new (slot))
    slot->closed_since = -1;
  else if (slot->closed_since < 0)
    {
      slot->closed_since = now;
      slot->closed_version = core->config->version;
    }
  /* An upstream that the fleet has not used so far starts cold, and so does one
   * whose failure domain returns. */
  if (!initial && (!known || (was_out && slot->domain_in_service)))
    cf_set_health (core, number, PEER_COLD, now);
}

void
cf_slots_bind (struct CfCore *core, bool initial, CfMillis now)
{
  /* A slot whose upstream the new configuration lacks keeps its id, so that a late
   * entry for it is recognised and refused. */
  for (uint32_t i = 0; i < core->slots->len; i++)
    {
      struct CfSlot *slot = cf_slot (core, i);

      if (cf_config_find_upstream (core->config, slot->id) != CF_NO_INDEX)
        continue;
      slot->upstream = NULL;
      slot->index = CF_NO_INDEX;
      slot->domain_in_service = false;
    }
  for (uint32_t i = 0; i < core->config->upstream_count; i++)
    bind_slot (core, i, initial, now);
}
