#ifndef CF_TEST_PACKETS_H
#define CF_TEST_PACKETS_H

#include "cf_packet.h"

/* Builds packets of callers and routers for tests. */

/* Writes an IP packet from CALLER to SERVICE with PROTOCOL, TCP FLAGS and PAYLOAD
 * zero bytes to OUT.  The address family follows SERVICE.  Returns the length. */
size_t test_packet_build (const struct CfAddress *caller,
                          const struct CfAddress *service,
                          uint8_t protocol,
                          uint8_t flags,
                          size_t payload,
                          uint8_t out[CF_PACKET_MAX]);

/* Writes the ICMP error of a router that a packet of PROTOCOL from SERVICE to CALLER is
 * too big, to OUT.  Returns the length. */
size_t test_packet_too_big (const struct CfAddress *caller,
                            const struct CfAddress *service,
                            uint8_t protocol,
                            uint8_t out[CF_PACKET_MAX]);

#endif
