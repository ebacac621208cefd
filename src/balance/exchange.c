#include "exchange.h"

static void
begin_request (struct CfConnections *connections,
               struct CfConnection *connection,
               const struct CfSegment *segment,
               CfMillis stall_ms,
               CfMillis now)
{
  connection->exchange = (struct CfExchange){
    .request_sent = true,
    .request_sent_at = now,
    .stalls_at = now + stall_ms,
    .wait = -1,
    .ack_base = segment->ack,
  };
  cf_connections_await_answer (connections, connection);
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
      if (update.answer_began)
        exchange->wait = update.wait;
      exchange->answered = answered;
      cf_connections_stop_awaiting (connections, connection);
    }
  if (segment->data == 0 || (exchange->request_sent && exchange->answered == 0))
    return update;
  /* Data that follows an answer begins the next request. */
  update.request_ended = exchange->request_sent;
  update.bytes = exchange->answered;
  update.ended_wait = exchange->wait;
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
  const struct CfConnection *next = cf_connections_next_stall (connections);

  return next ? next->exchange.stalls_at : G_MAXINT64;
}

struct CfConnection *
cf_exchange_take_stalled (struct CfConnections *connections, CfMillis now)
{
  struct CfConnection *connection = cf_connections_next_stall (connections);

  if (!connection || now < connection->exchange.stalls_at)
    return NULL;
  connection->exchange.stalled = true;
  cf_connections_stop_awaiting (connections, connection);
  return connection;
}
