#include "balancer.h"
#include "platform/datagram.h"
#include "server.h"

#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

/* The datapath task receives packets from the fabric, has the balancer decide, and sends
 * them on.  It owns the balancer. */

#define BATCH 32           /* packets that one call to the kernel takes or gives */
#define DATAGRAM_MAX 2048  /* bytes; the longest packet in use has 1,232 */
#define PLACED_PER_S 2.0   /* log lines about ordinary decisions */
#define NOTABLE_PER_S 10.0 /* log lines about resets, drops and changes of mind */
#define NOTABLE_BURST 50.0

struct DatapathTask
{
  struct CfBalancer *balancer;
  struct CfTask *task;
  struct CfBalance *balance;
  GSocket *socket;
  GSource *source;
  int fd;
  uint16_t caller_port; /* callers take packets at their address and this port */
  struct CfEventRate placed;
  struct CfEventRate notable;
  uint64_t fates[CF_FATE_COUNT];
  bool isolated;
  uint64_t malformed;
  uint64_t send_failures;
  GHashTable *opened; /* GQuark to struct CfHistogram: first packet to its successor, ms */

  uint8_t in[BATCH][DATAGRAM_MAX];
  uint8_t out[BATCH][CF_SEGMENT_MAX + 8];
  struct sockaddr_in to[BATCH];
  struct iovec out_iov[BATCH];
  struct mmsghdr out_messages[BATCH];
  unsigned out_count;
};

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
      /* The datagram is lost as it would be on a full link; its sender repeats it. */
      task->send_failures++;
      sent++;
    }
  task->out_count = 0;
}

/* Returns room for the next datagram, whose length goes to add_datagram. */
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

  add_datagram (task, cf_platform_form.wrap (bytes, size, target->tag, target->cookie, out),
                target->address.ip, target->address.port);
}

static void
hand_on (void *context, const struct CfSegment *segment, uint32_t ip)
{
  struct DatapathTask *task = context;
  uint8_t *out = next_datagram (task);

  /* All VMs take packets at the same port. */
  add_datagram (task, cf_platform_form.hand_on (segment->bytes, segment->size, out), ip,
                task->balancer->settings.fabric.port);
}

static void
reset (void *context, const struct CfSegment *segment)
{
  struct DatapathTask *task = context;
  uint8_t *out = next_datagram (task);

  add_datagram (task, cf_platform_form.reset (segment, out), segment->caller.ip, task->caller_port);
}

static void
format_endpoint (struct CfEndpoint endpoint, char text[CF_ADDRESS_TEXT_MAX])
{
  g_snprintf (text, CF_ADDRESS_TEXT_MAX, "%u.%u.%u.%u:%u", endpoint.ip >> 24,
              endpoint.ip >> 16 & 255, endpoint.ip >> 8 & 255, endpoint.ip & 255, endpoint.port);
}

static void
decided (void *context, const struct CfDecision *decision)
{
  struct DatapathTask *task = context;
  const struct CfTarget *target = decision->target;
  struct CfEventRate *rate = decision->fate == CF_FATE_PLACED ? &task->placed : &task->notable;
  char flow[CF_ADDRESS_TEXT_MAX];
  char service[CF_ADDRESS_TEXT_MAX];

  if (decision->fate == CF_FATE_MOVED)
    task->fates[CF_FATE_MOVED]++;
  format_endpoint (decision->caller, flow);
  format_endpoint (decision->service, service);
  cf_event_log_sample (
      task->balancer->log, rate, cf_fate_name (decision->fate),
      (struct CfField[]){
          { .key = "flow", .text = flow },
          { .key = "to", .text = service },
          { .key = "upstream", .text = target ? target->id : "" },
          { .key = "silent", .text = decision->silent ? decision->silent->id : "" },
          { .key = "state", .text = target ? cf_target_state_name (target->state) : "" },
          { .key = "state_age_ms", .number = decision->known_for },
          { .key = "strikes", .number = target ? target->reach.strikes : 0 },
          { .key = "open", .number = target ? target->open : 0 },
          { .key = "reason", .text = cf_place_reason_name (decision->reason) },
          { .key = "tries", .number = decision->tries },
          { .key = "manifest", .number = (int64_t) decision->manifest_version },
          { .key = "news_age_ms", .number = decision->news_age },
          { 0 },
      },
      cf_now ());
}

