#include "retry_tracker.h"

/* A caller of one service, with at least one failure. */
struct Caller
{
  uint32_t ip;
  GQuark service;
  GQueue failures; /* of struct Failure, the oldest first */
};

struct Failure
{
  GList by_age;    /* link in the queue of the tracker */
  GList of_caller; /* link in the queue of its caller */
  struct Caller *caller;
  CfMillis at;
};

struct CfRetryTracker
{
  GHashTable *callers; /* set of struct Caller, owned */
  GQueue by_age;       /* of struct Failure, owned, the oldest first */
};

static guint
hash_caller (gconstpointer key)
{
  const struct Caller *caller = key;

  return (caller->ip ^ caller->service * 40503U) * 2654435761U;
}

static gboolean
equal_caller (gconstpointer a, gconstpointer b)
{
  const struct Caller *left = a;
  const struct Caller *right = b;

  return left->ip == right->ip && left->service == right->service;
}

struct CfRetryTracker *
cf_retry_tracker_new (void)
{
  struct CfRetryTracker *tracker = g_new0 (struct CfRetryTracker, 1);

  tracker->callers = g_hash_table_new_full (hash_caller, equal_caller, g_free, NULL);
  g_queue_init (&tracker->by_age);
  return tracker;
}

static void
remove_failure (struct CfRetryTracker *tracker, struct Failure *failure)
{
  g_queue_unlink (&tracker->by_age, &failure->by_age);
  g_queue_unlink (&failure->caller->failures, &failure->of_caller);
  if (g_queue_is_empty (&failure->caller->failures))
    g_hash_table_remove (tracker->callers, failure->caller);
  g_free (failure);
}

static struct Failure *
oldest (struct CfRetryTracker *tracker)
{
  return g_queue_peek_head (&tracker->by_age);
}

void
cf_retry_tracker_free (struct CfRetryTracker *tracker)
{
  while (oldest (tracker))
    remove_failure (tracker, oldest (tracker));
  g_hash_table_unref (tracker->callers);
  g_free (tracker);
}

static void
expire (struct CfRetryTracker *tracker, CfMillis now)
{
  while (oldest (tracker) && now - oldest (tracker)->at > CF_RETRY_TRACKER_MS)
    remove_failure (tracker, oldest (tracker));
}

static struct Caller *
find_caller (const struct CfRetryTracker *tracker, uint32_t ip, GQuark service)
{
  const struct Caller key = { .ip = ip, .service = service };

  return g_hash_table_lookup (tracker->callers, &key);
}

static struct Caller *
get_caller (struct CfRetryTracker *tracker, uint32_t ip, GQuark service)
{
  struct Caller *caller = find_caller (tracker, ip, service);

  if (caller)
    return caller;
  caller = g_new0 (struct Caller, 1);
  caller->ip = ip;
  caller->service = service;
  g_queue_init (&caller->failures);
  g_hash_table_add (tracker->callers, caller);
  return caller;
}

void
cf_retry_tracker_failed (struct CfRetryTracker *tracker, uint32_t ip, GQuark service, CfMillis now)
{
  struct Failure *failure;

  expire (tracker, now);
  if (g_queue_get_length (&tracker->by_age) == CF_RETRY_TRACKER_MAX)
    remove_failure (tracker, oldest (tracker));
  failure = g_new0 (struct Failure, 1);
  failure->caller = get_caller (tracker, ip, service);
  failure->at = now;
  failure->by_age.data = failure;
  failure->of_caller.data = failure;
  g_queue_push_tail_link (&tracker->by_age, &failure->by_age);
  g_queue_push_tail_link (&failure->caller->failures, &failure->of_caller);
}

bool
cf_retry_tracker_match (struct CfRetryTracker *tracker, uint32_t ip, GQuark service, CfMillis now)
{
  struct Caller *caller;

  expire (tracker, now);
  if (!oldest (tracker)) /* nearly always */
    return false;
  caller = find_caller (tracker, ip, service);
  if (!caller)
    return false;
  remove_failure (tracker, g_queue_peek_head (&caller->failures));
  return true;
}
