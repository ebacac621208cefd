#include "codec.h"

#include <sodium.h>
#include <string.h>

#define KEY_CONTEXT "cyclamen"

enum
{
  KEY_FLOW = 1,
  KEY_TRANSFER = 2,
  KEY_PEER = 3,
};

void
cf_peer_keys (const uint8_t fleet_key[CF_FLEET_KEY_BYTES], struct CfPeerKeys *keys)
{
  crypto_kdf_derive_from_key (keys->flow, sizeof keys->flow, KEY_FLOW, KEY_CONTEXT, fleet_key);
  crypto_kdf_derive_from_key (keys->transfer, sizeof keys->transfer, KEY_TRANSFER, KEY_CONTEXT,
                              fleet_key);
  crypto_kdf_derive_from_key (keys->peer, sizeof keys->peer, KEY_PEER, KEY_CONTEXT, fleet_key);
}

static void
peer_mac (const struct CfPeerKeys *keys, const uint8_t *data, size_t len, uint8_t *mac)
{
  crypto_generichash (mac, CF_PEER_MAC_BYTES, data, len, keys->peer, sizeof keys->peer);
}

void
cf_peer_sign (const struct CfPeerKeys *keys, uint8_t *data, size_t len)
{
  peer_mac (keys, data, len, data + len);
}

size_t
cf_peer_encode (const struct CfPeerKeys *keys,
                uint32_t xid,
                const struct peer_envelope *envelope,
                uint8_t *out,
                size_t size)
{
  struct rpc_msg call = { .rm_xid = xid, .rm_direction = CALL };
  XDR xdr;
  size_t len = 0;

  call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  call.rm_call.cb_prog = PEER_PROGRAM;
  call.rm_call.cb_vers = PEER_VERSION;
  call.rm_call.cb_proc = PEER_DELIVER;
  call.rm_call.cb_cred = _null_auth;
  call.rm_call.cb_verf = _null_auth;
  xdrmem_create (&xdr, (char *) out, (u_int) (size - CF_PEER_MAC_BYTES), XDR_ENCODE);
  if (xdr_callmsg (&xdr, &call) && xdr_peer_envelope (&xdr, (struct peer_envelope *) envelope))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (len == 0)
    return 0;
  cf_peer_sign (keys, out, len);
  return len + CF_PEER_MAC_BYTES;
}

static bool
decode_body (const uint8_t *data, size_t len, uint32_t *xid, struct peer_envelope *envelope)
{
  char credentials[2 * MAX_AUTH_BYTES];
  struct rpc_msg call = { 0 };
  XDR xdr;
  bool ok;

  call.rm_call.cb_cred.oa_base = credentials;
  call.rm_call.cb_verf.oa_base = credentials + MAX_AUTH_BYTES;
  xdrmem_create (&xdr, (char *) data, (u_int) len, XDR_DECODE);
  ok = xdr_callmsg (&xdr, &call) && call.rm_call.cb_prog == PEER_PROGRAM
       && call.rm_call.cb_vers == PEER_VERSION && call.rm_call.cb_proc == PEER_DELIVER;
  if (ok && !xdr_peer_envelope (&xdr, envelope))
    {
      cf_peer_release (envelope);
      ok = false;
    }
  *xid = call.rm_xid;
  xdr_destroy (&xdr);
  return ok;
}

enum CfPeerResult
cf_peer_decode (const struct CfPeerKeys *keys,
                const uint8_t *data,
                size_t len,
                uint32_t *xid,
                struct peer_envelope *envelope)
{
  uint8_t mac[CF_PEER_MAC_BYTES];

  memset (envelope, 0, sizeof *envelope);
  if (len <= CF_PEER_MAC_BYTES)
    return CF_PEER_SHORT;
  len -= CF_PEER_MAC_BYTES;
  peer_mac (keys, data, len, mac);
  if (sodium_memcmp (mac, data + len, sizeof mac) != 0)
    return CF_PEER_FORGED;
  if (!decode_body (data, len, xid, envelope))
    return CF_PEER_MALFORMED;
  return CF_PEER_OK;
}

void
cf_peer_release (struct peer_envelope *envelope)
{
  xdr_free ((xdrproc_t) xdr_peer_envelope, envelope);
}

const char *
cf_peer_result_name (enum CfPeerResult result)
{
  static const char *const names[CF_PEER_RESULT_COUNT] = {
    [CF_PEER_OK] = "ok",
    [CF_PEER_SHORT] = "short",
    [CF_PEER_FORGED] = "forged",
    [CF_PEER_MALFORMED] = "malformed",
    [CF_PEER_REPLAYED] = "replayed",
  };

  return names[result];
}

#define CONTEXT_BYTES (CF_TRANSFER_OPTIONS - CF_TRANSFER_MAC_BYTES)

/* The MAC of the packet under the transfer key is an input of the MAC of the context,
 * so that neither can be replaced on its own. */
static void
transfer_mac (const struct CfPeerKeys *keys,
              const uint8_t context[CONTEXT_BYTES],
              const uint8_t *packet,
              size_t len,
              uint8_t mac[CF_TRANSFER_MAC_BYTES])
{
  uint8_t chained[CONTEXT_BYTES + CF_TRANSFER_MAC_BYTES];

  memcpy (chained, context, CONTEXT_BYTES);
  crypto_shorthash (chained + CONTEXT_BYTES, packet, len, keys->transfer);
  crypto_shorthash (mac, chained, sizeof chained, keys->transfer);
}

bool
cf_transfer_encode (const struct CfPeerKeys *keys,
                    const struct peer_transfer *transfer,
                    const uint8_t *packet,
                    size_t len,
                    uint8_t options[CF_TRANSFER_OPTIONS])
{
  XDR xdr;
  bool ok;

  xdrmem_create (&xdr, (char *) options, CONTEXT_BYTES, XDR_ENCODE);
  ok = xdr_peer_transfer (&xdr, (struct peer_transfer *) transfer)
       && xdr_getpos (&xdr) == CONTEXT_BYTES;
  xdr_destroy (&xdr);
  if (ok)
    transfer_mac (keys, options, packet, len, options + CONTEXT_BYTES);
  return ok;
}

bool
cf_transfer_decode (const struct CfPeerKeys *keys,
                    const uint8_t options[CF_TRANSFER_OPTIONS],
                    const uint8_t *packet,
                    size_t len,
                    struct peer_transfer *transfer)
{
  uint8_t mac[CF_TRANSFER_MAC_BYTES];
  XDR xdr;
  bool ok;

  transfer_mac (keys, options, packet, len, mac);
  if (sodium_memcmp (mac, options + CONTEXT_BYTES, sizeof mac) != 0)
    return false;
  xdrmem_create (&xdr, (char *) options, CONTEXT_BYTES, XDR_DECODE);
  ok = xdr_peer_transfer (&xdr, transfer);
  xdr_destroy (&xdr);
  return ok;
}
