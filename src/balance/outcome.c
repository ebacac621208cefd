#include "balance_internal.h"

/* What becomes of packets, and what is told of it. */

/* An address without a route is refused while the manifest is known to be this fresh:
 * the store's answers and those of peers come at least every second or two. */
#define SYNC_FRESH_MS 3000

/* Entry VMs that packets are handed on to by turns: more than one, since some may be down. */
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
                                           .known_for = target ? now - target->state_since : 0,
                                           .sync_age = cf_balance_sync_age (balance, now),
                                       });
  return outcome;
}

/* Hands SEGMENT on to another VM, unless it was handed on before.  Returns true if it did. */
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

/* SEGMENT cannot be understood here: another VM may know more, since this one has been cut
 * off.  FATE is what becomes of it otherwise. */
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
