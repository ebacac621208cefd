#include "place.h"
#include "outlier.h"
#include "reach.h"

/* Fraction of a cold upstream's capacity that all VMs use together.  They open flows there
 * independently, so the rate within one second may be twice the mean. */
#define COLD_UTILIZATION 0.5
#define HASH_FACTOR 2654435761U /* spreads the bits of one draw for another */
#define COST_FAILING 1e4        /* above any load: it fails some requests */
#define COST_OUTAGE 1e5         /* above COST_FAILING: none of its requests may be answered */
#define COST_COLD 1e6           /* above COST_OUTAGE: its capacity is small */
#define COST_SUSPECT 1e9        /* above COST_COLD: cold upstreams do answer */
#define COLD_SHARE_MIN 0.01     /* flows a second, where a manifest gives no rate */

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
eligible (const struct CfAvoidedDomains *avoided, const struct CfTarget *target, CfMillis now)
{
  if (target->state != CF_TARGET_READY && target->state != CF_TARGET_LAPSED)
    return false;
  if (cf_target_shares_cookie (target, now))
    return false;
  return !cf_domain_evacuated (avoided, target->domain);
}

/* Returns the interval between two flows of this VM to a cold upstream, at least 1 ms. */
static CfMillis
cold_interval (const struct CfPlacement *placement)
{
  double share = MAX (placement->cold_share * COLD_UTILIZATION, COLD_SHARE_MIN);

  return MAX ((CfMillis) (CF_MS_PER_S / share), 1);
}

/* Returns true if a cold upstream may get this VM's next flow.  The first flow of each VM is
 * delayed by a random part of an interval, since all VMs learn of a cold upstream at once. */
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

static enum CfPlaceReason
classify (const struct CfPlacement *placement,
          const struct CfAvoidedDomains *avoided,
          struct CfTarget *target,
          CfMillis now)
{
  if (now < target->cold_until)
    return cold_due (placement, target, now) ? CF_PLACE_COLD : CF_PLACE_NONE;
  if (!cf_reach_good (&target->reach))
    return placement->may_try && cf_reach_may_try (&target->reach, now) ? CF_PLACE_TRY
                                                                        : CF_PLACE_SUSPECT;
  if (cf_domain_suspected (avoided, target->domain))
    return placement->may_try ? CF_PLACE_TRY : CF_PLACE_OUTAGE;
  if (cf_outlier_avoided (target, now))
    return CF_PLACE_FAILING;
  return target->domain == placement->domain ? CF_PLACE_NEAR : CF_PLACE_FAR;
}

/* Lower is better.  Healthy upstreams compete by load.  An upstream that is due for a trial is
 * preferred to them: otherwise its recovery would never be noticed. */
