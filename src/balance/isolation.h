#ifndef CF_BALANCE_ISOLATION_H
#define CF_BALANCE_ISOLATION_H

#include "cf_types.h"

/* Tells whether this VM seems to be cut off from all upstreams. */

/* First packets lost in a row, over this time: where an upstream is in reach, one in some tries
 * opens within 100 ms.  Those sent before the first of them was given up say nothing more: they
 * met the same moment. */
#define CF_ISOLATION_LOST 8
#define CF_ISOLATION_MS 250

struct CfIsolation
{
  uint32_t lost;        /* first packets that no packet followed, since a flow last opened */
  CfMillis lost_since;  /* when the first of them was given up */
  CfMillis detected_at; /* -1: this VM is not isolated */
};

void cf_isolation_init (struct CfIsolation *isolation);

/* A first packet that was sent to an upstream at SENT was given up. */
void cf_isolation_record_loss (struct CfIsolation *isolation, CfMillis sent, CfMillis now);

/* A flow has opened. */
void cf_isolation_record_open (struct CfIsolation *isolation);

/* Returns true if this VM is isolated at NOW; its news are of NEWS_AT, and news that came since
 * say that the cut is over. */
bool cf_isolation_check (struct CfIsolation *isolation, CfMillis synced_at, CfMillis now);

#endif
