#ifndef CF_BALANCE_WAITING_H
#define CF_BALANCE_WAITING_H

#include "connections.h"

/* Queue of first packets that arrive before this VM has synced with the store.
 *
 * A starting VM syncs within tens of milliseconds; the caller would retransmit its first packet
 * only after 200 ms.  No I/O. */

/* Capacity: twice the packets that a VM with 100 new flows/s receives in 2 s. */
#define CF_WAITING_MAX 512
/* Callers abandon a flow that has not opened after this time. */
#define CF_WAITING_LIFE_MS 1400

struct CfWaitingFirst
{
  struct CfSegment segment; /* its bytes pointer is set by cf_waiting_take */
  CfMillis since;
  uint8_t bytes[CF_FIRST_BYTES_MAX];
};

struct CfWaiting
{
  GArray *packets; /* of struct CfWaitingFirst, oldest first */
};

void cf_waiting_init (struct CfWaiting *queue);
void cf_waiting_clear (struct CfWaiting *queue);

/* Queues the first packet SEGMENT; a retransmission replaces the earlier copy.  Returns false if it
 * is too long or the queue is full. */
bool cf_waiting_keep (struct CfWaiting *queue, const struct CfSegment *segment, CfMillis now);

/* Removes the packet of the flow from CALLER to SERVICE, which has opened elsewhere. */
void
cf_waiting_forget (struct CfWaiting *queue, struct CfEndpoint caller, struct CfEndpoint service);

/* Moves the oldest packet that is not expired at NOW to FIRST.  Returns false if there is none. */
bool cf_waiting_take (struct CfWaiting *queue, struct CfWaitingFirst *first, CfMillis now);

bool cf_waiting_empty (const struct CfWaiting *queue);

#endif
