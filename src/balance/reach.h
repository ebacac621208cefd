#ifndef CF_BALANCE_REACH_H
#define CF_BALANCE_REACH_H

#include "directory.h"

/* Judges from first packets whether an upstream can be reached from this VM.
 *
 * The first packet of a flow that no packet follows within the usual time is a strike.
 * An upstream with failures gets one flow at a time to try it, after a delay that
 * doubles.  The packet of a tried flow goes to another upstream soon after, so that a
 * wrong suspicion, or a right one, costs a caller milliseconds. */

/* A lost datagram is the usual cause of one strike: it must cost the upstream little. */
#define CF_REACH_RETRY_MIN_MS 200
/* An upstream that is back is found within this time; each VM spends one first packet on
 * each attempt. */
#define CF_REACH_RETRY_MAX_MS 2000

/* Returns true if TARGET may get any flow at NOW as far as this VM can tell. */
bool cf_reach_good (const struct CfReach *reach);

/* Returns true if TARGET is suspected and may be tried with one flow at NOW. */
bool cf_reach_may_try (const struct CfReach *reach, CfMillis now);

/* A flow begins at the upstream. */
void cf_reach_record_attempt (struct CfReach *reach);

/* A flow that began there has opened. */
void cf_reach_record_success (struct CfReach *reach, CfMillis now);

/* What kept the upstream out of reach seems to be over: a strike counts no longer. */
void cf_reach_reset (struct CfReach *reach, CfMillis now);

/* A flow that began there at BEGUN has not opened.  A flow that began before the last
 * confirmation of the upstream says nothing new. */
void cf_reach_record_failure (struct CfReach *reach, CfMillis begun, CfMillis now);

#endif
