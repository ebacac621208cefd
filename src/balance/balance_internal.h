#ifndef CF_BALANCE_INTERNAL_H
#define CF_BALANCE_INTERNAL_H

#include "outlier.h"
#include "balance.h"
#include "connections.h"
#include "isolation.h"
#include "outage.h"
#include "open_timeout.h"
#include "startup_queue.h"

/* The layers of the balancer, each calling only those below it:
 *
 *   inputs and timers                  balance.c
 *   packets after the first            later_packet.c
 *   first packets                      first_packet.c
 *   admission of new flows             admit.c
 *   refusing and handing on, reports   outcome.c
 *   load reports                       load_exchange.c */

/* A tick that is this late shows that the process was paused: time-outs that expired meanwhile
 * are no evidence against an upstream. */
#define CF_PAUSE_MS 60

/* Callers abandon a flow that has not opened after 1.4 s. */
#define CF_PENDING_MAX_MS 1500

struct CfBalance
{
  struct CfBalanceOptions options;
  const struct CfBalanceOutputs *out;
  void *context;
  struct CfDirectory *directory;
  struct CfRoutes *routes;
  struct CfConnections connections;
  struct CfStartupQueue startup_queue; /* first packets, until the first sync */
  GHashTable *evacuated;               /* set of GQuark */
  GRand *random;
  GQuark domain;
  struct CfOpenTimeout near_timeout; /* for upstreams of this failure domain */
  struct CfOpenTimeout far_timeout;  /* for all others */
  uint32_t fleet_size;
  GArray *peers; /* of uint32_t: IPs of other entry VMs */
  uint32_t next_peer;
  CfMillis synced_at;
  struct CfIsolation isolation;
  struct CfOutages *outages;
  struct CfUnreachable *unreachable;
  struct CfOutlierDetector *outlier_detector;
  struct CfAdmissionControl *admission; /* NULL: off */
  struct CfExtraOpen *extra_open;
  CfMillis now;               /* of the input that is being handled */
  uint32_t flows_since_trial; /* flows placed since the last trial of a suspected upstream */
  CfMillis tried_at;          /* when that trial was */
  CfMillis pruned_at;
};

/* outcome.c */
/* Returns the time since the last sync, -1 if there was none. */
CfMillis cf_balance_sync_age (const struct CfBalance *balance, CfMillis now);
bool cf_balance_sync_fresh (const struct CfBalance *balance, CfMillis now);
void cf_balance_report_decision (struct CfBalance *balance, const struct CfDecision *decision);
/* Reports the OUTCOME of SEGMENT, and resets the flow if it is a reset.  Returns OUTCOME. */
enum CfOutcome cf_balance_finish (struct CfBalance *balance,
                                  const struct CfSegment *segment,
                                  const struct CfTarget *target,
                                  enum CfOutcome outcome,
                                  CfMillis now);
bool cf_balance_forward_to_peer (struct CfBalance *balance, const struct CfSegment *segment);
enum CfOutcome cf_balance_hand_on (struct CfBalance *balance,
                                   const struct CfSegment *segment,
                                   enum CfOutcome outcome,
                                   CfMillis now);
void cf_balance_notify_reach (struct CfBalance *balance, const struct CfTarget *target);
void cf_balance_notify_outage (struct CfBalance *balance, GQuark domain, bool begins);

/* first_packet.c */
enum CfOutcome
cf_balance_first_packet (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);
/* Handles the time-out of CONNECTION: no packet has followed its first packet in time. */
void cf_balance_open_timed_out (struct CfBalance *balance,
                                struct CfConnection *connection,
                                CfMillis now);
/* Sends the queued first packets if this VM has synced. */
void cf_balance_resume_queued (struct CfBalance *balance, CfMillis now);
/* Returns the time-out for flows that are being opened at TARGET. */
struct CfOpenTimeout *cf_balance_open_timeout (struct CfBalance *balance,
                                               const struct CfTarget *target);

/* Places the flows that waited for admission and may go on, and refuses those that may not. */
void cf_balance_resume_held (struct CfBalance *balance, CfMillis now);

/* admit.c */
/* Starts admission control, if the options ask for it. */
void cf_balance_init_admission (struct CfBalance *balance);
/* Decides whether SEGMENT, the first packet of a flow to SERVICE on ROUTE, is placed now. */
struct CfAdmissionVerdict cf_balance_admit (struct CfBalance *balance,
                                            const struct CfSegment *segment,
                                            const struct CfRouteEntry *route,
                                            GQuark service,
                                            CfMillis now);
/* Reports that SEGMENT is held, or refuses it, as VERDICT says. */
enum CfOutcome cf_balance_finish_unadmitted (struct CfBalance *balance,
                                             const struct CfSegment *segment,
                                             const struct CfAdmissionVerdict *verdict,
                                             CfMillis now);
/* Records that a request of CONNECTION ended with BYTES of an answer, which began after WAIT.
 * Returns true if TARGET turned it away because it was busy. */
bool cf_balance_record_answer (struct CfBalance *balance,
                               const struct CfConnection *connection,
                               struct CfTarget *target,
                               uint32_t bytes,
                               CfMillis wait,
                               CfMillis now);
/* Returns true if the next flow to SERVICE should go to another failure domain. */
bool cf_balance_prefers_far (struct CfBalance *balance, GQuark service, CfMillis now);

/* later_packet.c */
enum CfOutcome
cf_balance_later_packet (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);
/* Counts requests that have waited too long for an answer as failed. */
void cf_balance_fail_stalled (struct CfBalance *balance, CfMillis now);

#endif
