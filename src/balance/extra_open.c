#include "extra_open.h"
#include "retry_budget.h"

#include <string.h>

#define FORGET_MS 60000
/* Old results are halved at this number, so that the judgement follows a change. */
#define JUDGED_MAX (4 * CF_EXTRA_OPEN_JUDGED)

/* Opening times in 1 ms steps.  The last step holds all that are too long for an extra opening. */
struct Window
{
  CfMillis begins;
  uint32_t count;
  uint32_t steps[CF_EXTRA_OPEN_DELAY_MAX_MS + 1];
};

struct Service
{
  struct CfRetryBudget budget;
  struct Window current;
  struct Window previous;
  uint32_t judged; /* extra openings with a result */
  uint32_t won;    /* of these */
  CfMillis paused_until;
  CfMillis used_at; /* last event */
};

struct Upstream
{
  struct CfRetryBudget budget;
  CfMillis used_at;
};

struct CfExtraOpen
{
  double limit;
  GHashTable *services;  /* GQuark to struct Service */
  GHashTable *upstreams; /* cookie to struct Upstream */
};

const char *
cf_extra_open_result_name (enum CfExtraOpenResult result)
{
  static const char *const names[CF_EXTRA_OPEN_COUNT] = {
    [CF_EXTRA_OPEN_SENT] = "sent",     [CF_EXTRA_OPEN_OFF] = "off",
    [CF_EXTRA_OPEN_BUDGET] = "budget", [CF_EXTRA_OPEN_UPSTREAM] = "upstream",
    [CF_EXTRA_OPEN_PAUSED] = "paused",
  };

  return names[result];
}

struct CfExtraOpen *
cf_extra_open_new (double limit)
{
  struct CfExtraOpen *extra = g_new0 (struct CfExtraOpen, 1);

  extra->limit = limit;
  extra->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  extra->upstreams = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return extra;
}

void
cf_extra_open_free (struct CfExtraOpen *extra)
{
  g_hash_table_unref (extra->upstreams);
  g_hash_table_unref (extra->services);
  g_free (extra);
}

static struct Service *
find_service (const struct CfExtraOpen *extra, GQuark name)
{
  return g_hash_table_lookup (extra->services, GUINT_TO_POINTER (name));
}

static struct Service *
get_service (struct CfExtraOpen *extra, GQuark name, CfMillis now)
{
  struct Service *service = find_service (extra, name);

  if (!service)
    {
      service = g_new0 (struct Service, 1);
      cf_retry_budget_init (&service->budget, extra->limit, 0);
      service->current.begins = now;
      g_hash_table_insert (extra->services, GUINT_TO_POINTER (name), service);
    }
  service->used_at = now;
  return service;
}

static struct Upstream *
get_upstream (struct CfExtraOpen *extra, const struct CfTarget *target, CfMillis now)
{
  struct Upstream *upstream
      = g_hash_table_lookup (extra->upstreams, GUINT_TO_POINTER (target->cookie));

  if (!upstream)
    {
      upstream = g_new0 (struct Upstream, 1);
      cf_retry_budget_init (&upstream->budget, CF_EXTRA_OPEN_UPSTREAM_SHARE, 1);
      g_hash_table_insert (extra->upstreams, GUINT_TO_POINTER (target->cookie), upstream);
    }
  upstream->used_at = now;
  return upstream;
}

void
cf_extra_open_record_usual (struct CfExtraOpen *extra, const struct CfTarget *target, CfMillis now)
{
  if (extra->limit <= 0)
    return;
  cf_retry_budget_deposit (&get_service (extra, target->service, now)->budget, now);
  cf_retry_budget_deposit (&get_upstream (extra, target, now)->budget, now);
}

void
cf_extra_open_record_opened (struct CfExtraOpen *extra, GQuark service, CfMillis wait, CfMillis now)
{
  struct Service *entry;

  if (extra->limit <= 0)
    return;
  entry = get_service (extra, service, now);
  if (now - entry->current.begins >= CF_EXTRA_OPEN_WINDOW_MS)
    {
      entry->previous = entry->current;
      memset (&entry->current, 0, sizeof entry->current);
      entry->current.begins = now;
    }
  entry->current.count++;
  entry->current.steps[CLAMP (wait, 0, CF_EXTRA_OPEN_DELAY_MAX_MS)]++;
}

