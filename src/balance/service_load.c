#include "service_load.h"

#include <math.h>

#define IDLE_MAX_MS 60000
/* The rate with the short half-life counts if it is above the other one by this many standard
 * deviations; by 2 it is 2% of the time without a burst. */
#define BURST_DEVIATIONS 2.0
/* A demand far above the usual one counts in part: a burst raises the usual demand little before it
 * is noticed as an overload.  From this age on a usual demand is known. */
#define USUAL_RISE 1.25
#define USUAL_KNOWN_MS 1000

/* A count of events, decayed to the time AT. */
struct Decayed
{
  double count;
  CfMillis at;
};

struct ServiceLoad
{
  struct Decayed demand[CF_LOAD_PRIORITIES];
  struct Decayed recent_demand[CF_LOAD_PRIORITIES]; /* with the short half-life */
  struct Decayed answered;
  struct Decayed shed;
  uint32_t in_progress;
  double in_progress_mean; /* at in_progress_at */
  CfMillis in_progress_at;
  double usual; /* demand a second */
  CfMillis usual_at;
  CfMillis usual_since; /* 0: nothing was learned yet */
  CfMillis used_at;
};

struct CfServiceLoads
{
  GHashTable *services; /* GQuark to struct ServiceLoad */
};

struct CfServiceLoads *
cf_service_loads_new (void)
{
  struct CfServiceLoads *loads = g_new0 (struct CfServiceLoads, 1);

  loads->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return loads;
}

void
cf_service_loads_free (struct CfServiceLoads *loads)
{
  g_hash_table_unref (loads->services);
  g_free (loads);
}

static struct ServiceLoad *
get_load (struct CfServiceLoads *loads, GQuark service, CfMillis now)
{
  struct ServiceLoad *load = g_hash_table_lookup (loads->services, GUINT_TO_POINTER (service));

  if (!load)
    {
      load = g_new0 (struct ServiceLoad, 1);
      load->in_progress_at = now;
      g_hash_table_insert (loads->services, GUINT_TO_POINTER (service), load);
    }
  load->used_at = now;
  return load;
}

static double
decay_factor (CfMillis since, CfMillis now, CfMillis half_life)
{
  return exp2 (-(double) MAX (now - since, 0) / (double) half_life);
}

static void
count_event (struct Decayed *decayed, CfMillis half_life, CfMillis now)
{
  decayed->count = decayed->count * decay_factor (decayed->at, now, half_life) + 1;
  decayed->at = now;
}

/* Returns events per second: a constant rate r has a decayed count of r x half-life / ln 2. */
static double
decayed_rate (const struct Decayed *decayed, CfMillis half_life, CfMillis now)
{
  if (decayed->count <= 0) /* of most priorities, and of requests that were turned away */
    return 0;
  return decayed->count * decay_factor (decayed->at, now, half_life) * G_LN2 * CF_MS_PER_S
         / (double) half_life;
}

static uint32_t
priority_index (uint32_t priority)
{
  return MIN (priority, CF_LOAD_PRIORITIES - 1);
}

void
cf_service_loads_demand (struct CfServiceLoads *loads,
                         GQuark service,
                         uint32_t priority,
                         CfMillis now)
{
  struct ServiceLoad *load = get_load (loads, service, now);

  count_event (&load->demand[priority_index (priority)], CF_SERVICE_LOAD_HALF_LIFE_MS, now);
  count_event (&load->recent_demand[priority_index (priority)], CF_SERVICE_LOAD_BURST_HALF_LIFE_MS,
               now);
}

static double
progress_mean (const struct ServiceLoad *load, CfMillis now)
{
  return load->in_progress
         + (load->in_progress_mean - load->in_progress)
               * decay_factor (load->in_progress_at, now, CF_SERVICE_LOAD_PROGRESS_HALF_LIFE_MS);
}

void
cf_service_loads_progress (struct CfServiceLoads *loads, GQuark service, bool begin, CfMillis now)
{
  struct ServiceLoad *load = get_load (loads, service, now);

  load->in_progress_mean = progress_mean (load, now);
  load->in_progress_at = now;
  if (begin)
    load->in_progress++;
  else if (load->in_progress > 0) /* 0: it began before its service was pruned */
    load->in_progress--;
}

void
cf_service_loads_answer (struct CfServiceLoads *loads, GQuark service, bool shed, CfMillis now)
{
  struct ServiceLoad *load = get_load (loads, service, now);

  count_event (shed ? &load->shed : &load->answered, CF_SERVICE_LOAD_HALF_LIFE_MS, now);
}

void
cf_service_loads_learn_usual (struct CfServiceLoads *loads, GQuark service, CfMillis now)
{
  struct ServiceLoad *load = get_load (loads, service, now);
  double demand = 0;
  double part;
  CfMillis age;

  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    demand += decayed_rate (&load->demand[i], CF_SERVICE_LOAD_HALF_LIFE_MS, now);
  if (load->usual_since == 0)
    load->usual_since = load->usual_at = now;
  age = now - load->usual_since;
  if (age >= USUAL_KNOWN_MS)
    demand = MIN (demand, load->usual * USUAL_RISE);
  /* At first, the mean of all that was seen. */
  part = 1 - decay_factor (load->usual_at, now, CF_SERVICE_LOAD_USUAL_HALF_LIFE_MS);
  if (age > 0)
    part = MAX (part, (double) (now - load->usual_at) / (double) age);
  load->usual += part * (demand - load->usual);
  load->usual_at = now;
}

bool
cf_service_loads_counts (const struct CfServiceLoads *loads,
                         GQuark service,
                         CfMillis now,
                         struct CfLoadCounts *counts)
{
  const struct ServiceLoad *load
      = g_hash_table_lookup (loads->services, GUINT_TO_POINTER (service));

  *counts = (struct CfLoadCounts){ 0 };
  if (!load)
    return false;
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    counts->demand[i] = decayed_rate (&load->demand[i], CF_SERVICE_LOAD_HALF_LIFE_MS, now);
  counts->answered = decayed_rate (&load->answered, CF_SERVICE_LOAD_HALF_LIFE_MS, now);
  counts->shed = decayed_rate (&load->shed, CF_SERVICE_LOAD_HALF_LIFE_MS, now);
  counts->in_progress = progress_mean (load, now);
  counts->usual = load->usual;
  return true;
}

double
cf_service_loads_demand_rate (const struct CfServiceLoads *loads,
                              GQuark service,
                              uint32_t priority,
                              CfMillis now)
{
  const struct ServiceLoad *load
      = g_hash_table_lookup (loads->services, GUINT_TO_POINTER (service));
  const double memory_s = CF_SERVICE_LOAD_BURST_HALF_LIFE_MS / (G_LN2 * CF_MS_PER_S);
  uint32_t index = priority_index (priority);
  double usual;
  double recent;

  if (!load)
    return 0;
  usual = decayed_rate (&load->demand[index], CF_SERVICE_LOAD_HALF_LIFE_MS, now);
  recent = decayed_rate (&load->recent_demand[index], CF_SERVICE_LOAD_BURST_HALF_LIFE_MS, now);
  /* The variance of a decayed count is half the count. */
  if ((recent - usual) * memory_s > BURST_DEVIATIONS * sqrt (usual * memory_s / 2 + 1))
    return recent;
  return usual;
}

void
cf_service_loads_prune (struct CfServiceLoads *loads, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, loads->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now - ((const struct ServiceLoad *) value)->used_at >= IDLE_MAX_MS)
      g_hash_table_iter_remove (&iter);
}
