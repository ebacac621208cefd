#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "datapath_messages.h"
#include "feed_messages.h"
#include "platform/objects.h"
#include "platform/store_requests.h"
#include "runtime/clock.h"

/* The feed task keeps a copy of the store's records up to date and passes changes to the datapath
 * task.  This file owns the copy, chooses the source and implements the interface for the parts. */

/* Log lines of a kind.  In an outage a VM tries several sources a second. */
#define LINES_PER_S 1
#define LINES_BURST 10
#define SUMMARY_INTERVAL_MS 10000 /* a line about the state of the feed */

static void
log_doubted_era (struct FeedTask *task, const char *source, uint64_t era, CfMillis now)
{
  cf_event_log_write_limited (
      task->feed.balancer->log, &task->source_rate, "store-era-doubted",
      (struct CfField[]){
          { .key = "era", .number = (int64_t) MIN (era, CF_ERA_MAX) },
          { .key = "held", .number = (int64_t) task->replica.era },
          { .key = "source", .text = source ? source : "store" },
          { .key = "answers", .number = source ? 0 : task->era_candidate.answers },
          { 0 },
      },
      now);
}

static enum CfEraVerdict
learn_era (void *context, const char *source, uint64_t era)
{
  struct FeedTask *task = context;
  uint64_t previous = task->replica.era;
  CfMillis now = cf_now ();
  enum CfEraVerdict verdict = source
                                  ? cf_era_judge (previous, era)
                                  : cf_era_judge_store (&task->era_candidate, previous, era, now);

  if (verdict == CF_ERA_DOUBTED)
    log_doubted_era (task, source, era, now);
  if (verdict != CF_ERA_LATER)
    return verdict;
  cf_replica_enter_era (&task->replica, era, now);
  cf_feed_store_enter_era (&task->store, now);
  cf_feed_enroll_check (&task->enroll, now);
  task->status.settled = false;
  atomic_store (&task->feed.balancer->store_era, era);
  cf_event_log_write (task->feed.balancer->log, "store-era",
                      (struct CfField[]){
                          { .key = "era", .number = (int64_t) era },
                          { .key = "previous", .number = (int64_t) previous },
                          { .key = "news_age_ms", .number = cf_feed_age (&task->feed, now) },
                          { .key = "evacuations",
                            .number = cf_replica_count (&task->replica, CF_FEED_EVACUATIONS) },
                          { 0 },
                      });
  return verdict;
}

static void
apply (void *context,
       enum CfFeedKind kind,
       GPtrArray *records,
       uint64_t revision,
       bool whole,
       bool trusted)
{
  struct FeedTask *task = context;
  GPtrArray *changes;

  for (guint i = 0; i < records->len; i++)
    cf_platform_read_order (kind, records->pdata[i]);
  cf_versions_keep (&task->relay.cache.versions, &task->replica, kind, records);
  changes = cf_replica_apply (&task->replica, kind, records, revision, whole);
  if (changes->len > 0)
    cf_feed_records_send (&task->records, kind, changes, trusted);
  if (kind == CF_FEED_MANIFEST && changes->len > 0 && task->records.name_refused)
    cf_feed_records_send_refused (&task->records);
  g_ptr_array_unref (changes);
}

/* Gives up what was carried for long enough and not written again. */
static void
end_carry (struct FeedTask *task, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      GPtrArray *changes = cf_replica_end_carry (&task->replica, (enum CfFeedKind) kind,
                                                 task->status.synced_at, task->status.settled, now);

      if (changes->len > 0)
        {
          cf_event_log_write (
              task->feed.balancer->log, "carry-ended",
              (struct CfField[]){
                  { .key = "kind", .text = cf_feed_kind_name ((enum CfFeedKind) kind) },
                  { .key = "records", .number = changes->len },
                  { .key = "era", .number = (int64_t) task->replica.era },
                  { .key = "carried_ms", .number = now - task->replica.carry_since },
                  { .key = "news_age_ms", .number = cf_feed_age (&task->feed, now) },
                  { 0 },
              });
          cf_feed_records_send (&task->records, (enum CfFeedKind) kind, changes, true);
        }
      g_ptr_array_unref (changes);
    }
}

static void
set_synced_at (void *context, const char *reader, CfMillis synced_at, bool settled)
{
  struct FeedTask *task = context;
  struct CfFeedState *state;

  if (synced_at <= task->status.synced_at)
    return;
  g_free (task->status.reader);
  task->status.reader = g_strdup (reader);
  task->status.synced_at = synced_at;
  task->status.settled = settled;
  end_carry (task, cf_now ());
  state = g_new (struct CfFeedState, 1);
  *state = (struct CfFeedState){ .synced_at = synced_at, .settled = settled };
  cf_task_post (&task->feed.balancer->datapath, CF_TO_DATAPATH_FEED_STATE, state);
}

