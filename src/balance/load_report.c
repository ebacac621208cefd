#include "load_report.h"

/* Returns true if VALUE is a number from MIN to MAX.  False for NaN. */
static bool
within (double value, double min, double max)
{
  return value >= min && value <= max;
}

static bool
counts_valid (const struct CfLoadCounts *counts)
{
  for (int i = 0; i < CF_LOAD_PRIORITIES; i++)
    if (!within (counts->demand[i], 0, CF_LOAD_RATE_MAX))
      return false;
  return within (counts->answered, 0, CF_LOAD_RATE_MAX)
         && within (counts->shed, 0, CF_LOAD_RATE_MAX)
         && within (counts->in_progress, 0, CF_LOAD_RATE_MAX)
         && within (counts->usual, 0, CF_LOAD_RATE_MAX);
}

bool
cf_load_report_valid (const struct CfLoadReport *report)
{
  if (report->domain_vms == 0 || report->domain_vms > CF_LOAD_DOMAIN_VMS_MAX
      || report->service_count > CF_LOAD_SERVICES_MAX || report->line_count > CF_LOAD_LINES_MAX)
    return false;
  for (uint32_t i = 0; i < report->service_count; i++)
    if (!counts_valid (&report->services[i].counts))
      return false;
  for (uint32_t i = 0; i < report->line_count; i++)
    if (!within (report->lines[i].samples, 0, CF_LOAD_RATE_MAX)
        || !within (report->lines[i].pace, CF_LOAD_PACE_MIN, CF_LOAD_PACE_MAX))
      return false;
  return true;
}
