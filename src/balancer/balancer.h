#ifndef CF_BALANCER_BALANCER_H
#define CF_BALANCER_BALANCER_H

#include "balance_settings.h"
#include "runtime/event_log.h"
#include "runtime/task.h"

#include <stdatomic.h>

/* The parts of a running entry VM behind a fabric whose packets carry flow cookies.  Each task's
 * messages are declared in a header of their own. */

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

/* Runs an entry VM with the settings file PATH until SIGTERM.  Returns false with ERROR: of
 * CF_ERROR_INPUT if the file cannot be used, CF_ERROR_IO if the system has no threads left. */
bool cf_balancer_run (const char *path, struct CfError *error);

#endif
