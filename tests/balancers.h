#ifndef CF_TEST_BALANCERS_H
#define CF_TEST_BALANCERS_H

#include "balance/balance.h"

/* A simulation on virtual time of balancers with their callers and upstreams.  Upstreams answer or
 * do not respond; callers open flows, retransmit first packets and send second ones. */

#define TEST_SERVICE_IP 0xc6120001
#define TEST_REPEAT_MS 200      /* callers retransmit their first packet after this */
#define TEST_REPEAT_LATE_MS 600 /* and again after this */

struct TestWorld;

struct TestFlow
{
  struct TestWorld *world;
  struct CfBalance *balance;
  struct CfEndpoint caller;
  CfMillis begun_at;
  CfMillis opened_at; /* -1: has not opened */
  bool reset;
  const struct CfTarget *target; /* the upstream where it opened */
  uint32_t acknowledged;         /* bytes that the caller has received */
};

struct TestWorld
{
  CfMillis now;
  GPtrArray *balances;       /* of struct CfBalance */
  GHashTable *dark;          /* set of ids: upstreams that do not answer */
  GHashTable *first_packets; /* id to GArray of CfMillis: first packets that arrived there */
  GPtrArray *flows;          /* of struct TestFlow, owned */
  GArray *events;            /* of struct TestEvent, by time */
  uint32_t next_port;
  uint32_t resets;
  uint32_t handed_on;
  uint32_t forwarded;
  const struct CfTarget *last; /* target of the last forwarded packet */
  CfMillis round_trip;         /* from the first packet of a flow to the second, at the VM */
};

struct TestWorld *test_world_new (void);
void test_world_free (struct TestWorld *world);

/* Adds a VM of DOMAIN with a manifest of two services, "s" at port 80 and "t" at port 81, whose
 * cold upstreams have a capacity of COLD_PER_S requests/s. */
struct CfBalance *test_world_vm (struct TestWorld *world, const char *domain, double cold_per_s);

/* The same, with a flow lifetime of LIFE_MS. */
struct CfBalance *test_world_vm_living (struct TestWorld *world,
                                        const char *domain,
                                        double cold_per_s,
                                        CfMillis life_ms);

/* Adds a VM of DOMAIN that has just started: it has no manifest and has not synced. */
struct CfBalance *test_world_started (struct TestWorld *world, const char *domain);

/* Announces the upstream ID of SERVICE in DOMAIN to BALANCE (NULL: to all VMs). */
void test_world_upstream (struct TestWorld *world,
                          struct CfBalance *balance,
                          const char *id,
                          const char *service,
                          const char *domain,
                          CfMillis cold_ms);

/* Opens a flow of a new caller to port PORT through BALANCE. */
struct TestFlow *
test_world_open (struct TestWorld *world, struct CfBalance *balance, uint16_t port);

/* Makes the caller of FLOW send a request, or acknowledge BYTES of its answer. */
void test_world_ask (struct TestFlow *flow);
void test_world_answer (struct TestFlow *flow, uint32_t bytes);

/* Makes the caller of FLOW close it. */
void test_world_close (struct TestFlow *flow);

/* Advances the time to UNTIL. */
void test_world_run (struct TestWorld *world, CfMillis until);

/* Returns the number of first packets that reached ID from FROM to before TO. */
uint32_t test_world_firsts (struct TestWorld *world, const char *id, CfMillis from, CfMillis to);

/* Returns the manifest of test_world_vm with VERSION; without SECOND it has no route at port 81. */
struct CfManifest *test_world_manifest (uint64_t version, double cold_per_s, bool second);

#endif
