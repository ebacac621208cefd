#include "crash_report.h"
#include "feed_internal.h"
#include "platform/objects.h"
#include "platform/store_requests.h"
#include "server.h"

#include <arpa/inet.h>

/* The feed task keeps a copy of the store's records up to date and passes changes to the datapath
 * task. */

/* Log lines about changes of source: in an outage a VM tries several a second. */
#define SOURCE_LINES_PER_S 1
#define SOURCE_LINES_BURST 10
#define SUMMARY_INTERVAL_MS 10000 /* a line about the state of the feed */

/* Returns true if NAME, of KIND, is within the bound of names.  If it is not, ERROR says so of
 * RECORD. */
static bool
admit_name (struct FeedTask *task,
            const struct CfRecord *record,
            enum CfNameKind kind,
            const char *name,
            struct CfError *error)
{
  if (cf_names_admit (&task->names, kind, name))
    return true;
  task->name_refused = true;
  return cf_error_set (
      error, CF_ERROR_INPUT,
      "%s: its %s is in no manifest, and above %d bytes or the bound of %d such names",
      record->name, kind == CF_NAME_SERVICE ? "service" : "failure domain", CF_NAME_MAX_BYTES,
      CF_NAMES_MAX);
}

static bool
read_announcement (struct FeedTask *task,
                   const struct CfRecord *record,
                   struct CfAnnouncement *announcement,
                   struct CfError *error)
{
  if (!cf_platform_read_announcement (record, announcement, error))
    return false;
  if (admit_name (task, record, CF_NAME_SERVICE, announcement->service, error)
      && admit_name (task, record, CF_NAME_DOMAIN, announcement->domain, error))
    return true;
  cf_platform_announcement_clear (announcement);
  return false;
}

static void
add_upstream (struct FeedTask *task, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfAnnouncement announcement;
  struct CfError error = { 0 };

  cf_crash_report_input ("announcement", record->name);
  if (record->deleted)
    {
      g_ptr_array_add (update->withdrawn, g_strdup (record->name));
      return;
    }
  if (read_announcement (task, record, &announcement, &error))
    {
      g_array_append_val (update->announcements, announcement);
      return;
    }
  cf_event_log_write_limited (task->balancer->log, &task->record_rate, "announcement-unreadable",
                              (struct CfField[]){
                                  { .key = "upstream", .text = record->name },
                                  { .key = "revision", .number = (int64_t) record->revision },
                                  { .key = "fault", .text = error.text },
                                  { 0 },
                              },
                              cf_now ());
  g_ptr_array_add (update->withdrawn, g_strdup (record->name));
}

static void
add_manifest (struct FeedTask *task, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfError error = { 0 };
  struct CfManifest *manifest;

  cf_crash_report_input ("manifest", record->name);
  if (record->deleted)
    return;
  manifest = cf_platform_read_manifest (record, &error);
  if (!manifest)
    {
      cf_event_log_write (task->balancer->log, "manifest-unreadable",
                          (struct CfField[]){
                              { .key = "revision", .number = (int64_t) record->revision },
                              { .key = "fault", .text = error.text },
                              { 0 },
                          });
      return;
    }
  g_clear_pointer (&update->manifest, cf_manifest_free);
  update->manifest = manifest;
}

static void
add_evacuation (struct FeedTask *task, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfError error = { 0 };

  if (record->deleted)
    {
      if (g_quark_try_string (record->name))
        g_ptr_array_add (update->returned, g_strdup (record->name));
      return;
    }
  if (admit_name (task, record, CF_NAME_DOMAIN, record->name, &error))
    {
      g_ptr_array_add (update->evacuated, g_strdup (record->name));
      return;
    }
  cf_event_log_write_limited (task->balancer->log, &task->record_rate, "evacuation-unreadable",
                              (struct CfField[]){
                                  { .key = "domain", .text = record->name },
                                  { .key = "revision", .number = (int64_t) record->revision },
                                  { .key = "fault", .text = error.text },
                                  { 0 },
                              },
                              cf_now ());
}

