#ifndef CF_RUNTIME_METRICS_TEXT_H
#define CF_RUNTIME_METRICS_TEXT_H

#include "cf_stats.h"

#include <glib.h>

/* Metrics in Prometheus text format. */

/* Returns VALUE as it stands between the quotes of a label on a metrics page. */
char *cf_metrics_label (const char *value);

/* Appends HISTOGRAM as the metric NAME of SERVICE, in Prometheus text format, to TEXT. */
void cf_metrics_histogram (GString *text,
                           const char *name,
                           const char *tenant,
                           const char *service,
                           const struct CfHistogram *histogram);

#endif
