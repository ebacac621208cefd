#ifndef CF_BALANCE_ANSWERS_H
#define CF_BALANCE_ANSWERS_H

#include "directory.h"
#include "quality_report.h"

/* Tells which upstreams fail requests although flows open there and their health probes
 * succeed.
 *
 * Answers do not pass through an entry VM, but the caller's acknowledgements do: they say how
 * many bytes it got.  An answer that never comes, or is far shorter than is usual at its
 * address, is a failure.  What is usual differs between services and changes with them, so an
 * upstream is only compared with others of its service, and only a part of these is ever
 * avoided.  No I/O. */

/* An answer of less than this part of the usual length counts as a failure: an error's text
 * is short, and so are some good answers. */
#define CF_OUTLIER_SHORT_RATIO 0.33
/* A request without a byte of an answer for this long counts as a failure, until the answer
 * comes, */
#define CF_OUTLIER_STALL_MAX_MS 1000
/* or, where answers come sooner, for so many times the usual wait, */
#define CF_OUTLIER_STALL_FACTOR 10
/* but no less than this: an upstream may be busy for a moment. */
#define CF_OUTLIER_STALL_MIN_MS 150
/* VMs report what they see of an upstream for this long after somebody saw a failure there. */
#define CF_OUTLIER_REPORT_MS 4000
/* Old answers count half after this long. */
#define CF_OUTLIER_HALF_LIFE_MS 2000
/* An upstream is avoided from so many failures on, or, if it was avoided lately, from the first:
 * one that another VM saw counts a little less by the time that it is told. */
#define CF_OUTLIER_FAILURES_MIN 3.0
#define CF_OUTLIER_FAILURES_MIN_REPEATED 0.5
/* if these are this part of its answers, */
#define CF_OUTLIER_FAILURE_RATE_MIN 0.1
/* and so many times the part that fails at others of its service. */
#define CF_OUTLIER_FAILURE_RATE_FACTOR 4.0
/* At most one upstream of so many is avoided. */
#define CF_OUTLIER_AVOID_ONE_IN 3
/* For how long, doubled each time that it goes on failing. */
#define CF_OUTLIER_AVOID_MIN_MS 2000
#define CF_OUTLIER_AVOID_MAX_MS 16000

struct CfOutlierDetector;

struct CfOutlierDetector *cf_outlier_detector_new (void);
void cf_outlier_detector_free (struct CfOutlierDetector *answers);

/* A request to ADDRESS that TARGET worked on got BYTES of an answer.  SIBLINGS are all upstreams
 * of its service.  Returns true if TARGET is avoided from now on. */
bool cf_outlier_record_response (struct CfOutlierDetector *answers,
                                 struct CfTarget *target,
                                 GPtrArray *siblings,
                                 struct CfEndpoint address,
                                 uint32_t bytes,
                                 CfMillis now);

/* The first byte of an answer came from ADDRESS after WAIT. */
void cf_outlier_record_first_byte (struct CfOutlierDetector *answers,
                                   struct CfEndpoint address,
                                   CfMillis wait);

/* Returns how long a request to ADDRESS may go without a byte of an answer. */
CfMillis cf_outlier_stall_ms (const struct CfOutlierDetector *answers, struct CfEndpoint address);

/* The VM called VM told LINE of TARGET.  Returns true if TARGET is avoided from now on. */
bool cf_outlier_merge_report (struct CfOutlierDetector *answers,
                              struct CfTarget *target,
                              GPtrArray *siblings,
                              const char *vm,
                              const struct CfQualityLine *line,
                              CfMillis now);

/* Writes to REPORT what this VM saw of those of DIRECTORY's upstreams that are in question, less
 * the failures that it sees everywhere.
 * Returns false if there is nothing to tell. */
bool cf_outlier_report (struct CfOutlierDetector *answers,
                        const struct CfDirectory *directory,
                        struct CfQualityReport *report,
                        CfMillis now);

/* Returns true if TARGET is to be avoided at NOW. */
bool cf_outlier_avoided (const struct CfTarget *target, CfMillis now);

#endif
