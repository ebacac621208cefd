#ifndef CF_TEST_BALANCERS_H
#define CF_TEST_BALANCERS_H

#include "balance/balance.h"

/* A small sim around balancers on virtual time: upstreams that answer, stay silent or
 * have ended, and callers that open flows, repeat their first packets and follow them up. */

#define SIM_SERVICE_IP 0xc6120001
#define SIM_RETRANSMIT_MS 200        /* a caller repeats its first packet after this */
#define SIM_SECOND_RETRANSMIT_MS 600 /* and after this */

struct Simulation;

/* What happened to one flow. */
struct SimFlow
{
  struct Simulation *sim;
  struct CfBalance *balance;
  struct CfEndpoint caller;
  CfMillis begun_at;
  CfMillis opened_at; /* -1: not */
  bool reset;
  const struct CfTarget *at; /* where it opened */
  uint32_t acknowledged;     /* bytes that the caller has got */
};

struct Simulation
{
  CfMillis now;
  GPtrArray *balances;      /* of struct CfBalance */
  GHashTable *unresponsive; /* set of ids: upstreams that do not answer */
  GHashTable *firsts;       /* id to GArray of CfMillis: first packets that arrived there */
  GPtrArray *flows;         /* of struct SimFlow, owned */
  GArray *events;           /* of struct SimEvent, by time */
  uint32_t next_port;
  uint32_t resets;
  uint32_t handed_on;
  uint32_t forwarded;
  const struct CfTarget *last; /* target of the last packet that was sent on */
  CfMillis round_trip;         /* from a first packet at a VM to its successor */
};

struct Simulation *sim_new (void);
void sim_free (struct Simulation *sim);

/* Adds a VM of DOMAIN with a manifest of two services, "s" at port 80 and "t" at port 81;
 * a cold upstream bears COLD_PER_S requests a second. */
struct CfBalance *sim_add_vm (struct Simulation *sim, const char *domain, double cold_per_s);

/* The same, for flows that live for LIFE_MS at most. */
struct CfBalance *sim_add_vm_with_lifetime (struct Simulation *sim,
                                            const char *domain,
                                            double cold_per_s,
                                            CfMillis lifetime_ms);

/* Adds a VM of DOMAIN that has just started and knows nothing. */
struct CfBalance *sim_add_unsynced_vm (struct Simulation *sim, const char *domain);

/* Announces the upstream ID of SERVICE in DOMAIN to BALANCE (NULL: to all VMs). */
void sim_add_upstream (struct Simulation *sim,
                       struct CfBalance *balance,
                       const char *id,
                       const char *service,
                       const char *domain,
                       CfMillis cold_ms);

/* A caller opens a flow to port PORT through BALANCE now. */
struct SimFlow *sim_open_flow (struct Simulation *sim, struct CfBalance *balance, uint16_t port);

/* The caller of FLOW sends a request, or acknowledges BYTES of its answer. */
void sim_send_request (struct SimFlow *flow);
void sim_acknowledge (struct SimFlow *flow, uint32_t bytes);

/* The caller of FLOW ends it. */
void sim_close_flow (struct SimFlow *flow);

/* Lets time pass until UNTIL. */
void sim_run (struct Simulation *sim, CfMillis until);

/* Returns the number of first packets that reached ID from FROM to before TO. */
uint32_t
sim_count_first_packets (struct Simulation *sim, const char *id, CfMillis from, CfMillis to);

/* Returns the manifest of sim_add_vm with VERSION; without SECOND port 81 is gone. */
struct CfManifest *sim_manifest (uint64_t version, double cold_per_s, bool second);

#endif
