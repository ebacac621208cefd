#ifndef CF_SOAK_TRAFFIC_H
#define CF_SOAK_TRAFFIC_H

#include "platform/datagram.h"
#include "soak.h"

/* What callers and upstreams share: packets, and the flows between them. */

#define SOAK_HEADER 32
#define SOAK_ANSWER_BYTES 32
#define SOAK_BUSY_BYTES 8 /* of an answer that says that the request was not run */

enum
{
  WIRE_SYN = 64,
  WIRE_ACK = 2,
  WIRE_FIN = 16,
  WIRE_RST = 8,
};

struct SoakFlow
{
  struct Soak *soak;
  uint16_t port;         /* of the caller */
  uint16_t service_port; /* 80 and 83: "s", 81 and 82: "t" */
  int caller;            /* index of its address */
  const struct SoakVm *vm;
  const struct SoakVm *pinned;   /* takes all packets until its process is gone, or NULL */
  int pinned_starts;             /* its number of starts then */
  struct SoakUpstream *upstream; /* where it opened; NULL: not open */
  int64_t opened_incarnation;    /* incarnation of the upstream at that time */
  uint32_t cookie;
  int64_t begun_at; /* of the current request, at first that of the flow */
  int64_t opened_at;
  int further;       /* requests after the current one */
  bool answered;     /* the current request */
  bool acknowledged; /* the current request, and its answer takes time */
  uint32_t sent;     /* bytes by the caller */
  uint32_t received; /* bytes by the caller */
  int request_packets;
  uint32_t repeats; /* of the current packet by the caller */
  int misrouted;    /* packets that reached other upstreams while it was open */
  bool stable;      /* the current request began while stable */
  bool silent;      /* its packets do not reach its upstream any more */
  bool reached;     /* an upstream got its first packet */
  bool refused;     /* reset by a VM before it opened */
  bool queued;      /* the current request waits or is worked on */
  guint timer;
};

void soak_put32 (uint8_t *at, uint32_t value);
/* Writes a packet with LEN bytes of data to OUT. */
void soak_wire_build (uint8_t *out,
                      unsigned flags,
                      struct CfEndpoint from,
                      struct CfEndpoint to,
                      uint32_t ack,
                      uint32_t cookie,
                      unsigned len);
void
soak_wire_send (GSocket *socket, const char *ip, uint16_t port, const uint8_t *data, size_t len);

#endif
