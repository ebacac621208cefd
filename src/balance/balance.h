#ifndef CF_BALANCE_H
#define CF_BALANCE_H

#include "directory.h"
#include "place.h"
#include "quality_report.h"
#include "routes.h"
#include "segment.h"

/* The decisions of an entry VM whose packets carry flow cookies.
 *
 * It performs no I/O, reads no clock and starts no thread.  Each input is one call with
 * its time; each output is a call of a function in struct CfBalanceOutputs, made before
 * the input call returns.  Used from one thread at a time. */

struct CfBalance;

/* What became of a packet. */
enum CfOutcome
{
  CF_OUTCOME_PLACED,         /* first packet, sent to a chosen upstream */
  CF_OUTCOME_PASSED,         /* sent to the upstream that its cookie names */
  CF_OUTCOME_MOVED,          /* first packet, sent to another upstream without being repeated */
  CF_OUTCOME_REPEATED,       /* first packet that its caller repeated, sent to another upstream */
  CF_OUTCOME_HANDED_ON,      /* sent to another entry VM, which may know more */
  CF_OUTCOME_WAITING,        /* first packet, kept until this VM has the first news */
  CF_OUTCOME_RESET_NO_ROUTE, /* refused: no route at its address */
  CF_OUTCOME_RESET_NO_UPSTREAM,      /* refused: no upstream may take it */
  CF_OUTCOME_RESET_ROUTE_REMOVED,    /* flow ended: its route was removed */
  CF_OUTCOME_DROPPED_NO_ROUTE,       /* dropped: no route known, and the manifest may be old */
  CF_OUTCOME_DROPPED_NO_UPSTREAM,    /* dropped: no upstream known, and what is known may be old */
  CF_OUTCOME_DROPPED_UNKNOWN_COOKIE, /* dropped: its cookie names no known upstream */
  CF_OUTCOME_DROPPED_OTHER_SERVICE,  /* dropped: its cookie names an upstream of another service */
  CF_OUTCOME_COUNT,
};

const char *cf_outcome_name (enum CfOutcome outcome);

/* A decision for the log, with what decided it. */
struct CfDecision
{
  enum CfOutcome outcome;
  struct CfEndpoint caller;
  struct CfEndpoint service;
  const struct CfTarget *target; /* NULL: none */
  const struct CfTarget *silent; /* the upstream that did not react before; NULL: none */
  enum CfPlaceReason reason;
  uint32_t tries;            /* upstreams that the first packet went to before */
  uint64_t manifest_version; /* in force */
  CfMillis known_for;        /* how long the upstream has been in its state */
  CfMillis sync_age;         /* since the store last answered, directly or through another VM;
                                -1: it never has */
};

struct CfBalanceOutputs
{
  /* Sends BYTES of SIZE, a packet, to TARGET with its cookie. */
  void (*forward) (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target);
  /* Sends SEGMENT to the entry VM at IP. */
  void (*hand_on) (void *context, const struct CfSegment *segment, uint32_t ip);
  /* Resets the flow of SEGMENT towards its caller. */
  void (*reset) (void *context, const struct CfSegment *segment);
  /* The rest only tells what happens, and may be NULL. */

  /* A decision was made that a log may tell.  Not called for CF_OUTCOME_PASSED. */
  void (*decided) (void *context, const struct CfDecision *decision);
  /* The first packet of a flow to SERVICE was followed by another after WAIT. */
  void (*opened) (void *context, GQuark service, CfMillis wait);
  /* The reachability of TARGET has changed. */
  void (*reach_changed) (void *context, const struct CfTarget *target);
  /* TARGET is avoided for a while, since it fails requests. */
  void (*failing) (void *context, const struct CfTarget *target);
  /* The upstreams of DOMAIN are avoided since they seem to be out of reach together, or no
   * longer are. */
  void (*outage_changed) (void *context, GQuark domain, bool begins);
};

struct CfBalanceOptions
{
  const char *domain; /* failure domain of this VM */
  uint32_t seed;      /* of random choices */
  CfMillis flow_lifetime_ms;
};

struct CfBalance *cf_balance_new (const struct CfBalanceOptions *options,
                                  const struct CfBalanceOutputs *outputs,
                                  void *context);
void cf_balance_free (struct CfBalance *balance);

/* SEGMENT came from the fabric. */
enum CfOutcome
cf_balance_segment (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now);

/* Time passes.  Returns when to call again at the latest. */
CfMillis cf_balance_tick (struct CfBalance *balance, CfMillis now);

/* MANIFEST was read.  Returns true if it came into force. */
bool cf_balance_manifest (struct CfBalance *balance, const struct CfManifest *manifest);

/* The failure domain DOMAIN is to get no new flows, or may get them again. */
void cf_balance_evacuate (struct CfBalance *balance, const char *domain, bool on, CfMillis now);

/* What is known is as of NOW: the store answered, or a peer whom it answered.  First packets
 * that waited for the first news go on with the next tick. */
void cf_balance_synced (struct CfBalance *balance, CfMillis now);

/* The COUNT entry VMs at IPS may know what this one does not: others of its failure domain
 * first. */
void cf_balance_set_peers (struct CfBalance *balance, const uint32_t *ips, uint32_t count);

/* Another VM of this failure domain told REPORT. */
void cf_balance_receive_report (struct CfBalance *balance,
                                const struct CfQualityReport *report,
                                CfMillis now);

/* Writes to REPORT, but for its sender, what others of this failure domain should hear.  Returns
 * false if there is nothing. */
bool cf_balance_report (struct CfBalance *balance, struct CfQualityReport *report, CfMillis now);

/* COUNT VMs share what a cold upstream bears. */
void cf_balance_set_fleet_size (struct CfBalance *balance, uint32_t count);

struct CfDirectory *cf_balance_directory (struct CfBalance *balance);
const struct CfRoutes *cf_balance_routes (const struct CfBalance *balance);

/* Returns true if this VM seems to be cut off from all upstreams: first packets to several
 * were lost, none was followed up, and no news have come since.  The fabric should use others;
 * news say that the cut is over. */
bool cf_balance_isolated (struct CfBalance *balance, CfMillis now);

/* Returns true if new flows can be served: there is a manifest and an upstream, and this VM
 * was not found to be isolated. */
bool cf_balance_ready (const struct CfBalance *balance);

/* Returns the number of flows that this VM has a record of. */
uint32_t cf_balance_flows (const struct CfBalance *balance);

#endif