/* Returns the IPs of other VMs, an array of uint32_t. */
static GArray *
peers (struct FeedTask *task)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GPtrArray *ips = cf_sources_ips (task->sources);

  for (guint i = 0; i < ips->len; i++)
    {
      struct in_addr address;
      uint32_t number;

      if (inet_pton (AF_INET, ips->pdata[i], &address) != 1)
        continue;
      number = ntohl (address.s_addr);
      g_array_append_val (numbers, number);
    }
  g_ptr_array_unref (ips);
  return numbers;
}

/* Passes changed records, an array of struct CfRecord, to the datapath task. */
static void
send_records (struct FeedTask *task, enum CfFeedKind kind, GPtrArray *changes, bool trusted)
{
  struct CfUpdate *update = cf_update_new (kind, trusted);

  for (guint i = 0; i < changes->len; i++)
    {
      const struct CfRecord *record = changes->pdata[i];

      switch (kind)
        {
        case CF_FEED_MANIFEST:
          add_manifest (task, update, record);
          break;
        case CF_FEED_UPSTREAMS:
          add_upstream (task, update, record);
          break;
        case CF_FEED_EVACUATIONS:
          add_evacuation (task, update, record);
          break;
        case CF_FEED_VMS:
          cf_feed_enroll_read (task, record);
          break;
        case CF_FEED_KINDS:
          break;
        }
    }
  if (kind == CF_FEED_VMS)
    {
      update->vms = cf_replica_count (&task->replica, kind);
      update->domain_vms = cf_sources_domain_size (task->sources);
      update->peers = peers (task);
    }
  cf_send_update (task->balancer, update);
}

/* A manifest may list names that were refused: passes on the records that were not. */
static void
send_refused (struct FeedTask *task)
{
  static const enum CfFeedKind kinds[] = { CF_FEED_EVACUATIONS, CF_FEED_UPSTREAMS };

  task->name_refused = false;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      GPtrArray *records = cf_replica_since (&task->replica, kinds[i], 0);

      for (guint j = records->len; j > 0; j--)
        if (((const struct CfRecord *) records->pdata[j - 1])->deleted)
          g_ptr_array_remove_index_fast (records, j - 1);
      send_records (task, kinds[i], records, false);
      g_ptr_array_unref (records);
    }
}

static void
log_doubted_era (struct FeedTask *task, const char *source, uint64_t era, CfMillis now)
{
  cf_event_log_write_limited (
      task->balancer->log, &task->source_rate, "store-era-doubted",
      (struct CfField[]){
          { .key = "era", .number = (int64_t) MIN (era, CF_ERA_MAX) },
          { .key = "held", .number = (int64_t) task->replica.era },
          { .key = "source", .text = source ? source : "store" },
          { .key = "answers", .number = source ? 0 : task->era_candidate.answers },
          { 0 },
      },
      now);
}

enum CfEraVerdict
cf_feed_learn_era (struct FeedTask *task, const char *source, uint64_t era)
{
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
  cf_feed_store_enter_era (task, now);
  cf_feed_enroll_check (task, now);
  task->settled = false;
  atomic_store (&task->balancer->store_era, era);
  cf_event_log_write (task->balancer->log, "store-era",
                      (struct CfField[]){
                          { .key = "era", .number = (int64_t) era },
                          { .key = "previous", .number = (int64_t) previous },
                          { .key = "news_age_ms", .number = cf_feed_age (task, now) },
                          { 0 },
                      });
  return verdict;
}

void
cf_feed_apply (struct FeedTask *task,
               enum CfFeedKind kind,
               GPtrArray *records,
               uint64_t revision,
               bool whole,
               bool trusted)
{
  GPtrArray *changes;

  for (guint i = 0; i < records->len; i++)
    cf_platform_read_order (kind, records->pdata[i]);
  cf_versions_keep (&task->relay_cache.versions, &task->replica, kind, records);
  changes = cf_replica_apply (&task->replica, kind, records, revision, whole);
  if (changes->len > 0)
    send_records (task, kind, changes, trusted);
  if (kind == CF_FEED_MANIFEST && changes->len > 0 && task->name_refused)
    send_refused (task);
  g_ptr_array_unref (changes);
}

