#include "waiting.h"

#include <string.h>

void
cf_waiting_init (struct CfWaiting *waiting)
{
  waiting->firsts = g_array_new (FALSE, FALSE, sizeof (struct CfWaitingFirst));
}

void
cf_waiting_clear (struct CfWaiting *waiting)
{
  g_clear_pointer (&waiting->firsts, g_array_unref);
}

static struct CfWaitingFirst *
at (const struct CfWaiting *waiting, guint index)
{
  return &g_array_index (waiting->firsts, struct CfWaitingFirst, index);
}

void
cf_waiting_forget (struct CfWaiting *waiting, struct CfEndpoint caller, struct CfEndpoint service)
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
cf_waiting_keep (struct CfWaiting *waiting, const struct CfSegment *segment, CfMillis now)
{
  struct CfWaitingFirst first = { .segment = *segment, .since = now };

  cf_waiting_forget (waiting, segment->caller, segment->service);
  if (segment->size > sizeof first.bytes || waiting->firsts->len == CF_WAITING_MAX)
    return false;
  memcpy (first.bytes, segment->bytes, segment->size);
  g_array_append_val (waiting->firsts, first);
  return true;
}

bool
cf_waiting_take (struct CfWaiting *waiting, struct CfWaitingFirst *first, CfMillis now)
{
  bool found = false;
  guint i;

  for (i = 0; i < waiting->firsts->len && !found; i++)
    {
      *first = *at (waiting, i);
      found = now - first->since < CF_WAITING_LIFE_MS;
    }
  first->segment.bytes = first->bytes;
  g_array_remove_range (waiting->firsts, 0, i);
  return found;
}

bool
cf_waiting_empty (const struct CfWaiting *waiting)
{
  return waiting->firsts->len == 0;
}
