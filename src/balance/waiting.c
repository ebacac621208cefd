#include "waiting.h"

#include <string.h>

void
cf_waiting_init (struct CfWaiting *queue)
{
  queue->packets = g_array_new (FALSE, FALSE, sizeof (struct CfWaitingFirst));
}

void
cf_waiting_clear (struct CfWaiting *queue)
{
  g_clear_pointer (&queue->packets, g_array_unref);
}

static struct CfWaitingFirst *
packet_at (const struct CfWaiting *queue, guint index)
{
  return &g_array_index (queue->packets, struct CfWaitingFirst, index);
}

void
cf_waiting_forget (struct CfWaiting *queue, struct CfEndpoint caller, struct CfEndpoint service)
{
  for (guint i = 0; i < queue->packets->len; i++)
    if (cf_endpoint_equal (packet_at (queue, i)->segment.caller, caller)
        && cf_endpoint_equal (packet_at (queue, i)->segment.service, service))
      {
        g_array_remove_index (queue->packets, i);
        return;
      }
}

bool
cf_waiting_keep (struct CfWaiting *queue, const struct CfSegment *segment, CfMillis now)
{
  struct CfWaitingFirst first = { .segment = *segment, .since = now };

  cf_waiting_forget (queue, segment->caller, segment->service);
  if (segment->size > sizeof first.bytes || queue->packets->len == CF_WAITING_MAX)
    return false;
  memcpy (first.bytes, segment->bytes, segment->size);
  g_array_append_val (queue->packets, first);
  return true;
}

bool
cf_waiting_take (struct CfWaiting *queue, struct CfWaitingFirst *first, CfMillis now)
{
  bool found = false;
  guint i;

  for (i = 0; i < queue->packets->len && !found; i++)
    {
      *first = *packet_at (queue, i);
      found = now - first->since < CF_WAITING_LIFE_MS;
    }
  first->segment.bytes = first->bytes;
  g_array_remove_range (queue->packets, 0, i);
  return found;
}

bool
cf_waiting_empty (const struct CfWaiting *queue)
{
  return queue->packets->len == 0;
}
