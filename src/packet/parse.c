#include "cf_packet.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
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

static bool
is_extension (uint8_t next)
{
  return next == IPPROTO_HOPOPTS || next == IPPROTO_ROUTING || next == IPPROTO_DSTOPTS;
}

static enum CfDrop
parse_ipv6 (struct CfPacket *packet)
{
  struct ip6_hdr ip;
  size_t offset = sizeof ip;
  size_t total;
  uint8_t next;

  if (packet->len < sizeof ip)
    return CF_DROP_TRUNCATED;
  memcpy (&ip, packet->data, sizeof ip);
  total = sizeof ip + ntohs (ip.ip6_plen);
  if (total > packet->len)
    return CF_DROP_TRUNCATED;
  packet->len = total;
  next = ip.ip6_nxt;
  while (is_extension (next))
    {
      struct ip6_ext ext;

      if (offset + 8 > total)
        return CF_DROP_TRUNCATED;
      memcpy (&ext, packet->data + offset, sizeof ext);
      next = ext.ip6e_nxt;
      offset += (ext.ip6e_len + 1U) * 8U;
      if (offset > total)
        return CF_DROP_TRUNCATED;
    }
  if (next == IPPROTO_FRAGMENT)
    return CF_DROP_FRAGMENT;
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
