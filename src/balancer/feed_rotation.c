#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "feed/gossip.h"
#include "runtime/clock.h"
#include "runtime/udp.h"

#include <string.h>

#define HELLO_INTERVAL_MS 300 /* repeated, because a datagram may be lost */
#define HELLOS_ON_START 4
/* Randomly chosen VMs of the failure domain that get each quality report: a report of 12
 * upstreams every 500 ms takes 16 KB/s. */
#define REPORT_FANOUT 8
/* Datagrams that are handled before other events get their turn. */
#define DATAGRAMS_MAX 64

/* What VMs say that are not listed is ignored: each name takes memory. */

static void
handle_hello (struct FeedTask *task, const struct feed_hello *hello, CfMillis now)
{
  if (strcmp (hello->domain, task->balancer->settings.failure_domain) == 0
      && cf_sources_is_neighbour (task->sources, hello->name))
    cf_rotation_update (&task->rotation, hello->name, hello->leaving, now);
}

static void
handle_qualities (struct FeedTask *task, const struct feed_qualities *qualities)
{
  struct CfQualityReport report;

  if (strcmp (qualities->domain, task->balancer->settings.failure_domain) != 0
      || !cf_sources_is_neighbour (task->sources, qualities->name))
    return;
  cf_gossip_read_quality (qualities, &report);
  cf_task_post (&task->balancer->datapath, CF_TO_DATAPATH_QUALITY,
                g_memdup2 (&report, sizeof report));
}

static void
log_invalid (struct FeedTask *task, size_t len, CfMillis now)
{
  cf_event_log_write_limited (
      task->balancer->log, &task->datagram_rate, "notice",
      (struct CfField[]){
          { .key = "message", .text = "ignored an invalid datagram from another VM" },
          { .key = "bytes", .number = (int64_t) len },
          { 0 },
      },
      now);
}

static void
handle_datagram (struct FeedTask *task, const uint8_t *data, size_t len, CfMillis now)
{
  struct feed_datagram datagram;

  cf_crash_report_input ("vm-datagram", NULL);
  if (!cf_gossip_decode (data, len, &datagram))
    {
      log_invalid (task, len, now);
      return;
    }
  switch (datagram.kind)
    {
    case FEED_HELLO:
      handle_hello (task, &datagram.feed_datagram_u.hello, now);
      break;
    case FEED_QUALITIES:
      handle_qualities (task, &datagram.feed_datagram_u.qualities);
      break;
    case FEED_LOADS:
      if (!cf_feed_receive_load (task, &datagram.feed_datagram_u.loads, len))
        log_invalid (task, len, now);
      break;
    }
  cf_gossip_clear (&datagram);
}

static gboolean
on_datagram (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct FeedTask *task = data;
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  gssize len = 0;

  (void) condition;
  for (int i = 0; i < DATAGRAMS_MAX && len >= 0; i++)
    {
      len = g_socket_receive (socket, (char *) buffer, sizeof buffer, NULL, NULL);
      if (len > 0)
        handle_datagram (task, buffer, (size_t) len, cf_now ());
    }
  cf_feed_tick (task);
  return G_SOURCE_CONTINUE;
}

/* Sends DATA of LEN bytes to the VM at IP.  Returns true if it was sent.  A lost datagram does
 * little harm: hellos are sent several times, and reports are repeated while there is something to
 * report. */
static bool
send_to (struct FeedTask *task, const char *ip, const uint8_t *data, size_t len)
{
  GSocketAddress *to
      = g_inet_socket_address_new_from_string (ip, task->balancer->settings.peer_port);
  bool sent = to && g_socket_send_to (task->gossip, to, (const char *) data, len, NULL, NULL) >= 0;

  g_clear_object (&to);
  return sent;
}

guint
cf_feed_send_to_random (
    struct FeedTask *task, GPtrArray *ips, guint count, const uint8_t *data, size_t len)
{
  guint sent = 0;

