#ifndef CF_BALANCE_EXCHANGE_H
#define CF_BALANCE_EXCHANGE_H

#include "connections.h"

/* Tracks the requests of a flow by the caller's packets: the data that it sends, and the answers
 * that it acknowledges. */

/* What a packet changed. */
struct CfExchangeUpdate
{
  bool answer_began; /* the first byte of an answer came WAIT after its request */
  CfMillis wait;
  bool request_ended; /* a request ended, with an answer of BYTES that began after ENDED_WAIT */
  uint32_t bytes;
  CfMillis ended_wait;
};

/* Updates CONNECTION by its packet SEGMENT.  A request that it begins stalls after STALL_MS. */
struct CfExchangeUpdate cf_exchange_update (struct CfConnections *connections,
                                            struct CfConnection *connection,
                                            const struct CfSegment *segment,
                                            CfMillis stall_ms,
                                            CfMillis now);

/* The caller closes CONNECTION.  Returns true if that ends a request, with an answer of *BYTES. */
bool cf_exchange_end (const struct CfConnection *connection, uint32_t *bytes);

/* Returns when the next request stalls, G_MAXINT64 if none is awaiting an answer. */
CfMillis cf_exchange_next_stall (const struct CfConnections *connections);

/* Returns the next connection whose request has stalled, once for each request, or NULL. */
struct CfConnection *cf_exchange_take_stalled (struct CfConnections *connections, CfMillis now);

#endif
