#ifndef CF_BALANCE_ADMISSION_TOKENS_H
#define CF_BALANCE_ADMISSION_TOKENS_H

#include "cf_types.h"
#include "load_report.h"

/* The tokens of a service during overload, one for each new flow that is admitted, by priority. */

struct CfTokenBucket
{
  double tokens; /* below 0: used in advance by more urgent flows */
  double rate;   /* tokens a second */
  CfMillis rate_at;
  bool whole; /* the whole demand is admitted */
  bool seen;  /* it has had a request */
};

struct CfTokens
{
  CfMillis filled_at;
  struct CfTokenBucket buckets[CF_LOAD_PRIORITIES];
};

/* Adds the tokens of the time since the last call.  What a bucket has no room for goes to the next
 * less urgent one. */
void cf_tokens_fill (struct CfTokens *tokens, CfMillis now);

/* Sets the tokens a second of PRIORITY, and whether its whole demand is admitted.  The first call
 * fills its bucket. */
void cf_tokens_set_rate (
    struct CfTokens *tokens, uint32_t priority, double rate, bool whole, CfMillis now);

/* Returns the tokens a second that flows of PRIORITY may use. */
double cf_tokens_rate (const struct CfTokens *tokens, uint32_t priority, CfMillis now);

/* Returns the tokens that flows of PRIORITY may use now. */
double cf_tokens_available (const struct CfTokens *tokens, uint32_t priority, CfMillis now);

/* Takes one of them. */
void cf_tokens_take (struct CfTokens *tokens, uint32_t priority, CfMillis now);

/* Returns when there will be a token for PRIORITY. */
CfMillis cf_tokens_due (const struct CfTokens *tokens, uint32_t priority);

/* Empties the buckets and forgets that they had requests. */
void cf_tokens_reset (struct CfTokens *tokens, CfMillis now);

#endif
