#include "deflate.h"

/* The fastest: records of upstreams shrink to a tenth, and a level more saves little. */
#define LEVEL 1

/* Converts DATA of LEN bytes into OUT of SIZE bytes.  Returns the length of the result, 0 if it
 * does not fit or DATA is not valid. */
static gsize
convert (GConverter *converter, const void *data, gsize len, void *out, gsize size)
{
  gsize consumed = 0;
  gsize produced = 0;

  while (produced < size)
    {
      gsize bytes_read = 0;
      gsize bytes_written = 0;
      GConverterResult result = g_converter_convert (
          converter, (const char *) data + consumed, len - consumed, (char *) out + produced,
          size - produced, G_CONVERTER_INPUT_AT_END, &bytes_read, &bytes_written, NULL);

      consumed += bytes_read;
      produced += bytes_written;
      if (result == G_CONVERTER_FINISHED)
        return consumed == len ? produced : 0;
      if (result == G_CONVERTER_ERROR)
        return 0;
    }
  return 0;
}

GBytes *
cf_deflate (GBytes *bytes)
{
  GZlibCompressor *compressor = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, LEVEL);
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  char *out = g_malloc (len);
  gsize produced = convert (G_CONVERTER (compressor), data, len, out, len);

  g_object_unref (compressor);
  if (produced > 0 && produced < len)
    return g_bytes_new_take (g_realloc (out, produced), produced);
  g_free (out);
  return NULL;
}

GBytes *
cf_inflate (const void *data, size_t len, size_t size)
{
  GZlibDecompressor *decompressor = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  /* One byte more than it is to have shows that it has not more. */
  char *out = g_try_malloc (size + 1);
  gsize produced = out ? convert (G_CONVERTER (decompressor), data, len, out, size + 1) : 0;

  g_object_unref (decompressor);
  if (size > 0 && produced == size)
    return g_bytes_new_take (out, size);
  g_free (out);
  return NULL;
}
