#ifndef CF_BALANCE_STARTUP_QUEUE_H
#define CF_BALANCE_STARTUP_QUEUE_H

#include "connections.h"

/* Queue of first packets that arrive before this VM has synced with the store.
 *
 * A starting VM syncs within tens of milliseconds; the caller would retransmit its first packet
 * only after 200 ms.  No I/O. */

/* Capacity: more than twice the packets that a VM with 100 new flows/s receives in 2 s. */
#define CF_STARTUP_QUEUE_MAX 512
/* Callers abandon a flow that has not opened after this time. */
#define CF_STARTUP_QUEUE_AGE_MAX_MS 1400

struct CfQueuedPacket
{
  struct CfSegment segment; /* its bytes pointer is set by cf_startup_queue_pop */
  CfMillis since;
  uint8_t bytes[CF_FIRST_BYTES_MAX];
};

struct CfStartupQueue
{
  GArray *packets; /* of struct CfQueuedPacket, oldest first */
};

void cf_startup_queue_init (struct CfStartupQueue *queue);
void cf_startup_queue_clear (struct CfStartupQueue *queue);

/* Queues the first packet SEGMENT; a retransmission replaces the earlier copy.  Returns false if it
 * is too long or the queue is full. */
bool
cf_startup_queue_push (struct CfStartupQueue *queue, const struct CfSegment *segment, CfMillis now);

/* Removes the packet of the flow from CALLER to SERVICE, which has opened elsewhere. */
void cf_startup_queue_remove (struct CfStartupQueue *queue,
                              struct CfEndpoint caller,
                              struct CfEndpoint service);

/* Moves the oldest packet that is not expired at NOW to FIRST.  Returns false if there is none. */
bool
cf_startup_queue_pop (struct CfStartupQueue *queue, struct CfQueuedPacket *first, CfMillis now);

bool cf_startup_queue_empty (const struct CfStartupQueue *queue);

#endif
