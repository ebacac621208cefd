#include "tx_queue.h"
#include "server.h"
#include "runtime/udp.h"

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
cf_tx_queue_init (struct CfTxQueue *queue, GSocket *socket)
{
  *queue = (struct CfTxQueue){
    .socket = socket,
    .addresses = g_hash_table_new_full (address_hash, address_equal, g_free, g_object_unref),
  };
}

void
cf_tx_queue_clear (struct CfTxQueue *queue)
{
  g_clear_pointer (&queue->addresses, g_hash_table_destroy);
}

static GSocketAddress *
find_address (struct CfTxQueue *queue, const struct CfAddress *address)
{
  GSocketAddress *found = g_hash_table_lookup (queue->addresses, address);

  if (found)
    return found;
  /* The table must be bounded: refusals go to any tunnel address that the fabric used. */
  if (g_hash_table_size (queue->addresses) >= ADDRESSES_MAX)
    {
      cf_tx_queue_flush (queue);
      g_hash_table_remove_all (queue->addresses);
    }
  found = cf_socket_address (address);
  g_hash_table_insert (queue->addresses, g_memdup2 (address, sizeof *address), found);
  return found;
}

void
cf_tx_queue_add (struct CfTxQueue *queue,
                 const struct CfAddress *address,
                 const uint8_t *header,
                 size_t header_len,
                 const uint8_t *payload,
                 size_t len)
{
  GSocketAddress *to = find_address (queue, address);
  guint i = queue->len;

  memcpy (queue->headers[i], header, header_len);
  queue->vectors[i][0] = (GOutputVector){ queue->headers[i], header_len };
  queue->vectors[i][1] = (GOutputVector){ payload, len };
  queue->messages[i] = (GOutputMessage){
    .address = to,
    .vectors = queue->vectors[i],
    .num_vectors = 2,
  };
  if (++queue->len == CF_TX_QUEUE_LEN)
    cf_tx_queue_flush (queue);
}

void
cf_tx_queue_flush (struct CfTxQueue *queue)
{
  guint sent = 0;

  while (sent < queue->len)
    {
      gint n = g_socket_send_messages (queue->socket, queue->messages + sent, queue->len - sent, 0,
                                       NULL, NULL);

      if (n > 0)
        {
          sent += (guint) n;
          continue;
        }
      /* The kernel did not accept the first datagram: drop it, as a network would. */
      queue->failed++;
      sent++;
    }
  queue->len = 0;
}
