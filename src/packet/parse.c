#include "cf_packet.h"
#include "icmp.h"

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

#define IPV4_MIN_WORDS 5
#define TCP_MIN_WORDS 5

static void
set_ipv4 (struct CfAddress *address, uint32_t ip)
{
  memset (address->ip, 0, 10);
  memset (address->ip + 10, 0xff, 2);
  memcpy (address->ip + 12, &ip, sizeof ip);
}

static enum CfDrop
parse_tcp (const uint8_t *data, size_t len, struct CfPacket *packet)
{
  struct tcphdr tcp;

  if (len < sizeof tcp)
    return CF_DROP_TRUNCATED;
  memcpy (&tcp, data, sizeof tcp);
  if (tcp.doff < TCP_MIN_WORDS)
    return CF_DROP_HEADER;
  if (tcp.doff * 4U > len)
    return CF_DROP_TRUNCATED;
  if (tcp.syn && (tcp.fin || tcp.rst))
    return CF_DROP_HEADER;
  packet->caller.port = ntohs (tcp.source);
  packet->service.port = ntohs (tcp.dest);
  packet->flags
      = (uint8_t) ((tcp.syn && !tcp.ack ? CF_PACKET_SYN : 0) | (tcp.ack ? CF_PACKET_ACK : 0)
                   | (tcp.fin ? CF_PACKET_FIN : 0) | (tcp.rst ? CF_PACKET_RST : 0));
  return CF_DROP_NONE;
}

static enum CfDrop
parse_udp (const uint8_t *data, size_t len, struct CfPacket *packet)
{
  struct udphdr udp;

  if (len < sizeof udp)
    return CF_DROP_TRUNCATED;
  memcpy (&udp, data, sizeof udp);
  if (ntohs (udp.len) < sizeof udp)
    return CF_DROP_HEADER;
  if (ntohs (udp.len) > len)
    return CF_DROP_TRUNCATED;
  packet->caller.port = ntohs (udp.source);
  packet->service.port = ntohs (udp.dest);
  packet->flags = 0;
  return CF_DROP_NONE;
}

static bool
is_extension (uint8_t next)
{
  return next == IPPROTO_HOPOPTS || next == IPPROTO_ROUTING || next == IPPROTO_DSTOPTS;
}

/* Moves OFFSET over the IPv6 extension headers at DATA, which ends at END; NEXT is the
 * type of the header at OFFSET.  Returns CF_DROP_NONE, or the reason to drop the packet. */
static enum CfDrop
skip_extensions (const uint8_t *data, size_t end, size_t *offset, uint8_t *next)
{
  while (is_extension (*next))
    {
      struct ip6_ext ext;

      if (*offset + 8 > end)
        return CF_DROP_TRUNCATED;
      memcpy (&ext, data + *offset, sizeof ext);
      *next = ext.ip6e_nxt;
      *offset += (ext.ip6e_len + 1U) * 8U;
      if (*offset > end)
        return CF_DROP_TRUNCATED;
    }
  return *next == IPPROTO_FRAGMENT ? CF_DROP_FRAGMENT : CF_DROP_NONE;
}

/* Reads the IPv4 header of a quoted packet, which may be cut off after the first bytes
 * of its transport header.  It went from the service to the caller. */
static enum CfDrop
parse_quoted_ipv4 (const uint8_t *data, size_t len, struct CfPacket *packet, size_t *transport)
{
  struct iphdr ip;

  if (len < sizeof ip)
    return CF_DROP_TRUNCATED;
  memcpy (&ip, data, sizeof ip);
  if (ip.version != IPVERSION || ip.ihl < IPV4_MIN_WORDS)
    return CF_DROP_HEADER;
  if (ntohs (ip.frag_off) & IP_OFFMASK)
    return CF_DROP_FRAGMENT;
  packet->protocol = ip.protocol;
  set_ipv4 (&packet->service, ip.saddr);
  set_ipv4 (&packet->caller, ip.daddr);
  *transport = ip.ihl * 4U;
  return CF_DROP_NONE;
}

static enum CfDrop
parse_quoted_ipv6 (const uint8_t *data, size_t len, struct CfPacket *packet, size_t *transport)
{
  struct ip6_hdr ip;

  if (len < sizeof ip)
    return CF_DROP_TRUNCATED;
  memcpy (&ip, data, sizeof ip);
  if (ip.ip6_vfc >> 4 != 6)
    return CF_DROP_HEADER;
  packet->protocol = ip.ip6_nxt;
  memcpy (packet->service.ip, &ip.ip6_src, sizeof packet->service.ip);
  memcpy (packet->caller.ip, &ip.ip6_dst, sizeof packet->caller.ip);
  *transport = sizeof ip;
  return skip_extensions (data, len, transport, &packet->protocol);
}

