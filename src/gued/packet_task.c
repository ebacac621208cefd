#include "packet_task.h"
#include "health_messages.h"
#include "peer_messages.h"
#include "source_messages.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/udp.h"

#include <string.h>
#include <time.h>

/* The packet task owns the core and the sockets for callers' packets. */

#define BATCHES_PER_WAKE 8 /* bounded, so that packets do not delay messages to the core */
#define SAMPLE_EVERY 16    /* one packet in this many has its decision timed */
#define STATUS_INTERVAL_MIN_MS 30000 /* least time between two writes of the status object */
#define STOP_LIMIT_MS 5000           /* to hand over entries that late packets caused */
#define FOLDER_DELAY_MS 1200         /* time for peers to offer a configuration first */

static void
forward (void *context, const struct CfPacket *packet, const struct CfUpstream *upstream)
{
  struct PacketTask *task = context;
  uint8_t header[CF_GUE_HEADER_LEN];

  cf_gue_header (header, packet->data[0], 0);
  task->decided_service = cf_core_config (task->core)->services[upstream->service].id;
  cf_tx_queue_add (&task->out, &upstream->tunnel, header, sizeof header, packet->data, packet->len);
}

static void
transfer (void *context,
          const struct CfPacket *packet,
          const struct peer_transfer *transfer,
          const struct CfAddress *address)
{
  struct PacketTask *task = context;
  uint8_t header[CF_GUE_HEADER_LEN + CF_TRANSFER_OPTIONS];

  cf_gue_header (header, packet->data[0], CF_TRANSFER_OPTIONS);
  if (!cf_transfer_encode (&task->server->keys, transfer, packet->data, packet->len,
                           header + CF_GUE_HEADER_LEN))
    return;
  task->decided_service = transfer->service;
  cf_tx_queue_add (&task->out, address, header, sizeof header, packet->data, packet->len);
}

static void
refuse (void *context, const struct CfPacket *packet, enum CfVerdict verdict)
{
  struct PacketTask *task = context;
  uint8_t header[CF_GUE_HEADER_LEN];
  uint8_t *answer;
  size_t len;

  (void) verdict;
  if (task->refusal_count == CF_TX_QUEUE_LEN)
    {
      cf_tx_queue_flush (&task->out);
      task->refusal_count = 0;
    }
  answer = task->refusals[task->refusal_count];
  len = cf_refusal_build (packet, answer);
  if (len == 0)
    return;
  task->refusal_count++;
  cf_gue_header (header, answer[0], 0);
  cf_tx_queue_add (&task->out, &packet->reply, header, sizeof header, answer, len);
}

static void
send_peer (void *context, const struct CfAddress *address, const struct peer_message *message)
{
  struct PacketTask *task = context;
  struct peer_envelope envelope = {
    .vm = cf_name_id (task->server->settings.name),
    .incarnation = cf_core_incarnation (task->core),
    .message = *message,
  };
  uint8_t *datagram = g_malloc (CF_PEER_DATAGRAM_MAX);
  size_t len = cf_peer_encode (&task->server->keys, ++task->xid, &envelope, datagram,
                               CF_PEER_DATAGRAM_MAX);

  if (len > 0)
    {
      struct CfPeerDatagram *content = g_new (struct CfPeerDatagram, 1);

      *content
          = (struct CfPeerDatagram){ .address = *address, .bytes = g_bytes_new (datagram, len) };
      cf_task_post (&task->server->peer, CF_TO_PEER_DATAGRAM, content);
    }
  g_free (datagram);
}

static void
probe (void *context, const uint32_t *upstreams, uint32_t count)
{
  struct PacketTask *task = context;
  GArray *probes = g_array_new (FALSE, FALSE, sizeof (struct CfProbe));

  for (uint32_t i = 0; i < count; i++)
    {
      const struct CfUpstream *upstream = &cf_core_config (task->core)->upstreams[upstreams[i]];
      struct CfProbe item = { .upstream = upstream->id, .address = upstream->health };

      g_array_append_val (probes, item);
    }
  cf_task_post (&task->server->health, CF_TO_HEALTH_PROBES, probes);
}

static void
watch_platform (void *context, bool watch)
{
  struct PacketTask *task = context;

  task->watching = watch;
  cf_task_post (&task->server->source, CF_TO_SOURCE_WATCH, GINT_TO_POINTER (watch));
}

static void
config_changed (void *context, const struct CfConfig *config)
{
  (void) context;
  cf_packet_log_config (config, "a peer");
}

