#ifndef CF_BALANCE_WAITING_H
#define CF_BALANCE_WAITING_H

#include "connections.h"

/* First packets that came before this VM knew where to send any.
 *
 * A VM that starts hears from the store within tens of milliseconds; a caller would send
 * its first packet again only after 200 ms.  No I/O. */

/* Packets kept: what a VM of a hundred new flows a second gets in 2 s, twice. */
#define CF_STARTUP_QUEUE_MAX 512
/* A caller has given a flow up that has not opened for this long. */
#define CF_STARTUP_QUEUE_AGE_MAX_MS 1400

struct CfQueuedPacket
{
  struct CfSegment segment; /* its bytes are those below */
  CfMillis since;
  uint8_t bytes[CF_FIRST_BYTES_MAX];
};

struct CfStartupQueue
{
  GArray *firsts; /* of struct CfQueuedPacket, oldest first */
};

void cf_startup_queue_init (struct CfStartupQueue *waiting);
void cf_startup_queue_clear (struct CfStartupQueue *waiting);

/* Keeps the first packet SEGMENT; a repetition replaces the packet before.  Returns false if
 * it is too long or there is no room. */
bool cf_startup_queue_push (struct CfStartupQueue *waiting,
                            const struct CfSegment *segment,
                            CfMillis now);

/* The flow from CALLER to SERVICE has opened elsewhere. */
void cf_startup_queue_remove (struct CfStartupQueue *waiting,
                              struct CfEndpoint caller,
                              struct CfEndpoint service);

/* Moves the oldest packet whose caller still waits at NOW to FIRST.  Returns false if there is
 * none. */
bool
cf_startup_queue_pop (struct CfStartupQueue *waiting, struct CfQueuedPacket *first, CfMillis now);

bool cf_startup_queue_empty (const struct CfStartupQueue *waiting);

#endif
