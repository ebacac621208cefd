#ifndef CF_FEED_GOSSIP_H
#define CF_FEED_GOSSIP_H

#include "balance/quality_report.h"
#include "feed.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Datagrams between VMs.  Those of a failure domain tell each other that the sender leaves or has
 * returned, and its answer counts of upstreams whose requests fail; load reports between the VMs of
 * a region are in load_message.h. */

/* Datagrams of up to this many bytes are not fragmented on any link. */
#define CF_GOSSIP_BYTES_MAX 1200

/* Encodes DATAGRAM into OUT of SIZE bytes and returns its length, 0 if it does not fit. */
size_t cf_gossip_encode (struct feed_datagram *datagram, uint8_t *out, size_t size);

/* Encodes a hello into OUT of SIZE bytes and returns its length, 0 if it does not fit. */
size_t cf_gossip_encode_hello (
    const char *name, const char *domain, bool leaving, uint8_t *out, size_t size);

/* Encodes REPORT of a VM in DOMAIN likewise. */
size_t cf_gossip_encode_quality (const struct CfQualityReport *report,
                                 const char *domain,
                                 uint8_t *out,
                                 size_t size);

/* Decodes DATA of LEN bytes into DATAGRAM, to be released with cf_gossip_clear.  Returns false
 * if it is not valid. */
bool cf_gossip_decode (const uint8_t *data, size_t len, struct feed_datagram *datagram);
void cf_gossip_clear (struct feed_datagram *datagram);

/* Reads QUALITIES into REPORT.  Lines with impossible counts are left out. */
void cf_gossip_read_quality (const struct feed_qualities *qualities,
                             struct CfQualityReport *report);

#endif
