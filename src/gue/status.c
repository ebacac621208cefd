#include "internal.h"

/* The status report, as JSON.  Names come from the configuration, which allows any character in
 * them, so they are escaped. */

static const char *const state_names[] = { "joining", "serving", "leaving" };
static const char *const health_names[] = { "warm", "cold", "unreachable" };

static void
append_text (GString *text, const char *key, const char *value)
{
  g_string_append_printf (text, "\"%s\":\"", key);
  for (const char *c = value; *c; c++)
    {
      if (*c == '"' || *c == '\\')
        g_string_append_c (text, '\\');
      if ((unsigned char) *c < ' ')
        g_string_append_printf (text, "\\u%04x", *c);
      else
        g_string_append_c (text, *c);
    }
  g_string_append_c (text, '"');
}

static const char *
member_name (const struct CfCore *core, const struct CfMember *member)
{
  uint32_t index = core->config ? cf_config_find_vm (core->config, member->id) : CF_NO_INDEX;

  return index == CF_NO_INDEX ? "" : core->config->vms[index].name;
}

static uint32_t
owned_buckets (const struct CfCore *core, uint32_t member)
{
  uint32_t count = 0;

  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    count += core->current.holders[b][0].member == member;
  return count;
}

static void
append_members (const struct CfCore *core, GString *text, CfMillis now)
{
  g_string_append (text, "\"members\":[");
  for (guint i = 0; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);
      char address[CF_ADDRESS_TEXT_MAX];

      cf_address_format (i ? &member->address : &core->options.address, address, sizeof address);
      g_string_append_printf (text, "%s{", i ? "," : "");
      append_text (text, "name", member_name (core, member));
      g_string_append_printf (
          text,
          ",\"id\":%u,\"address\":\"%s\",\"alive\":%s,\"state\":\"%s\","
          "\"incarnation\":%" G_GUINT64_FORMAT ",\"config_version\":%" G_GUINT64_FORMAT
          ",\"silent_ms\":%" G_GINT64_FORMAT
          ",\"buckets\":%u,\"marks\":%u,\"unacknowledged_batches\":%u}",
          member->id, address, member->alive ? "true" : "false", state_names[member->state],
          member->incarnation,
          i ? member->config_version : (core->config ? core->config->version : 0),
          i && member->incarnation ? now - member->heard_at : 0, owned_buckets (core, i),
          member->marks->len, member->stream.outstanding);
    }
  g_string_append_c (text, ']');
}

static void
append_upstreams (const struct CfCore *core, GString *text)
{
  bool any = false;

  g_string_append (text, "\"upstreams\":[");
  for (uint32_t i = 0; i < core->slots->len; i++)
    {
      const struct CfSlot *slot = cf_slot (core, i);

      if (!slot->upstream)
        continue;
      g_string_append (text, any ? ",{" : "{");
      any = true;
      append_text (text, "name", slot->upstream->name);
      g_string_append_c (text, ',');
      append_text (text, "service", core->config->services[slot->upstream->service].name);
      g_string_append_c (text, ',');
      append_text (text, "failure_domain", core->config->domains[slot->upstream->domain].name);
      g_string_append_printf (text,
                              ",\"mode\":\"%s\",\"in_service\":%s,\"health\":\"%s\",\"marked\":%s,"
                              "\"open\":%u,\"opened\":%u,\"completed\":%u,\"closed\":%u,"
                              "\"entries_away\":%u,"
                              "\"budget\":%u,\"gatekeeper\":%s}",
                              slot->upstream->mode == CF_UPSTREAM_ACTIVE     ? "active"
                              : slot->upstream->mode == CF_UPSTREAM_DRAINING ? "draining"
                                                                             : "removed",
                              slot->domain_in_service ? "true" : "false",
                              health_names[slot->health], cf_marked (core, i) ? "true" : "false",
                              cf_limit_open (slot), slot->fleet.opened, slot->fleet.completed,
                              slot->fleet.closed, slot->entries_away,
                              slot->health == PEER_COLD ? (uint32_t) slot->slow_start.budget : 0,
                              slot->gatekeeper == 0 ? "true" : "false");
    }
  g_string_append_c (text, ']');
}

static void
append_counters (const struct CfCore *core, GString *text)
{
  g_string_append (text, "\"counters\":{");
  for (int i = 0; i < CF_COUNT_MAX; i++)
    g_string_append_printf (text, "%s\"%s\":%" G_GUINT64_FORMAT, i ? "," : "",
                            cf_counter_name ((enum CfCounter) i), core->stats.counter[i]);
  for (int i = 1; i < CF_DROP_COUNT; i++)
    g_string_append_printf (text, ",\"dropped_%s\":%" G_GUINT64_FORMAT,
                            cf_drop_name ((enum CfDrop) i), core->stats.drop[i]);
  g_string_append_c (text, '}');
}

void
cf_core_status (const struct CfCore *core, GString *text, CfMillis now)
{
  g_string_append_printf (
      text,
      "{\"state\":\"%s\",\"settled\":%s,\"unsure\":%s,"
      "\"config_version\":%" G_GUINT64_FORMAT ",\"config_digest\":\"%016" G_GINT64_MODIFIER
      "x\",\"flows\":%u,\"flow_table_bytes\":%" G_GSIZE_FORMAT ",",
      state_names[core->state], core->settled ? "true" : "false", core->unsure ? "true" : "false",
      core->config ? core->config->version : 0, core->config ? core->config->digest : 0,
      core->table.count, cf_core_flow_bytes (core));
  append_members (core, text, now);
  g_string_append_c (text, ',');
  append_upstreams (core, text);
  g_string_append_c (text, ',');
  append_counters (core, text);
  g_string_append (text, "}\n");
}
