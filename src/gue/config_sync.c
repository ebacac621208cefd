#include "internal.h"
#include "config/difference.h"

#include <string.h>

/* Distribution of configurations.  A VM that learns of a newer configuration from a heartbeat
 * requests it from the sender, as a difference to its own version if the sender still has that. */

#define CHUNK_BYTES 1024
#define PULL_TIMEOUT_MS 300
#define CONFIG_BYTES_MAX (64U << 20)

static bool
newer (const struct CfCore *core, uint64_t version, uint64_t digest)
{
  if (!core->config)
    return version > 0;
  if (version != core->config->version)
    return version > core->config->version;
  return digest > core->config->digest;
}

static void
send_request (struct CfCore *core, struct CfMember *member, CfMillis now)
{
  struct peer_message message = { .kind = PEER_CONFIG_REQUEST };
  peer_config_request *request = &message.peer_message_u.request;

  if (core->config && !core->pull.full_text)
    {
      request->have = core->config->version;
      request->have_digest = core->config->digest;
    }
  request->revision = core->pull.version;
  request->digest = core->pull.digest;
  request->offset = (u_int) core->pull.data->len;
  core->pull.deadline = now + PULL_TIMEOUT_MS;
  cf_send (core, member, &message);
}

void
cf_config_sync_check (struct CfCore *core, struct CfMember *member, CfMillis now)
{
  struct CfPull *pull = &core->pull;

  if (!newer (core, member->config_version, member->config_digest))
    return;
  if (pull->deadline && member->config_version <= pull->version)
    return;
  if (!pull->data)
    pull->data = g_string_new (NULL);
  g_string_truncate (pull->data, 0);
  pull->version = member->config_version;
  pull->digest = member->config_digest;
  pull->member = member->index;
  send_request (core, member, now);
}

/* Returns the answer for a VM that has VERSION with DIGEST: the difference to that if it is in
 * the history, with *BASE set to VERSION, otherwise the full text.  All members request the
 * same few differences, so each is computed once.  The digest is compared because two VMs may
 * have different texts under one version, each from its own folder. */
static const char *
text_for (struct CfCore *core, uint64_t version, uint64_t digest, uint64_t *base)
{
  *base = 0;
  for (int i = 0; i < CF_CONFIG_HISTORY; i++)
    {
      const struct CfConfig *earlier = core->history[i];

      if (!earlier || earlier->version != version || earlier->digest != digest)
        continue;
      if (!core->differences[i])
        core->differences[i] = cf_difference_make (earlier, core->config);
      *base = version;
      return core->differences[i];
    }
  return core->config->text;
}

void
cf_config_sync_request (struct CfCore *core,
                        struct CfMember *member,
                        const peer_config_request *request)
{
  struct peer_message message = { .kind = PEER_CONFIG_CHUNK };
  peer_config_chunk *chunk = &message.peer_message_u.chunk;
  const char *text;
  uint64_t base;
  size_t len;

  if (!core->config || request->revision != core->config->version
      || request->digest != core->config->digest)
    return;
  text = text_for (core, request->have, request->have_digest, &base);
  len = strlen (text);
  if (request->offset <= len)
    {
      chunk->revision = core->config->version;
      chunk->digest = core->config->digest;
      chunk->base = base;
      chunk->total = (u_int) len;
      chunk->offset = request->offset;
      chunk->data.data_val = (char *) text + request->offset;
      chunk->data.data_len = (u_int) MIN (len - request->offset, CHUNK_BYTES);
      cf_send (core, member, &message);
    }
}

/* Returns the fetched configuration, or NULL if it is not the announced one. */
static struct CfConfig *
assemble (const struct CfCore *core)
{
  const struct CfPull *pull = &core->pull;
  struct CfConfig *config;
  char *text;

  if (pull->base == 0)
    text = g_strdup (pull->data->str);
  else if (core->config && core->config->version == pull->base)
    text = cf_difference_apply (core->config, pull->data->str);
  else
    return NULL;
  config = text ? cf_config_parse (text, NULL) : NULL;
  g_free (text);
  if (config && (config->version != pull->version || config->digest != pull->digest))
    g_clear_pointer (&config, cf_config_unref);
  return config;
}

static void
finish (struct CfCore *core, CfMillis now)
{
  struct CfPull *pull = &core->pull;
  struct CfConfig *config = assemble (core);

  pull->deadline = 0;
  pull->full_text = !config;
  if (config && cf_core_set_config (core, config, now))
    core->out->config_changed (core->context, core->config);
  cf_config_unref (config);
}

void
cf_config_sync_chunk (struct CfCore *core,
                      struct CfMember *member,
                      const peer_config_chunk *chunk,
                      CfMillis now)
{
  struct CfPull *pull = &core->pull;

  if (!pull->deadline || chunk->revision != pull->version || chunk->digest != pull->digest
      || chunk->offset != pull->data->len || chunk->total > CONFIG_BYTES_MAX
      || chunk->offset + chunk->data.data_len > chunk->total)
    return;
  if (chunk->offset > 0 && (chunk->base != pull->base || chunk->total != pull->total))
    return;
  pull->base = chunk->base;
  pull->total = chunk->total;
  g_string_append_len (pull->data, chunk->data.data_val, chunk->data.data_len);
  if (pull->data->len == pull->total)
    finish (core, now);
  else
    send_request (core, member, now);
}

void
cf_config_sync_tick (struct CfCore *core, CfMillis now)
{
  struct CfPull *pull = &core->pull;

  if (!pull->deadline || now < pull->deadline)
    return;
  if (!newer (core, pull->version, pull->digest) || !cf_member (core, pull->member)->alive)
    {
      pull->deadline = 0;
      return;
    }
  send_request (core, cf_member (core, pull->member), now);
}

void
cf_config_sync_clear (struct CfCore *core)
{
  if (core->pull.data)
    g_string_free (core->pull.data, TRUE);
}
