#include "waiting.h"

#include <string.h>

void
cf_waiting_init (struct CfWaiting *startup_queue)
{
  startup_queue->packets = g_array_new (FALSE, FALSE, sizeof (struct CfWaitingFirst));
}

void
cf_waiting_clear (struct CfWaiting *startup_queue)
{
  g_clear_pointer (&startup_queue->packets, g_array_unref);
}

static struct CfWaitingFirst *
at (const struct CfWaiting *startup_queue, guint index)
{
  return &g_array_index (startup_queue->packets, struct CfWaitingFirst, index);
}

void
cf_waiting_forget (struct CfWaiting *startup_queue,
                   struct CfEndpoint caller,
                   struct CfEndpoint service)
{
  for (guint i = 0; i < startup_queue->packets->len; i++)
    if (cf_endpoint_equal (at (startup_queue, i)->segment.caller, caller)
        && cf_endpoint_equal (at (startup_queue, i)->segment.service, service))
      {
        g_array_remove_index (startup_queue->packets, i);
        return;
      }
}

bool
cf_waiting_keep (struct CfWaiting *startup_queue, const struct CfSegment *segment, CfMillis now)
{
  struct CfWaitingFirst first = { .segment = *segment, .since = now };

  cf_waiting_forget (startup_queue, segment->caller, segment->service);
  if (segment->size > sizeof first.bytes || startup_queue->packets->len == CF_WAITING_MAX)
    return false;
  memcpy (first.bytes, segment->bytes, segment->size);
  g_array_append_val (startup_queue->packets, first);
  return true;
}

bool
cf_waiting_take (struct CfWaiting *startup_queue, struct CfWaitingFirst *first, CfMillis now)
{
  bool found = false;
  guint i;

  for (i = 0; i < startup_queue->packets->len && !found; i++)
    {
      *first = *at (startup_queue, i);
      found = now - first->since < CF_WAITING_LIFE_MS;
    }
  first->segment.bytes = first->bytes;
  g_array_remove_range (startup_queue->packets, 0, i);
  return found;
}

bool
cf_waiting_empty (const struct CfWaiting *startup_queue)
{
  return startup_queue->packets->len == 0;
}
