#ifndef CF_FEED_DIFFERENCE_H
#define CF_FEED_DIFFERENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The difference between two texts: a Zstandard frame that refers to the old text. */

/* Bytes of a SHA-256. */
#define CF_TEXT_DIFFERENCE_CHECKSUM_BYTES 32

/* Writes the checksum of TEXT of LEN bytes. */
void cf_text_difference_checksum (const char *text,
                                  size_t len,
                                  uint8_t sum[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES]);

/* Returns the difference from the text OLD to the text TEXT, or NULL if it has more than MAX
 * bytes. */
GBytes *cf_text_difference_new (const char *old, const char *text, size_t max);

/* Returns the text of SIZE bytes with the checksum SUM that the difference FRAME of LEN bytes makes
 * of OLD, to be freed with free(3).  Returns NULL if FRAME is not valid, or the text is another or
 * contains a zero byte.  Memory use is bounded by SIZE, whatever FRAME claims. */
char *cf_text_difference_apply (const char *old,
                                const void *frame,
                                size_t len,
                                size_t size,
                                const uint8_t sum[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES]);

#endif