/* The store's data of this era are complete: what is still carried was not written again. */
static void
end_carry (struct FeedTask *task, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      GPtrArray *changes = cf_replica_end_carry (&task->replica, (enum CfFeedKind) kind, now);

      if (changes->len > 0)
        {
          cf_event_log_write (
              task->balancer->log, "carry-ended",
              (struct CfField[]){
                  { .key = "kind", .text = cf_feed_kind_name ((enum CfFeedKind) kind) },
                  { .key = "records", .number = changes->len },
                  { .key = "era", .number = (int64_t) task->replica.era },
                  { 0 },
              });
          send_records (task, (enum CfFeedKind) kind, changes, true);
        }
      g_ptr_array_unref (changes);
    }
}

void
cf_feed_set_synced_at (struct FeedTask *task, const char *reader, CfMillis synced_at, bool settled)
{
  if (synced_at <= task->synced_at)
    return;
  g_free (task->reader);
  task->reader = g_strdup (reader);
  task->synced_at = synced_at;
  task->settled = settled;
  if (settled)
    end_carry (task, cf_now ());
  cf_send_feed_state (task->balancer, synced_at, settled);
}

CfMillis
cf_feed_age (const struct FeedTask *task, CfMillis now)
{
  return task->synced_at >= 0 ? now - task->synced_at : G_MAXINT32;
}

static void
log_summary (struct FeedTask *task, CfMillis now)
{
  if (now < task->summary_at)
    return;
  task->summary_at = now + SUMMARY_INTERVAL_MS;
  cf_event_log_write (
      task->balancer->log, "feed",
      (struct CfField[]){
          { .key = "source", .text = task->source },
          { .key = "reader", .text = task->reader ? task->reader : "" },
          { .key = "news_age_ms", .number = cf_feed_age (task, now) },
          { .key = "era", .number = (int64_t) atomic_load (&task->balancer->store_era) },
          { .key = "revision", .number = (int64_t) task->replica.revision[CF_FEED_MANIFEST] },
          { .key = "store_calls", .number = (int64_t) atomic_load (&task->balancer->store_calls) },
          { .key = "followers", .number = task->waiting.length },
          { 0 },
      });
}

