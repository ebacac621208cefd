#include "internal.h"

/* Replication of entries: which members they are sent to, and how received ones are merged.  The
 * flags field on the wire holds an entry's flags in the low bits and its age in seconds above. */

#define AGE_SHIFT 8
#define AGE_MAX 0xffffffU
#define WIRE_FLAGS                                                                                 \
  (CF_FLOW_HALF_OPEN | CF_FLOW_CLOSING | CF_FLOW_PINNED | CF_FLOW_UDP | CF_FLOW_REMOVED            \
   | CF_FLOW_REPORT | CF_FLOW_HANDOVER_END)

static struct peer_entry
wire_entry (const struct CfCore *core, const struct CfFlow *flow, uint32_t extra, CfMillis now)
{
  uint32_t age = cf_core_seconds (core, now) - flow->placed_s;

  if (flow->flags & CF_FLOW_UNCONFIRMED)
    extra |= CF_FLOW_HALF_OPEN;
  return (struct peer_entry){
    .key = flow->key,
    .upstream = cf_slot (core, flow->slot)->id,
    .flags = (flow->flags & WIRE_FLAGS) | extra | MIN (age, AGE_MAX) << AGE_SHIFT,
  };
}

static void
queue (struct CfMember *member, const struct peer_entry *entry, bool urgent)
{
  if (urgent)
    g_array_append_val (member->stream.urgent, *entry);
  else
    g_array_append_val (member->stream.bulk, *entry);
}

void
cf_replicate_to (struct CfCore *core,
                 struct CfMember *member,
                 const struct CfFlow *flow,
                 bool urgent,
                 CfMillis now)
{
  struct peer_entry entry = wire_entry (core, flow, 0, now);

  core->stats.counter[CF_COUNT_ENTRIES_SENT]++;
  queue (member, &entry, urgent);
}

/* Lists every other live member that holds BUCKET now, will hold it once joining
 * members serve, or is the bucket's fallback. */
static uint32_t
targets (struct CfCore *core, uint32_t bucket, struct CfMember *list[2 * CF_HOLDERS + 1])
{
  uint32_t candidates[2 * CF_HOLDERS + 1];
  uint32_t count = 0;

  for (int i = 0; i < CF_HOLDERS; i++)
    {
      candidates[i] = core->current.holders[bucket][i].member;
      candidates[CF_HOLDERS + i] = core->planned.holders[bucket][i].member;
    }
  candidates[2 * CF_HOLDERS] = core->fallback[bucket];
  for (int i = 0; i <= 2 * CF_HOLDERS; i++)
    {
      struct CfMember *member;
      bool listed = false;

      if (candidates[i] == CF_NO_MEMBER || candidates[i] == 0)
        continue;
      member = cf_member (core, candidates[i]);
      for (uint32_t j = 0; j < count; j++)
        listed |= list[j] == member;
      if (member->alive && !listed)
        list[count++] = member;
    }
  return count;
}

void
cf_replicate (struct CfCore *core, struct CfFlow *flow, bool urgent, CfMillis now)
{
  struct CfMember *list[2 * CF_HOLDERS + 1];
  uint32_t count = targets (core, CF_BUCKET (flow->key), list);

  flow->sent_s = cf_core_seconds (core, now);
  for (uint32_t i = 0; i < count; i++)
    cf_replicate_to (core, list[i], flow, urgent, now);
}

void
cf_replicate_removal (struct CfCore *core, const struct CfFlow *flow)
{
  struct CfMember *list[2 * CF_HOLDERS + 1];
  uint32_t count = targets (core, CF_BUCKET (flow->key), list);
  struct peer_entry entry = {
    .key = flow->key,
    .upstream = cf_slot (core, flow->slot)->id,
    .flags = CF_FLOW_REMOVED,
  };

  for (uint32_t i = 0; i < count; i++)
    queue (list[i], &entry, false);
}

void
cf_replicate_handover_end (struct CfMember *member)
{
  struct peer_entry entry = { .key = member->incarnation, .flags = CF_FLOW_HANDOVER_END };

  queue (member, &entry, false);
}

/* Queued copies are not sent as they are: their ages are those of before the pause, and a flow that
 * another VM has placed again meanwhile would look older than they do. */
