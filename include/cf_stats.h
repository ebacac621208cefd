#ifndef CF_STATS_H
#define CF_STATS_H

#include "cf_packet.h"

#include <glib.h>

/* Counters and histograms of an entry VM. */

#define CF_HISTOGRAM_BUCKETS 32

/* Counts of values by powers of two: bucket I counts values of 2^(I-1) to 2^I - 1,
 * bucket 0 the value 0. */
struct CfHistogram
{
  uint64_t count[CF_HISTOGRAM_BUCKETS];
  uint64_t total;
  uint64_t sum;
};

/* Adds VALUE to HISTOGRAM. */
void cf_histogram_add (struct CfHistogram *histogram, uint64_t value);

enum CfCounter
{
  CF_COUNT_FABRIC_PACKETS,       /* packets from the fabric */
  CF_COUNT_FABRIC_BYTES,         /* bytes of those */
  CF_COUNT_FORWARDED,            /* packets sent to upstreams */
  CF_COUNT_TRANSFERRED,          /* packets sent to other entry VMs */
  CF_COUNT_TRANSFERRED_BYTES,    /* inner bytes of those */
  CF_COUNT_TRANSFERS_RECEIVED,   /* packets from other entry VMs */
  CF_COUNT_NEW_FLOWS,            /* first packets assigned to an upstream */
  CF_COUNT_NEW_AWAY,             /* of those, sent elsewhere than the hash implies */
  CF_COUNT_PINNED,               /* entries created for established flows */
  CF_COUNT_REFUSED_NOT_RUN,      /* refusals where no upstream saw the flow */
  CF_COUNT_REFUSED_MAY_HAVE_RUN, /* refusals where one may have */
  CF_COUNT_REFUSED_OVERLOAD,     /* of those two, over the VM's limit on new flows */
  CF_COUNT_ENTRIES_SENT,         /* replicated entries, without retransmissions */
  CF_COUNT_ENTRIES_RESENT,       /* entries retransmitted for lack of an acknowledgement */
  CF_COUNT_ENTRIES_RECEIVED,     /* entries from other VMs */
  CF_COUNT_ENTRIES_REFUSED,      /* entries that do not fit the configuration */
  CF_COUNT_FLOWS_EXPIRED,        /* flow records removed after idling */
  CF_COUNT_FLOWS_LOST,           /* flow records not stored: the table was full */
  CF_COUNT_PAUSES,               /* times this VM detected that it had been paused */
  CF_COUNT_VIEW_CHANGES,         /* changes of the set of serving members */
  CF_COUNT_CONFIG_APPLIED,       /* configurations applied */
  CF_COUNT_CONFIG_IGNORED,       /* configurations that were not newer */
  CF_COUNT_COLD_STARTS,          /* upstreams found to be cold */
  CF_COUNT_PARKED,               /* first packets held for a retry */
  CF_COUNT_MAX,
};

/* Returns the name of COUNTER for metrics. */
const char *cf_counter_name (enum CfCounter counter);

/* Counters and histograms of one service. */
struct CfServiceStats
{
  uint32_t service; /* id */
  char *name;
  char *tenant;
  uint64_t packets;
  uint64_t bytes;
  uint64_t new_flows;
  uint64_t refused;
  struct CfHistogram packet_bytes;
  struct CfHistogram handshake_ms; /* from the first packet to the caller's next */
  struct CfHistogram decision_ns;  /* filled in by the packet task */
};

struct CfStats
{
  uint64_t counter[CF_COUNT_MAX];
  uint64_t drop[CF_DROP_COUNT];
  GPtrArray *services; /* of struct CfServiceStats */
};

#endif
