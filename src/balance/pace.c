#include "pace.h"
#include "load_report.h"

#include <math.h>

/* Returns TALLY with its exponential decay applied up to NOW. */
static struct CfPaceTally
decay (const struct CfPaceTally *tally, CfMillis now)
{
  double factor = now > tally->at ? exp2 (-(double) (now - tally->at) / CF_PACE_HALF_LIFE_MS) : 1.0;

  return (struct CfPaceTally){
    .samples = tally->samples * factor,
    .sum = tally->sum * factor,
    .at = MAX (now, tally->at),
  };
}

void
cf_pace_clear (struct CfPace *pace)
{
  g_clear_pointer (&pace->remote, g_array_unref);
  *pace = (struct CfPace){ .service = pace->service };
}

/* Returns the sum of the VM's own samples and of those in reports at NOW. */
static struct CfPaceTally
sum_samples (const struct CfPace *pace, CfMillis now)
{
  struct CfPaceTally all = decay (&pace->own, now);

  for (guint i = 0; pace->remote && i < pace->remote->len; i++)
    {
      struct CfPaceTally tally
          = decay (&g_array_index (pace->remote, struct CfPaceRemote, i).tally, now);

      all.samples += tally.samples;
      all.sum += tally.sum;
    }
  return all;
}

static double
value (const struct CfPaceTally *all)
{
  return (all->sum + CF_PACE_PRIOR_SAMPLES) / (all->samples + CF_PACE_PRIOR_SAMPLES);
}

/* Returns for how long the pace by the samples ALL stays outside the tolerance.  All samples decay
 * alike while the prior stays, so that the pace only moves towards 1: it reaches the tolerance when
 * the decay equals the inverse of the ratio computed here. */
static CfMillis
uneven_for (const struct CfPaceTally *all)
{
  double slower = all->sum - CF_PACE_TOLERANCE * all->samples;
  double faster = all->samples - CF_PACE_TOLERANCE * all->sum;
  double ratio = MAX (slower, faster) / (CF_PACE_PRIOR_SAMPLES * (CF_PACE_TOLERANCE - 1));

  return ratio > 1 ? (CfMillis) ceil (CF_PACE_HALF_LIFE_MS * log2 (ratio)) : 0;
}

/* Samples or reports have changed. */
static void
update (struct CfPace *pace, CfMillis now)
{
  struct CfPaceTally all = sum_samples (pace, now);

  pace->cached = value (&all);
  pace->cached_at = now;
  pace->uneven_until = now + uneven_for (&all);
  if (pace->service)
    pace->service->uneven_until = MAX (pace->service->uneven_until, pace->uneven_until);
}

void
cf_pace_set_service (struct CfPace *pace, struct CfServicePace *service)
{
  pace->service = service;
  service->uneven_until = MAX (service->uneven_until, pace->uneven_until);
}

static void
add_sample (struct CfPace *pace, double relative_wait, CfMillis now)
{
  pace->own = decay (&pace->own, now);
  pace->own.samples++;
  pace->own.sum += CLAMP (relative_wait, CF_LOAD_PACE_MIN, CF_LOAD_PACE_MAX);
  update (pace, now);
}

void
cf_pace_record (struct CfPace *pace, CfMillis wait, double mean, CfMillis now)
{
  if (mean > 0)
    add_sample (pace, (double) wait / mean, now);
}

void
cf_pace_record_shed (struct CfPace *pace, CfMillis now)
{
  add_sample (pace, MIN (2 * cf_pace_value (pace, now), 1 / CF_PACE_SHARE_MIN), now);
}

/* Returns the entry of VM, or else one that is unused or the oldest. */
static struct CfPaceRemote *
remote_entry (struct CfPace *pace, uint32_t vm)
{
  struct CfPaceRemote *oldest = NULL;

  if (!pace->remote)
    pace->remote = g_array_new (FALSE, TRUE, sizeof (struct CfPaceRemote));
  for (guint i = 0; i < pace->remote->len; i++)
    {
      struct CfPaceRemote *remote = &g_array_index (pace->remote, struct CfPaceRemote, i);

      if (remote->vm == vm)
        return remote;
      if (!oldest || remote->tally.at < oldest->tally.at)
        oldest = remote;
    }
  if (pace->remote->len == CF_PACE_REMOTE_MAX)
    return oldest;
  g_array_set_size (pace->remote, pace->remote->len + 1);
  return &g_array_index (pace->remote, struct CfPaceRemote, pace->remote->len - 1);
}

void
cf_pace_merge (struct CfPace *pace, uint32_t vm, double samples, double mean, CfMillis received)
{
  *remote_entry (pace, vm) = (struct CfPaceRemote){
    .vm = vm,
    .tally = { .samples = samples, .sum = samples * mean, .at = received },
  };
  update (pace, received);
}

double
cf_pace_value (const struct CfPace *pace, CfMillis now)
{
  struct CfPaceTally all = sum_samples (pace, now);

  return value (&all);
}

double
cf_pace_cached (struct CfPace *pace, CfMillis now)
{
  if (now >= pace->uneven_until)
    return 1;
  if (now - pace->cached_at >= CF_PACE_CACHE_MS)
    {
      pace->cached = cf_pace_value (pace, now);
      pace->cached_at = now;
    }
  return pace->cached;
}

double
cf_pace_weight (double pace)
{
  return pace <= CF_PACE_TOLERANCE && pace * CF_PACE_TOLERANCE >= 1 ? 1 : pace;
}

double
cf_pace_share (double pace)
{
  return MAX (1 / cf_pace_weight (pace), CF_PACE_SHARE_MIN);
}

bool
cf_pace_own (const struct CfPace *pace, CfMillis now, double *samples, double *mean)
{
  struct CfPaceTally own = decay (&pace->own, now);

  if (own.samples < 0.5)
    return false;
  *samples = own.samples;
  *mean = own.sum / own.samples;
  return true;
}
