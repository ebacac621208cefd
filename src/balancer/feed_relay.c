#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "runtime/clock.h"

#include <string.h>

#define WAIT_MAX_MS 30000 /* upper bound on the wait that a follower asks for */
/* Bound on waiting followers: more than usual wait while other VMs with followers are down. */
#define WAITING_MAX 256
#define CONFIRM_MS 400 /* interval of responses without changes to a waiting follower */

/* A follower's request that waits for changes. */
struct RelayRequest
{
  GList link; /* in the relay's waiting */
  struct FeedRelay *relay;
  SoupServerMessage *message;
  gulong finished; /* signal handler */
  struct CfFeedPosition position;
  CfMillis synced_at; /* the follower has the store's data of this time */
  CfMillis until;
};

/* A response that a client receives. */
struct RelayResponse
{
  struct FeedRelay *relay;
  SoupServerMessage *message;
  gulong finished; /* signal handlers */
  gulong wrote;
  GBytes *parts; /* the shared chunk of its body */
  bool whole;    /* to a VM without data of this era */
  CfMillis began_at;
  CfMillis progress_at; /* when the connection last took a part of it */
};

static void
free_response (gpointer data)
{
  struct RelayResponse *response = data;

  g_signal_handler_disconnect (response->message, response->finished);
  g_signal_handler_disconnect (response->message, response->wrote);
  g_object_unref (response->message);
  g_bytes_unref (response->parts);
  g_free (response);
}

static void
on_sent (SoupServerMessage *message, gpointer data)
{
  struct RelayResponse *response = data;

  (void) message;
  g_ptr_array_remove (response->relay->sending, response);
}

static void
on_progress (SoupServerMessage *message, guint bytes, gpointer data)
{
  struct RelayResponse *response = data;

  (void) message;
  (void) bytes;
  response->progress_at = cf_now ();
}

/* Returns true if the follower at POSITION has data of the replica's era. */
static bool
has_data (const struct FeedRelay *relay, const struct CfFeedPosition *position)
{
  return position->era == relay->feed->replica->era && position->revision[CF_FEED_MANIFEST] > 0;
}

static void
add_response (struct FeedRelay *relay,
              SoupServerMessage *message,
              const struct CfFeedPosition *position,
              GBytes *parts,
              CfMillis now)
{
  struct RelayResponse *response = g_new0 (struct RelayResponse, 1);

  response->relay = relay;
  response->message = g_object_ref (message);
  response->parts = g_bytes_ref (parts);
  response->whole = !has_data (relay, position);
  response->began_at = now;
  response->progress_at = now;
  response->finished = g_signal_connect (message, "finished", G_CALLBACK (on_sent), response);
  response->wrote
      = g_signal_connect (message, "wrote-body-data", G_CALLBACK (on_progress), response);
  g_ptr_array_add (relay->sending, response);
}

/* Ends RESPONSE, and with it the connection. */
static void
end_response (struct RelayResponse *response, CfMillis now)
{
  struct FeedRelay *relay = response->relay;
  SoupServerMessage *message = g_object_ref (response->message);
  const char *client = soup_server_message_get_remote_host (message);

  cf_event_log_write_limited (
      relay->feed->balancer->log, &relay->rate, "follower-too-slow",
      (struct CfField[]){
          { .key = "client", .text = client ? client : "" },
          { .key = "began_ago_ms", .number = now - response->began_at },
          { .key = "progress_ago_ms", .number = now - response->progress_at },
          { 0 },
      },
      now);
  g_ptr_array_remove (relay->sending, response);
  cf_http_end (relay->server, message);
  g_object_unref (message);
}

/* Returns the response that has made no progress for the longest, NULL if there is none. */
static struct RelayResponse *
slowest (const struct FeedRelay *relay)
{
  struct RelayResponse *found = NULL;

  for (guint i = 0; i < relay->sending->len; i++)
    {
      struct RelayResponse *response = relay->sending->pdata[i];

      if (!found || response->progress_at < found->progress_at)
        found = response;
    }
  return found;
}

/* Returns the bytes that responses under way and one with PARTS hold beside the cache. */
static gsize
held_bytes (const struct FeedRelay *relay, GBytes *parts)
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);
  gsize sum = g_bytes_get_size (parts);

  g_hash_table_add (seen, parts);
  for (int i = 0; i < CF_RELAY_CACHED; i++)
    if (relay->cache.entries[i].parts)
      g_hash_table_add (seen, relay->cache.entries[i].parts);
  for (guint i = 0; i < relay->sending->len; i++)
    {
      const struct RelayResponse *response = relay->sending->pdata[i];

      if (g_hash_table_add (seen, response->parts))
        sum += g_bytes_get_size (response->parts);
    }
  g_hash_table_unref (seen);
  return sum;
}

