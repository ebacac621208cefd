#include "internal.h"

/* Health and slow start of upstreams.  The gatekeeper of an upstream is the first serving
 * member in rendezvous order of the upstream.  It alone decides about the upstream's health,
 * and while the upstream is cold it grants each member a number of new flows to send within
 * CF_GRANT_MS.  At most CF_GRANTS_PER_BUDGET such windows overlap any one second, so each window
 * gets 1 / CF_GRANTS_PER_BUDGET of the budget. */

#define GROWTH_MS 1000
#define GROWTH_FACTOR 1.5
#define SUCCESS_SHARE 0.8 /* share of completed flows from which the budget grows */
#define FAILURE_SHARE 0.5 /* share of completed flows below which the budget shrinks */
#define FAILURE_MIN_FLOWS 4
#define WARM_MARGIN 1.5 /* least ratio of the budget to the expected share of a warm upstream */
#define WARM_MIN_COMPLETED 2   /* completed flows needed, per cold_flows_per_s */
#define PROBE_FAILURES 3       /* consecutive failed probes that make an upstream unreachable */
#define IN_BAND_MS 3000        /* completed flows this recent override failed probes */
#define SUSPECT_SETTLE_MS 5000 /* suspicions this soon after a change of health are ignored */

bool
cf_grant_available (const struct CfSlot *slot, CfMillis now)
{
  return slot->grant > 0 && now < slot->grant_until;
}

void
cf_set_health (struct CfCore *core, uint32_t number, enum peer_health health, CfMillis now)
{
  struct CfSlot *slot = cf_slot (core, number);

  if (slot->health == health && health != PEER_COLD)
    return;
  if (health == PEER_COLD)
    {
      core->stats.counter[CF_COUNT_COLD_STARTS] += slot->health != PEER_COLD;
      slot->slow_start = (struct CfSlowStart){
        .budget = slot->upstream ? slot->upstream->cold_flows_per_s : 1,
        .not_before = slot->slow_start.not_before,
        .next_growth = now + GROWTH_MS,
        .opened = slot->fleet.opened,
        .completed = slot->fleet.completed,
      };
      slot->grant = 0;
    }
  if (slot->health != health)
    slot->health_since = now;
  slot->health = health;
  core->heartbeat_urgent = true;
}

/* Returns the share of the fleet that this VM reaches.  Each side of a partition grants only
 * its own share of the budget. */
static double
reachable_share (const struct CfCore *core)
{
  uint32_t reached = 0;
  uint32_t known = 0;

  for (guint i = 0; i < core->members->len; i++)
    {
      const struct CfMember *member = cf_member (core, i);

      if (!member->alive && (!member->listed || member->left || !member->incarnation))
        continue;
      known++;
      reached += member->alive;
    }
  return (double) reached / known;
}

static void
open_window (struct CfCore *core, struct CfSlot *slot, CfMillis now)
{
  double quota = slot->slow_start.budget * reachable_share (core) / CF_GRANTS_PER_BUDGET;

  if (now < slot->slow_start.not_before)
    quota = 0;
  quota += slot->slow_start.carry;
  slot->slow_start.quota = (uint32_t) quota;
  slot->slow_start.carry = quota - slot->slow_start.quota;
  slot->slow_start.rotation++;
  slot->grant = cf_grant_for (core, slot, cf_member (core, 0));
  slot->grant_until = now + CF_GRANT_MS;
}

void
cf_grant_window_open (struct CfCore *core, CfMillis now)
{
  for (uint32_t i = 0; i < core->slots->len; i++)
    {
      struct CfSlot *slot = cf_slot (core, i);

      if (slot->gatekeeper == 0 && slot->health == PEER_COLD && slot->upstream)
        open_window (core, slot, now);
    }
}

uint32_t
cf_grant_for (const struct CfCore *core, const struct CfSlot *slot, const struct CfMember *member)
{
  const GArray *serving = core->current.candidates;

  for (guint i = 0; i < serving->len; i++)
    {
      uint32_t turn = (i + slot->slow_start.rotation) % serving->len;

      if (g_array_index (serving, struct CfCandidate, i).member != member->index)
        continue;
      return slot->slow_start.quota / serving->len + (turn < slot->slow_start.quota % serving->len);
    }
  return 0;
}

