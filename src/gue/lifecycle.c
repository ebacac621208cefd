#include "internal.h"

/* Failure detection of members, and this VM's own state: joining, serving, and joining again after
 * a pause. */

static void
declare_dead (struct CfCore *core, struct CfMember *member)
{
  member->alive = false;
  member->left = member->state == PEER_LEAVING;
  member->sees_this_vm = false;
  member->ack_count = 0;
  member->handover_sent = 0;
  cf_stream_reset (&member->stream);
  /* A member that left has handed over its entries.  The marks of one that fell
   * silent are kept: it may be partitioned and still serve. */
  if (member->left)
    cf_member_clear_marks (core, member);
}

/* Replacement VMs have new names, so members accumulate.  A member that is no longer in use keeps
 * only the fields by which a late message from it is recognised. */
static void
retire (struct CfCore *core, struct CfMember *member)
{
  cf_member_restarted (core, member);
  g_array_unref (member->loads);
  member->loads = g_array_new (FALSE, TRUE, sizeof (struct CfLoad));
}

void
cf_members_check (struct CfCore *core, CfMillis now)
{
  bool changed = false;

  for (guint i = 1; i < core->members->len; i++)
    {
      struct CfMember *member = cf_member (core, i);

      if (member->alive && now - member->heard_at > CF_MEMBER_DEAD_MS)
        {
          declare_dead (core, member);
          changed = true;
        }
      if (!member->alive && (member->marks->len || member->all_marked) && core->config
          && (!member->listed || now - member->heard_at > core->config->limits.flow_idle_ms))
        cf_member_clear_marks (core, member);
      if (!member->alive && !member->listed && member->loads->len
          && now - member->heard_at > CF_RETIRE_MS)
        retire (core, member);
    }
  if (changed)
    {
      core->death_at = now;
      cf_view_update (core, now);
    }
}

void
cf_enter_state (struct CfCore *core, enum peer_state state, CfMillis now)
{
  core->state = state;
  core->state_since = now;
  core->heartbeat_urgent = true;
  core->stop_announced = false;
  cf_member (core, 0)->state = state;
  cf_member (core, 0)->alive = true;
  cf_view_update (core, now);
  core->out->state_changed (core->context, state, false);
}

/* After a pause no earlier state is trusted: other members may have taken over this VM's
 * buckets.  The entries are kept as a last resort, in case the whole fleet was paused.  A VM that
 * pauses while it is joining starts anew, too: otherwise it would take all others for dead, since
 * it has not heard them, and serve without their entries.  Who served throughout is then judged
 * from before the first pause. */
void
cf_members_resume (struct CfCore *core, CfMillis now)
{
  bool first = !core->holders_before_pause;

  core->stats.counter[CF_COUNT_PAUSES]++;
  core->incarnation++;
  if (first)
    core->holders_before_pause = g_memdup2 (core->current.holders, sizeof core->current.holders);
  for (uint32_t i = 0; i < core->table.capacity; i++)
    if (core->table.flows[i].key)
      core->table.flows[i].flags |= CF_FLOW_STALE;
  for (guint i = 1; i < core->members->len; i++)
    {
      struct CfMember *member = cf_member (core, i);

      if (first)
        member->incarnation_before_pause = member->alive ? member->incarnation : 0;
      member->alive = false;
      member->reconnected_at = -1;
      member->handover_received = 0;
      member->sees_this_vm = false;
      member->acked_marks = 0;
      member->handover_sent = 0;
      member->ack_count = 0;
      cf_replicate_pending (core, member, now);
    }
  for (uint32_t i = 0; i < core->slots->len; i++)
    cf_slot (core, i)->grant = 0;
  cf_member (core, 0)->incarnation = core->incarnation;
  cf_enter_state (core, PEER_JOINING, now);
}

/* Returns true if a holder of BUCKET from before the pause served throughout, so that its
 * entries take precedence over this VM's. */
static bool
holder_kept_serving (const struct CfCore *core, uint32_t bucket)
{
  for (int i = 0; i < CF_HOLDERS; i++)
    {
      uint32_t index = core->holders_before_pause[bucket][i].member;
      const struct CfMember *member;

      if (index == CF_NO_MEMBER || index == 0)
        continue;
      member = cf_member (core, index);
      if (member->alive && member->state == PEER_SERVING
          && member->incarnation == member->incarnation_before_pause)
        return true;
    }
  return false;
}

/* A record from before the pause may be dropped only by this VM, when it joins again, and only if
 * all its holders had acknowledged it and one of them served throughout: that holder has handed
 * over whatever it still knows of the flow, so that without a new copy the flow has ended.  That a
 * holder served is no evidence about a record that was still queued or in flight: this VM's copy
 * may be the only one. */
static bool
may_drop (const struct CfCore *core, const struct CfFlow *flow)
{
  return (flow->flags & CF_FLOW_STALE) && !(flow->flags & CF_FLOW_UNSHARED)
         && holder_kept_serving (core, CF_BUCKET (flow->key));
}

/* Drops what the others know better, and keeps the rest to be replicated. */
static void
resolve_stale_flows (struct CfCore *core)
{
  for (uint32_t i = 0; i < core->table.capacity;)
    {
      struct CfFlow *flow = &core->table.flows[i];

      if (flow->key && may_drop (core, flow))
        {
          cf_flows_drop (core, flow);
          continue;
        }
      if (flow->key && (flow->flags & CF_FLOW_STALE) && flow->kind == CF_FLOW_ENTRY)
        flow->flags |= CF_FLOW_UNSHARED;
      flow->flags &= ~CF_FLOW_STALE;
      i++;
    }
  g_clear_pointer (&core->holders_before_pause, g_free);
}

void
cf_members_join (struct CfCore *core, CfMillis now)
{
  CfMillis waited = now - core->state_since;
  bool complete = true;
  bool any = false;
  bool alone = true;

  if (core->state != PEER_JOINING || !core->config || core->superseded)
    return;
  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      alone &= !member->alive;
      if (!member->alive || member->state != PEER_SERVING)
        continue;
      any = true;
      complete &= member->handover_received == core->incarnation
                  && member->config_version <= core->config->version;
    }
  if (waited < CF_JOIN_WAIT_MS || (any && !complete && waited < CF_JOIN_LIMIT_MS))
    return;
  if (core->holders_before_pause)
    resolve_stale_flows (core);
  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    {
      /* Other members that are joining too may have entries that this VM lacks. */
      core->gained_without_entries_at[b] = any || alone ? -1 : now;
      core->owned_since[b] = now;
      core->decides_since[b] = now - CF_IN_FLIGHT_MS;
    }
  cf_enter_state (core, PEER_SERVING, now);
  /* The others may have joined while this VM was paused, and none of them had its entries. */
  cf_replicate_unshared (core, now);
}
