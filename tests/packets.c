#include "packets.h"

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <string.h>

static size_t
write_transport (const struct CfAddress *caller,
                 const struct CfAddress *service,
                 uint8_t protocol,
                 uint8_t flags,
                 size_t payload,
                 uint8_t *out)
{
  if (protocol == IPPROTO_TCP)
    {
      struct tcphdr tcp = { .doff = 5, .window = htons (65535) };

      tcp.source = htons (caller->port);
      tcp.dest = htons (service->port);
      tcp.syn = !!(flags & CF_PACKET_SYN);
      tcp.ack = !!(flags & CF_PACKET_ACK);
      tcp.fin = !!(flags & CF_PACKET_FIN);
      tcp.rst = !!(flags & CF_PACKET_RST);
      memcpy (out, &tcp, sizeof tcp);
      memset (out + sizeof tcp, 0, payload);
      return sizeof tcp + payload;
    }
  struct udphdr udp = { .source = htons (caller->port), .dest = htons (service->port) };

  udp.len = htons ((uint16_t) (sizeof udp + payload));
  memcpy (out, &udp, sizeof udp);
  memset (out + sizeof udp, 0, payload);
  return sizeof udp + payload;
}

/* Writes the IP header for LEN bytes of PROTOCOL from FROM to TO.  Returns its length. */
static size_t
write_ip (const struct CfAddress *from,
          const struct CfAddress *to,
          uint8_t protocol,
          size_t len,
          uint8_t *out)
{
  if (cf_address_is_ipv4 (to))
    {
      struct iphdr ip = { .version = 4, .ihl = 5, .ttl = 64, .protocol = protocol };

      ip.tot_len = htons ((uint16_t) (sizeof ip + len));
      memcpy (&ip.saddr, from->ip + 12, 4);
      memcpy (&ip.daddr, to->ip + 12, 4);
      memcpy (out, &ip, sizeof ip);
      return sizeof ip;
    }
  struct ip6_hdr ip6 = { 0 };

  ip6.ip6_flow = htonl (6U << 28);
  ip6.ip6_plen = htons ((uint16_t) len);
  ip6.ip6_nxt = protocol;
  ip6.ip6_hlim = 64;
  memcpy (&ip6.ip6_src, from->ip, 16);
  memcpy (&ip6.ip6_dst, to->ip, 16);
  memcpy (out, &ip6, sizeof ip6);
  return sizeof ip6;
}

static size_t
ip_header_len (const struct CfAddress *address)
{
  return cf_address_is_ipv4 (address) ? sizeof (struct iphdr) : sizeof (struct ip6_hdr);
}

size_t
test_packet_build (const struct CfAddress *caller,
                   const struct CfAddress *service,
                   uint8_t protocol,
                   uint8_t flags,
                   size_t payload,
                   uint8_t out[CF_PACKET_MAX])
{
  size_t offset = ip_header_len (service);
  size_t len = write_transport (caller, service, protocol, flags, payload, out + offset);

  write_ip (caller, service, protocol, len, out);
  return offset + len;
}

size_t
test_packet_too_big (const struct CfAddress *caller,
                     const struct CfAddress *service,
                     uint8_t protocol,
                     uint8_t out[CF_PACKET_MAX])
{
  bool v4 = cf_address_is_ipv4 (service);
  struct CfAddress router = *caller;
  size_t offset = ip_header_len (service);
  uint8_t icmp[8] = { v4 ? ICMP_DEST_UNREACH : ICMP6_PACKET_TOO_BIG, v4 ? ICMP_FRAG_NEEDED : 0 };
  uint8_t quote[CF_PACKET_MAX];
  size_t len = test_packet_build (service, caller, protocol, CF_PACKET_ACK, 0, quote);

  router.ip[14] ^= 0xff;
  icmp[6] = 1400 >> 8;
  icmp[7] = 1400 & 0xff;
  write_ip (&router, service, v4 ? IPPROTO_ICMP : IPPROTO_ICMPV6, sizeof icmp + len, out);
  memcpy (out + offset, icmp, sizeof icmp);
  memcpy (out + offset + sizeof icmp, quote, len);
  return offset + sizeof icmp + len;
}
