#include "internal.h"

/* The state of replication streams: batches of entries to one member, resent until they
 * are acknowledged.  The receiver may apply batches in any order. */

void
cf_stream_init (struct CfStream *stream)
{
  *stream = (struct CfStream){
    .urgent = g_array_new (FALSE, FALSE, sizeof (struct peer_entry)),
    .bulk = g_array_new (FALSE, FALSE, sizeof (struct peer_entry)),
    .next_seq = 1,
  };
}

void
cf_stream_clear (struct CfStream *stream)
{
  g_array_unref (stream->urgent);
  g_array_unref (stream->bulk);
  g_free (stream->window);
}

void
cf_stream_reset (struct CfStream *stream)
{
  uint32_t next_seq = stream->next_seq;

  cf_stream_clear (stream);
  cf_stream_init (stream);
  stream->next_seq = next_seq;
}

bool
cf_stream_idle (const struct CfStream *stream)
{
  return stream->outstanding == 0 && stream->urgent->len == 0
         && stream->bulk_head == stream->bulk->len;
}

GArray *
cf_stream_take_pending (struct CfStream *stream)
{
  GArray *pending = g_array_new (FALSE, FALSE, sizeof (struct peer_entry));

  for (int i = 0; stream->window && i < CF_BATCH_WINDOW; i++)
    if (stream->window[i].seq)
      g_array_append_vals (pending, stream->window[i].entries, stream->window[i].count);
  if (stream->urgent->len)
    g_array_append_vals (pending, stream->urgent->data, stream->urgent->len);
  for (guint i = stream->bulk_head; i < stream->bulk->len; i++)
    g_array_append_val (pending, g_array_index (stream->bulk, struct peer_entry, i));
  cf_stream_reset (stream);
  return pending;
}

void
cf_stream_ack (struct CfStream *stream, const peer_entries_ack *ack)
{
  for (u_int i = 0; i < ack->seqs.seqs_len; i++)
    for (int j = 0; stream->window && j < CF_BATCH_WINDOW; j++)
      if (stream->window[j].seq && stream->window[j].seq == ack->seqs.seqs_val[i])
        {
          stream->window[j].seq = 0;
          stream->outstanding--;
        }
}
