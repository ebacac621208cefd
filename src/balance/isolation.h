#ifndef CF_BALANCE_ISOLATION_H
#define CF_BALANCE_ISOLATION_H

#include "cf_types.h"

/* Detects that this VM is cut off from all upstreams. */

/* This many consecutive first packets must be lost, over at least this time.  While any upstream
 * is reachable, one of several attempts opens a flow within 100 ms.  Packets that were sent before
 * the first loss timed out do not count again: a single short event may have hit all of them. */
#define CF_ISOLATION_LOST 8
#define CF_ISOLATION_MS 250

struct CfIsolation
{
  uint32_t lost;        /* first packets lost since a flow last opened */
  CfMillis lost_since;  /* when the first of them timed out */
  CfMillis detected_at; /* -1: this VM is not isolated */
};

void cf_isolation_init (struct CfIsolation *isolation);

/* Records that a first packet, sent to an upstream at SENT, was lost. */
void cf_isolation_record_loss (struct CfIsolation *isolation, CfMillis sent, CfMillis now);

/* Drops the first packets lost so far, unless this VM is isolated: the upstreams have ended. */
void cf_isolation_forget (struct CfIsolation *isolation);

/* Records that a flow has opened. */
void cf_isolation_record_open (struct CfIsolation *isolation);

/* Returns true if this VM is isolated at NOW.  SYNCED_AT is the time of the last sync with the
 * store; a sync after the detection ends the isolation. */
bool cf_isolation_check (struct CfIsolation *isolation, CfMillis synced_at, CfMillis now);

#endif
