#ifndef CF_TEST_SIMULATION_H
#define CF_TEST_SIMULATION_H

#include "balance/balance.h"

/* A simulation on virtual time of balancers with their callers and upstreams.  Upstreams answer or
 * do not respond; callers open flows, retransmit first packets and send second ones. */

#define SIM_SERVICE_IP 0xc6120001
#define SIM_RETRANSMIT_MS 200        /* callers retransmit their first packet after this */
#define SIM_SECOND_RETRANSMIT_MS 600 /* and again after this */

/* Callers have this many addresses, used in turn: a prime number, so that no address and port come
 * twice. */
#define SIM_CALLERS 251

struct Simulation;

struct SimFlow
{
  struct Simulation *sim;
  struct CfBalance *balance;
  struct CfEndpoint caller;
  CfMillis begun_at;
  CfMillis opened_at; /* -1: has not opened */
  bool reset;
  const struct CfTarget *target; /* the upstream where it opened */
  uint32_t acknowledged;         /* bytes that the caller has received */
  uint32_t sent;                 /* bytes of its requests */
};

struct Simulation
{
  CfMillis now;
  GPtrArray *balances;       /* of struct CfBalance */
  GHashTable *unresponsive;  /* set of ids: upstreams that do not answer */
  GHashTable *first_packets; /* id to GArray of CfMillis: first packets that arrived there */
  GPtrArray *flows;          /* of struct SimFlow, owned */
  GArray *events;            /* of struct SimEvent, by time */
  uint32_t next_port;
  uint32_t resets;
  uint32_t handed_on;
  uint32_t forwarded;
  const struct CfTarget *last;         /* target of the last forwarded packet */
  bool request_at_once;                /* the second packet of a flow carries its first request */
  struct CfAdmissionOptions admission; /* of VMs that are added from now on; off at first */
  struct CfDecision decision;          /* the last one that was reported */
  CfMillis round_trip; /* from the first packet of a flow to the second, at the VM */
};

struct Simulation *sim_new (void);
void sim_free (struct Simulation *sim);

/* Adds a VM of DOMAIN with a manifest of two services, "s" at port 80 and "t" at port 81, whose
 * cold upstreams have a capacity of COLD_PER_S requests/s. */
struct CfBalance *sim_add_vm (struct Simulation *sim, const char *domain, double cold_per_s);

/* The same, with a flow lifetime of LIFETIME_MS. */
struct CfBalance *sim_add_vm_with_lifetime (struct Simulation *sim,
                                            const char *domain,
                                            double cold_per_s,
                                            CfMillis lifetime_ms);

/* Adds a VM of DOMAIN that has just started: it has no manifest and has not synced. */
struct CfBalance *sim_add_unsynced_vm (struct Simulation *sim, const char *domain);

/* Announces the upstream ID of SERVICE in DOMAIN to BALANCE (NULL: to all VMs). */
void sim_add_upstream (struct Simulation *sim,
                       struct CfBalance *balance,
                       const char *id,
                       const char *service,
                       const char *domain,
                       CfMillis cold_ms);

/* Opens a flow of a new caller to port PORT through BALANCE. */
struct SimFlow *sim_open_flow (struct Simulation *sim, struct CfBalance *balance, uint16_t port);

/* Makes the caller of FLOW send a request, send its last request again, or acknowledge BYTES of
 * its answer. */
void sim_send_request (struct SimFlow *flow);
void sim_repeat_request (struct SimFlow *flow);
void sim_acknowledge (struct SimFlow *flow, uint32_t bytes);

/* Makes the caller of FLOW close it. */
void sim_close_flow (struct SimFlow *flow);

/* Advances the time to UNTIL. */
void sim_run (struct Simulation *sim, CfMillis until);

/* Returns the number of first packets that reached ID from FROM to before TO. */
uint32_t
sim_count_first_packets (struct Simulation *sim, const char *id, CfMillis from, CfMillis to);

/* Returns the manifest of sim_add_vm with VERSION; without SECOND it has no route at port 81. */
struct CfManifest *sim_manifest (uint64_t version, double cold_per_s, bool second);

#endif
