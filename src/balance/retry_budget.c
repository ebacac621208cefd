#include "retry_budget.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define SLOT_MS (CF_RETRY_BUDGET_WINDOW_MS / CF_RETRY_BUDGET_SLOTS)

/* Spreads consecutive milliseconds evenly over 0 to 1 (the golden ratio). */
#define PHASE_PER_MS 0.6180339887498949

/* Work in the window. */
struct Sum
{
  uint32_t usual;
  uint32_t earned;
  uint32_t extra;
};

void
cf_retry_budget_init (struct CfRetryBudget *budget, double share, double minimum)
{
  memset (budget, 0, sizeof *budget);
  budget->share = share;
  budget->minimum = minimum;
}

/* Returns the index of the slot for NOW, which is cleared if it was of an earlier window. */
static uint32_t
slot_at (struct CfRetryBudget *budget, CfMillis now)
{
  CfMillis begins = now / SLOT_MS * SLOT_MS;
  uint32_t index = (uint32_t) (now / SLOT_MS % CF_RETRY_BUDGET_SLOTS);

  if (budget->slots[index].begins != begins)
    {
      memset (&budget->slots[index], 0, sizeof budget->slots[index]);
      budget->slots[index].begins = begins;
    }
  return index;
}

static struct Sum
sum_window (const struct CfRetryBudget *budget, CfMillis now)
{
  struct Sum sum = { 0 };

  for (uint32_t i = 0; i < CF_RETRY_BUDGET_SLOTS; i++)
    {
      if (now - budget->slots[i].begins >= CF_RETRY_BUDGET_WINDOW_MS)
        continue;
      sum.usual += budget->slots[i].usual;
      sum.earned += budget->slots[i].earned;
      sum.extra += budget->slots[i].extra;
    }
  return sum;
}

void
cf_retry_budget_deposit (struct CfRetryBudget *budget, CfMillis now)
{
  uint32_t index = slot_at (budget, now);

  if (!budget->started)
    budget->credit = -fmod ((double) now * PHASE_PER_MS, 1);
  budget->started = true;
  budget->slots[index].usual++;
  budget->credit += budget->share;
  if (budget->credit < 1)
    return;
  budget->credit--;
  budget->slots[index].earned++;
}

bool
cf_retry_budget_has (const struct CfRetryBudget *budget, CfMillis now)
{
  struct Sum sum = sum_window (budget, now);

  return sum.extra + 1 <= MAX (sum.earned, budget->minimum);
}

bool
cf_retry_budget_withdraw (struct CfRetryBudget *budget, CfMillis now)
{
  if (!cf_retry_budget_has (budget, now))
    return false;
  budget->slots[slot_at (budget, now)].extra++;
  return true;
}

double
cf_retry_budget_used (const struct CfRetryBudget *budget, CfMillis now)
{
  struct Sum sum = sum_window (budget, now);

  return (double) sum.extra / MAX (sum.usual, 1);
}
