#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "platform/store_requests.h"
#include "runtime/clock.h"

/* This VM's record in the store holds its address and failure domain, so that other VMs can
 * follow it and know how many VMs share the rate of new flows that a cold upstream can take. */

#define DEADLINE_MS 2000 /* for a write or delete */
#define RETRY_MIN_MS 500 /* after a failure, doubled each time */
#define RETRY_MAX_MS 10000
#define CHECK_INTERVAL_MS 5000   /* whether the record is still up to date */
#define DELETE_INTERVAL_MS 10000 /* 8,640 a day; 6,700 VMs are restarted or replaced a day */

static int64_t
now_s (void)
{
  return g_get_real_time () / G_TIME_SPAN_SECOND;
}

static char *
format_own_record (const struct CfBalanceSettings *settings)
{
  return cf_vm_record_format (&(struct CfVmRecord){
      .ip = settings->ip,
      .domain = settings->failure_domain,
      .region = settings->region,
      .link_mbps = settings->link_mbps,
      .hour = cf_sources_hour (settings->name, now_s ()),
  });
}

/* Returns true if this VM's record in the store is up to date. */
static bool
is_enrolled (struct FeedEnroll *enroll)
{
  const struct CfFeed *feed = enroll->feed;
  const struct CfRecord *record
      = g_hash_table_lookup (feed->replica->records[CF_FEED_VMS], feed->balancer->settings.name);

  enroll->replace = record && !record->deleted && !cf_replica_is_carried (feed->replica, record);
  return enroll->replace && cf_vm_record_equal (record->text, enroll->content);
}

void
cf_feed_enroll_check (struct FeedEnroll *enroll, CfMillis now)
{
  enroll->check_at = now;
  enroll->next_at = now;
}

static void
written (void *data, SoupMessage *message, GBytes *body)
{
  struct FeedEnroll *enroll = data;
  const struct CfFeed *feed = enroll->feed;
  guint status = body ? soup_message_get_status (message) : 0;
  CfMillis delay = (CfMillis) RETRY_MIN_MS << MIN (enroll->failures, 8);
  uint64_t era = cf_platform_era (message);

  enroll->call = NULL;
  feed->calls->learn_era (feed->context, NULL, era);
  if (era > 0 && era < feed->replica->era)
    {
      /* The store was restored since, perhaps from a copy without this write, or is another one and
       * stays in that era. */
      enroll->failures++;
      enroll->next_at = cf_now () + MIN (delay, RETRY_MAX_MS);
      enroll->check_at = enroll->next_at;
      feed->calls->run_due (feed->context);
      return;
    }
  if (status >= 200 && status < 300)
    {
      enroll->failures = 0;
      /* The record comes back as a change from the store; until then it is not written again. */
      enroll->next_at = cf_now () + RETRY_MAX_MS;
      return;
    }
  /* A write without a response may have taken effect; the write is idempotent. */
  enroll->failures++;
  enroll->next_at = cf_now () + MIN (delay, RETRY_MAX_MS);
  cf_event_log_write (feed->balancer->log, "enroll-failed",
                      (struct CfField[]){
                          { .key = "status", .number = status },
                          { .key = "replace", .number = enroll->replace },
                          { .key = "failures", .number = enroll->failures },
                          { 0 },
                      });
  feed->calls->run_due (feed->context);
}

static void
deleted (void *data, SoupMessage *message, GBytes *body)
{
  struct FeedEnroll *enroll = data;
  const struct CfFeed *feed = enroll->feed;
  guint status = body ? soup_message_get_status (message) : 0;

  enroll->delete = NULL;
  feed->calls->learn_era (feed->context, NULL, cf_platform_era (message));
  /* A failed delete is tried again at the next check.  If the VM does run, it writes its record
   * again. */
  if (status < 200 || status >= 300)
    cf_event_log_write (feed->balancer->log, "expire-failed",
                        (struct CfField[]){ { .key = "status", .number = status }, { 0 } });
}

/* The VM that reads the store deletes the records of VMs that no longer run. */
static void
delete_expired (struct FeedEnroll *enroll, CfMillis now)
{
  const struct CfFeed *feed = enroll->feed;
  const struct CfSource *vm = cf_sources_expired (feed->sources, now_s ());
  const struct CfRecord *record
      = vm ? g_hash_table_lookup (feed->replica->records[CF_FEED_VMS], vm->name) : NULL;

  if (enroll->delete || !record || cf_replica_is_carried (feed->replica, record)
      || now < enroll->next_delete_at)
    return;
  enroll->next_delete_at = now + DELETE_INTERVAL_MS;
  cf_event_log_write (feed->balancer->log, "vm-expired",
                      (struct CfField[]){
                          { .key = "name", .text = vm->name },
                          { .key = "hour", .number = vm->hour },
                          { .key = "revision", .number = (int64_t) record->revision },
                          { 0 },
                      });
  atomic_fetch_add (&feed->balancer->store_calls, 1);
  enroll->delete = cf_http_call_begin (
      feed->session,
      cf_platform_delete (feed->balancer->settings.store, CF_FEED_VMS, vm->name, record->revision),
      DEADLINE_MS, deleted, enroll);
}

static void
update_content (struct FeedEnroll *enroll)
{
  char *content = format_own_record (&enroll->feed->balancer->settings);

  g_free (enroll->content);
  enroll->content = content;
}

CfMillis
cf_feed_enroll_tick (struct FeedEnroll *enroll, CfMillis now)
{
  const struct CfFeed *feed = enroll->feed;
  const struct CfBalanceSettings *settings = &feed->balancer->settings;

  if (feed->status->source && !*feed->status->source)
    delete_expired (enroll, now);
  if (enroll->call || feed->replica->revision[CF_FEED_VMS] == 0)
    return now + RETRY_MAX_MS;
  if (now < enroll->check_at)
    return enroll->check_at;
  update_content (enroll);
  if (is_enrolled (enroll))
    {
      enroll->check_at = now + CHECK_INTERVAL_MS;
      return enroll->check_at;
    }
  if (now < enroll->next_at)
    return enroll->next_at;
  atomic_fetch_add (&feed->balancer->store_calls, 1);
  enroll->call
      = cf_http_call_begin (feed->session,
                            cf_platform_write (settings->store, CF_FEED_VMS, settings->name,
                                               enroll->content, enroll->replace),
                            DEADLINE_MS, written, enroll);
  return now + RETRY_MAX_MS;
}

void
cf_feed_enroll_start (struct FeedEnroll *enroll)
{
  *enroll = (struct FeedEnroll){
    .feed = enroll->feed,
    .content = format_own_record (&enroll->feed->balancer->settings),
    .next_at = cf_now (),
  };
}

void
cf_feed_enroll_stop (struct FeedEnroll *enroll)
{
  cf_http_call_cancel (&enroll->call);
  cf_http_call_cancel (&enroll->delete);
  g_clear_pointer (&enroll->content, g_free);
}