/* Makes room for a response with PARTS.  Returns false if there is none. */
static bool
make_room (struct FeedRelay *relay, GBytes *parts, CfMillis now)
{
  while (relay->sending->len > 0
         && (relay->sending->len >= CF_RELAY_SENDING_MAX
             || held_bytes (relay, parts) > CF_RELAY_HELD_MAX_BYTES))
    {
      struct RelayResponse *response = slowest (relay);

      if (now - response->progress_at < CF_RELAY_YIELD_MS)
        return false;
      end_response (response, now);
    }
  return true;
}

/* Ends the responses whose clients take too long.  Returns when the next one may be due. */
static CfMillis
end_slow_responses (struct FeedRelay *relay, CfMillis now)
{
  CfMillis due = G_MAXINT64;

  for (guint i = relay->sending->len; i > 0; i--)
    {
      struct RelayResponse *response = relay->sending->pdata[i - 1];
      CfMillis end = MIN (response->progress_at + CF_RELAY_STALL_MS,
                          response->began_at + CF_RELAY_SEND_MAX_MS);

      if (now >= end)
        end_response (response, now);
      else
        due = MIN (due, end);
    }
  return due;
}

static void
refuse (struct FeedRelay *relay, SoupServerMessage *message, CfMillis now)
{
  cf_event_log_write_limited (relay->feed->balancer->log, &relay->rate, "follower-refused",
                              (struct CfField[]){
                                  { .key = "responses", .number = relay->sending->len },
                                  { 0 },
                              },
                              now);
  soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
}

static void
count_bytes (struct FeedRelay *relay, const struct CfRelayChunks *chunks, CfMillis now)
{
  enum CfUpdateForm form = chunks->differences ? CF_UPDATE_DIFFERENCE : CF_UPDATE_WHOLE;
  gsize bytes = g_bytes_get_size (chunks->head) + g_bytes_get_size (chunks->parts)
                + g_bytes_get_size (chunks->padding);

  atomic_fetch_add (&relay->feed->balancer->update_bytes_sent[form], bytes);
  cf_referrer_sent (&relay->referrer, bytes, now);
}

/* Refers the VM without data that sent MESSAGE with QUERY to others, if this VM is busy and the
 * other one understands that. */
static bool
refer (struct FeedRelay *relay, SoupServerMessage *message, GHashTable *query, CfMillis now)
{
  const char *waited = g_hash_table_lookup (query, "referral-wait-ms");
  bool named = g_strcmp0 (g_hash_table_lookup (query, "referral-named"), "1") == 0;
  const char *ip = soup_server_message_get_remote_host (message);
  guint64 waited_ms;
  guint under_way = 0;
  GBytes *body;

  if (!ip || !waited || !g_ascii_string_to_unsigned (waited, 10, 0, G_MAXINT32, &waited_ms, NULL)
      || cf_replica_is_empty (relay->feed->replica))
    return false;
  for (guint i = 0; i < relay->sending->len; i++)
    under_way += ((const struct RelayResponse *) relay->sending->pdata[i])->whole;
  if (!cf_referrer_refers (&relay->referrer, under_way, (CfMillis) waited_ms, named, now)
      || !(body = cf_referrer_encode (&relay->referrer, ip, now)))
    return false;
  soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  soup_message_body_append_bytes (soup_server_message_get_response_body (message), body);
  g_bytes_unref (body);
  atomic_fetch_add (&relay->feed->balancer->update_referrals, 1);
  return true;
}

