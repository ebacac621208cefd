#include "outbox.h"
#include "server.h"

#include <string.h>

#define ADDRESSES_MAX 65536

static guint
address_hash (gconstpointer data)
{
  return cf_address_hash (data);
}

static gboolean
address_equal (gconstpointer a, gconstpointer b)
{
  return cf_address_equal (a, b);
}

void
cf_outbox_init (struct CfOutbox *outbox, GSocket *socket)
{
  *outbox = (struct CfOutbox){
    .socket = socket,
    .addresses = g_hash_table_new_full (address_hash, address_equal, g_free, g_object_unref),
  };
}

void
cf_outbox_clear (struct CfOutbox *outbox)
{
  g_clear_pointer (&outbox->addresses, g_hash_table_destroy);
}

static GSocketAddress *
find_address (struct CfOutbox *outbox, const struct CfAddress *address)
{
  GSocketAddress *found = g_hash_table_lookup (outbox->addresses, address);

  if (found)
    return found;
  /* The table must be bounded: refusals go to any tunnel address that the fabric used. */
  if (g_hash_table_size (outbox->addresses) >= ADDRESSES_MAX)
    {
      cf_outbox_flush (outbox);
      g_hash_table_remove_all (outbox->addresses);
    }
  found = cf_socket_address (address);
  g_hash_table_insert (outbox->addresses, g_memdup2 (address, sizeof *address), found);
  return found;
}

void
cf_outbox_add (struct CfOutbox *outbox,
               const struct CfAddress *address,
               const uint8_t *header,
               size_t header_len,
               const uint8_t *payload,
               size_t len)
{
  GSocketAddress *to = find_address (outbox, address);
  guint i = outbox->len;

  memcpy (outbox->headers[i], header, header_len);
  outbox->vectors[i][0] = (GOutputVector){ outbox->headers[i], header_len };
  outbox->vectors[i][1] = (GOutputVector){ payload, len };
  outbox->messages[i] = (GOutputMessage){
    .address = to,
    .vectors = outbox->vectors[i],
    .num_vectors = 2,
  };
  if (++outbox->len == CF_OUTBOX_LEN)
    cf_outbox_flush (outbox);
}

void
cf_outbox_flush (struct CfOutbox *outbox)
{
  guint sent = 0;

  while (sent < outbox->len)
    {
      gint n = g_socket_send_messages (outbox->socket, outbox->messages + sent, outbox->len - sent,
                                       0, NULL, NULL);

      if (n > 0)
        {
          sent += (guint) n;
          continue;
        }
      /* The kernel did not accept the first datagram: drop it, as a network would. */
      outbox->failed++;
      sent++;
    }
  outbox->len = 0;
}
