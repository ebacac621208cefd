#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "platform/store_requests.h"
#include "runtime/clock.h"

/* The list of VMs changes with deploys only, and no bound on its age is promised; but a new VM is
 * not followed and not counted among those that share a cold upstream while a connection that has
 * gone silent is waited for. */
#define VMS_WAIT_MS 5000

/* The kind with the shortest list, read to find out whether the store answers again. */
#define PROBE_KIND CF_FEED_EVACUATIONS

#define STALE_CHECK_MS 50 /* with stale data, what to read from the store depends on its age */

/* Consecutive calls that fail before another source is used. */
#define FAILURES_MAX 2

static void
update_channel_state (struct FeedChannel *channel, enum CfReadOutcome outcome, CfMillis now)
{
  bool failed = outcome != CF_READ_ANSWERED && outcome != CF_READ_OVERTAKEN
                && outcome != CF_READ_HISTORY_GONE;

  if (failed != channel->failed)
    cf_event_log_write (
        channel->store->feed->balancer->log, failed ? "store-lost" : "store-regained",
        (struct CfField[]){
            { .key = "kind", .text = cf_feed_kind_name (channel->reader.kind) },
            { .key = "outcome", .text = cf_read_outcome_name (outcome) },
            { .key = "revision", .number = (int64_t) channel->reader.revision },
            { .key = "answered_ago_ms", .number = now - channel->reader.answered_at },
            { 0 },
        });
  channel->failed = failed;
}

/* Returns when the store last answered for every kind whose age is bounded by a promise, all but
 * the VMs; -1: never. */
static CfMillis
all_answered_at (const struct FeedStore *store)
{
  CfMillis oldest = store->channels[CF_FEED_MANIFEST].reader.answered_at;

  for (int kind = 0; kind < CF_FEED_VMS; kind++)
    oldest = MIN (oldest, store->channels[kind].reader.answered_at);
  return oldest;
}

static bool
all_trusted (const struct FeedStore *store, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_VMS; kind++)
    if (!cf_reader_trusted (&store->channels[kind].reader, now))
      return false;
  return true;
}

/* The store answers again: reads every kind at once whose last call failed. */
static void
retry_failed_channels (struct FeedStore *store, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct FeedChannel *channel = &store->channels[kind];

      if (!channel->failed)
        continue;
      channel->reader.next_at = now;
      update_channel_state (channel, CF_READ_ANSWERED, now);
    }
}

static void
log_list (const struct FeedChannel *channel, uint64_t known_revision, uint64_t era)
{
  const struct CfReplica *replica = channel->store->feed->replica;
  enum CfFeedKind kind = channel->reader.kind;

  cf_event_log_write (channel->store->feed->balancer->log, "store-listed",
                      (struct CfField[]){
                          { .key = "kind", .text = cf_feed_kind_name (kind) },
                          { .key = "records", .number = channel->list->len },
                          { .key = "revision", .number = (int64_t) channel->reader.revision },
                          { .key = "known_revision", .number = (int64_t) known_revision },
                          { .key = "era", .number = (int64_t) era },
                          { .key = "held", .number = cf_replica_count (replica, kind) },
                          { 0 },
                      });
}

void
cf_feed_store_enter_era (struct FeedStore *store, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct FeedChannel *channel = &store->channels[kind];

      if (cf_reader_enter_era (&channel->reader, store->feed->replica->era, now))
        cf_http_call_cancel (&channel->call);
    }
}

static void
answered (void *data, SoupMessage *message, GBytes *body)
{
  struct FeedChannel *channel = data;
  struct FeedStore *store = channel->store;
  const struct CfFeed *feed = store->feed;
  struct CfReader *reader = &channel->reader;
  struct CfFeedResponse response;
  enum CfReadOutcome outcome;
  bool listing = reader->asked.list;
  CfMillis now = cf_now ();
  uint64_t known_revision;
  bool whole;

  channel->call = NULL;
  cf_crash_report_input ("store-answer", cf_feed_kind_name (reader->kind));
  outcome = cf_platform_parse_response (message, body, reader->kind, listing, &response);
  if (outcome == CF_READ_ANSWERED && cf_reader_is_stuck (reader, &response))
    outcome = CF_READ_UNREADABLE;
  outcome = cf_reader_outcome (reader, outcome, response.era);
  if (feed->calls->learn_era (feed->context, NULL, response.era) == CF_ERA_DOUBTED)
    outcome = CF_READ_REJECTED;
  known_revision = feed->replica->revision[reader->kind];
  if (response.skipped > 0 || response.emptied > 0)
    feed->calls->log (feed->context, "answer-partly-unreadable",
                      (struct CfField[]){
                          { .key = "kind", .text = cf_feed_kind_name (reader->kind) },
                          { .key = "skipped", .number = response.skipped },
                          { .key = "emptied", .number = response.emptied },
                          { 0 },
                      },
                      now);
  update_channel_state (channel, outcome, now);
  if (listing && !reader->asked.after)
    g_ptr_array_set_size (channel->list, 0);
  whole = cf_reader_handle_outcome (reader, outcome, &response, now, feed->random);
  if (outcome == CF_READ_ANSWERED || outcome == CF_READ_OVERTAKEN)
    {
      feed->calls->source_answered (feed->context, NULL, now);
      retry_failed_channels (store, now);
    }
  if (outcome == CF_READ_ANSWERED)
    {
      if (listing)
        g_ptr_array_extend_and_steal (channel->list, g_steal_pointer (&response.records));
      if (whole || !listing)
        feed->calls->apply (feed->context, reader->kind, whole ? channel->list : response.records,
                            reader->revision, whole, cf_reader_trusted (reader, now));
      if (whole)
        log_list (channel, known_revision, response.era);
      feed->calls->set_synced_at (feed->context, feed->balancer->settings.name,
                                  all_answered_at (store), all_trusted (store, now));
    }
  else if (reader->failures >= FAILURES_MAX)
    feed->calls->source_failed (feed->context, NULL, now);
  cf_feed_response_clear (&response);
  feed->calls->run_due (feed->context);
}

