#include "difference.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/* Higher levels take several times as long and save a few bytes. */
#define LEVEL 3

void
cf_text_difference_checksum (const char *text,
                             size_t len,
                             uint8_t sum[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES])
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize bytes = CF_TEXT_DIFFERENCE_CHECKSUM_BYTES;

  g_checksum_update (checksum, (const guchar *) text, (gssize) len);
  g_checksum_get_digest (checksum, sum, &bytes);
  g_checksum_free (checksum);
}

/* Returns the log of a window in which SIZE bytes fit. */
static int
window_log (size_t size)
{
  ZSTD_bounds bounds = ZSTD_cParam_getBounds (ZSTD_c_windowLog);

  return CLAMP ((int) g_bit_storage (size), bounds.lowerBound, bounds.upperBound);
}

GBytes *
cf_text_difference_new (const char *old, const char *text, size_t max)
{
  size_t old_len = strlen (old);
  size_t len = strlen (text);
  size_t space = ZSTD_compressBound (len);
  char *frame = g_malloc (space);
  ZSTD_CCtx *context = ZSTD_createCCtx ();
  size_t size;

  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, LEVEL);
  /* By default the window covers the text only, and not the old one before it. */
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog, window_log (old_len + len));
  ZSTD_CCtx_refPrefix (context, old, old_len);
  size = ZSTD_compress2 (context, frame, space, text, len);
  ZSTD_freeCCtx (context);
  if (!ZSTD_isError (size) && size <= max)
    return g_bytes_new_take (g_realloc (frame, size), size);
  g_free (frame);
  return NULL;
}

/* Returns true if the SIZE bytes of TEXT are a text with the checksum SUM. */
static bool
is_expected (const char *text, size_t size, const uint8_t sum[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES])
{
  uint8_t own[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES];

  cf_text_difference_checksum (text, size, own);
  return memcmp (own, sum, sizeof own) == 0 && !memchr (text, '\0', size);
}

/* Returns true if FRAME of LEN bytes begins like a frame with a content of SIZE bytes.  The library
 * would decode other formats of its past as well. */
static bool
has_size (const void *frame, size_t len, size_t size)
{
  uint32_t magic;

  if (len < sizeof magic)
    return false;
  memcpy (&magic, frame, sizeof magic);
  return GUINT32_FROM_LE (magic) == ZSTD_MAGICNUMBER
         && ZSTD_getFrameContentSize (frame, len) == size;
}

char *
cf_text_difference_apply (const char *old,
                          const void *frame,
                          size_t len,
                          size_t size,
                          const uint8_t sum[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES])
{
  ZSTD_DCtx *context;
  size_t written;
  char *text;

  if (!has_size (frame, len, size) || !(text = malloc (size + 1)))
    return NULL;
  context = ZSTD_createDCtx ();
  ZSTD_DCtx_refPrefix (context, old, strlen (old));
  written = ZSTD_decompressDCtx (context, text, size, frame, len);
  ZSTD_freeDCtx (context);
  if (written == size && is_expected (text, size, sum))
    {
      text[size] = '\0';
      return text;
    }
  free (text);
  return NULL;
}
