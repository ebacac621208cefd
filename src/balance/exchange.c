#include "exchange.h"

static void
begin (struct CfConnections *connections,
       struct CfConnection *connection,
       const struct CfSegment *segment,
       CfMillis stall_ms,
       CfMillis now)
{
  struct CfLink *position = &connections->asking;

  connection->exchange = (struct CfExchange){
    .asked = true,
    .request_sent_at = now,
    .stalls_at = now + stall_ms,
    .ack_base = segment->ack,
  };
  cf_list_remove (&connection->asking);
  /* Times differ little, so the place is near the end. */
  while (position->prev != &connections->asking
         && CF_LIST_ENTRY (position->prev, struct CfConnection, asking)->exchange.stalls_at
                > now + stall_ms)
    position = position->prev;
  cf_list_insert (position, &connection->asking);
}

struct CfExchangeUpdate
cf_exchange_update (struct CfConnections *connections,
                    struct CfConnection *connection,
                    const struct CfSegment *segment,
                    CfMillis stall_ms,
                    CfMillis now)
{
  struct CfExchange *exchange = &connection->exchange;
  uint32_t answered = segment->ack - exchange->ack_base;
  struct CfExchangeUpdate news = { 0 };

  /* A packet that was overtaken acknowledges less. */
  if (exchange->asked && answered <= INT32_MAX && answered > exchange->answered)
    {
      news.began = exchange->answered == 0;
      news.wait = now - exchange->request_sent_at;
      exchange->answered = answered;
      cf_list_remove (&connection->asking);
    }
  if (segment->data == 0 || (exchange->asked && exchange->answered == 0))
    return news;
  /* Data after an answer is the next request. */
  news.ended = exchange->asked;
  news.bytes = exchange->answered;
  begin (connections, connection, segment, stall_ms, now);
  return news;
}

bool
cf_exchange_end (const struct CfConnection *connection, uint32_t *bytes)
{
  const struct CfExchange *exchange = &connection->exchange;

  *bytes = exchange->answered;
  return exchange->asked && (exchange->answered > 0 || !exchange->stalled);
}

CfMillis
cf_exchange_next_stall (const struct CfConnections *connections)
{
  if (cf_list_empty (&connections->asking))
    return G_MAXINT64;
  return CF_LIST_ENTRY (connections->asking.next, struct CfConnection, asking)->exchange.stalls_at;
}

struct CfConnection *
cf_exchange_take_stalled (struct CfConnections *connections, CfMillis now)
{
  struct CfConnection *connection;

  if (now < cf_exchange_next_stall (connections))
    return NULL;
  connection = CF_LIST_ENTRY (connections->asking.next, struct CfConnection, asking);
  connection->exchange.stalled = true;
  cf_list_remove (&connection->asking);
  return connection;
}
