#include "admission.h"
#include "fair_share.h"
#include "retry_budget.h"
#include "retry_tracker.h"
#include "service_load.h"

#include <math.h>
#include <string.h>

/* Repeated tries admitted in any case, in a window of the retry budget: with few requests, a share
 * of them would be none. */
#define RETRIES_MIN 2.0
/* Interval at which expired load reports and idle services are removed. */
#define PRUNE_INTERVAL_MS 10000
/* After so long without a tick, twice the usual interval during overload and a little less than
 * the 200 ms after which callers retransmit, this VM was paused.  The first packets that waited
 * meanwhile may have been retransmitted to another VM, which opened their flows. */
#define PAUSED_MS 190
/* Recent requests of a caller at one VM up to which it goes before no other. */
#define CALLER_USE_USUAL 4.0

struct Service
{
  GQuark name;
  struct CfOverload overload;
  struct CfSpill spill;
  struct CfFairShare *callers;
  struct CfRetryBudget retries;
  CfMillis updated_at;
  CfMillis used_at; /* last new flow */
};

struct CfAdmissionControl
{
  struct CfAdmissionOptions options;
  GQuark domain;
  const struct CfAdmissionEvents *events;
  void *context;
  uint32_t vms;
  uint32_t domain_vms;
  struct CfServiceLoads *loads;
  struct CfLoadTable *table;
  struct CfRetryTracker *tracker;
  struct CfAdmissionQueue *queue;
  GHashTable *services;  /* GQuark to struct Service */
  CfMillis report_until; /* load reports are sent until then */
  CfMillis pruned_at;
  CfMillis ticked_at;
  uint32_t overloads; /* services that are overloaded */
  CfMillis update_at; /* when they are to be looked at next without a new flow */
};

static void
free_service (gpointer data)
{
  struct Service *service = data;

  cf_fair_share_free (service->callers);
  g_free (service);
}

struct CfAdmissionControl *
cf_admission_control_new (const struct CfAdmissionOptions *options,
                          GQuark domain,
                          const struct CfAdmissionEvents *events,
                          void *context)
{
  struct CfAdmissionControl *control = g_new0 (struct CfAdmissionControl, 1);

  control->options = *options;
  control->domain = domain;
  control->events = events;
  control->context = context;
  control->vms = 1;
  control->domain_vms = 1;
  control->loads = cf_service_loads_new ();
  control->table = cf_load_table_new ();
  control->tracker = cf_retry_tracker_new ();
  control->queue = cf_admission_queue_new ();
  control->services = g_hash_table_new_full (NULL, NULL, NULL, free_service);
  return control;
}

void
cf_admission_control_free (struct CfAdmissionControl *control)
{
  g_hash_table_unref (control->services);
  cf_admission_queue_free (control->queue);
  cf_retry_tracker_free (control->tracker);
  cf_load_table_free (control->table);
  cf_service_loads_free (control->loads);
  g_free (control);
}

void
cf_admission_set_fleet_size (struct CfAdmissionControl *control, uint32_t vms)
{
  control->vms = MAX (vms, 1);
}

void
cf_admission_set_domain_size (struct CfAdmissionControl *control, uint32_t vms)
{
  control->domain_vms = MAX (vms, 1);
}

uint32_t
cf_admission_domain_size (const struct CfAdmissionControl *control)
{
  return control->domain_vms;
}

static struct Service *
find_service (const struct CfAdmissionControl *control, GQuark name)
{
  return g_hash_table_lookup (control->services, GUINT_TO_POINTER (name));
}

static struct Service *
get_service (struct CfAdmissionControl *control, GQuark name)
{
  struct Service *service = find_service (control, name);

  if (service)
    return service;
  service = g_new0 (struct Service, 1);
  service->name = name;
  service->callers = cf_fair_share_new (control->options.caller_prefix);
  cf_retry_budget_init (&service->retries, control->options.retry_share, RETRIES_MIN);
  g_hash_table_insert (control->services, GUINT_TO_POINTER (name), service);
  return service;
}

