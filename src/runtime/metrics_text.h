#ifndef CF_RUNTIME_METRICS_TEXT_H
#define CF_RUNTIME_METRICS_TEXT_H

#include "cf_stats.h"

#include <glib.h>

/* Metrics in Prometheus text format. */

/* Returns VALUE as it stands between the quotes of a label on a metrics page. */
char *cf_metrics_label (const char *value);

/* Appends a line with VALUE to TEXT.  FORMAT gives the metric's name and labels. */
void cf_metrics_value (GString *text, uint64_t value, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Appends HISTOGRAM as the metric NAME of SERVICE, in Prometheus text format, to TEXT. */
void cf_metrics_histogram (GString *text,
                           const char *name,
                           const char *tenant,
                           const char *service,
                           const struct CfHistogram *histogram);

#endif
