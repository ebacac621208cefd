#ifndef CF_SERVE_OUTBOX_H
#define CF_SERVE_OUTBOX_H

#include "cf_types.h"

#include <gio/gio.h>

/* Datagrams queued for one call of sendmmsg.  The payloads must stay valid until the
 * queue is flushed. */

#define CF_OUTBOX_LEN 64
#define CF_OUTBOX_HEADER_MAX 64

struct CfOutbox
{
  GSocket *socket;
  GHashTable *addresses; /* struct CfAddress to GSocketAddress */
  GOutputMessage messages[CF_OUTBOX_LEN];
  GOutputVector vectors[CF_OUTBOX_LEN][2];
  uint8_t headers[CF_OUTBOX_LEN][CF_OUTBOX_HEADER_MAX];
  guint len;
  uint64_t failed; /* datagrams that the kernel did not accept */
};

void cf_outbox_init (struct CfOutbox *outbox, GSocket *socket);
void cf_outbox_clear (struct CfOutbox *outbox);

/* Adds a datagram for ADDRESS of HEADER_LEN bytes at HEADER (copied, at most
 * CF_OUTBOX_HEADER_MAX) followed by LEN bytes at PAYLOAD (not copied). */
void cf_outbox_add (struct CfOutbox *outbox,
                    const struct CfAddress *address,
                    const uint8_t *header,
                    size_t header_len,
                    const uint8_t *payload,
                    size_t len);

/* Sends all queued datagrams. */
void cf_outbox_flush (struct CfOutbox *outbox);

#endif