/* Returns true if COUNTS of one VM show that upstreams turn requests away. */
static bool
sheds (const struct CfLoadCounts *counts)
{
  return counts->shed >= CF_ADMISSION_REPORT_SHED_RATE
         && counts->shed >= CF_OVERLOAD_ENTER_SHED * (counts->shed + counts->answered);
}

/* Writes to COUNTS what this VM sees of SERVICE, with the requests in progress at upstreams that
 * may get flows.  Returns the room there. */
static struct CfUsableRoom
count_own (struct CfAdmissionControl *control,
           GQuark service,
           CfMillis now,
           struct CfLoadCounts *counts)
{
  struct CfUsableRoom room = control->events->room (control->context, service, now);

  cf_service_loads_counts (control->loads, service, now, counts);
  counts->in_progress *= room.progress_share;
  return room;
}

static void
update_service (struct CfAdmissionControl *control, struct Service *service, CfMillis now)
{
  struct CfLoadCounts own;
  struct CfLoadSum sum;
  struct CfUsableRoom room;
  enum CfOverloadChange change;
  bool was_active = service->overload.active;

  if (now - service->updated_at < CF_OVERLOAD_INTERVAL_MS)
    return;
  service->updated_at = now;
  if (!was_active)
    cf_service_loads_learn_usual (control->loads, service->name, now);
  room = count_own (control, service->name, now, &own);
  cf_load_table_sum (control->table, g_quark_to_string (service->name), &own, control->domain,
                     control->domain_vms, now, &sum);
  change = cf_overload_update (&service->overload, &sum,
                               cf_overload_slots (&sum, room.slots, control->vms), control->domain,
                               control->options.floor_share, now);
  if (sheds (&own) && service->overload.occupancy >= CF_ADMISSION_REPORT_OCCUPANCY)
    control->report_until = now + CF_ADMISSION_REPORT_MS;
  if (service->overload.active && cf_spill_near_has_room (&service->spill, now))
    {
      cf_overload_end (&service->overload);
      change = was_active ? CF_OVERLOAD_ENDS : CF_OVERLOAD_SAME;
    }
  control->overloads += service->overload.active;
  control->overloads -= was_active;
  if (change == CF_OVERLOAD_ENDS)
    cf_admission_release (control->queue, service->name, now);
  if (change != CF_OVERLOAD_SAME)
    control->events->overload (control->context, service->name, &service->overload, &sum,
                               change == CF_OVERLOAD_BEGINS);
}

bool
cf_admission_record_flow (struct CfAdmissionControl *control,
                          GQuark service_name,
                          const struct CfRouteEntry *route,
                          const struct CfSegment *segment,
                          CfMillis now)
{
  struct Service *service = get_service (control, service_name);
  bool repeated;

  service->used_at = now;
  cf_service_loads_demand (control->loads, service_name, route->priority, now);
  cf_fair_share_record (service->callers, segment->caller.ip, now);
  repeated = cf_retry_tracker_match (control->tracker, segment->caller.ip, service_name, now);
  if (!repeated)
    cf_retry_budget_deposit (&service->retries, now);
  update_service (control, service, now);
  return repeated;
}

static struct CfAdmissionVerdict
refuse (struct CfAdmissionControl *control,
        const struct Service *service,
        const struct CfSegment *segment,
        struct CfAdmissionVerdict verdict,
        enum CfRefusalReason reason,
        CfMillis now)
{
  verdict.admission = CF_ADMISSION_REFUSE;
  verdict.reason = reason;
  cf_retry_tracker_failed (control->tracker, segment->caller.ip, service->name, now);
  return verdict;
}

static struct CfAdmissionVerdict
new_verdict (const struct Service *service, uint32_t priority)
{
  return (struct CfAdmissionVerdict){
    .admission = CF_ADMISSION_PLACE,
    .service = service->name,
    .priority = priority,
    .admitted = cf_overload_admitted (&service->overload, priority),
    .occupancy = service->overload.occupancy,
    .age = service->overload.age,
  };
}

/* Returns the part of the requests of the caller at IP that is within its share, relative to
 * callers below the level: what these may have is decided by tokens. */
static double
caller_part (struct Service *service, uint32_t ip, double admitted, CfMillis now)
{
  double others = cf_fair_share_admitted (service->callers, 0, admitted, now);

  return others > 0 ? cf_fair_share_admitted (service->callers, ip, admitted, now) / others : 1;
}

