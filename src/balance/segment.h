#ifndef CF_BALANCE_SEGMENT_H
#define CF_BALANCE_SEGMENT_H

#include "cf_types.h"

/* A packet of a flow between a caller and an upstream.
 *
 * Both ends echo the cookie that they last received on the flow, so every packet but the first
 * names the upstream of its flow. */

#define CF_SEGMENT_MAX 1280 /* bytes of the longest packet that is handed on */

enum CfSegmentFlag
{
  CF_SEGMENT_SYN = 1 << 0,
  CF_SEGMENT_ACK = 1 << 1,
  CF_SEGMENT_FIN = 1 << 2,
  CF_SEGMENT_RST = 1 << 3,
  CF_SEGMENT_FROM_PEER = 1 << 4,    /* a peer handed it on to this VM */
  CF_SEGMENT_SENT_TO_PEER = 1 << 5, /* not on the wire: this VM has handed it on before */
  CF_SEGMENT_QUEUED = 1 << 6,       /* not on the wire: it came before this VM's first sync */
};

/* An IPv4 address and port, both in host byte order. */
struct CfEndpoint
{
  uint32_t ip;
  uint16_t port;
};

struct CfSegment
{
  struct CfEndpoint caller;
  struct CfEndpoint service; /* address that the caller connects to */
  unsigned flags;            /* of enum CfSegmentFlag */
  uint32_t seq;
  uint32_t ack;
  uint32_t cookie;           /* 0: the sender has received none yet */
  uint32_t data;             /* bytes of the caller's data in it */
  uint16_t retransmit_count; /* of a first packet: number of retransmissions before it */
  const uint8_t *bytes;      /* the whole packet; only valid while it is handled */
  size_t size;
};

/* Encodes and decodes packets of one wire format. */
struct CfSegmentCodec
{
  /* Reads the packet DATA of LEN bytes into SEGMENT, which refers to DATA.  Returns false if it is
   * truncated or malformed. */
  bool (*parse) (const uint8_t *data, size_t len, struct CfSegment *segment);
  /* Writes to OUT (CF_SEGMENT_MAX bytes) the datagram that carries the packet BYTES of SIZE bytes
   * to the upstream with TAG, with COOKIE in it.  Returns its length. */
  size_t (*wrap) (const uint8_t *bytes, size_t size, uint64_t tag, uint32_t cookie, uint8_t *out);
  /* Writes to OUT the datagram that hands the packet BYTES of SIZE bytes on to another entry VM,
   * whose parse sets CF_SEGMENT_FROM_PEER.  Returns its length. */
  size_t (*hand_on) (const uint8_t *bytes, size_t size, uint8_t *out);
  /* Writes to OUT the packet that resets the flow of SEGMENT towards its caller.  Returns its
   * length. */
  size_t (*reset) (const struct CfSegment *segment, uint8_t *out);
};

static inline bool
cf_endpoint_equal (struct CfEndpoint a, struct CfEndpoint b)
{
  return a.ip == b.ip && a.port == b.port;
}

static inline uint32_t
cf_endpoint_hash (struct CfEndpoint endpoint)
{
  return (endpoint.ip * 2654435761U) ^ (endpoint.port * 40503U);
}

#endif
