#include "internal.h"

#include <string.h>

struct CfMember *
cf_member (const struct CfCore *core, uint32_t index)
{
  return core->members->pdata[index];
}

struct CfMember *
cf_member_by_id (const struct CfCore *core, uint32_t id)
{
  return g_hash_table_lookup (core->member_by_id, GUINT_TO_POINTER (id));
}

struct CfMember *
cf_member_add (struct CfCore *core, uint32_t id)
{
  struct CfMember *member = cf_member_by_id (core, id);

  if (member)
    return member;
  member = g_new0 (struct CfMember, 1);
  member->index = core->members->len;
  member->id = id;
  member->marks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  member->loads = g_array_new (FALSE, TRUE, sizeof (struct CfLoad));
  member->sent_at = -CF_DEAD_PROBE_MS;
  member->reunited_at = -1;
  cf_stream_init (&member->stream);
  g_ptr_array_add (core->members, member);
  g_hash_table_insert (core->member_by_id, GUINT_TO_POINTER (id), member);
  return member;
}

void
cf_member_free (gpointer data)
{
  struct CfMember *member = data;

  g_array_unref (member->marks);
  g_array_unref (member->loads);
  cf_stream_clear (&member->stream);
  g_free (member);
}

void
cf_members_list_config (struct CfCore *core)
{
  for (uint32_t i = 0; i < core->config->vm_count; i++)
    {
      const struct CfVm *vm = &core->config->vms[i];
      struct CfMember *member = cf_member_add (core, vm->id);

      member->listed = true;
      if (member->incarnation)
        continue;
      member->domain = core->config->domains[vm->domain].id;
      cf_address_parse (vm->ip, core->options.address.port, &member->address);
    }
}

static const struct CfFailureDomain *
member_domain (const struct CfCore *core, uint32_t id)
{
  for (uint32_t i = 0; core->config && i < core->config->domain_count; i++)
    if (core->config->domains[i].id == id)
      return &core->config->domains[i];
  return NULL;
}

bool
cf_member_serves (const struct CfCore *core, const struct CfMember *member)
{
  const struct CfFailureDomain *domain = member_domain (core, member->domain);

  if (!member->alive || member->state == PEER_LEAVING)
    return false;
  /* A VM of a failure domain that the configuration does not name serves. */
  if (!domain)
    return true;
  return domain->in_service && (!core->region || cf_name_id (domain->region) == core->region);
}

void
cf_member_tell_load (struct CfCore *core,
                     struct CfMember *member,
                     uint32_t number,
                     struct CfLoad load)
{
  struct CfLoad *others = &cf_slot (core, number)->others;
  struct CfLoad *known;

  if (member->loads->len <= number)
    g_array_set_size (member->loads, number + 1);
  known = &g_array_index (member->loads, struct CfLoad, number);
  others->opened += load.opened - known->opened;
  others->completed += load.completed - known->completed;
  others->closed += load.closed - known->closed;
  *known = load;
}

void
cf_member_forget_marks (struct CfCore *core, struct CfMember *member)
{
  core->all_marked -= member->all_marked;
  member->all_marked = false;
  for (guint i = 0; i < member->marks->len; i++)
    cf_slot (core, g_array_index (member->marks, uint32_t, i))->peer_marks--;
  g_array_set_size (member->marks, 0);
  member->mark_version = 0;
}

void
cf_member_restarted (struct CfCore *core, struct CfMember *member)
{
  cf_member_forget_marks (core, member);
  /* The sums keep what the former incarnation counted; the next one begins at 0. */
  g_array_set_size (member->loads, 0);
  cf_stream_reset (&member->stream);
  member->ack_count = 0;
  member->sees_me = false;
  member->acked_marks = 0;
  member->done = 0;
  member->pushed = 0;
  member->left = false;
  member->reunited_at = -1;
}

void
cf_member_reunited (struct CfMember *member, CfMillis now)
{
  /* Either side of a partition may have placed flows that the other knows nothing
   * of: both hand over what they have. */
  member->reunited_at = now;
  member->pushed = 0;
  member->done = 0;
}

static void
declare_dead (struct CfCore *core, struct CfMember *member)
{
  member->alive = false;
  member->left = member->state == PEER_LEAVING;
  member->sees_me = false;
  member->ack_count = 0;
  member->pushed = 0;
  cf_stream_reset (&member->stream);
  /* A member that left has handed its entries over.  The marks of one that fell
   * silent stay: it may be cut off and go on serving. */
  if (member->left)
    cf_member_forget_marks (core, member);
}

/* VMs come and go under new names.  One that is gone keeps only what a late message
 * of it is recognised by. */
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
        cf_member_forget_marks (core, member);
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

/* After a pause nothing that was believed before counts: other members may have
 * taken over this VM's buckets.  The entries are kept as a last resort, in case
 * the whole fleet was paused. */
void
cf_members_pause (struct CfCore *core, CfMillis now)
{
  core->stats.counter[CF_COUNT_PAUSES]++;
  core->incarnation++;
  g_free (core->before_pause);
  core->before_pause = g_memdup2 (core->current.holders, sizeof core->current.holders);
  for (uint32_t i = 0; i < core->table.capacity; i++)
    if (core->table.flows[i].key)
      core->table.flows[i].flags |= CF_FLOW_STALE;
  for (guint i = 1; i < core->members->len; i++)
    {
      struct CfMember *member = cf_member (core, i);

      member->incarnation_before = member->alive ? member->incarnation : 0;
      member->alive = false;
      member->reunited_at = -1;
      member->done = 0;
      member->sees_me = false;
      member->acked_marks = 0;
      member->pushed = 0;
      member->ack_count = 0;
      cf_stream_reset (&member->stream);
    }
  for (uint32_t i = 0; i < core->slots->len; i++)
    cf_slot (core, i)->grant = 0;
  cf_member (core, 0)->incarnation = core->incarnation;
  cf_enter_state (core, PEER_JOINING, now);
}

/* Returns true if a holder of BUCKET from before the pause went on serving meanwhile,
 * so that its entries go before this VM's. */
static bool
holder_went_on (const struct CfCore *core, uint32_t bucket)
{
  for (int i = 0; i < CF_HOLDERS; i++)
    {
      uint32_t index = core->before_pause[bucket][i].member;
      const struct CfMember *member;

      if (index == CF_NO_MEMBER || index == 0)
        continue;
      member = cf_member (core, index);
      if (member->alive && member->state == PEER_SERVING
          && member->incarnation == member->incarnation_before)
        return true;
    }
  return false;
}

static void
settle_stale (struct CfCore *core)
{
  for (uint32_t i = 0; i < core->table.capacity;)
    {
      struct CfFlow *flow = &core->table.flows[i];

      if (flow->key && (flow->flags & CF_FLOW_STALE)
          && holder_went_on (core, CF_BUCKET (flow->key)))
        {
          cf_flows_drop (core, flow);
          continue;
        }
      flow->flags &= ~CF_FLOW_STALE;
      i++;
    }
  g_clear_pointer (&core->before_pause, g_free);
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
      complete
          &= member->done == core->incarnation && member->config_version <= core->config->version;
    }
  if (waited < CF_JOIN_WAIT_MS || (any && !complete && waited < CF_JOIN_LIMIT_MS))
    return;
  if (core->before_pause)
    settle_stale (core);
  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    {
      /* Others that join at the same time may know flows that this VM does not. */
      core->gained_at[b] = any || alone ? -1 : now;
      core->owned_since[b] = now;
      core->decides_since[b] = now - CF_IN_FLIGHT_MS;
    }
  cf_enter_state (core, PEER_SERVING, now);
}