static void
log_summary (struct FeedTask *task, CfMillis now)
{
  if (now < task->summary_at)
    return;
  task->summary_at = now + SUMMARY_INTERVAL_MS;
  cf_event_log_write (
      task->feed.balancer->log, "feed",
      (struct CfField[]){
          { .key = "source", .text = task->status.source },
          { .key = "reader", .text = task->status.reader ? task->status.reader : "" },
          { .key = "news_age_ms", .number = cf_feed_age (&task->feed, now) },
          { .key = "era", .number = (int64_t) atomic_load (&task->feed.balancer->store_era) },
          { .key = "revision", .number = (int64_t) task->replica.revision[CF_FEED_MANIFEST] },
          { .key = "store_calls",
            .number = (int64_t) atomic_load (&task->feed.balancer->store_calls) },
          { .key = "followers", .number = task->relay.waiting.length },
          { 0 },
      });
}

static void
update_source (struct FeedTask *task, const struct CfSource *source, CfMillis now)
{
  const char *name = source->name ? source->name : "";

  if (g_strcmp0 (name, task->status.source) == 0)
    return;
  g_free (task->status.source);
  task->status.source = g_strdup (name);
  cf_event_log_write_limited (
      task->feed.balancer->log, &task->source_rate, "source",
      (struct CfField[]){
          { .key = "source", .text = source->name ? source->name : "store" },
          { .key = "news_age_ms", .number = cf_feed_age (&task->feed, now) },
          { 0 },
      },
      now);
}

static enum CfStoreUse
store_use (struct FeedTask *task, const struct CfSource *source, CfMillis now)
{
  struct CfStoreUseInput input = {
    .reader = !source->name,
    .empty = cf_replica_is_empty (&task->replica),
    .synced_at = task->status.synced_at,
    .read_until = task->status.read_until,
    .probed_at = task->status.probed_at,
  };
  enum CfStoreUse use = cf_sources_store_use (task->feed.sources, &input, now);

  if (use == CF_STORE_USE_READ && !input.reader && !input.empty && now >= task->status.read_until)
    task->status.read_until = now + CF_SOURCES_READ_MIN_MS;
  return use;
}

/* Returns when the data becomes stale, or G_MAXINT64 if it already is. */
static CfMillis
stale_at (struct FeedTask *task, CfMillis now)
{
  CfMillis stale = cf_sources_stale_ms (task->feed.sources);

  return cf_feed_age (&task->feed, now) < stale ? task->status.synced_at + stale : G_MAXINT64;
}

static void
run_due (void *context)
{
  struct FeedTask *task = context;
  CfMillis now = cf_now ();
  const struct CfSource *source = cf_sources_choose (task->feed.sources, now);
  CfMillis next = MIN (cf_feed_enroll_tick (&task->enroll, now), stale_at (task, now));

  update_source (task, source, now);
  log_summary (task, now);
  next = MIN (next, cf_feed_store_tick (&task->store, store_use (task, source, now), now));
  if (!source->name && cf_replica_is_empty (&task->replica))
    source = cf_sources_choose_seed (task->feed.sources, now);
  else if (!source->name
           && cf_feed_age (&task->feed, now) >= cf_sources_stale_ms (task->feed.sources))
    source = cf_sources_choose_vm (task->feed.sources, now);
  if (source && source->name)
    next = MIN (next, cf_feed_follow_tick (&task->follow, source, now));
  next = MIN (next, cf_feed_rotation_tick (&task->rotation, now));
  next = MIN (next, cf_feed_relay_tick (&task->relay, now));
  g_source_set_ready_time (task->timer, next * G_TIME_SPAN_MILLISECOND);
}

static void
source_answered (void *context, const char *name, CfMillis now)
{
  struct FeedTask *task = context;

  cf_sources_answered (task->feed.sources, name);
  if (!name)
    task->status.probed_at = now;
}

static void
source_failed (void *context, const char *name, CfMillis now)
{
  cf_sources_failed (((struct FeedTask *) context)->feed.sources, name, now);
}

static void
stop_reading (void *context, CfMillis now)
{
  ((struct FeedTask *) context)->status.read_until = now;
}

static void
set_vm (void *context, const char *name, const struct CfVmRecord *vm)
{
  cf_sources_set (((struct FeedTask *) context)->feed.sources, name, vm);
}

static bool
admit_name (void *context, enum CfNameKind kind, const char *name)
{
  return cf_names_admit (&((struct FeedTask *) context)->names, kind, name);
}

static bool
receive (void *context, const struct feed_datagram *datagram, size_t len, CfMillis now)
{
  struct FeedTask *task = context;

  switch (datagram->kind)
    {
    case FEED_HELLO:
      cf_feed_rotation_receive (&task->rotation, &datagram->feed_datagram_u.hello, now);
      break;
    case FEED_QUALITIES:
      cf_feed_reports_receive_quality (&task->reports, &datagram->feed_datagram_u.qualities);
      break;
    case FEED_LOADS:
      return cf_feed_reports_receive_load (&task->reports, &datagram->feed_datagram_u.loads, len);
    }
  return true;
}

static void
log_limited (void *context, const char *event, const struct CfField *fields, CfMillis now)
{
  struct FeedTask *task = context;

  cf_event_log_write_limited (task->feed.balancer->log, &task->source_rate, event, fields, now);
}

