#ifndef CF_BALANCER_DATAPATH_MESSAGES_H
#define CF_BALANCER_DATAPATH_MESSAGES_H

#include "balance/balance.h"
#include "feed/record.h"
#include "runtime/report.h"

#include <glib.h>

/* Messages to the datapath task, which owns the content from then on. */
enum CfDatapathMessage
{
  CF_TO_DATAPATH_UPDATE,     /* struct CfUpdate */
  CF_TO_DATAPATH_FEED_STATE, /* struct CfFeedState */
  CF_TO_DATAPATH_QUALITY,    /* struct CfQualityReport of another VM */
  CF_TO_DATAPATH_LOAD,       /* struct CfLoadReport of another VM of the region */
  CF_TO_DATAPATH_METRICS, /* struct CfReport, which goes back to the admin task with the metrics */
  CF_TO_DATAPATH_KINDS,
};

/* Changes, parsed and validated. */
struct CfUpdate
{
  enum CfFeedKind kind;
  /* The store has not failed lately, so a withdrawn announcement means an ended upstream. */
  bool trusted;
  GArray *announcements;       /* of struct CfAnnouncement with owned strings */
  GPtrArray *withdrawn;        /* ids of upstreams without an announcement */
  struct CfManifest *manifest; /* or NULL */
  GPtrArray *evacuated;        /* names of failure domains that get no new flows */
  GPtrArray *returned;         /* names of failure domains that may get new flows again */
  uint32_t vms;                /* number of VMs in the fleet, 0: unchanged */
  uint32_t domain_vms;         /* of these, in this VM's failure domain, 0: unchanged */
  /* Of uint32_t: IPs of VMs that may know flows that this one does not; NULL: unchanged. */
  GArray *peers;
};

struct CfUpdate *cf_update_new (enum CfFeedKind kind, bool trusted);
void cf_update_free (void *update);

/* What is known of the data as a whole. */
struct CfFeedState
{
  CfMillis synced_at; /* the data are those of the store at this time */
  bool settled; /* the store has answered for long enough for lapsed announcements to have been
                   renewed */
};

#endif
