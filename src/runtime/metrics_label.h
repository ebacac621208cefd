#ifndef CF_RUNTIME_METRICS_LABEL_H
#define CF_RUNTIME_METRICS_LABEL_H

/* Returns VALUE as it stands between the quotes of a label on a metrics page. */
char *cf_metrics_label (const char *value);

#endif