/* Reads an ICMP error, which was sent to the source of the packet that it quotes. */
static enum CfDrop
parse_icmp_error (struct CfPacket *packet, bool v6)
{
  const uint8_t *data = packet->data + packet->transport + ICMP_HEADER_LEN;
  struct CfAddress target = packet->service;
  size_t transport;
  size_t len;
  uint16_t ports[2];
  enum CfDrop drop;

  if (packet->len < packet->transport + ICMP_HEADER_LEN)
    return CF_DROP_TRUNCATED;
  len = packet->len - packet->transport - ICMP_HEADER_LEN;
  drop = v6 ? parse_quoted_ipv6 (data, len, packet, &transport)
            : parse_quoted_ipv4 (data, len, packet, &transport);
  if (drop != CF_DROP_NONE)
    return drop;
  if (len < transport + ICMP_QUOTE_LEN)
    return CF_DROP_TRUNCATED;
  if (packet->protocol != IPPROTO_TCP && packet->protocol != IPPROTO_UDP)
    return CF_DROP_PROTOCOL;
  if (!cf_address_equal (&packet->service, &target))
    return CF_DROP_HEADER;
  memcpy (ports, data + transport, sizeof ports);
  packet->service.port = ntohs (ports[0]);
  packet->caller.port = ntohs (ports[1]);
  packet->icmp_error = true;
  return CF_DROP_NONE;
}

static bool
is_icmp_error (const struct CfPacket *packet)
{
  uint8_t type;

  if (packet->len <= packet->transport)
    return false;
  type = packet->data[packet->transport];
  if (packet->protocol == IPPROTO_ICMP)
    return type == ICMP_DEST_UNREACH || type == ICMP_TIME_EXCEEDED || type == ICMP_PARAMETERPROB;
  return packet->protocol == IPPROTO_ICMPV6 && !(type & ICMP6_INFOMSG_MASK);
}

static enum CfDrop
parse_transport (struct CfPacket *packet)
{
  const uint8_t *data = packet->data + packet->transport;
  size_t len = packet->len - packet->transport;
  enum CfDrop drop;

  if (packet->protocol == IPPROTO_TCP)
    drop = parse_tcp (data, len, packet);
  else if (packet->protocol == IPPROTO_UDP)
    drop = parse_udp (data, len, packet);
  else if (is_icmp_error (packet))
    drop = parse_icmp_error (packet, packet->protocol == IPPROTO_ICMPV6);
  else
    drop = CF_DROP_PROTOCOL;
  if (drop == CF_DROP_NONE && (packet->caller.port == 0 || packet->service.port == 0))
    return CF_DROP_HEADER;
  return drop;
}

static enum CfDrop
parse_ipv4 (struct CfPacket *packet)
{
  struct iphdr ip;
  size_t total;

  if (packet->len < sizeof ip)
    return CF_DROP_TRUNCATED;
  memcpy (&ip, packet->data, sizeof ip);
  total = ntohs (ip.tot_len);
  if (ip.ihl < IPV4_MIN_WORDS || total < ip.ihl * 4U)
    return CF_DROP_HEADER;
  if (total > packet->len)
    return CF_DROP_TRUNCATED;
  if (ntohs (ip.frag_off) & (IP_MF | IP_OFFMASK))
    return CF_DROP_FRAGMENT;
  packet->len = total;
  packet->protocol = ip.protocol;
  packet->transport = ip.ihl * 4U;
  set_ipv4 (&packet->caller, ip.saddr);
  set_ipv4 (&packet->service, ip.daddr);
  return parse_transport (packet);
}

static enum CfDrop
parse_ipv6 (struct CfPacket *packet)
{
  struct ip6_hdr ip;
  size_t offset = sizeof ip;
  size_t total;
  uint8_t next;
  enum CfDrop drop;

  if (packet->len < sizeof ip)
    return CF_DROP_TRUNCATED;
  memcpy (&ip, packet->data, sizeof ip);
  total = sizeof ip + ntohs (ip.ip6_plen);
  if (total > packet->len)
    return CF_DROP_TRUNCATED;
  packet->len = total;
  next = ip.ip6_nxt;
  drop = skip_extensions (packet->data, total, &offset, &next);
  if (drop != CF_DROP_NONE)
    return drop;
  packet->protocol = next;
  packet->transport = offset;
  memcpy (packet->caller.ip, &ip.ip6_src, sizeof packet->caller.ip);
  memcpy (packet->service.ip, &ip.ip6_dst, sizeof packet->service.ip);
  return parse_transport (packet);
}

enum CfDrop
cf_packet_parse (const uint8_t *data, size_t len, struct CfPacket *packet)
{
  struct CfAddress reply = packet->reply;

  *packet = (struct CfPacket){ .data = data, .len = len, .reply = reply };
  if (len == 0)
    return CF_DROP_TRUNCATED;
  switch (data[0] >> 4)
    {
    case IPVERSION:
      return parse_ipv4 (packet);
    case 6:
      return parse_ipv6 (packet);
    default:
      return CF_DROP_VERSION;
    }
}
