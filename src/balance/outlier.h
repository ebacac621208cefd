#ifndef CF_BALANCE_OUTLIER_H
#define CF_BALANCE_OUTLIER_H

#include "directory.h"
#include "quality_report.h"

/* Passive outlier detection: finds upstreams that fail requests although flows open there and
 * their health probes succeed.
 *
 * Answers do not pass through an entry VM (direct server return), but the caller's
 * acknowledgements do, and tell how many bytes it received.  An answer that never comes, or is
 * far shorter than the baseline of its address, is a failure.  Baselines differ between
 * services and change with releases, so an upstream is only compared with others of its service,
 * and only a part of these is ever avoided.  No I/O. */

/* An answer shorter than this fraction of the baseline counts as a failure.  Error responses are
 * short; some good answers are too, so single failures are tolerated. */
#define CF_OUTLIER_SHORT_RATIO 0.33
/* A request without a byte of its answer counts as failed after CF_OUTLIER_STALL_FACTOR times the
 * mean time to the first byte at its address, within these bounds, or after the maximum if there
 * is no mean yet.  An answer that comes later is counted as well.  The minimum allows for an
 * upstream that is busy for a moment. */
#define CF_OUTLIER_STALL_MAX_MS 1000
#define CF_OUTLIER_STALL_FACTOR 10
#define CF_OUTLIER_STALL_MIN_MS 150
/* VMs report on an upstream for this long after any of them observed a failure there. */
#define CF_OUTLIER_REPORT_MS 4000
/* The weight of an answer halves in this time. */
#define CF_OUTLIER_HALF_LIFE_MS 2000
/* An upstream is avoided if it has at least this many failures, or at least
 * CF_OUTLIER_FAILURES_MIN_REPEATED if it was avoided recently: less than 1, since a failure that
 * another VM observed has decayed a little when its report arrives; */
#define CF_OUTLIER_FAILURES_MIN 3.0
#define CF_OUTLIER_FAILURES_MIN_REPEATED 0.5
/* and if this fraction of its answers failed, */
#define CF_OUTLIER_FAILURE_RATE_MIN 0.1
/* and if its failure rate is this many times that of the rest of its service. */
#define CF_OUTLIER_FAILURE_RATE_FACTOR 4.0
/* At most one in this many ready upstreams of a service is avoided. */
#define CF_OUTLIER_AVOID_ONE_IN 3
/* How long an upstream is avoided: doubles each time in a row, up to the maximum. */
#define CF_OUTLIER_AVOID_MIN_MS 2000
#define CF_OUTLIER_AVOID_MAX_MS 16000

struct CfOutlierDetector;

struct CfOutlierDetector *cf_outlier_detector_new (void);
void cf_outlier_detector_free (struct CfOutlierDetector *detector);

/* Records that a request to ADDRESS, handled by TARGET, got BYTES of an answer.  SIBLINGS are all
 * upstreams of its service.  Returns true if TARGET is avoided from now on.  No answer from an
 * upstream that is gone does not count. */
bool cf_outlier_record_response (struct CfOutlierDetector *detector,
                                 struct CfTarget *target,
                                 GPtrArray *siblings,
                                 struct CfEndpoint address,
                                 uint32_t bytes,
                                 CfMillis now);

/* Drops the answers of TARGET from those of its service, if some failed: its process has ended, and
 * its failures say nothing of what is usual. */
void cf_outlier_forget (struct CfOutlierDetector *detector, struct CfTarget *target, CfMillis now);

/* Records that the first byte of an answer from ADDRESS came after WAIT. */
void cf_outlier_record_first_byte (struct CfOutlierDetector *detector,
                                   struct CfEndpoint address,
                                   CfMillis wait);

/* Returns the mean time to the first byte of an answer from ADDRESS in ms, 0 if it is not known. */
double cf_outlier_usual_wait_ms (const struct CfOutlierDetector *detector,
                                 struct CfEndpoint address);

/* Returns true if an answer of BYTES from ADDRESS is far shorter than usual: an error, or the
 * answer of an upstream that turned the request away. */
bool cf_outlier_is_short (const struct CfOutlierDetector *detector,
                          struct CfEndpoint address,
                          uint32_t bytes);

/* Returns how long a request to ADDRESS may go without a byte of an answer. */
CfMillis cf_outlier_stall_ms (const struct CfOutlierDetector *detector, struct CfEndpoint address);

/* Merges LINE, the report on TARGET by the VM named VM.  Returns true if TARGET is avoided from
 * now on.  Ignores it if it may be about the previous incarnation of TARGET. */
bool cf_outlier_merge_report (struct CfOutlierDetector *detector,
                              struct CfTarget *target,
                              GPtrArray *siblings,
                              const char *vm,
                              const struct CfQualityLine *line,
                              CfMillis now);

/* Writes to REPORT the observations of this VM of upstreams in DIRECTORY that failed recently,
 * less the failures that it observes everywhere.  Returns false if there are none. */
bool cf_outlier_report (struct CfOutlierDetector *detector,
                        const struct CfDirectory *directory,
                        struct CfQualityReport *report,
                        CfMillis now);

/* Returns true if TARGET is to be avoided at NOW. */
static inline bool
cf_outlier_avoided (const struct CfTarget *target, CfMillis now)
{
  return now < target->quality.avoided_until;
}

#endif
