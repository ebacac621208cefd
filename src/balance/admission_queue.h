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
 * otherwise: what can be known to fail is not held.  More urgent flows are served first, and use
 * tokens of less urgent ones if they have none of their own; never the other way round while one of
 * them waits.  Flows whose callers have had the least go first within a priority, then those that
 * came first.  No I/O. */

/* Waiting packets of all services, of up to 64 bytes each: some 100 KB. */
#define CF_ADMISSION_QUEUE_MAX 512
#define CF_ADMISSION_BYTES_MAX 64
/* Tokens of a bucket at most, as time at its rate, and never less than one token. */
#define CF_ADMISSION_BURST_MS 50

enum CfAdmission
{
  CF_ADMISSION_PLACE,  /* send it on now */
  CF_ADMISSION_HELD,   /* it waits */
  CF_ADMISSION_REFUSE, /* no token will come in time */
  CF_ADMISSION_FULL,   /* the queue is full */
};

/* One request to be admitted. */
struct CfAdmissionRequest
{
  const struct CfSegment *segment; /* its first packet */
  GQuark service;
  uint32_t priority; /* 0 is most urgent */
  double rate;       /* tokens a second for this priority of the service at this VM */
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
  CF_ADMISSION_END_EXPIRED, /* SEGMENT has waited for its hold time */
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

/* Returns the number of waiting packets. */
uint32_t cf_admission_waiting (const struct CfAdmissionQueue *queue);

#endif
