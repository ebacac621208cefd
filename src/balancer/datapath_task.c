#include "runtime/crash_report.h"
#include "datapath_internal.h"
#include "runtime/clock.h"
#include "runtime/udp.h"

#include <errno.h>
#include <string.h>

/* The datapath task receives packets from the fabric and forwards them as the balancer, which it
 * owns, decides. */

#define PLACED_PER_S 2.0   /* log lines about ordinary decisions */
#define NOTABLE_PER_S 10.0 /* log lines about resets, drops, moved flows and failures */
#define NOTABLE_BURST 50.0
#define ADMISSION_PER_S 5.0 /* log lines about flows that wait or are refused during overload */

static void
flush (struct DatapathTask *task)
{
  unsigned sent = 0;

  while (sent < task->out_count)
    {
      int n = sendmmsg (task->fd, task->out_messages + sent, task->out_count - sent, MSG_DONTWAIT);

      if (n > 0)
        {
          sent += (unsigned) n;
          continue;
        }
      if (n < 0 && errno == EINTR)
        continue;
      /* Drop the datagram, as a congested link would; its sender retransmits it. */
      task->send_failures++;
      sent++;
    }
  task->out_count = 0;
}

/* Returns the buffer for the next datagram; add_datagram queues it with its length. */
static uint8_t *
next_datagram (struct DatapathTask *task)
{
  if (task->out_count == BATCH)
    flush (task);
  return task->out[task->out_count];
}

static void
add_datagram (struct DatapathTask *task, size_t len, uint32_t ip, uint16_t port)
{
  unsigned i = task->out_count++;

  task->to[i] = (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons (port),
    .sin_addr.s_addr = htonl (ip),
  };
  task->out_iov[i] = (struct iovec){ .iov_base = task->out[i], .iov_len = len };
  task->out_messages[i] = (struct mmsghdr){
    .msg_hdr = {
      .msg_name = &task->to[i],
      .msg_namelen = sizeof task->to[i],
      .msg_iov = &task->out_iov[i],
      .msg_iovlen = 1,
    },
  };
}

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  struct DatapathTask *task = context;
  uint8_t *out = next_datagram (task);

  add_datagram (task, cf_platform_codec.wrap (bytes, size, target->tag, target->cookie, out),
                target->address.ip, target->address.port);
}

static void
hand_on (void *context, const struct CfSegment *segment, uint32_t ip)
{
  struct DatapathTask *task = context;
  uint8_t *out = next_datagram (task);

  /* All VMs receive packets on the same port. */
  add_datagram (task, cf_platform_codec.hand_on (segment->bytes, segment->size, out), ip,
                task->balancer->settings.fabric.port);
}

static void
reset (void *context, const struct CfSegment *segment)
{
  struct DatapathTask *task = context;
  uint8_t *out = next_datagram (task);

  add_datagram (task, cf_platform_codec.reset (segment, out), segment->caller.ip,
                task->caller_port);
}

static void
format_endpoint (struct CfEndpoint endpoint, char text[CF_ADDRESS_TEXT_MAX])
{
  g_snprintf (text, CF_ADDRESS_TEXT_MAX, "%u.%u.%u.%u:%u", endpoint.ip >> 24,
              endpoint.ip >> 16 & 255, endpoint.ip >> 8 & 255, endpoint.ip & 255, endpoint.port);
}

static int64_t
percent (double part)
{
  return (int64_t) (part * 100 + 0.5);
}

/* Counts and logs a first packet that waits for admission or was refused. */
static void
log_admission (struct DatapathTask *task, const struct CfDecision *decision)
{
  const struct CfAdmissionVerdict *verdict = &decision->verdict;
  char flow[CF_ADDRESS_TEXT_MAX];
  char service[CF_ADDRESS_TEXT_MAX];

  if (decision->outcome == CF_OUTCOME_RESET_OVERLOAD)
    cf_datapath_count_refusal (task, verdict);
  format_endpoint (decision->caller, flow);
  format_endpoint (decision->service, service);
  cf_event_log_write_limited (
      task->balancer->log, &task->admission_rate, cf_outcome_name (decision->outcome),
      (struct CfField[]){
          { .key = "flow", .text = flow },
          { .key = "to", .text = service },
          { .key = "reason", .text = cf_refusal_reason_name (verdict->reason) },
          { .key = "priority", .number = verdict->priority },
          { .key = "admitted_pct", .number = percent (verdict->admitted) },
          { .key = "caller_requests", .number = (int64_t) verdict->caller_use },
          { .key = "occupancy_pct", .number = percent (verdict->occupancy) },
          { .key = "reports_age_ms", .number = verdict->age },
          { 0 },
      },
      cf_now ());
}

