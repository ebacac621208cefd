#ifndef CF_GUED_SERVER_H
#define CF_GUED_SERVER_H

#include "cf_core.h"
#include "settings.h"
#include "runtime/task.h"

#include <stdatomic.h>

/* The parts of a running entry VM.  Each task's messages are declared in a header of their own. */

struct CfServer
{
  struct CfSettings settings;
  struct CfPeerKeys keys;
  struct CfTask packet;
  struct CfTask peer;
  struct CfTask health;
  struct CfTask source; /* of configurations: folder or platform task */
  struct CfTask admin;
  GMainLoop *main_loop;
  /* Counts for metrics: of messages from other VMs, and of health probes that wait for an answer.
   */
  atomic_uint_fast64_t peer_results[CF_PEER_RESULT_COUNT];
  atomic_uint health_waiting;
};

extern const struct CfTaskClass cf_packet_task;
extern const struct CfTaskClass cf_peer_task;
extern const struct CfTaskClass cf_health_task;
extern const struct CfTaskClass cf_folder_task;
extern const struct CfTaskClass cf_platform_task;
extern const struct CfTaskClass cf_admin_task;

struct CfMetricsInput
{
  const struct CfCore *core;
  GHashTable *decision_ns; /* service id to struct CfHistogram */
  const struct CfServer *server;
  CfMillis now;
  uint64_t bad_gue;       /* fabric datagrams that are not GUE */
  uint64_t bad_transfers; /* transferred datagrams with a wrong MAC or format */
  uint64_t send_failures; /* datagrams that the kernel did not accept */
};

/* Appends all metrics in Prometheus text format to TEXT. */
void cf_metrics_write (const struct CfMetricsInput *input, GString *text);

/* Runs an entry VM with SETTINGS until SIGTERM, or until a VM with the same name takes over.
 * Returns false with ERROR if the system has no threads left. */
bool cf_server_run (const struct CfSettings *settings, struct CfError *error);

#endif
