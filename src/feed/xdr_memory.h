#ifndef CF_FEED_XDR_MEMORY_H
#define CF_FEED_XDR_MEMORY_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>

/* Decodes DATA of LEN bytes by DECODER into VALUE, zeroed before.  Returns false if it is not
 * valid; VALUE is to be released by xdr_free then, too. */
bool cf_xdr_decode (xdrproc_t decoder, const void *data, size_t len, void *value);

#endif
