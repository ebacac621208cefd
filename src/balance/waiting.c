#include "waiting.h"

#include <string.h>

void
cf_startup_queue_init (struct CfStartupQueue *waiting)
{
  waiting->firsts = g_array_new (FALSE, FALSE, sizeof (struct CfQueuedPacket));
}

void
cf_startup_queue_clear (struct CfStartupQueue *waiting)
{
  g_clear_pointer (&waiting->firsts, g_array_unref);
}

static struct CfQueuedPacket *
at (const struct CfStartupQueue *waiting, guint index)
{
  return &g_array_index (waiting->firsts, struct CfQueuedPacket, index);
}

void
cf_startup_queue_remove (struct CfStartupQueue *waiting,
                         struct CfEndpoint caller,
                         struct CfEndpoint service)
{
  for (guint i = 0; i < waiting->firsts->len; i++)
    if (cf_endpoint_equal (at (waiting, i)->segment.caller, caller)
        && cf_endpoint_equal (at (waiting, i)->segment.service, service))
      {
        g_array_remove_index (waiting->firsts, i);
        return;
      }
}

bool
cf_startup_queue_push (struct CfStartupQueue *waiting,
                       const struct CfSegment *segment,
                       CfMillis now)
{
  struct CfQueuedPacket first = { .segment = *segment, .since = now };

  cf_startup_queue_remove (waiting, segment->caller, segment->service);
  if (segment->size > sizeof first.bytes || waiting->firsts->len == CF_STARTUP_QUEUE_MAX)
    return false;
  memcpy (first.bytes, segment->bytes, segment->size);
  g_array_append_val (waiting->firsts, first);
  return true;
}

bool
cf_startup_queue_pop (struct CfStartupQueue *waiting, struct CfQueuedPacket *first, CfMillis now)
{
  bool found = false;
  guint i;

  for (i = 0; i < waiting->firsts->len && !found; i++)
    {
      *first = *at (waiting, i);
      found = now - first->since < CF_STARTUP_QUEUE_AGE_MAX_MS;
    }
  first->segment.bytes = first->bytes;
  g_array_remove_range (waiting->firsts, 0, i);
  return found;
}

bool
cf_startup_queue_empty (const struct CfStartupQueue *waiting)
{
  return waiting->firsts->len == 0;
}