/* Returns true if what is handled before the next tick may have waited through a pause. */
static bool
was_paused (const struct CfAdmissionControl *control, CfMillis now)
{
  return now - control->ticked_at >= PAUSED_MS;
}

/* Returns the order of a caller within its priority: callers with about the same use are equal, and
 * go in the order in which they came. */
static double
caller_rank (double use)
{
  return use < CALLER_USE_USUAL ? 0 : floor (log2 (use));
}

struct CfAdmissionVerdict
cf_admission_decide (struct CfAdmissionControl *control,
                     GQuark service_name,
                     const struct CfRouteEntry *route,
                     const struct CfSegment *segment,
                     bool repeated,
                     double chance,
                     CfMillis now)
{
  struct Service *service = get_service (control, service_name);
  struct CfAdmissionVerdict verdict = new_verdict (service, route->priority);
  enum CfAdmission admission;
  double hold_ms = control->options.hold_share * (double) route->target_latency_ms;
  double rate;

  if (!service->overload.active || route->target_latency_ms <= 0 || was_paused (control, now))
    return verdict;
  /* Chance deviations from the mean rates would empty a bucket although there is room for all. */
  if (cf_overload_admits_all (&service->overload))
    return verdict;
  verdict.caller_use = cf_fair_share_use (service->callers, segment->caller.ip, now);
  if (verdict.admitted < 1)
    {
      if (chance >= caller_part (service, segment->caller.ip, verdict.admitted, now))
        return refuse (control, service, segment, verdict, CF_REFUSAL_CALLER, now);
      if (repeated && !cf_retry_budget_withdraw (&service->retries, now))
        return refuse (control, service, segment, verdict, CF_REFUSAL_RETRY, now);
    }
  rate = cf_service_loads_demand_rate (control->loads, service_name, route->priority, now);
  admission
      = cf_admission_request (control->queue,
                              &(struct CfAdmissionRequest){
                                  .segment = segment,
                                  .service = service_name,
                                  .priority = route->priority,
                                  .rate = rate * verdict.admitted,
                                  .admitted = verdict.admitted,
                                  .caller_use = caller_rank (verdict.caller_use),
                                  .hold_ms = (CfMillis) MIN (hold_ms, CF_ADMISSION_HOLD_MAX_MS),
                              },
                              now);
  if (admission == CF_ADMISSION_REFUSE || admission == CF_ADMISSION_FULL)
    return refuse (control, service, segment, verdict,
                   admission == CF_ADMISSION_FULL ? CF_REFUSAL_QUEUE : CF_REFUSAL_PRIORITY, now);
  verdict.admission = admission;
  return verdict;
}

void
cf_admission_record_progress (struct CfAdmissionControl *control,
                              GQuark service,
                              bool begin,
                              CfMillis now)
{
  cf_service_loads_progress (control->loads, service, begin, now);
}

bool
cf_admission_record_answer (struct CfAdmissionControl *control,
                            GQuark service_name,
                            uint32_t ip,
                            bool is_short,
                            CfMillis now)
{
  struct Service *service = find_service (control, service_name);
  bool full;

  /* With requests on open flows only, the occupancy of the last new flow is old. */
  if (service)
    update_service (control, service, now);
  full = service && service->overload.occupancy >= CF_OVERLOAD_ENTER_OCCUPANCY;
  cf_service_loads_answer (control->loads, service_name, is_short, now);
  if (!is_short || !full)
    return false;
  cf_retry_tracker_failed (control->tracker, ip, service_name, now);
  return true;
}

struct CfSpill *
cf_admission_spill (struct CfAdmissionControl *control, GQuark service_name)
{
  return &get_service (control, service_name)->spill;
}

bool
cf_admission_overloaded (const struct CfAdmissionControl *control, GQuark service_name)
{
  const struct Service *service = find_service (control, service_name);

  return service && service->overload.active;
}

