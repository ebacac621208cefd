#include "internal.h"

#include <string.h>

/* Creation of the core, messages from other VMs, the platform's list, planned stops and timers. */

#define SWEEP_ELEMENTS 4096 /* elements of the flow table examined per tick */
#define WATCHERS 2          /* VMs of a failure domain that watch the platform */
#define STOP_SETTLE_MS 1000

static void
free_service_stats (gpointer data)
{
  struct CfServiceStats *stats = data;

  g_free (stats->name);
  g_free (stats->tenant);
  g_free (stats);
}

static void
add_self (struct CfCore *core)
{
  struct CfMember *self = cf_member_add (core, core->options.vm);

  self->alive = true;
  self->listed = true;
  self->domain = core->options.domain;
  self->incarnation = core->incarnation;
  self->state = PEER_JOINING;
}

struct CfCore *
cf_core_new (const struct CfCoreOptions *options,
             const struct CfCoreOutputs *outputs,
             void *context,
             CfMillis now)
{
  struct CfCore *core = g_new0 (struct CfCore, 1);

  core->options = *options;
  core->policy = options->policy ? options->policy : &cf_policy_product;
  core->out = outputs;
  core->context = context;
  core->start = core->last_tick = core->state_since = core->tokens_at = now;
  core->outliers_checked_at = core->tenant_window = core->heartbeat_at = now;
  core->incarnation = options->incarnation;
  core->state = PEER_JOINING;
  core->unsure = true;
  core->mark_version = 1;
  core->resumed_at = now - CF_RESUME_DISCARD_MS;
  core->death_at = -1;
  core->heartbeat_urgent = true;
  core->tenants = g_array_new (FALSE, FALSE, sizeof (struct CfTenant));
  core->slots = g_array_new (FALSE, FALSE, sizeof (struct CfSlot));
  core->suspects = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  core->slot_by_id = g_hash_table_new (NULL, NULL);
  core->members = g_ptr_array_new_with_free_func (cf_member_free);
  core->member_by_id = g_hash_table_new (NULL, NULL);
  core->stats.services = g_ptr_array_new_with_free_func (free_service_stats);
  cf_flow_table_init (&core->table, CF_FLOWS_MAX);
  core->parked = g_new0 (struct CfParked, CF_PARKED_MAX);
  cf_owners_init (&core->current);
  cf_owners_init (&core->planned);
  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    {
      core->fallback[b] = CF_NO_MEMBER;
      core->gained_without_entries_at[b] = -1;
    }
  add_self (core);
  return core;
}

void
cf_core_free (struct CfCore *core)
{
  for (guint i = 0; i < core->tenants->len; i++)
    g_free (g_array_index (core->tenants, struct CfTenant, i).name);
  g_array_unref (core->tenants);
  cf_services_clear (core);
  cf_config_sync_clear (core);
  cf_config_clear (core);
  cf_flow_table_clear (&core->table);
  g_free (core->parked);
  g_free (core->holders_before_pause);
  cf_owners_clear (&core->current);
  cf_owners_clear (&core->planned);
  g_array_unref (core->slots);
  g_array_unref (core->suspects);
  g_hash_table_destroy (core->slot_by_id);
  g_hash_table_destroy (core->member_by_id);
  g_ptr_array_unref (core->members);
  g_ptr_array_unref (core->stats.services);
  g_free (core);
}

/* Another process runs under this VM's name.  The one with the higher incarnation stays. */
static void
handle_duplicate_vm (struct CfCore *core, uint64_t incarnation, CfMillis now)
{
  if (incarnation <= core->incarnation || core->superseded)
    return;
  core->superseded = true;
  cf_enter_state (core, PEER_LEAVING, now);
  core->out->state_changed (core->context, PEER_LEAVING, true);
}

void
cf_core_peer (struct CfCore *core, const struct peer_envelope *envelope, CfMillis now)
{
  const struct peer_message *message = &envelope->message;
  struct CfMember *member = cf_member_by_id (core, envelope->vm);

  cf_detect_pause (core, now);
  if (envelope->vm == core->options.vm)
    {
      handle_duplicate_vm (core, envelope->incarnation, now);
      return;
    }
  if (member && envelope->incarnation < member->incarnation)
    return;
  if (message->kind == PEER_HEARTBEAT)
    {
      cf_heartbeat_receive (core, envelope, now);
      cf_heartbeats_send (core, now);
      return;
    }
  /* Other messages are ignored before the first heartbeat of the member's incarnation. */
  if (!member || !member->alive || member->incarnation != envelope->incarnation)
    return;
  switch (message->kind)
    {
    case PEER_ENTRIES:
      cf_receive_entries (core, member, &message->peer_message_u.entries, now);
      break;
    case PEER_ENTRIES_ACK:
      if (message->peer_message_u.ack.incarnation == core->incarnation)
        cf_stream_ack (&member->stream, &message->peer_message_u.ack);
      break;
    case PEER_CONFIG_REQUEST:
      cf_config_sync_request (core, member, &message->peer_message_u.request);
      break;
    case PEER_CONFIG_CHUNK:
      cf_config_sync_chunk (core, member, &message->peer_message_u.chunk, now);
      break;
    case PEER_HEARTBEAT:
      break;
    }
}