void
cf_extra_open_record_result (struct CfExtraOpen *extra, GQuark service, bool won, CfMillis now)
{
  struct Service *entry;

  if (extra->limit <= 0)
    return;
  entry = get_service (extra, service, now);
  if (now < entry->paused_until)
    return;
  entry->judged++;
  entry->won += won;
  if (entry->judged >= CF_EXTRA_OPEN_JUDGED && entry->won < CF_EXTRA_OPEN_WIN_MIN * entry->judged)
    {
      entry->paused_until = now + CF_EXTRA_OPEN_PAUSE_MS;
      entry->judged = 0;
      entry->won = 0;
    }
  else if (entry->judged >= JUDGED_MAX)
    {
      entry->judged /= 2;
      entry->won /= 2;
    }
}

static bool
is_recent (const struct Window *window, CfMillis now)
{
  return now - window->begins < 2 * CF_EXTRA_OPEN_WINDOW_MS;
}

CfMillis
cf_extra_open_delay (const struct CfExtraOpen *extra, GQuark service, CfMillis now)
{
  static const struct Window none;
  const struct Service *entry = find_service (extra, service);
  const struct Window *current;
  const struct Window *previous;
  uint32_t count;
  uint32_t below = 0;
  CfMillis step = -1;

  if (!entry) /* with a limit of 0, none is recorded */
    return G_MAXINT64;
  current = is_recent (&entry->current, now) ? &entry->current : &none;
  previous = is_recent (&entry->previous, now) ? &entry->previous : &none;
  count = current->count + previous->count;
  if (count < CF_EXTRA_OPEN_SAMPLES_MIN)
    return G_MAXINT64;
  while (below < CF_EXTRA_OPEN_QUANTILE * count)
    {
      step++;
      below += current->steps[step] + previous->steps[step];
    }
  /* A time of STEP ms has ended before STEP + 1. */
  if (step >= CF_EXTRA_OPEN_DELAY_MAX_MS)
    return G_MAXINT64;
  return MAX (step + 1, CF_EXTRA_OPEN_DELAY_MIN_MS);
}

enum CfExtraOpenResult
cf_extra_open_take (struct CfExtraOpen *extra, const struct CfTarget *target, CfMillis now)
{
  struct Service *service;
  struct Upstream *upstream;

  if (cf_extra_open_delay (extra, target->service, now) == G_MAXINT64)
    return CF_EXTRA_OPEN_OFF;
  service = get_service (extra, target->service, now);
  if (now < service->paused_until)
    return CF_EXTRA_OPEN_PAUSED;
  if (!cf_retry_budget_has (&service->budget, now))
    return CF_EXTRA_OPEN_BUDGET;
  upstream = get_upstream (extra, target, now);
  if (!cf_retry_budget_withdraw (&upstream->budget, now))
    return CF_EXTRA_OPEN_UPSTREAM;
  cf_retry_budget_withdraw (&service->budget, now);
  return CF_EXTRA_OPEN_SENT;
}

static gboolean
is_unused_service (gpointer key G_GNUC_UNUSED, gpointer value, gpointer now)
{
  return *(const CfMillis *) now - ((const struct Service *) value)->used_at > FORGET_MS;
}

static gboolean
is_unused_upstream (gpointer key G_GNUC_UNUSED, gpointer value, gpointer now)
{
  return *(const CfMillis *) now - ((const struct Upstream *) value)->used_at > FORGET_MS;
}

void
cf_extra_open_prune (struct CfExtraOpen *extra, CfMillis now)
{
  g_hash_table_foreach_remove (extra->services, is_unused_service, &now);
  g_hash_table_foreach_remove (extra->upstreams, is_unused_upstream, &now);
}

guint
cf_extra_open_size (const struct CfExtraOpen *extra)
{
  return g_hash_table_size (extra->services) + g_hash_table_size (extra->upstreams);
}
