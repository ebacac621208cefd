#include "feed_play.h"
#include "suite.h"
#include "tcp_server.h"

#include <unistd.h>

#define PORT_MIN 20000
#define PORTS 10000

void
feed_play_prepare (struct FeedPlay *play, char *store)
{
  static int ports;
  struct CfBalancer *balancer = &play->balancer;

  *play = (struct FeedPlay){ .task = NULL };
  balancer->settings = (struct CfBalanceSettings){
    .name = g_strdup ("vm-2"),
    .ip = tcp_server_own_ip (2),
    .failure_domain = g_strdup ("d"),
    .region = g_strdup ("r"),
    .seeds = g_new0 (char *, 1),
    .store = store,
    .peer_port = (uint16_t) (PORT_MIN + (getpid () + 7 * ports++) % PORTS),
    .link_mbps = 100,
  };
  ck_assert (cf_address_parse (balancer->settings.ip, 0, &balancer->settings.ready));
  balancer->log = cf_event_log_new ("vm-2");
  /* It is not started: messages to it are kept and freed with it. */
  cf_task_prepare (&balancer->datapath, &cf_datapath_task, balancer);
  cf_task_prepare (&balancer->feed, &cf_feed_task, balancer);
  play->task = balancer->feed.data;
  g_main_context_push_thread_default (balancer->feed.context);
}

void
feed_play_start (struct FeedPlay *play)
{
  struct CfError error = { 0 };

  ck_assert_msg (cf_feed_task.start (&play->balancer.feed, play->task, &error), "%s", error.text);
}

void
feed_play_stop (struct FeedPlay *play)
{
  struct CfBalancer *balancer = &play->balancer;

  cf_feed_task.stop (&balancer->feed, play->task);
  while (g_main_context_iteration (balancer->feed.context, FALSE))
    ;
  g_main_context_pop_thread_default (balancer->feed.context);
  cf_task_finish (&balancer->feed);
  cf_task_finish (&balancer->datapath);
  cf_event_log_free (balancer->log);
  cf_balance_settings_clear (&balancer->settings);
}

void
feed_play_await (struct FeedPlay *play,
                 bool (*reached) (const void *data),
                 const void *data,
                 const char *what)
{
  gint64 end = g_get_monotonic_time () + FEED_PLAY_WAIT_S * G_TIME_SPAN_SECOND;

  while (!reached (data))
    {
      ck_assert_msg (g_get_monotonic_time () < end, "%s: not after %d s", what, FEED_PLAY_WAIT_S);
      g_main_context_iteration (play->balancer.feed.context, TRUE);
    }
}

char *
feed_play_vm_record (const char *name, const char *ip)
{
  return cf_vm_record_format (&(struct CfVmRecord){
      .ip = ip,
      .domain = "d",
      .region = "r",
      .link_mbps = 100,
      .hour = cf_sources_hour (name, g_get_real_time () / G_TIME_SPAN_SECOND),
  });
}
