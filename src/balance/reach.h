#ifndef CF_BALANCE_REACH_H
#define CF_BALANCE_REACH_H

#include "directory.h"

/* A circuit breaker for each upstream: infers from first packets whether it can be reached from
 * this VM.
 *
 * A first packet that is not followed by a second packet within the time-out is a failure.
 * An upstream with failures is suspected: it gets one flow at a time as a trial, after a delay
 * that doubles with each failure.  The first packet of a failed trial is soon sent to another
 * upstream, so that a trial costs a caller milliseconds. */

/* Short, because a single failure is mostly caused by a lost datagram. */
#define CF_REACH_RETRY_MIN_MS 200
/* The recovery of an upstream is noticed within this time; each trial costs each VM one first
 * packet. */
#define CF_REACH_RETRY_MAX_MS 2000

/* Returns true if the upstream is not suspected. */
static inline bool
cf_reach_good (const struct CfReach *reach)
{
  return reach->failures == 0;
}

/* Returns true if the upstream is suspected and a trial is due at NOW. */
bool cf_reach_may_try (const struct CfReach *reach, CfMillis now);

/* A trial whose outcome is not known after this time has none: its time-out expired while the VM
 * was paused, or its flow was removed.  Longer than a flow takes to open. */
#define CF_REACH_TRIAL_MAX_MS 1500

/* Records that a flow begins at the upstream: a trial if the upstream is suspected. */
void cf_reach_record_attempt (struct CfReach *reach, CfMillis now);

/* Records that a flow has opened at the upstream. */
void cf_reach_record_success (struct CfReach *reach, CfMillis now);

/* Clears the failures: the outage that caused them seems to be over. */
void cf_reach_reset (struct CfReach *reach, CfMillis now);

/* Records that a flow that began at BEGUN has not opened in time.  It does not count if a flow has
 * opened there since BEGUN. */
void cf_reach_record_failure (struct CfReach *reach, CfMillis begun, CfMillis now);

#endif
