#ifndef CF_BALANCE_PACE_H
#define CF_BALANCE_PACE_H

#include "cf_types.h"

#include <glib.h>

/* How quickly each upstream answers, relative to the others of its service.
 *
 * It is designed for upstreams of unequal speed, for some that become slow for seconds, and for
 * queues that form at a part of a service while the rest has free slots.  The wait for the first
 * byte of an answer is divided by the mean wait at the same address (routes differ in their work),
 * and decayed.  This VM sees few answers of one upstream, so that other VMs' reports
 * (load_report.h) are added, and a mean of few samples is moved towards 1.  No I/O. */

/* The weight of a sample halves in this time: an upstream that turns slow is noticed within
 * seconds, and one that recovers gets its share back.  With 3 s an upstream got 1.7 times the mean
 * utilisation for seconds after half of a service had turned slow, and that half had two fifths of
 * its flows 6 s after it had recovered; with 1.5 s 1.5 times, and nine tenths
 * (docs/design/uneven-upstreams.md). */
#define CF_PACE_HALF_LIFE_MS 1500
/* The pace counts as if this many samples of the mean, 1, had been seen, too. */
#define CF_PACE_PRIOR_SAMPLES 2.0
/* A pace within this factor of 1 counts as 1: chance alone moves it this far. */
#define CF_PACE_TOLERANCE 1.5
/* The slowest upstream keeps this share of what it would get if all were equal, so that its
 * recovery is noticed. */
#define CF_PACE_SHARE_MIN 0.05
#define CF_PACE_REMOTE_MAX 24 /* VMs whose samples of one upstream are held */
/* A computed pace is used again for this long unless samples come: it decays by 5% meanwhile. */
#define CF_PACE_CACHE_MS 100
/* Interval at which it is looked at whether a service with an uneven upstream still has one. */
#define CF_PACE_CHECK_MS 500

/* Samples of one upstream, decayed to the time AT. */
struct CfPaceTally
{
  double samples;
  double sum; /* of relative waits */
  CfMillis at;
};

struct CfPaceRemote
{
  uint32_t vm; /* hash of its name */
  struct CfPaceTally tally;
};

/* Of a service: until when the pace of any upstream may be outside the tolerance.  All zero: of
 * none.  A sample or report can only move it later; the directory computes it anew. */
struct CfServicePace
{
  CfMillis uneven_until;
  CfMillis checked_at; /* when it was last computed from all upstreams */
};

/* Of one upstream.  All zero: nothing is known. */
struct CfPace
{
  /* Without further samples and reports, the pace is within the tolerance from then on. */
  CfMillis uneven_until;
  double cached; /* pace at cached_at */
  CfMillis cached_at;
  struct CfPaceTally own;
  GArray *remote;                /* of struct CfPaceRemote; NULL: none */
  struct CfServicePace *service; /* of the upstream's service, NULL: none; borrowed */
};

/* Forgets all samples and reports. */
void cf_pace_clear (struct CfPace *pace);

/* Sets the state of the upstream's service, which is borrowed. */
void cf_pace_set_service (struct CfPace *pace, struct CfServicePace *service);

/* Records an answer that began WAIT after its request, where MEAN (ms, above 0) is usual. */
void cf_pace_record (struct CfPace *pace, CfMillis wait, double mean, CfMillis now);

/* Records a request that the upstream turned away because it was busy: counts as an answer that
 * took twice the present pace, 1 / CF_PACE_SHARE_MIN at most: slower makes no difference, and would
 * delay the recovery. */
void cf_pace_record_shed (struct CfPace *pace, CfMillis now);

/* Replaces what the VM with the hash VM reported at RECEIVED: SAMPLES answers of the mean PACE. */
void
cf_pace_merge (struct CfPace *pace, uint32_t vm, double samples, double mean, CfMillis received);

/* Returns the pace at NOW: 1 for the mean of the service or if nothing is known, 2 for an upstream
 * that takes twice as long. */
double cf_pace_value (const struct CfPace *pace, CfMillis now);

/* Returns 1 if the pace at NOW is within the tolerance, else the pace, at most CF_PACE_CACHE_MS
 * old, without computing the decay each time. */
double cf_pace_cached (struct CfPace *pace, CfMillis now);

/* Returns PACE, or 1 if it is within the tolerance. */
double cf_pace_weight (double pace);

/* Returns the part of new flows that an upstream of this pace should get, relative to one of pace
 * 1: 1 within the tolerance, else inverse to the pace, CF_PACE_SHARE_MIN at least. */
double cf_pace_share (double pace);

/* Writes to SAMPLES and MEAN what this VM itself has seen until NOW.  Returns false if it is less
 * than half a sample. */
bool cf_pace_own (const struct CfPace *pace, CfMillis now, double *samples, double *mean);

#endif
