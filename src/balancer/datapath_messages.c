#include "runtime/crash_report.h"
#include "datapath_internal.h"
#include "admin_messages.h"
#include "feed_messages.h"
#include "runtime/clock.h"
#include "runtime/metrics_text.h"

#define REPORT_INTERVAL_MS 500 /* between quality reports while requests fail */

void
cf_datapath_update_serving (struct DatapathTask *task)
{
  bool serving = cf_balance_ready (task->balance);

  if (atomic_exchange (&task->balancer->serving, serving) != serving)
    cf_event_log_write (task->balancer->log, serving ? "serving" : "not-serving",
                        (struct CfField[]){ { 0 } });
}

void
cf_datapath_update_isolation (struct DatapathTask *task, CfMillis now)
{
  bool isolated = cf_balance_isolated (task->balance, now);

  if (isolated == task->isolated)
    return;
  task->isolated = isolated;
  cf_event_log_write (task->balancer->log, isolated ? "isolated" : "reconnected",
                      (struct CfField[]){
                          { .key = "flows", .number = cf_balance_flows (task->balance) },
                          { 0 },
                      });
  cf_datapath_update_serving (task);
}

void
cf_datapath_report_quality (struct DatapathTask *task, CfMillis now)
{
  struct CfQualityReport report;

  if (now < task->next_report_at)
    return;
  task->next_report_at = now + REPORT_INTERVAL_MS;
  if (cf_balance_report (task->balance, &report, now))
    cf_task_post (&task->balancer->feed, CF_TO_FEED_QUALITY, g_memdup2 (&report, sizeof report));
}

static void
handle_peer_quality (void *data, void *message)
{
  struct DatapathTask *task = data;

  cf_balance_receive_report (task->balance, message, cf_now ());
}

void
cf_datapath_report_load (struct DatapathTask *task, CfMillis now)
{
  struct CfLoadReport report;

  if (now < task->next_load_report_at)
    return;
  task->next_load_report_at = now + CF_LOAD_REPORT_INTERVAL_MS;
  if (cf_balance_load_report (task->balance, &report, now))
    cf_task_post (&task->balancer->feed, CF_TO_FEED_LOAD, g_memdup2 (&report, sizeof report));
}

static void
handle_peer_load (void *data, void *message)
{
  struct DatapathTask *task = data;

  cf_balance_receive_load (task->balance, message, cf_now ());
}

static void
log_upstream (struct DatapathTask *task, const struct CfTarget *target)
{
  cf_event_log_write_limited (
      task->balancer->log, &task->notable_rate, "upstream",
      (struct CfField[]){
          { .key = "upstream", .text = target->id },
          { .key = "service", .text = g_quark_to_string (target->service) },
          { .key = "domain", .text = g_quark_to_string (target->domain) },
          { .key = "state", .text = cf_target_state_name (target->state) },
          { .key = "revision", .number = (int64_t) target->revision },
          { .key = "cold_ms", .number = MAX (target->cold_until - cf_now (), 0) },
          { 0 },
      },
      cf_now ());
}

/* Logs which upstream packets with the cookie of TARGET are for, if that is another one. */
static void
log_shared_cookie (struct DatapathTask *task, const struct CfTarget *target)
{
  const struct CfTarget *owner
      = cf_directory_by_cookie (cf_balance_directory (task->balance), target->cookie);

  if (owner == target)
    return;
  cf_event_log_write_limited (
      task->balancer->log, &task->notable_rate, "cookie-shared",
      (struct CfField[]){
          { .key = "upstream", .text = target->id },
          { .key = "owner", .text = owner->id },
          { .key = "owner_state", .text = cf_target_state_name (owner->state) },
          { 0 },
      },
      cf_now ());
}

static void
apply_upstreams (struct DatapathTask *task, const struct CfUpdate *update, CfMillis now)
{
  struct CfDirectory *directory = cf_balance_directory (task->balance);

  for (guint i = 0; i < update->announcements->len; i++)
    {
      const struct CfAnnouncement *announcement
          = &g_array_index (update->announcements, struct CfAnnouncement, i);

      const struct CfTarget *target = cf_directory_announce (directory, announcement, now);

      log_upstream (task, target);
      log_shared_cookie (task, target);
    }
  for (guint i = 0; i < update->withdrawn->len; i++)
    {
      const char *id = update->withdrawn->pdata[i];
      const struct CfTarget *target = cf_directory_by_id (directory, id);

      cf_directory_withdraw (directory, id, update->trusted, now);
      if (target)
        log_upstream (task, target);
    }
}