static double
cost (const struct CfPlacement *placement, const struct CfTarget *target, enum CfPlaceReason reason)
{
  double load = (double) target->open / MAX (target->slots, 1);

  switch (reason)
    {
    case CF_PLACE_TRY:
      return -1;
    case CF_PLACE_NEAR:
      return placement->prefer_far ? load + CF_PLACE_FAR_COST : load;
    case CF_PLACE_FAR:
      return placement->prefer_far ? load : load + CF_PLACE_FAR_COST;
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

/* Returns the next number of a xorshift generator.  One is needed for each candidate, and a better
 * generator would cost more than the rest of the choice. */
static uint32_t
next_random_bits (uint32_t random_bits)
{
  random_bits ^= random_bits << 13;
  random_bits ^= random_bits >> 17;
  return random_bits ^ random_bits << 5;
}

/* Healthy upstreams of this failure domain, or of all others, while a flow is placed by pace. */
struct Group
{
  double weight; /* sum over all of them */
  uint32_t count;
  uint32_t open;          /* flows of this VM there */
  bool uneven;            /* some have a pace that counts */
  double least_load;      /* of any of them */
  double least_weight;    /* sum over those with that load */
  struct CfTarget *least; /* one of them, drawn by weight */
  struct CfTarget *drawn[CF_PLACE_DRAWS];
  double drawn_load[CF_PLACE_DRAWS];
};

/* Returns true with a probability of WEIGHT / TOTAL. */
static bool
draw (double weight, double total, uint32_t random_bits)
{
  return random_bits * total < weight * 0x1p32;
}

/* Updates the least loaded upstream of GROUP by TARGET. */
static void
update_least (
    struct Group *group, struct CfTarget *target, double load, double weight, uint32_t random_bits)
{
  bool less = !group->least || load < group->least_load;

  if (!less && load > group->least_load)
    return;
  group->least_load = load;
  group->least_weight = less ? weight : group->least_weight + weight;
  if (less || draw (weight, group->least_weight, random_bits))
    group->least = target;
}

/* Adds TARGET to GROUP.  Each drawn place holds each upstream with a probability proportional to
 * its weight, as in weighted reservoir sampling.  Returns the next random bits. */
static uint32_t
add_to_group (struct Group *group, struct CfTarget *target, uint32_t random_bits, CfMillis now)
{
  double slots = MAX (target->slots, 1);
  double weight = slots;
  double load = (target->open + 1) / slots;

  if (now < target->pace.uneven_until)
    {
      double pace = cf_pace_cached (&target->pace, now);

      weight *= cf_pace_share (pace);
      load *= cf_pace_weight (pace);
      group->uneven |= cf_pace_weight (pace) != 1;
    }
  group->count++;
  group->open += target->open;
  update_least (group, target, load, weight, random_bits * HASH_FACTOR);
  group->weight += weight;
  for (uint32_t i = 0; i < CF_PLACE_DRAWS; i++)
    {
      random_bits = next_random_bits (random_bits);
      if (group->drawn[i] && !draw (weight, group->weight, random_bits))
        continue;
      group->drawn[i] = target;
      group->drawn_load[i] = load;
    }
  return random_bits;
}

/* Returns the least loaded upstream of GROUP, or of those that were drawn, the first of equal ones.
 * With few flows of its own, the VM cannot know which upstream is the least loaded: all VMs would
 * send their next flow to the fastest. */
static struct CfTarget *
choose_from (const struct Group *group)
{
  uint32_t best = 0;

  if (group->open >= CF_PLACE_OPEN_KNOWN * group->count)
    return group->least;

  for (uint32_t i = 1; i < CF_PLACE_DRAWS; i++)
    if (group->drawn_load[i] < group->drawn_load[best])
      best = i;
  return group->drawn[best];
}

/* Returns the upstream for a flow that is placed by pace, or NULL if both groups are empty.  The
 * failure domain is chosen by the least load anywhere there, so that chance in the draws causes no
 * bytes between domains. */
static struct CfTarget *
choose_by_pace (const struct Group *near,
                const struct Group *far,
                bool prefer_far,
                enum CfPlaceReason *reason)
{
  const struct Group *preferred = prefer_far ? far : near;
  const struct Group *other = prefer_far ? near : far;
  const struct Group *chosen = preferred;

  if (preferred->weight <= 0
      || (other->weight > 0 && preferred->least_load > other->least_load + CF_PLACE_FAR_COST))
    chosen = other;
  if (chosen->weight <= 0)
    return NULL;
  *reason = chosen == near ? CF_PLACE_NEAR : CF_PLACE_FAR;
  return choose_from (chosen);
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
  struct CfAvoidedDomains avoided = cf_avoided_domains (placement->evacuated, placement->outages);
  struct Group near = { 0 };
  struct Group far = { 0 };
  struct CfTarget *best = NULL;
  double best_cost = 0;
  uint32_t random_bits = g_rand_int (placement->random) | 1;
  uint32_t group_bits = random_bits;
  uint32_t ties = 0;
  bool uneven = placement->use_pace && cf_directory_uneven (placement->directory, service, now);

  *reason = CF_PLACE_NONE;
  for (guint i = 0; targets && i < targets->len; i++)
    {
      struct CfTarget *target = targets->pdata[i];
      enum CfPlaceReason candidate_reason;
      double candidate_cost;

      if (!eligible (&avoided, target, now) || is_tried (target, tried, count))
        continue;
      candidate_reason = classify (placement, &avoided, target, now);
      if (candidate_reason == CF_PLACE_NONE)
        continue;
      if (uneven && (candidate_reason == CF_PLACE_NEAR || candidate_reason == CF_PLACE_FAR))
        {
          struct Group *group = candidate_reason == CF_PLACE_NEAR ? &near : &far;

          group_bits = add_to_group (group, target, group_bits, now);
        }
      candidate_cost = cost (placement, target, candidate_reason);
      if (best && candidate_cost > best_cost)
        continue;
      /* Reservoir sampling: equal upstreams are chosen with equal probability. */
      ties = best && candidate_cost == best_cost ? ties + 1 : 1;
      random_bits = next_random_bits (random_bits);
      if (ties > 1 && random_bits % ties != 0)
        continue;
      best = target;
      best_cost = candidate_cost;
      *reason = candidate_reason;
    }
  /* As long as all answer alike, the least loaded one by this VM's own flows is the best. */
  if (*reason != CF_PLACE_TRY && (near.uneven || far.uneven))
    {
      struct CfTarget *healthy = choose_by_pace (&near, &far, placement->prefer_far, reason);

      if (healthy)
        return healthy;
    }
  if (best && *reason == CF_PLACE_COLD)
    best->cold_next = now + cold_interval (placement);
  return best;
}
