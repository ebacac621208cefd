#include "balance_internal.h"
#include "patience.h"
#include "reach.h"

#include <string.h>

/* First packets: the choice of their upstream, and their time-outs. */

/* Callers retransmit their first packet after 200 ms.  From then on it is not sent to further
 * upstreams on their behalf. */
#define CALLER_REPEATS_MS 190

/* Returns true if this VM has synced with the store and has a manifest. */
static bool
has_started (const struct CfBalance *balance)
{
  return balance->news_at >= 0 && cf_routes_version (balance->routes) > 0;
}

/* The first packet SEGMENT came before the first sync.  Another VM may have synced already; if
 * not, this one does so sooner than the caller retransmits. */
static enum CfFate
await_news (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  struct CfSegment kept = *segment;
  bool sent_to_peer = cf_balance_ask_helper (balance, segment);
  enum CfFate fate = sent_to_peer ? CF_FATE_HANDED_ON : CF_FATE_SILENT_ROUTE;

  if (sent_to_peer)
    kept.flags |= CF_SEGMENT_ASKED;
  if (!(segment->flags & CF_SEGMENT_HANDED)
      && cf_waiting_keep (&balance->startup_queue, &kept, now))
    fate = CF_FATE_WAITING;
  return cf_balance_end (balance, segment, NULL, fate, now);
}

static double
cold_share (const struct CfBalance *balance, GQuark service)
{
  const struct CfServiceTraits *traits = cf_routes_service (balance->routes, service);

  return traits ? traits->cold_per_s / MAX (balance->fleet_size, 1) : 0;
}

/* Returns true if a flow that is placed at NOW may be a trial of a suspected upstream.  A first
 * packet that was already lost once goes to the best upstream instead. */
static bool
may_try (const struct CfBalance *balance, const struct CfConnection *connection, CfMillis now)
{
  return connection->tries == 0
         && (balance->flows_since_try >= CF_PLACE_TRY_EACH
             || now - balance->tried_at >= CF_PLACE_TRY_MS);
}

static struct CfTarget *
choose_target (struct CfBalance *balance,
               const struct CfConnection *connection,
               CfMillis now,
               enum CfPlaceReason *reason)
{
  struct CfPlacement placement = {
    .directory = balance->directory,
    .domain = balance->domain,
    .evacuated = balance->evacuated,
    .cold_share = cold_share (balance, connection->service_name),
    .outages = balance->outages,
    .may_try = may_try (balance, connection, now),
    .random = balance->random,
  };

  return cf_place_flow (&placement, connection->service_name, connection->tried, connection->tries,
                        now, reason);
}

struct CfPatience *
cf_balance_patience (struct CfBalance *balance, const struct CfTarget *target)
{
  return target->domain == balance->domain ? &balance->near_timeout : &balance->far_timeout;
}

/* Sends the first packet BYTES of CONNECTION to the next upstream. */
static bool
try_next (struct CfBalance *balance,
          struct CfConnection *connection,
          const uint8_t *bytes,
          size_t size,
          enum CfFate fate,
          CfMillis now)
{
  enum CfPlaceReason reason;
  struct CfTarget *target = choose_target (balance, connection, now, &reason);

  if (!target)
    return false;
  balance->flows_since_try++;
  if (reason == CF_PLACE_TRY)
    {
      balance->flows_since_try = 0;
      balance->tried_at = now;
    }
  cf_balance_decide (
      balance,
      &(struct CfDecision){
          .fate = fate,
          .caller = connection->caller,
          .service = connection->service,
          .target = target,
          .silent = connection->tries > 0 ? connection->tried[connection->tries - 1] : NULL,
          .reason = reason,
          .tries = connection->tries,
          .manifest_version = cf_routes_version (balance->routes),
          .known_for = now - target->state_since,
          .news_age = cf_balance_news_age (balance, now),
      });
  connection->tried[connection->tries] = target;
  connection->tried_at[connection->tries] = now;
  connection->tries++;
  connection->sent = true;
  cf_connection_move (connection, target);
  cf_reach_begin (&target->reach);
  cf_connections_schedule (&balance->connections, connection,
                           now + cf_patience_ms (cf_balance_patience (balance, target)));
  balance->out->forward (balance->context, bytes, size, target);
  return true;
}

