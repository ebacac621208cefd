#ifndef CF_FEED_DEFLATE_H
#define CF_FEED_DEFLATE_H

#include <gio/gio.h>

/* Compression of messages between VMs, by GIO's zlib converters. */

/* Returns BYTES deflated, or NULL if that is not shorter. */
GBytes *cf_deflate (GBytes *bytes);

/* Inflates DATA of LEN bytes.  Returns NULL if DATA is not valid or does not inflate to exactly
 * SIZE bytes; memory use is bounded by SIZE, whatever DATA claims. */
GBytes *cf_inflate (const void *data, size_t len, size_t size);

#endif
