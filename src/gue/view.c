#include "internal.h"

#include <string.h>

/* The view: which members serve, who holds each bucket, and whether all members
 * agree on it. */

static gint
by_id (gconstpointer a, gconstpointer b)
{
  const struct CfCandidate *left = a;
  const struct CfCandidate *right = b;

  return left->id < right->id ? -1 : left->id > right->id;
}

static GArray *
candidates (const struct CfCore *core, bool joining)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct CfCandidate));

  for (guint i = 0; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);
      struct CfCandidate candidate = { .member = i, .id = member->id, .domain = member->domain };

      if (cf_member_serves (core, member) && (joining || member->state == PEER_SERVING))
        g_array_append_val (list, candidate);
    }
  g_array_sort (list, by_id);
  return list;
}

typedef struct CfCandidate Holders[CF_HOLDERS];

/* Returns true if MEMBER has been among HOLDERS for long enough to have the entries.  If a member
 * died recently, the handover may have been interrupted. */
static bool
received_entries (const struct CfCore *core, const Holders holders, uint32_t member, CfMillis now)
{
  bool deaths = core->death_at >= 0 && now - core->death_at < CF_HANDOVER_MS;

  for (int i = 0; i < CF_HOLDERS; i++)
    if (holders[i].member == member)
      return !deaths || now - holders[i].since > CF_HANDOVER_MS;
  return false;
}

static bool
in_holders (const Holders holders, uint32_t member)
{
  for (int i = 0; i < CF_HOLDERS; i++)
    if (holders[i].member == member)
      return true;
  return false;
}

/* Returns true if MEMBER has the same entries as this VM: it may lack some while it is joining
 * or after a partition. */
static bool
has_entries (const struct CfMember *member, CfMillis now)
{
  return member->alive && member->state != PEER_JOINING
         && (member->reconnected_at < 0 || now - member->reconnected_at > CF_PARTITION_MS);
}

/* Returns the first of HOLDERS other than EXCEPT that has the entries, or CF_NO_MEMBER. */
static uint32_t
first_with_entries (const struct CfCore *core, const Holders holders, uint32_t except, CfMillis now)
{
  for (int i = 0; i < CF_HOLDERS; i++)
    {
      uint32_t index = holders[i].member;

      if (index == CF_NO_MEMBER || index == except)
        continue;
      if (index == 0 ? core->state != PEER_JOINING : has_entries (cf_member (core, index), now))
        return index;
    }
  return CF_NO_MEMBER;
}

static bool
awaits_handover (const struct CfMember *member)
{
  return member->alive && (member->state == PEER_JOINING || member->reconnected_at >= 0)
         && member->handover_sent != member->incarnation;
}

/* Sends FLOW to every holder that lacks it, if this VM is the first that has it. */
static void
push_flow (struct CfCore *core,
           const struct CfFlow *flow,
           const Holders *old_current,
           const Holders *old_planned,
           CfMillis now)
{
  uint32_t bucket = CF_BUCKET (flow->key);
  struct CfMember *sent_to[2 * CF_HOLDERS];
  int sent_count = 0;

  for (int i = 0; i < 2 * CF_HOLDERS; i++)
    {
      const Holders *table = i < CF_HOLDERS ? core->current.holders : core->planned.holders;
      uint32_t index = table[bucket][i % CF_HOLDERS].member;
      struct CfMember *member;
      bool twice = false;

      if (index == CF_NO_MEMBER || index == 0)
        continue;
      member = cf_member (core, index);
      for (int j = 0; j < sent_count; j++)
        twice |= sent_to[j] == member;
      if (twice || !member->alive)
        continue;
      if (!awaits_handover (member)
          && (received_entries (core, old_current[bucket], index, now)
              || received_entries (core, old_planned[bucket], index, now)))
        continue;
      if (first_with_entries (core, old_current[bucket], index, now) != 0)
        continue;
      sent_to[sent_count++] = member;
      cf_replicate_to (core, member, flow, false, now);
    }
}

static bool
any_awaits_handover (const struct CfCore *core)
{
  for (guint i = 1; i < core->members->len; i++)
    if (awaits_handover (cf_member (core, i)))
      return true;
  return false;
}

static void
push_entries (struct CfCore *core,
              const Holders *old_current,
              const Holders *old_planned,
              CfMillis now)
{
  for (uint32_t i = 0; i < core->table.capacity; i++)
    {
      const struct CfFlow *flow = &core->table.flows[i];

      if (flow->key && flow->kind == CF_FLOW_ENTRY && !(flow->flags & CF_FLOW_STALE))
        push_flow (core, flow, old_current, old_planned, now);
    }
  for (guint i = 1; i < core->members->len; i++)
    {
      struct CfMember *member = cf_member (core, i);

      if (!awaits_handover (member))
        continue;
      cf_replicate_handover_end (member);
      member->handover_sent = member->incarnation;
    }
}