static void
apply_manifest (struct DatapathTask *task, const struct CfManifest *manifest)
{
  bool applied = cf_balance_manifest (task->balance, manifest);

  cf_event_log_write (task->balancer->log, applied ? "manifest-applied" : "manifest-ignored",
                      (struct CfField[]){
                          { .key = "version", .number = (int64_t) manifest->version },
                          { .key = "routes", .number = manifest->routes->len },
                          { 0 },
                      });
}

static void
apply_evacuation (struct DatapathTask *task, const char *domain, bool on, CfMillis now)
{
  cf_balance_evacuate (task->balance, domain, on, now);
  cf_event_log_write (task->balancer->log, on ? "domain-evacuated" : "domain-returned",
                      (struct CfField[]){ { .key = "domain", .text = domain }, { 0 } });
}

static void
handle_update (void *data, void *message)
{
  struct DatapathTask *task = data;
  const struct CfUpdate *update = message;
  CfMillis now = cf_now ();

  cf_crash_report_input ("update", cf_feed_kind_name (update->kind));
  apply_upstreams (task, update, now);
  if (update->manifest)
    apply_manifest (task, update->manifest);
  for (guint i = 0; i < update->evacuated->len; i++)
    apply_evacuation (task, update->evacuated->pdata[i], true, now);
  for (guint i = 0; i < update->returned->len; i++)
    apply_evacuation (task, update->returned->pdata[i], false, now);
  if (update->vms > 0)
    cf_balance_set_fleet_size (task->balance, update->vms);
  if (update->domain_vms > 0)
    cf_balance_set_domain_size (task->balance, update->domain_vms);
  if (update->peers)
    cf_balance_set_peers (task->balance, (const uint32_t *) update->peers->data,
                          update->peers->len);
  cf_datapath_update_serving (task);
}

static void
handle_feed_state (void *data, void *message)
{
  struct DatapathTask *task = data;
  const struct CfFeedState *feed_state = message;

  cf_balance_synced (task->balance, feed_state->synced_at);
  /* First packets may be queued until data from the store arrives: send them now. */
  g_source_set_ready_time (task->source, 0);
  cf_datapath_update_isolation (task, cf_now ());
  if (feed_state->settled)
    cf_directory_expire_lapsed (cf_balance_directory (task->balance), cf_now ());
}

static void
write_metrics (void *data, void *message)
{
  struct DatapathTask *task = data;
  struct CfBalancer *balancer = task->balancer;
  GString *text = ((struct CfReport *) message)->text;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (int outcome = 0; outcome < CF_OUTCOME_COUNT; outcome++)
    cf_metrics_value (text, task->outcomes[outcome], "packets_total{fate=\"%s\"}",
                      cf_outcome_name ((enum CfOutcome) outcome));
  cf_metrics_value (text, task->malformed, "packets_malformed_total");
  cf_metrics_value (text, task->send_failures, "send_failures_total");
  cf_metrics_value (text, cf_balance_flows (task->balance), "flows");
  cf_metrics_value (text, cf_routes_version (cf_balance_routes (task->balance)),
                    "manifest_version");
  cf_metrics_value (text, atomic_load (&balancer->store_calls), "store_calls_total");
  cf_metrics_value (text, atomic_load (&balancer->store_era), "store_era");
  cf_metrics_value (text, atomic_load (&balancer->update_bytes_sent[CF_UPDATE_WHOLE]),
                    "update_bytes_sent_total{form=\"whole\"}");
  cf_metrics_value (text, atomic_load (&balancer->update_bytes_sent[CF_UPDATE_DIFFERENCE]),
                    "update_bytes_sent_total{form=\"difference\"}");
  cf_metrics_value (text, atomic_load (&balancer->update_referrals), "update_referrals_total");
  g_hash_table_iter_init (&iter, task->opened);
  while (g_hash_table_iter_next (&iter, &key, &value))
    cf_metrics_histogram (text, "flow_open_ms", "", g_quark_to_string (GPOINTER_TO_UINT (key)),
                          value);
  cf_datapath_write_overload_metrics (task, text);
  cf_task_post (&balancer->admin, CF_TO_ADMIN_METRICS, message);
}

const struct CfMessageHandler cf_datapath_handlers[CF_TO_DATAPATH_KINDS] = {
  [CF_TO_DATAPATH_UPDATE] = { handle_update, cf_update_free },
  [CF_TO_DATAPATH_FEED_STATE] = { handle_feed_state, g_free },
  [CF_TO_DATAPATH_QUALITY] = { handle_peer_quality, g_free },
  [CF_TO_DATAPATH_LOAD] = { handle_peer_load, g_free },
  [CF_TO_DATAPATH_METRICS] = { write_metrics, NULL },
};
