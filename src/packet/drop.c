#include "cf_packet.h"

static const char *const names[CF_DROP_COUNT] = {
  [CF_DROP_NONE] = "none",           [CF_DROP_GUE] = "gue",
  [CF_DROP_TRUNCATED] = "truncated", [CF_DROP_VERSION] = "version",
  [CF_DROP_HEADER] = "header",       [CF_DROP_FRAGMENT] = "fragment",
  [CF_DROP_PROTOCOL] = "protocol",   [CF_DROP_NO_SERVICE] = "no_service",
  [CF_DROP_NO_CONFIG] = "no_config", [CF_DROP_HOPS] = "hops",
  [CF_DROP_TRANSFER] = "transfer",   [CF_DROP_DOUBT] = "doubt",
  [CF_DROP_GATE] = "gate",           [CF_DROP_NO_OWNER] = "no_owner",
  [CF_DROP_ICMP] = "icmp",
};

const char *
cf_drop_name (enum CfDrop drop)
{
  return names[drop];
}
