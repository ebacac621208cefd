#include "balance_internal.h"
#include "open_timeout.h"
#include "reach.h"

#include <string.h>

/* First packets: the choice of their upstream, and their time-outs. */

/* Callers retransmit their first packet after 200 ms.  From then on it is not sent to further
 * upstreams on their behalf. */
#define CALLER_RETRANSMIT_MS 190

/* Returns true if this VM has synced with the store and has a manifest. */
static bool
has_synced (const struct CfBalance *balance)
{
  return balance->synced_at >= 0 && cf_routes_version (balance->routes) > 0;
}

/* The first packet SEGMENT came before the first sync.  Another VM may have synced already; if
 * not, this one does so sooner than the caller retransmits. */
static enum CfOutcome
queue_until_synced (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  struct CfSegment kept = *segment;
  bool sent_to_peer = cf_balance_forward_to_peer (balance, segment);
  enum CfOutcome outcome = sent_to_peer ? CF_OUTCOME_HANDED_ON : CF_OUTCOME_DROPPED_NO_ROUTE;

  if (sent_to_peer)
    kept.flags |= CF_SEGMENT_SENT_TO_PEER;
  if (!(segment->flags & CF_SEGMENT_FROM_PEER)
      && cf_startup_queue_push (&balance->startup_queue, &kept, now))
    outcome = CF_OUTCOME_WAITING;
  return cf_balance_finish (balance, segment, NULL, outcome, now);
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
         && (balance->flows_since_trial >= CF_PLACE_TRY_EACH
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
    .use_pace = balance->admission != NULL,
    .prefer_far = balance->admission && connection->tries == 0
                  && cf_balance_prefers_far (balance, connection->service_name, now),
    .random = balance->random,
  };

  return cf_place_flow (&placement, connection->service_name, connection->tried, connection->tries,
                        now, reason);
}

struct CfOpenTimeout *
cf_balance_open_timeout (struct CfBalance *balance, const struct CfTarget *target)
{
  return target->domain == balance->domain ? &balance->near_timeout : &balance->far_timeout;
}

/* Sets when CONNECTION is due next: at the time-out of its last attempt, or before for an extra
 * opening. */
static void
schedule (struct CfBalance *balance, struct CfConnection *connection, CfMillis now)
{
  CfMillis due_at = connection->times_out_at[connection->tries - 1];
  CfMillis delay = G_MAXINT64;

  if (connection->tries == 1 && connection->idempotent && connection->first_size > 0)
    delay = cf_extra_open_delay (balance->extra_open, connection->service_name, now);
  connection->extra_due = delay < due_at - now;
  if (connection->extra_due)
    due_at = now + delay;
  cf_connections_schedule (&balance->connections, connection, due_at);
}

/* Sends the first packet BYTES of CONNECTION to TARGET, chosen for REASON. */
static void
send_first (struct CfBalance *balance,
            struct CfConnection *connection,
            struct CfTarget *target,
            enum CfPlaceReason reason,
            const uint8_t *bytes,
            size_t size,
            enum CfOutcome outcome,
            CfMillis now)
{
  balance->flows_since_trial++;
  if (reason == CF_PLACE_TRY)
    {
      balance->flows_since_trial = 0;
      balance->tried_at = now;
    }
  cf_balance_report_decision (
      balance,
      &(struct CfDecision){
          .outcome = outcome,
          .caller = connection->caller,
          .service = connection->service,
          .target = target,
          .silent = connection->tries > 0 ? connection->tried[connection->tries - 1] : NULL,
          .reason = reason,
          .tries = connection->tries,
          .manifest_version = cf_routes_version (balance->routes),
          .state_age = now - target->state_since,
          .sync_age = cf_balance_sync_age (balance, now),
      });
  connection->tried[connection->tries] = target;
  connection->tried_at[connection->tries] = now;
  connection->times_out_at[connection->tries]
      = now + cf_open_timeout_ms (cf_balance_open_timeout (balance, target));
  connection->tries++;
  connection->sent = true;
  cf_connection_set_target (connection, target);
  cf_reach_record_attempt (&target->reach, now);
  schedule (balance, connection, now);
  balance->out->forward (balance->context, bytes, size, target);
}