void
cf_core_vm_list (struct CfCore *core, const struct CfListedVm *vms, size_t count, CfMillis now)
{
  for (guint i = 1; i < core->members->len; i++)
    cf_member (core, i)->listed = false;
  if (core->config)
    cf_members_list_config (core);
  for (size_t i = 0; i < count; i++)
    {
      struct CfMember *member = cf_member_add (core, vms[i].id);

      if (member->index == 0)
        continue;
      /* The list may be out of date: a VM that still sends heartbeats counts as listed. */
      member->listed = !vms[i].leaving || member->alive;
      if (member->incarnation)
        continue;
      member->domain = vms[i].domain;
      member->address = vms[i].address;
    }
  core->heartbeat_urgent = true;
  cf_view_settle (core, now);
}

void
cf_core_leave (struct CfCore *core, CfMillis now)
{
  if (core->state != PEER_LEAVING)
    cf_enter_state (core, PEER_LEAVING, now);
}

static void
update_stop (struct CfCore *core, CfMillis now)
{
  CfMillis waited = now - core->state_since;
  bool idle = true;
  bool others = false;

  if (core->state != PEER_LEAVING)
    return;
  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      others |= member->alive;
      idle &= !member->alive || cf_stream_idle (&member->stream);
    }
  core->may_stop = waited >= STOP_SETTLE_MS
                   && (!others || (idle && core->settled) || waited >= CF_JOIN_LIMIT_MS);
  if (!core->may_stop || core->stop_announced)
    return;
  core->stop_announced = true;
  core->out->state_changed (core->context, PEER_LEAVING, true);
}

bool
cf_core_may_stop (const struct CfCore *core)
{
  return core->superseded || core->may_stop;
}

/* A few members of each failure domain watch the platform; the others learn of new
 * configurations from heartbeats. */
static void
update_watch (struct CfCore *core)
{
  uint32_t preceding = 0;
  bool watch;

  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      preceding += member->alive && member->state == PEER_SERVING
                   && member->domain == core->options.domain && member->id < core->options.vm;
    }
  watch = preceding < WATCHERS;
  if (watch == core->watching)
    return;
  core->watching = watch;
  core->out->watch_platform (core->context, watch);
}

void
cf_core_flush (struct CfCore *core, CfMillis now)
{
  /* While more than half of the budget is left, entries are not delayed until the next tick. */
  if (core->config && core->tokens > core->config->limits.peer_bytes_per_s / 2.0)
    cf_streams_flush (core, now);
  cf_heartbeats_send (core, now);
}

void
cf_core_tick (struct CfCore *core, CfMillis now)
{
  cf_detect_pause (core, now);
  core->last_tick = now;
  cf_members_check (core, now);
  cf_members_join (core, now);
  if (now - core->summed_at >= CF_HEARTBEAT_MS)
    {
      core->summed_at = now;
      cf_limits_sum (core);
      cf_slow_start_tick (core, now);
      update_watch (core);
    }
  cf_outliers_tick (core, now);
  cf_marks_update (core, now);
  cf_view_settle (core, now);
  cf_view_end_fallbacks (core, now);
  if (core->config)
    cf_flows_sweep (core, SWEEP_ELEMENTS, now);
  cf_park_retry (core, now);
  cf_streams_flush (core, now);
  cf_heartbeats_send (core, now);
  cf_config_sync_tick (core, now);
  update_stop (core, now);
}

const struct CfConfig *
cf_core_config (const struct CfCore *core)
{
  return core->config;
}

const struct CfStats *
cf_core_stats (const struct CfCore *core)
{
  return &core->stats;
}

enum peer_state
cf_core_state (const struct CfCore *core)
{
  return core->state;
}

uint64_t
cf_core_incarnation (const struct CfCore *core)
{
  return core->incarnation;
}

bool
cf_core_settled (const struct CfCore *core)
{
  return core->settled && !core->unsure;
}

size_t
cf_core_flow_bytes (const struct CfCore *core)
{
  return core->table.capacity * sizeof (struct CfFlow);
}
