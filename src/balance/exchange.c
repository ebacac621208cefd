#include "exchange.h"

static void
begin (struct CfConnections *connections,
       struct CfConnection *connection,
       const struct CfSegment *segment,
       CfMillis now)
{
  connection->exchange = (struct CfExchange){
    .asked = true,
    .asked_at = now,
    .ack_before = segment->ack,
  };
  cf_list_remove (&connection->asking);
  cf_list_insert (&connections->asking, &connection->asking);
}

bool
cf_exchange_follow (struct CfConnections *connections,
                    struct CfConnection *connection,
                    const struct CfSegment *segment,
                    CfMillis now,
                    uint32_t *bytes)
{
  struct CfExchange *exchange = &connection->exchange;
  uint32_t answered = segment->ack - exchange->ack_before;
  bool ended;

  /* A packet that was overtaken acknowledges less. */
  if (exchange->asked && answered <= INT32_MAX && answered > exchange->answered)
    {
      exchange->answered = answered;
      cf_list_remove (&connection->asking);
    }
  if (segment->data == 0 || (exchange->asked && exchange->answered == 0))
    return false;
  /* Data after an answer is the next request. */
  ended = exchange->asked;
  *bytes = exchange->answered;
  begin (connections, connection, segment, now);
  return ended;
}

bool
cf_exchange_end (const struct CfConnection *connection, uint32_t *bytes)
{
  const struct CfExchange *exchange = &connection->exchange;

  *bytes = exchange->answered;
  return exchange->asked && (exchange->answered > 0 || !exchange->stalled);
}

struct CfConnection *
cf_exchange_stalled (struct CfConnections *connections, CfMillis stall_ms, CfMillis now)
{
  struct CfConnection *connection;

  if (cf_list_empty (&connections->asking))
    return NULL;
  connection = CF_LIST_ENTRY (connections->asking.next, struct CfConnection, asking);
  if (now - connection->exchange.asked_at < stall_ms)
    return NULL;
  connection->exchange.stalled = true;
  cf_list_remove (&connection->asking);
  return connection;
}
