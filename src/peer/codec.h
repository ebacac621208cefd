#ifndef CF_PEER_CODEC_H
#define CF_PEER_CODEC_H

#include "cf_types.h"
#include "peer/peer.h"

/* Datagrams between entry VMs: an ONC RPC call header (RFC 5531), the envelope in
 * XDR, and a keyed BLAKE2b MAC over both.  Transferred packets carry their context
 * in the options of the GUE header, with a SipHash MAC over context and packet. */

#define CF_FLEET_KEY_BYTES 32
#define CF_PEER_MAC_BYTES 16
#define CF_TRANSFER_MAC_BYTES 8
#define CF_PEER_DATAGRAM_MAX 65000
#define CF_TRANSFER_OPTIONS 52 /* context and MAC */

/* Keys derived from the fleet key. */
struct CfPeerKeys
{
  uint8_t flow[16];
  uint8_t transfer[16];
  uint8_t peer[32];
};

/* Derives KEYS from FLEET_KEY. */
void cf_peer_keys (const uint8_t fleet_key[CF_FLEET_KEY_BYTES], struct CfPeerKeys *keys);

/* Writes ENVELOPE with serial number XID to OUT of SIZE bytes.  Returns the length,
 * or 0 if it does not fit. */
size_t cf_peer_encode (const struct CfPeerKeys *keys,
                       uint32_t xid,
                       const struct peer_envelope *envelope,
                       uint8_t *out,
                       size_t size);

/* Appends the MAC to the LEN bytes at DATA, which has room for it. */
void cf_peer_sign (const struct CfPeerKeys *keys, uint8_t *data, size_t len);

enum CfPeerResult
{
  CF_PEER_OK,
  CF_PEER_SHORT,     /* too short for a MAC */
  CF_PEER_FORGED,    /* the MAC does not match */
  CF_PEER_MALFORMED, /* not a call of PEER_DELIVER, or a bad envelope */
  CF_PEER_REPLAYED,  /* seen before, or too old */
  CF_PEER_RESULT_COUNT,
};

/* Returns the name of RESULT for metrics. */
const char *cf_peer_result_name (enum CfPeerResult result);

/* Reads the datagram of LEN bytes at DATA.  On CF_PEER_OK, *ENVELOPE holds memory
 * that cf_peer_release frees. */
enum CfPeerResult cf_peer_decode (const struct CfPeerKeys *keys,
                                  const uint8_t *data,
                                  size_t len,
                                  uint32_t *xid,
                                  struct peer_envelope *envelope);
void cf_peer_release (struct peer_envelope *envelope);

/* Writes the options of a transferred PACKET of LEN bytes to OPTIONS. */
bool cf_transfer_encode (const struct CfPeerKeys *keys,
                         const struct peer_transfer *transfer,
                         const uint8_t *packet,
                         size_t len,
                         uint8_t options[CF_TRANSFER_OPTIONS]);

/* Reads OPTIONS of a transferred PACKET.  Returns false if the MAC does not match. */
bool cf_transfer_decode (const struct CfPeerKeys *keys,
                         const uint8_t options[CF_TRANSFER_OPTIONS],
                         const uint8_t *packet,
                         size_t len,
                         struct peer_transfer *transfer);

#endif