static void
update_source (struct FeedTask *task, const struct CfSource *source, CfMillis now)
{
  const char *name = source->name ? source->name : "";

  if (g_strcmp0 (name, task->source) == 0)
    return;
  g_free (task->source);
  task->source = g_strdup (name);
  cf_event_log_write_limited (
      task->balancer->log, &task->source_rate, "source",
      (struct CfField[]){
          { .key = "source", .text = source->name ? source->name : "store" },
          { .key = "news_age_ms", .number = cf_feed_age (task, now) },
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
    .synced_at = task->synced_at,
    .read_until = task->read_until,
    .probed_at = task->probed_at,
  };
  enum CfStoreUse use = cf_sources_store_use (task->sources, &input, now);

  if (use == CF_STORE_USE_READ && !input.reader && !input.empty && now >= task->read_until)
    task->read_until = now + CF_SOURCES_READ_MIN_MS;
  return use;
}

/* Returns when the data becomes stale, or G_MAXINT64 if it already is. */
static CfMillis
stale_at (struct FeedTask *task, CfMillis now)
{
  CfMillis stale = cf_sources_stale_ms (task->sources);

  return cf_feed_age (task, now) < stale ? task->synced_at + stale : G_MAXINT64;
}

void
cf_feed_tick (struct FeedTask *task)
{
  CfMillis now = cf_now ();
  const struct CfSource *source = cf_sources_choose (task->sources, now);
  CfMillis next = MIN (cf_feed_enroll_tick (task, now), stale_at (task, now));

  update_source (task, source, now);
  log_summary (task, now);
  next = MIN (next, cf_feed_store_tick (task, store_use (task, source, now), now));
  if (!source->name && cf_replica_is_empty (&task->replica))
    source = cf_sources_choose_seed (task->sources, now);
  else if (!source->name && cf_feed_age (task, now) >= cf_sources_stale_ms (task->sources))
    source = cf_sources_choose_vm (task->sources, now);
  if (source && source->name)
    next = MIN (next, cf_feed_follow_tick (task, source, now));
  next = MIN (next, cf_feed_rotation_tick (task, now));
  next = MIN (next, cf_feed_relay_tick (task, now));
  g_source_set_ready_time (task->timer, next * G_TIME_SPAN_MILLISECOND);
}

static gboolean
on_timer (gpointer data)
{
  cf_feed_tick (data);
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
  struct CfUpdate *update = cf_update_new (CF_FEED_VMS, false);

  cf_sources_seed (task->sources, seeds);
  update->peers = peers (task);
  cf_send_update (task->balancer, update);
}

static void
handle_seeds (void *data, void *message)
{
  use_seeds (data, message);
}

static void
free_seeds (void *seeds)
{
  g_strfreev (seeds);
}

void
cf_send_seeds (struct CfBalancer *balancer, char **seeds)
{
  cf_task_post (&balancer->feed, handle_seeds, seeds, free_seeds);
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct FeedTask *task = data;

  task->session = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 16,
                                                 "max-conns-per-host", 16, NULL);
  cf_feed_store_start (task);
  cf_feed_enroll_start (task);
  if (!cf_feed_rotation_start (task, error))
    return false;
  use_seeds (task, task->balancer->settings.seeds);
  task->timer = g_source_new (&timer_funcs, sizeof (GSource));
  g_source_set_callback (task->timer, on_timer, task, NULL);
  g_source_set_ready_time (task->timer, 0);
  g_source_attach (task->timer, base->context);
  return cf_feed_relay_start (task, error);
}

static void
stop (struct CfTask *base, void *data)
{
  struct FeedTask *task = data;

  (void) base;
  cf_feed_relay_stop (task);
  cf_feed_rotation_stop (task);
  cf_feed_enroll_stop (task);
  cf_feed_follow_stop (task);
  cf_feed_store_stop (task);
  if (task->timer)
    g_source_destroy (task->timer);
  g_clear_pointer (&task->timer, g_source_unref);
  g_clear_object (&task->session);
}

const struct CfTaskClass cf_feed_task = { .name = "feed", .start = start, .stop = stop };

void *
cf_feed_task_new (struct CfBalancer *balancer)
{
  struct FeedTask *task = g_new0 (struct FeedTask, 1);

  task->balancer = balancer;
  task->random = g_rand_new ();
  task->synced_at = -1;
  task->probed_at = -1;
  task->source_rate
      = (struct CfEventRate){ .per_s = SOURCE_LINES_PER_S, .burst = SOURCE_LINES_BURST };
  task->datagram_rate = task->source_rate;
  task->record_rate = task->source_rate;
  task->relay_rate = task->source_rate;
  task->stop_at = -1;
  task->incarnation = (uint64_t) (g_get_real_time () / G_TIME_SPAN_MILLISECOND);
  task->sources = cf_sources_new (balancer->settings.name, balancer->settings.failure_domain,
                                  balancer->settings.region);
  cf_replica_init (&task->replica);
  cf_rotation_init (&task->rotation);
  return task;
}

void
cf_feed_task_free (void *data)
{
  struct FeedTask *task = data;

  cf_rotation_clear (&task->rotation);
  cf_sources_free (task->sources);
  cf_replica_clear (&task->replica);
  g_free (task->reader);
  g_rand_free (task->random);
  g_free (task->source);
  g_free (task);
}
