#ifndef CF_PACKET_H
#define CF_PACKET_H

#include "cf_types.h"

/* Packets of callers: header parsing, GUE encapsulation (variant 0 of
 * draft-ietf-intarea-gue) and the replies that refuse a flow. */

#define CF_PACKET_MAX 2048
#define CF_GUE_HEADER_LEN 4
#define CF_REFUSAL_MAX 128

/* Why a packet was dropped.  Each reason has a counter. */
enum CfDrop
{
  CF_DROP_NONE,
  CF_DROP_GUE,        /* not a GUE data packet of variant 0 */
  CF_DROP_TRUNCATED,  /* a header or the stated length exceeds the packet */
  CF_DROP_VERSION,    /* neither IPv4 nor IPv6 */
  CF_DROP_HEADER,     /* a header field is not valid */
  CF_DROP_FRAGMENT,   /* a fragment: only the first of a datagram carries ports */
  CF_DROP_PROTOCOL,   /* neither TCP nor UDP nor an ICMP error about them */
  CF_DROP_NO_SERVICE, /* no service at the destination address */
  CF_DROP_NO_CONFIG,  /* no configuration yet */
  CF_DROP_HOPS,       /* transferred between entry VMs too many times */
  CF_DROP_TRANSFER,   /* the context of a transferred packet does not match it */
  CF_DROP_DOUBT,      /* the flow's upstream is not certain; the caller retransmits */
  CF_DROP_GATE,       /* not to be diverted yet (gue/marks.c), or no admission to a cold upstream */
  CF_DROP_NO_OWNER,   /* no entry VM to transfer to */
  CF_DROP_ICMP,       /* an ICMP error about a flow that has no upstream any more */
  CF_DROP_COUNT,
};

/* Returns the name of DROP for counters, in lower case. */
const char *cf_drop_name (enum CfDrop drop);

enum CfPacketFlags
{
  CF_PACKET_SYN = 1 << 0, /* TCP SYN without ACK: opens a flow */
  CF_PACKET_ACK = 1 << 1,
  CF_PACKET_FIN = 1 << 2,
  CF_PACKET_RST = 1 << 3,
};

/* A caller's packet, or an ICMP error that a router or the caller sent about a packet
 * from the service.  For an error, protocol, caller and service are those of the flow
 * that the quoted packet belongs to.  DATA points into the receive buffer of the
 * socket. */
struct CfPacket
{
  const uint8_t *data;
  size_t len;
  uint8_t protocol;
  uint8_t flags;   /* enum CfPacketFlags, for TCP */
  bool icmp_error; /* opens no flow and is never answered */
  struct CfAddress caller;
  struct CfAddress service;
  size_t transport;       /* offset of the TCP, UDP or ICMP header */
  struct CfAddress reply; /* the fabric's tunnel address, for refusals */
};

/* Reads the headers at DATA, an IP packet of LEN bytes, into PACKET.  Every length
 * is checked before the field is read.  Returns CF_DROP_NONE, or the reason for which
 * the packet is to be dropped. */
enum CfDrop cf_packet_parse (const uint8_t *data, size_t len, struct CfPacket *packet);

/* Returns the offset of the inner packet in a GUE datagram of LEN bytes at DATA,
 * or 0 if it is not one.  Optional header fields are skipped. */
size_t cf_gue_inner (const uint8_t *data, size_t len);

/* Writes the GUE header for an inner packet whose first byte is FIRST, with
 * OPTIONS bytes (a multiple of 4, at most 124) of private data to follow. */
void cf_gue_header (uint8_t header[CF_GUE_HEADER_LEN], uint8_t first, size_t options);

/* Builds the reply that refuses PACKET: a TCP reset, or ICMP port unreachable
 * for UDP.  The reply goes from the service to the caller.  Writes to OUT and
 * returns its length, or 0 for a packet that must not be answered (a reset, an ICMP
 * error). */
size_t cf_refusal_build (const struct CfPacket *packet, uint8_t out[CF_REFUSAL_MAX]);

#endif
