#ifndef CF_FEED_XDR_MEMORY_H
#define CF_FEED_XDR_MEMORY_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>

/* Decodes DATA of LEN bytes by DECODER into VALUE, which has to be zeroed.  Returns false if DATA
 * is not valid; the caller has to release VALUE with xdr_free in either case. */
bool cf_xdr_decode (xdrproc_t decoder, const void *data, size_t len, void *value);

#endif
