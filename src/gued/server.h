#ifndef CF_GUED_SERVER_H
#define CF_GUED_SERVER_H

#include "cf_core.h"
#include "settings.h"
#include "runtime/task.h"

/* The parts of a running entry VM and the messages between them. */

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
};

extern const struct CfTaskClass cf_packet_task;
extern const struct CfTaskClass cf_peer_task;
extern const struct CfTaskClass cf_health_task;
extern const struct CfTaskClass cf_folder_task;
extern const struct CfTaskClass cf_platform_task;
extern const struct CfTaskClass cf_admin_task;

/* Each task's state, created before the first start and freed after the last. */
void *cf_packet_task_new (struct CfServer *server);
void cf_packet_task_free (void *data);
void *cf_peer_task_new (struct CfServer *server);
void cf_peer_task_free (void *data);
void *cf_health_task_new (struct CfServer *server);
void cf_health_task_free (void *data);
void *cf_folder_task_new (struct CfServer *server);
void cf_folder_task_free (void *data);
void *cf_platform_task_new (struct CfServer *server);
void cf_platform_task_free (void *data);
void *cf_admin_task_new (struct CfServer *server);
void cf_admin_task_free (void *data);

/* Messages to the packet task, which owns the core. */

/* Hands over ENVELOPE, which the packet task releases. */
void cf_send_envelope (struct CfServer *server, struct peer_envelope *envelope);
/* Hands over a reference of CONFIG, read from the platform. */
void cf_send_config (struct CfServer *server, struct CfConfig *config);
/* Hands over a reference of CONFIG, read from the operators' folder. */
void cf_send_folder (struct CfServer *server, struct CfConfig *config);
void cf_send_health (struct CfServer *server, const struct CfHealthAnswer *answer);
/* VMS is an array of struct CfListedVm that the packet task releases. */
void cf_send_vm_list (struct CfServer *server, GArray *vms);
void cf_send_leave (struct CfServer *server);

enum CfReportKind
{
  CF_REPORT_METRICS,
  CF_REPORT_STATUS,
  CF_REPORT_EXPLAIN,
};

/* A request for a report on the core.  The answer goes to the admin task. */
struct CfReport
{
  enum CfReportKind kind;
  struct CfAddress caller; /* for CF_REPORT_EXPLAIN */
  struct CfAddress service;
  uint8_t protocol;
  void *request; /* the admin task's HTTP request */
  GString *text; /* of the response */
};

/* Hands REPORT to the packet task, and back to the admin task with its text. */
void cf_send_report_request (struct CfServer *server, struct CfReport *report);
void cf_send_report (struct CfServer *server, struct CfReport *report);

/* Message to the peer task: sends DATAGRAM, an encoded message, to the VM whose
 * transfer port is at ADDRESS. */
void cf_send_datagram (struct CfServer *server, const struct CfAddress *address, GBytes *datagram);

/* Counts of the peer task and the health task for metrics, read by other threads. */
uint64_t cf_peer_task_results (const struct CfServer *server, enum CfPeerResult result);
/* Returns the number of probes that wait for an answer. */
uint64_t cf_health_task_waiting (const struct CfServer *server);

/* An upstream that the health task probes. */
struct CfProbe
{
  uint32_t upstream; /* id */
  struct CfAddress address;
};

/* Message to the health task: PROBES (of struct CfProbe) replaces the list. */
void cf_send_probes (struct CfServer *server, GArray *probes);

/* Messages to the source task (folder or platform). */
void cf_send_watch (struct CfServer *server, bool watch);
void cf_send_reload (struct CfServer *server);
/* STATUS is the JSON text of this VM's status object; the platform task frees it. */
void cf_send_platform_status (struct CfServer *server, char *status);

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
