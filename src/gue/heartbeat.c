#include "internal.h"

#include <string.h>

#define WARM_LOADS 3     /* counts of warm upstreams in a heartbeat */
#define WARM_UPSTREAMS 1 /* states of warm upstreams in a heartbeat */

/* What the lists of peer.x hold at most. */
#define MARKS_MAX 4096
#define LOADS_MAX 64
#define SUSPECTS_MAX 64
#define UPSTREAMS_MAX 1024

/* The parts of a heartbeat that are the same for every receiver. */
struct Draft
{
  struct peer_message message;
  GArray *marks;
  GArray *loads;
  GArray *upstreams;
  GArray *suspects;
};

static void
add_load (const struct CfCore *core, GArray *loads, uint32_t number)
{
  const struct CfSlot *slot = cf_slot (core, number);
  struct peer_load load = {
    .upstream = slot->id,
    .opened = slot->load.opened,
    .completed = slot->load.completed,
    .closed = slot->load.closed,
  };

  g_array_append_val (loads, load);
}

static void
add_loads (struct CfCore *core, GArray *loads)
{
  for (uint32_t i = 0; i < core->slots->len && loads->len < LOADS_MAX - WARM_LOADS; i++)
    if (cf_slot (core, i)->upstream && cf_slot (core, i)->health != PEER_WARM)
      add_load (core, loads, i);
  for (uint32_t n = 0; n < core->slots->len && n < WARM_LOADS; n++)
    {
      uint32_t number = core->load_cursor++ % core->slots->len;

      if (cf_slot (core, number)->health == PEER_WARM)
        add_load (core, loads, number);
    }
}

static void
add_upstream (const struct CfCore *core, GArray *upstreams, uint32_t number)
{
  const struct CfSlot *slot = cf_slot (core, number);
  struct peer_upstream item = {
    .upstream = slot->id,
    .health = slot->health,
    .generation = slot->generation,
    .budget = (unsigned) slot->slow_start.budget,
    .grant = CF_NO_GRANT,
  };

  g_array_append_val (upstreams, item);
}

/* Every upstream of this gatekeeper that is not warm, and a few warm ones in turn. */
static void
add_upstreams (struct CfCore *core, GArray *upstreams)
{
  uint32_t warm = 0;

  for (uint32_t i = 0; i < core->slots->len && upstreams->len < UPSTREAMS_MAX - WARM_UPSTREAMS; i++)
    if (cf_slot (core, i)->gatekeeper == 0 && cf_slot (core, i)->health != PEER_WARM)
      add_upstream (core, upstreams, i);
  for (uint32_t n = 0; n < core->slots->len && warm < WARM_UPSTREAMS; n++)
    {
      const struct CfSlot *slot = cf_slot (core, core->warm_cursor++ % core->slots->len);

      if (slot->gatekeeper != 0 || slot->health != PEER_WARM || !slot->generation)
        continue;
      add_upstream (core, upstreams, (core->warm_cursor - 1) % core->slots->len);
      warm++;
    }
}

static void
add_marks (const struct CfCore *core, GArray *marks)
{
  for (uint32_t i = 0; i < core->slots->len; i++)
    if (cf_slot (core, i)->mark_version)
      g_array_append_val (marks, cf_slot (core, i)->id);
}

static void
begin_draft (struct CfCore *core, struct Draft *draft, CfMillis now)
{
  peer_heartbeat *heartbeat = &draft->message.peer_message_u.heartbeat;

  *draft = (struct Draft){
    .message = { .kind = PEER_HEARTBEAT },
    .marks = g_array_new (FALSE, FALSE, sizeof (u_int)),
    .loads = g_array_new (FALSE, FALSE, sizeof (struct peer_load)),
    .upstreams = g_array_new (FALSE, FALSE, sizeof (struct peer_upstream)),
    .suspects = g_array_new (FALSE, FALSE, sizeof (u_int)),
  };
  add_marks (core, draft->marks);
  add_loads (core, draft->loads);
  add_upstreams (core, draft->upstreams);
  for (guint i = 0; now < core->suspects_until && i < MIN (core->suspects->len, SUSPECTS_MAX); i++)
    g_array_append_val (draft->suspects,
                        cf_slot (core, g_array_index (core->suspects, uint32_t, i))->id);
  heartbeat->state = core->state;
  heartbeat->domain = core->options.domain;
  memcpy (heartbeat->address, core->options.address.ip, sizeof heartbeat->address);
  heartbeat->port = core->options.address.port;
  heartbeat->config_version = core->config ? core->config->version : 0;
  heartbeat->config_digest = core->config ? core->config->digest : 0;
  heartbeat->view = core->view;
  heartbeat->mark_version = core->mark_version;
  heartbeat->loads.loads_len = draft->loads->len;
  heartbeat->loads.loads_val = (struct peer_load *) (void *) draft->loads->data;
  heartbeat->upstreams.upstreams_len = draft->upstreams->len;
  heartbeat->upstreams.upstreams_val = (struct peer_upstream *) (void *) draft->upstreams->data;
  heartbeat->suspects.suspects_len = draft->suspects->len;
  heartbeat->suspects.suspects_val = (u_int *) (void *) draft->suspects->data;
}

