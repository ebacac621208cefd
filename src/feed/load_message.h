#ifndef CF_FEED_LOAD_MESSAGE_H
#define CF_FEED_LOAD_MESSAGE_H

#include "balance/load_report.h"
#include "feed.h"

#include <stddef.h>

/* Load reports (balance/load_report.h) as datagrams between the VMs of a region.  They are decoded
 * with cf_gossip_decode. */

/* Encodes REPORT into OUT of SIZE bytes and returns its length, 0 if it does not fit.  Numbers
 * outside the bounds of load_report.h are sent as the nearest one inside.  A report of any content
 * takes less than CF_GOSSIP_BYTES_MAX. */
size_t cf_load_message_encode (const struct CfLoadReport *report, uint8_t *out, size_t size);

/* Reads LOADS into REPORT.  Returns false if the report cannot be used: an empty name, one longer
 * than CF_LOAD_NAME_MAX, or a number outside the bounds. */
bool cf_load_message_read (const struct feed_loads *loads, struct CfLoadReport *report);

#endif
