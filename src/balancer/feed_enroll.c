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

void
cf_feed_enroll_read (struct FeedTask *task, const struct CfRecord *record)
{
  struct CfVmRecord vm;
  struct CfVmRecordHolder *holder;

  cf_crash_report_input ("vm-record", record->name);
  holder = cf_vm_record_parse (record->text, &vm);
  if (!record->deleted && !holder)
    cf_event_log_write (task->balancer->log, "vm-unreadable",
                        (struct CfField[]){ { .key = "name", .text = record->name }, { 0 } });
  cf_sources_set (task->sources, record->name, holder ? &vm : NULL);
  cf_vm_record_release (holder);
}

/* Returns true if this VM's record in the store is up to date. */
static bool
is_enrolled (struct FeedTask *task)
{
  const struct CfRecord *record
      = g_hash_table_lookup (task->replica.records[CF_FEED_VMS], task->balancer->settings.name);

  task->enroll.replace
      = record && !record->deleted && !cf_replica_is_carried (&task->replica, record);
  return task->enroll.replace && cf_vm_record_equal (record->text, task->enroll.content);
}

void
cf_feed_enroll_check (struct FeedTask *task, CfMillis now)
{
  task->enroll.check_at = now;
  task->enroll.next_at = now;
}

static void
written (void *data, SoupMessage *message, GBytes *body)
{
  struct FeedTask *task = data;
  struct FeedEnroll *enroll = &task->enroll;
  guint status = body ? soup_message_get_status (message) : 0;
  CfMillis delay = (CfMillis) RETRY_MIN_MS << MIN (enroll->failures, 8);
  uint64_t era = cf_platform_era (message);

  enroll->call = NULL;
  cf_feed_learn_era (task, NULL, era);
  if (era > 0 && era < task->replica.era)
    {
      /* The store was restored since, perhaps from a copy without this write, or is another one and
       * stays in that era. */
      enroll->failures++;
      enroll->next_at = cf_now () + MIN (delay, RETRY_MAX_MS);
      enroll->check_at = enroll->next_at;
      cf_feed_tick (task);
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
  cf_event_log_write (task->balancer->log, "enroll-failed",
                      (struct CfField[]){
                          { .key = "status", .number = status },
                          { .key = "replace", .number = enroll->replace },
                          { .key = "failures", .number = enroll->failures },
                          { 0 },
                      });
  cf_feed_tick (task);
}

static void
deleted (void *data, SoupMessage *message, GBytes *body)
{
  struct FeedTask *task = data;
  guint status = body ? soup_message_get_status (message) : 0;

  task->enroll.delete = NULL;
  cf_feed_learn_era (task, NULL, cf_platform_era (message));
  /* A failed delete is tried again at the next check.  If the VM does run, it writes its record
   * again. */
  if (status < 200 || status >= 300)
    cf_event_log_write (task->balancer->log, "expire-failed",
                        (struct CfField[]){ { .key = "status", .number = status }, { 0 } });
}

/* The VM that reads the store deletes the records of VMs that no longer run. */
static void
delete_expired (struct FeedTask *task, CfMillis now)
{
  struct FeedEnroll *enroll = &task->enroll;
  const struct CfSource *vm = cf_sources_expired (task->sources, now_s ());
  const struct CfRecord *record
      = vm ? g_hash_table_lookup (task->replica.records[CF_FEED_VMS], vm->name) : NULL;

  if (enroll->delete || !record || cf_replica_is_carried (&task->replica, record)
      || now < enroll->next_delete_at)
    return;
  enroll->next_delete_at = now + DELETE_INTERVAL_MS;
  cf_event_log_write (task->balancer->log, "vm-expired",
                      (struct CfField[]){
                          { .key = "name", .text = vm->name },
                          { .key = "hour", .number = vm->hour },
                          { .key = "revision", .number = (int64_t) record->revision },
                          { 0 },
                      });
  atomic_fetch_add (&task->balancer->store_calls, 1);
  enroll->delete = cf_http_call_begin (
      task->session,
      cf_platform_delete (task->balancer->settings.store, CF_FEED_VMS, vm->name, record->revision),
      DEADLINE_MS, deleted, task);
}

static void
update_content (struct FeedTask *task)
{
  char *content = format_own_record (&task->balancer->settings);

  g_free (task->enroll.content);
  task->enroll.content = content;
}

CfMillis
cf_feed_enroll_tick (struct FeedTask *task, CfMillis now)
{
  struct FeedEnroll *enroll = &task->enroll;
  const struct CfBalanceSettings *settings = &task->balancer->settings;

  if (task->source && !*task->source)
    delete_expired (task, now);
  if (enroll->call || task->replica.revision[CF_FEED_VMS] == 0)
    return now + RETRY_MAX_MS;
  if (now < enroll->check_at)
    return enroll->check_at;
  update_content (task);
  if (is_enrolled (task))
    {
      enroll->check_at = now + CHECK_INTERVAL_MS;
      return enroll->check_at;
    }
  if (now < enroll->next_at)
    return enroll->next_at;
  atomic_fetch_add (&task->balancer->store_calls, 1);
  enroll->call
      = cf_http_call_begin (task->session,
                            cf_platform_write (settings->store, CF_FEED_VMS, settings->name,
                                               enroll->content, enroll->replace),
                            DEADLINE_MS, written, task);
  return now + RETRY_MAX_MS;
}

void
cf_feed_enroll_start (struct FeedTask *task)
{
  task->enroll = (struct FeedEnroll){
    .content = format_own_record (&task->balancer->settings),
    .next_at = cf_now (),
  };
}

void
cf_feed_enroll_stop (struct FeedTask *task)
{
  if (task->enroll.call)
    cf_http_call_cancel (task->enroll.call);
  task->enroll.call = NULL;
  if (task->enroll.delete)
    cf_http_call_cancel (task->enroll.delete);
  task->enroll.delete = NULL;
  g_clear_pointer (&task->enroll.content, g_free);
}
