#include "xdr_memory.h"

bool
cf_xdr_decode (xdrproc_t decoder, const void *data, size_t len, void *value)
{
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *) data, (u_int) len, XDR_DECODE);
  ok = decoder (&xdr, value);
  xdr_destroy (&xdr);
  return ok;
}
