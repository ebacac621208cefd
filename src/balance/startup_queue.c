#include "startup_queue.h"

#include <string.h>

void
cf_startup_queue_init (struct CfStartupQueue *queue)
{
  queue->packets = g_array_new (FALSE, FALSE, sizeof (struct CfQueuedPacket));
}

void
cf_startup_queue_clear (struct CfStartupQueue *queue)
{
  g_clear_pointer (&queue->packets, g_array_unref);
}

static struct CfQueuedPacket *
packet_at (const struct CfStartupQueue *queue, guint index)
{
  return &g_array_index (queue->packets, struct CfQueuedPacket, index);
}

void
cf_startup_queue_remove (struct CfStartupQueue *queue,
                         struct CfEndpoint caller,
                         struct CfEndpoint service)
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
cf_startup_queue_push (struct CfStartupQueue *queue, const struct CfSegment *segment, CfMillis now)
{
  struct CfQueuedPacket first = { .segment = *segment, .since = now };

  cf_startup_queue_remove (queue, segment->caller, segment->service);
  if (segment->size > sizeof first.bytes || queue->packets->len == CF_STARTUP_QUEUE_MAX)
    return false;
  memcpy (first.bytes, segment->bytes, segment->size);
  g_array_append_val (queue->packets, first);
  return true;
}

bool
cf_startup_queue_pop (struct CfStartupQueue *queue, struct CfQueuedPacket *first, CfMillis now)
{
  bool found = false;
  guint i;

  for (i = 0; i < queue->packets->len && !found; i++)
    {
      *first = *packet_at (queue, i);
      found = now - first->since < CF_STARTUP_QUEUE_AGE_MAX_MS;
    }
  first->segment.bytes = first->bytes;
  g_array_remove_range (queue->packets, 0, i);
  return found;
}

bool
cf_startup_queue_empty (const struct CfStartupQueue *queue)
{
  return queue->packets->len == 0;
}
