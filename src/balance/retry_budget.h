#ifndef CF_BALANCE_RETRY_BUDGET_H
#define CF_BALANCE_RETRY_BUDGET_H

#include "cf_types.h"

/* A budget for extra work: repeated tries, or extra openings, as a share of the usual work in a
 * sliding window.
 *
 * Under overload, tries of one request multiply the load by up to three and keep the overload up
 * after its cause has ended.  The budget is a share and not a rate, so that the sum over all VMs
 * keeps it when each VM does, whatever their number.  No I/O. */

#define CF_RETRY_BUDGET_WINDOW_MS 2000
#define CF_RETRY_BUDGET_SLOTS 8 /* parts of the window */

struct CfRetryBudget
{
  double share;   /* extra work allowed for each unit of usual work */
  double minimum; /* units of extra work in a window that are allowed in any case */
  struct
  {
    CfMillis begins;
    uint32_t usual;
    uint32_t extra;
  } slots[CF_RETRY_BUDGET_SLOTS];
};

void cf_retry_budget_init (struct CfRetryBudget *budget, double share, double minimum);
/* Records a unit of usual work. */
void cf_retry_budget_deposit (struct CfRetryBudget *budget, CfMillis now);
/* Takes a unit of extra work.  Returns false, and takes nothing, if the budget is used up. */
bool cf_retry_budget_withdraw (struct CfRetryBudget *budget, CfMillis now);
/* Returns the extra work in the window, as a share of the usual work. */
double cf_retry_budget_used (const struct CfRetryBudget *budget, CfMillis now);

#endif