static void
respond (struct FeedRelay *relay,
         SoupServerMessage *message,
         const struct CfFeedPosition *position,
         CfMillis now)
{
  const struct CfFeed *feed = relay->feed;
  const struct CfUpdateOrigin origin = {
    .reader = feed->status->reader,
    .age = cf_feed_age (feed, now),
    .settled = feed->status->settled,
  };
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  SoupMessageBody *body = soup_server_message_get_response_body (message);
  struct CfRelayChunks chunks;
  char era[24];

  if (!cf_relay_encode_chunks (&relay->cache, feed->replica, position, &origin, &chunks))
    {
      feed->calls->log (feed->context, "relay-failed",
                        (struct CfField[]){
                            { .key = "fault", .text = "the records exceed the format's bounds" },
                            { 0 },
                        },
                        now);
      soup_server_message_set_status (message, SOUP_STATUS_INTERNAL_SERVER_ERROR, NULL);
      return;
    }
  if (make_room (relay, chunks.parts, now))
    {
      g_snprintf (era, sizeof era, "%" G_GUINT64_FORMAT, feed->replica->era);
      soup_message_headers_replace (headers, CF_RELAY_ERA_HEADER, era);
      soup_message_headers_replace (headers, "Content-Type", "application/octet-stream");
      soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
      soup_message_body_append_bytes (body, chunks.head);
      soup_message_body_append_bytes (body, chunks.parts);
      if (g_bytes_get_size (chunks.padding) > 0)
        soup_message_body_append_bytes (body, chunks.padding);
      add_response (relay, message, position, chunks.parts, now);
      count_bytes (relay, &chunks, now);
    }
  else
    refuse (relay, message, now);
  cf_relay_chunks_clear (&chunks);
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
  g_queue_unlink (&request->relay->waiting, &request->link);
  free_request (request);
}

static void
on_finished (SoupServerMessage *message, gpointer data)
{
  (void) message;
  remove_request (data);
}

static void
defer_request (struct FeedRelay *relay,
               SoupServerMessage *message,
               const struct CfFeedPosition *position,
               CfMillis until)
{
  struct RelayRequest *request = g_new0 (struct RelayRequest, 1);

  request->link.data = request;
  request->relay = relay;
  request->message = g_object_ref (message);
  request->position = *position;
  request->synced_at = relay->feed->status->synced_at;
  request->until = until;
  request->finished = g_signal_connect (message, "finished", G_CALLBACK (on_finished), request);
  g_queue_push_tail_link (&relay->waiting, &request->link);
  soup_server_message_pause (message);
}

static void
handle (SoupServer *soup,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct FeedRelay *relay = data;
  const struct CfFeed *feed = relay->feed;
  const char *text = query ? g_hash_table_lookup (query, "wait-ms") : NULL;
  struct CfFeedPosition position = { .era = feed->replica->era };
  const char *ip = soup_server_message_get_remote_host (message);
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
  if (ip)
    cf_referrer_asked (&relay->referrer, ip, feed->replica->era, has_data (relay, &position), now);
  if (!has_data (relay, &position) && refer (relay, message, query, now))
    return;
  if (wait == 0 || cf_relay_has_changes (feed->replica, &position)
      || cf_feed_age (feed, now) >= CF_SOURCES_STALE_FIRST_MS
      || relay->waiting.length >= WAITING_MAX)
    respond (relay, message, &position, now);
  else
    {
      defer_request (relay, message, &position, now + (CfMillis) wait);
      feed->calls->run_due (feed->context);
    }
}

/* Returns true if REQUEST can be answered with changes, or with the confirmation that there are
 * none. */
static bool
has_update (const struct FeedRelay *relay, const struct RelayRequest *request)
{
  return cf_relay_has_changes (relay->feed->replica, &request->position)
         || relay->feed->status->synced_at - request->synced_at >= CONFIRM_MS;
}

CfMillis
cf_feed_relay_tick (struct FeedRelay *relay, CfMillis now)
{
  CfMillis due = MIN (now + WAIT_MAX_MS, end_slow_responses (relay, now));
  GList *next;

  for (GList *link = relay->waiting.head; link; link = next)
    {
      struct RelayRequest *request = link->data;
      SoupServerMessage *message = request->message;

      next = link->next;
      if (now < request->until && !has_update (relay, request))
        {
          due = MIN (due, request->until);
          continue;
        }
      respond (relay, message, &request->position, now);
      g_object_ref (message);
      remove_request (request);
      soup_server_message_unpause (message);
      g_object_unref (message);
    }
  return due;
}

bool
cf_feed_relay_start (struct FeedRelay *relay, struct CfError *error)
{
  const struct CfBalanceSettings *settings = &relay->feed->balancer->settings;
  struct CfAddress address = settings->ready;

  g_queue_init (&relay->waiting);
  relay->sending = g_ptr_array_new_with_free_func (free_response);
  address.port = settings->peer_port;
  relay->server = cf_http_listen (&address, handle, relay, error);
  return relay->server != NULL;
}

void
cf_feed_relay_stop (struct FeedRelay *relay)
{
  GList *link;

  while ((link = g_queue_pop_head_link (&relay->waiting)))
    free_request (link->data);
  g_clear_pointer (&relay->sending, g_ptr_array_unref);
  cf_http_close (&relay->server);
  cf_relay_cache_clear (&relay->cache);
  cf_referrer_clear (&relay->referrer);
}
