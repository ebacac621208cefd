#ifndef CF_BALANCE_H
#define CF_BALANCE_H

#include "admission.h"
#include "directory.h"
#include "extra_open.h"
#include "load_report.h"
#include "place.h"
#include "quality_report.h"
#include "routes.h"
#include "segment.h"
#include "unreachable.h"

/* The forwarding decisions of an entry VM for packets that carry flow cookies.
 *
 * It performs no I/O, reads no clock and starts no thread.  Each input is one call that
 * passes the current time; each output is a call of a function in struct CfBalanceOutputs, made
 * before the input call returns.  Not thread-safe. */

struct CfBalance;

/* What was done with a packet. */
enum CfOutcome
{
  CF_OUTCOME_PLACED,         /* first packet, sent to a chosen upstream */
  CF_OUTCOME_PASSED,         /* sent to the upstream that its cookie names */
  CF_OUTCOME_MOVED,          /* first packet, sent to another upstream without a retransmission */
  CF_OUTCOME_EXTRA,          /* the same, while the first upstream may still open the flow */
  CF_OUTCOME_REPEATED,       /* retransmitted first packet, sent to another upstream */
  CF_OUTCOME_HANDED_ON,      /* sent to another entry VM, whose state may be newer */
  CF_OUTCOME_WAITING,        /* first packet, queued until this VM has synced */
  CF_OUTCOME_HELD,           /* first packet, queued until its overloaded service has room */
  CF_OUTCOME_RESET_NO_ROUTE, /* refused: no route at its address */
  CF_OUTCOME_RESET_NO_UPSTREAM,   /* refused: no eligible upstream */
  CF_OUTCOME_RESET_ROUTE_REMOVED, /* flow ended: its route was removed */
  CF_OUTCOME_RESET_UNREACHABLE,   /* flow ended: its upstream cannot be reached (unreachable.h) */
  CF_OUTCOME_RESET_OVERLOAD,      /* refused: its service is overloaded (admission.h) */
  CF_OUTCOME_DROPPED_LATE,        /* dropped: held until its caller retransmitted it */
  CF_OUTCOME_DROPPED_NO_ROUTE,    /* dropped: no route known, and the manifest may be stale */
  CF_OUTCOME_DROPPED_NO_UPSTREAM, /* dropped: no upstream known, and the directory may be stale */
  CF_OUTCOME_DROPPED_UNKNOWN_COOKIE, /* dropped: its cookie names no known upstream */
  CF_OUTCOME_DROPPED_OTHER_SERVICE,  /* dropped: its cookie names an upstream of another service */
  CF_OUTCOME_COUNT,
};

const char *cf_outcome_name (enum CfOutcome outcome);

/* A decision and its inputs, for the log. */
struct CfDecision
{
  enum CfOutcome outcome;
  struct CfEndpoint caller;
  struct CfEndpoint service;
  const struct CfTarget *target; /* NULL: none */
  const struct CfTarget *silent; /* the previous upstream, which did not respond; NULL: none */
  enum CfPlaceReason reason;
  enum CfUnreachableReason evidence; /* of CF_OUTCOME_RESET_UNREACHABLE */
  struct CfAdmissionVerdict verdict; /* of CF_OUTCOME_HELD and CF_OUTCOME_RESET_OVERLOAD */
  uint32_t tries;                    /* upstreams that got the first packet before */
  uint64_t manifest_version;         /* current version */
  CfMillis state_age;                /* how long the upstream has been in its state */
  CfMillis sync_age; /* since the last sync with the store, direct or through a peer;
                        -1: never */
  /* Of CF_OUTCOME_RESET_UNREACHABLE: since this VM last saw an answer of the upstream, and of any
   * upstream of its failure domain; -1: never. */
  CfMillis upstream_heard_age;
  CfMillis domain_heard_age;
};

struct CfBalanceOutputs
{
  /* Sends BYTES of SIZE, a packet, to TARGET with its cookie. */
  void (*forward) (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target);
  /* Sends SEGMENT to the entry VM at IP. */
  void (*hand_on) (void *context, const struct CfSegment *segment, uint32_t ip);
  /* Resets the flow of SEGMENT towards its caller.  Its packet may be the first one of the flow,
   * and of size 0 if that was not kept. */
  void (*reset) (void *context, const struct CfSegment *segment);
  /* The following only report events, and may be NULL. */