/* Returns the first packets of SERVICE so far, including refused ones.  The other members own
 * as many buckets as this one and are assumed to refuse as many. */
static uint32_t
service_demand (const struct CfCore *core, const struct CfServiceState *service)
{
  uint64_t demand = service->stats->refused * core->current.candidates->len;

  for (uint32_t i = 0; i < service->count; i++)
    demand += cf_slot (core, service->choices[i].slot)->fleet.opened;
  return (uint32_t) demand;
}

static double
weight_sum (const struct CfCore *core, const struct CfServiceState *service, double ready_budget)
{
  double sum = 0;

  for (uint32_t i = 0; i < service->count; i++)
    {
      const struct CfSlot *slot = cf_slot (core, service->choices[i].slot);
      double weight = service->choices[i].weight;

      if (!cf_slot_takes_new (slot) || slot->health == PEER_UNREACHABLE)
        continue;
      if (slot->health == PEER_WARM || slot->slow_start.budget >= ready_budget * weight)
        sum += weight;
    }
  return sum;
}

/* Returns the new flows per second that the slot may get once it is warm, of RATE for
 * the whole service.  While other upstreams cannot take their fair shares, the remainder
 * may all go to this one. */
static double
expected_share (const struct CfCore *core,
                const struct CfServiceState *service,
                const struct CfSlot *slot,
                uint32_t rate)
{
  double all = weight_sum (core, service, 0);
  double ready = all > 0 ? weight_sum (core, service, WARM_MARGIN * rate / all) : 0;

  return ready < all ? rate : rate * slot->upstream->weight / all;
}

static void
grow_budget (struct CfCore *core, uint32_t number, CfMillis now)
{
  struct CfSlot *slot = cf_slot (core, number);
  const struct CfServiceState *service = &core->services[slot->upstream->service];
  uint32_t demand = service_demand (core, service);
  uint32_t opened = slot->fleet.opened - slot->slow_start.opened;
  uint32_t completed = slot->fleet.completed - slot->slow_start.completed;
  double share = expected_share (core, service, slot, demand - slot->slow_start.demand);
  bool first = slot->slow_start.demand == 0;

  slot->slow_start.next_growth = now + GROWTH_MS;
  slot->slow_start.opened = slot->fleet.opened;
  slot->slow_start.completed = slot->fleet.completed;
  slot->slow_start.demand = demand;
  if (opened >= FAILURE_MIN_FLOWS && completed < FAILURE_SHARE * opened)
    {
      slot->slow_start.budget = MAX (slot->upstream->cold_flows_per_s, slot->slow_start.budget / 2);
      return;
    }
  slot->slow_start.completed_total += completed;
  /* A retransmitted first packet spends an admission but was counted as opened before. */
  if (completed >= SUCCESS_SHARE * opened && MAX (opened, completed) >= slot->slow_start.budget / 2)
    slot->slow_start.budget *= GROWTH_FACTOR;
  if (!first
      && slot->slow_start.completed_total >= WARM_MIN_COMPLETED * slot->upstream->cold_flows_per_s
      && slot->slow_start.budget >= WARM_MARGIN * share)
    cf_set_health (core, number, PEER_WARM, now);
}

void
cf_slow_start_tick (struct CfCore *core, CfMillis now)
{
  for (uint32_t i = 0; i < core->slots->len; i++)
    {
      const struct CfSlot *slot = cf_slot (core, i);

      if (slot->gatekeeper == 0 && slot->health == PEER_COLD && slot->upstream
          && now >= slot->slow_start.next_growth)
        grow_budget (core, i, now);
    }
}

void
cf_gatekeepers_update (struct CfCore *core, CfMillis now)
{
  GArray *mine = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (uint32_t i = 0; i < core->slots->len; i++)
    {
      struct CfSlot *slot = cf_slot (core, i);
      uint32_t gatekeeper = cf_owners_first (&core->current, slot->id);

      if (gatekeeper != slot->gatekeeper)
        {
          slot->slow_start.not_before = now + GROWTH_MS;
          slot->failures = 0;
        }
      slot->gatekeeper = gatekeeper;
      if (gatekeeper == 0 && slot->upstream && slot->upstream->health.port)
        g_array_append_val (mine, slot->index);
    }
  core->out->probe (core->context, (const uint32_t *) (const void *) mine->data, mine->len);
  g_array_unref (mine);
}

