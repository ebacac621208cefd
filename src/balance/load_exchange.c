#include "balance_internal.h"

/* Load reports: those of other VMs, and this VM's own. */

bool
cf_balance_receive_load (struct CfBalance *balance, const struct CfLoadReport *report, CfMillis now)
{
  return cf_load_table_merge (balance->load_table, report, now);
}

bool
cf_balance_load_report (struct CfBalance *balance, struct CfLoadReport *report, CfMillis now)
{
  (void) balance;
  (void) report;
  (void) now;
  return false;
}

void
cf_balance_set_domain_size (struct CfBalance *balance, uint32_t count)
{
  balance->domain_size = count;
}