  /* A decision to log.  Not called for CF_OUTCOME_PASSED. */
  void (*decided) (void *context, const struct CfDecision *decision);
  /* A flow to SERVICE opened: its second packet came WAIT after the first. */
  void (*opened) (void *context, GQuark service, CfMillis wait);
  /* The reachability of TARGET has changed. */
  void (*reach_changed) (void *context, const struct CfTarget *target);
  /* TARGET is avoided for a while because it fails requests. */
  void (*failing) (void *context, const struct CfTarget *target);
  /* The upstreams of DOMAIN are avoided because they seem to be unreachable together, or are no
   * longer avoided. */
  void (*outage_changed) (void *context, GQuark domain, bool begins);
  /* An extra opening of a flow to SERVICE was due, with this RESULT. */
  void (*extra_opening) (void *context, GQuark service, enum CfExtraOpenResult result);
  /* A first packet has waited for admission for WAIT and is placed, or refused. */
  void (*held) (void *context, CfMillis wait);
  /* SERVICE is overloaded by what SUM says, or no longer is. */
  void (*overload_changed) (void *context,
                            GQuark service,
                            const struct CfOverload *overload,
                            const struct CfLoadSum *sum,
                            bool begins);
};

struct CfBalanceOptions
{
  const char *domain; /* failure domain of this VM */
  uint32_t seed;      /* of the random number generator */
  CfMillis flow_lifetime_ms;
  struct CfAdmissionOptions admission;
  double extra_openings; /* as a share of the usual ones of a service, 0: none (extra_open.h) */
};

struct CfBalance *cf_balance_new (const struct CfBalanceOptions *options,
                                  const struct CfBalanceOutputs *outputs,
                                  void *context);
void cf_balance_free (struct CfBalance *balance);

/* Handles SEGMENT, received from the fabric. */
enum CfOutcome
cf_balance_segment (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);

/* Runs what is due at NOW.  Returns the time by which to call again. */
CfMillis cf_balance_tick (struct CfBalance *balance, CfMillis now);

/* Applies MANIFEST if it is newer.  Returns true if it was applied. */
bool cf_balance_manifest (struct CfBalance *balance, const struct CfManifest *manifest);

/* Starts (ON) or ends the evacuation of DOMAIN, which gets no new flows meanwhile. */
void cf_balance_evacuate (struct CfBalance *balance, const char *domain, bool on, CfMillis now);

/* Records that the state was synced with the store at NOW, directly or through a peer.  First
 * packets that were queued until the first sync are sent at the next tick. */
void cf_balance_synced (struct CfBalance *balance, CfMillis now);

/* Sets the COUNT entry VMs, at IPS, that packets may be handed on to: those of the own failure
 * domain first. */
void cf_balance_set_peers (struct CfBalance *balance, const uint32_t *ips, uint32_t count);

/* Merges REPORT, which another VM of this failure domain sent. */
void cf_balance_receive_report (struct CfBalance *balance,
                                const struct CfQualityReport *report,
                                CfMillis now);

/* Writes to REPORT, except for its sender, the report to the other VMs of this failure domain.
 * Returns false if there is nothing to report. */
bool cf_balance_report (struct CfBalance *balance, struct CfQualityReport *report, CfMillis now);

/* Merges REPORT on load, which another VM of this region sent.  Returns false if it is dropped, see
 * cf_load_table_merge. */
bool cf_balance_receive_load (struct CfBalance *balance,
                              const struct CfLoadReport *report,
                              CfMillis now);

/* Writes to REPORT, except for its sender, the load report to other VMs of this region.  Returns
 * false if there is nothing to report. */
bool cf_balance_load_report (struct CfBalance *balance, struct CfLoadReport *report, CfMillis now);

/* Sets the number of VMs in this failure domain, this one included. */
void cf_balance_set_domain_size (struct CfBalance *balance, uint32_t count);

/* Sets the number of VMs that share the capacity of a cold upstream. */
void cf_balance_set_fleet_size (struct CfBalance *balance, uint32_t count);

/* Returns the admission control, NULL if it is off. */
struct CfAdmissionControl *cf_balance_admission (struct CfBalance *balance);

struct CfDirectory *cf_balance_directory (struct CfBalance *balance);
const struct CfRoutes *cf_balance_routes (const struct CfBalance *balance);

/* Returns true if this VM seems to be cut off from all upstreams: several first packets were lost,
 * no flow opened, and no sync with the store succeeded since.  The fabric should use other VMs
 * until the next sync, which shows that the VM is connected again. */
bool cf_balance_isolated (struct CfBalance *balance, CfMillis now);

/* Returns true if new flows can be served: there are a manifest and a ready upstream, and this VM
 * is not isolated. */
bool cf_balance_ready (const struct CfBalance *balance);

/* Returns the number of flows that this VM tracks. */
uint32_t cf_balance_flows (const struct CfBalance *balance);

#endif
