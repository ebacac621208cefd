#include "admission_queue.h"

#include "admission_tokens.h"
#include "base/list.h"
#include "load_report.h"

#include <string.h>

/* Rounding may leave a sum of parts just below a whole token. */
#define WHOLE_TOKEN (1 - 1e-9)

/* The waiting packets of one priority of a service. */
struct Line
{
  struct CfLink waiting;  /* struct Waiting, next one first */
  CfMillis waiting_since; /* since when the list is not empty */
};

struct Service
{
  struct CfLink link; /* in services */
  GQuark name;
  struct CfTokens tokens;
  struct Line lines[CF_LOAD_PRIORITIES];
};

struct Waiting
{
  struct CfLink link; /* in its line, or in finished */
  struct CfLink due;  /* in by_deadline */
  struct CfEndpoint caller;
  struct CfEndpoint address;
  struct CfSegment segment;
  uint8_t bytes[CF_ADMISSION_BYTES_MAX];
  struct Service *service;
  uint32_t priority;
  double caller_use;
  CfMillis since;
  CfMillis deadline;
  enum CfAdmissionEnd end; /* while in finished */
};

struct CfAdmissionQueue
{
  struct CfLink services;
  struct CfLink by_deadline; /* of those in lines, soonest first */
  struct CfLink finished;    /* their end is decided, and they are not yet taken */
  GHashTable *flows;         /* set of struct Waiting, by caller and address */
  uint32_t displaced;        /* in finished, dropped for more urgent ones */
};

static guint
hash_flow (gconstpointer key)
{
  const struct Waiting *waiting = key;

  return cf_endpoint_hash (waiting->caller) * 31 + cf_endpoint_hash (waiting->address);
}

static gboolean
equal_flow (gconstpointer a, gconstpointer b)
{
  const struct Waiting *left = a;
  const struct Waiting *right = b;

  return cf_endpoint_equal (left->caller, right->caller)
         && cf_endpoint_equal (left->address, right->address);
}

struct CfAdmissionQueue *
cf_admission_queue_new (void)
{
  struct CfAdmissionQueue *queue = g_new0 (struct CfAdmissionQueue, 1);

  cf_list_init (&queue->services);
  cf_list_init (&queue->by_deadline);
  cf_list_init (&queue->finished);
  queue->flows = g_hash_table_new_full (hash_flow, equal_flow, g_free, NULL);
  return queue;
}

void
cf_admission_queue_free (struct CfAdmissionQueue *queue)
{
  g_hash_table_unref (queue->flows);
  for (struct CfLink *link = queue->services.next; link != &queue->services;)
    {
      struct Service *service = CF_LIST_ENTRY (link, struct Service, link);

      link = link->next;
      g_free (service);
    }
  g_free (queue);
}

static struct Service *
find_service (const struct CfAdmissionQueue *queue, GQuark name)
{
  for (struct CfLink *link = queue->services.next; link != &queue->services; link = link->next)
    if (CF_LIST_ENTRY (link, struct Service, link)->name == name)
      return CF_LIST_ENTRY (link, struct Service, link);
  return NULL;
}

static struct Service *
get_service (struct CfAdmissionQueue *queue, GQuark name, CfMillis now)
{
  struct Service *service = find_service (queue, name);

  if (service)
    return service;
  service = g_new0 (struct Service, 1);
  service->name = name;
  service->tokens.filled_at = now;
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    cf_list_init (&service->lines[i].waiting);
  cf_list_insert (&queue->services, &service->link);
  return service;
}

/* Returns true if WAITING is to be served before a flow with CALLER_USE that comes now. */
static bool
precedes (const struct Waiting *waiting, double caller_use)
{
  return waiting->caller_use <= caller_use;
}

/* Returns the number of packets that wait for tokens that a flow of PRIORITY with CALLER_USE needs,
 * and that are served before it. */
static uint32_t
count_ahead (const struct Service *service, uint32_t priority, double caller_use)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i <= priority; i++)
    {
      const struct Line *line = &service->lines[i];

      if (i < priority && !service->tokens.buckets[i].whole)
        continue;
      for (struct CfLink *link = line->waiting.next; link != &line->waiting; link = link->next)
        ahead += i < priority || precedes (CF_LIST_ENTRY (link, struct Waiting, link), caller_use);
    }
  return ahead;
}

/* Returns the hold time of a flow that comes now, less in a standing queue. */
static CfMillis
hold_time (const struct Line *line, CfMillis hold_ms, CfMillis now)
{
  if (!cf_list_empty (&line->waiting) && now - line->waiting_since >= CF_ADMISSION_STANDING_MS)
    return hold_ms / CF_ADMISSION_STANDING_DIVISOR;
  return hold_ms;
}

