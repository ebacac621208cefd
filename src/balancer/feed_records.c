#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "datapath_messages.h"
#include "platform/objects.h"
#include "runtime/clock.h"

#include <arpa/inet.h>

/* What is read from changed records, for the datapath task and the list of sources. */

/* Returns true if NAME, of KIND, is within the bound of names.  If it is not, ERROR says so of
 * RECORD. */
static bool
admit_name (struct FeedRecords *records,
            const struct CfRecord *record,
            enum CfNameKind kind,
            const char *name,
            struct CfError *error)
{
  if (records->feed->calls->admit_name (records->feed->context, kind, name))
    return true;
  records->name_refused = true;
  return cf_error_set (
      error, CF_ERROR_INPUT,
      "%s: its %s is in no manifest, and above %d bytes or the bound of %d such names",
      record->name, kind == CF_NAME_SERVICE ? "service" : "failure domain", CF_NAME_MAX_BYTES,
      CF_NAMES_MAX);
}

static bool
read_announcement (struct FeedRecords *records,
                   const struct CfRecord *record,
                   struct CfAnnouncement *announcement,
                   struct CfError *error)
{
  if (!cf_platform_read_announcement (record, announcement, error))
    return false;
  if (admit_name (records, record, CF_NAME_SERVICE, announcement->service, error)
      && admit_name (records, record, CF_NAME_DOMAIN, announcement->domain, error))
    return true;
  cf_platform_announcement_clear (announcement);
  return false;
}

static void
add_upstream (struct FeedRecords *records, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfAnnouncement announcement;
  struct CfError error = { 0 };

  cf_crash_report_input ("announcement", record->name);
  if (record->deleted)
    {
      g_ptr_array_add (update->withdrawn, g_strdup (record->name));
      return;
    }
  if (read_announcement (records, record, &announcement, &error))
    {
      g_array_append_val (update->announcements, announcement);
      return;
    }
  cf_event_log_write_limited (records->feed->balancer->log, &records->rate,
                              "announcement-unreadable",
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
add_manifest (struct FeedRecords *records, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfError error = { 0 };
  struct CfManifest *manifest;

  cf_crash_report_input ("manifest", record->name);
  if (record->deleted)
    return;
  manifest = cf_platform_read_manifest (record, &error);
  if (!manifest)
    {
      cf_event_log_write (records->feed->balancer->log, "manifest-unreadable",
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
add_evacuation (struct FeedRecords *records, struct CfUpdate *update, const struct CfRecord *record)
{
  struct CfError error = { 0 };

  if (record->deleted)
    {
      if (g_quark_try_string (record->name))
        g_ptr_array_add (update->returned, g_strdup (record->name));
      return;
    }
  if (admit_name (records, record, CF_NAME_DOMAIN, record->name, &error))
    {
      g_ptr_array_add (update->evacuated, g_strdup (record->name));
      return;
    }
  cf_event_log_write_limited (records->feed->balancer->log, &records->rate, "evacuation-unreadable",
                              (struct CfField[]){
                                  { .key = "domain", .text = record->name },
                                  { .key = "revision", .number = (int64_t) record->revision },
                                  { .key = "fault", .text = error.text },
                                  { 0 },
                              },
                              cf_now ());
}

/* Updates the list of sources from the record of a VM. */
static void
read_vm (const struct CfFeed *feed, const struct CfRecord *record)
{
  struct CfVmRecord vm;
  struct CfVmRecordHolder *holder;

  cf_crash_report_input ("vm-record", record->name);
  holder = cf_vm_record_parse (record->text, &vm);
  if (!record->deleted && !holder)
    cf_event_log_write (feed->balancer->log, "vm-unreadable",
                        (struct CfField[]){ { .key = "name", .text = record->name }, { 0 } });
  feed->calls->set_vm (feed->context, record->name, holder ? &vm : NULL);
  cf_vm_record_release (holder);
}

/* Returns the IPs of other VMs, an array of uint32_t. */
static GArray *
peers (struct FeedRecords *records)
{
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GPtrArray *ips = cf_sources_ips (records->feed->sources);

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

void
cf_feed_records_send (struct FeedRecords *records,
                      enum CfFeedKind kind,
                      GPtrArray *changes,
                      bool trusted)
{
  struct CfUpdate *update = cf_update_new (kind, trusted);

  for (guint i = 0; i < changes->len; i++)
    {
      const struct CfRecord *record = changes->pdata[i];

      switch (kind)
        {
        case CF_FEED_MANIFEST:
          add_manifest (records, update, record);
          break;
        case CF_FEED_UPSTREAMS:
          add_upstream (records, update, record);
          break;
        case CF_FEED_EVACUATIONS:
          add_evacuation (records, update, record);
          break;
        case CF_FEED_VMS:
          read_vm (records->feed, record);
          break;
        case CF_FEED_KINDS:
          break;
        }
    }
  if (kind == CF_FEED_VMS)
    {
      update->vms = cf_replica_count (records->feed->replica, kind);
      update->domain_vms = cf_sources_domain_size (records->feed->sources);
      update->peers = peers (records);
    }
  cf_task_post (&records->feed->balancer->datapath, CF_TO_DATAPATH_UPDATE, update);
}

void
cf_feed_records_send_refused (struct FeedRecords *records)
{
  static const enum CfFeedKind kinds[] = { CF_FEED_EVACUATIONS, CF_FEED_UPSTREAMS };

  records->name_refused = false;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      GPtrArray *changes = cf_replica_since (records->feed->replica, kinds[i], 0);

      for (guint j = changes->len; j > 0; j--)
        if (((const struct CfRecord *) changes->pdata[j - 1])->deleted)
          g_ptr_array_remove_index_fast (changes, j - 1);
      cf_feed_records_send (records, kinds[i], changes, false);
      g_ptr_array_unref (changes);
    }
}

void
cf_feed_records_send_peers (struct FeedRecords *records)
{
  struct CfUpdate *update = cf_update_new (CF_FEED_VMS, false);

  update->peers = peers (records);
  cf_task_post (&records->feed->balancer->datapath, CF_TO_DATAPATH_UPDATE, update);
}
