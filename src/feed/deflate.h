#ifndef CF_FEED_DEFLATE_H
#define CF_FEED_DEFLATE_H

#include <gio/gio.h>

/* Compresses what VMs tell each other, by GIO's zlib converters. */

/* Returns BYTES deflated, or NULL if that is not shorter. */
GBytes *cf_deflate (GBytes *bytes);

/* Inflates DATA of LEN bytes.  Returns NULL if it is not valid or has not SIZE bytes then; no
 * more than that is allocated, whatever DATA says. */
GBytes *cf_inflate (const void *data, size_t len, size_t size);

#endif
