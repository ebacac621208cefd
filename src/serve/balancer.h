#ifndef CF_SERVE_BALANCER_H
#define CF_SERVE_BALANCER_H

#include "balance/balance.h"
#include "balance_settings.h"
#include "event_log.h"
#include "feed/record.h"
#include "task.h"

#include <stdatomic.h>

/* The parts of a running entry VM behind a fabric whose packets carry flow cookies, and
 * the messages between them. */

/* Forms of the updates that a VM sends to its followers, by what they hold of changed records. */
enum CfUpdateForm
{
  CF_UPDATE_WHOLE,      /* no differences */
  CF_UPDATE_DIFFERENCE, /* at least one */
  CF_UPDATE_FORMS,
};

struct CfBalancer
{
  struct CfBalanceSettings settings;
  struct CfEventLog *log;
  struct CfTask datapath; /* packets and load-balancing decisions */
  struct CfTask feed;     /* changes in the store */
  struct CfTask admin;    /* readiness and metrics over HTTP */
  GMainLoop *main_loop;
  atomic_uint_fast64_t store_calls; /* calls made to the store, for metrics */
  atomic_uint_fast64_t store_era; /* of the store's history as it last answered this VM, 0: none */
  atomic_uint_fast64_t load_reports_sent; /* datagrams, for metrics like the following */
  atomic_uint_fast64_t load_report_bytes_sent;
  atomic_uint_fast64_t load_reports_received; /* those that were dropped included */
  atomic_uint_fast64_t load_report_bytes_received;
  atomic_uint_fast64_t update_bytes_sent[CF_UPDATE_FORMS];
  atomic_uint_fast64_t update_referrals; /* VMs without data that were referred to others */
  atomic_bool serving;                   /* new flows can be served */
  atomic_bool leaving; /* after SIGTERM: readiness checks fail so that the fabric stops sending */
};

extern const struct CfTaskClass cf_datapath_task;
extern const struct CfTaskClass cf_feed_task;
extern const struct CfTaskClass cf_balancer_admin_task;

/* Each task's state, created before the first start and freed after the last. */
void *cf_datapath_task_new (struct CfBalancer *balancer);
void cf_datapath_task_free (void *data);
void *cf_feed_task_new (struct CfBalancer *balancer);
void cf_feed_task_free (void *data);
void *cf_balancer_admin_task_new (struct CfBalancer *balancer);
void cf_balancer_admin_task_free (void *data);

/* Changes for the datapath task, parsed and validated. */
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

/* Message to the datapath task, which frees UPDATE. */
void cf_send_update (struct CfBalancer *balancer, struct CfUpdate *update);

/* Message to the datapath task: its data is that of the store at SYNCED_AT.  SETTLED says that the
 * store has answered for long enough for lapsed announcements to have been renewed. */
void cf_send_feed_state (struct CfBalancer *balancer, CfMillis synced_at, bool settled);

/* Message to the feed task, which frees SEEDS with g_strfreev: IPs of VMs
 * from which the list of VMs can be read. */
void cf_send_seeds (struct CfBalancer *balancer, char **seeds);

/* Messages with a report on upstreams whose requests fail: this VM's own to the feed task, another
 * VM's to the datapath task.  Both copy REPORT. */
void cf_send_quality (struct CfBalancer *balancer, const struct CfQualityReport *report);
void cf_send_peer_quality (struct CfBalancer *balancer, const struct CfQualityReport *report);

/* The same with load reports, between the VMs of a region.  The feed task fills in the sender. */
void cf_send_load (struct CfBalancer *balancer, const struct CfLoadReport *report);
void cf_send_peer_load (struct CfBalancer *balancer, const struct CfLoadReport *report);

/* Message to the feed task: this VM has to stop, and leaves the rotation once enough other VMs of
 * its failure domain are in it, or when it can wait no longer. */
void cf_send_stop (struct CfBalancer *balancer);

/* Request to the datapath task to append its metrics to TEXT.  cf_send_metrics passes it back to
 * the admin task, which completes MESSAGE. */
struct CfMetricsRequest
{
  GString *text;
  void *message; /* the admin task's HTTP request */
};

void cf_send_metrics_request (struct CfBalancer *balancer, struct CfMetricsRequest *request);
void cf_send_metrics (struct CfBalancer *balancer, struct CfMetricsRequest *request);

/* Runs an entry VM with the settings file PATH until SIGTERM.  Returns false with ERROR: of
 * CF_ERROR_INPUT if the file cannot be used, CF_ERROR_IO if the system has no threads left. */
bool cf_balancer_run (const char *path, struct CfError *error);

#endif
