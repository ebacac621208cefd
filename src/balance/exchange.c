#include "exchange.h"

static void
begin_request (struct CfConnections *connections,
               struct CfConnection *connection,
               const struct CfSegment *segment,
               CfMillis stall_ms,
               CfMillis now)
{
  struct CfLink *position = &connections->awaiting_answer;

  connection->exchange = (struct CfExchange){
    .request_sent = true,
    .request_sent_at = now,
    .stalls_at = now + stall_ms,
    .ack_base = segment->ack,
  };
  cf_list_remove (&connection->awaiting_answer);
  /* Time-outs differ little, so searching from the end is short. */
  while (position->prev != &connections->awaiting_answer
         && CF_LIST_ENTRY (position->prev, struct CfConnection, awaiting_answer)->exchange.stalls_at
                > now + stall_ms)
    position = position->prev;
  cf_list_insert (position, &connection->awaiting_answer);
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
  struct CfExchangeUpdate update = { 0 };

  /* Ignore acknowledgements of reordered packets. */
  if (exchange->request_sent && answered <= INT32_MAX && answered > exchange->answered)
    {
      update.answer_began = exchange->answered == 0;
      update.wait = now - exchange->request_sent_at;
      exchange->answered = answered;
      cf_list_remove (&connection->awaiting_answer);
    }
  if (segment->data == 0 || (exchange->request_sent && exchange->answered == 0))
    return update;
  /* Data that follows an answer begins the next request. */
  update.request_ended = exchange->request_sent;
  update.bytes = exchange->answered;
  begin_request (connections, connection, segment, stall_ms, now);
  return update;
}

bool
cf_exchange_end (const struct CfConnection *connection, uint32_t *bytes)
{
  const struct CfExchange *exchange = &connection->exchange;

  *bytes = exchange->answered;
  return exchange->request_sent && (exchange->answered > 0 || !exchange->stalled);
}

CfMillis
cf_exchange_next_stall (const struct CfConnections *connections)
{
  if (cf_list_empty (&connections->awaiting_answer))
    return G_MAXINT64;
  return CF_LIST_ENTRY (connections->awaiting_answer.next, struct CfConnection, awaiting_answer)
      ->exchange.stalls_at;
}

struct CfConnection *
cf_exchange_take_stalled (struct CfConnections *connections, CfMillis now)
{
  struct CfConnection *connection;

  if (now < cf_exchange_next_stall (connections))
    return NULL;
  connection
      = CF_LIST_ENTRY (connections->awaiting_answer.next, struct CfConnection, awaiting_answer);
  connection->exchange.stalled = true;
  cf_list_remove (&connection->awaiting_answer);
  return connection;
}
