#include "feed_internal.h"
#include "feed/gossip.h"

#include <string.h>

#define HELLO_INTERVAL_MS 300 /* repeated, because a datagram may be lost */
#define HELLOS_ON_START 4

/* What VMs say that are not listed is ignored: each name takes memory. */

void
cf_feed_rotation_receive (struct FeedRotation *rotation,
                          const struct feed_hello *hello,
                          CfMillis now)
{
  const struct CfFeed *feed = rotation->feed;

  if (strcmp (hello->domain, feed->balancer->settings.failure_domain) == 0
      && cf_sources_is_neighbour (feed->sources, hello->name))
    cf_rotation_update (&rotation->rotation, hello->name, hello->leaving, now);
}

static void
send_hello (struct FeedRotation *rotation, bool leaving)
{
  const struct CfFeed *feed = rotation->feed;
  const struct CfBalanceSettings *settings = &feed->balancer->settings;
  GPtrArray *ips = cf_sources_domain_ips (feed->sources);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  size_t len = cf_gossip_encode_hello (settings->name, settings->failure_domain, leaving, buffer,
                                       sizeof buffer);

  for (guint i = 0; i < ips->len && len > 0; i++)
    cf_feed_gossip_send (rotation->gossip, ips->pdata[i], buffer, len);
  g_ptr_array_unref (ips);
}

static void
try_to_leave (struct FeedRotation *rotation, CfMillis now)
{
  struct CfBalancer *balancer = rotation->feed->balancer;
  uint32_t size = cf_sources_domain_size (rotation->feed->sources);

  if (!cf_rotation_should_leave (&rotation->rotation, size, now - rotation->stop_at,
                                 balancer->settings.grace_ms, now))
    return;
  atomic_store (&balancer->leaving, true);
  cf_event_log_write (
      balancer->log, "leaving",
      (struct CfField[]){
          { .key = "waited_ms", .number = now - rotation->stop_at },
          { .key = "vms", .number = size },
          { .key = "away", .number = cf_rotation_absent_count (&rotation->rotation, now) },
          { 0 },
      });
}

CfMillis
cf_feed_rotation_tick (struct FeedRotation *rotation, CfMillis now)
{
  struct CfBalancer *balancer = rotation->feed->balancer;
  bool stopping = rotation->stop_at >= 0;

  if (stopping && !atomic_load (&balancer->leaving))
    try_to_leave (rotation, now);
  if (now < rotation->next_hello_at)
    return rotation->next_hello_at;
  if (stopping && !atomic_load (&balancer->leaving))
    return now + HELLO_INTERVAL_MS / 3;
  if (!stopping && (rotation->hellos_left == 0 || !atomic_load (&balancer->serving)))
    return now + (rotation->hellos_left ? HELLO_INTERVAL_MS : CF_MS_PER_S);
  send_hello (rotation, stopping);
  rotation->hellos_left -= rotation->hellos_left > 0;
  rotation->next_hello_at = now + HELLO_INTERVAL_MS;
  return rotation->next_hello_at;
}

void
cf_feed_rotation_stop_vm (struct FeedRotation *rotation, CfMillis now)
{
  const struct CfFeed *feed = rotation->feed;

  if (rotation->stop_at >= 0)
    return;
  rotation->stop_at = now;
  rotation->next_hello_at = 0;
  feed->calls->run_due (feed->context);
}

void
cf_feed_rotation_start (struct FeedRotation *rotation)
{
  rotation->hellos_left = HELLOS_ON_START;
}
