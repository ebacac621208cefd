#include "feed_internal.h"
#include "feed/gossip.h"
#include "feed/load_message.h"

/* Randomly chosen VMs that get each load report: a report of 600 bytes every 500 ms takes 4.8 KB/s,
 * whatever the number of VMs.  Most are of other failure domains of the region: with two of four,
 * one in sixteen VMs has no report of some domain at a time. */
#define FANOUT 4
#define FAR_FANOUT 3

void
cf_feed_handle_load (void *data, void *message)
{
  struct FeedTask *task = data;
  struct CfLoadReport *report = message;
  struct CfBalancer *balancer = task->balancer;
  const struct CfBalanceSettings *settings = &balancer->settings;
  GPtrArray *near = cf_sources_domain_ips (task->sources);
  GPtrArray *far = cf_sources_other_domain_ips (task->sources);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  guint sent;
  size_t len;

  report->incarnation = task->incarnation;
  report->sequence = ++task->load_sequence;
  report->domain_vms = cf_sources_domain_size (task->sources);
  /* With a name that is cut short the other VMs would ignore the report. */
  if (g_strlcpy (report->vm, settings->name, sizeof report->vm) < sizeof report->vm
      && g_strlcpy (report->domain, settings->failure_domain, sizeof report->domain)
             < sizeof report->domain)
    {
      len = cf_load_message_encode (report, buffer, sizeof buffer);
      sent = cf_feed_send_to_random (task, far, FAR_FANOUT, buffer, len);
      sent += cf_feed_send_to_random (task, near, FANOUT - sent, buffer, len);
      atomic_fetch_add (&balancer->load_reports_sent, sent);
      atomic_fetch_add (&balancer->load_report_bytes_sent, sent * len);
    }
  g_ptr_array_unref (near);
  g_ptr_array_unref (far);
}

bool
cf_feed_receive_load (struct FeedTask *task, const struct feed_loads *loads, size_t len)
{
  struct CfBalancer *balancer = task->balancer;
  struct CfLoadReport report;

  atomic_fetch_add (&balancer->load_reports_received, 1);
  atomic_fetch_add (&balancer->load_report_bytes_received, len);
  if (!cf_load_message_read (loads, &report))
    return false;
  if (!cf_sources_is_in_region (task->sources, report.vm, report.domain))
    return true;
  /* The domain of a listed VM is from the store.  It may have no upstream, so that the datapath
   * task does not know it yet. */
  if (cf_names_admit (&task->names, CF_NAME_DOMAIN, report.domain))
    cf_task_post (&balancer->datapath, CF_TO_DATAPATH_LOAD, g_memdup2 (&report, sizeof report));
  return true;
}
