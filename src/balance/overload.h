#ifndef CF_BALANCE_OVERLOAD_H
#define CF_BALANCE_OVERLOAD_H

#include "load_table.h"

/* Decides whether a service is overloaded, and which part of its new flows is admitted meanwhile,
 * by priority and failure domain.
 *
 * It is designed for bursts above what a service's slots can work on, also beside the loss of a
 * part of the upstreams, and for callers of one failure domain that press beyond their share.
 * While there is room all flows are admitted.  An upstream that is full turns requests away after
 * they have waited there, whichever they are; refused here, the caller knows at once, and the
 * more urgent requests keep their way.  No I/O.
 *
 * A service is overloaded if both are seen: requests in progress fill the slots of the upstreams
 * that can be reached, and upstreams turn requests away.  Errors alone are not overload (an
 * upstream that fails has free slots), nor are slow answers alone (nothing is refused then). */

/* Requests in progress for each slot from which a service may be overloaded, and below which it no
 * longer is.  Upstreams queue some requests beyond their slots. */
#define CF_OVERLOAD_ENTER_OCCUPANCY 1.0
#define CF_OVERLOAD_LEAVE_OCCUPANCY 0.8
/* Part of the requests that ended that must have been turned away, and at least so many a second.
 */
#define CF_OVERLOAD_ENTER_SHED 0.03
#define CF_OVERLOAD_SHED_RATE_MIN 2.0
/* The overload ends after this long with lower occupancy, or with all demand admitted and almost
 * none turned away. */
#define CF_OVERLOAD_LEAVE_MS 300
/* Flows are admitted at up to this multiple of the rate that is answered, to find capacity that
 * returns: at the whole of it while nothing is turned away, less as more is, and at the rate that
 * is answered when 1 in 10 is.  In balance, 1 in 20 is turned away. */
#define CF_OVERLOAD_PROBE 1.1
/* Below this occupancy part of the slots is idle at times, so the capacity grows: by
 * CF_OVERLOAD_GROWTH each interval at one request less for each slot, in proportion above.  With a
 * higher one it falls in the same way, down to the answered rate.  The
 * answered rate alone can't show idle slots, since it is never above what is admitted.  Doubling
 * takes 0.7 s, which is about the age of the counts. */
#define CF_OVERLOAD_FILL_OCCUPANCY 2.5
#define CF_OVERLOAD_GROWTH 0.1
/* Default part of the admitted rate that is kept for the priorities below the most urgent one; the
 * same part of the rest is kept for those below the next one, and so on.  What they do not ask for
 * is not kept. */
#define CF_OVERLOAD_FLOOR 0.1
/* An overload that begins this soon after the last one begins with the answered rate: the reports
 * were sent during that one, and show what the upstreams can do. */
#define CF_OVERLOAD_AGAIN_MS 2000
/* What was decided is computed again after this long. */
#define CF_OVERLOAD_INTERVAL_MS 100
/* After a longer time without a decision this VM was paused, which is no evidence of calm. */
#define CF_OVERLOAD_PAUSE_MS 500

/* State of one service, all zero at first. */
struct CfOverload
{
  bool active;
  CfMillis since;      /* when it began */
  CfMillis ended_at;   /* when the last one ended, 0: never */
  CfMillis calm_since; /* while active: since when the conditions to leave hold; 0: they do not */
  CfMillis decided_at;
  double occupancy;                    /* requests in progress for each slot */
  double shed_share;                   /* part of the requests that was turned away */
  double capacity;                     /* flows a second that all VMs together admit */
  double admitted[CF_LOAD_PRIORITIES]; /* part of this domain's demand that is admitted, 0 to 1 */
  CfMillis age;                        /* of the reports that decided */
  uint32_t reporting;                  /* VMs that it rests on, this one included */
};

enum CfOverloadChange
{
  CF_OVERLOAD_SAME,
  CF_OVERLOAD_BEGINS,
  CF_OVERLOAD_ENDS,
};

/* Returns the part of SLOTS, those of all upstreams that may get flows, that falls to the VMs whose
 * counts SUM holds, of FLEET_VMS VMs in all.  A VM that receives no report has the counts of its
 * own failure domain only; against all slots it would never see an overload. */
double cf_overload_slots (const struct CfLoadSum *sum, double slots, uint32_t fleet_vms);

/* Decides anew from SUM, if CF_OVERLOAD_INTERVAL_MS have passed.  SLOTS is the result of
 * cf_overload_slots.  DOMAIN is this VM's failure domain. */
enum CfOverloadChange cf_overload_update (struct CfOverload *overload,
                                          const struct CfLoadSum *sum,
                                          double slots,
                                          GQuark domain,
                                          double floor_share,
                                          CfMillis now);

/* Ends the overload, if there is one: all demand is admitted. */
void cf_overload_end (struct CfOverload *overload);

/* Returns the part of the demand of PRIORITY that is admitted, 1 if there is no overload. */
double cf_overload_admitted (const struct CfOverload *overload, uint32_t priority);

/* Returns true if all demand is admitted, also during an overload. */
bool cf_overload_admits_all (const struct CfOverload *overload);

/* Divides CAPACITY between COUNT claims of the amounts DEMAND by max-min fairness: each gets what
 * it asks for, or a part of what is left in proportion to its WEIGHT (NULL: all alike).  Writes
 * each part to SHARE (0 to 1, 1 for a demand of 0). */
void cf_max_min_shares (
    const double *demand, const double *weight, uint32_t count, double capacity, double *share);

#endif
