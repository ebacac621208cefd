#include "balance_internal.h"
#include "pace.h"

#include <math.h>
#include <string.h>

/* Load reports: what this VM reports of the services and upstreams that it uses, and what it takes
 * from the reports of others. */

/* An upstream of which this VM has seen fewer answers lately is not reported. */
#define SAMPLES_MIN 1.0

bool
cf_balance_receive_load (struct CfBalance *balance, const struct CfLoadReport *report, CfMillis now)
{
  if (!balance->admission || !cf_admission_receive_report (balance->admission, report, now))
    return false;
  for (uint32_t i = 0; i < report->line_count; i++)
    {
      const struct CfLoadLine *line = &report->lines[i];
      struct CfTarget *target = cf_directory_by_cookie (balance->directory, line->cookie);

      if (target && !cf_target_restarted_recently (target, now))
        cf_pace_merge (&target->pace, g_str_hash (report->vm), line->samples, line->pace, now);
    }
  return true;
}

/* Returns how far PACE is from 1, by ratio. */
static double
distance (double pace)
{
  return fabs (log (CLAMP (pace, CF_LOAD_PACE_MIN, CF_LOAD_PACE_MAX)));
}

/* Inserts LINE into REPORT, which keeps the upstreams whose pace differs most from 1 in descending
 * order. */
static void
add_line (struct CfLoadReport *report, const struct CfLoadLine *line)
{
  uint32_t place = report->line_count;

  while (place > 0 && distance (report->lines[place - 1].pace) < distance (line->pace))
    place--;
  if (place == CF_LOAD_LINES_MAX)
    return;
  report->line_count = MIN (report->line_count + 1, CF_LOAD_LINES_MAX);
  memmove (&report->lines[place + 1], &report->lines[place],
           (report->line_count - 1 - place) * sizeof *line);
  report->lines[place] = *line;
}

bool
cf_balance_load_report (struct CfBalance *balance, struct CfLoadReport *report, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  if (!balance->admission || !cf_admission_report (balance->admission, report, now))
    return false;
  report->line_count = 0;
  g_hash_table_iter_init (&iter, cf_directory_all (balance->directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct CfTarget *target = value;
      struct CfLoadLine line = { .cookie = target->cookie };

      if (!cf_pace_own (&target->pace, now, &line.samples, &line.pace)
          || line.samples < SAMPLES_MIN)
        continue;
      line.pace = CLAMP (line.pace, CF_LOAD_PACE_MIN, CF_LOAD_PACE_MAX);
      add_line (report, &line);
    }
  return true;
}

void
cf_balance_set_domain_size (struct CfBalance *balance, uint32_t count)
{
  if (balance->admission)
    cf_admission_set_domain_size (balance->admission, count);
}