static void
state_changed (void *context, enum peer_state state, bool may_stop)
{
  static const char *const names[] = { "joining", "serving", "leaving" };
  struct PacketTask *task = context;

  if (!may_stop)
    {
      cf_log_state ("STATE", names[state], "this VM is %s", names[state]);
      return;
    }
  cf_log_state ("STATE", "left", "handover complete; forwarding packets for another %d ms",
                (int) task->server->settings.linger_ms);
  task->stop_at = cf_now () + task->server->settings.linger_ms + 1;
}

static const struct CfCoreOutputs outputs = {
  .forward = forward,
  .transfer = transfer,
  .refuse = refuse,
  .send_peer = send_peer,
  .probe = probe,
  .watch_platform = watch_platform,
  .config_changed = config_changed,
  .state_changed = state_changed,
};

static gint64
nanoseconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * G_GINT64_CONSTANT (1000000000) + now.tv_nsec;
}

static void
handle_fabric (struct PacketTask *task,
               const uint8_t *data,
               size_t len,
               const struct CfAddress *from,
               CfMillis now)
{
  size_t offset = cf_gue_inner (data, len);
  gint64 began;

  if (offset == 0)
    {
      task->bad_gue++;
      return;
    }
  if (task->sample++ % SAMPLE_EVERY)
    {
      cf_core_packet (task->core, data + offset, len - offset, from, now);
      return;
    }
  task->decided_service = 0;
  began = nanoseconds ();
  cf_core_packet (task->core, data + offset, len - offset, from, now);
  if (task->decided_service)
    cf_histogram_add (
        cf_table_get (task->decision_ns, task->decided_service, sizeof (struct CfHistogram)),
        (uint64_t) (nanoseconds () - began));
}

static void
handle_transfer (struct PacketTask *task,
                 const uint8_t *data,
                 size_t len,
                 const struct CfAddress *from,
                 CfMillis now)
{
  size_t offset = cf_gue_inner (data, len);
  struct peer_transfer context;

  (void) from;
  if (offset != CF_GUE_HEADER_LEN + CF_TRANSFER_OPTIONS
      || !cf_transfer_decode (&task->server->keys, data + CF_GUE_HEADER_LEN, data + offset,
                              len - offset, &context))
    {
      task->bad_transfers++;
      return;
    }
  cf_core_transferred (task->core, data + offset, len - offset, &context, now);
}

typedef void Handler (struct PacketTask *task,
                      const uint8_t *data,
                      size_t len,
                      const struct CfAddress *from,
                      CfMillis now);

/* Receives one batch.  Returns false when the socket is empty. */
static bool
receive_batch (struct PacketTask *task, GSocket *socket, Handler *handler)
{
  GInputMessage messages[BATCH_LEN] = { 0 };
  GInputVector vectors[BATCH_LEN];
  GSocketAddress *from[BATCH_LEN] = { 0 };
  CfMillis now = cf_now ();
  gint n;

  for (int i = 0; i < BATCH_LEN; i++)
    {
      vectors[i] = (GInputVector){ task->buffers[i], CF_PACKET_MAX };
      messages[i] = (GInputMessage){
        .address = &from[i],
        .vectors = &vectors[i],
        .num_vectors = 1,
      };
    }
  n = g_socket_receive_messages (socket, messages, BATCH_LEN, 0, NULL, NULL);
  for (gint i = 0; i < n; i++)
    {
      struct CfAddress address;

      if (from[i] && cf_from_socket_address (from[i], &address))
        handler (task, task->buffers[i], messages[i].bytes_received, &address, now);
      g_clear_object (&from[i]);
    }
  /* The queued datagrams point into the buffers. */
  cf_tx_queue_flush (&task->out);
  task->refusal_count = 0;
  cf_core_flush (task->core, now);
  return n == BATCH_LEN;
}

static void
receive (struct PacketTask *task, GSocket *socket, Handler *handler)
{
  for (int i = 0; i < BATCHES_PER_WAKE; i++)
    if (!receive_batch (task, socket, handler))
      return;
}

static gboolean
fabric_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  (void) condition;
  receive (data, socket, handle_fabric);
  return G_SOURCE_CONTINUE;
}

static gboolean
transfer_ready (GSocket *socket, GIOCondition condition, gpointer data)
{
  (void) condition;
  receive (data, socket, handle_transfer);
  return G_SOURCE_CONTINUE;
}

/* Puts the operators' folder in force once peers have had time to offer the configuration of the
 * fleet, which includes its baselines. */