/* Sends the first packet BYTES of CONNECTION to the next upstream. */
static bool
try_next (struct CfBalance *balance,
          struct CfConnection *connection,
          const uint8_t *bytes,
          size_t size,
          enum CfOutcome outcome,
          CfMillis now)
{
  enum CfPlaceReason reason;
  struct CfTarget *target = choose_target (balance, connection, now, &reason);

  if (!target)
    return false;
  /* Earlier attempts are not judged once the caller has retransmitted. */
  connection->timed_out = connection->tries;
  if (connection->tries == 0)
    {
      connection->extra = 0;
      cf_extra_open_record_usual (balance->extra_open, target, now);
    }
  send_first (balance, connection, target, reason, bytes, size, outcome, now);
  return true;
}

/* Sends the first packet of CONNECTION to a second upstream, while the first one may still open the
 * flow, if the budget allows and there is room. */
static void
open_extra (struct CfBalance *balance, struct CfConnection *connection, CfMillis now)
{
  enum CfPlaceReason reason;
  enum CfExtraOpenResult result;
  struct CfTarget *target;

  connection->extra_due = false;
  cf_connections_schedule (&balance->connections, connection, connection->times_out_at[0]);
  if (balance->admission && cf_admission_overloaded (balance->admission, connection->service_name))
    return;
  target = choose_target (balance, connection, now, &reason);
  if (!target || reason != CF_PLACE_NEAR)
    return;
  result = cf_extra_open_take (balance->extra_open, target, now);
  if (balance->out->extra_opening)
    balance->out->extra_opening (balance->context, connection->service_name, result);
  if (result != CF_EXTRA_OPEN_SENT)
    return;
  connection->extra = connection->tries;
  send_first (balance, connection, target, reason, connection->first, connection->first_size,
              CF_OUTCOME_EXTRA, now);
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
  connection->priority = route->priority;
  connection->idempotent = route->idempotent;
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
static enum CfOutcome
refuse_unplaced (struct CfBalance *balance,
                 const struct CfSegment *segment,
                 struct CfConnection *connection,
                 CfMillis now)
{
  bool sent = connection->sent || segment->retransmit_count > 0
              || segment->flags & CF_SEGMENT_SENT_TO_PEER;

  cf_connections_remove (&balance->connections, connection);
  if (!cf_balance_sync_fresh (balance, now))
    return cf_balance_hand_on (balance, segment, CF_OUTCOME_DROPPED_NO_UPSTREAM, now);
  return cf_balance_finish (balance, segment, NULL,
                            sent ? CF_OUTCOME_DROPPED_NO_UPSTREAM : CF_OUTCOME_RESET_NO_UPSTREAM,
                            now);
}

/* Sends SEGMENT, a first packet on ROUTE, to an upstream.  CONNECTION is that of its flow, NULL for
 * a new one. */
static enum CfOutcome
place_flow (struct CfBalance *balance,
            const struct CfSegment *segment,
            const struct CfRouteEntry *route,
            struct CfConnection *connection,
            CfMillis now)
{
  enum CfOutcome outcome = segment->retransmit_count > 0 ? CF_OUTCOME_REPEATED : CF_OUTCOME_PLACED;

  if (!connection)
    connection = add_connection (balance, segment, route, now);
  if (connection->tries == CF_TRIES_MAX)
    connection->tries = 0;
  if (try_next (balance, connection, segment->bytes, segment->size, outcome, now))
    return outcome;
  if (connection->tries > 0)
    {
      /* All upstreams were tried: start over. */
      connection->tries = 0;
      if (try_next (balance, connection, segment->bytes, segment->size, outcome, now))
        return outcome;
    }
  return refuse_unplaced (balance, segment, connection, now);
}

enum CfOutcome
cf_balance_first_packet (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  const struct CfRouteEntry *route = cf_routes_find (balance->routes, segment->service);
  struct CfConnection *connection
      = cf_connections_find (&balance->connections, segment->caller, segment->service);
  /* A copy of the packet may be on its way to an upstream: the flow must not be refused. */
  bool known = connection != NULL;
  struct CfAdmissionVerdict verdict;

  if (!has_synced (balance))
    return queue_until_synced (balance, segment, now);
  if (!route && !cf_balance_sync_fresh (balance, now))
    return cf_balance_hand_on (balance, segment, CF_OUTCOME_DROPPED_NO_ROUTE, now);
  if (!route || route->removed)
    return cf_balance_finish (balance, segment, NULL, CF_OUTCOME_RESET_NO_ROUTE, now);
  if (connection && !connection->pending && segment->retransmit_count > 0 && connection->target)
    {
      /* The flow has opened since this retransmission was sent. */
      balance->out->forward (balance->context, segment->bytes, segment->size, connection->target);
      return CF_OUTCOME_PASSED;
    }
  if (connection && (!connection->pending || segment->retransmit_count == 0))
    {
      cf_connections_remove (&balance->connections, connection);
      connection = NULL;
    }
  if (!known && balance->admission)
    {
      verdict = cf_balance_admit (balance, segment, route,
                                  cf_route_service (route, segment->caller), now);
      if (verdict.admission != CF_ADMISSION_PLACE)
        return cf_balance_finish_unadmitted (balance, segment, &verdict, now);
    }
  return place_flow (balance, segment, route, connection, now);
}

void
cf_balance_resume_held (struct CfBalance *balance, CfMillis now)
{
  struct CfAdmissionResult result;
  struct CfAdmissionVerdict verdict;
  enum CfAdmissionEnd end;

  while ((end = cf_admission_control_next (balance->admission, &result, &verdict, now))
         != CF_ADMISSION_END_NONE)
    {
      const struct CfRouteEntry *route = cf_routes_find (balance->routes, result.segment.service);

      result.segment.bytes = result.bytes;
      if (balance->out->held)
        balance->out->held (balance->context, result.waited);
      /* After a pause of this VM, another one may have sent a retransmission to an upstream. */
      if (result.waited >= CALLER_RETRANSMIT_MS)
        cf_balance_finish (balance, &result.segment, NULL, CF_OUTCOME_DROPPED_LATE, now);
      else if (!route || route->removed)
        cf_balance_finish (balance, &result.segment, NULL, CF_OUTCOME_RESET_NO_ROUTE, now);
      else if (end == CF_ADMISSION_END_EXPIRED)
        cf_balance_finish_unadmitted (balance, &result.segment, &verdict, now);
      else
        place_flow (balance, &result.segment, route, NULL, now);
    }
}

/* Returns true if this VM has learned that TARGET drains, has ended or was replaced.  One that has
 * lapsed gets flows. */
static bool
may_have_ended (const struct CfBalance *balance, const struct CfTarget *target)
{
  return target->state == CF_TARGET_LEAVING || target->state == CF_TARGET_GONE
         || cf_directory_replaced (balance->directory, target);
}

/* The attempt number INDEX of CONNECTION was lost. */
static void
record_loss (struct CfBalance *balance,
             const struct CfConnection *connection,
             uint32_t index,
             CfMillis now)
{
  struct CfTarget *target = connection->tried[index];
  bool good = cf_reach_good (&target->reach);

  cf_reach_record_failure (&target->reach, connection->tried_at[index], now);
  if (may_have_ended (balance, target))
    return;
  cf_isolation_record_loss (&balance->isolation, connection->tried_at[index], now);
  if (!good || cf_reach_good (&target->reach))
    return;
  cf_balance_notify_reach (balance, target);
  if (cf_outages_record_loss (balance->outages, target))
    cf_balance_notify_outage (balance, target->domain, true);
}

void
cf_balance_open_timed_out (struct CfBalance *balance, struct CfConnection *connection, CfMillis now)
{
  CfMillis give_up_at = connection->begun_at + CF_PENDING_MAX_MS;
  bool paused = now - connection->due_at > CF_PAUSE_MS;

  if (now >= give_up_at)
    {
      cf_connections_remove (&balance->connections, connection);
      return;
    }
  if (connection->extra_due)
    {
      open_extra (balance, connection, now);
      return;
    }
  for (; connection->timed_out < connection->tries
         && connection->times_out_at[connection->timed_out] <= now;
       connection->timed_out++)
    if (!paused)
      record_loss (balance, connection, connection->timed_out, now);
  if (connection->timed_out < connection->tries)
    {
      /* An extra opening has its own time. */
      cf_connections_schedule (&balance->connections, connection,
                               connection->times_out_at[connection->timed_out]);
      return;
    }
  if (connection->first_size > 0 && connection->tries < CF_TRIES_MAX
      && now - connection->begun_at < CALLER_RETRANSMIT_MS
      && try_next (balance, connection, connection->first, connection->first_size, CF_OUTCOME_MOVED,
                   now))
    return;
  cf_connection_set_target (connection, NULL);
  cf_connections_schedule (&balance->connections, connection, give_up_at);
}

void
cf_balance_resume_queued (struct CfBalance *balance, CfMillis now)
{
  struct CfQueuedPacket first;

  if (!has_synced (balance))
    return;
  while (cf_startup_queue_pop (&balance->startup_queue, &first, now))
    {
      first.segment.flags |= CF_SEGMENT_QUEUED;
      cf_balance_first_packet (balance, &first.segment, now);
    }
}
