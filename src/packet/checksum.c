#include "checksum.h"

#include <arpa/inet.h>

uint32_t
cf_checksum_add (uint32_t sum, const void *data, size_t len)
{
  const uint8_t *bytes = data;

  for (size_t i = 0; i + 1 < len; i += 2)
    sum += (uint32_t) bytes[i] << 8 | bytes[i + 1];
  if (len % 2)
    sum += (uint32_t) bytes[len - 1] << 8;
  return sum;
}

uint16_t
cf_checksum_end (uint32_t sum)
{
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return htons ((uint16_t) ~sum);
}
