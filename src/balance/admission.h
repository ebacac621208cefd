#ifndef CF_BALANCE_ADMISSION_H
#define CF_BALANCE_ADMISSION_H

#include "admission_queue.h"
#include "load_table.h"
#include "overload.h"
#include "routes.h"
#include "spill.h"

/* Admission control: joins what this VM and others see of each service (service_load.h,
 * load_table.h) with the decisions whether it is overloaded (overload.h), what one caller may have
 * (fair_share.h, retry_budget.h), and which flows wait (admission_queue.h).  No I/O.
 *
 * It acts on new flows of routes that state a target latency, while their service is overloaded. */

struct CfAdmissionOptions
{
  bool enabled;
  double hold_share;      /* part of a route's target latency that a first packet may wait */
  double floor_share;     /* part of the admitted rate kept for lower priorities */
  double retry_share;     /* repeated tries admitted for each first try */
  unsigned caller_prefix; /* leading bits of an address that make a caller */
};

/* A VM sends load reports for this long after it has seen upstreams turn requests away, or has
 * received a report of a VM that has. */
#define CF_ADMISSION_REPORT_MS 4000
/* Requests a second that upstreams must turn away at one VM for it to report. */
#define CF_ADMISSION_REPORT_SHED_RATE 1.0
/* Requests in progress for each slot from which it reports, half of those at which an overload may
 * begin.  Short answers of upstreams with free slots are small ones or errors: on days without
 * overload they made VMs send reports between failure domains. */
#define CF_ADMISSION_REPORT_OCCUPANCY 0.5
/* Longest hold time, whatever the target latency: callers retransmit their first packet after 200
 * ms, maybe to another VM, which sends it to an upstream. */
#define CF_ADMISSION_HOLD_MAX_MS 180
/* The state of a service without new flows is kept for this long. */
#define CF_ADMISSION_SERVICE_IDLE_MS 60000

enum CfRefusalReason
{
  CF_REFUSAL_NONE,
  CF_REFUSAL_PRIORITY, /* no token of its priority in time */
  CF_REFUSAL_CALLER,   /* its caller is above its share */
  CF_REFUSAL_RETRY,    /* a repeated try, and the budget for these is used up */
  CF_REFUSAL_QUEUE,    /* too many flows wait */
  CF_REFUSAL_EXPIRED,  /* it has waited for its hold time */
  CF_REFUSAL_COUNT,
};

const char *cf_refusal_reason_name (enum CfRefusalReason reason);

/* A decision about one flow and what it rests on, for the log. */
struct CfAdmissionVerdict
{
  enum CfAdmission admission;
  enum CfRefusalReason reason;
  GQuark service;
  uint32_t priority;
  double admitted;   /* part of the flows of this priority that is admitted */
  double caller_use; /* requests of the caller lately */
  double occupancy;  /* requests in progress for each slot */
  CfMillis age;      /* of the reports that it rests on */
};

/* The upstreams of a service that may get flows. */
struct CfUsableRoom
{
  double slots;          /* of all of them */
  double progress_share; /* part of this VM's requests in progress that is there, 0 to 1 */
};

struct CfAdmissionEvents
{
  /* SERVICE is overloaded (BEGINS) or no longer is.  SUM is what decided. */
  void (*overload) (void *context,
                    GQuark service,
                    const struct CfOverload *overload,
                    const struct CfLoadSum *sum,
                    bool begins);
  /* Returns the room of all upstreams of SERVICE that may get flows. */
  struct CfUsableRoom (*room) (void *context, GQuark service, CfMillis now);
};

struct CfAdmissionControl;

struct CfAdmissionControl *cf_admission_control_new (const struct CfAdmissionOptions *options,
                                                     GQuark domain,
                                                     const struct CfAdmissionEvents *events,
                                                     void *context);
void cf_admission_control_free (struct CfAdmissionControl *control);

/* Sets the number of VMs of the fleet, or of this VM's failure domain, itself included. */
void cf_admission_set_fleet_size (struct CfAdmissionControl *control, uint32_t vms);
void cf_admission_set_domain_size (struct CfAdmissionControl *control, uint32_t vms);
uint32_t cf_admission_domain_size (const struct CfAdmissionControl *control);

/* Records a new flow to SERVICE, of SEGMENT on ROUTE.  Returns true if it is a repeated try. */
bool cf_admission_record_flow (struct CfAdmissionControl *control,
                               GQuark service,
                               const struct CfRouteEntry *route,
                               const struct CfSegment *segment,
                               CfMillis now);

/* Decides about the flow that was just recorded. */
struct CfAdmissionVerdict cf_admission_decide (struct CfAdmissionControl *control,
                                               GQuark service,
                                               const struct CfRouteEntry *route,
                                               const struct CfSegment *segment,
                                               bool repeated,
                                               double chance,
                                               CfMillis now);

/* Records that a request was sent to SERVICE (BEGIN) or is no longer in progress. */
void cf_admission_record_progress (struct CfAdmissionControl *control,
                                   GQuark service,
                                   bool begin,
                                   CfMillis now);
/* Records a request of the caller at IP that ended with an answer, in full or SHORT: an upstream
 * may have turned it away.  Returns true if a short answer is to be taken for that and not for a
 * failure, since the service has no free slots. */
bool cf_admission_record_answer (
    struct CfAdmissionControl *control, GQuark service, uint32_t ip, bool is_short, CfMillis now);

/* Returns the spill to other failure domains of SERVICE. */
struct CfSpill *cf_admission_spill (struct CfAdmissionControl *control, GQuark service);

/* Returns true if SERVICE is overloaded. */
bool cf_admission_overloaded (const struct CfAdmissionControl *control, GQuark service);

/* Takes the next waiting packet that is to be placed or refused; the verdict says why. */
enum CfAdmissionEnd cf_admission_control_next (struct CfAdmissionControl *control,
                                               struct CfAdmissionResult *result,
                                               struct CfAdmissionVerdict *verdict,
                                               CfMillis now);
/* The waiting packets. */
struct CfAdmissionQueue *cf_admission_control_queue (struct CfAdmissionControl *control);

/* Decides anew which services are overloaded.  Returns by when to call again. */
CfMillis cf_admission_tick (struct CfAdmissionControl *control, CfMillis now);

/* Merges REPORT of another VM.  Returns false if it is dropped, see cf_load_table_merge. */
bool cf_admission_receive_report (struct CfAdmissionControl *control,
                                  const struct CfLoadReport *report,
                                  CfMillis now);

/* Writes this VM's services to REPORT.  Returns false if nothing is to be reported at NOW. */
bool
cf_admission_report (struct CfAdmissionControl *control, struct CfLoadReport *report, CfMillis now);

struct CfLoadTable *cf_admission_load_table (struct CfAdmissionControl *control);

/* Calls EACH with every service that this VM has sent flows to, for metrics. */
void cf_admission_each_service (const struct CfAdmissionControl *control,
                                void (*each) (void *context,
                                              GQuark service,
                                              const struct CfOverload *overload),
                                void *context);

#endif
