#include "admission_queue.h"

#include "base/list.h"
#include "load_report.h"

#include <math.h>
#include <string.h>

/* Rounding may leave a sum of parts just below a whole token. */
#define WHOLE_TOKEN (1 - 1e-9)

/* The tokens and the waiting packets of one priority of a service. */
struct Bucket
{
  double tokens; /* below 0: used in advance by more urgent flows */
  double rate;   /* tokens a second */
  CfMillis rate_at;
  bool whole;             /* the whole demand is admitted */
  bool seen;              /* it has had a request */
  struct CfLink waiting;  /* struct Waiting, next one first */
  CfMillis waiting_since; /* since when the list is not empty */
};

struct Service
{
  struct CfLink link; /* in services */
  GQuark name;
  CfMillis filled_at;
  struct Bucket buckets[CF_LOAD_PRIORITIES];
};

struct Waiting
{
  struct CfLink link; /* in the list of its bucket, or in finished */
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
  struct CfLink by_deadline; /* of those in buckets, soonest first */
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
  service->filled_at = now;
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    cf_list_init (&service->buckets[i].waiting);
  cf_list_insert (&queue->services, &service->link);
  return service;
}

static double
bucket_rate (const struct Bucket *bucket, CfMillis now)
{
  return now <= bucket->rate_at + CF_ADMISSION_RATE_AGE_MAX_MS ? bucket->rate : 0;
}

/* Returns the tokens that have come from SINCE to NOW, while the rate was up to date. */
static double
tokens_since (const struct Bucket *bucket, CfMillis since, CfMillis now)
{
  CfMillis end = MIN (now, bucket->rate_at + CF_ADMISSION_RATE_AGE_MAX_MS);

  return bucket->rate * (double) MAX (end - since, 0) / CF_MS_PER_S;
}

static double
bucket_depth (const struct Bucket *bucket)
{
  return bucket->seen ? MAX (bucket->rate * CF_ADMISSION_BURST_MS / CF_MS_PER_S, 1) : 0;
}

/* Adds the tokens of the time since the last call.  What a bucket has no room for goes to the next
 * less urgent one. */
static void
fill (struct Service *service, CfMillis now)
{
  double excess = 0;

  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      struct Bucket *bucket = &service->buckets[i];
      double depth = bucket_depth (bucket);
      double added = tokens_since (bucket, service->filled_at, now);

      /* With no other priority to pay, a debt is a chance deviation from the mean rate: repaid at
       * that rate it would last, and refuse flows of a priority that is admitted whole. */
      if (bucket->whole && bucket->tokens < 0)
        added += MIN (added, -bucket->tokens);
      bucket->tokens += added + excess;
      excess = MAX (bucket->tokens - depth, 0);
      bucket->tokens -= excess;
    }
  service->filled_at = MAX (service->filled_at, now);
}

/* Returns the least urgent priority whose tokens PRIORITY may use.  That of a priority admitted
 * whole is the first that is not: it gets what is left over, and what the others need beyond their
 * own tokens is taken from it.  Those after it have only their floor. */
static uint32_t
last_usable (const struct Service *service, uint32_t priority, CfMillis now)
{
  uint32_t last = priority;

  for (uint32_t i = priority; i < CF_LOAD_PRIORITIES && service->buckets[last].whole; i++)
    if (bucket_rate (&service->buckets[i], now) > 0)
      last = i;
  return last;
}

/* Returns the tokens a second that flows of PRIORITY may use. */
static double
usable_rate (const struct Service *service, uint32_t priority, CfMillis now)
{
  uint32_t last = last_usable (service, priority, now);
  double rate = 0;

  for (uint32_t i = priority; i <= last; i++)
    rate += bucket_rate (&service->buckets[i], now);
  return rate;
}

/* Returns the tokens that flows of PRIORITY may use in advance. */
static double
advance (const struct Service *service, uint32_t priority, CfMillis now)
{
  if (!service->buckets[priority].whole)
    return 0;
  return CF_ADMISSION_ADVANCE_TOKENS
         + usable_rate (service, priority, now) * CF_ADMISSION_ADVANCE_MS / CF_MS_PER_S;
}

/* Returns the tokens that flows of PRIORITY may use now. */
static double
available (const struct Service *service, uint32_t priority, CfMillis now)
{
  uint32_t last = last_usable (service, priority, now);
  double tokens = advance (service, priority, now);

  for (uint32_t i = priority; i <= last; i++)
    tokens += service->buckets[i].tokens;
  return tokens;
}

