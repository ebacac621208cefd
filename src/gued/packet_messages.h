#ifndef CF_GUED_PACKET_MESSAGES_H
#define CF_GUED_PACKET_MESSAGES_H

#include "cf_core.h"
#include "runtime/report.h"

#include <glib.h>

/* Messages to the packet task, which owns the core and from then on the content. */
enum CfPacketMessage
{
  CF_TO_PACKET_ENVELOPE, /* struct peer_envelope, verified, of another entry VM */
  CF_TO_PACKET_CONFIG,   /* a reference of struct CfConfig, read from the platform */
  CF_TO_PACKET_FOLDER,   /* the same, read from the operators' folder */
  CF_TO_PACKET_HEALTH,   /* struct CfHealthAnswer */
  CF_TO_PACKET_VM_LIST,  /* GArray of struct CfListedVm */
  CF_TO_PACKET_LEAVE,    /* NULL: this VM has to hand over its flows and end */
  CF_TO_PACKET_REPORT,   /* struct CfCoreReport, which goes back to the admin task with its text */
  CF_TO_PACKET_KINDS,
};

enum CfReportKind
{
  CF_REPORT_METRICS,
  CF_REPORT_STATUS,
  CF_REPORT_EXPLAIN,
};

/* A request for a report on the core. */
struct CfCoreReport
{
  struct CfReport http;
  enum CfReportKind kind;
  struct CfAddress caller; /* for CF_REPORT_EXPLAIN */
  struct CfAddress service;
  uint8_t protocol;
};

#endif
