#include "balance/balance_internal.h"
#include "feed/gossip.h"
#include "feed/load_message.h"
#include "feed_play.h"
#include "balancer/datapath_internal.h"
#include "balancer/feed_messages.h"
#include "suite.h"
#include "runtime/clock.h"
#include "runtime/udp.h"
#include "tcp_server.h"

/* Load reports between the tasks of a VM, "vm-2", and another, "vm-1", over loopback sockets. */

#define NEAR_VMS 2 /* of the failure domain, vm-2 included: a report goes to the other one */
#define VMS 6      /* of the region: a report goes to 3 of the 4 in another domain */
#define FANOUT 4

static bool
has_received (const void *data)
{
  return atomic_load (&((struct FeedPlay *) data)->balancer.load_reports_received) == 2;
}

static bool
has_sent (const void *data)
{
  return atomic_load (&((struct FeedPlay *) data)->balancer.load_reports_sent) > 0;
}

/* Sends the report of a VM called NAME from OTHER, vm-1's socket, to vm-2.  Returns its length. */
static size_t
send_from (GSocket *other, const struct FeedPlay *play, const char *name)
{
  const struct CfBalanceSettings *settings = &play->balancer.settings;
  GSocketAddress *to = g_inet_socket_address_new_from_string (settings->ip, settings->peer_port);
  struct CfLoadReport report = { .domain = "d", .incarnation = 1, .sequence = 1, .domain_vms = 2 };
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  size_t len;

  g_strlcpy (report.vm, name, sizeof report.vm);
  len = cf_load_message_encode (&report, buffer, sizeof buffer);
  ck_assert_int_eq (g_socket_send_to (other, to, (char *) buffer, len, NULL, NULL), len);
  g_object_unref (to);
  return len;
}

/* Guards against a report that is not attributed to its sender, counted twice or sent to this VM
 * itself or to more VMs than planned, against reports of VMs that are not listed, and a domain size
 * that does not arrive. */
START_TEST (test_send_and_receive)
{
  struct FeedPlay play;
  struct CfBalancer *balancer = &play.balancer;
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  struct feed_datagram datagram;
  struct CfLoadReport report = { .vm = "replaced", .domain_vms = 77 };
  struct DatapathTask *datapath;
  struct CfAdmissionControl *admission;
  struct CfError error = { 0 };
  GSocket *other = NULL;
  size_t len;

  feed_play_prepare (&play, g_strdup ("127.0.0.1:1")); /* nothing listens there */
  balancer->settings.overload.admission
      = (struct CfAdmissionOptions){ .enabled = true, .caller_prefix = 32 };
  cf_task_finish (&balancer->datapath);
  cf_task_prepare (&balancer->datapath, &cf_datapath_task, balancer);
  datapath = balancer->datapath.data;
  feed_play_start (&play);
  for (int host = 1; host <= VMS; host++)
    {
      char *name = g_strdup_printf ("vm-%d", host);
      char *ip = tcp_server_own_ip (host);
      char *content = cf_vm_record_format (&(struct CfVmRecord){
          .ip = ip, .domain = host <= NEAR_VMS ? "d" : "e", .region = "r", .link_mbps = 100 });

      g_ptr_array_add (records, cf_record_new (name, 1, false, content));
      if (host == 1)
        other = cf_udp_open (ip, balancer->settings.peer_port, &error);
      g_free (content);
      g_free (ip);
      g_free (name);
    }
  ck_assert_msg (other != NULL, "%s", error.text);
  cf_feed_calls.apply (play.task, CF_FEED_VMS, records, 1, true, true);

  cf_task_post (&balancer->feed, CF_TO_FEED_LOAD, g_memdup2 (&report, sizeof report));
  feed_play_await (&play, has_sent, &play, "a report is sent");
  len = (size_t) g_socket_receive (other, (char *) buffer, sizeof buffer, NULL, NULL);
  ck_assert (cf_gossip_decode (buffer, len, &datagram));
  ck_assert (cf_load_message_read (&datagram.feed_datagram_u.loads, &report));
  cf_gossip_clear (&datagram);
  ck_assert_str_eq (report.vm, "vm-2");
  ck_assert_str_eq (report.domain, "d");
  ck_assert_uint_eq (report.domain_vms, NEAR_VMS);
  ck_assert_uint_eq (report.sequence, 1);
  ck_assert_uint_gt (report.incarnation, 0);
  ck_assert_uint_eq (atomic_load (&balancer->load_reports_sent), FANOUT);
  ck_assert_uint_eq (atomic_load (&balancer->load_report_bytes_sent), FANOUT * len);

  len = send_from (other, &play, "vm-1") + send_from (other, &play, "invented");
  feed_play_await (&play, has_received, &play, "both reports are received");
  ck_assert_uint_eq (atomic_load (&balancer->load_report_bytes_received), len);
  while (g_main_context_iteration (balancer->datapath.context, FALSE))
    ;
  admission = cf_balance_admission (datapath->balance);
  ck_assert_uint_eq (cf_admission_domain_size (admission), NEAR_VMS);
  ck_assert_uint_eq (cf_load_table_count (cf_admission_load_table (admission), cf_now ()), 1);
  g_ptr_array_unref (records);
  g_object_unref (other);
  feed_play_stop (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed load");

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  cf_task_register_types ();
  suite_add_loop (suite, test_send_and_receive, 1);
  return suite_run (suite);
}