/* Returns true if the last call of some kind failed. */
static bool
any_channel_failed (const struct FeedStore *store)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    if (store->channels[kind].failed)
      return true;
  return false;
}

static void
begin_call (struct FeedStore *store, struct FeedChannel *channel, bool probe)
{
  const struct CfReader *reader = &channel->reader;
  const struct CfFeed *feed = store->feed;
  const char *address = feed->balancer->settings.store;
  CfMillis usual = reader->kind == CF_FEED_VMS ? VMS_WAIT_MS : CF_READER_WAIT_MS;
  CfMillis wait
      = cf_reader_wait (reader, usual, cf_sources_stale_ms (feed->sources), probe, cf_now ());
  const struct CfReadCall *asked = &reader->asked;
  SoupMessage *message = asked->list
                             ? cf_platform_list (address, reader->kind, asked->after)
                             : cf_platform_watch (address, reader->kind, asked->revision, wait);

  atomic_fetch_add (&feed->balancer->store_calls, 1);
  channel->call = cf_http_call_begin (feed->session, message,
                                      (guint) (wait + CF_READER_DEADLINE_MS), answered, channel);
}

/* Returns true if KIND is to be read.  While the store is unreachable, only short calls of one kind
 * probe it, and a VM that reads it because of stale data does not need the list of VMs.  Until that
 * kind has failed, too, its call may be a long poll: others that have failed are called, too. */
static bool
is_wanted (const struct FeedStore *store, enum CfStoreUse use, int kind)
{
  if (use == CF_STORE_USE_NONE)
    return false;
  if (use == CF_STORE_USE_PROBE || any_channel_failed (store))
    return kind == PROBE_KIND
           || (use == CF_STORE_USE_READ && store->channels[kind].failed
               && !store->channels[PROBE_KIND].failed);
  return kind != CF_FEED_VMS || store->feed->status->source[0] == 0
         || (store->feed->replica->revision[kind] == 0 && store->feed->replica->carry_since < 0);
}

CfMillis
cf_feed_store_tick (struct FeedStore *store, enum CfStoreUse use, CfMillis now)
{
  bool stale = cf_feed_age (store->feed, now) >= CF_SOURCES_STALE_FIRST_MS;
  CfMillis next = now + (stale ? STALE_CHECK_MS : CF_MS_PER_S);

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct FeedChannel *channel = &store->channels[kind];

      if (!is_wanted (store, use, kind))
        continue;
      cf_reader_skip_to (&channel->reader, store->feed->replica->revision[kind]);
      if (cf_reader_start_due (&channel->reader, now))
        begin_call (store, channel, use == CF_STORE_USE_PROBE || any_channel_failed (store));
      else if (!channel->reader.in_flight)
        next = MIN (next, channel->reader.next_at);
    }
  return next;
}

void
cf_feed_store_start (struct FeedStore *store)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct FeedChannel *channel = &store->channels[kind];

      channel->store = store;
      channel->list = g_ptr_array_new_with_free_func (cf_record_free);
      cf_reader_init (&channel->reader, (enum CfFeedKind) kind, cf_now ());
      cf_reader_enter_era (&channel->reader, store->feed->replica->era, cf_now ());
    }
}

void
cf_feed_store_stop (struct FeedStore *store)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      struct FeedChannel *channel = &store->channels[kind];

      cf_http_call_cancel (&channel->call);
      g_clear_pointer (&channel->list, g_ptr_array_unref);
      cf_reader_clear (&channel->reader);
    }
}
