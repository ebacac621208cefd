#ifndef CF_TEST_NETWORK_H
#define CF_TEST_NETWORK_H

#include "cf_types.h"

#include <glib.h>

/* Virtual time and a seeded network for tests: events are delivered in the order of
 * their times, and datagrams suffer delay, loss, duplication and partitions. */

struct TestNetwork;

typedef void TestHandler (void *context, void *payload);

/* Faults of the links between VMs. */
struct TestLink
{
  CfMillis delay_min;
  CfMillis delay_max; /* above delay_min datagrams overtake each other */
  double loss;
  double duplicate;
};

struct TestNetwork *test_network_new (uint32_t seed);
void test_network_free (struct TestNetwork *network);

CfMillis test_network_now (const struct TestNetwork *network);
GRand *test_network_random (struct TestNetwork *network);

/* Calls HANDLER with CONTEXT and PAYLOAD at time AT, then frees PAYLOAD with FREE. */
void test_network_at (struct TestNetwork *network,
                      CfMillis at,
                      TestHandler *handler,
                      void *context,
                      void *payload,
                      GDestroyNotify free);

/* Sets the faults of all links between VMs from now on. */
void test_network_set_link (struct TestNetwork *network, const struct TestLink *link);

/* Puts VM into GROUP.  VMs of different groups do not reach each other. */
void test_network_set_group (struct TestNetwork *network, uint32_t vm, uint32_t group);

/* Returns true if FROM reaches TO. */
bool test_network_reaches (const struct TestNetwork *network, uint32_t from, uint32_t to);

/* Sends a datagram of SIZE bytes from VM FROM to VM TO: calls HANDLER with a
 * copy of PAYLOAD for each copy of the datagram that the link delivers. */
void test_network_send (struct TestNetwork *network,
                        uint32_t from,
                        uint32_t to,
                        TestHandler *handler,
                        void *context,
                        const void *payload,
                        size_t size);

/* Handles events until time UNTIL. */
void test_network_run (struct TestNetwork *network, CfMillis until);

#endif
