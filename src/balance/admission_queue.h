#ifndef CF_BALANCE_ADMISSION_QUEUE_H
#define CF_BALANCE_ADMISSION_QUEUE_H

#include "segment.h"

#include <glib.h>

/* First packets that wait while their service is overloaded, and the rate at which flows are
 * admitted.
 *
 * Each service has a token bucket for each priority, filled at the part of this VM's demand that is
 * admitted (overload.h).  A flow that finds a token goes on at once.  Another one waits if, by the
 * rate and what waits before it, a token will be there within its hold time, and is refused at once
 * otherwise: what can be known to fail is not held.  More urgent flows are served first.  If the
 * whole demand of a priority is admitted, it also uses tokens, and some of the next tokens, of the
 * most urgent priority that is not admitted whole; those below that one are left with their floor,
 * and keep it.  A less urgent flow gets only what a more urgent bucket has no room for.  Flows
 * whose callers have had the least go first within a priority, then those that came first.  No I/O.
 */

/* Waiting packets of all services, of up to 64 bytes each: some 150 KB. */
#define CF_ADMISSION_QUEUE_MAX 512
#define CF_ADMISSION_BYTES_MAX 64
/* Tokens of a bucket at most, as time at its rate, and never less than one token. */
#define CF_ADMISSION_BURST_MS 50
/* Tokens that a priority whose whole demand is admitted may use in advance: so many, and as many as
 * come in this time for it and the priority that pays for them.  A VM with 10 tokens/s would
 * otherwise refuse urgent flows that come close together, and place less urgent ones soon after. */
#define CF_ADMISSION_ADVANCE_TOKENS 4
#define CF_ADMISSION_ADVANCE_MS 200
/* While the queue of a service and priority has not been empty for this long, its hold times are
 * divided by CF_ADMISSION_STANDING_DIVISOR: a standing queue adds waiting and no admissions. */
#define CF_ADMISSION_STANDING_MS 500
#define CF_ADMISSION_STANDING_DIVISOR 4
/* A bucket is no longer filled after this time without a request: its rate is out of date. */
#define CF_ADMISSION_RATE_AGE_MAX_MS 1000
/* Packets that are dropped for more urgent ones from a full queue, and not yet taken, at most. */
#define CF_ADMISSION_DISPLACED_MAX 64

enum CfAdmission
{
  CF_ADMISSION_PLACE,  /* send it on now */
  CF_ADMISSION_HELD,   /* it waits */
  CF_ADMISSION_REFUSE, /* no token will come in time */
  CF_ADMISSION_FULL,   /* the queue is full, or the packet too long to be kept */
};

/* One request to be admitted. */
struct CfAdmissionRequest
{
  const struct CfSegment *segment; /* its first packet */
  GQuark service;
  uint32_t priority; /* 0 is most urgent */
  /* Tokens a second for this priority at this VM: the part admitted x cf_service_loads_demand_rate.
   */
  double rate;
  double admitted;   /* part of the priority's demand that is admitted (overload.h), 0 to 1 */
  double caller_use; /* what the caller has had lately, for the order within a priority */
  CfMillis hold_ms;  /* how long it may wait */
};

struct CfAdmissionQueue;

struct CfAdmissionQueue *cf_admission_queue_new (void);
void cf_admission_queue_free (struct CfAdmissionQueue *queue);

/* Decides about REQUEST at NOW.  A packet of a flow that waits already is not queued twice: the
 * result is CF_ADMISSION_HELD. */
enum CfAdmission cf_admission_request (struct CfAdmissionQueue *queue,
                                       const struct CfAdmissionRequest *request,
                                       CfMillis now);

enum CfAdmissionEnd
{
  CF_ADMISSION_END_NONE,    /* nothing is due */
  CF_ADMISSION_END_PLACE,   /* a token is there for SEGMENT */
  CF_ADMISSION_END_EXPIRED, /* SEGMENT has waited for its hold time, or was displaced */
};

/* A packet that leaves the queue. */
struct CfAdmissionResult
{
  struct CfSegment segment; /* its bytes are in bytes */
  uint8_t bytes[CF_ADMISSION_BYTES_MAX];
  GQuark service;
  uint32_t priority;
  CfMillis waited;
};

/* Takes the next packet that has a token or has expired at NOW.  To be called until it returns
 * CF_ADMISSION_END_NONE. */
enum CfAdmissionEnd
cf_admission_next (struct CfAdmissionQueue *queue, struct CfAdmissionResult *result, CfMillis now);

/* SERVICE is no longer overloaded: all that waits for it gets a token. */
void cf_admission_release (struct CfAdmissionQueue *queue, GQuark service, CfMillis now);

/* The flow of CALLER to the address SERVICE has ended or was opened elsewhere. */
void cf_admission_forget (struct CfAdmissionQueue *queue,
                          struct CfEndpoint caller,
                          struct CfEndpoint service);

/* Returns when cf_admission_next is to be called next, G_MAXINT64 if nothing waits. */
CfMillis cf_admission_due (const struct CfAdmissionQueue *queue);

/* Returns true if the first packet of the flow of CALLER to the address SERVICE waits. */
bool cf_admission_waits (const struct CfAdmissionQueue *queue,
                         struct CfEndpoint caller,
                         struct CfEndpoint service);

/* Returns the number of waiting packets. */
uint32_t cf_admission_waiting (const struct CfAdmissionQueue *queue);

#endif