/* Takes WAITING out of its line; its end is END. */
static void
finish (struct CfAdmissionQueue *queue, struct Waiting *waiting, enum CfAdmissionEnd end)
{
  cf_list_remove (&waiting->link);
  cf_list_remove (&waiting->due);
  waiting->end = end;
  cf_list_insert (&queue->finished, &waiting->link);
}

/* Makes room in the full queue for a flow of PRIORITY: ends the wait of the last of the least
 * urgent packets, if that is less urgent. */
static bool
displace (struct CfAdmissionQueue *queue, uint32_t priority)
{
  struct Waiting *least = NULL;

  if (queue->displaced >= CF_ADMISSION_DISPLACED_MAX)
    return false;
  for (struct CfLink *link = queue->services.next; link != &queue->services; link = link->next)
    {
      struct Service *service = CF_LIST_ENTRY (link, struct Service, link);

      for (uint32_t i = priority + 1; i < CF_LOAD_PRIORITIES; i++)
        if (!cf_list_empty (&service->lines[i].waiting) && (!least || i > least->priority))
          least = CF_LIST_ENTRY (service->lines[i].waiting.prev, struct Waiting, link);
    }
  if (!least)
    return false;
  finish (queue, least, CF_ADMISSION_END_EXPIRED);
  queue->displaced++;
  return true;
}

static void
add_waiting (struct CfAdmissionQueue *queue,
             struct Service *service,
             uint32_t priority,
             const struct CfAdmissionRequest *request,
             CfMillis deadline,
             CfMillis now)
{
  struct Line *line = &service->lines[priority];
  struct Waiting *waiting = g_new0 (struct Waiting, 1);
  struct CfLink *position;

  waiting->caller = request->segment->caller;
  waiting->address = request->segment->service;
  waiting->segment = *request->segment;
  memcpy (waiting->bytes, request->segment->bytes, request->segment->size);
  waiting->service = service;
  waiting->priority = priority;
  waiting->caller_use = request->caller_use;
  waiting->since = now;
  waiting->deadline = deadline;
  if (cf_list_empty (&line->waiting))
    line->waiting_since = now;
  for (position = line->waiting.next; position != &line->waiting; position = position->next)
    if (!precedes (CF_LIST_ENTRY (position, struct Waiting, link), request->caller_use))
      break;
  cf_list_insert (position, &waiting->link);
  /* From the end: hold times are alike, so most deadlines come in order. */
  for (position = queue->by_deadline.prev; position != &queue->by_deadline;
       position = position->prev)
    if (CF_LIST_ENTRY (position, struct Waiting, due)->deadline <= deadline)
      break;
  cf_list_insert (position->next, &waiting->due);
  g_hash_table_add (queue->flows, waiting);
}

enum CfAdmission
cf_admission_request (struct CfAdmissionQueue *queue,
                      const struct CfAdmissionRequest *request,
                      CfMillis now)
{
  const struct Waiting key
      = { .caller = request->segment->caller, .address = request->segment->service };
  struct Service *service = get_service (queue, request->service, now);
  uint32_t priority = MIN (request->priority, CF_LOAD_PRIORITIES - 1);
  CfMillis hold;
  double missing;
  uint32_t ahead;

  cf_tokens_fill (&service->tokens, now);
  cf_tokens_set_rate (&service->tokens, priority, request->rate, request->admitted >= 1, now);
  if (g_hash_table_contains (queue->flows, &key))
    return CF_ADMISSION_HELD;
  ahead = count_ahead (service, priority, request->caller_use);
  missing = ahead + 1 - cf_tokens_available (&service->tokens, priority, now);
  if (missing <= 1 - WHOLE_TOKEN)
    {
      cf_tokens_take (&service->tokens, priority, now);
      return CF_ADMISSION_PLACE;
    }
  hold = hold_time (&service->lines[priority], request->hold_ms, now);
  /* With a rate of 0 the right side is 0. */
  if (hold <= 0
      || missing > cf_tokens_rate (&service->tokens, priority, now) * (double) hold / CF_MS_PER_S)
    return CF_ADMISSION_REFUSE;
  if (request->segment->size > CF_ADMISSION_BYTES_MAX)
    return CF_ADMISSION_FULL;
  if (cf_admission_waiting (queue) - queue->displaced >= CF_ADMISSION_QUEUE_MAX
      && !displace (queue, priority))
    return CF_ADMISSION_FULL;
  add_waiting (queue, service, priority, request, now + hold, now);
  return CF_ADMISSION_HELD;
}