static void
apply_folder (struct PacketTask *task, CfMillis now)
{
  const struct CfConfig *current = cf_core_config (task->core);
  struct CfConfig *next;

  if (!task->folder
      || (cf_core_state (task->core) == PEER_JOINING && now - task->started < FOLDER_DELAY_MS))
    return;
  if (!current || task->folder->version > current->version)
    {
      next = cf_config_derive (current && current->version ? current : NULL, task->folder,
                               task->folder->version, g_get_real_time () / G_USEC_PER_SEC);
      if (cf_core_set_config (task->core, next, now))
        cf_packet_log_config (next, "the folder");
      cf_config_unref (next);
    }
  else if (!cf_config_same_content (task->folder, current))
    cf_log_warning ("CONFIG", "version",
                    "the folder was changed, but [fleet] version %" G_GUINT64_FORMAT
                    " is not above the version in force, %" G_GUINT64_FORMAT,
                    task->folder->version, current->version);
  g_clear_pointer (&task->folder, cf_config_unref);
}

/* Writes this VM's status object once every VM has a new configuration. */
static void
report_status (struct PacketTask *task, CfMillis now)
{
  const struct CfConfig *config = cf_core_config (task->core);

  if (!task->watching || !config || !cf_core_settled (task->core)
      || config->version == task->status_version
      || (task->status_at && now - task->status_at < STATUS_INTERVAL_MIN_MS))
    return;
  task->status_at = now;
  task->status_version = config->version;
  cf_task_post (&task->server->source, CF_TO_SOURCE_STATUS,
                g_strdup_printf ("{\"config_version\":%" G_GUINT64_FORMAT
                                 ",\"config_digest\":\"%016" G_GINT64_MODIFIER
                                 "x\",\"settled\":true}",
                                 config->version, config->digest));
}

static gboolean
tick (gpointer data)
{
  struct PacketTask *task = data;
  CfMillis now = cf_now ();

  apply_folder (task, now);
  cf_core_tick (task->core, now);
  cf_tx_queue_flush (&task->out);
  task->refusal_count = 0;
  report_status (task, now);
  if (task->stop_at && now >= task->stop_at
      && (cf_core_may_stop (task->core) || now >= task->stop_at + STOP_LIMIT_MS))
    g_main_loop_quit (task->server->main_loop);
  return G_SOURCE_CONTINUE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct PacketTask *task = data;
  const struct CfSettings *settings = &task->server->settings;

  task->fabric = cf_udp_open (settings->ip, settings->fabric_port, error);
  if (!task->fabric)
    return false;
  task->transfer = cf_udp_open (settings->ip, settings->transfer_port, error);
  if (!task->transfer)
    return false;
  cf_tx_queue_init (&task->out, task->fabric);
  task->sources[0] = cf_udp_watch (task->fabric, fabric_ready, task);
  task->sources[1] = cf_udp_watch (task->transfer, transfer_ready, task);
  task->sources[2] = cf_task_timer (base, CF_TICK_MS, tick);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct PacketTask *task = data;

  (void) base;
  for (size_t i = 0; i < G_N_ELEMENTS (task->sources); i++)
    cf_task_source_clear (&task->sources[i]);
  cf_tx_queue_clear (&task->out);
  g_clear_object (&task->fabric);
  g_clear_object (&task->transfer);
}

static void *
create (void *owner)
{
  struct CfServer *server = owner;
  struct PacketTask *task = g_new0 (struct PacketTask, 1);
  const struct CfSettings *settings = &server->settings;
  struct CfCoreOptions options = {
    .vm = cf_name_id (settings->name),
    .incarnation = (uint64_t) g_get_real_time () / G_TIME_SPAN_MILLISECOND,
    .domain = cf_name_id (settings->failure_domain),
  };

  cf_address_parse (settings->ip, settings->transfer_port, &options.address);
  memcpy (options.flow_key, server->keys.flow, sizeof options.flow_key);
  task->server = server;
  task->started = cf_now ();
  task->decision_ns = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  task->core = cf_core_new (&options, &outputs, task, task->started);
  return task;
}

static void
destroy (void *data)
{
  struct PacketTask *task = data;

  cf_core_free (task->core);
  cf_config_unref (task->folder);
  g_hash_table_destroy (task->decision_ns);
  g_free (task);
}

const struct CfTaskClass cf_packet_task = {
  .name = "packet",
  .handlers = cf_packet_handlers,
  .handler_count = G_N_ELEMENTS (cf_packet_handlers),
  .create = create,
  .destroy = destroy,
  .start = start,
  .stop = stop,
};
