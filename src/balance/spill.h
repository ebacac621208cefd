#ifndef CF_BALANCE_SPILL_H
#define CF_BALANCE_SPILL_H

#include "cf_types.h"

/* Which part of a service's new flows goes to other failure domains although the near upstreams are
 * healthy: by the waits for answers that this VM sees near and far.
 *
 * It is designed for callers of one failure domain that send far more than its upstreams can work
 * on while those of other domains have free slots, and for a domain that has lost most of its
 * upstreams.  Near upstreams are preferred otherwise, since bytes between failure domains are dear.
 * A small part goes far first and shows how long flows wait there; the part grows while near ones
 * wait longer by a factor, and shrinks when they no longer do, with hysteresis between.  Each VM
 * decides by its own answers, which come within tens of milliseconds, so that no report can be too
 * old.  No I/O. */

/* The spill begins when near waits are this many times the usual ones, */
#define CF_SPILL_BEGIN_RATIO 2.0
/* grows while near waits are this many times the far ones, */
#define CF_SPILL_GROW_RATIO 1.6
/* and shrinks when they are below this many times the far ones, or below twice the usual ones. */
#define CF_SPILL_SHRINK_RATIO 1.3
#define CF_SPILL_STEP 0.1                 /* of all flows, each interval */
#define CF_SPILL_FIRST 0.05               /* part of the flows with which a spill begins */
#define CF_SPILL_MAX 0.9                  /* some flows stay near, to see how long they wait */
#define CF_SPILL_INTERVAL_MS 100          /* between two decisions */
#define CF_SPILL_HALF_LIFE_MS 200         /* of the waits that are compared */
#define CF_SPILL_USUAL_HALF_LIFE_MS 20000 /* of the usual waits */
/* Answers, decayed, that a comparison needs on each side. */
#define CF_SPILL_SAMPLES_MIN 3.0
/* The last of these count, however few come, until none has come for this long. */
#define CF_SPILL_STALE_MS 1000
/* Near answers, decayed, that the beginning of a spill needs: chance doubles the mean of fewer. */
#define CF_SPILL_BEGIN_SAMPLES_MIN 6.0
/* In the mean that begins a spill, a wait counts as at most this many times the usual one, and no
 * answer may make up more than half of what the mean is above the usual wait.  With BEGIN_RATIO 2
 * an answer adds up to 3.5 - 1, half of the 5 x (2 - 1) that 5 answers need: that many have to be
 * seen.  So (2 - 1) / (3.5 - 1), two fifths, of the answers have to be long. */
#define CF_SPILL_BEGIN_WAIT_MAX 3.5
#define CF_SPILL_BEGIN_LIMITED_MIN 5.0
/* Half-life of that mean: shorter than that of the others, since with limited waits it rises more
 * slowly when a load begins. */
#define CF_SPILL_BEGIN_HALF_LIFE_MS 150
/* Intervals, decayed, from which the usual wait is known.  A VM that starts amid a load has none to
 * compare with, and spills later. */
#define CF_SPILL_USUAL_SAMPLES_MIN 20.0
/* A recent wait counts as at most this many times the usual one when that is updated. */
#define CF_SPILL_USUAL_RISE 1.25
/* A doubling by less than this is left alone: waits are whole milliseconds, and an answer from
 * another failure domain takes 1 to 3 ms longer. */
#define CF_SPILL_EXCESS_MIN_MS 5.0
/* Near waits below this many times the usual ones end the load: the spill shrinks by
 * CF_SPILL_STEP.  Between this and CF_SPILL_BEGIN_RATIO near upstreams are well loaded thanks to
 * the spill, which shrinks by CF_SPILL_SLOW_STEP: a fast return would load them again at once. */
#define CF_SPILL_END_RATIO 1.3
#define CF_SPILL_SLOW_STEP 0.01
/* Step back while far waits are nearly as long: waits lag the share by some 300 ms, and a step as
 * large as that of the growth overshoots to no spill at all. */
#define CF_SPILL_BACK_STEP 0.04
#define CF_SPILL_PROBE_MS 2000 /* a spill that begins waits so long for far answers */
#define CF_SPILL_RETRY_MS 2000 /* between the end of a spill and the next beginning */

/* Decayed sum of waits. */
struct CfSpillTally
{
  double samples;
  double sum;
  CfMillis at;
};

/* State of one service, all zero at first. */
struct CfSpill
{
  struct CfSpillTally near_recent;
  struct CfSpillTally far_recent;
  struct CfSpillTally near_limited; /* waits up to CF_SPILL_BEGIN_WAIT_MAX times the usual one */
  struct CfSpillTally near_usual;   /* a sample is the mean recent wait at a decision */
  CfMillis near_answered_at;
  CfMillis far_answered_at;
  double share; /* part of new flows that goes far, 0 to CF_SPILL_MAX */
  CfMillis begun_at;
  CfMillis retry_at; /* earliest time of the next beginning */
  CfMillis decided_at;
};

/* Records an answer of a near (NEAR) or far upstream after WAIT ms. */
void cf_spill_record (struct CfSpill *spill, bool near, double wait, CfMillis now);

/* Decides anew if CF_SPILL_INTERVAL_MS have passed.  Returns the part of new flows that goes far.
 */
double cf_spill_update (struct CfSpill *spill, CfMillis now);

/* Returns true if flows wait about as long as usual at near upstreams, by what this VM has seen
 * until NOW: then these have room, whatever older reports say. */
bool cf_spill_near_has_room (const struct CfSpill *spill, CfMillis now);

#endif
