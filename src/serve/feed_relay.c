#include "crash_report.h"
#include "feed_internal.h"
#include "server.h"

#include <string.h>

#define WAIT_MAX_MS 30000 /* upper bound on the wait that a follower asks for */
/* Bound on waiting followers: more than usual wait while other VMs with followers are down. */
#define WAITING_MAX 256
#define CONFIRM_MS 400 /* a waiting follower is told this often that nothing has changed */

/* A follower's request that waits for changes. */
struct RelayRequest
{
  GList link; /* in the task's waiting */
  struct FeedTask *task;
  SoupServerMessage *message;
  gulong finished; /* signal handler */
  struct CfFeedPosition position;
  CfMillis synced_at; /* the follower has the store's data of this time */
  CfMillis until;
};

static void
respond (struct FeedTask *task,
         SoupServerMessage *message,
         const struct CfFeedPosition *position,
         CfMillis now)
{
  const struct CfUpdateOrigin origin = {
    .reader = task->reader,
    .age = cf_feed_age (task, now),
    .settled = task->settled,
  };
  GBytes *body = cf_relay_encode (&task->relay_cache, &task->replica, position, &origin);
  char era[24];
  gsize len;
  const char *data;

  if (!body)
    {
      cf_event_log_write_limited (
          task->balancer->log, &task->source_rate, "relay-failed",
          (struct CfField[]){
              { .key = "fault", .text = "the records exceed the format's bounds" },
              { 0 },
          },
          now);
      soup_server_message_set_status (message, SOUP_STATUS_INTERNAL_SERVER_ERROR, NULL);
      return;
    }
  data = g_bytes_get_data (body, &len);
  g_snprintf (era, sizeof era, "%" G_GUINT64_FORMAT, task->replica.era);
  soup_message_headers_replace (soup_server_message_get_response_headers (message),
                                CF_RELAY_ERA_HEADER, era);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "application/octet-stream", SOUP_MEMORY_COPY, data,
                                    len);
  g_bytes_unref (body);
}

static void
free_request (struct RelayRequest *request)
{
  g_signal_handler_disconnect (request->message, request->finished);
  g_object_unref (request->message);
  g_free (request);
}

static void
remove_request (struct RelayRequest *request)
{
  g_queue_unlink (&request->task->waiting, &request->link);
  free_request (request);
}

static void
on_finished (SoupServerMessage *message, gpointer data)
{
  (void) message;
  remove_request (data);
}

static void
defer_request (struct FeedTask *task,
               SoupServerMessage *message,
               const struct CfFeedPosition *position,
               CfMillis until)
{
  struct RelayRequest *request = g_new0 (struct RelayRequest, 1);

  request->link.data = request;
  request->task = task;
  request->message = g_object_ref (message);
  request->position = *position;
  request->synced_at = task->synced_at;
  request->until = until;
  request->finished = g_signal_connect (message, "finished", G_CALLBACK (on_finished), request);
  g_queue_push_tail_link (&task->waiting, &request->link);
  soup_server_message_pause (message);
}

static void
handle (SoupServer *soup,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct FeedTask *task = data;
  const char *text = query ? g_hash_table_lookup (query, "wait-ms") : NULL;
  struct CfFeedPosition position = { .era = task->replica.era };
  guint64 wait = 0;
  CfMillis now = cf_now ();

  (void) soup;
  cf_crash_report_input ("vm-request", path);
  if (strcmp (path, "/feed") != 0)
    {
      soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
      return;
    }
  if (!cf_feed_position_parse (query, &position)
      || (text && !g_ascii_string_to_unsigned (text, 10, 0, WAIT_MAX_MS, &wait, NULL)))
    {
      soup_server_message_set_status (message, SOUP_STATUS_BAD_REQUEST, NULL);
      return;
    }
  if (wait == 0 || cf_relay_has_changes (&task->replica, &position)
      || cf_feed_age (task, now) >= CF_SOURCES_STALE_FIRST_MS
      || task->waiting.length >= WAITING_MAX)
    respond (task, message, &position, now);
  else
    {
      defer_request (task, message, &position, now + (CfMillis) wait);
      cf_feed_tick (task);
    }
}

/* Returns true if REQUEST can be answered with changes, or with the confirmation that there are
 * none. */
static bool
has_update (const struct FeedTask *task, const struct RelayRequest *request)
{
  return cf_relay_has_changes (&task->replica, &request->position)
         || task->synced_at - request->synced_at >= CONFIRM_MS;
}

CfMillis
cf_feed_relay_tick (struct FeedTask *task, CfMillis now)
{
  CfMillis due = now + WAIT_MAX_MS;
  GList *next;

  for (GList *link = task->waiting.head; link; link = next)
    {
      struct RelayRequest *request = link->data;
      SoupServerMessage *message = request->message;

      next = link->next;
      if (now < request->until && !has_update (task, request))
        {
          due = MIN (due, request->until);
          continue;
        }
      respond (task, message, &request->position, now);
      g_object_ref (message);
      remove_request (request);
      soup_server_message_unpause (message);
      g_object_unref (message);
    }
  return due;
}

bool
cf_feed_relay_start (struct FeedTask *task, struct CfError *error)
{
  const struct CfBalanceSettings *settings = &task->balancer->settings;
  struct CfAddress address = settings->ready;

  g_queue_init (&task->waiting);
  address.port = settings->peer_port;
  task->relay = cf_http_listen (&address, handle, task, error);
  return task->relay != NULL;
}

void
cf_feed_relay_stop (struct FeedTask *task)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&task->waiting)))
    free_request (link->data);
  cf_http_close (&task->relay);
  cf_relay_cache_clear (&task->relay_cache);
}
