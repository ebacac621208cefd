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

struct CfBalancer
{
  struct CfBalanceSettings settings;
  struct CfEventLog *log;
  struct CfTask datapath; /* packets; owns the decisions */
  struct CfTask feed;     /* news of the store */
  struct CfTask admin;    /* readiness and metrics over HTTP */
  GMainLoop *main_loop;
  atomic_uint_fast64_t store_calls; /* made so far, for metrics */
  atomic_bool serving;              /* there is something to serve with */
  atomic_bool leaving;              /* SIGTERM came, and the fabric is to send nothing more */
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

/* News for the datapath task, read and checked. */
struct CfUpdate
{
  enum CfFeedKind kind;
  bool trusted;                /* the store has been there all the while */
  GArray *announcements;       /* of struct CfAnnouncement with owned strings */
  GPtrArray *withdrawn;        /* ids of upstreams without an announcement */
  struct CfManifest *manifest; /* or NULL */
  GPtrArray *evacuated;        /* names of failure domains that get no new flows */
  GPtrArray *returned;         /* names of those that may get them again */
  uint32_t vms;                /* in the fleet, 0: no news */
  GArray *peers;               /* of uint32_t: IPs of VMs that may know more; NULL: no news */
};

struct CfUpdate *cf_update_new (enum CfFeedKind kind, bool trusted);
void cf_update_free (void *update);

/* Message to the datapath task, which frees UPDATE. */
void cf_send_update (struct CfBalancer *balancer, struct CfUpdate *update);

/* Message to the datapath task: what is known is as of KNOWN_AT; with SETTLED,
 * announcements that lapsed would have been back. */
void cf_send_feed_state (struct CfBalancer *balancer, CfMillis synced_at, bool settled);

/* Message to the feed task, which frees SEEDS with g_strfreev: VMs that may know the fleet. */
void cf_send_seeds (struct CfBalancer *balancer, char **seeds);

/* Messages: what this VM saw of upstreams whose requests fail, to the feed task, and what another
 * saw, to the datapath task.  Both copy REPORT. */
void cf_send_quality (struct CfBalancer *balancer, const struct CfQualityReport *report);
void cf_send_peer_quality (struct CfBalancer *balancer, const struct CfQualityReport *report);

/* Message to the feed task: this VM is to stop, and leaves the rotation when the others of
 * its failure domain can do without it. */
void cf_send_stop (struct CfBalancer *balancer);

/* Message to the datapath task: appends its metrics to TEXT and calls DONE with DATA on
 * the admin task. */
struct CfMetricsRequest
{
  GString *text;
  void *message; /* of the admin task */
};

void cf_send_metrics_request (struct CfBalancer *balancer, struct CfMetricsRequest *request);
void cf_send_metrics (struct CfBalancer *balancer, struct CfMetricsRequest *request);

/* Runs an entry VM with the settings file PATH until SIGTERM.  Returns false with ERROR
 * if the file cannot be used. */
bool cf_balancer_run (const char *path, struct CfError *error);

#endif
