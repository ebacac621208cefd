#ifndef CF_PACKET_ICMP_H
#define CF_PACKET_ICMP_H

/* Lengths of ICMP and ICMPv6 errors, in bytes. */

#define ICMP_HEADER_LEN 8
#define ICMP_QUOTE_LEN 8 /* of the transport header that every error quotes */

#endif
