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
  struct CfWaiting startup_queue; /* first packets, until there are news */
  GHashTable *evacuated;          /* set of GQuark */
  GRand *random;
  GQuark domain;
  struct CfPatience near_timeout; /* with upstreams of this failure domain */
  struct CfPatience far_timeout;  /* with all others */
  uint32_t fleet_size;
  GArray *helpers; /* of uint32_t: IPs of other entry VMs */
  uint32_t next_helper;
  CfMillis news_at;
  struct CfIsolation isolation;
  struct CfOutages *outages;
  struct CfAnswers *answers;
  uint32_t flows_since_try; /* flows that were placed since one last tried a suspected upstream */
  CfMillis tried_at;        /* when one last did */
  CfMillis pruned_at;
};

/* outcome.c */
/* Returns the age of the news, -1 if there were none. */
CfMillis cf_balance_news_age (const struct CfBalance *balance, CfMillis now);
bool cf_balance_news_fresh (const struct CfBalance *balance, CfMillis now);
void cf_balance_decide (struct CfBalance *balance, const struct CfDecision *decision);
/* SEGMENT meets FATE; those that reset it do so. */
enum CfFate cf_balance_end (struct CfBalance *balance,
                            const struct CfSegment *segment,
                            const struct CfTarget *target,
                            enum CfFate fate,
                            CfMillis now);
bool cf_balance_ask_helper (struct CfBalance *balance, const struct CfSegment *segment);
enum CfFate cf_balance_hand_on (struct CfBalance *balance,
                                const struct CfSegment *segment,
                                enum CfFate fate,
                                CfMillis now);
void cf_balance_tell_reach (struct CfBalance *balance, const struct CfTarget *target);
void cf_balance_tell_outage (struct CfBalance *balance, GQuark domain, bool begins);

/* first.c */
enum CfFate
cf_balance_first (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);
/* Nothing has followed the first packet of CONNECTION in time. */
void cf_balance_overdue (struct CfBalance *balance, struct CfConnection *connection, CfMillis now);
/* First packets that waited for the first news go on if these are there. */
void cf_balance_resume (struct CfBalance *balance, CfMillis now);
/* Returns how long this VM waits for the successor of a first packet to TARGET. */
struct CfPatience *cf_balance_patience (struct CfBalance *balance, const struct CfTarget *target);

/* later.c */
enum CfFate
cf_balance_later (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);
/* Judges upstreams whose requests have waited for too long. */
void cf_balance_judge_stalled (struct CfBalance *balance, CfMillis now);

#endif
