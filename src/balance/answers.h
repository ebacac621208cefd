#ifndef CF_BALANCE_ANSWERS_H
#define CF_BALANCE_ANSWERS_H

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
#define CF_ANSWERS_SHORT 0.33
/* A request without a byte of its answer counts as failed after CF_ANSWERS_STALL_TIMES times the
 * mean time to the first byte at its address, within these bounds, or after the maximum if there
 * is no mean yet.  An answer that comes later is counted as well.  The minimum allows for an
 * upstream that is busy for a moment. */
#define CF_ANSWERS_STALL_MS 1000
#define CF_ANSWERS_STALL_TIMES 10
#define CF_ANSWERS_STALL_MIN_MS 150
/* VMs report on an upstream for this long after any of them observed a failure there. */
#define CF_ANSWERS_QUESTION_MS 4000
/* The weight of an answer halves in this time. */
#define CF_ANSWERS_HALF_LIFE_MS 2000
/* An upstream is avoided if it has at least this many failures, or at least
 * CF_ANSWERS_FAILED_FIRST if it was avoided recently: less than 1, since a failure that another
 * VM observed has decayed a little when its report arrives; */
#define CF_ANSWERS_FAILED_MIN 3.0
#define CF_ANSWERS_FAILED_FIRST 0.5
/* and if this fraction of its answers failed, */
#define CF_ANSWERS_FAILED_SHARE 0.1
/* and if its failure rate is this many times that of the rest of its service. */
#define CF_ANSWERS_FAILED_TIMES 4.0
/* At most one in this many ready upstreams of a service is avoided. */
#define CF_ANSWERS_AVOID_ONE_OF 3
/* How long an upstream is avoided: doubles each time in a row, up to the maximum. */
#define CF_ANSWERS_AVOID_MIN_MS 2000
#define CF_ANSWERS_AVOID_MAX_MS 16000

struct CfAnswers;

struct CfAnswers *cf_answers_new (void);
void cf_answers_free (struct CfAnswers *detector);

/* Records that a request to ADDRESS, handled by TARGET, got BYTES of an answer.  SIBLINGS are all
 * upstreams of its service.  Returns true if TARGET is avoided from now on. */
bool cf_answers_note (struct CfAnswers *detector,
                      struct CfTarget *target,
                      GPtrArray *siblings,
                      struct CfEndpoint address,
                      uint32_t bytes,
                      CfMillis now);

/* Records that the first byte of an answer from ADDRESS came after WAIT. */
void cf_answers_began (struct CfAnswers *detector, struct CfEndpoint address, CfMillis wait);

/* Returns how long a request to ADDRESS may go without a byte of an answer. */
CfMillis cf_answers_stall_ms (const struct CfAnswers *detector, struct CfEndpoint address);

/* Takes in LINE, the report on TARGET by the VM named VM.  Returns true if TARGET is avoided from
 * now on. */
bool cf_answers_hear (struct CfAnswers *detector,
                      struct CfTarget *target,
                      GPtrArray *siblings,
                      const char *vm,
                      const struct CfQualityLine *line,
                      CfMillis now);

/* Writes to REPORT the observations of this VM of upstreams in DIRECTORY that failed recently,
 * less the failures that it observes everywhere.  Returns false if there are none. */
bool cf_answers_report (struct CfAnswers *detector,
                        const struct CfDirectory *directory,
                        struct CfQualityReport *report,
                        CfMillis now);

/* Returns true if TARGET is to be avoided at NOW. */
bool cf_answers_avoids (const struct CfTarget *target, CfMillis now);

#endif