static void
opened (void *context, GQuark service, CfMillis wait)
{
  struct DatapathTask *task = context;
  struct CfHistogram *histogram = g_hash_table_lookup (task->opened, GUINT_TO_POINTER (service));

  if (!histogram)
    {
      histogram = g_new0 (struct CfHistogram, 1);
      g_hash_table_insert (task->opened, GUINT_TO_POINTER (service), histogram);
    }
  cf_histogram_add (histogram, (uint64_t) wait);
}

static void
reach_changed (void *context, const struct CfTarget *target)
{
  struct DatapathTask *task = context;

  cf_event_log_sample (task->balancer->log, &task->notable,
                       target->reach.strikes > 0 ? "upstream-suspected" : "upstream-confirmed",
                       (struct CfField[]){
                           { .key = "upstream", .text = target->id },
                           { .key = "domain", .text = g_quark_to_string (target->domain) },
                           { .key = "state", .text = cf_target_state_name (target->state) },
                           { .key = "strikes", .number = target->reach.strikes },
                           { .key = "open", .number = target->open },
                           { 0 },
                       },
                       cf_now ());
}

static const struct CfBalanceOutputs outputs = {
  .forward = forward,
  .hand_on = hand_on,
  .reset = reset,
  .decided = decided,
  .opened = opened,
  .reach_changed = reach_changed,
};

static void
receive_one (struct DatapathTask *task, const uint8_t *data, size_t len, CfMillis now)
{
  struct CfSegment segment;

  if (cf_platform_form.parse (data, len, &segment))
    task->fates[cf_balance_segment (task->balance, &segment, now)]++;
  else
    task->malformed++;
}

static void
receive_all (struct DatapathTask *task)
{
  struct iovec iov[BATCH];
  struct mmsghdr messages[BATCH];
  int n;

  do
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
  while (n == BATCH);
}

static void
update_serving (struct DatapathTask *task)
{
  bool serving = cf_balance_ready (task->balance);

  if (atomic_exchange (&task->balancer->serving, serving) != serving)
    cf_event_log_write (task->balancer->log, serving ? "serving" : "not-serving",
                        (struct CfField[]){ { 0 } });
}

/* Tells the fabric when this VM is cut off from all upstreams, and when no longer. */
static void
note_isolation (struct DatapathTask *task, CfMillis now)
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
  update_serving (task);
}

static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer data)
{
  struct DatapathTask *task = data;
  CfMillis next;

  (void) callback;
  receive_all (task);
  next = cf_balance_tick (task->balance, cf_now ());
  note_isolation (task, cf_now ());
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
  if (task->source)
    {
      g_source_destroy (task->source);
      g_clear_pointer (&task->source, g_source_unref);
    }
  g_clear_object (&task->socket);
}

const struct CfTaskClass cf_datapath_task = { .name = "datapath", .start = start, .stop = stop };

void *
cf_datapath_task_new (struct CfBalancer *balancer)
{
  struct DatapathTask *task = g_new0 (struct DatapathTask, 1);
  const struct CfBalanceSettings *settings = &balancer->settings;

  task->balancer = balancer;
  task->caller_port = settings->fabric.port;
  task->placed = (struct CfEventRate){ .per_s = PLACED_PER_S, .burst = PLACED_PER_S };
  task->notable = (struct CfEventRate){ .per_s = NOTABLE_PER_S, .burst = NOTABLE_BURST };
  task->opened = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  task->balance = cf_balance_new (
      &(struct CfBalanceOptions){
          .domain = settings->failure_domain,
          .seed = g_random_int (),
          .flow_lifetime_ms = settings->flow_life_ms,
      },
      &outputs, task);
  return task;
}

void
cf_datapath_task_free (void *data)
{
  struct DatapathTask *task = data;

  cf_balance_free (task->balance);
  g_hash_table_unref (task->opened);
  g_free (task);
}

