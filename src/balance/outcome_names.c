#include "admission.h"
#include "balance.h"

const char *
cf_outcome_name (enum CfOutcome outcome)
{
  static const char *const names[CF_OUTCOME_COUNT] = {
    [CF_OUTCOME_PLACED] = "placed",
    [CF_OUTCOME_PASSED] = "passed",
    [CF_OUTCOME_MOVED] = "moved",
    [CF_OUTCOME_EXTRA] = "extra",
    [CF_OUTCOME_REPEATED] = "repeated",
    [CF_OUTCOME_HANDED_ON] = "handed-on",
    [CF_OUTCOME_WAITING] = "waiting",
    [CF_OUTCOME_HELD] = "held",
    [CF_OUTCOME_RESET_NO_ROUTE] = "reset-no-route",
    [CF_OUTCOME_RESET_NO_UPSTREAM] = "reset-no-upstream",
    [CF_OUTCOME_RESET_ROUTE_REMOVED] = "reset-route-removed",
    [CF_OUTCOME_RESET_UNREACHABLE] = "reset-unreachable",
    [CF_OUTCOME_RESET_OVERLOAD] = "reset-overload",
    [CF_OUTCOME_DROPPED_LATE] = "dropped-late",
    [CF_OUTCOME_DROPPED_NO_ROUTE] = "dropped-no-route",
    [CF_OUTCOME_DROPPED_NO_UPSTREAM] = "dropped-no-upstream",
    [CF_OUTCOME_DROPPED_UNKNOWN_COOKIE] = "dropped-unknown-cookie",
    [CF_OUTCOME_DROPPED_OTHER_SERVICE] = "dropped-other-service",
  };

  return names[outcome];
}

const char *
cf_refusal_reason_name (enum CfRefusalReason reason)
{
  static const char *const names[] = {
    [CF_REFUSAL_NONE] = "",         [CF_REFUSAL_PRIORITY] = "priority",
    [CF_REFUSAL_CALLER] = "caller", [CF_REFUSAL_RETRY] = "retry",
    [CF_REFUSAL_QUEUE] = "queue",   [CF_REFUSAL_EXPIRED] = "expired",
  };

  return names[reason];
}