static struct CfConnection *
add_connection (struct CfBalance *balance,
                const struct CfSegment *segment,
                const struct CfRouteEntry *route,
                CfMillis now)
{
  struct CfConnection *connection
      = cf_connections_add (&balance->connections, segment->caller, segment->service, now);

  connection->service_name = cf_route_service (route, segment->caller);
  if (segment->size <= CF_FIRST_BYTES_MAX)
    {
      memcpy (connection->first, segment->bytes, segment->size);
      connection->first_size = segment->size;
    }
  return connection;
}

/* There is no eligible upstream for the flow of SEGMENT.  Refuses it, or hands it on if another VM
 * may know one.  A refusal guarantees that no request was run, so the packet is dropped instead
 * if an upstream may have received it and be about to open the flow. */
static enum CfFate
refuse_unplaced (struct CfBalance *balance,
                 const struct CfSegment *segment,
                 struct CfConnection *connection,
                 CfMillis now)
{
  bool sent = connection->sent || segment->copy > 0 || segment->flags & CF_SEGMENT_ASKED;

  cf_connections_remove (&balance->connections, connection);
  if (!cf_balance_news_fresh (balance, now))
    return cf_balance_hand_on (balance, segment, CF_FATE_SILENT_SERVICE, now);
  return cf_balance_end (balance, segment, NULL,
                         sent ? CF_FATE_SILENT_SERVICE : CF_FATE_RESET_SERVICE, now);
}

enum CfFate
cf_balance_first (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  const struct CfRouteEntry *route = cf_routes_find (balance->routes, segment->service);
  struct CfConnection *connection
      = cf_connections_find (&balance->connections, segment->caller, segment->service);
  enum CfFate fate = segment->copy > 0 ? CF_FATE_REPEATED : CF_FATE_PLACED;

  if (!has_started (balance))
    return await_news (balance, segment, now);
  if (!route && !cf_balance_news_fresh (balance, now))
    return cf_balance_hand_on (balance, segment, CF_FATE_SILENT_ROUTE, now);
  if (!route || route->removed)
    return cf_balance_end (balance, segment, NULL, CF_FATE_RESET_ROUTE, now);
  if (connection && !connection->pending && segment->copy > 0 && connection->target)
    {
      /* The flow has opened since this retransmission was sent. */
      balance->out->forward (balance->context, segment->bytes, segment->size, connection->target);
      return CF_FATE_PASSED;
    }
  if (connection && (!connection->pending || segment->copy == 0))
    {
      cf_connections_remove (&balance->connections, connection);
      connection = NULL;
    }
  if (!connection)
    connection = add_connection (balance, segment, route, now);
  if (connection->tries == CF_TRIES_MAX)
    connection->tries = 0;
  if (try_next (balance, connection, segment->bytes, segment->size, fate, now))
    return fate;
  if (connection->tries > 0)
    {
      /* All upstreams were tried: start over. */
      connection->tries = 0;
      if (try_next (balance, connection, segment->bytes, segment->size, fate, now))
        return fate;
    }
  return refuse_unplaced (balance, segment, connection, now);
}

void
cf_balance_overdue (struct CfBalance *balance, struct CfConnection *connection, CfMillis now)
{
  CfMillis give_up_at = connection->begun_at + CF_PENDING_MAX_MS;
  bool paused = now - connection->due_at > CF_PAUSE_MS;

  if (now >= give_up_at)
    {
      cf_connections_remove (&balance->connections, connection);
      return;
    }
  if (connection->tries > 0 && !paused && connection->due_at < give_up_at)
    {
      struct CfTarget *last = connection->tried[connection->tries - 1];
      bool good = cf_reach_good (&last->reach);

      cf_isolation_lost (&balance->isolation, connection->tried_at[connection->tries - 1], now);
      cf_reach_strike (&last->reach, connection->tried_at[connection->tries - 1], now);
      if (good && !cf_reach_good (&last->reach))
        {
          cf_balance_tell_reach (balance, last);
          if (cf_outages_lost (balance->outages, last->domain))
            cf_balance_tell_outage (balance, last->domain, true);
        }
    }
  if (connection->first_size > 0 && connection->tries < CF_TRIES_MAX
      && now - connection->begun_at < CALLER_REPEATS_MS
      && try_next (balance, connection, connection->first, connection->first_size, CF_FATE_MOVED,
                   now))
    return;
  cf_connection_move (connection, NULL);
  cf_connections_schedule (&balance->connections, connection, give_up_at);
}

void
cf_balance_resume (struct CfBalance *balance, CfMillis now)
{
  struct CfWaitingFirst first;

  if (!has_started (balance))
    return;
  while (cf_waiting_take (&balance->startup_queue, &first, now))
    cf_balance_first (balance, &first.segment, now);
}
