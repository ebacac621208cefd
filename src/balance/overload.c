#include "overload.h"

/* Part of the requests turned away below which almost none are. */
#define LEAVE_SHED 0.01
/* Part turned away at which nothing more is admitted than is answered. */
#define PROBE_SHED_MAX 0.1
#define ROUNDING 1e-9

/* Returns RATE within bounds, 0 if it is not a number. */
static double
sane (double rate)
{
  return rate > 0 ? MIN (rate, CF_LOAD_RATE_MAX * CF_LOAD_RATE_MAX) : 0;
}

/* Returns the weight of claim I, above 0. */
static double
weight_of (const double *weight, uint32_t i)
{
  return weight && sane (weight[i]) > 0 ? weight[i] : 1;
}

void
cf_max_min_shares (
    const double *demand, const double *weight, uint32_t count, double capacity, double *share)
{
  double left = sane (capacity);
  double open = 0; /* weight of the claims that are not decided */

  for (uint32_t i = 0; i < count; i++)
    {
      share[i] = sane (demand[i]) > 0 ? -1 : 1; /* -1: not decided */
      open += share[i] < 0 ? weight_of (weight, i) : 0;
    }
  /* Each round grants those in full that ask for no more than their part. */
  for (bool granted = true; granted && open > 0;)
    {
      double part = left / open;

      granted = false;
      for (uint32_t i = 0; i < count; i++)
        if (share[i] < 0 && sane (demand[i]) <= part * weight_of (weight, i))
          {
            share[i] = 1;
            left = MAX (left - sane (demand[i]), 0);
            open -= weight_of (weight, i);
            granted = true;
          }
    }
  for (uint32_t i = 0; i < count; i++)
    if (share[i] < 0)
      share[i] = open > 0 ? MIN (left / open * weight_of (weight, i) / sane (demand[i]), 1) : 0;
}

double
cf_overload_slots (const struct CfLoadSum *sum, double slots, uint32_t fleet_vms)
{
  if (sum->vms == 0 || fleet_vms <= sum->vms)
    return sane (slots);
  return sane (slots) * sum->vms / fleet_vms;
}

static double
total_demand (const struct CfLoadSum *sum)
{
  double total = 0;

  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    total += sane (sum->total.demand[i]);
  return total;
}

/* Writes what this VM sees of the load to OVERLOAD. */
static void
observe (struct CfOverload *overload, const struct CfLoadSum *sum, double slots)
{
  double answered = sane (sum->total.answered);
  double shed = sane (sum->total.shed);

  overload->occupancy = sane (slots) > 0 ? sane (sum->total.in_progress) / sane (slots) : 0;
  overload->shed_share = shed > 0 ? shed / (answered + shed) : 0;
  overload->age = sum->age;
  overload->reporting = sum->reporting;
}

static bool
must_begin (const struct CfOverload *overload, const struct CfLoadSum *sum)
{
  return overload->occupancy >= CF_OVERLOAD_ENTER_OCCUPANCY
         && overload->shed_share >= CF_OVERLOAD_ENTER_SHED
         && sane (sum->total.shed) >= CF_OVERLOAD_SHED_RATE_MIN;
}

/* Returns how far the requests turned away are below the part at which no more is admitted than is
 * answered, 0 to 1. */
static double
shed_margin (const struct CfOverload *overload)
{
  return MAX (1 - overload->shed_share / PROBE_SHED_MAX, 0);
}

/* Returns the flows a second with which an overload begins: as many as would fill the queues to
 * CF_OVERLOAD_FILL_OCCUPANCY, less as more are turned away.  The answered rate is no measure then:
 * it lags by the age of the reports, and is low while upstreams that have just crashed still get
 * flows. */
static double
first_capacity (const struct CfOverload *overload, const struct CfLoadSum *sum)
{
  return total_demand (sum) * shed_margin (overload) * CF_OVERLOAD_FILL_OCCUPANCY
         / MAX (overload->occupancy, CF_OVERLOAD_ENTER_OCCUPANCY);
}

/* Estimates the flows a second that all VMs together can admit. */
static void
estimate_capacity (struct CfOverload *overload, const struct CfLoadSum *sum)
{
  double probe = (CF_OVERLOAD_PROBE - 1) * shed_margin (overload);
  double answered = sane (sum->total.answered) * (1 + probe);
  double room = CLAMP (CF_OVERLOAD_FILL_OCCUPANCY - overload->occupancy, -1, 1);
  double adjusted = overload->capacity * (1 + CF_OVERLOAD_GROWTH * room);

  /* Beyond the demand, growth would only delay the reaction to the next burst. */
  overload->capacity = MAX (answered, MIN (adjusted, total_demand (sum) * CF_OVERLOAD_PROBE));
}

