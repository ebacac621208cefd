#ifndef CF_SERVE_DATAPATH_INTERNAL_H
#define CF_SERVE_DATAPATH_INTERNAL_H

#include "balancer.h"
#include "platform/datagram.h"
#include "server.h"

#include <netinet/in.h>
#include <sys/socket.h>

/* The parts of the datapath task:
 *
 *   datapath_task.c  packets in and out
 *   datapath_news.c  what the feed task tells, readiness and metrics */

#define BATCH 32          /* packets that one call to the kernel takes or gives */
#define DATAGRAM_MAX 2048 /* bytes; the longest packet in use has 1,232 */

struct DatapathTask
{
  struct CfBalancer *balancer;
  struct CfTask *task;
  struct CfBalance *balance;
  GSocket *socket;
  GSource *source;
  int fd;
  uint16_t caller_port; /* callers take packets at their address and this port */
  struct CfEventRate placed;
  struct CfEventRate notable;
  uint64_t outcomes[CF_OUTCOME_COUNT];
  bool isolated;
  CfMillis next_report_at; /* no report to others before */
  uint64_t malformed;
  uint64_t send_failures;
  GHashTable *opened; /* GQuark to struct CfHistogram: first packet to its successor, ms */

  uint8_t in[BATCH][DATAGRAM_MAX];
  uint8_t out[BATCH][CF_SEGMENT_MAX + 8];
  struct sockaddr_in to[BATCH];
  struct iovec out_iov[BATCH];
  struct mmsghdr out_messages[BATCH];
  unsigned out_count;
};

/* Tells the admin task whether there is something to serve with. */
void cf_datapath_update_serving (struct DatapathTask *task);

/* Tells others what this VM saw of upstreams whose requests fail, if it is time to. */
void cf_datapath_report_quality (struct DatapathTask *task, CfMillis now);

/* Tells the fabric when this VM is cut off from all upstreams, and when no longer. */
void cf_datapath_update_isolation (struct DatapathTask *task, CfMillis now);

#endif
