#include "cf_packet.h"

#include <netinet/in.h>

/* First byte: variant (2 bits), control flag (1 bit), length of the options in
 * words (5 bits).  Second byte: protocol of the inner packet. */
#define GUE_VARIANT_MASK 0xc0
#define GUE_CONTROL 0x20
#define GUE_WORDS_MASK 0x1f

size_t
cf_gue_inner (const uint8_t *data, size_t len)
{
  size_t offset;

  if (len < CF_GUE_HEADER_LEN || (data[0] & (GUE_VARIANT_MASK | GUE_CONTROL)))
    return 0;
  if (data[1] != IPPROTO_IPIP && data[1] != IPPROTO_IPV6)
    return 0;
  offset = CF_GUE_HEADER_LEN + (data[0] & GUE_WORDS_MASK) * 4U;
  return offset < len ? offset : 0;
}

void
cf_gue_header (uint8_t header[CF_GUE_HEADER_LEN], uint8_t first, size_t options)
{
  header[0] = (uint8_t) (options / 4) & GUE_WORDS_MASK;
  header[1] = first >> 4 == 6 ? IPPROTO_IPV6 : IPPROTO_IPIP;
  header[2] = 0;
  header[3] = 0;
}
