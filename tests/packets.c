#include "packets.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
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

size_t
test_packet_build (const struct CfAddress *caller,
                   const struct CfAddress *service,
                   uint8_t protocol,
                   uint8_t flags,
                   size_t payload,
                   uint8_t out[CF_PACKET_MAX])
{
  if (cf_address_is_ipv4 (service))
    {
      struct iphdr ip = { .version = 4, .ihl = 5, .ttl = 64, .protocol = protocol };
      size_t len = write_transport (caller, service, protocol, flags, payload, out + sizeof ip);

      ip.tot_len = htons ((uint16_t) (sizeof ip + len));
      memcpy (&ip.saddr, caller->ip + 12, 4);
      memcpy (&ip.daddr, service->ip + 12, 4);
      memcpy (out, &ip, sizeof ip);
      return sizeof ip + len;
    }
  struct ip6_hdr ip6 = { 0 };
  size_t len = write_transport (caller, service, protocol, flags, payload, out + sizeof ip6);

  ip6.ip6_flow = htonl (6U << 28);
  ip6.ip6_plen = htons ((uint16_t) len);
  ip6.ip6_nxt = protocol;
  ip6.ip6_hlim = 64;
  memcpy (&ip6.ip6_src, caller->ip, 16);
  memcpy (&ip6.ip6_dst, service->ip, 16);
  memcpy (out, &ip6, sizeof ip6);
  return sizeof ip6 + len;
}
