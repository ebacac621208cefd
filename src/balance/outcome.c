#include "balance_internal.h"

/* What becomes of packets, and what is told of it. */

/* An address without a route is refused while the manifest is known to be this fresh:
 * the store's answers and those of peers come at least every second or two. */
#define NEWS_FRESH_MS 3000

/* Entry VMs that packets are handed on to by turns: more than one, since some may be down. */
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

/* Hands SEGMENT on to another VM, unless it was handed on before.  Returns true if it did. */
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

/* SEGMENT cannot be understood here: another VM may know more, since this one has been cut
 * off.  FATE is what becomes of it otherwise. */
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