/* Returns the part of DOMAIN's demand of PRIORITY that is admitted when all domains together get
 * GRANT.  Domains have claims in proportion to their usual demand: when all of them press alike,
 * the same part of each is admitted, and one that presses alone takes nothing from the others. */
static double
domain_share (const struct CfLoadSum *sum, uint32_t priority, GQuark domain, double grant)
{
  double demand[CF_LOAD_DOMAINS_MAX] = { 0 };
  double usual[CF_LOAD_DOMAINS_MAX] = { 0 };
  double share[CF_LOAD_DOMAINS_MAX];
  bool known = true;
  uint32_t count = MIN (sum->domain_count, CF_LOAD_DOMAINS_MAX);
  double total = sane (sum->total.demand[priority]);

  for (uint32_t i = 0; i < count; i++)
    {
      demand[i] = sum->domains[i].counts.demand[priority];
      usual[i] = sum->domains[i].counts.usual;
      known &= usual[i] > 0;
    }
  /* Rounding must not leave a priority that is granted in full just below it. */
  cf_max_min_shares (demand, known ? usual : NULL, count, grant * (1 + ROUNDING), share);
  for (uint32_t i = 0; i < count; i++)
    if (sum->domains[i].domain == domain)
      return share[i];
  return total > grant ? grant / total : 1;
}

/* Divides the capacity by priority.  Returns true if all demand is admitted. */
static bool
divide_capacity (struct CfOverload *overload,
                 const struct CfLoadSum *sum,
                 GQuark domain,
                 double floor_share)
{
  double left = overload->capacity;
  double below = total_demand (sum);
  bool all = below <= left;

  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      double demand = sane (sum->total.demand[i]);
      double grant;

      below = MAX (below - demand, 0);
      /* What the lower priorities do not ask for is not reserved: otherwise less than the capacity
       * would be admitted, less be answered, and the estimate would fall with it. */
      grant = MIN (demand, left - MIN (floor_share * left, below));
      overload->admitted[i] = domain_share (sum, i, domain, grant);
      left = MAX (left - grant, 0);
    }
  return all;
}

void
cf_overload_end (struct CfOverload *overload)
{
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    overload->admitted[i] = 1;
  if (overload->active)
    overload->ended_at = overload->decided_at;
  overload->active = false;
  overload->capacity = 0;
  overload->calm_since = 0;
}

/* Returns true if the conditions to leave have held for long enough, CALM being that they do. */
static bool
must_end (struct CfOverload *overload, bool calm, bool paused, CfMillis now)
{
  if (!calm)
    overload->calm_since = 0;
  else if (overload->calm_since == 0 || paused)
    overload->calm_since = now;
  return calm && now - overload->calm_since >= CF_OVERLOAD_LEAVE_MS;
}

enum CfOverloadChange
cf_overload_update (struct CfOverload *overload,
                    const struct CfLoadSum *sum,
                    double slots,
                    GQuark domain,
                    double floor_share,
                    CfMillis now)
{
  bool first = overload->decided_at == 0;
  bool paused = now - overload->decided_at > CF_OVERLOAD_PAUSE_MS;
  bool began = false;
  bool all;

  if (!first && now - overload->decided_at < CF_OVERLOAD_INTERVAL_MS)
    return CF_OVERLOAD_SAME;
  overload->decided_at = now;
  observe (overload, sum, slots);
  if (!overload->active)
    {
      cf_overload_end (overload);
      if (!must_begin (overload, sum))
        return CF_OVERLOAD_SAME;
      overload->active = began = true;
      overload->since = now;
      if (overload->ended_at == 0 || now - overload->ended_at > CF_OVERLOAD_AGAIN_MS)
        overload->capacity = first_capacity (overload, sum);
    }
  estimate_capacity (overload, sum);
  all = divide_capacity (overload, sum, domain, CLAMP (sane (floor_share), 0, 0.5));
  if (must_end (overload,
                overload->occupancy < CF_OVERLOAD_LEAVE_OCCUPANCY
                    || (all && overload->shed_share < LEAVE_SHED),
                paused, now))
    {
      cf_overload_end (overload);
      return CF_OVERLOAD_ENDS;
    }
  return began ? CF_OVERLOAD_BEGINS : CF_OVERLOAD_SAME;
}

double
cf_overload_admitted (const struct CfOverload *overload, uint32_t priority)
{
  return overload->active ? overload->admitted[MIN (priority, CF_LOAD_PRIORITIES - 1)] : 1;
}

bool
cf_overload_admits_all (const struct CfOverload *overload)
{
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    if (cf_overload_admitted (overload, i) < 1)
      return false;
  return true;
}
