#ifndef CF_TEST_BALANCERS_H
#define CF_TEST_BALANCERS_H

#include "balance/balance.h"

/* A small world around balancers on virtual time: upstreams that answer, stay silent or
 * have ended, and callers that open flows, repeat their first packets and follow them up. */

#define TEST_SERVICE_IP 0xc6120001
#define TEST_REPEAT_MS 200      /* a caller repeats its first packet after this */
#define TEST_REPEAT_LATE_MS 600 /* and after this */

struct TestWorld;

/* What happened to one flow. */
struct TestFlow
{
  struct TestWorld *world;
  struct CfBalance *balance;
  struct CfEndpoint caller;
  CfMillis begun_at;
  CfMillis opened_at; /* -1: not */
  bool reset;
  const struct CfTarget *at; /* where it opened */
  uint32_t acknowledged;     /* bytes that the caller has got */
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
  const struct CfTarget *last; /* target of the last packet that was sent on */
  CfMillis round_trip;         /* from a first packet at a VM to its successor */
};

struct TestWorld *test_world_new (void);
void test_world_free (struct TestWorld *world);

/* Adds a VM of DOMAIN with a manifest of two services, "s" at port 80 and "t" at port 81;
 * a cold upstream bears COLD_PER_S requests a second. */
struct CfBalance *test_world_vm (struct TestWorld *world, const char *domain, double cold_per_s);

/* The same, for flows that live for LIFE_MS at most. */
struct CfBalance *test_world_vm_living (struct TestWorld *world,
                                        const char *domain,
                                        double cold_per_s,
                                        CfMillis life_ms);

/* Adds a VM of DOMAIN that has just started and knows nothing. */
struct CfBalance *test_world_started (struct TestWorld *world, const char *domain);

/* Announces the upstream ID of SERVICE in DOMAIN to BALANCE (NULL: to all VMs). */
void test_world_upstream (struct TestWorld *world,
                          struct CfBalance *balance,
                          const char *id,
                          const char *service,
                          const char *domain,
                          CfMillis cold_ms);

/* A caller opens a flow to port PORT through BALANCE now. */
struct TestFlow *
test_world_open (struct TestWorld *world, struct CfBalance *balance, uint16_t port);

/* The caller of FLOW sends a request, or acknowledges BYTES of its answer. */
void test_world_ask (struct TestFlow *flow);
void test_world_answer (struct TestFlow *flow, uint32_t bytes);

/* The caller of FLOW ends it. */
void test_world_close (struct TestFlow *flow);

/* Lets time pass until UNTIL. */
void test_world_run (struct TestWorld *world, CfMillis until);

/* Returns the number of first packets that reached ID from FROM to before TO. */
uint32_t test_world_firsts (struct TestWorld *world, const char *id, CfMillis from, CfMillis to);

/* Returns the manifest of test_world_vm with VERSION; without SECOND port 81 is gone. */
struct CfManifest *test_world_manifest (uint64_t version, double cold_per_s, bool second);

#endif