void
cf_replicate_pending (struct CfCore *core, struct CfMember *member, CfMillis now)
{
  GArray *pending = cf_stream_take_pending (&member->stream);

  for (guint i = 0; i < pending->len; i++)
    {
      const struct peer_entry *entry = &g_array_index (pending, struct peer_entry, i);
      struct CfFlow *flow = NULL;

      if (!(entry->flags & (CF_FLOW_REMOVED | CF_FLOW_REPORT | CF_FLOW_HANDOVER_END)))
        flow = cf_flow_find (&core->table, entry->key);
      if (!flow || flow->kind != CF_FLOW_ENTRY)
        continue;
      flow->flags |= CF_FLOW_UNSHARED;
      cf_replicate_to (core, member, flow, true, now);
    }
  g_array_unref (pending);
}

void
cf_replicate_unshared (struct CfCore *core, CfMillis now)
{
  for (uint32_t i = 0; i < core->table.capacity; i++)
    {
      struct CfFlow *flow = &core->table.flows[i];

      if (!flow->key || !(flow->flags & CF_FLOW_UNSHARED))
        continue;
      flow->flags &= ~CF_FLOW_UNSHARED;
      cf_replicate (core, flow, false, now);
    }
  for (guint i = 1; i < core->members->len; i++)
    if (cf_member (core, i)->alive)
      cf_replicate_handover_end (cf_member (core, i));
}

/* A first packet that this VM forwarded directly to an upstream is unknown to the bucket's
 * owner.  The owner has to learn of such packets before it places flows elsewhere, so that a
 * retransmission is not sent to a second upstream. */
static void
report_flow (struct CfCore *core, struct CfFlow *flow, CfMillis now)
{
  uint32_t owner = core->current.holders[CF_BUCKET (flow->key)][0].member;
  struct peer_entry entry = wire_entry (core, flow, CF_FLOW_REPORT, now);

  if (owner == CF_NO_MEMBER)
    return;
  if (owner != 0)
    {
      queue (cf_member (core, owner), &entry, true);
      return;
    }
  if (flow->flags & CF_FLOW_UDP)
    {
      cf_flows_move (core, flow, flow->slot, CF_FLOW_ENTRY);
      cf_replicate (core, flow, false, now);
    }
}

void
cf_report_recent (struct CfCore *core, CfMillis now)
{
  uint32_t now_s = cf_core_seconds (core, now);

  if (!core->policy->use_owners)
    return;
  for (uint32_t i = 0; i < core->table.capacity; i++)
    {
      struct CfFlow *flow = &core->table.flows[i];

      if (!flow->key || flow->kind != CF_FLOW_RECENT || !cf_slot (core, flow->slot)->report)
        continue;
      if (flow->flags & CF_FLOW_UDP
          || ((flow->flags & CF_FLOW_HALF_OPEN) && now_s - flow->seen_s <= CF_REPORT_S))
        report_flow (core, flow, now);
    }
}

static void
update_implied (struct CfCore *core, struct CfFlow *flow)
{
  const struct CfUpstream *upstream = cf_slot (core, flow->slot)->upstream;
  uint32_t first;

  flow->implied = flow->slot;
  if (upstream && core->services)
    cf_choose_preferred (&core->services[upstream->service], flow->key, &flow->implied, &first);
}

static bool
owns (const struct CfCore *core, uint64_t key)
{
  return core->current.holders[CF_BUCKET (key)][0].member == 0;
}

/* Two VMs may have different upstreams for a flow after a partition, or when a caller reused its
 * port.  A flow placed by its first packet takes precedence over one that was pinned later, and
 * among equals the younger one does. */
static bool
replaces (const struct CfCore *core,
          const struct CfFlow *flow,
          const struct peer_entry *entry,
          uint32_t age,
          CfMillis now)
{
  bool pinned = flow->flags & CF_FLOW_PINNED;
  bool entry_pinned = entry->flags & CF_FLOW_PINNED;

  if (flow->kind != CF_FLOW_ENTRY || (flow->flags & CF_FLOW_STALE))
    return true;
  if (pinned != entry_pinned)
    return pinned;
  return age < cf_core_seconds (core, now) - flow->placed_s;
}

