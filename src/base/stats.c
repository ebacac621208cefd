#include "cf_stats.h"

static const char *const names[CF_COUNT_MAX] = {
  [CF_COUNT_FABRIC_PACKETS] = "fabric_packets",
  [CF_COUNT_FABRIC_BYTES] = "fabric_bytes",
  [CF_COUNT_FORWARDED] = "forwarded",
  [CF_COUNT_TRANSFERRED] = "transferred",
  [CF_COUNT_TRANSFERRED_BYTES] = "transferred_bytes",
  [CF_COUNT_TRANSFERS_RECEIVED] = "transfers_received",
  [CF_COUNT_NEW_FLOWS] = "new_flows",
  [CF_COUNT_NEW_AWAY] = "new_flows_away",
  [CF_COUNT_PINNED] = "pinned_flows",
  [CF_COUNT_REFUSED_NOT_RUN] = "refused_not_run",
  [CF_COUNT_REFUSED_MAY_HAVE_RUN] = "refused_may_have_run",
  [CF_COUNT_REFUSED_OVERLOAD] = "refused_overload",
  [CF_COUNT_ENTRIES_SENT] = "entries_sent",
  [CF_COUNT_ENTRIES_RESENT] = "entries_resent",
  [CF_COUNT_ENTRIES_RECEIVED] = "entries_received",
  [CF_COUNT_ENTRIES_REFUSED] = "entries_refused",
  [CF_COUNT_FLOWS_EXPIRED] = "flows_expired",
  [CF_COUNT_FLOWS_LOST] = "flows_lost",
  [CF_COUNT_PAUSES] = "pauses",
  [CF_COUNT_VIEW_CHANGES] = "view_changes",
  [CF_COUNT_CONFIG_APPLIED] = "config_applied",
  [CF_COUNT_CONFIG_IGNORED] = "config_ignored",
  [CF_COUNT_COLD_STARTS] = "cold_starts",
  [CF_COUNT_PARKED] = "parked",
};

const char *
cf_counter_name (enum CfCounter counter)
{
  return names[counter];
}

void
cf_histogram_add (struct CfHistogram *histogram, uint64_t value)
{
  int bucket = value ? 64 - __builtin_clzll (value) : 0;

  histogram->count[bucket < CF_HISTOGRAM_BUCKETS ? bucket : CF_HISTOGRAM_BUCKETS - 1]++;
  histogram->total++;
  histogram->sum += value;
}
