#include "balance_internal.h"
#include "pace.h"
#include "reach.h"

/* Admission of new flows while their service is overloaded, and what the requests of this VM show
 * about the load of upstreams. */

/* An upstream that cannot be reached, is cold or fails requests has no room for more. */
static bool
is_usable (const struct CfAvoidedDomains *avoided, const struct CfTarget *target, CfMillis now)
{
  return (target->state == CF_TARGET_READY || target->state == CF_TARGET_LAPSED)
         && !cf_target_shares_cookie (target, now) && now >= target->cold_until
         && cf_reach_good (&target->reach) && !cf_domain_suspected (avoided, target->domain)
         && !cf_outlier_avoided (target, now) && !cf_domain_evacuated (avoided, target->domain);
}

/* Requests to an upstream that has been lost fill no slot, though they still await an answer. */
static struct CfUsableRoom
usable_room (void *context, GQuark service, CfMillis now)
{
  const struct CfBalance *balance = context;
  GPtrArray *targets = cf_directory_service (balance->directory, service);
  struct CfAvoidedDomains avoided = cf_avoided_domains (balance->evacuated, balance->outages);
  struct CfUsableRoom room = { 0 };
  uint32_t awaiting = 0;
  uint32_t usable = 0;

  for (guint i = 0; targets && i < targets->len; i++)
    {
      const struct CfTarget *target = targets->pdata[i];

      awaiting += target->awaiting;
      if (!is_usable (&avoided, target, now))
        continue;
      usable += target->awaiting;
      room.slots += target->slots;
    }
  room.progress_share = awaiting > 0 ? (double) usable / awaiting : 1;
  return room;
}

static void
overload_changed (void *context,
                  GQuark service,
                  const struct CfOverload *overload,
                  const struct CfLoadSum *sum,
                  bool begins)
{
  struct CfBalance *balance = context;

  if (balance->out->overload_changed)
    balance->out->overload_changed (balance->context, service, overload, sum, begins);
}

static const struct CfAdmissionEvents events = {
  .overload = overload_changed,
  .room = usable_room,
};

static void
awaiting_changed (void *context, const struct CfConnection *connection, bool begins)
{
  struct CfBalance *balance = context;

  struct CfTarget *target = connection->target;

  if (target && begins)
    target->awaiting++;
  else if (target && target->awaiting > 0)
    target->awaiting--;
  cf_admission_record_progress (balance->admission, connection->service_name, begins, balance->now);
}

void
cf_balance_init_admission (struct CfBalance *balance)
{
  if (!balance->options.admission.enabled)
    return;
  balance->admission
      = cf_admission_control_new (&balance->options.admission, balance->domain, &events, balance);
  balance->connections.awaiting_changed = awaiting_changed;
  balance->connections.context = balance;
}

struct CfAdmissionVerdict
cf_balance_admit (struct CfBalance *balance,
                  const struct CfSegment *segment,
                  const struct CfRouteEntry *route,
                  GQuark service,
                  CfMillis now)
{
  struct CfAdmissionVerdict verdict = { .admission = CF_ADMISSION_PLACE };
  struct CfAdmissionQueue *queue = cf_admission_control_queue (balance->admission);
  bool repeated;

  if (service == 0) /* all splits of ROUTE have weight 0 */
    return verdict;

  /* Another VM, or this one before a restart, may have sent it to an upstream. */
  if (segment->retransmit_count > 0
      || segment->flags & (CF_SEGMENT_FROM_PEER | CF_SEGMENT_SENT_TO_PEER | CF_SEGMENT_QUEUED))
    {
      cf_admission_forget (queue, segment->caller, segment->service);
      return verdict;
    }
  if (cf_admission_waits (queue, segment->caller, segment->service))
    {
      verdict.admission = CF_ADMISSION_HELD;
      return verdict;
    }
  repeated = cf_admission_record_flow (balance->admission, service, route, segment, now);
  if (!cf_admission_overloaded (balance->admission, service))
    return verdict;
  return cf_admission_decide (balance->admission, service, route, segment, repeated,
                              g_rand_double (balance->random), now);
}

enum CfOutcome
cf_balance_finish_unadmitted (struct CfBalance *balance,
                              const struct CfSegment *segment,
                              const struct CfAdmissionVerdict *verdict,
                              CfMillis now)
{
  enum CfOutcome outcome
      = verdict->admission == CF_ADMISSION_HELD ? CF_OUTCOME_HELD : CF_OUTCOME_RESET_OVERLOAD;

  if (outcome == CF_OUTCOME_RESET_OVERLOAD)
    balance->out->reset (balance->context, segment);
  cf_balance_report_decision (balance, &(struct CfDecision){
                                           .outcome = outcome,
                                           .caller = segment->caller,
                                           .service = segment->service,
                                           .reason = CF_PLACE_NONE,
                                           .verdict = *verdict,
                                           .manifest_version = cf_routes_version (balance->routes),
                                           .sync_age = cf_balance_sync_age (balance, now),
                                       });
  return outcome;
}

bool
cf_balance_record_answer (struct CfBalance *balance,
                          const struct CfConnection *connection,
                          struct CfTarget *target,
                          uint32_t bytes,
                          CfMillis wait,
                          CfMillis now)
{
  double mean = cf_outlier_usual_wait_ms (balance->outlier_detector, connection->service);
  bool is_short = cf_outlier_is_short (balance->outlier_detector, connection->service, bytes);

  if (bytes == 0)
    return false;
  if (cf_admission_record_answer (balance->admission, target->service, connection->caller.ip,
                                  is_short, now))
    {
      /* During an overload all upstreams turn requests away.  One that does so more often than the
       * others may still have free slots, which would stay idle. */
      if (!cf_admission_overloaded (balance->admission, target->service))
        cf_pace_record_shed (&target->pace, now);
      return true;
    }
  /* An error may be quick: its wait says nothing about the upstream's load. */
  if (is_short || wait < 0 || mean <= 0)
    return false;
  cf_pace_record (&target->pace, wait, mean, now);
  cf_spill_record (cf_admission_spill (balance->admission, target->service),
                   target->domain == balance->domain, (double) wait, now);
  return false;
}

bool
cf_balance_prefers_far (struct CfBalance *balance, GQuark service, CfMillis now)
{
  double share;

  if (service == 0)
    return false;
  share = cf_spill_update (cf_admission_spill (balance->admission, service), now);
  return share > 0 && g_rand_double (balance->random) < share;
}