static void
end_draft (struct Draft *draft)
{
  g_array_unref (draft->marks);
  g_array_unref (draft->loads);
  g_array_unref (draft->upstreams);
  g_array_unref (draft->suspects);
}

/* Fills in what differs from receiver to receiver, so that the size of a heartbeat
 * does not grow with the number of members. */
static void
fill_receiver_fields (const struct CfCore *core, struct Draft *draft, const struct CfMember *member)
{
  peer_heartbeat *heartbeat = &draft->message.peer_message_u.heartbeat;

  heartbeat->seen_incarnation = member->alive ? member->incarnation : 0;
  heartbeat->seen_marks = member->alive ? member->mark_version : 0;
  heartbeat->has_marks = !member->sees_this_vm || member->acked_marks != core->mark_version;
  heartbeat->all_marked = heartbeat->has_marks && draft->marks->len > MARKS_MAX;
  heartbeat->marks.marks_len
      = heartbeat->has_marks && !heartbeat->all_marked ? draft->marks->len : 0;
  heartbeat->marks.marks_val = (u_int *) (void *) draft->marks->data;
}

/* Grants are given once in a window, so that their sum stays within the budget. */
static void
set_grants (const struct CfCore *core, GArray *upstreams, const struct CfMember *member)
{
  for (guint i = 0; i < upstreams->len; i++)
    {
      struct peer_upstream *item = &g_array_index (upstreams, struct peer_upstream, i);
      gpointer slot = g_hash_table_lookup (core->slot_by_id, GUINT_TO_POINTER (item->upstream));

      if (item->health == PEER_COLD)
        item->grant = cf_grant_for (core, cf_slot (core, GPOINTER_TO_UINT (slot)), member);
    }
}

void
cf_heartbeats_send (struct CfCore *core, CfMillis now)
{
  bool regular = now - core->heartbeat_at >= CF_HEARTBEAT_MS;
  bool urgent = core->heartbeat_urgent && now - core->urgent_at >= CF_URGENT_HEARTBEAT_MS;
  struct Draft draft;

  if (core->superseded || (!regular && !urgent))
    return;
  core->heartbeat_urgent = false;
  core->urgent_at = now;
  if (regular)
    {
      core->heartbeat_at = now;
      cf_grant_window_open (core, now);
    }
  begin_draft (core, &draft, now);
  for (guint i = 1; i < core->members->len; i++)
    {
      struct CfMember *member = cf_member (core, i);

      if (!member->alive && (!member->listed || now - member->sent_at < CF_DEAD_PROBE_MS))
        continue;
      if (regular)
        set_grants (core, draft.upstreams, member);
      fill_receiver_fields (core, &draft, member);
      member->sent_at = now;
      cf_send (core, member, &draft.message);
    }
  end_draft (&draft);
}

static void
receive_seen (const struct CfCore *core, struct CfMember *member, const peer_heartbeat *heartbeat)
{
  member->sees_this_vm = heartbeat->seen_incarnation == core->incarnation;
  if (member->sees_this_vm)
    member->acked_marks = heartbeat->seen_marks;
}

static void
receive_loads (struct CfCore *core, struct CfMember *member, const peer_heartbeat *heartbeat)
{
  for (u_int i = 0; i < heartbeat->loads.loads_len; i++)
    {
      const struct peer_load *load = &heartbeat->loads.loads_val[i];

      cf_member_update_load (core, member, cf_slot_for_id (core, load->upstream),
                             (struct CfLoad){
                                 .opened = load->opened,
                                 .completed = load->completed,
                                 .closed = load->closed,
                             });
    }
}

/* Returns true if the set of serving or joining members may have changed. */
static bool
receive_identity (struct CfCore *core,
                  struct CfMember *member,
                  const struct peer_envelope *envelope,
                  CfMillis now)
{
  const peer_heartbeat *heartbeat = &envelope->message.peer_message_u.heartbeat;
  bool changed = !member->alive || member->state != heartbeat->state
                 || member->incarnation != envelope->incarnation
                 || member->domain != heartbeat->domain;

  if (member->incarnation != envelope->incarnation)
    cf_member_restarted (core, member);
  else if (!member->alive)
    cf_member_reconnected (member, now);
  if (changed || member->view != heartbeat->view)
    core->heartbeat_urgent = true;
  member->incarnation = envelope->incarnation;
  member->alive = true;
  member->heard_at = now;
  member->state = heartbeat->state;
  member->domain = heartbeat->domain;
  memcpy (member->address.ip, heartbeat->address, sizeof member->address.ip);
  member->address.port = (uint16_t) heartbeat->port;
  member->config_version = heartbeat->config_version;
  member->config_digest = heartbeat->config_digest;
  member->view = heartbeat->view;
  return changed;
}

void
cf_heartbeat_receive (struct CfCore *core, const struct peer_envelope *envelope, CfMillis now)
{
  const peer_heartbeat *heartbeat = &envelope->message.peer_message_u.heartbeat;
  struct CfMember *member = cf_member_add (core, envelope->vm);

  if (receive_identity (core, member, envelope, now))
    cf_view_update (core, now);
  receive_seen (core, member, heartbeat);
  receive_loads (core, member, heartbeat);
  cf_marks_receive (core, member, heartbeat, now);
  cf_health_receive (core, member, heartbeat, now);
  cf_config_sync_check (core, member, now);
  cf_view_settle (core, now);
}
