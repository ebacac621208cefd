#ifndef CF_FEED_HELLO_H
#define CF_FEED_HELLO_H

#include "feed.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Datagrams by which a VM tells its failure domain that it leaves or has returned. */

/* Encodes a hello into OUT of SIZE bytes and returns its length, 0 if it does not fit. */
size_t
cf_hello_encode (const char *name, const char *domain, bool leaving, uint8_t *out, size_t size);

/* Decodes DATA of LEN bytes into HELLO, to be released with cf_hello_clear.  Returns false
 * if it is not valid. */
bool cf_hello_decode (const uint8_t *data, size_t len, struct feed_hello *hello);
void cf_hello_clear (struct feed_hello *hello);

#endif
