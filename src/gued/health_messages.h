#ifndef CF_GUED_HEALTH_MESSAGES_H
#define CF_GUED_HEALTH_MESSAGES_H

#include "cf_types.h"

/* Messages to the health task, which owns the content from then on. */
enum CfHealthMessage
{
  CF_TO_HEALTH_PROBES, /* GArray of struct CfProbe, which replaces the list of upstreams */
  CF_TO_HEALTH_KINDS,
};

/* An upstream that the health task probes. */
struct CfProbe
{
  uint32_t upstream; /* id */
  struct CfAddress address;
};

#endif
