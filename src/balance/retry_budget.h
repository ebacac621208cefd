#ifndef CF_BALANCE_RETRY_BUDGET_H
#define CF_BALANCE_RETRY_BUDGET_H

#include "cf_types.h"

/* A budget for extra work: repeated tries, or extra openings, as a share of the usual work in a
 * sliding window.
 *
 * Under overload, tries of one request multiply the load by up to three and keep the overload up
 * after its cause has ended.  The budget is a share and not a rate, so that the sum over all VMs
 * keeps it when each VM does, whatever their number.
 *
 * Each unit of usual work earns SHARE units of extra work.  Whole units that are not spent expire
 * with the window, so that none are saved up for a burst.  The fraction of a unit is kept: a VM
 * with 4 flows a second earns one of 1% every 25 s, and none if it were rounded in each window.  No
 * I/O.
 */

#define CF_RETRY_BUDGET_WINDOW_MS 2000
#define CF_RETRY_BUDGET_SLOTS 8 /* parts of the window */

struct CfRetryBudget
{
  double share;   /* extra work allowed for each unit of usual work */
  double minimum; /* units of extra work in a window that are allowed in any case */
  double credit;  /* fraction of a unit that has been earned, below 1; negative at first */
  bool started;   /* CREDIT has been set */
  struct
  {
    CfMillis begins;
    uint32_t usual;
    uint32_t earned; /* units of extra work */
    uint32_t extra;
  } slots[CF_RETRY_BUDGET_SLOTS];
};

void cf_retry_budget_init (struct CfRetryBudget *budget, double share, double minimum);
/* Records a unit of usual work. */
void cf_retry_budget_deposit (struct CfRetryBudget *budget, CfMillis now);
/* Returns true if a unit of extra work can be taken. */
bool cf_retry_budget_has (const struct CfRetryBudget *budget, CfMillis now);
/* Takes a unit of extra work.  Returns false, and takes nothing, if the budget is used up. */
bool cf_retry_budget_withdraw (struct CfRetryBudget *budget, CfMillis now);
/* Returns the extra work in the window, as a share of the usual work, or of one unit if there is
 * none. */
double cf_retry_budget_used (const struct CfRetryBudget *budget, CfMillis now);

#endif
