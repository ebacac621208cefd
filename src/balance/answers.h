#ifndef CF_BALANCE_ANSWERS_H
#define CF_BALANCE_ANSWERS_H

#include "directory.h"

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
#define CF_ANSWERS_SHORT 0.33
/* A request without a byte of an answer for this long counts as a failure, until the answer
 * comes.  The users' requests take 5 to 30 ms. */
#define CF_ANSWERS_STALL_MS 1000
/* Old answers count half after this long. */
#define CF_ANSWERS_HALF_LIFE_MS 4000
/* An upstream is avoided from so many failures on, from the first if it was avoided lately, */
#define CF_ANSWERS_FAILED_MIN 3.0
#define CF_ANSWERS_FAILED_AGAIN 1.0
/* if these are this part of its answers, */
#define CF_ANSWERS_FAILED_SHARE 0.25
/* and so many times the part that fails at others of its service. */
#define CF_ANSWERS_FAILED_TIMES 4.0
/* At most one upstream of so many is avoided. */
#define CF_ANSWERS_AVOID_ONE_OF 3
/* For how long, doubled each time that it goes on failing. */
#define CF_ANSWERS_AVOID_MIN_MS 2000
#define CF_ANSWERS_AVOID_MAX_MS 16000

struct CfAnswers;

struct CfAnswers *cf_answers_new (void);
void cf_answers_free (struct CfAnswers *answers);

/* A request to ADDRESS that TARGET worked on got BYTES of an answer.  SIBLINGS are all upstreams
 * of its service.  Returns true if TARGET is avoided from now on. */
bool cf_answers_note (struct CfAnswers *answers,
                      struct CfTarget *target,
                      GPtrArray *siblings,
                      struct CfEndpoint address,
                      uint32_t bytes,
                      CfMillis now);

/* Returns true if TARGET is to be avoided at NOW. */
bool cf_answers_avoids (const struct CfTarget *target, CfMillis now);

#endif