/* Decides which packet leaves next, and moves it to finished. */
static void
finish_next (struct CfAdmissionQueue *queue, CfMillis now)
{
  struct Waiting *first = cf_list_empty (&queue->by_deadline)
                              ? NULL
                              : CF_LIST_ENTRY (queue->by_deadline.next, struct Waiting, due);

  if (!first)
    return;
  if (first->deadline < now)
    {
      finish (queue, first, CF_ADMISSION_END_EXPIRED);
      return;
    }
  for (struct CfLink *link = queue->services.next; link != &queue->services; link = link->next)
    {
      struct Service *service = CF_LIST_ENTRY (link, struct Service, link);

      cf_tokens_fill (&service->tokens, now);
      for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
        {
          if (cf_list_empty (&service->lines[i].waiting)
              || cf_tokens_available (&service->tokens, i, now) < WHOLE_TOKEN)
            continue;
          cf_tokens_take (&service->tokens, i, now);
          finish (queue, CF_LIST_ENTRY (service->lines[i].waiting.next, struct Waiting, link),
                  CF_ADMISSION_END_PLACE);
          return;
        }
    }
  if (first->deadline == now)
    finish (queue, first, CF_ADMISSION_END_EXPIRED);
}

static void
remove_waiting (struct CfAdmissionQueue *queue, struct Waiting *waiting)
{
  /* Of the finished ones, only those that were displaced have not reached their end. */
  if (waiting->end == CF_ADMISSION_END_EXPIRED && queue->displaced > 0)
    queue->displaced--;
  cf_list_remove (&waiting->link);
  cf_list_remove (&waiting->due);
  g_hash_table_remove (queue->flows, waiting);
}

enum CfAdmissionEnd
cf_admission_next (struct CfAdmissionQueue *queue, struct CfAdmissionResult *result, CfMillis now)
{
  enum CfAdmissionEnd end;
  struct Waiting *waiting;

  if (cf_list_empty (&queue->finished))
    finish_next (queue, now);
  if (cf_list_empty (&queue->finished))
    return CF_ADMISSION_END_NONE;
  waiting = CF_LIST_ENTRY (queue->finished.next, struct Waiting, link);
  end = waiting->end;
  result->segment = waiting->segment;
  memcpy (result->bytes, waiting->bytes, sizeof result->bytes);
  result->segment.bytes = result->bytes;
  result->service = waiting->service->name;
  result->priority = waiting->priority;
  result->waited = now - waiting->since;
  remove_waiting (queue, waiting);
  return end;
}

void
cf_admission_release (struct CfAdmissionQueue *queue, GQuark name, CfMillis now)
{
  struct Service *service = find_service (queue, name);

  if (!service)
    return;
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      struct Line *line = &service->lines[i];

      while (!cf_list_empty (&line->waiting))
        finish (queue, CF_LIST_ENTRY (line->waiting.next, struct Waiting, link),
                CF_ADMISSION_END_PLACE);
    }
  /* The next overload begins with full buckets. */
  cf_tokens_reset (&service->tokens, now);
}

/* Asked for each packet.  Without overload nothing waits. */
static struct Waiting *
find_waiting (const struct CfAdmissionQueue *queue,
              struct CfEndpoint caller,
              struct CfEndpoint service)
{
  struct Waiting key;

  if (g_hash_table_size (queue->flows) == 0)
    return NULL;
  key.caller = caller;
  key.address = service;
  return g_hash_table_lookup (queue->flows, &key);
}

void
cf_admission_forget (struct CfAdmissionQueue *queue,
                     struct CfEndpoint caller,
                     struct CfEndpoint service)
{
  struct Waiting *waiting = find_waiting (queue, caller, service);

  if (waiting)
    remove_waiting (queue, waiting);
}

CfMillis
cf_admission_due (const struct CfAdmissionQueue *queue)
{
  CfMillis due;

  if (!cf_list_empty (&queue->finished))
    return 0;
  if (cf_list_empty (&queue->by_deadline))
    return G_MAXINT64;
  due = CF_LIST_ENTRY (queue->by_deadline.next, struct Waiting, due)->deadline;
  for (struct CfLink *link = queue->services.next; link != &queue->services; link = link->next)
    {
      const struct Service *service = CF_LIST_ENTRY (link, struct Service, link);

      for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
        if (!cf_list_empty (&service->lines[i].waiting))
          due = MIN (due, cf_tokens_due (&service->tokens, i));
    }
  return due;
}

bool
cf_admission_waits (const struct CfAdmissionQueue *queue,
                    struct CfEndpoint caller,
                    struct CfEndpoint service)
{
  return find_waiting (queue, caller, service) != NULL;
}

uint32_t
cf_admission_waiting (const struct CfAdmissionQueue *queue)
{
  return g_hash_table_size (queue->flows);
}
