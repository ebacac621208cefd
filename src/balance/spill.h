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
  struct CfSpillTally near_usual;
  double share; /* part of new flows that goes far, 0 to CF_SPILL_MAX */
  CfMillis decided_at;
};

/* Records an answer of a near (NEAR) or far upstream after WAIT ms. */
void cf_spill_record (struct CfSpill *spill, bool near, double wait, CfMillis now);

/* Decides anew if CF_SPILL_INTERVAL_MS have passed.  Returns the part of new flows that goes far.
 */
double cf_spill_update (struct CfSpill *spill, CfMillis now);

#endif
