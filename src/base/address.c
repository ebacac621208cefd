#include "cf_types.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

static const uint8_t ipv4_prefix[12] = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

bool
cf_address_parse (const char *text, uint16_t port, struct CfAddress *address)
{
  memset (address, 0, sizeof *address);
  address->port = port;
  if (inet_pton (AF_INET6, text, address->ip) == 1)
    return true;
  memcpy (address->ip, ipv4_prefix, sizeof ipv4_prefix);
  return inet_pton (AF_INET, text, address->ip + 12) == 1;
}

bool
cf_address_equal (const struct CfAddress *a, const struct CfAddress *b)
{
  return a->port == b->port && memcmp (a->ip, b->ip, sizeof a->ip) == 0;
}

uint32_t
cf_address_hash (const struct CfAddress *address)
{
  uint32_t words[4];

  memcpy (words, address->ip, sizeof words);
  return (words[0] ^ words[1] ^ words[2] ^ words[3]) * 2654435761U + address->port;
}

bool
cf_address_is_ipv4 (const struct CfAddress *address)
{
  return memcmp (address->ip, ipv4_prefix, sizeof ipv4_prefix) == 0;
}

void
cf_address_format (const struct CfAddress *address, char *text, size_t len)
{
  char ip[INET6_ADDRSTRLEN];

  if (cf_address_is_ipv4 (address))
    {
      inet_ntop (AF_INET, address->ip + 12, ip, sizeof ip);
      snprintf (text, len, "%s:%u", ip, address->port);
      return;
    }
  inet_ntop (AF_INET6, address->ip, ip, sizeof ip);
  snprintf (text, len, "[%s]:%u", ip, address->port);
}