static void
take_token (struct Service *service, uint32_t priority, CfMillis now)
{
  uint32_t last = last_usable (service, priority, now);
  double need = 1;

  for (uint32_t i = priority; i <= last; i++)
    {
      double part = CLAMP (service->buckets[i].tokens, 0, need);

      service->buckets[i].tokens -= part;
      need -= part;
    }
  service->buckets[last].tokens -= need;
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
      const struct Bucket *bucket = &service->buckets[i];

      if (i < priority && !bucket->whole)
        continue;
      for (struct CfLink *link = bucket->waiting.next; link != &bucket->waiting; link = link->next)
        ahead += i < priority || precedes (CF_LIST_ENTRY (link, struct Waiting, link), caller_use);
    }
  return ahead;
}

/* Returns the hold time of a flow that comes now, less in a standing queue. */
static CfMillis
hold_time (const struct Bucket *bucket, CfMillis hold_ms, CfMillis now)
{
  if (!cf_list_empty (&bucket->waiting) && now - bucket->waiting_since >= CF_ADMISSION_STANDING_MS)
    return hold_ms / CF_ADMISSION_STANDING_DIVISOR;
  return hold_ms;
}

/* Takes WAITING out of its bucket; its end is END. */
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
        if (!cf_list_empty (&service->buckets[i].waiting) && (!least || i > least->priority))
          least = CF_LIST_ENTRY (service->buckets[i].waiting.prev, struct Waiting, link);
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
  struct Bucket *bucket = &service->buckets[priority];
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
  if (cf_list_empty (&bucket->waiting))
    bucket->waiting_since = now;
  for (position = bucket->waiting.next; position != &bucket->waiting; position = position->next)
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

static void
set_rate (struct Bucket *bucket, const struct CfAdmissionRequest *request, CfMillis now)
{
  bucket->rate = isfinite (request->rate) && request->rate > 0 ? request->rate : 0;
  bucket->rate_at = now;
  bucket->whole = request->admitted >= 1;
  if (bucket->seen)
    return;
  bucket->seen = true;
  bucket->tokens += bucket_depth (bucket);
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
  struct Bucket *bucket = &service->buckets[priority];
  CfMillis hold;
  double missing;
  uint32_t ahead;

  fill (service, now);
  set_rate (bucket, request, now);
  if (g_hash_table_contains (queue->flows, &key))
    return CF_ADMISSION_HELD;
  ahead = count_ahead (service, priority, request->caller_use);
  missing = ahead + 1 - available (service, priority, now);
  if (missing <= 1 - WHOLE_TOKEN)
    {
      take_token (service, priority, now);
      return CF_ADMISSION_PLACE;
    }
  hold = hold_time (bucket, request->hold_ms, now);
  /* With a rate of 0 the right side is 0. */
  if (hold <= 0 || missing > usable_rate (service, priority, now) * (double) hold / CF_MS_PER_S)
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

      fill (service, now);
      for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
        {
          if (cf_list_empty (&service->buckets[i].waiting)
              || available (service, i, now) < WHOLE_TOKEN)
            continue;
          take_token (service, i, now);
          finish (queue, CF_LIST_ENTRY (service->buckets[i].waiting.next, struct Waiting, link),
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
      struct Bucket *bucket = &service->buckets[i];

      while (!cf_list_empty (&bucket->waiting))
        finish (queue, CF_LIST_ENTRY (bucket->waiting.next, struct Waiting, link),
                CF_ADMISSION_END_PLACE);
      /* The next overload begins with full buckets. */
      bucket->tokens = 0;
      bucket->seen = false;
      bucket->rate = 0;
    }
  service->filled_at = now;
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

/* Returns when there will be a token for the first waiting packet of PRIORITY. */
static CfMillis
token_due (const struct Service *service, uint32_t priority)
{
  double rate = usable_rate (service, priority, service->filled_at);
  double missing = 1 - available (service, priority, service->filled_at);

  if (rate <= 0)
    return G_MAXINT64;
  return service->filled_at + (CfMillis) ceil (MAX (missing, 0) / rate * CF_MS_PER_S);
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
        if (!cf_list_empty (&service->buckets[i].waiting))
          due = MIN (due, token_due (service, i));
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