static void
apply_state (struct CfCore *core, uint32_t number, const struct peer_upstream *item, CfMillis now)
{
  struct CfSlot *slot = cf_slot (core, number);

  if (slot->health != item->health)
    cf_set_health (core, number, item->health, now);
  slot->generation = item->generation;
  if (item->health != PEER_COLD)
    return;
  slot->slow_start.budget = item->budget;
  if (item->grant == CF_NO_GRANT)
    return;
  slot->grant = item->grant;
  slot->grant_until = now + CF_GRANT_MS;
}

static bool
heartbeat_lists (const peer_heartbeat *heartbeat, uint32_t id)
{
  for (u_int i = 0; i < heartbeat->upstreams.upstreams_len; i++)
    if (heartbeat->upstreams.upstreams_val[i].upstream == id)
      return true;
  return false;
}

/* A gatekeeper lists all of its upstreams that are not warm, so one that it omits is warm. */
static void
apply_omissions (struct CfCore *core,
                 const struct CfMember *member,
                 const peer_heartbeat *heartbeat,
                 CfMillis now)
{
  if (!core->config || heartbeat->config_version < core->config->version
      || member->view != core->view)
    return;
  for (uint32_t i = 0; i < core->slots->len; i++)
    if (cf_slot (core, i)->gatekeeper == member->index && cf_slot (core, i)->health != PEER_WARM
        && !heartbeat_lists (heartbeat, cf_slot (core, i)->id))
      cf_set_health (core, i, PEER_WARM, now);
}

static void
apply_suspects (struct CfCore *core, const peer_heartbeat *heartbeat, CfMillis now)
{
  for (u_int i = 0; i < heartbeat->suspects.suspects_len; i++)
    {
      uint32_t number = cf_slot_for_id (core, heartbeat->suspects.suspects_val[i]);
      const struct CfSlot *slot = cf_slot (core, number);

      if (slot->gatekeeper == 0 && slot->health == PEER_WARM
          && now - slot->health_since > SUSPECT_SETTLE_MS)
        cf_set_health (core, number, PEER_COLD, now);
    }
}

void
cf_health_receive (struct CfCore *core,
                   struct CfMember *member,
                   const peer_heartbeat *heartbeat,
                   CfMillis now)
{
  for (u_int i = 0; i < heartbeat->upstreams.upstreams_len; i++)
    {
      const struct peer_upstream *item = &heartbeat->upstreams.upstreams_val[i];
      uint32_t number = cf_slot_for_id (core, item->upstream);

      if (cf_slot (core, number)->gatekeeper == member->index)
        apply_state (core, number, item, now);
    }
  apply_omissions (core, member, heartbeat, now);
  apply_suspects (core, heartbeat, now);
}

/* Returns true if ANSWER says how the upstream of SLOT is now.  Several probes of it are under way
 * at a time, and one over a connection that went silent ends long after those sent later. */
static bool
is_current (const struct CfSlot *slot, const struct CfHealthAnswer *answer)
{
  return answer->asked_at >= slot->probed_at
         && cf_address_equal (&answer->address, &slot->upstream->health);
}

void
cf_core_health (struct CfCore *core, const struct CfHealthAnswer *answer, CfMillis now)
{
  uint32_t number = cf_slot_for_id (core, answer->upstream);
  struct CfSlot *slot = cf_slot (core, number);
  uint32_t generation = (uint32_t) answer->start_time;
  bool in_band = slot->completed_at && now - slot->completed_at < IN_BAND_MS;

  if (slot->gatekeeper != 0 || !slot->upstream || !is_current (slot, answer))
    return;
  slot->probed_at = answer->asked_at;
  if (!answer->reachable || !answer->serving)
    {
      /* Recent completed flows override the health endpoint. */
      if (++slot->failures >= PROBE_FAILURES && !in_band)
        cf_set_health (core, number, PEER_UNREACHABLE, now);
      return;
    }
  slot->failures = 0;
  if (slot->health == PEER_UNREACHABLE
      || (generation && slot->generation && generation != slot->generation))
    cf_set_health (core, number, PEER_COLD, now);
  if (generation)
    slot->generation = generation;
}
