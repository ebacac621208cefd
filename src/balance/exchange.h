#ifndef CF_BALANCE_EXCHANGE_H
#define CF_BALANCE_EXCHANGE_H

#include "connections.h"

/* Follows the requests of a flow by the caller's packets: data that it sends, and answers that
 * it acknowledges. */

/* SEGMENT of CONNECTION came.  Returns true if a request has ended by it, whose answer had
 * *BYTES. */
bool cf_exchange_follow (struct CfConnections *connections,
                         struct CfConnection *connection,
                         const struct CfSegment *segment,
                         CfMillis now,
                         uint32_t *bytes);

/* The caller ends CONNECTION.  Returns the same. */
bool cf_exchange_end (const struct CfConnection *connection, uint32_t *bytes);

/* Returns the next connection whose request has waited for STALL_MS without a byte of an answer,
 * once for each, or NULL. */
struct CfConnection *
cf_exchange_stalled (struct CfConnections *connections, CfMillis stall_ms, CfMillis now);

#endif
