#ifndef CF_RUNTIME_CLOCK_H
#define CF_RUNTIME_CLOCK_H

#include "cf_types.h"

#include <glib.h>

/* Returns milliseconds of the monotonic clock. */
static inline CfMillis
cf_now (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

#endif
