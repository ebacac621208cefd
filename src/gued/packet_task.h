#ifndef CF_GUED_PACKET_TASK_H
#define CF_GUED_PACKET_TASK_H

#include "packet_messages.h"
#include "tx_queue.h"
#include "server.h"

/* State of the packet task, shared by its sockets (packet_task.c) and its messages
 * (packet_messages.c).  Only its own thread touches it. */

#define BATCH_LEN 64 /* packets received at once */

struct PacketTask
{
  struct CfServer *server;
  struct CfCore *core;
  GSocket *fabric;
  GSocket *transfer;
  GSource *sources[3];
  struct CfTxQueue out;
  uint8_t buffers[BATCH_LEN][CF_PACKET_MAX];
  uint8_t refusals[CF_TX_QUEUE_LEN][CF_REFUSAL_MAX];
  guint refusal_count;
  GHashTable *decision_ns; /* service id to struct CfHistogram */
  uint32_t decided_service;
  uint32_t sample;
  uint32_t xid;
  uint64_t bad_transfers;
  uint64_t bad_gue;
  struct CfConfig *folder; /* read from the operators' folder, not in force yet */
  CfMillis started;
  bool watching;           /* this VM watches the platform for its failure domain */
  CfMillis status_at;      /* when the status object was last written */
  uint64_t status_version; /* the configuration version in that object */
  CfMillis stop_at;        /* 0: not leaving, or the handover is in progress */
};

extern const struct CfMessageHandler cf_packet_handlers[CF_TO_PACKET_KINDS];

/* Logs that CONFIG is in force; FROM names its source. */
void cf_packet_log_config (const struct CfConfig *config, const char *from);

#endif
