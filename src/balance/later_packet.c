#include "balance_internal.h"
#include "exchange.h"
#include "open_timeout.h"
#include "reach.h"

/* Packets after the first: forwarding by cookie, and what they show about upstreams. */

/* Upstreams of DOMAIN can be reached again: the failures recorded during the outage are cleared,
 * so that all of them are used at once. */
static void
end_outage (struct CfBalance *balance, GQuark domain, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cf_directory_all (balance->directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct CfTarget *) value)->domain == domain)
      cf_reach_reset (&((struct CfTarget *) value)->reach, now);
  cf_balance_notify_outage (balance, domain, false);
}

/* Returns when the first packet of CONNECTION was sent to TARGET, -1 if this VM did not send it. */
static CfMillis
first_sent_at (const struct CfConnection *connection, const struct CfTarget *target)
{
  for (uint32_t i = 0; i < connection->tries; i++)
    if (connection->tried[i] == target)
      return connection->tried_at[i];
  return -1;
}

/* The flow CONNECTION has opened at TARGET: its second packet carries the cookie of TARGET. */
static void
opened (struct CfBalance *balance,
        struct CfConnection *connection,
        struct CfTarget *target,
        CfMillis now)
{
  bool suspected = !cf_reach_good (&target->reach);
  CfMillis sent_at = first_sent_at (connection, target);

  cf_isolation_record_open (&balance->isolation);
  cf_unreachable_record_answer (balance->unreachable, target, sent_at, now);
  for (uint32_t i = 0; i < connection->tries; i++)
    if (connection->tried[i] == target
        && (i + 1 == connection->tries || i + 1 == connection->extra))
      cf_open_timeout_update (cf_balance_open_timeout (balance, target),
                              now - connection->tried_at[i]);
  if (sent_at >= 0)
    cf_extra_open_record_opened (balance->extra_open, target->service, now - sent_at, now);
  if (connection->extra > 0)
    cf_extra_open_record_result (balance->extra_open, target->service,
                                 connection->tried[connection->extra] == target, now);
  cf_reach_record_success (&target->reach, now);
  if (suspected)
    cf_balance_notify_reach (balance, target);
  if (cf_outages_record_answer (balance->outages, target->domain))
    end_outage (balance, target->domain, now);
  cf_connection_set_target (connection, target);
  connection->opened_here = sent_at >= 0;
  if (balance->out->opened)
    balance->out->opened (balance->context, target->service, now - connection->begun_at);
}

static bool
route_leads_to (const struct CfRouteEntry *route, GQuark service)
{
  for (uint32_t i = 0; i < route->split_count; i++)
    if (route->splits[i].service == service)
      return true;
  return false;
}

static void
notify_failing (struct CfBalance *balance, const struct CfTarget *target)
{
  if (balance->out->failing)
    balance->out->failing (balance->context, target);
}

/* A request of CONNECTION to TARGET has ended, or has stalled, with BYTES of an answer, which began
 * after WAIT. */
static void
record_response (struct CfBalance *balance,
                 const struct CfConnection *connection,
                 struct CfTarget *target,
                 uint32_t bytes,
                 CfMillis wait,
                 CfMillis now)
{
  GPtrArray *siblings = cf_directory_service (balance->directory, target->service);

  /* An upstream without a free slot does not fail. */
  if (balance->admission
      && cf_balance_record_answer (balance, connection, target, bytes, wait, now))
    return;
  if (cf_outlier_record_response (balance->outlier_detector, target, siblings, connection->service,
                                  bytes, now))
    notify_failing (balance, target);
}

void
cf_balance_receive_report (struct CfBalance *balance,
                           const struct CfQualityReport *report,
                           CfMillis now)
{
  for (uint32_t i = 0; i < report->count; i++)
    {
      const struct CfQualityLine *line = &report->lines[i];
      struct CfTarget *target = cf_directory_by_id (balance->directory, line->id);

      if (target
          && cf_outlier_merge_report (balance->outlier_detector, target,
                                      cf_directory_service (balance->directory, target->service),
                                      report->vm, line, now))
        notify_failing (balance, target);
    }
}

bool
cf_balance_report (struct CfBalance *balance, struct CfQualityReport *report, CfMillis now)
{
  return cf_outlier_report (balance->outlier_detector, balance->directory, report, now);
}

