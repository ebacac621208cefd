#include "internal.h"

/* Sends the entries that are queued in the replication streams.  Only the end marker of a handover
 * waits until everything before it was acknowledged. */

#define BATCH_OVERHEAD_BYTES 112 /* IP, UDP, RPC header, envelope and MAC */
#define ENTRY_BYTES 16
#define BATCH_DELAY_MS 200  /* time between batches while the byte budget is exhausted */
#define URGENT_RESERVE 0.25 /* share of the budget reserved for entries of new flows */

static void
send_batch (struct CfCore *core, struct CfMember *member, struct CfBatch *batch, CfMillis now)
{
  struct peer_message message = { .kind = PEER_ENTRIES };
  peer_entries *entries = &message.peer_message_u.entries;

  batch->sent_at = now;
  entries->seq = batch->seq;
  entries->entries.entries_len = batch->count;
  entries->entries.entries_val = batch->entries;
  core->tokens -= BATCH_OVERHEAD_BYTES + ENTRY_BYTES * batch->count;
  cf_send (core, member, &message);
}

static struct CfBatch *
unused_batch (struct CfStream *stream)
{
  if (!stream->window)
    stream->window = g_new0 (struct CfBatch, CF_BATCH_WINDOW);
  for (int i = 0; i < CF_BATCH_WINDOW; i++)
    if (!stream->window[i].seq)
      return &stream->window[i];
  return NULL;
}

static void
take_urgent (struct CfStream *stream, struct CfBatch *batch)
{
  guint count = MIN (stream->urgent->len, CF_BATCH_ENTRIES);

  for (guint i = 0; i < count; i++)
    batch->entries[batch->count++] = g_array_index (stream->urgent, struct peer_entry, i);
  g_array_remove_range (stream->urgent, 0, count);
}

static void
take_bulk (struct CfStream *stream, struct CfBatch *batch)
{
  while (batch->count < CF_BATCH_ENTRIES && stream->bulk_head < stream->bulk->len)
    {
      struct peer_entry *entry
          = &g_array_index (stream->bulk, struct peer_entry, stream->bulk_head);

      if ((entry->flags & CF_FLOW_HANDOVER_END) && (batch->count > 0 || stream->outstanding > 0))
        break;
      batch->entries[batch->count++] = *entry;
      stream->bulk_head++;
    }
  if (stream->bulk_head == stream->bulk->len)
    {
      g_array_set_size (stream->bulk, 0);
      stream->bulk_head = 0;
    }
}

/* Sends one new batch to MEMBER.  Returns false if there was nothing to send. */
static bool
send_next (struct CfCore *core, struct CfMember *member, CfMillis now)
{
  struct CfStream *stream = &member->stream;
  bool pending = stream->urgent->len > 0 || stream->bulk_head < stream->bulk->len;
  struct CfBatch *batch = pending ? unused_batch (stream) : NULL;

  /* While the budget is exhausted, new flows are gathered into fewer and fuller batches. */
  if (!batch || (core->tokens <= 0 && now - stream->sent_at < BATCH_DELAY_MS))
    return false;
  batch->count = 0;
  if (stream->urgent->len)
    take_urgent (stream, batch);
  if (core->config && core->tokens > core->config->limits.peer_bytes_per_s * URGENT_RESERVE)
    take_bulk (stream, batch);
  if (batch->count == 0)
    return false;
  batch->seq = stream->next_seq++;
  stream->outstanding++;
  stream->sent_at = now;
  send_batch (core, member, batch, now);
  return true;
}

static void
resend (struct CfCore *core, struct CfMember *member, CfMillis now)
{
  for (int i = 0; member->stream.window && i < CF_BATCH_WINDOW; i++)
    {
      struct CfBatch *batch = &member->stream.window[i];

      if (!batch->seq || now - batch->sent_at < CF_RESEND_MS)
        continue;
      core->stats.counter[CF_COUNT_ENTRIES_RESENT] += batch->count;
      send_batch (core, member, batch, now);
    }
}

static void
send_acks (struct CfCore *core, struct CfMember *member, CfMillis now)
{
  struct peer_message message = { .kind = PEER_ENTRIES_ACK };
  peer_entries_ack *ack = &message.peer_message_u.ack;

  if (member->ack_count == 0
      || (now < member->ack_due && member->ack_count < G_N_ELEMENTS (member->acks)))
    return;
  ack->incarnation = member->incarnation;
  ack->seqs.seqs_len = member->ack_count;
  ack->seqs.seqs_val = member->acks;
  cf_send (core, member, &message);
  member->ack_count = 0;
}

static void
refill_tokens (struct CfCore *core, CfMillis now)
{
  double rate = core->config ? core->config->limits.peer_bytes_per_s : 0;

  core->tokens += rate * (double) (now - core->tokens_at) / CF_MS_PER_S;
  core->tokens = MIN (core->tokens, rate);
  core->tokens_at = now;
}

void
cf_streams_flush (struct CfCore *core, CfMillis now)
{
  refill_tokens (core, now);
  for (guint i = 1; i < core->members->len; i++)
    {
      struct CfMember *member = cf_member (core, i);

      if (!member->alive)
        continue;
      resend (core, member, now);
      while (send_next (core, member, now))
        ;
      send_acks (core, member, now);
    }
}