/* Records which buckets this VM has come to own, and which member to ask about their flows. */
static void
record_gained_buckets (struct CfCore *core,
                       const Holders *old_current,
                       const Holders *old_planned,
                       CfMillis now)
{
  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    {
      uint32_t old_owner = old_current[b][0].member;
      bool held = in_holders (old_current[b], 0) || in_holders (old_planned[b], 0);

      if (core->current.holders[b][0].member != 0 || old_owner == 0)
        continue;
      core->owned_since[b] = now;
      core->decides_since[b] = now;
      core->gained_without_entries_at[b] = -1;
      core->fallback[b] = CF_NO_MEMBER;
      core->fallback_active = true;
      if (old_owner == CF_NO_MEMBER)
        continue;
      if (!held)
        {
          core->gained_without_entries_at[b] = now;
          core->fallback[b] = first_with_entries (core, old_current[b], 0, now);
        }
      else if (has_entries (cf_member (core, old_owner), now))
        core->fallback[b] = old_owner;
    }
}

/* A fallback is asked until all members agree that this VM is the owner, and for
 * CF_TAKEOVER_MS at least.  One that died is dropped. */
void
cf_view_end_fallbacks (struct CfCore *core, CfMillis now)
{
  bool any = false;

  if (!core->fallback_active)
    return;
  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    {
      const struct CfMember *member;

      if (core->fallback[b] == CF_NO_MEMBER)
        continue;
      member = cf_member (core, core->fallback[b]);
      if (member->alive && member->state != PEER_JOINING
          && (!core->settled || now - core->owned_since[b] < CF_TAKEOVER_MS))
        {
          any = true;
          continue;
        }
      core->fallback[b] = CF_NO_MEMBER;
      core->decides_since[b] = now;
    }
  core->fallback_active = any;
}

static uint64_t
view_digest (const struct CfCore *core)
{
  uint64_t digest = 1;

  for (guint i = 0; i < core->current.candidates->len; i++)
    {
      const struct CfCandidate *candidate
          = &g_array_index (core->current.candidates, struct CfCandidate, i);

      digest = cf_rendezvous_score (digest ^ cf_member (core, candidate->member)->incarnation,
                                    candidate->id);
    }
  return digest;
}

void
cf_view_update (struct CfCore *core, CfMillis now)
{
  GArray *serving = candidates (core, false);
  GArray *planned = candidates (core, true);
  Holders *old_current = g_memdup2 (core->current.holders, sizeof core->current.holders);
  Holders *old_planned = g_memdup2 (core->planned.holders, sizeof core->planned.holders);
  bool changed = cf_owners_update (&core->current, serving, now);
  uint64_t view;

  changed |= cf_owners_update (&core->planned, planned, now);
  if (changed)
    {
      core->stats.counter[CF_COUNT_VIEW_CHANGES]++;
      core->view_changed_at = now;
      record_gained_buckets (core, old_current, old_planned, now);
      cf_gatekeepers_update (core, now);
    }
  if (core->state != PEER_JOINING && (changed || any_awaits_handover (core)))
    push_entries (core, (const Holders *) old_current, (const Holders *) old_planned, now);
  view = view_digest (core);
  if (view != core->view)
    core->heartbeat_urgent = true;
  core->view = view;
  g_free (old_current);
  g_free (old_planned);
  g_array_unref (serving);
  g_array_unref (planned);
  cf_view_settle (core, now);
}

/* Returns true if members may hold entries that this VM cannot look up: they fell
 * silent and may be partitioned, or came back and have not handed over yet. */
static bool
partition_suspected (const struct CfCore *core, CfMillis now)
{
  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      if (member->alive && member->reconnected_at >= 0
          && member->handover_received != core->incarnation
          && now - member->reconnected_at < CF_PARTITION_MS)
        return true;
      if (!member->alive && member->listed && !member->left && member->incarnation
          && now - member->heard_at < CF_PARTITION_MS)
        return true;
    }
  return false;
}

/* Returns true if a member that restarted or paused has not handed over what it kept.  Unlike one
 * beyond a partition it is heard, so that drains need not wait for it. */
static bool
entries_awaited (const struct CfCore *core, CfMillis now)
{
  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      if (member->alive && member->absent_since >= 0
          && now - member->absent_since < CF_PARTITION_MS)
        return true;
    }
  return false;
}

void
cf_view_settle (struct CfCore *core, CfMillis now)
{
  uint64_t common = core->config ? core->config->version : 0;
  bool config_settled = core->config != NULL;
  bool agreed = true;
  bool fresh = true;

  for (guint i = 1; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      if (!member->alive || member->state == PEER_JOINING)
        continue;
      config_settled = config_settled && member->config_version == core->config->version
                       && member->config_digest == core->config->digest;
      common = MIN (common, member->config_version);
      agreed &= member->view == core->view;
      fresh &= now - member->heard_at <= CF_MEMBER_STALE_MS && member->sees_this_vm;
    }
  core->partition_suspected = partition_suspected (core, now);
  core->entries_awaited = entries_awaited (core, now);
  core->config_settled = config_settled;
  core->common_version = common;
  core->settled = config_settled && agreed && fresh && core->state != PEER_JOINING;
  core->unsure = core->state == PEER_JOINING || !config_settled || !fresh;
}
