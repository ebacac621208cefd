#ifndef CF_BALANCE_WAITING_H
#define CF_BALANCE_WAITING_H

#include "connections.h"

/* First packets that came before this VM knew where to send any.
 *
 * A VM that starts hears from the store within tens of milliseconds; a caller would send
 * its first packet again only after 200 ms.  No I/O. */

/* Packets kept: what a VM of a hundred new flows a second gets in 2 s, twice. */
#define CF_WAITING_MAX 512
/* A caller has given a flow up that has not opened for this long. */
#define CF_WAITING_LIFE_MS 1400

struct CfWaitingFirst
{
  struct CfSegment segment; /* its bytes are those below */
  CfMillis since;
  uint8_t bytes[CF_FIRST_BYTES_MAX];
};

struct CfWaiting
{
  GArray *packets; /* of struct CfWaitingFirst, oldest first */
};

void cf_waiting_init (struct CfWaiting *startup_queue);
void cf_waiting_clear (struct CfWaiting *startup_queue);

/* Keeps the first packet SEGMENT; a repetition replaces the packet before.  Returns false if
 * it is too long or there is no room. */
bool
cf_waiting_keep (struct CfWaiting *startup_queue, const struct CfSegment *segment, CfMillis now);

/* The flow from CALLER to SERVICE has opened elsewhere. */
void cf_waiting_forget (struct CfWaiting *startup_queue,
                        struct CfEndpoint caller,
                        struct CfEndpoint service);

/* Moves the oldest packet whose caller still waits at NOW to FIRST.  Returns false if there is
 * none. */
bool cf_waiting_take (struct CfWaiting *startup_queue, struct CfWaitingFirst *first, CfMillis now);

bool cf_waiting_empty (const struct CfWaiting *startup_queue);

#endif