enum CfAdmissionEnd
cf_admission_control_next (struct CfAdmissionControl *control,
                           struct CfAdmissionResult *result,
                           struct CfAdmissionVerdict *verdict,
                           CfMillis now)
{
  enum CfAdmissionEnd end = cf_admission_next (control->queue, result, now);
  const struct Service *service
      = end == CF_ADMISSION_END_NONE ? NULL : get_service (control, result->service);

  if (!service)
    return end;
  if (was_paused (control, now))
    end = CF_ADMISSION_END_PLACE;
  *verdict = new_verdict (service, result->priority);
  if (end == CF_ADMISSION_END_EXPIRED)
    *verdict = refuse (control, service, &result->segment, *verdict, CF_REFUSAL_EXPIRED, now);
  return end;
}

struct CfAdmissionQueue *
cf_admission_control_queue (struct CfAdmissionControl *control)
{
  return control->queue;
}

/* Returns true if a service that gets no flows may be forgotten. */
static gboolean
is_unused (gpointer key, gpointer value, gpointer now)
{
  const struct Service *service = value;

  (void) key;
  return !service->overload.active
         && *(const CfMillis *) now - service->used_at > CF_ADMISSION_SERVICE_IDLE_MS;
}

CfMillis
cf_admission_tick (struct CfAdmissionControl *control, CfMillis now)
{
  CfMillis next = now < control->report_until ? now + CF_LOAD_REPORT_INTERVAL_MS : G_MAXINT64;
  CfMillis due;
  GHashTableIter iter;
  gpointer value;

  control->ticked_at = now;
  if (control->overloads > 0 && now >= control->update_at)
    {
      control->update_at = now + CF_OVERLOAD_INTERVAL_MS;
      g_hash_table_iter_init (&iter, control->services);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (((struct Service *) value)->overload.active)
          update_service (control, value, now);
    }
  if (control->overloads > 0)
    next = MIN (next, control->update_at);
  if (now - control->pruned_at >= PRUNE_INTERVAL_MS)
    {
      control->pruned_at = now;
      cf_service_loads_prune (control->loads, now);
      g_hash_table_foreach_remove (control->services, is_unused, &now);
    }
  /* The end of an overload has released packets. */
  due = cf_admission_due (control->queue);
  return MIN (next, due);
}

bool
cf_admission_receive_report (struct CfAdmissionControl *control,
                             const struct CfLoadReport *report,
                             CfMillis now)
{
  if (!cf_load_table_merge (control->table, report, now))
    return false;
  for (uint32_t i = 0; i < report->service_count; i++)
    if (sheds (&report->services[i].counts))
      control->report_until = now + CF_ADMISSION_REPORT_MS;
  return true;
}

/* Inserts SERVICE into REPORT, which keeps those with the most requests in progress in descending
 * order. */
static void
add_service (struct CfLoadReport *report, const struct CfLoadService *service)
{
  uint32_t place = report->service_count;

  while (place > 0 && report->services[place - 1].counts.in_progress < service->counts.in_progress)
    place--;
  if (place == CF_LOAD_SERVICES_MAX)
    return;
  report->service_count = MIN (report->service_count + 1, CF_LOAD_SERVICES_MAX);
  memmove (&report->services[place + 1], &report->services[place],
           (report->service_count - 1 - place) * sizeof *service);
  report->services[place] = *service;
}

bool
cf_admission_report (struct CfAdmissionControl *control, struct CfLoadReport *report, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  report->service_count = 0;
  if (now >= control->report_until)
    return false;
  g_hash_table_iter_init (&iter, control->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GQuark name = ((struct Service *) value)->name;
      struct CfLoadService service;

      if (g_strlcpy (service.name, g_quark_to_string (name), sizeof service.name)
          >= sizeof service.name)
        continue;
      count_own (control, name, now, &service.counts);
      add_service (report, &service);
    }
  return report->service_count > 0;
}

struct CfLoadTable *
cf_admission_load_table (struct CfAdmissionControl *control)
{
  return control->table;
}

void
cf_admission_each_service (const struct CfAdmissionControl *control,
                           void (*each) (void *context,
                                         GQuark service,
                                         const struct CfOverload *overload),
                           void *context)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, control->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (context, ((struct Service *) value)->name, &((struct Service *) value)->overload);
}
