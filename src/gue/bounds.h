#ifndef CF_GUE_BOUNDS_H
#define CF_GUE_BOUNDS_H

#include <stdint.h>

/* Times and bounds of the core. */

#define CF_HEARTBEAT_MS 500
#define CF_URGENT_HEARTBEAT_MS 20 /* minimum time between two heartbeats */
#define CF_DEAD_PROBE_MS 2000     /* interval of heartbeats to dead members */
#define CF_GRANT_MS 400           /* how long granted admissions are valid */
#define CF_GRANTS_PER_BUDGET 3    /* grant windows that may overlap any one second */
#define CF_MEMBER_STALE_MS 1250   /* silence after which a member's state is out of date */
#define CF_MEMBER_DEAD_MS 2000    /* silence after which a member is declared dead */
#define CF_JOIN_WAIT_MS 1600      /* a joining VM waits this long to discover serving members */
#define CF_JOIN_LIMIT_MS 20000    /* longest wait for a handover, by a joining or leaving VM */
#define CF_TAKEOVER_MS 3000       /* a new owner asks a previous holder for at least this long */
#define CF_HANDOVER_MS 30000      /* a handover may take this long */
#define CF_RESUME_DISCARD_MS 100  /* packets read this soon after a pause waited in a queue */
#define CF_PARTITION_WAIT_MS 3000 /* a change has reached members beyond a partition by then */
#define CF_IN_FLIGHT_MS 500       /* entries in flight have arrived by then, even if resent once */
#define CF_PARTITION_MS 90000     /* a silent member may be partitioned for this long */
#define CF_RETIRE_MS 600000       /* the memory of an unlisted dead member is freed after this */
#define CF_GRACE_MS 2500          /* a closed upstream still gets unknown UDP flows for this long */
#define CF_REPORT_S 20            /* maximum age of first packets reported when a mark is set */
#define CF_HALF_OPEN_S 64         /* lifetime of a flow without a second packet */
#define CF_HALF_OPEN_ENTRY_S 150  /* the same for an entry: longer than CF_PARTITION_MS */
#define CF_RECENT_S 20            /* lifetime of other records that are not replicated */
#define CF_CLOSING_S 60           /* lifetime of a flow after its FIN or RST */
#define CF_REFRESH_S 1800 /* interval at which the entry of an active flow is replicated again */
#define CF_FLOWS_MAX (1U << 21)
#define CF_BATCH_WINDOW 8   /* unacknowledged batches of entries to a member */
#define CF_BATCH_ENTRIES 64 /* entries in a batch */
#define CF_RESEND_MS 250
#define CF_ACK_DELAY_MS 150
#define CF_NO_SLOT UINT32_MAX

#endif
