#ifndef CF_PACKET_CHECKSUM_H
#define CF_PACKET_CHECKSUM_H

#include <stddef.h>
#include <stdint.h>

/* Adds LEN bytes at DATA to the running Internet checksum SUM (RFC 1071). */
uint32_t cf_checksum_add (uint32_t sum, const void *data, size_t len);

/* Returns the final checksum for SUM, in network byte order. */
uint16_t cf_checksum_end (uint32_t sum);

#endif
