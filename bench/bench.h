#ifndef CF_BENCH_H
#define CF_BENCH_H

#include "balance/balance.h"
#include "fleet.h"

/* Checks the measurement VALUE, called NAME, against its target, at most BOUND.  A miss is
 * printed and makes the program fail. */
void bench_bound (const char *name, double value, double bound);

/* Returns the number of misses. */
int bench_missed (void);

/* Runs deploys and failures under the product's policy and the baseline policies. */
void bench_scenarios (void);

/* Measures control and transfer traffic at the current production size. */
void bench_production_size (void);

/* Measures refusals and latency while a failure domain fails and returns. */
void bench_domain_outage (void);

/* Measures the load imbalance against the flow entries that a bound on it costs. */
void bench_balance (void);

/* Measures the time to route a packet, as a ratio to a bare hash-table lookup. */
void bench_packets (void);

/* The same for packets with flow cookies, compared with the given GUE times in ns. */
void bench_cookies (double gue_later, double gue_first);

/* Measures whole requests with flow cookies, with and without overload control. */
void bench_requests (void);

/* Returns a balancer that routes 198.18.0.1:80 to UPSTREAMS upstreams with 2 slots each, half of
 * them in failure domain "a". */
struct CfBalance *bench_new_balance (const struct CfBalanceOptions *options,
                                     const struct CfBalanceOutputs *callbacks,
                                     uint32_t upstreams);

#define BENCH_HEADER_BYTES 32
/* Writes to PACKET the header of a packet of the flow that CALLER opens to that address. */
void bench_build_packet (uint8_t *packet, uint32_t caller, uint8_t flags, uint32_t cookie);

/* Measures how costs grow with the number of members and of upstreams. */
void bench_scaling (void);

#endif