static void
update_record (struct CfCore *core,
               struct CfFlow *flow,
               const struct peer_entry *entry,
               uint32_t age,
               uint8_t kind,
               CfMillis now)
{
  uint32_t now_s = cf_core_seconds (core, now);

  cf_flows_count_away (core, flow, -1);
  flow->slot = cf_slot_for_id (core, entry->upstream);
  flow->kind = kind;
  flow->flags = entry->flags & (CF_FLOW_CLOSING | CF_FLOW_PINNED | CF_FLOW_UDP);
  if (entry->flags & CF_FLOW_HALF_OPEN)
    flow->flags |= CF_FLOW_UNCONFIRMED;
  flow->placed_s = age < now_s ? now_s - age : 0;
  flow->seen_s = now_s;
  flow->sent_s = now_s;
  update_implied (core, flow);
  cf_flows_count_away (core, flow, 1);
}

static struct CfFlow *
find_or_insert (struct CfCore *core, uint64_t key, bool *fresh)
{
  struct CfFlow *flow = cf_flow_find (&core->table, key);

  *fresh = !flow;
  if (flow)
    return flow;
  flow = cf_flow_insert (&core->table, key);
  if (!flow)
    {
      core->stats.counter[CF_COUNT_FLOWS_LOST]++;
      return NULL;
    }
  flow->slot = flow->implied = CF_NO_SLOT;
  return flow;
}

static void
receive_removal (struct CfCore *core, const struct peer_entry *entry)
{
  struct CfFlow *flow = cf_flow_find (&core->table, entry->key);

  if (!flow || cf_slot (core, flow->slot)->id != entry->upstream)
    return;
  if (!owns (core, entry->key) || (flow->flags & CF_FLOW_STALE))
    cf_flows_drop (core, flow);
}

static void
receive_report (struct CfCore *core, const struct peer_entry *entry, uint32_t age, CfMillis now)
{
  bool fresh;
  struct CfFlow *flow = find_or_insert (core, entry->key, &fresh);

  if (!flow || !fresh)
    return;
  update_record (core, flow, entry, age,
                 entry->flags & CF_FLOW_UDP ? CF_FLOW_ENTRY : CF_FLOW_RECENT, now);
  if (flow->kind == CF_FLOW_RECENT)
    flow->flags |= CF_FLOW_HALF_OPEN;
  else
    cf_replicate (core, flow, false, now);
}

static void
receive_entry (struct CfCore *core, const struct peer_entry *entry, uint32_t age, CfMillis now)
{
  bool fresh;
  struct CfFlow *flow = find_or_insert (core, entry->key, &fresh);

  if (!flow)
    return;
  if (fresh || replaces (core, flow, entry, age, now))
    {
      update_record (core, flow, entry, age, CF_FLOW_ENTRY, now);
      return;
    }
  if (cf_slot (core, flow->slot)->id == entry->upstream)
    flow->seen_s = MAX (flow->seen_s, cf_core_seconds (core, now));
  else if (owns (core, entry->key))
    cf_replicate (core, flow, false, now);
}

static void
receive_handover_end (const struct CfCore *core,
                      struct CfMember *member,
                      const struct peer_entry *entry)
{
  member->handover_received = entry->key;
  if (entry->key == core->incarnation)
    member->absent_since = -1;
}

void
cf_receive_entries (struct CfCore *core,
                    struct CfMember *member,
                    const peer_entries *entries,
                    CfMillis now)
{
  for (u_int i = 0; i < entries->entries.entries_len; i++)
    {
      const struct peer_entry *entry = &entries->entries.entries_val[i];
      uint32_t age = entry->flags >> AGE_SHIFT;

      core->stats.counter[CF_COUNT_ENTRIES_RECEIVED]++;
      if (entry->flags & CF_FLOW_HANDOVER_END)
        receive_handover_end (core, member, entry);
      else if (entry->key == 0 || entry->upstream == 0)
        core->stats.counter[CF_COUNT_ENTRIES_REFUSED]++;
      else if (entry->flags & CF_FLOW_REMOVED)
        receive_removal (core, entry);
      else if (entry->flags & CF_FLOW_REPORT)
        receive_report (core, entry, age, now);
      else
        receive_entry (core, entry, age, now);
    }
  if (member->ack_count < G_N_ELEMENTS (member->acks))
    member->acks[member->ack_count++] = entries->seq;
  if (member->ack_count == 1)
    member->ack_due = now + CF_ACK_DELAY_MS;
}
