#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "feed/gossip.h"
#include "runtime/clock.h"
#include "runtime/udp.h"

/* Datagrams that are handled before other events get their turn. */
#define DATAGRAMS_MAX 64

static void
log_invalid (struct FeedGossip *gossip, size_t len, CfMillis now)
{
  cf_event_log_write_limited (
      gossip->feed->balancer->log, &gossip->rate, "notice",
      (struct CfField[]){
          { .key = "message", .text = "ignored an invalid datagram from another VM" },
          { .key = "bytes", .number = (int64_t) len },
          { 0 },
      },
      now);
}

static void
handle_datagram (struct FeedGossip *gossip, const uint8_t *data, size_t len, CfMillis now)
{
  const struct CfFeed *feed = gossip->feed;
  struct feed_datagram datagram;

  cf_crash_report_input ("vm-datagram", NULL);
  if (!cf_gossip_decode (data, len, &datagram))
    {
      log_invalid (gossip, len, now);
      return;
    }
  if (!feed->calls->receive (feed->context, &datagram, len, now))
    log_invalid (gossip, len, now);
  cf_gossip_clear (&datagram);
}

static gboolean
on_datagram (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct FeedGossip *gossip = data;
  const struct CfFeed *feed = gossip->feed;
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  gssize len = 0;

  (void) condition;
  for (int i = 0; i < DATAGRAMS_MAX && len >= 0; i++)
    {
      len = g_socket_receive (socket, (char *) buffer, sizeof buffer, NULL, NULL);
      if (len > 0)
        handle_datagram (gossip, buffer, (size_t) len, cf_now ());
    }
  feed->calls->run_due (feed->context);
  return G_SOURCE_CONTINUE;
}

bool
cf_feed_gossip_send (struct FeedGossip *gossip, const char *ip, const uint8_t *data, size_t len)
{
  GSocketAddress *to
      = g_inet_socket_address_new_from_string (ip, gossip->feed->balancer->settings.peer_port);
  bool sent
      = to && g_socket_send_to (gossip->socket, to, (const char *) data, len, NULL, NULL) >= 0;

  g_clear_object (&to);
  return sent;
}

guint
cf_feed_gossip_send_to_random (
    struct FeedGossip *gossip, GPtrArray *ips, guint count, const uint8_t *data, size_t len)
{
  guint sent = 0;

  for (guint i = 0; i < count && ips->len > 0 && len > 0; i++)
    {
      guint other = (guint) g_rand_int_range (gossip->feed->random, 0, (gint32) ips->len);

      sent += cf_feed_gossip_send (gossip, ips->pdata[other], data, len);
      g_ptr_array_remove_index_fast (ips, other);
    }
  return sent;
}

bool
cf_feed_gossip_start (struct FeedGossip *gossip, struct CfError *error)
{
  const struct CfBalanceSettings *settings = &gossip->feed->balancer->settings;

  gossip->socket = cf_udp_open (settings->ip, settings->peer_port, error);
  if (!gossip->socket)
    return false;
  gossip->source = cf_udp_watch (gossip->socket, on_datagram, gossip);
  return true;
}

void
cf_feed_gossip_stop (struct FeedGossip *gossip)
{
  cf_task_source_clear (&gossip->source);
  g_clear_object (&gossip->socket);
}
