#include "feed_internal.h"
#include "datapath_messages.h"
#include "feed/gossip.h"
#include "feed/load_message.h"

/* Randomly chosen VMs of the failure domain that get each quality report: a report of 12
 * upstreams every 500 ms takes 16 KB/s. */
#define QUALITY_FANOUT 8

/* Randomly chosen VMs that get each load report: a report of 600 bytes every 500 ms takes 4.8 KB/s,
 * whatever the number of VMs.  Most are of other failure domains of the region: with two of four,
 * one in sixteen VMs has no report of some domain at a time. */
#define FANOUT 4
#define FAR_FANOUT 3

void
cf_feed_reports_send_load (struct FeedReports *reports, struct CfLoadReport *report)
{
  const struct CfFeed *feed = reports->feed;
  struct CfBalancer *balancer = feed->balancer;
  const struct CfBalanceSettings *settings = &balancer->settings;
  GPtrArray *near = cf_sources_domain_ips (feed->sources);
  GPtrArray *far = cf_sources_other_domain_ips (feed->sources);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  guint sent;
  size_t len;

  report->incarnation = reports->incarnation;
  report->sequence = ++reports->sequence;
  report->domain_vms = cf_sources_domain_size (feed->sources);
  /* With a name that is cut short the other VMs would ignore the report. */
  if (g_strlcpy (report->vm, settings->name, sizeof report->vm) < sizeof report->vm
      && g_strlcpy (report->domain, settings->failure_domain, sizeof report->domain)
             < sizeof report->domain)
    {
      len = cf_load_message_encode (report, buffer, sizeof buffer);
      sent = cf_feed_gossip_send_to_random (reports->gossip, far, FAR_FANOUT, buffer, len);
      sent += cf_feed_gossip_send_to_random (reports->gossip, near, FANOUT - sent, buffer, len);
      atomic_fetch_add (&balancer->load_reports_sent, sent);
      atomic_fetch_add (&balancer->load_report_bytes_sent, sent * len);
    }
  g_ptr_array_unref (near);
  g_ptr_array_unref (far);
}

bool
cf_feed_reports_receive_load (struct FeedReports *reports,
                              const struct feed_loads *loads,
                              size_t len)
{
  const struct CfFeed *feed = reports->feed;
  struct CfBalancer *balancer = feed->balancer;
  struct CfLoadReport report;

  atomic_fetch_add (&balancer->load_reports_received, 1);
  atomic_fetch_add (&balancer->load_report_bytes_received, len);
  if (!cf_load_message_read (loads, &report))
    return false;
  if (!cf_sources_is_in_region (feed->sources, report.vm, report.domain))
    return true;
  /* The domain of a listed VM is from the store.  It may have no upstream, so that the datapath
   * task does not know it yet. */
  if (feed->calls->admit_name (feed->context, CF_NAME_DOMAIN, report.domain))
    cf_task_post (&balancer->datapath, CF_TO_DATAPATH_LOAD, g_memdup2 (&report, sizeof report));
  return true;
}

void
cf_feed_reports_receive_quality (struct FeedReports *reports,
                                 const struct feed_qualities *qualities)
{
  const struct CfFeed *feed = reports->feed;
  struct CfQualityReport report;

  if (strcmp (qualities->domain, feed->balancer->settings.failure_domain) != 0
      || !cf_sources_is_neighbour (feed->sources, qualities->name))
    return;
  cf_gossip_read_quality (qualities, &report);
  cf_task_post (&feed->balancer->datapath, CF_TO_DATAPATH_QUALITY,
                g_memdup2 (&report, sizeof report));
}

void
cf_feed_reports_send_quality (struct FeedReports *reports, struct CfQualityReport *report)
{
  const struct CfFeed *feed = reports->feed;
  const struct CfBalanceSettings *settings = &feed->balancer->settings;
  GPtrArray *ips = cf_sources_domain_ips (feed->sources);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  size_t len;

  g_strlcpy (report->vm, settings->name, sizeof report->vm);
  len = cf_gossip_encode_quality (report, settings->failure_domain, buffer, sizeof buffer);
  cf_feed_gossip_send_to_random (reports->gossip, ips, QUALITY_FANOUT, buffer, len);
  g_ptr_array_unref (ips);
}
