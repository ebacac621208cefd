#include "balance_internal.h"

/* Packets that are not forwarded to an upstream, and reports of decisions and events. */

/* Flows to an address without a route are refused if the last sync is at most this old, otherwise
 * handed on: syncs with the store or with peers come at least every second or two. */
#define SYNC_FRESH_MS 3000

/* Packets are handed on round-robin to this many peers: more than one, since some may be down. */
#define PEERS_MAX 3

CfMillis
cf_balance_sync_age (const struct CfBalance *balance, CfMillis now)
{
  return balance->synced_at >= 0 ? now - balance->synced_at : -1;
}

bool
cf_balance_sync_fresh (const struct CfBalance *balance, CfMillis now)
{
  return balance->synced_at >= 0 && now - balance->synced_at <= SYNC_FRESH_MS;
}

void
cf_balance_report_decision (struct CfBalance *balance, const struct CfDecision *decision)
{
  if (balance->out->decided)
    balance->out->decided (balance->context, decision);
}

enum CfOutcome
cf_balance_finish (struct CfBalance *balance,
                   const struct CfSegment *segment,
                   const struct CfTarget *target,
                   enum CfOutcome outcome,
                   CfMillis now)
{
  if (outcome == CF_OUTCOME_RESET_NO_ROUTE || outcome == CF_OUTCOME_RESET_NO_UPSTREAM
      || outcome == CF_OUTCOME_RESET_ROUTE_REMOVED)
    balance->out->reset (balance->context, segment);
  cf_balance_report_decision (balance, &(struct CfDecision){
                                           .outcome = outcome,
                                           .caller = segment->caller,
                                           .service = segment->service,
                                           .target = target,
                                           .reason = CF_PLACE_NONE,
                                           .manifest_version = cf_routes_version (balance->routes),
                                           .state_age = target ? now - target->state_since : 0,
                                           .sync_age = cf_balance_sync_age (balance, now),
                                       });
  return outcome;
}

/* Hands SEGMENT on to a peer, unless it came from a peer.  Returns true if it was handed on. */
bool
cf_balance_forward_to_peer (struct CfBalance *balance, const struct CfSegment *segment)
{
  if (segment->flags & CF_SEGMENT_FROM_PEER || balance->peers->len == 0)
    return false;
  balance->next_peer = (balance->next_peer + 1) % MIN (balance->peers->len, PEERS_MAX);
  balance->out->hand_on (balance->context, segment,
                         g_array_index (balance->peers, uint32_t, balance->next_peer));
  return true;
}

/* SEGMENT cannot be resolved here, perhaps because the state of this VM is stale: hands it on to
 * a peer, or else ends with OUTCOME. */
enum CfOutcome
cf_balance_hand_on (struct CfBalance *balance,
                    const struct CfSegment *segment,
                    enum CfOutcome outcome,
                    CfMillis now)
{
  return cf_balance_finish (
      balance, segment, NULL,
      cf_balance_forward_to_peer (balance, segment) ? CF_OUTCOME_HANDED_ON : outcome, now);
}

void
cf_balance_notify_reach (struct CfBalance *balance, const struct CfTarget *target)
{
  if (balance->out->reach_changed)
    balance->out->reach_changed (balance->context, target);
}

void
cf_balance_notify_outage (struct CfBalance *balance, GQuark domain, bool begins)
{
  if (balance->out->outage_changed)
    balance->out->outage_changed (balance->context, domain, begins);
}