static void
log_upstream (struct DatapathTask *task, const struct CfTarget *target)
{
  cf_event_log_sample (task->balancer->log, &task->notable, "upstream",
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

static void
take_upstreams (struct DatapathTask *task, const struct CfUpdate *update, CfMillis now)
{
  struct CfDirectory *directory = cf_balance_directory (task->balance);

  for (guint i = 0; i < update->announcements->len; i++)
    {
      const struct CfAnnouncement *announcement
          = &g_array_index (update->announcements, struct CfAnnouncement, i);

      log_upstream (task, cf_directory_announce (directory, announcement, now));
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
take_manifest (struct DatapathTask *task, const struct CfManifest *manifest)
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
take_evacuation (struct DatapathTask *task, const char *domain, bool on, CfMillis now)
{
  cf_balance_evacuate (task->balance, domain, on, now);
  cf_event_log_write (task->balancer->log, on ? "domain-evacuated" : "domain-returned",
                      (struct CfField[]){ { .key = "domain", .text = domain }, { 0 } });
}

static void
take_update (void *data, void *message)
{
  struct DatapathTask *task = data;
  const struct CfUpdate *update = message;
  CfMillis now = cf_now ();

  take_upstreams (task, update, now);
  if (update->manifest)
    take_manifest (task, update->manifest);
  for (guint i = 0; i < update->evacuated->len; i++)
    take_evacuation (task, update->evacuated->pdata[i], true, now);
  for (guint i = 0; i < update->returned->len; i++)
    take_evacuation (task, update->returned->pdata[i], false, now);
  if (update->vms > 0)
    cf_balance_fleet (task->balance, update->vms);
  if (update->helpers)
    cf_balance_helpers (task->balance, (const uint32_t *) update->helpers->data,
                        update->helpers->len);
  update_serving (task);
}

void
cf_send_update (struct CfBalancer *balancer, struct CfUpdate *update)
{
  cf_task_post (&balancer->datapath, take_update, update, cf_update_free);
}

struct Fresh
{
  CfMillis known_at;
  bool settled;
};

static void
take_fresh (void *data, void *message)
{
  struct DatapathTask *task = data;
  const struct Fresh *fresh = message;

  cf_balance_news (task->balance, fresh->known_at);
  note_isolation (task, cf_now ());
  if (fresh->settled)
    cf_directory_settle (cf_balance_directory (task->balance), cf_now ());
}

void
cf_send_fresh (struct CfBalancer *balancer, CfMillis known_at, bool settled)
{
  struct Fresh *fresh = g_new (struct Fresh, 1);

  *fresh = (struct Fresh){ .known_at = known_at, .settled = settled };
  cf_task_post (&balancer->datapath, take_fresh, fresh, g_free);
}

static void
write_metrics (void *data, void *message)
{
  struct DatapathTask *task = data;
  struct CfMetricsRequest *request = message;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (int fate = 0; fate < CF_FATE_COUNT; fate++)
    g_string_append_printf (request->text, "cyclamenferry_packets_total{fate=\"%s\"} %" PRIu64 "\n",
                            cf_fate_name ((enum CfFate) fate), task->fates[fate]);
  g_string_append_printf (request->text,
                          "cyclamenferry_packets_malformed_total %" PRIu64 "\n"
                          "cyclamenferry_send_failures_total %" PRIu64 "\n"
                          "cyclamenferry_flows %u\n"
                          "cyclamenferry_manifest_version %" PRIu64 "\n"
                          "cyclamenferry_store_calls_total %" PRIu64 "\n",
                          task->malformed, task->send_failures, cf_balance_flows (task->balance),
                          cf_routes_version (cf_balance_routes (task->balance)),
                          (uint64_t) atomic_load (&task->balancer->store_calls));
  g_hash_table_iter_init (&iter, task->opened);
  while (g_hash_table_iter_next (&iter, &key, &value))
    cf_metrics_histogram (request->text, "flow_open_ms", "",
                          g_quark_to_string (GPOINTER_TO_UINT (key)), value);
  cf_send_metrics (task->balancer, request);
}

void
cf_send_metrics_request (struct CfBalancer *balancer, struct CfMetricsRequest *request)
{
  cf_task_post (&balancer->datapath, write_metrics, request, NULL);
}