static void
decided (void *context, const struct CfDecision *decision)
{
  struct DatapathTask *task = context;
  const struct CfTarget *target = decision->target;
  struct CfEventRate *rate
      = decision->outcome == CF_OUTCOME_PLACED ? &task->placed_rate : &task->notable_rate;
  bool unreachable = decision->outcome == CF_OUTCOME_RESET_UNREACHABLE;
  char flow[CF_ADDRESS_TEXT_MAX];
  char service[CF_ADDRESS_TEXT_MAX];

  if (decision->outcome == CF_OUTCOME_HELD || decision->outcome == CF_OUTCOME_RESET_OVERLOAD)
    {
      log_admission (task, decision);
      return;
    }
  /* No packet that was received has these outcomes. */
  if (decision->outcome == CF_OUTCOME_MOVED || decision->outcome == CF_OUTCOME_EXTRA
      || decision->evidence == CF_UNREACHABLE_EARLIER)
    task->outcomes[decision->outcome]++;
  format_endpoint (decision->caller, flow);
  format_endpoint (decision->service, service);
  cf_event_log_write_limited (
      task->balancer->log, rate, cf_outcome_name (decision->outcome),
      (struct CfField[]){
          { .key = "flow", .text = flow },
          { .key = "to", .text = service },
          { .key = "upstream", .text = target ? target->id : "" },
          { .key = "silent", .text = decision->silent ? decision->silent->id : "" },
          { .key = "state", .text = target ? cf_target_state_name (target->state) : "" },
          { .key = "state_age_ms", .number = decision->state_age },
          { .key = "strikes", .number = target ? target->reach.failures : 0 },
          { .key = "open", .number = target ? target->open : 0 },
          { .key = "reason", .text = cf_place_reason_name (decision->reason) },
          { .key = "evidence", .text = cf_unreachable_reason_name (decision->evidence) },
          { .key = "tries", .number = decision->tries },
          { .key = "manifest", .number = (int64_t) decision->manifest_version },
          { .key = "news_age_ms", .number = decision->sync_age },
          /* The fields end here unless the flow's upstream could not be reached. */
          { .key = unreachable ? "domain" : NULL,
            .text = target ? g_quark_to_string (target->domain) : "" },
          { .key = "upstream_heard_ago_ms", .number = decision->upstream_heard_age },
          { .key = "domain_heard_ago_ms", .number = decision->domain_heard_age },
          { 0 },
      },
      cf_now ());
}

static void
opened (void *context, GQuark service, CfMillis wait)
{
  struct DatapathTask *task = context;

  cf_histogram_add (cf_table_get (task->opened, service, sizeof (struct CfHistogram)),
                    (uint64_t) wait);
}

static void
reach_changed (void *context, const struct CfTarget *target)
{
  struct DatapathTask *task = context;

  cf_event_log_write_limited (task->balancer->log, &task->notable_rate,
                              target->reach.failures > 0 ? "upstream-suspected"
                                                         : "upstream-confirmed",
                              (struct CfField[]){
                                  { .key = "upstream", .text = target->id },
                                  { .key = "domain", .text = g_quark_to_string (target->domain) },
                                  { .key = "state", .text = cf_target_state_name (target->state) },
                                  { .key = "strikes", .number = target->reach.failures },
                                  { .key = "open", .number = target->open },
                                  { 0 },
                              },
                              cf_now ());
}

static void
outage_changed (void *context, GQuark domain, bool begins)
{
  struct DatapathTask *task = context;

  cf_event_log_write_limited (task->balancer->log, &task->notable_rate,
                              begins ? "domain-unreachable" : "domain-reachable",
                              (struct CfField[]){
                                  { .key = "domain", .text = g_quark_to_string (domain) },
                                  { 0 },
                              },
                              cf_now ());
}

static void
failing (void *context, const struct CfTarget *target)
{
  struct DatapathTask *task = context;

  cf_event_log_write_limited (
      task->balancer->log, &task->notable_rate, "upstream-failing",
      (struct CfField[]){
          { .key = "upstream", .text = target->id },
          { .key = "domain", .text = g_quark_to_string (target->domain) },
          { .key = "times", .number = target->quality.avoided_times },
          { .key = "avoided_ms", .number = target->quality.avoided_until - cf_now () },
          { .key = "open", .number = target->open },
          { 0 },
      },
      cf_now ());
}

static void
extra_opening (void *context, GQuark service, enum CfExtraOpenResult result)
{
  struct DatapathTask *task = context;

  (void) service;
  task->extra_openings[result]++;
}

static void
held (void *context, CfMillis wait)
{
  struct DatapathTask *task = context;

  cf_histogram_add (&task->held, (uint64_t) wait);
}

static void
overload_changed (void *context,
                  GQuark service,
                  const struct CfOverload *overload,
                  const struct CfLoadSum *sum,
                  bool begins)
{
  struct DatapathTask *task = context;

  cf_event_log_write (task->balancer->log, begins ? "overload" : "overload-ended",
                      (struct CfField[]){
                          { .key = "service", .text = g_quark_to_string (service) },
                          { .key = "occupancy_pct", .number = percent (overload->occupancy) },
                          { .key = "turned_away_pct", .number = percent (overload->shed_share) },
                          { .key = "answered_per_s", .number = (int64_t) sum->total.answered },
                          { .key = "admitted_per_s", .number = (int64_t) overload->capacity },
                          { .key = "admitted_0_pct", .number = percent (overload->admitted[0]) },
                          { .key = "admitted_1_pct", .number = percent (overload->admitted[1]) },
                          { .key = "admitted_2_pct", .number = percent (overload->admitted[2]) },
                          { .key = "admitted_3_pct", .number = percent (overload->admitted[3]) },
                          { .key = "vms_reporting", .number = overload->reporting },
                          { .key = "reports_age_ms", .number = overload->age },
                          { 0 },
                      });
}

