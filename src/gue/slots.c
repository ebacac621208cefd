#include "internal.h"

/* Lookup of slots, and what their upstreams accept. */

struct CfSlot *
cf_slot (const struct CfCore *core, uint32_t slot)
{
  return &g_array_index (core->slots, struct CfSlot, slot);
}

uint32_t
cf_slot_for_id (struct CfCore *core, uint32_t id)
{
  struct CfSlot slot = {
    .id = id,
    .index = CF_NO_INDEX,
    .closed_since = -1,
    .marked_since = -1,
    .gatekeeper = CF_NO_MEMBER,
  };
  gpointer value;

  if (g_hash_table_lookup_extended (core->slot_by_id, GUINT_TO_POINTER (id), NULL, &value))
    return GPOINTER_TO_UINT (value);
  g_array_append_val (core->slots, slot);
  g_hash_table_insert (core->slot_by_id, GUINT_TO_POINTER (id),
                       GUINT_TO_POINTER (core->slots->len - 1));
  return core->slots->len - 1;
}

bool
cf_slot_usable (const struct CfSlot *slot)
{
  return slot->upstream && slot->domain_in_service;
}

bool
cf_slot_takes_new (const struct CfSlot *slot)
{
  return cf_slot_usable (slot) && slot->upstream->mode == CF_UPSTREAM_ACTIVE;
}