  for (guint i = 0; i < count && ips->len > 0 && len > 0; i++)
    {
      guint other = (guint) g_rand_int_range (task->random, 0, (gint32) ips->len);

      sent += send_to (task, ips->pdata[other], data, len);
      g_ptr_array_remove_index_fast (ips, other);
    }
  return sent;
}

static void
send_hello (struct FeedTask *task, bool leaving)
{
  const struct CfBalanceSettings *settings = &task->balancer->settings;
  GPtrArray *ips = cf_sources_domain_ips (task->sources);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  size_t len = cf_gossip_encode_hello (settings->name, settings->failure_domain, leaving, buffer,
                                       sizeof buffer);

  for (guint i = 0; i < ips->len && len > 0; i++)
    send_to (task, ips->pdata[i], buffer, len);
  g_ptr_array_unref (ips);
}

void
cf_feed_handle_quality (void *data, void *message)
{
  struct FeedTask *task = data;
  struct CfQualityReport *report = message;
  const struct CfBalanceSettings *settings = &task->balancer->settings;
  GPtrArray *ips = cf_sources_domain_ips (task->sources);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  size_t len;

  g_strlcpy (report->vm, settings->name, sizeof report->vm);
  len = cf_gossip_encode_quality (report, settings->failure_domain, buffer, sizeof buffer);
  cf_feed_send_to_random (task, ips, REPORT_FANOUT, buffer, len);
  g_ptr_array_unref (ips);
}

static void
try_to_leave (struct FeedTask *task, CfMillis now)
{
  struct CfBalancer *balancer = task->balancer;
  uint32_t size = cf_sources_domain_size (task->sources);

  if (!cf_rotation_should_leave (&task->rotation, size, now - task->stop_at,
                                 balancer->settings.grace_ms, now))
    return;
  atomic_store (&balancer->leaving, true);
  cf_event_log_write (
      balancer->log, "leaving",
      (struct CfField[]){
          { .key = "waited_ms", .number = now - task->stop_at },
          { .key = "vms", .number = size },
          { .key = "away", .number = cf_rotation_absent_count (&task->rotation, now) },
          { 0 },
      });
}

CfMillis
cf_feed_rotation_tick (struct FeedTask *task, CfMillis now)
{
  bool stopping = task->stop_at >= 0;

  if (stopping && !atomic_load (&task->balancer->leaving))
    try_to_leave (task, now);
  if (now < task->next_hello_at)
    return task->next_hello_at;
  if (stopping && !atomic_load (&task->balancer->leaving))
    return now + HELLO_INTERVAL_MS / 3;
  if (!stopping && (task->hellos_left == 0 || !atomic_load (&task->balancer->serving)))
    return now + (task->hellos_left ? HELLO_INTERVAL_MS : CF_MS_PER_S);
  send_hello (task, stopping);
  task->hellos_left -= task->hellos_left > 0;
  task->next_hello_at = now + HELLO_INTERVAL_MS;
  return task->next_hello_at;
}

void
cf_feed_handle_stop (void *data, void *message)
{
  struct FeedTask *task = data;

  (void) message;
  if (task->stop_at >= 0)
    return;
  task->stop_at = cf_now ();
  task->next_hello_at = 0;
  cf_feed_tick (task);
}

bool
cf_feed_rotation_start (struct FeedTask *task, struct CfError *error)
{
  const struct CfBalanceSettings *settings = &task->balancer->settings;

  task->gossip = cf_udp_open (settings->ip, settings->peer_port, error);
  if (!task->gossip)
    return false;
  task->hellos_left = HELLOS_ON_START;
  task->gossip_source = g_socket_create_source (task->gossip, G_IO_IN, NULL);
  g_source_set_callback (task->gossip_source, G_SOURCE_FUNC (on_datagram), task, NULL);
  g_source_attach (task->gossip_source, g_main_context_get_thread_default ());
  return true;
}

void
cf_feed_rotation_stop (struct FeedTask *task)
{
  if (task->gossip_source)
    {
      g_source_destroy (task->gossip_source);
      g_clear_pointer (&task->gossip_source, g_source_unref);
    }
  g_clear_object (&task->gossip);
}
