#include "internal.h"

/* A report for operators: how a flow is routed, and why. */

static const char *
candidate_verdict (const struct CfCore *core,
                   const struct CfServiceState *service,
                   uint32_t number,
                   CfMillis now)
{
  const struct CfSlot *slot = cf_slot (core, number);

  if (!slot->domain_in_service)
    return "failure domain out of service";
  if (slot->upstream->mode == CF_UPSTREAM_DRAINING)
    return "draining";
  if (slot->upstream->mode == CF_UPSTREAM_REMOVED)
    return "removed";
  if (slot->health == PEER_UNREACHABLE)
    return "unreachable";
  if (slot->health == PEER_COLD)
    return cf_grant_available (slot, now) ? "cold, admission left" : "cold, no admission left";
  if (cf_limit_full (core, slot))
    return "all connections in use";
  if (cf_limit_unfair (core, service, number))
    return "above its fair share";
  return "takes new flows";
}

struct Listing
{
  const struct CfServiceState *service;
  GString *text;
  CfMillis now;
  int rank;
};

static bool
list_candidate (struct CfCore *core, uint32_t number, void *data)
{
  struct Listing *listing = data;

  g_string_append_printf (listing->text, "  %d. %s: %s%s\n", ++listing->rank,
                          cf_slot (core, number)->upstream->name,
                          candidate_verdict (core, listing->service, number, listing->now),
                          cf_marked (core, number) ? ", marked" : "");
  return false;
}

static void
append_holders (const struct CfCore *core, uint64_t key, GString *text)
{
  uint32_t bucket = CF_BUCKET (key);

  g_string_append_printf (text, "bucket %u:", bucket);
  for (int i = 0; i < CF_HOLDERS; i++)
    {
      uint32_t index = core->current.holders[bucket][i].member;
      const struct CfMember *member;
      uint32_t vm;

      if (index == CF_NO_MEMBER)
        continue;
      member = cf_member (core, index);
      vm = cf_config_find_vm (core->config, member->id);
      g_string_append_printf (text, "%s %s",
                              i == 0   ? " owner"
                              : i == 1 ? ", backups"
                                       : ",",
                              vm == CF_NO_INDEX ? "(unlisted)" : core->config->vms[vm].name);
      if (index == 0)
        g_string_append (text, " (this VM)");
    }
  g_string_append_c (text, '\n');
}

static void
append_flow (struct CfCore *core, uint64_t key, uint32_t implied, GString *text, CfMillis now)
{
  const struct CfFlow *flow = cf_flow_find (&core->table, key);

  if (!flow)
    {
      g_string_append_printf (text,
                              "record: none here; a packet after the first goes to the "
                              "implied upstream %s\n",
                              cf_slot (core, implied)->upstream->name);
      return;
    }
  g_string_append_printf (text, "record: %s%s%s, upstream %s, last packet %u s ago\n",
                          flow->kind == CF_FLOW_ENTRY ? "entry" : "recent first packet",
                          flow->flags & CF_FLOW_PINNED ? ", pinned" : "",
                          flow->flags & CF_FLOW_CLOSING ? ", closing" : "",
                          cf_slot (core, flow->slot)->upstream
                              ? cf_slot (core, flow->slot)->upstream->name
                              : "(not in the configuration)",
                          cf_core_seconds (core, now) - flow->seen_s);
}

void
cf_core_explain (const struct CfCore *constant_core,
                 const struct CfAddress *caller,
                 const struct CfAddress *address,
                 uint8_t protocol,
                 GString *text,
                 CfMillis now)
{
  /* Listing candidates changes nothing, but the callback type is that of placement. */
  struct CfCore *core = (struct CfCore *) constant_core;
  struct CfPacket packet = { .caller = *caller, .service = *address, .protocol = protocol };
  struct Listing listing = { .text = text, .now = now };
  const struct CfService *service
      = core->config ? cf_config_find_service (core->config, address, protocol) : NULL;
  uint32_t implied;
  uint32_t first;
  uint64_t key;

  if (!service)
    {
      g_string_append (text, core->config ? "no service has this address and protocol\n"
                                          : "no configuration yet\n");
      return;
    }
  listing.service = cf_service_state (core, service);
  key = cf_flow_key (core, service, &packet);
  cf_choose_preferred (listing.service, key, &implied, &first);
  g_string_append_printf (text, "service %s, tenant %s, flow key %016" G_GINT64_MODIFIER "x\n",
                          service->name, service->tenant, key);
  if (implied == CF_NO_SLOT)
    {
      g_string_append (text, "the service has no upstream\n");
      return;
    }
  append_holders (core, key, text);
  g_string_append_printf (text, "implied upstream %s%s; the current weights prefer %s\n",
                          cf_slot (core, implied)->upstream->name,
                          cf_marked (core, implied) ? " (marked)" : "",
                          cf_slot (core, first)->upstream->name);
  append_flow (core, key, implied, text, now);
  if (core->unsure)
    g_string_append (
        text, "this VM lacks the current state of other VMs and treats every upstream as marked\n");
  g_string_append (text, "preference list for a new flow:\n");
  cf_choose_first (core, listing.service, key, list_candidate, &listing);
}