static const struct CfBalanceOutputs outputs = {
  .forward = forward,
  .hand_on = hand_on,
  .reset = reset,
  .decided = decided,
  .opened = opened,
  .reach_changed = reach_changed,
  .outage_changed = outage_changed,
  .failing = failing,
  .extra_opening = extra_opening,
  .held = held,
  .overload_changed = overload_changed,
};

static void
receive_one (struct DatapathTask *task, const uint8_t *data, size_t len, CfMillis now)
{
  struct CfSegment segment;

  cf_crash_report_input ("packet", NULL);
  if (cf_platform_codec.parse (data, len, &segment))
    task->outcomes[cf_balance_segment (task->balance, &segment, now)]++;
  else
    task->malformed++;
}

static void
receive_all (struct DatapathTask *task)
{
  struct iovec iov[BATCH];
  struct mmsghdr messages[BATCH];
  int n = BATCH;

  for (int batch = 0; batch < BATCHES_MAX && n == BATCH; batch++)
    {
      for (int i = 0; i < BATCH; i++)
        {
          iov[i] = (struct iovec){ .iov_base = task->in[i], .iov_len = DATAGRAM_MAX };
          messages[i] = (struct mmsghdr){ .msg_hdr = { .msg_iov = &iov[i], .msg_iovlen = 1 } };
        }
      n = recvmmsg (task->fd, messages, BATCH, MSG_DONTWAIT, NULL);
      for (int i = 0; i < n; i++)
        receive_one (task, task->in[i], messages[i].msg_len, cf_now ());
      flush (task);
    }
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct DatapathTask *task = data;
  CfMillis next;

  (void) callback;
  receive_all (task);
  next = cf_balance_tick (task->balance, cf_now ());
  cf_datapath_update_isolation (task, cf_now ());
  cf_datapath_report_quality (task, cf_now ());
  cf_datapath_report_load (task, cf_now ());
  flush (task);
  g_source_set_ready_time (source, next * G_TIME_SPAN_MILLISECOND);
  return G_SOURCE_CONTINUE;
}

static gboolean
ignore (gpointer data)
{
  (void) data;
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = dispatch };

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct DatapathTask *task = data;
  const struct CfBalanceSettings *settings = &task->balancer->settings;

  task->task = base;
  task->socket = cf_udp_open (settings->ip, settings->fabric.port, error);
  if (!task->socket)
    return false;
  task->fd = g_socket_get_fd (task->socket);
  task->source = g_source_new (&source_funcs, sizeof (GSource));
  g_source_add_unix_fd (task->source, task->fd, G_IO_IN);
  g_source_set_callback (task->source, ignore, task, NULL);
  g_source_set_ready_time (task->source, 0);
  g_source_attach (task->source, base->context);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct DatapathTask *task = data;

  (void) base;
  cf_task_source_clear (&task->source);
  g_clear_object (&task->socket);
}

static void *
create (void *owner)
{
  struct CfBalancer *balancer = owner;
  struct DatapathTask *task = g_new0 (struct DatapathTask, 1);
  const struct CfBalanceSettings *settings = &balancer->settings;

  task->balancer = balancer;
  task->caller_port = settings->fabric.port;
  task->placed_rate = (struct CfEventRate){ .per_s = PLACED_PER_S, .burst = PLACED_PER_S };
  task->notable_rate = (struct CfEventRate){ .per_s = NOTABLE_PER_S, .burst = NOTABLE_BURST };
  task->admission_rate = (struct CfEventRate){ .per_s = ADMISSION_PER_S, .burst = ADMISSION_PER_S };
  task->refused = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  task->opened = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  task->balance = cf_balance_new (
      &(struct CfBalanceOptions){
          .domain = settings->failure_domain,
          .seed = g_random_int (),
          .flow_lifetime_ms = settings->max_flow_lifetime_ms,
          .admission = settings->overload.admission,
          .extra_openings = settings->overload.extra_openings,
      },
      &outputs, task);
  return task;
}

static void
destroy (void *data)
{
  struct DatapathTask *task = data;

  cf_balance_free (task->balance);
  g_hash_table_unref (task->opened);
  g_hash_table_unref (task->refused);
  g_free (task);
}

const struct CfTaskClass cf_datapath_task = {
  .name = "datapath",
  .handlers = cf_datapath_handlers,
  .handler_count = G_N_ELEMENTS (cf_datapath_handlers),
  .create = create,
  .destroy = destroy,
  .start = start,
  .stop = stop,
};
