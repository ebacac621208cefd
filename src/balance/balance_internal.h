#ifndef CF_BALANCE_INTERNAL_H
#define CF_BALANCE_INTERNAL_H

#include "answers.h"
#include "balance.h"
#include "connections.h"
#include "isolation.h"
#include "outage.h"
#include "patience.h"
#include "waiting.h"

/* The parts of the balancer:
 *
 *   balance.c  what it is told, and time
 *   later.c    packets after the first
 *   first.c    first packets
 *   outcome.c  what becomes of packets
 *
 * each calling only those below it. */

/* A tick that comes this late says that this VM stood still: nothing that it missed
 * speaks against an upstream. */
#define CF_PAUSE_MS 60

/* A caller gives a flow up that has not opened after 1.4 s. */
#define CF_PENDING_MAX_MS 1500

struct CfBalance
{
  struct CfBalanceOptions options;
  const struct CfBalanceOutputs *out;
  void *context;
  struct CfDirectory *directory;
  struct CfRoutes *routes;
  struct CfConnections connections;
  struct CfStartupQueue waiting; /* first packets, until there are news */
  GHashTable *evacuated;         /* set of GQuark */
  GRand *random;
  GQuark domain;
  struct CfOpenTimeout near; /* with upstreams of this failure domain */
  struct CfOpenTimeout far;  /* with all others */
  uint32_t fleet;
  GArray *peers; /* of uint32_t: IPs of other entry VMs */
  uint32_t next_peer;
  CfMillis synced_at;
  struct CfIsolation isolation;
  struct CfOutages *outages;
  struct CfOutlierDetector *answers;
  uint32_t flows_since_trial; /* flows that were placed since one last tried a suspected upstream */
  CfMillis tried_at;          /* when one last did */
  CfMillis pruned_at;
};

/* outcome.c */
/* Returns the age of the news, -1 if there were none. */
CfMillis cf_balance_sync_age (const struct CfBalance *balance, CfMillis now);
bool cf_balance_sync_fresh (const struct CfBalance *balance, CfMillis now);
void cf_balance_report_decision (struct CfBalance *balance, const struct CfDecision *decision);
/* SEGMENT meets FATE; those that reset it do so. */
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

/* first.c */
enum CfOutcome
cf_balance_first_packet (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);
/* Nothing has followed the first packet of CONNECTION in time. */
void cf_balance_open_timed_out (struct CfBalance *balance,
                                struct CfConnection *connection,
                                CfMillis now);
/* First packets that waited for the first news go on if these are there. */
void cf_balance_resume_queued (struct CfBalance *balance, CfMillis now);
/* Returns how long this VM waits for the successor of a first packet to TARGET. */
struct CfOpenTimeout *cf_balance_open_timeout (struct CfBalance *balance,
                                               const struct CfTarget *target);

/* later.c */
enum CfOutcome
cf_balance_later_packet (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);
/* Judges upstreams whose requests have waited for too long. */
void cf_balance_fail_stalled (struct CfBalance *balance, CfMillis now);

#endif