const struct CfFeedCalls cf_feed_calls = {
  .learn_era = learn_era,
  .apply = apply,
  .set_synced_at = set_synced_at,
  .source_answered = source_answered,
  .source_failed = source_failed,
  .stop_reading = stop_reading,
  .set_vm = set_vm,
  .admit_name = admit_name,
  .receive = receive,
  .log = log_limited,
  .run_due = run_due,
};

static gboolean
on_timer (gpointer data)
{
  run_due (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
dispatch_timer (GSource *source, GSourceFunc callback, gpointer data)
{
  (void) source;
  return callback (data);
}

static GSourceFuncs timer_funcs = { .dispatch = dispatch_timer };

static void
use_seeds (struct FeedTask *task, char *const *seeds)
{
  cf_sources_seed (task->feed.sources, seeds);
  cf_feed_records_send_peers (&task->records);
}

static void
handle_seeds (void *data, void *message)
{
  use_seeds (data, message);
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct FeedTask *task = data;

  task->feed.session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 16,
                                                      "max-conns-per-host", 16, NULL);
  cf_feed_store_start (&task->store);
  cf_feed_enroll_start (&task->enroll);
  if (!cf_feed_gossip_start (&task->gossip, error))
    return false;
  cf_feed_rotation_start (&task->rotation);
  use_seeds (task, task->feed.balancer->settings.seeds);
  task->timer = g_source_new (&timer_funcs, sizeof (GSource));
  g_source_set_callback (task->timer, on_timer, task, NULL);
  g_source_set_ready_time (task->timer, 0);
  g_source_attach (task->timer, base->context);
  return cf_feed_relay_start (&task->relay, error);
}

static void
stop (struct CfTask *base, void *data)
{
  struct FeedTask *task = data;

  (void) base;
  cf_feed_relay_stop (&task->relay);
  cf_feed_gossip_stop (&task->gossip);
  cf_feed_enroll_stop (&task->enroll);
  cf_feed_follow_stop (&task->follow);
  cf_feed_store_stop (&task->store);
  cf_task_source_clear (&task->timer);
  g_clear_object (&task->feed.session);
}

static void
handle_quality (void *data, void *message)
{
  cf_feed_reports_send_quality (&((struct FeedTask *) data)->reports, message);
}

static void
handle_load (void *data, void *message)
{
  cf_feed_reports_send_load (&((struct FeedTask *) data)->reports, message);
}

static void
handle_stop (void *data, void *message)
{
  (void) message;
  cf_feed_rotation_stop_vm (&((struct FeedTask *) data)->rotation, cf_now ());
}

static void *
create (void *owner)
{
  struct CfBalancer *balancer = owner;
  static const struct CfEventRate rate = { .per_s = LINES_PER_S, .burst = LINES_BURST };
  const struct CfBalanceSettings *settings = &balancer->settings;
  struct FeedTask *task = g_new (struct FeedTask, 1);
  const struct CfFeed *feed = &task->feed;

  *task = (struct FeedTask){
    .feed = {
      .balancer = balancer,
      .replica = &task->replica,
      .status = &task->status,
      .sources = cf_sources_new (settings->name, settings->failure_domain, settings->region),
      .random = g_rand_new (),
      .calls = &cf_feed_calls,
      .context = task,
    },
    .status = { .synced_at = -1, .probed_at = -1 },
    .source_rate = rate,
    .records = { .feed = feed, .rate = rate },
    .store = { .feed = feed },
    .follow = { .feed = feed },
    .relay = { .feed = feed, .rate = rate },
    .enroll = { .feed = feed },
    .gossip = { .feed = feed, .rate = rate },
    .rotation = { .feed = feed, .gossip = &task->gossip, .stop_at = -1 },
    .reports = {
      .feed = feed,
      .gossip = &task->gossip,
      .incarnation = (uint64_t) (g_get_real_time () / G_TIME_SPAN_MILLISECOND),
    },
  };
  cf_replica_init (&task->replica);
  cf_rotation_init (&task->rotation.rotation);
  return task;
}

static void
destroy (void *data)
{
  struct FeedTask *task = data;

  cf_rotation_clear (&task->rotation.rotation);
  cf_sources_free (task->feed.sources);
  cf_replica_clear (&task->replica);
  g_free (task->status.reader);
  g_rand_free (task->feed.random);
  g_free (task->status.source);
  g_free (task);
}

static const struct CfMessageHandler handlers[CF_TO_FEED_KINDS] = {
  [CF_TO_FEED_SEEDS] = { handle_seeds, (GDestroyNotify) g_strfreev },
  [CF_TO_FEED_QUALITY] = { handle_quality, g_free },
  [CF_TO_FEED_LOAD] = { handle_load, g_free },
  [CF_TO_FEED_STOP] = { handle_stop, NULL },
};

const struct CfTaskClass cf_feed_task = {
  .name = "feed",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = destroy,
  .start = start,
  .stop = stop,
};
