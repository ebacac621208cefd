#ifndef CF_BALANCE_SERVICE_LOAD_H
#define CF_BALANCE_SERVICE_LOAD_H

#include "cf_types.h"
#include "load_report.h"

#include <glib.h>

/* What this VM itself sees of each service: decayed rates of new flows, of answers and of requests
 * that busy upstreams turned away, and the mean number of requests in progress.  No I/O. */

/* Rates halve in this time when nothing more comes: short, since a burst begins and ends within a
 * second, and long enough for a VM with tens of requests a second. */
#define CF_SERVICE_LOAD_HALF_LIFE_MS 400
/* Half-life of the mean number of requests in progress: it shows free slots before the rates do. */
#define CF_SERVICE_LOAD_PROGRESS_HALF_LIFE_MS 150
/* Half-life of the rate that shows the begin of a burst to the token buckets. */
#define CF_SERVICE_LOAD_BURST_HALF_LIFE_MS 150

/* Half-life of the usual demand: long against a burst. */
#define CF_SERVICE_LOAD_USUAL_HALF_LIFE_MS 20000

struct CfServiceLoads;

struct CfServiceLoads *cf_service_loads_new (void);
void cf_service_loads_free (struct CfServiceLoads *loads);

/* Records a new flow of PRIORITY to SERVICE: a first packet that is not a retransmission. */
void cf_service_loads_demand (struct CfServiceLoads *loads,
                              GQuark service,
                              uint32_t priority,
                              CfMillis now);
/* Records that a request was sent (BEGIN) or ended: it has been answered, has stalled, or its flow
 * has ended. */
void
cf_service_loads_progress (struct CfServiceLoads *loads, GQuark service, bool begin, CfMillis now);
/* Records the end of a request: answered in full, or turned away by a busy upstream (SHED). */
void
cf_service_loads_answer (struct CfServiceLoads *loads, GQuark service, bool shed, CfMillis now);

/* Adds the present demand of SERVICE to its usual demand.  To be called every second or more often
 * while the service is not overloaded. */
void cf_service_loads_learn_usual (struct CfServiceLoads *loads, GQuark service, CfMillis now);

/* Writes to COUNTS the rates at NOW.  Returns false, with COUNTS all 0, if SERVICE is not known. */
bool cf_service_loads_counts (const struct CfServiceLoads *loads,
                              GQuark service,
                              CfMillis now,
                              struct CfLoadCounts *counts);

/* Returns the rate of new flows of PRIORITY for the token buckets of this VM, per second.  It
 * follows the begin of a burst within some 200 ms, so that a VM whose demand has just risen does
 * not refuse flows for which there is room, and its end as slowly as the other rates. */
double cf_service_loads_demand_rate (const struct CfServiceLoads *loads,
                                     GQuark service,
                                     uint32_t priority,
                                     CfMillis now);

/* Removes services that have had no event for 60 s.  To be called every few seconds. */
void cf_service_loads_prune (struct CfServiceLoads *loads, CfMillis now);

#endif
