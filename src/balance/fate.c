#include "balance.h"

const char *
cf_fate_name (enum CfFate fate)
{
  static const char *const names[CF_FATE_COUNT] = {
    [CF_FATE_PLACED] = "placed",
    [CF_FATE_PASSED] = "passed",
    [CF_FATE_MOVED] = "moved",
    [CF_FATE_REPEATED] = "repeated",
    [CF_FATE_HANDED_ON] = "handed-on",
    [CF_FATE_WAITING] = "waiting",
    [CF_FATE_RESET_ROUTE] = "reset-no-route",
    [CF_FATE_RESET_SERVICE] = "reset-no-upstream",
    [CF_FATE_RESET_REMOVED] = "reset-route-removed",
    [CF_FATE_SILENT_ROUTE] = "dropped-no-route",
    [CF_FATE_SILENT_SERVICE] = "dropped-no-upstream",
    [CF_FATE_SILENT_COOKIE] = "dropped-unknown-cookie",
    [CF_FATE_SILENT_OTHER] = "dropped-other-service",
  };

  return names[fate];
}
