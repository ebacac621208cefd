#include "internal.h"

#include <string.h>

/* The members that this VM knows, and the marks and counts that each has sent. */

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
  member->reconnected_at = -1;
  member->absent_since = -1;
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
  /* A VM whose failure domain is not in the configuration counts as serving. */
  if (!domain)
    return true;
  return domain->in_service && (!core->region || cf_name_id (domain->region) == core->region);
}

void
cf_member_update_load (struct CfCore *core,
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
cf_member_clear_marks (struct CfCore *core, struct CfMember *member)
{
  core->all_marked -= member->all_marked;
  member->all_marked = false;
  for (guint i = 0; i < member->marks->len; i++)
    cf_slot (core, g_array_index (member->marks, uint32_t, i))->peer_marks--;
  g_array_set_size (member->marks, 0);
  member->mark_version = 0;
}

/* A VM that paused, unlike one that was killed, still has the entries that it placed before, but
 * this VM cannot tell the two apart.  The doubt ends CF_PARTITION_MS after the member was last
 * heard, as if it had stayed away, also if it restarts again and again. */
static void
expect_entries (struct CfMember *member)
{
  if (member->left || member->state == PEER_LEAVING)
    member->absent_since = -1;
  else if (member->incarnation && member->absent_since < 0)
    member->absent_since = member->heard_at;
}

void
cf_member_restarted (struct CfCore *core, struct CfMember *member)
{
  expect_entries (member);
  cf_member_clear_marks (core, member);
  /* The sums keep the counts of the former incarnation; the next one starts at 0. */
  g_array_set_size (member->loads, 0);
  cf_stream_reset (&member->stream);
  member->ack_count = 0;
  member->sees_this_vm = false;
  member->acked_marks = 0;
  member->handover_received = 0;
  member->handover_sent = 0;
  member->left = false;
  member->reconnected_at = -1;
}

void
cf_member_reconnected (struct CfMember *member, CfMillis now)
{
  /* Each side of a partition may have placed flows that the other has no entries for, so both
   * hand over theirs. */
  member->reconnected_at = now;
  member->handover_sent = 0;
  member->handover_received = 0;
}
