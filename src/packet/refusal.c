#include "cf_packet.h"
#include "checksum.h"
#include "icmp.h"

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <string.h>

#define REFUSAL_TTL 64

/* Writes the IP header of a reply to PACKET with PAYLOAD bytes to follow. */
static size_t
write_ip (const struct CfPacket *packet, uint8_t protocol, size_t payload, uint8_t *out)
{
  if (packet->data[0] >> 4 == IPVERSION)
    {
      struct iphdr ip = { .version = IPVERSION, .ihl = 5, .ttl = REFUSAL_TTL };

      ip.protocol = protocol;
      ip.tot_len = htons ((uint16_t) (sizeof ip + payload));
      memcpy (&ip.saddr, packet->service.ip + 12, sizeof ip.saddr);
      memcpy (&ip.daddr, packet->caller.ip + 12, sizeof ip.daddr);
      ip.check = cf_checksum_end (cf_checksum_add (0, &ip, sizeof ip));
      memcpy (out, &ip, sizeof ip);
      return sizeof ip;
    }
  struct ip6_hdr ip6 = { 0 };

  ip6.ip6_flow = htonl (6U << 28);
  ip6.ip6_plen = htons ((uint16_t) payload);
  ip6.ip6_nxt = protocol;
  ip6.ip6_hlim = REFUSAL_TTL;
  memcpy (&ip6.ip6_src, packet->service.ip, sizeof ip6.ip6_src);
  memcpy (&ip6.ip6_dst, packet->caller.ip, sizeof ip6.ip6_dst);
  memcpy (out, &ip6, sizeof ip6);
  return sizeof ip6;
}

static uint32_t
pseudo_header (const struct CfPacket *packet, uint8_t protocol, size_t payload)
{
  bool v4 = packet->data[0] >> 4 == IPVERSION;
  size_t skip = v4 ? 12 : 0;
  uint32_t sum = cf_checksum_add (0, packet->service.ip + skip, 16 - skip);

  sum = cf_checksum_add (sum, packet->caller.ip + skip, 16 - skip);
  return sum + protocol + (uint32_t) payload;
}

/* RFC 9293, section 3.10.7.1: the reset takes its sequence number from the
 * packet's acknowledgement, or else acknowledges the whole packet. */
static size_t
build_reset (const struct CfPacket *packet, uint8_t *out)
{
  struct tcphdr in;
  struct tcphdr reset = { .doff = 5, .rst = 1 };
  size_t payload;
  size_t offset;

  memcpy (&in, packet->data + packet->transport, sizeof in);
  if (in.rst)
    return 0;
  payload = packet->len - packet->transport - in.doff * 4U;
  reset.source = in.dest;
  reset.dest = in.source;
  if (in.ack)
    reset.seq = in.ack_seq;
  else
    {
      reset.ack = 1;
      reset.ack_seq = htonl (ntohl (in.seq) + (uint32_t) payload + in.syn + in.fin);
    }
  offset = write_ip (packet, IPPROTO_TCP, sizeof reset, out);
  reset.check = cf_checksum_end (
      cf_checksum_add (pseudo_header (packet, IPPROTO_TCP, sizeof reset), &reset, sizeof reset));
  memcpy (out + offset, &reset, sizeof reset);
  return offset + sizeof reset;
}

static size_t
build_unreachable (const struct CfPacket *packet, uint8_t *out)
{
  bool v4 = packet->data[0] >> 4 == IPVERSION;
  uint8_t protocol = v4 ? IPPROTO_ICMP : IPPROTO_ICMPV6;
  uint8_t body[ICMP_HEADER_LEN + sizeof (struct ip6_hdr) + ICMP_QUOTE_LEN + 32] = { 0 };
  size_t quote = packet->transport + ICMP_QUOTE_LEN;
  size_t offset;
  uint32_t sum;
  uint16_t check;

  quote = quote < sizeof body - ICMP_HEADER_LEN ? quote : sizeof body - ICMP_HEADER_LEN;
  body[0] = v4 ? ICMP_DEST_UNREACH : ICMP6_DST_UNREACH;
  body[1] = v4 ? ICMP_PORT_UNREACH : ICMP6_DST_UNREACH_NOPORT;
  memcpy (body + ICMP_HEADER_LEN, packet->data, quote);
  sum = v4 ? 0 : pseudo_header (packet, protocol, ICMP_HEADER_LEN + quote);
  check = cf_checksum_end (cf_checksum_add (sum, body, ICMP_HEADER_LEN + quote));
  memcpy (body + 2, &check, sizeof check);
  if ((v4 ? sizeof (struct iphdr) : sizeof (struct ip6_hdr)) + ICMP_HEADER_LEN + quote
      > CF_REFUSAL_MAX)
    return 0;
  offset = write_ip (packet, protocol, ICMP_HEADER_LEN + quote, out);
  memcpy (out + offset, body, ICMP_HEADER_LEN + quote);
  return offset + ICMP_HEADER_LEN + quote;
}

size_t
cf_refusal_build (const struct CfPacket *packet, uint8_t out[CF_REFUSAL_MAX])
{
  if (packet->icmp_error)
    return 0;
  if (packet->protocol == IPPROTO_TCP)
    return build_reset (packet, out);
  return build_unreachable (packet, out);
}