/* Updates the open CONNECTION by SEGMENT, which was forwarded to TARGET. */
static void
track_request (struct CfBalance *balance,
               struct CfConnection *connection,
               const struct CfSegment *segment,
               struct CfTarget *target,
               CfMillis now)
{
  /* Only a packet with data begins a request. */
  CfMillis stall_ms = segment->data > 0
                          ? cf_outlier_stall_ms (balance->outlier_detector, connection->service)
                          : 0;
  struct CfExchangeUpdate update
      = cf_exchange_update (&balance->connections, connection, segment, stall_ms, now);
  uint32_t bytes;

  if (update.answer_began)
    cf_outlier_record_first_byte (balance->outlier_detector, connection->service, update.wait);
  if (update.request_ended)
    record_response (balance, connection, target, update.bytes, update.ended_wait, now);
  if (!(segment->flags & (CF_SEGMENT_FIN | CF_SEGMENT_RST)))
    {
      cf_connections_touch (&balance->connections, connection, now);
      return;
    }
  if (cf_exchange_end (connection, &bytes))
    record_response (balance, connection, target, bytes, connection->exchange.wait, now);
  cf_connections_remove (&balance->connections, connection);
}

/* Adds an open flow that another VM has placed: the fabric has moved it to this one. */
static struct CfConnection *
track_moved_flow (struct CfBalance *balance,
                  const struct CfSegment *segment,
                  struct CfTarget *target,
                  CfMillis now)
{
  struct CfConnection *connection
      = cf_connections_add (&balance->connections, segment->caller, segment->service, now);

  connection->service_name = target->service;
  cf_connection_set_target (connection, target);
  cf_connections_touch (&balance->connections, connection, now);
  return connection;
}

/* Returns the upstream that SEGMENT of the flow CONNECTION (NULL: not known) is for, or NULL.  If
 * this VM has sent its first packet, that may be another one than its cookie names by now. */
static struct CfTarget *
find_target (const struct CfBalance *balance,
             const struct CfConnection *connection,
             const struct CfSegment *segment)
{
  struct CfTarget *target = cf_directory_first_by_cookie (balance->directory, segment->cookie);

  for (; target && connection && connection->pending; target = target->next_of_cookie)
    if (first_sent_at (connection, target) >= 0)
      return target;
  if (connection && connection->opened_here && connection->target->cookie == segment->cookie)
    return connection->target;
  return cf_directory_by_cookie (balance->directory, segment->cookie);
}

/* Returns why the flow CONNECTION should be reset instead of forwarding SEGMENT to TARGET. */
static enum CfUnreachableReason
check_unreachable (struct CfBalance *balance,
                   const struct CfRouteEntry *route,
                   struct CfConnection *connection,
                   const struct CfSegment *segment,
                   struct CfTarget *target,
                   CfMillis now)
{
  struct CfDeliveryUpdate update = cf_delivery_update (&connection->delivery, segment, now);

  if (update.answered)
    cf_unreachable_record_answer (balance->unreachable, target, update.sent_at, now);
  if (update.repeated)
    {
      if (!cf_directory_replaced (balance->directory, target))
        cf_unreachable_record_repeat (balance->unreachable, target, &connection->delivery,
                                      segment->caller.ip, now);
      cf_connections_add_silent (&balance->connections, connection);
    }
  /* A request that must not run twice is not repeated after a reset; its answer may still come. */
  if (!route || !route->idempotent)
    return CF_UNREACHABLE_NOT;
  return cf_unreachable_check (balance->unreachable, target, &connection->delivery, &update, now);
}

/* Returns the time since HEARD_AT, -1 if that is: never. */
static CfMillis
heard_age (CfMillis heard_at, CfMillis now)
{
  return heard_at >= 0 ? now - heard_at : -1;
}

static void
reset_unreachable (struct CfBalance *balance,
                   struct CfConnection *connection,
                   const struct CfSegment *segment,
                   const struct CfTarget *target,
                   enum CfUnreachableReason evidence,
                   CfMillis now)
{
  CfMillis domain_heard_at = cf_unreachable_domain_heard_at (balance->unreachable, target->domain);

  balance->out->reset (balance->context, segment);
  cf_balance_report_decision (balance, &(struct CfDecision){
                                           .outcome = CF_OUTCOME_RESET_UNREACHABLE,
                                           .caller = segment->caller,
                                           .service = segment->service,
                                           .target = target,
                                           .reason = CF_PLACE_NONE,
                                           .evidence = evidence,
                                           .manifest_version = cf_routes_version (balance->routes),
                                           .state_age = now - target->state_since,
                                           .sync_age = cf_balance_sync_age (balance, now),
                                           .upstream_heard_age = heard_age (target->heard_at, now),
                                           .domain_heard_age = heard_age (domain_heard_at, now),
                                       });
  cf_connections_remove (&balance->connections, connection);
}

