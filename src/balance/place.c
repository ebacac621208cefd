#include "place.h"
#include "answers.h"
#include "reach.h"

/* Part of what a cold upstream bears that the VMs use together.  They open flows there
 * independently, so a second may see twice their mean. */
#define COLD_UTILIZATION 0.5
#define COST_FAILING 1e4    /* above any load: some of its requests fail */
#define COST_OUTAGE 1e5     /* above that */
#define COST_COLD 1e6       /* above that: a cold upstream bears little */
#define COST_SUSPECT 1e9    /* above that: a cold upstream answers */
#define COLD_SHARE_MIN 0.01 /* flows a second, where a manifest gives no rate */

const char *
cf_place_reason_name (enum CfPlaceReason reason)
{
  static const char *const names[] = {
    [CF_PLACE_NEAR] = "near",       [CF_PLACE_FAR] = "far",       [CF_PLACE_TRY] = "try",
    [CF_PLACE_FAILING] = "failing", [CF_PLACE_OUTAGE] = "outage", [CF_PLACE_COLD] = "cold",
    [CF_PLACE_SUSPECT] = "suspect", [CF_PLACE_NONE] = "none",
  };

  return names[reason];
}

static bool
eligible (const struct CfPlacement *placement, const struct CfTarget *target)
{
  if (target->state != CF_TARGET_READY && target->state != CF_TARGET_LAPSED)
    return false;
  if (target->collides)
    return false;
  return !g_hash_table_contains (placement->evacuated, GUINT_TO_POINTER (target->domain));
}

/* How long this VM waits between two flows to a cold upstream. */
static CfMillis
cold_interval (const struct CfPlacement *placement)
{
  double share = MAX (placement->cold_share * COLD_UTILIZATION, COLD_SHARE_MIN);

  return (CfMillis) (CF_MS_PER_S / share);
}

/* Returns true if a cold upstream may get this VM's next flow.  The VMs' first flows are
 * spread over an interval: all VMs learn that an upstream is cold at the same time. */
static bool
cold_due (const struct CfPlacement *placement, struct CfTarget *target, CfMillis now)
{
  if (target->cold_next == 0)
    target->cold_next
        = now + g_rand_int_range (placement->random, 0, (gint32) cold_interval (placement));
  return now >= target->cold_next;
}

static bool
is_tried (const struct CfTarget *target, struct CfTarget *const *tried, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (tried[i] == target)
      return true;
  return false;
}

/* The step of the ladder that TARGET is on. */
static enum CfPlaceReason
step (const struct CfPlacement *placement, struct CfTarget *target, CfMillis now)
{
  if (now < target->cold_until)
    return cold_due (placement, target, now) ? CF_PLACE_COLD : CF_PLACE_NONE;
  if (!cf_reach_good (&target->reach))
    return placement->may_try && cf_reach_may_try (&target->reach, now) ? CF_PLACE_TRY
                                                                        : CF_PLACE_SUSPECT;
  if (cf_outages_suspects (placement->outages, target->domain))
    return placement->may_try ? CF_PLACE_TRY : CF_PLACE_OUTAGE;
  if (cf_outlier_avoided (target, now))
    return CF_PLACE_FAILING;
  return target->domain == placement->domain ? CF_PLACE_NEAR : CF_PLACE_FAR;
}

/* Lower is better.  Upstreams in good standing compete by load; an upstream that is due
 * for a trial goes before them, since otherwise it would never be found to be back. */
static double
cost (const struct CfTarget *target, enum CfPlaceReason reason)
{
  double load = (double) target->open / MAX (target->slots, 1);

  switch (reason)
    {
    case CF_PLACE_TRY:
      return -1;
    case CF_PLACE_NEAR:
      return load;
    case CF_PLACE_FAR:
      return load + CF_PLACE_FAR_COST;
    case CF_PLACE_FAILING:
      return COST_FAILING + load;
    case CF_PLACE_OUTAGE:
      return COST_OUTAGE + load;
    case CF_PLACE_COLD:
      return COST_COLD + load;
    case CF_PLACE_SUSPECT:
      return COST_SUSPECT + (double) target->reach.failed_at;
    case CF_PLACE_NONE:
      break;
    }
  return G_MAXDOUBLE;
}

/* Returns the number after DRAW of a xorshift generator: one for each candidate, where a
 * better one would cost more than the rest of the choice. */
static uint32_t
next_random_bits (uint32_t draw)
{
  draw ^= draw << 13;
  draw ^= draw >> 17;
  return draw ^ draw << 5;
}

struct CfTarget *
cf_place_flow (const struct CfPlacement *placement,
               GQuark service,
               struct CfTarget *const *tried,
               uint32_t count,
               CfMillis now,
               enum CfPlaceReason *reason)
{
  GPtrArray *targets = cf_directory_service (placement->directory, service);
  struct CfTarget *best = NULL;
  double best_cost = 0;
  uint32_t draw = g_rand_int (placement->random) | 1;
  uint32_t equals = 0;

  *reason = CF_PLACE_NONE;
  for (guint i = 0; targets && i < targets->len; i++)
    {
      struct CfTarget *target = targets->pdata[i];
      enum CfPlaceReason on;
      double at;

      if (!eligible (placement, target) || is_tried (target, tried, count))
        continue;
      on = step (placement, target, now);
      if (on == CF_PLACE_NONE)
        continue;
      at = cost (target, on);
      if (best && at > best_cost)
        continue;
      /* Of equal upstreams each is taken with the same probability. */
      equals = best && at == best_cost ? equals + 1 : 1;
      draw = next_random_bits (draw);
      if (equals > 1 && draw % equals != 0)
        continue;
      best = target;
      best_cost = at;
      *reason = on;
    }
  if (best && *reason == CF_PLACE_COLD)
    best->cold_next = now + cold_interval (placement);
  return best;
}
