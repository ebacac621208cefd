#include "hello.h"

#include <string.h>

size_t
cf_hello_encode (const char *name, const char *domain, bool leaving, uint8_t *out, size_t size)
{
  struct feed_hello hello = {
    .name = (char *) name,
    .domain = (char *) domain,
    .leaving = leaving,
  };
  size_t len = 0;
  XDR xdr;

  xdrmem_create (&xdr, (char *) out, (u_int) size, XDR_ENCODE);
  if (xdr_feed_hello (&xdr, &hello))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return len;
}

bool
cf_hello_decode (const uint8_t *data, size_t len, struct feed_hello *hello)
{
  XDR xdr;
  bool ok;

  memset (hello, 0, sizeof *hello);
  xdrmem_create (&xdr, (char *) data, (u_int) len, XDR_DECODE);
  ok = xdr_feed_hello (&xdr, hello);
  xdr_destroy (&xdr);
  if (!ok)
    cf_hello_clear (hello);
  return ok;
}

void
cf_hello_clear (struct feed_hello *hello)
{
  xdr_free ((xdrproc_t) xdr_feed_hello, hello);
  memset (hello, 0, sizeof *hello);
}