static bool
should_reset_earlier (const struct CfBalance *balance,
                      const struct CfConnection *connection,
                      GQuark domain,
                      CfMillis now)
{
  const struct CfRouteEntry *route = cf_routes_find (balance->routes, connection->service);

  if (!route || !route->idempotent || !connection->target || connection->target->domain != domain)
    return false;
  return cf_unreachable_check_earlier (
      balance->unreachable, connection->target, &connection->delivery,
      cf_outlier_usual_wait_ms (balance->outlier_detector, connection->service), now);
}

/* Resets the flows to DOMAIN that repeated their data before the domain was found to be lost.  Each
 * repeat is looked at once, as soon as an answer is due. */
static void
reset_earlier (struct CfBalance *balance, GQuark domain, CfMillis now)
{
  struct CfLink *silent = &balance->connections.silent;

  if (!cf_unreachable_domain_confirmed (balance->unreachable, domain))
    return;
  while (!cf_list_empty (silent))
    {
      struct CfConnection *connection
          = CF_LIST_ENTRY (silent->next, struct CfConnection, silent_link);
      const struct CfDelivery *delivery = &connection->delivery;

      if (cf_unreachable_answer_not_due (balance->unreachable, delivery))
        return;
      cf_list_remove (&connection->silent_link);
      if (!should_reset_earlier (balance, connection, domain, now))
        continue;
      /* There is no packet at hand: the reset needs the caller's acknowledgement only. */
      reset_unreachable (balance, connection,
                         &(struct CfSegment){
                             .caller = connection->caller,
                             .service = connection->service,
                             .flags = CF_SEGMENT_ACK,
                             .seq = delivery->end,
                             .ack = delivery->answered,
                             .cookie = connection->target->cookie,
                             .bytes = connection->first,
                             .size = connection->first_size,
                         },
                         connection->target, CF_UNREACHABLE_EARLIER, now);
    }
}

enum CfOutcome
cf_balance_later_packet (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  const struct CfRouteEntry *route = cf_routes_find (balance->routes, segment->service);
  struct CfConnection *connection
      = cf_connections_find (&balance->connections, segment->caller, segment->service);
  struct CfTarget *target = find_target (balance, connection, segment);
  enum CfUnreachableReason evidence = CF_UNREACHABLE_NOT;

  if (route && route->removed)
    {
      if (connection)
        cf_connections_remove (&balance->connections, connection);
      return cf_balance_finish (balance, segment, target, CF_OUTCOME_RESET_ROUTE_REMOVED, now);
    }
  if (!target)
    return cf_balance_hand_on (balance, segment, CF_OUTCOME_DROPPED_UNKNOWN_COOKIE, now);
  if (route && !route_leads_to (route, target->service))
    return cf_balance_finish (balance, segment, target, CF_OUTCOME_DROPPED_OTHER_SERVICE, now);
  if (!connection && route && segment->data > 0)
    connection = track_moved_flow (balance, segment, target, now);
  if (connection && connection->pending)
    opened (balance, connection, target, now);
  else if (connection && connection->target != target && connection->target
           && connection->target->cookie == target->cookie)
    {
      cf_connections_stop_awaiting (&balance->connections, connection);
      cf_connection_set_target (connection, target);
    }
  if (connection)
    evidence = check_unreachable (balance, route, connection, segment, target, now);
  if (evidence != CF_UNREACHABLE_NOT)
    {
      reset_unreachable (balance, connection, segment, target, evidence, now);
      if (evidence == CF_UNREACHABLE_DOMAIN)
        reset_earlier (balance, target->domain, now);
      return CF_OUTCOME_RESET_UNREACHABLE;
    }
  balance->out->forward (balance->context, segment->bytes, segment->size, target);
  if (!connection)
    return CF_OUTCOME_PASSED;
  track_request (balance, connection, segment, target, now);
  return CF_OUTCOME_PASSED;
}

void
cf_balance_fail_stalled (struct CfBalance *balance, CfMillis now)
{
  struct CfConnection *connection;

  while ((connection = cf_exchange_take_stalled (&balance->connections, now)))
    if (connection->target && now - connection->exchange.stalls_at <= CF_PAUSE_MS)
      record_response (balance, connection, connection->target, 0, -1, now);
}
