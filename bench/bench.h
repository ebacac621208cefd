#ifndef CF_BENCH_H
#define CF_BENCH_H

#include "fleet.h"

/* Records that VALUE of the figure NAME may be at most BOUND, a stated target. */
void bench_bound (const char *name, double value, double bound);

/* Deploys and failures, beside the baselines. */
void bench_scenarios (void);

/* Control and transferred bytes at today's size. */
void bench_production_size (void);

/* Service while a failure domain leaves and returns. */
void bench_domain_outage (void);

/* Evenness of the load against the entries it costs. */
void bench_balance (void);

/* Time of a packet's decision, as a ratio to a bare look-up. */
void bench_packets (void);

/* The same behind a fabric with flow cookies, beside the times of the GUE form in ns. */
void bench_cookies (double gue_later, double gue_first);

/* Slopes against the number of members and of upstreams. */
void bench_scaling (void);

#endif
