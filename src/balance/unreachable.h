#ifndef CF_BALANCE_UNREACHABLE_H
#define CF_BALANCE_UNREACHABLE_H

#include "delivery.h"
#include "directory.h"

/* Decides when an open flow is reset because its upstream cannot be reached.
 *
 * A caller whose upstream was cut off would wait until its deadline, while a request that may be
 * repeated can be served by another upstream.  A flow whose caller sends the same data again
 * without an acknowledgement is called silent.  A wrong reset ends a healthy flow.  So neither one
 * silent flow is enough, nor several of one caller, which may have been paused and not have read
 * what was answered, nor lost first packets, whose time-outs are short and expire when this VM is
 * slow.  Silent flows in two failure domains at once may be caused by this VM's own link, and so
 * may those whose packets were sent after all that has been answered: a queue there delays every
 * flow.  A flow does not count as silent if its failure domain has answered what was sent later:
 * its packet was lost on its way.  It is designed for failure domains that are cut off or lost, and
 * upstreams that the store has removed, under callers that keep their flows open.  It does not act
 * on slow answers.  No I/O.
 *
 * Only upstreams that are ready are evidence against their domain.  One that drains, has lapsed or
 * is gone may have ended, which says nothing about the others there.  So an upstream is no evidence
 * any more once it changes its state, its incarnation or its domain.  Those that have lapsed are
 * evidence for flows to others that have: the domain is cut off, or the store forgot them all.
 * Flows to an upstream that has not been removed may still be silent because of this VM's own link,
 * and keep flows of other domains from being reset.
 *
 * A caller repeats its data after 200 ms and again 400 ms later.  If it repeats before the evidence
 * is complete, its second repeat comes too late for a request that is to be answered within 500 ms.
 * So the reset of a flow for the loss of its domain also resets flows there that were repeated
 * shortly before.  No packet of such a flow is at hand that says that it still waits, so more is
 * needed than for a flow that repeats now: one more caller, no answer in the time in which the
 * repeat would have been answered if it had arrived, and an answer from elsewhere to data that this
 * VM sent after that time.  The last shows that neither the repeat waits on this VM's own link nor
 * its answer in this VM's own queue.  A flow without a second repeat when it is due was
 * acknowledged, or its caller is paused or has gone: it is left alone.  As with flows that repeat
 * now, what a domain does after its return counts only once it has answered.
 */

/* Number of upstreams of one failure domain with a silent flow, of different callers in a row, with
 * no answer from the domain meanwhile. */
#define CF_UNREACHABLE_UPSTREAMS 3
/* Number of callers with a silent flow to the domain, with no answer from the domain meanwhile, for
 * a flow that does not repeat its data now. */
#define CF_UNREACHABLE_CALLERS CF_SILENCE_CALLERS
/* Milliseconds from a repeat to the data whose answer shows that the repeat would have been
 * answered.  Flows of services that usually take longer are not reset before their next repeat. */
#define CF_UNREACHABLE_CONFIRM_MS 100
/* Milliseconds after its repeat for which a flow may be reset without a second repeat: less than
 * the 400 ms after which that is due, and hardly longer ago than a flow that repeats now has sent
 * its data.  The longer, the more flows are reset whose domain has returned meanwhile. */
#define CF_UNREACHABLE_WAIT_MS 250
/* Milliseconds for which a silent flow counts. */
#define CF_UNREACHABLE_FRESH_MS 2000

enum CfUnreachableReason
{
  CF_UNREACHABLE_NOT,     /* no reset */
  CF_UNREACHABLE_GONE,    /* the store has removed its upstream */
  CF_UNREACHABLE_DOMAIN,  /* other upstreams of the failure domain are silent, too */
  CF_UNREACHABLE_EARLIER, /* the same, found after the flow's last repeat */
};

const char *cf_unreachable_reason_name (enum CfUnreachableReason reason);

/* What this VM has seen of all upstreams. */
struct CfUnreachable;

struct CfUnreachable *cf_unreachable_new (void);
void cf_unreachable_free (struct CfUnreachable *unreachable);

/* Records that TARGET was seen at NOW to have answered what was sent on any flow at SENT_AT (-1:
 * not known). */
void cf_unreachable_record_answer (struct CfUnreachable *unreachable,
                                   struct CfTarget *target,
                                   CfMillis sent_at,
                                   CfMillis now);

/* Returns when an answer from DOMAIN was last seen, -1: never.  For the log only. */
CfMillis cf_unreachable_domain_heard_at (const struct CfUnreachable *unreachable, GQuark domain);

/* Records that the data of DELIVERY, a flow of the caller at CALLER_IP to TARGET, was repeated.
 * Counts once for each data. */
void cf_unreachable_record_repeat (struct CfUnreachable *unreachable,
                                   struct CfTarget *target,
                                   struct CfDelivery *delivery,
                                   uint32_t caller_ip,
                                   CfMillis now);

/* Drops what was recorded of the silence of TARGET: it may have ended. */
void cf_unreachable_forget (struct CfTarget *target);

/* Returns why a flow of idempotent requests to TARGET should be reset now that its packet changed
 * DELIVERY by UPDATE.  What UPDATE shows must be recorded before. */
enum CfUnreachableReason cf_unreachable_check (const struct CfUnreachable *unreachable,
                                               const struct CfTarget *target,
                                               const struct CfDelivery *delivery,
                                               const struct CfDeliveryUpdate *update,
                                               CfMillis now);

/* Returns true if flows to DOMAIN that repeated their data earlier may be reset, too, now that one
 * is for CF_UNREACHABLE_DOMAIN: enough callers have a silent flow there. */
bool cf_unreachable_domain_confirmed (const struct CfUnreachable *unreachable, GQuark domain);

/* Returns true if it is too early to know whether the repeat of DELIVERY, and all later ones,
 * should have been answered. */
bool cf_unreachable_answer_not_due (const struct CfUnreachable *unreachable,
                                    const struct CfDelivery *delivery);

/* Returns true if a flow of idempotent requests to TARGET, with DELIVERY, should be reset, too, by
 * its own state: its domain must be confirmed, and its answer due.  Answers of its service usually
 * begin after USUAL_WAIT_MS (0: not known). */
bool cf_unreachable_check_earlier (const struct CfUnreachable *unreachable,
                                   const struct CfTarget *target,
                                   const struct CfDelivery *delivery,
                                   double usual_wait_ms,
                                   CfMillis now);

#endif
