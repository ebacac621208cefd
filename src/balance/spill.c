#include "spill.h"

#include <glib.h>
#include <math.h>

static void
decay (struct CfSpillTally *tally, CfMillis half_life, CfMillis now)
{
  double factor = now > tally->at ? exp2 (-(double) (now - tally->at) / (double) half_life) : 1.0;

  tally->samples *= factor;
  tally->sum *= factor;
  tally->at = MAX (now, tally->at);
}

static void
add (struct CfSpillTally *tally, double wait, CfMillis half_life, CfMillis now)
{
  decay (tally, half_life, now);
  tally->samples++;
  tally->sum += wait;
}

/* Applies the decay of recent waits.  Few answers come from the side that gets few flows: the last
 * CF_SPILL_SAMPLES_MIN of them count until none has come for CF_SPILL_STALE_MS. */
static void
decay_recent (struct CfSpillTally *tally, CfMillis answered_at, CfMillis now)
{
  double samples = MIN (tally->samples, CF_SPILL_SAMPLES_MIN);
  double mean = tally->samples > 0 ? tally->sum / tally->samples : 0;

  decay (tally, CF_SPILL_HALF_LIFE_MS, now);
  if (now - answered_at > CF_SPILL_STALE_MS)
    *tally = (struct CfSpillTally){ .at = now };
  else if (tally->samples < samples)
    *tally = (struct CfSpillTally){ .samples = samples, .sum = samples * mean, .at = now };
}

static double
mean (const struct CfSpillTally *tally)
{
  return tally->samples > 0 ? tally->sum / tally->samples : 0;
}

void
cf_spill_record (struct CfSpill *spill, bool near, double wait, CfMillis now)
{
  struct CfSpillTally *tally = near ? &spill->near_recent : &spill->far_recent;
  CfMillis *answered_at = near ? &spill->near_answered_at : &spill->far_answered_at;
  double limit = CF_SPILL_BEGIN_WAIT_MAX * mean (&spill->near_usual);

  decay_recent (tally, *answered_at, now);
  *answered_at = now;
  tally->samples++;
  tally->sum += wait;
  /* While the usual wait is not known, no spill begins. */
  if (near)
    add (&spill->near_limited, MIN (wait, limit), CF_SPILL_BEGIN_HALF_LIFE_MS, now);
}

/* Adds the recent near wait to the usual one, once for each decision, so that a burst of answers
 * counts by its time and not by their number.  A wait far above the usual one counts in part: the
 * usual wait rises by 0.9% a second at most, and a spill of a minute does not hide the load. */
static void
learn_usual (struct CfSpill *spill, CfMillis now)
{
  double usual = mean (&spill->near_usual);
  double wait = mean (&spill->near_recent);

  if (spill->near_recent.samples < CF_SPILL_SAMPLES_MIN)
    return;
  if (spill->near_usual.samples >= CF_SPILL_USUAL_SAMPLES_MIN)
    wait = MIN (wait, usual * CF_SPILL_USUAL_RISE);
  add (&spill->near_usual, wait, CF_SPILL_USUAL_HALF_LIFE_MS, now);
}

/* Returns true if the near waits of TALLY are above RATIO times the usual ones, by more than the
 * clock and the network alone may cause. */
static bool
above_usual (const struct CfSpill *spill, const struct CfSpillTally *tally, double ratio)
{
  double usual = mean (&spill->near_usual);
  double near = mean (tally);

  return near >= ratio * usual && near >= usual + CF_SPILL_EXCESS_MIN_MS;
}

static bool
may_begin (const struct CfSpill *spill, CfMillis now)
{
  return now >= spill->retry_at && spill->near_usual.samples >= CF_SPILL_USUAL_SAMPLES_MIN
         && spill->near_recent.samples >= CF_SPILL_BEGIN_SAMPLES_MIN
         && spill->near_limited.samples >= CF_SPILL_BEGIN_LIMITED_MIN
         && above_usual (spill, &spill->near_limited, CF_SPILL_BEGIN_RATIO);
}

/* Returns by how much the spill's share changes. */
static double
next_step (const struct CfSpill *spill, CfMillis now)
{
  double near = mean (&spill->near_recent);
  double far = mean (&spill->far_recent);

  if (spill->near_recent.samples < CF_SPILL_SAMPLES_MIN)
    return -CF_SPILL_STEP;
  if (spill->far_recent.samples < CF_SPILL_SAMPLES_MIN)
    return spill->share <= CF_SPILL_FIRST && now - spill->begun_at < CF_SPILL_PROBE_MS
               ? 0
               : -CF_SPILL_STEP;
  if (!above_usual (spill, &spill->near_recent, CF_SPILL_END_RATIO))
    return -CF_SPILL_STEP;
  if (near < CF_SPILL_SHRINK_RATIO * far)
    return -CF_SPILL_BACK_STEP;
  if (!above_usual (spill, &spill->near_recent, CF_SPILL_BEGIN_RATIO))
    return -CF_SPILL_SLOW_STEP;
  return near >= CF_SPILL_GROW_RATIO * far ? CF_SPILL_STEP : 0;
}

double
cf_spill_update (struct CfSpill *spill, CfMillis now)
{
  double before = spill->share;

  if (now - spill->decided_at < CF_SPILL_INTERVAL_MS)
    return spill->share;
  spill->decided_at = now;
  decay_recent (&spill->near_recent, spill->near_answered_at, now);
  decay_recent (&spill->far_recent, spill->far_answered_at, now);
  decay (&spill->near_limited, CF_SPILL_BEGIN_HALF_LIFE_MS, now);
  learn_usual (spill, now);
  if (before <= 0)
    {
      if (!may_begin (spill, now))
        return 0;
      spill->begun_at = now;
      spill->share = CF_SPILL_FIRST;
      return spill->share;
    }
  spill->share = CLAMP (before + next_step (spill, now), 0, CF_SPILL_MAX);
  if (spill->share <= 0)
    spill->retry_at = now + CF_SPILL_RETRY_MS;
  return spill->share;
}

bool
cf_spill_near_has_room (const struct CfSpill *spill, CfMillis now)
{
  return spill->near_usual.samples >= CF_SPILL_USUAL_SAMPLES_MIN
         && spill->near_recent.samples >= CF_SPILL_SAMPLES_MIN
         && now - spill->near_answered_at <= CF_SPILL_HALF_LIFE_MS
         && !above_usual (spill, &spill->near_recent, CF_SPILL_END_RATIO);
}
