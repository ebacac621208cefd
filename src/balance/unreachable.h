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
 */

/* Number of upstreams of one failure domain with a silent flow, of different callers in a row, with
 * no answer from the domain meanwhile. */
#define CF_UNREACHABLE_UPSTREAMS 3
/* Milliseconds for which a silent flow counts. */
#define CF_UNREACHABLE_FRESH_MS 2000

enum CfUnreachableReason
{
  CF_UNREACHABLE_NOT,    /* no reset */
  CF_UNREACHABLE_GONE,   /* the store has removed its upstream */
  CF_UNREACHABLE_DOMAIN, /* other upstreams of the failure domain are silent, too */
};

const char *cf_unreachable_reason_name (enum CfUnreachableReason reason);

/* What this VM has seen of all upstreams. */
struct CfUnreachable;

struct CfUnreachable *cf_unreachable_new (void);
void cf_unreachable_free (struct CfUnreachable *unreachable);

/* Records that TARGET has answered what was sent on any flow at SENT_AT (-1: not known). */
void cf_unreachable_record_answer (struct CfUnreachable *unreachable,
                                   struct CfTarget *target,
                                   CfMillis sent_at);

/* Records that the data of DELIVERY, a flow of the caller at CALLER_IP to TARGET, was repeated.
 * Counts once for each data. */
void cf_unreachable_record_repeat (struct CfUnreachable *unreachable,
                                   struct CfTarget *target,
                                   struct CfDelivery *delivery,
                                   uint32_t caller_ip,
                                   CfMillis now);

/* Returns why a flow of idempotent requests to TARGET should be reset now that its packet changed
 * DELIVERY by UPDATE.  What UPDATE shows must be recorded before. */
enum CfUnreachableReason cf_unreachable_check (const struct CfUnreachable *unreachable,
                                               const struct CfTarget *target,
                                               const struct CfDelivery *delivery,
                                               const struct CfDeliveryUpdate *update,
                                               CfMillis now);

#endif
