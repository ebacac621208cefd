#include "server.h"
#include "packet_messages.h"
#include "peer_messages.h"
#include "runtime/log.h"
#include "peer/replay.h"
#include "runtime/udp.h"

#include <string.h>

/* The peer task owns the socket for messages between entry VMs.  It verifies
 * their MAC and sequence number before it passes them to the core. */

#define RECEIVES_PER_WAKE 64

struct PeerTask
{
  struct CfServer *server;
  GSocket *socket;
  GSource *source;
  GHashTable *windows; /* VM id to struct CfReplayWindow */
  uint8_t buffer[CF_PEER_DATAGRAM_MAX];
};

static void
handle (struct PeerTask *task, size_t len)
{
  struct peer_envelope *envelope = g_new0 (struct peer_envelope, 1);
  uint32_t xid;
  enum CfPeerResult result
      = cf_peer_decode (&task->server->keys, task->buffer, len, &xid, envelope);

  if (result == CF_PEER_OK
      && !cf_replay_accept (
          cf_table_get (task->windows, envelope->vm, sizeof (struct CfReplayWindow)),
          envelope->incarnation, xid))
    {
      cf_peer_release (envelope);
      result = CF_PEER_REPLAYED;
    }
  atomic_fetch_add (&task->server->peer_results[result], 1);
  if (result == CF_PEER_OK)
    cf_task_post (&task->server->packet, CF_TO_PACKET_ENVELOPE, envelope);
  else
    g_free (envelope);
}

static gboolean
ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct PeerTask *task = data;

  (void) condition;
  for (int i = 0; i < RECEIVES_PER_WAKE; i++)
    {
      gssize n = g_socket_receive (socket, (gchar *) task->buffer, sizeof task->buffer, NULL, NULL);

      if (n < 0)
        break;
      handle (task, (size_t) n);
    }
  return G_SOURCE_CONTINUE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct PeerTask *task = data;
  const struct CfSettings *settings = &task->server->settings;

  (void) base;
  task->socket = cf_udp_open (settings->ip, settings->peer_port, error);
  if (!task->socket)
    return false;
  task->source = cf_udp_watch (task->socket, ready, task);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct PeerTask *task = data;

  (void) base;
  cf_task_source_clear (&task->source);
  g_clear_object (&task->socket);
}

static void
free_datagram (gpointer data)
{
  struct CfPeerDatagram *datagram = data;

  g_bytes_unref (datagram->bytes);
  g_free (datagram);
}

static void
send_datagram (void *data, void *message)
{
  struct PeerTask *task = data;
  struct CfPeerDatagram *datagram = message;
  GSocketAddress *to;
  gsize len;
  const char *bytes = g_bytes_get_data (datagram->bytes, &len);

  if (!task->socket)
    return;
  datagram->address.port = task->server->settings.peer_port;
  to = cf_socket_address (&datagram->address);
  g_socket_send_to (task->socket, to, bytes, len, NULL, NULL);
  g_object_unref (to);
}

static void *
create (void *owner)
{
  struct CfServer *server = owner;
  struct PeerTask *task = g_new0 (struct PeerTask, 1);

  task->server = server;
  task->windows = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return task;
}

static void
destroy (void *data)
{
  struct PeerTask *task = data;

  g_hash_table_destroy (task->windows);
  g_free (task);
}

static const struct CfMessageHandler handlers[CF_TO_PEER_KINDS] = {
  [CF_TO_PEER_DATAGRAM] = { send_datagram, free_datagram },
};

const struct CfTaskClass cf_peer_task = {
  .name = "peer",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = destroy,
  .start = start,
  .stop = stop,
};
