#include "balance_internal.h"

/* Packets that are not forwarded to an upstream, and reports of decisions and events. */

/* Flows to an address without a route are refused if the last sync is at most this old, otherwise
 * handed on: syncs with the store or with peers come at least every second or two. */
#define NEWS_FRESH_MS 3000

/* Packets are handed on round-robin to this many peers: more than one, since some may be down. */
#define HELPERS_MAX 3

CfMillis
cf_balance_news_age (const struct CfBalance *balance, CfMillis now)
{
  return balance->news_at >= 0 ? now - balance->news_at : -1;
}

bool
cf_balance_news_fresh (const struct CfBalance *balance, CfMillis now)
{
  return balance->news_at >= 0 && now - balance->news_at <= NEWS_FRESH_MS;
}

void
cf_balance_decide (struct CfBalance *balance, const struct CfDecision *decision)
{
  if (balance->out->decided)
    balance->out->decided (balance->context, decision);
}

enum CfFate
cf_balance_end (struct CfBalance *balance,
                const struct CfSegment *segment,
                const struct CfTarget *target,
                enum CfFate fate,
                CfMillis now)
{
  if (fate == CF_FATE_RESET_ROUTE || fate == CF_FATE_RESET_SERVICE || fate == CF_FATE_RESET_REMOVED)
    balance->out->reset (balance->context, segment);
  cf_balance_decide (balance, &(struct CfDecision){
                                  .fate = fate,
                                  .caller = segment->caller,
                                  .service = segment->service,
                                  .target = target,
                                  .reason = CF_PLACE_NONE,
                                  .manifest_version = cf_routes_version (balance->routes),
                                  .known_for = target ? now - target->state_since : 0,
                                  .news_age = cf_balance_news_age (balance, now),
                              });
  return fate;
}

/* Hands SEGMENT on to a peer, unless it came from a peer.  Returns true if it was handed on. */
bool
cf_balance_ask_helper (struct CfBalance *balance, const struct CfSegment *segment)
{
  if (segment->flags & CF_SEGMENT_HANDED || balance->helpers->len == 0)
    return false;
  balance->next_helper = (balance->next_helper + 1) % MIN (balance->helpers->len, HELPERS_MAX);
  balance->out->hand_on (balance->context, segment,
                         g_array_index (balance->helpers, uint32_t, balance->next_helper));
  return true;
}

/* SEGMENT cannot be resolved here, perhaps because the state of this VM is stale: hands it on to
 * a peer, or else ends with FATE. */
enum CfFate
cf_balance_hand_on (struct CfBalance *balance,
                    const struct CfSegment *segment,
                    enum CfFate fate,
                    CfMillis now)
{
  return cf_balance_end (balance, segment, NULL,
                         cf_balance_ask_helper (balance, segment) ? CF_FATE_HANDED_ON : fate, now);
}

void
cf_balance_tell_reach (struct CfBalance *balance, const struct CfTarget *target)
{
  if (balance->out->reach_changed)
    balance->out->reach_changed (balance->context, target);
}

void
cf_balance_tell_outage (struct CfBalance *balance, GQuark domain, bool begins)
{
  if (balance->out->outage_changed)
    balance->out->outage_changed (balance->context, domain, begins);
}
