#ifndef CF_BALANCER_DATAPATH_INTERNAL_H
#define CF_BALANCER_DATAPATH_INTERNAL_H

#include "balancer.h"
#include "cf_stats.h"
#include "datapath_messages.h"
#include "platform/datagram.h"

#include <netinet/in.h>
#include <sys/socket.h>

/* The parts of the datapath task:
 *
 *   datapath_task.c      packets in and out
 *   datapath_messages.c  messages from the other tasks, readiness and metrics
 *   overload_metrics.c   metrics of overload control and extra openings */

#define BATCH 32          /* packets per call of recvmmsg or sendmmsg */
#define BATCHES_MAX 16    /* handled before other events get their turn */
#define DATAGRAM_MAX 2048 /* bytes; the longest packet in use has 1,232 */

/* First packets to one service that were refused during overload. */
struct CfRefusals
{
  uint64_t count[CF_LOAD_PRIORITIES][CF_REFUSAL_COUNT];
};

struct DatapathTask
{
  struct CfBalancer *balancer;
  struct CfTask *task;
  struct CfBalance *balance;
  GSocket *socket;
  GSource *source;
  int fd;
  uint16_t caller_port; /* callers receive packets at their address and this port */
  struct CfEventRate placed_rate;
  struct CfEventRate notable_rate;
  struct CfEventRate admission_rate;
  GHashTable *refused; /* service (GQuark) to struct CfRefusals */
  uint64_t extra_openings[CF_EXTRA_OPEN_COUNT];
  struct CfHistogram held; /* ms that first packets waited for admission */
  uint64_t outcomes[CF_OUTCOME_COUNT];
  bool isolated;
  CfMillis next_report_at; /* when the next quality report may be sent */
  CfMillis next_load_report_at;
  uint64_t malformed;
  uint64_t send_failures;
  /* Service (GQuark) to struct CfHistogram: ms from the first packet to the next. */
  GHashTable *opened;

  uint8_t in[BATCH][DATAGRAM_MAX];
  uint8_t out[BATCH][CF_SEGMENT_MAX + 8];
  struct sockaddr_in to[BATCH];
  struct iovec out_iov[BATCH];
  struct mmsghdr out_messages[BATCH];
  unsigned out_count;
};

extern const struct CfMessageHandler cf_datapath_handlers[CF_TO_DATAPATH_KINDS];

/* Updates the readiness that the admin task reports. */
void cf_datapath_update_serving (struct DatapathTask *task);

/* Sends a report on upstreams whose requests fail to other VMs, if one is due. */
void cf_datapath_report_quality (struct DatapathTask *task, CfMillis now);

/* Sends a load report to other VMs, if one is due. */
void cf_datapath_report_load (struct DatapathTask *task, CfMillis now);

/* Updates readiness when this VM is cut off from all upstreams, and when it no longer is. */
void cf_datapath_update_isolation (struct DatapathTask *task, CfMillis now);

/* Counts a refusal during overload. */
void cf_datapath_count_refusal (struct DatapathTask *task,
                                const struct CfAdmissionVerdict *verdict);

/* Appends the metrics of overload control, and of extra openings, to TEXT. */
void cf_datapath_write_overload_metrics (struct DatapathTask *task, GString *text);

#endif
