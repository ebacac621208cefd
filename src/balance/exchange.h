#ifndef CF_BALANCE_EXCHANGE_H
#define CF_BALANCE_EXCHANGE_H

#include "connections.h"

/* Follows the requests of a flow by the caller's packets: data that it sends, and answers that
 * it acknowledges. */

/* What a packet tells. */
struct CfExchangeUpdate
{
  bool began; /* the first byte of an answer came WAIT after its request */
  CfMillis wait;
  bool ended; /* a request has ended, whose answer had BYTES */
  uint32_t bytes;
};

/* SEGMENT of CONNECTION came.  A request that begins with it stalls after STALL_MS. */
struct CfExchangeUpdate cf_exchange_update (struct CfConnections *connections,
                                            struct CfConnection *connection,
                                            const struct CfSegment *segment,
                                            CfMillis stall_ms,
                                            CfMillis now);

/* The caller ends CONNECTION.  Returns true if a request ends by that, whose answer had
 * *BYTES. */
bool cf_exchange_end (const struct CfConnection *connection, uint32_t *bytes);

/* Returns when the next request stalls, a long time if none waits. */
CfMillis cf_exchange_next_stall (const struct CfConnections *connections);

/* Returns the next connection whose request has stalled, once for each, or NULL. */
struct CfConnection *cf_exchange_take_stalled (struct CfConnections *connections, CfMillis now);

#endif
