#ifndef CF_GUED_TX_QUEUE_H
#define CF_GUED_TX_QUEUE_H

#include "cf_types.h"

#include <gio/gio.h>

/* Datagrams queued for one call of sendmmsg.  The payloads must stay valid until the
 * queue is flushed. */

#define CF_TX_QUEUE_LEN 64
#define CF_TX_QUEUE_HEADER_MAX 64

struct CfTxQueue
{
  GSocket *socket;
  GHashTable *addresses; /* struct CfAddress to GSocketAddress */
  GOutputMessage messages[CF_TX_QUEUE_LEN];
  GOutputVector vectors[CF_TX_QUEUE_LEN][2];
  uint8_t headers[CF_TX_QUEUE_LEN][CF_TX_QUEUE_HEADER_MAX];
  guint len;
  uint64_t failed; /* datagrams that the kernel did not accept */
};

void cf_tx_queue_init (struct CfTxQueue *queue, GSocket *socket);
void cf_tx_queue_clear (struct CfTxQueue *queue);

/* Adds a datagram for ADDRESS of HEADER_LEN bytes at HEADER (copied, at most
 * CF_TX_QUEUE_HEADER_MAX) followed by LEN bytes at PAYLOAD (not copied). */
void cf_tx_queue_add (struct CfTxQueue *queue,
                      const struct CfAddress *address,
                      const uint8_t *header,
                      size_t header_len,
                      const uint8_t *payload,
                      size_t len);

/* Sends all queued datagrams. */
void cf_tx_queue_flush (struct CfTxQueue *queue);

#endif
