#include "internal.h"

/* Marks: an upstream is marked while a flow for which it is the implied upstream may
 * be at another one.  Packets of a marked upstream go through the bucket's owner. */

#define MARK_HOLD_MS 30000 /* a mark without entries is kept this long */

bool
cf_marked_by_config (const struct CfSlot *slot)
{
  return !cf_slot_takes_new (slot);
}

bool
cf_marked (const struct CfCore *core, uint32_t number)
{
  const struct CfSlot *slot = cf_slot (core, number);

  return cf_marked_by_config (slot) || slot->health != PEER_WARM || slot->peer_marks
         || core->all_marked || slot->mark_version || slot->entries_away;
}

static bool
acknowledged (const struct CfCore *core, uint32_t mark_version)
{
  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      if (member->alive && member->state != PEER_JOINING && member->acked_marks < mark_version)
        return false;
    }
  return true;
}

static bool
update_own (struct CfCore *core, struct CfSlot *slot, CfMillis now)
{
  bool want = slot->entries_away || now < slot->wants_mark_until;

  if (want == (slot->mark_version != 0))
    return false;
  core->mark_version++;
  slot->mark_version = want ? core->mark_version : 0;
  return want;
}

/* Returns true if the slot has just become marked. */
static bool
update_slot (struct CfCore *core, uint32_t number, CfMillis now)
{
  struct CfSlot *slot = cf_slot (core, number);
  bool marked;

  if (update_own (core, slot, now))
    core->heartbeat_urgent = true;
  marked = cf_marked (core, number);
  slot->report = marked && slot->marked_since < 0;
  if (!marked)
    slot->marked_since = -1;
  else if (slot->report)
    slot->marked_since = now;
  return slot->report;
}

void
cf_marks_update (struct CfCore *core, CfMillis now)
{
  bool any = false;

  for (uint32_t i = 0; i < core->slots->len; i++)
    any |= update_slot (core, i, now);
  /* One look at the flow table, however many upstreams were marked at once. */
  if (!any)
    return;
  cf_report_recent (core, now);
  for (uint32_t i = 0; i < core->slots->len; i++)
    cf_slot (core, i)->report = false;
}

static void
update_one (struct CfCore *core, uint32_t number, CfMillis now)
{
  if (!update_slot (core, number, now))
    return;
  cf_report_recent (core, now);
  cf_slot (core, number)->report = false;
}

bool
cf_may_divert (struct CfCore *core, uint32_t number, CfMillis now)
{
  struct CfSlot *slot = cf_slot (core, number);

  if (cf_marked_by_config (slot))
    return core->common_version >= slot->closed_version
           && (!core->partition_suspected || now - slot->closed_since >= CF_PARTITION_WAIT_MS);
  if (!core->config_settled)
    return false;
  slot->wants_mark_until = now + MARK_HOLD_MS;
  if (!slot->mark_version)
    update_one (core, number, now);
  return acknowledged (core, slot->mark_version);
}

void
cf_marks_receive (struct CfCore *core,
                  struct CfMember *member,
                  const peer_heartbeat *heartbeat,
                  CfMillis now)
{
  if (member->mark_version == heartbeat->mark_version || !heartbeat->has_marks)
    return;
  cf_member_clear_marks (core, member);
  member->mark_version = heartbeat->mark_version;
  member->all_marked = heartbeat->all_marked;
  core->all_marked += member->all_marked;
  for (u_int i = 0; i < heartbeat->marks.marks_len; i++)
    {
      uint32_t slot = cf_slot_for_id (core, heartbeat->marks.marks_val[i]);

      g_array_append_val (member->marks, slot);
      cf_slot (core, slot)->peer_marks++;
    }
  /* Report first packets before the acknowledgement that the heartbeat carries. */
  cf_marks_update (core, now);
  cf_streams_flush (core, now);
  core->heartbeat_urgent = true;
}
