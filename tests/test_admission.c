#include "balance/balance.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* Admission control in whole balancers, on virtual time: VMs in two failure domains that exchange
 * load reports, callers that try again, and upstreams with two slots and a short queue, which turn
 * away what does not fit. */

#define VMS 8
#define UPSTREAMS 20
#define SLOTS 2
#define QUEUE 8
#define WORK_MS 20 /* mean: 2,000 requests a second in all */
#define CAPACITY 2000.0
#define REJECT_MS 80 /* after which a request that was turned away is answered */
#define ANSWER_BYTES 1000
#define ERROR_BYTES 60
#define REPORT_MS 500
#define TRIES 3
#define TARGET_LATENCY_MS 400
#define SERVICE_IP 0xc6120001
#define URGENT 0 /* classes: port 81, priority 1 */
#define USUAL 1  /* port 80, priority 2 */

enum EventKind
{
  EVENT_OPEN,    /* a caller opens a flow for a request */
  EVENT_REPEAT,  /* it sends its first packet again */
  EVENT_REQUEST, /* its flow has opened: it sends the request */
  EVENT_ANSWER,  /* an upstream has worked on a request, or turned it away */
};

struct Request
{
  int class;
  int domain; /* of its caller */
  uint32_t ip;
  int tries;
  bool done;
  bool served;
  CfMillis begun_at;
};

struct Flow
{
  struct Request *request;
  struct CfEndpoint caller;
  int vm;
  const struct CfTarget *target; /* where it opened */
  uint32_t index;                /* in flows */
  bool offered;                  /* an upstream got a packet of it */
  bool over;
};

struct Event
{
  CfMillis at;
  enum EventKind kind;
  struct Flow *flow;
  const struct CfTarget *target;
  bool served;
};

struct Upstream
{
  int working;
  GQueue waiting; /* of struct Flow */
};

struct Play
{
  CfMillis now;
  struct CfBalance *vms[VMS];
  struct Upstream upstreams[UPSTREAMS];
  GRand *random;
  GSequence *events;
  GPtrArray *flows;
  GPtrArray *requests;
  uint16_t next_port;
  uint32_t arrivals; /* requests that reached upstreams */
  uint32_t rejected; /* of these, turned away */
  uint32_t refused[2];
  uint32_t inversions; /* urgent requests refused while others were placed */
  CfMillis last_refusal;
  CfMillis placed_usual_at;
  struct Flow *current; /* whose packet is being handled */
  bool duplicates;      /* the network delivers each first packet twice */
  int paused;           /* VM that does not run, whose packets the fabric moves; -1: none */
  CfMillis longest_hold;
  uint32_t reports; /* load reports sent */
  int small_one_in; /* one in so many answers is small; 0: none */
};

static struct Play *play; /* of the test that runs: callbacks of eight balancers use it */

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct Event *x = a;
  const struct Event *y = b;

  (void) data;
  return (x->at > y->at) - (x->at < y->at);
}

static void
add_event (CfMillis at, enum EventKind kind, struct Flow *flow, const struct CfTarget *target)
{
  struct Event *event = g_new0 (struct Event, 1);

  *event = (struct Event){ .at = at, .kind = kind, .flow = flow, .target = target };
  g_sequence_insert_sorted (play->events, event, compare_events, NULL);
}

static struct Upstream *
upstream_of (const struct CfTarget *target)
{
  return &play->upstreams[atoi (strchr (target->id, '-') + 1)];
}

static void
begin_work (struct Upstream *upstream, struct Flow *flow, const struct CfTarget *target)
{
  upstream->working++;
  add_event (play->now + g_rand_int_range (play->random, WORK_MS / 2, WORK_MS * 3 / 2),
             EVENT_ANSWER, flow, target);
}

static struct Flow *
find_flow (const uint8_t *bytes)
{
  uint32_t index;

  memcpy (&index, bytes, sizeof index);
  return play->flows->pdata[index];
}

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  struct Flow *flow = find_flow (bytes);
  struct Upstream *upstream = upstream_of (target);

  (void) context;
  (void) size;
  flow->offered = true;
  if (bytes[4] == 'S')
    {
      add_event (play->now + 2, EVENT_REQUEST, flow, target);
      if (flow->request->class == USUAL)
        play->placed_usual_at = play->now;
    }
  if (bytes[4] != 'D')
    return;
  play->arrivals++;
  if (upstream->working < SLOTS)
    begin_work (upstream, flow, target);
  else if (g_queue_get_length (&upstream->waiting) < QUEUE)
    g_queue_push_tail (&upstream->waiting, flow);
  else
    {
      play->rejected++;
      add_event (play->now + REJECT_MS, EVENT_ANSWER, flow, NULL);
    }
}

static void
open_flow (struct Request *request)
{
  struct Flow *flow = g_new0 (struct Flow, 1);

  flow->request = request;
  flow->caller = (struct CfEndpoint){ .ip = request->ip, .port = ++play->next_port };
  flow->vm = request->domain + 2 * g_rand_int_range (play->random, 0, VMS / 2);
  flow->index = play->flows->len;
  request->tries++;
  g_ptr_array_add (play->flows, flow);
  add_event (play->now, EVENT_OPEN, flow, NULL);
}

static void
end_flow (struct Flow *flow, bool served)
{
  struct Request *request = flow->request;

  if (flow->over)
    return;
  flow->over = true;
  if (served || request->tries == TRIES)
    {
      request->done = true;
      request->served = served && play->now - request->begun_at <= TARGET_LATENCY_MS;
      return;
    }
  open_flow (request);
}

static void
reset (void *context, const struct CfSegment *segment)
{
  struct Flow *flow = find_flow (segment->bytes);

  (void) context;
  /* A refusal says that nothing has run. */
  ck_assert (!flow->offered);
  play->refused[flow->request->class]++;
  play->last_refusal = play->now;
  if (flow->request->class == URGENT && play->now - play->placed_usual_at < 2)
    play->inversions++;
  end_flow (flow, false);
}

static void
held (void *context, CfMillis wait)
{
  (void) context;
  play->longest_hold = MAX (wait, play->longest_hold);
}

static const struct CfBalanceOutputs outputs = { .forward = forward, .reset = reset, .held = held };

static void
send (struct Flow *flow, char kind, unsigned flags, uint32_t data, uint32_t ack, uint16_t count)
{
  uint8_t bytes[32] = { 0 };
  struct CfSegment segment = {
    .caller = flow->caller,
    .service = { .ip = SERVICE_IP, .port = flow->request->class == URGENT ? 81 : 80 },
    .flags = flags,
    .cookie = flow->target ? flow->target->cookie : 0,
    .seq = 100,
    .ack = 1000 + ack,
    .data = data,
    .retransmit_count = count,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  memcpy (bytes, &flow->index, sizeof flow->index);
  bytes[4] = (uint8_t) kind;
  if (flow->vm == play->paused)
    flow->vm = (flow->vm + 2) % VMS;
  cf_balance_segment (play->vms[flow->vm], &segment, play->now);
}

static void
answer (struct Flow *flow, const struct CfTarget *target)
{
  bool small
      = play->small_one_in > 0 && g_rand_int_range (play->random, 0, play->small_one_in) == 0;
  uint32_t bytes = target && !small ? ANSWER_BYTES : ERROR_BYTES;

  if (target)
    {
      struct Upstream *upstream = upstream_of (target);
      struct Flow *next = g_queue_pop_head (&upstream->waiting);

      upstream->working--;
      if (next)
        begin_work (upstream, next, target);
    }
  send (flow, 'A', CF_SEGMENT_ACK, 0, bytes, 0);
  send (flow, 'F', CF_SEGMENT_ACK | CF_SEGMENT_FIN, 0, bytes, 0);
  end_flow (flow, target != NULL);
}

static void
handle (const struct Event *event)
{
  struct Flow *flow = event->flow;

  switch (event->kind)
    {
    case EVENT_OPEN:
      add_event (play->now + 200, EVENT_REPEAT, flow, NULL);
      send (flow, 'S', CF_SEGMENT_SYN, 0, 0, 0);
      if (play->duplicates && !flow->over)
        send (flow, 'S', CF_SEGMENT_SYN, 0, 0, 0);
      break;
    case EVENT_REPEAT:
      if (!flow->over && !flow->target)
        send (flow, 'S', CF_SEGMENT_SYN, 0, 0, 1);
      break;
    case EVENT_REQUEST:
      ck_assert (!flow->over);
      if (flow->target)
        break;
      flow->target = event->target;
      send (flow, 'D', CF_SEGMENT_ACK, 100, 0, 0);
      break;
    case EVENT_ANSWER:
      answer (flow, event->target);
      break;
    }
}

static struct CfManifest *
manifest_new (CfMillis target_latency_ms)
{
  struct CfManifest *manifest = cf_manifest_new ();
  struct CfServiceTraits traits = { .name = g_quark_from_string ("s") };

  manifest->version = 1;
  manifest->flow_idle_ms = 15000;
  for (uint16_t port = 80; port <= 81; port++)
    {
      struct CfRouteEntry route = {
        .address = { .ip = SERVICE_IP, .port = port },
        .idempotent = port == 80,
        .priority = port == 81 ? 1 : 2,
        .target_latency_ms = target_latency_ms,
        .splits = { { .service = traits.name, .weight = 1 } },
        .split_count = 1,
      };

      g_array_append_val (manifest->routes, route);
    }
  g_array_append_val (manifest->services, traits);
  return manifest;
}

static void
add_upstreams (struct CfBalance *balance)
{
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char id[16];
      struct CfAnnouncement announcement = {
        .id = id,
        .tag = 1,
        .service = "s",
        .domain = i % 2 ? "b" : "a",
        .address = { .ip = 1, .port = 1 },
        .slots = SLOTS,
        .started = 1,
        .revision = 1,
      };

      g_snprintf (id, sizeof id, "i-%d", i);
      cf_directory_announce (cf_balance_directory (balance), &announcement, play->now);
    }
}

static void
play_new_with_target (uint32_t seed, bool enabled, CfMillis target_latency_ms)
{
  struct CfManifest *manifest = manifest_new (target_latency_ms);

  play = g_new0 (struct Play, 1);
  play->now = 10000;
  play->paused = -1;
  play->random = g_rand_new_with_seed (seed);
  play->events = g_sequence_new (g_free);
  play->flows = g_ptr_array_new_with_free_func (g_free);
  play->requests = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < UPSTREAMS; i++)
    g_queue_init (&play->upstreams[i].waiting);
  for (int i = 0; i < VMS; i++)
    {
      play->vms[i] = cf_balance_new (
          &(struct CfBalanceOptions){
              .domain = i % 2 ? "b" : "a",
              .seed = seed * VMS + (uint32_t) i,
              .flow_lifetime_ms = 60000,
              .admission = { .enabled = enabled,
                             .hold_share = 0.25,
                             .floor_share = 0.1,
                             .retry_share = 0.2,
                             .caller_prefix = 32 },
          },
          &outputs, NULL);
      cf_balance_manifest (play->vms[i], manifest);
      cf_balance_synced (play->vms[i], play->now);
      cf_balance_set_fleet_size (play->vms[i], VMS);
      cf_balance_set_domain_size (play->vms[i], VMS / 2);
      add_upstreams (play->vms[i]);
    }
  cf_manifest_free (manifest);
}

static void
play_new (uint32_t seed, bool enabled)
{
  play_new_with_target (seed, enabled, TARGET_LATENCY_MS);
}

static void
play_free (void)
{
  for (int i = 0; i < VMS; i++)
    cf_balance_free (play->vms[i]);
  for (int i = 0; i < UPSTREAMS; i++)
    g_queue_clear (&play->upstreams[i].waiting);
  g_sequence_free (play->events);
  g_ptr_array_unref (play->flows);
  g_ptr_array_unref (play->requests);
  g_rand_free (play->random);
  g_clear_pointer (&play, g_free);
}

/* Each VM's report reaches half of the others. */
static void
exchange_reports (void)
{
  for (int i = 0; i < VMS; i++)
    {
      struct CfLoadReport report = { .incarnation = 1 };

      if (!cf_balance_load_report (play->vms[i], &report, play->now))
        continue;
      play->reports++;
      g_snprintf (report.vm, sizeof report.vm, "vm-%d", i);
      g_strlcpy (report.domain, i % 2 ? "b" : "a", sizeof report.domain);
      report.sequence = (uint32_t) play->now;
      report.domain_vms = VMS / 2;
      for (int other = 0; other < VMS; other++)
        if (other != i && g_rand_boolean (play->random))
          cf_balance_receive_load (play->vms[other], &report, play->now);
    }
}

/* Returns how many requests come in this millisecond at a rate of PER_S. */
static int
arrivals (double per_s)
{
  double mean = per_s / CF_MS_PER_S;
  int whole = (int) mean;

  return whole + (g_rand_double (play->random) < mean - whole);
}

/* Runs what is due at VM, which must ask to be called again in time for each waiting packet. */
static void
tick (struct CfBalance *vm)
{
  CfMillis next = cf_balance_tick (vm, play->now);
  struct CfAdmissionControl *admission = cf_balance_admission (vm);

  if (admission)
    ck_assert_int_le (next, cf_admission_due (cf_admission_control_queue (admission)));
}

/* Lets new requests come until UNTIL: so many a second by domain and class. */
static void
run (CfMillis until, const double rate[2][2])
{
  for (; play->now < until; play->now++)
    {
      for (int i = 0; i < 4; i++)
        for (int due = arrivals (rate[i / 2][i % 2]); due > 0; due--)
          {
            struct Request *request = g_new0 (struct Request, 1);

            request->domain = i / 2;
            request->class = i % 2;
            request->ip = 0x64400000 + (uint32_t) g_rand_int_range (play->random, 0, 500);
            request->begun_at = play->now;
            g_ptr_array_add (play->requests, request);
            open_flow (request);
          }
      while (!g_sequence_is_empty (play->events))
        {
          GSequenceIter *first = g_sequence_get_begin_iter (play->events);
          struct Event event = *(struct Event *) g_sequence_get (first);

          if (event.at > play->now)
            break;
          g_sequence_remove (first);
          handle (&event);
        }
      for (int i = 0; i < VMS; i++)
        if (i != play->paused)
          tick (play->vms[i]);
      if (play->now % REPORT_MS == 0)
        exchange_reports ();
    }
}

/* Returns the part of the requests of CLASS from DOMAIN (-1: any), begun from FROM to TO, that were
 * served in time. */
static double
served (int class, int domain, CfMillis from, CfMillis to)
{
  double count = 0;
  double in_time = 0;

  for (guint i = 0; i < play->requests->len; i++)
    {
      const struct Request *request = play->requests->pdata[i];

      if (request->class != class || (domain >= 0 && request->domain != domain)
          || request->begun_at < from || request->begun_at >= to)
        continue;
      count++;
      in_time += request->served;
    }
  return count > 0 ? in_time / count : 1;
}

static const double idle[2][2] = { { 0 } };
static const double calm[2][2] = { { 60, 240 }, { 60, 240 } };

/* Rates at FACTOR times the capacity, a fifth of them urgent. */
static void
burst (double factor, double rate[2][2])
{
  for (int i = 0; i < 4; i++)
    rate[i / 2][i % 2] = factor * CAPACITY / 2 * (i % 2 == URGENT ? 0.2 : 0.8);
}

/* A burst beyond all slots: upstreams turned away urgent requests as readily as others, after these
 * had waited there, and callers tried again at once. */
START_TEST (test_burst_beyond_slots)
{
  const double factor = _i < 2 ? 1.3 : 2.0;
  double rate[2][2];
  double urgent;
  double usual;
  double before[2];
  uint32_t rejected;

  burst (factor, rate);
  play_new ((uint32_t) _i + 1, false);
  run (12000, calm);
  run (20000, rate);
  run (22000, idle);
  rejected = play->rejected;
  before[URGENT] = served (URGENT, -1, 13000, 20000);
  before[USUAL] = served (USUAL, -1, 13000, 20000);
  play_free ();
  play_new ((uint32_t) _i + 1, true);
  run (12000, calm);
  ck_assert_uint_eq (play->refused[USUAL], 0);
  run (20000, rate);
  run (22000, idle);
  urgent = served (URGENT, -1, 13000, 20000);
  usual = served (USUAL, -1, 13000, 20000);
  printf ("burst of %.1f times the slots: urgent %.3f (before %.3f), others %.3f (%.3f), turned "
          "away %u "
          "(before %u), refused %u and %u\n",
          factor, urgent, before[URGENT], usual, before[USUAL], play->rejected, rejected,
          play->refused[URGENT], play->refused[USUAL]);
  ck_assert_double_ge (urgent, 0.985);
  ck_assert_uint_lt (play->rejected, rejected / 3);
  ck_assert_double_ge (usual * 0.8 + urgent * 0.2, 0.9 / factor);
  ck_assert_uint_eq (play->inversions, 0);
  play_free ();
}
END_TEST

/* The end of a burst: an overload must not keep itself up. */
START_TEST (test_recovers_after_burst)
{
  double rate[2][2];

  burst (2.0, rate);
  play_new (7, true);
  run (12000, calm);
  run (16000, rate);
  run (20000, calm);
  run (22000, idle);
  ck_assert_uint_gt (play->refused[USUAL], 0);
  ck_assert_int_lt (play->last_refusal, 17000);
  ck_assert_double_ge (served (USUAL, -1, 17000, 20000), 0.999);
  play_free ();
}
END_TEST

/* The callers of one failure domain press: those of the other one lost their room to them. */
START_TEST (test_one_domain_presses)
{
  const double pressing[2][2] = { { 100, 300 }, { 400, 3600 } };

  play_new (3, true);
  run (12000, calm);
  run (18000, pressing);
  run (20000, idle);
  printf ("one domain presses: %.3f and %.3f of it, %.3f and %.3f of the other\n",
          served (URGENT, 1, 13000, 18000), served (USUAL, 1, 13000, 18000),
          served (URGENT, 0, 13000, 18000), served (USUAL, 0, 13000, 18000));
  ck_assert_double_ge (served (USUAL, 0, 13000, 18000), 0.95);
  ck_assert_double_ge (served (URGENT, 0, 13000, 18000), 0.985);
  play_free ();
}
END_TEST

/* Upstreams give small answers, too: VMs sent load reports for these without any load. */
START_TEST (test_small_answers_cause_no_reports)
{
  double rate[2][2];

  play_new (9, true);
  play->small_one_in = 10;
  run (12000, calm);
  ck_assert_uint_eq (play->reports, 0);
  burst (1.3, rate);
  run (13000, rate);
  ck_assert_uint_gt (play->reports, 0);
  run (16000, idle);
  play_free ();
}
END_TEST

/* Upstreams that turn requests away have no free slot: they were taken for failing ones, and a
 * third of the service was avoided. */
START_TEST (test_full_is_not_failing)
{
  double rate[2][2];

  burst (2.0, rate);
  play_new (4, true);
  run (12000, calm);
  run (13000, rate);
  for (; play->now < 18000; run (play->now + 10, rate))
    for (int i = 0; i < VMS; i++)
      for (int j = 0; j < UPSTREAMS; j++)
        {
          char id[16];

          g_snprintf (id, sizeof id, "i-%d", j);
          ck_assert (play->now < cf_directory_by_id (cf_balance_directory (play->vms[i]), id)
                                     ->quality.avoided_until
                         ? false
                         : true);
        }
  play_free ();
}
END_TEST

/* The network delivers first packets twice: the copy of one that an upstream had received was
 * refused.  The check is in reset. */
START_TEST (test_duplicate_is_not_refused)
{
  double rate[2][2];

  burst (2.0, rate);
  play_new (5, true);
  play->duplicates = true;
  run (12000, calm);
  run (14000, rate);
  ck_assert_uint_gt (play->refused[USUAL], 0);
  play_free ();
}
END_TEST

/* A VM with waiting packets is paused, and the fabric moves its flows to other VMs, which place the
 * retransmissions: when it ran again, it refused these flows.  The check is in reset. */
START_TEST (test_paused_vm_refuses_nothing)
{
  double rate[2][2];

  burst (2.0, rate);
  play_new (6, true);
  run (12000, calm);
  for (int i = 0; i < 10; i++)
    {
      play->paused = -1;
      run (play->now + 500, rate);
      play->paused = i % VMS;
      run (play->now + 300, rate);
    }
  ck_assert_int_gt (play->longest_hold, 250);
  play_free ();
}
END_TEST

/* VMs that were paused during an overload: they refused first packets that had waited meanwhile,
 * whose callers had sent them again to another VM, where the flows were open. */
START_TEST (test_pause)
{
  double rate[2][2];
  uint32_t refused;

  burst (2.0, rate);
  play_new (5, true);
  run (12000, calm);
  run (14000, rate);
  refused = play->refused[USUAL];
  ck_assert_uint_gt (refused, 0);
  for (int i = 0; i < 400; i++)
    {
      struct Request *request = g_new0 (struct Request, 1);

      *request = (struct Request){ .class = USUAL, .domain = i % 2, .ip = 0x64400000 + i };
      g_ptr_array_add (play->requests, request);
      open_flow (request);
    }
  play->now += 200;
  run (play->now + 1, idle);
  ck_assert_uint_eq (play->refused[USUAL], refused);
  run (15000, rate);
  ck_assert_uint_gt (play->refused[USUAL], refused);
  play_free ();
}
END_TEST

/* Callers retransmit after 200 ms, maybe to another VM: a packet that was held for longer was
 * refused, although its retransmission had been sent to an upstream. */
START_TEST (test_hold_ends_before_retransmission)
{
  double rate[2][2];

  burst (1.3, rate);
  play_new_with_target (8, true, 4 * TARGET_LATENCY_MS);
  run (12000, calm);
  run (14000, rate);
  ck_assert_int_gt (play->longest_hold, 0);
  ck_assert_int_lt (play->longest_hold, 200);
  play_free ();
}
END_TEST

/* An overload that ends while packets wait: they waited on, since the tick that released them
 * asked to be called again too late.  The check is in tick. */
START_TEST (test_release_is_resumed_at_once)
{
  double rate[2][2];

  burst (2.0, rate);
  play_new (9, true);
  run (12000, calm);
  run (13000, rate);
  for (int i = 0; i < 20; i++)
    {
      run (play->now + 500, rate);
      for (int vm = 0; vm < VMS; vm++)
        *cf_admission_spill (cf_balance_admission (play->vms[vm]), g_quark_from_string ("s"))
            = (struct CfSpill){ .near_usual = { 100, 2000, play->now },
                                .near_recent = { 100, 2000, play->now },
                                .near_answered_at = play->now };
    }
  play_free ();
}
END_TEST

/* A VM that starts amid an overload refused first packets that had waited for the store, although
 * their callers had retransmitted them to other VMs.  The check is in reset. */
START_TEST (test_start_refuses_nothing_old)
{
  const struct CfBalanceOptions options = {
    .domain = "a",
    .seed = 1,
    .flow_lifetime_ms = 60000,
    .admission = { .enabled = true, .hold_share = 0.25, .caller_prefix = 32 },
  };
  struct CfManifest *manifest = manifest_new (TARGET_LATENCY_MS);
  struct CfBalance *old;
  double rate[2][2];

  burst (2.0, rate);
  play_new (10, true);
  run (12000, calm);
  run (14000, rate);
  old = play->vms[0]; /* flows refer to its upstreams */
  play->vms[0] = cf_balance_new (&options, &outputs, NULL);
  cf_balance_set_fleet_size (play->vms[0], VMS);
  cf_balance_set_domain_size (play->vms[0], VMS / 2);
  run (14500, rate);
  play->paused = 0; /* as the fabric sees it: it does not receive retransmissions */
  run (14800, rate);
  cf_balance_manifest (play->vms[0], manifest);
  add_upstreams (play->vms[0]);
  cf_balance_synced (play->vms[0], play->now);
  cf_balance_tick (play->vms[0], play->now);
  cf_manifest_free (manifest);
  play_free ();
  cf_balance_free (old);
}
END_TEST

/* A route whose splits all have weight 0 leads to no service: its first packet crashed a VM that
 * had a load report. */
START_TEST (test_route_without_service)
{
  struct CfManifest *manifest = manifest_new (TARGET_LATENCY_MS);
  struct Request request = { .class = USUAL };
  double rate[2][2];

  burst (2.0, rate);
  play_new (11, true);
  run (12000, calm);
  run (14000, rate);
  manifest->version = 2;
  for (guint i = 0; i < manifest->routes->len; i++)
    g_array_index (manifest->routes, struct CfRouteEntry, i).splits[0].weight = 0;
  cf_balance_manifest (play->vms[0], manifest);
  cf_balance_synced (play->vms[0], play->now);
  open_flow (&request);
  ((struct Flow *) play->flows->pdata[play->flows->len - 1])->vm = 0;
  play->refused[USUAL] = 0;
  send (play->flows->pdata[play->flows->len - 1], 'S', CF_SEGMENT_SYN, 0, 0, 0);
  ck_assert_uint_eq (play->refused[USUAL], 1);
  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  exchange_reports ();
  cf_manifest_free (manifest);
  play_free ();
}
END_TEST

static struct CfUsableRoom
two_slots (void *context, GQuark service, CfMillis now)
{
  (void) context;
  (void) service;
  (void) now;
  return (struct CfUsableRoom){ .slots = 2, .progress_share = 1 };
}

/* A service without new flows, but with requests on open ones: the occupancy of its last new flow
 * remained, so that errors counted as rejections and the upstream was not avoided. */
START_TEST (test_old_occupancy_hides_no_failure)
{
  const struct CfAdmissionEvents events = { .room = two_slots };
  const struct CfAdmissionOptions options = { .enabled = true, .caller_prefix = 32 };
  const struct CfRouteEntry route = { .target_latency_ms = TARGET_LATENCY_MS };
  const struct CfSegment segment = { .caller = { .ip = 1, .port = 1 } };
  const GQuark service = g_quark_from_string ("s");
  struct CfAdmissionControl *control
      = cf_admission_control_new (&options, g_quark_from_string ("a"), &events, NULL);

  for (int i = 0; i < 8; i++)
    cf_admission_record_progress (control, service, true, 10000);
  cf_admission_record_flow (control, service, &route, &segment, 11000);
  ck_assert (cf_admission_record_answer (control, service, 1, true, 11000));
  for (int i = 0; i < 8; i++)
    cf_admission_record_progress (control, service, false, 11000);
  ck_assert (!cf_admission_record_answer (control, service, 1, true, 20000));
  cf_admission_control_free (control);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");

  suite_add_loop (suite, test_burst_beyond_slots, 4);
  suite_add_loop (suite, test_recovers_after_burst, 1);
  suite_add_loop (suite, test_one_domain_presses, 1);
  suite_add_loop (suite, test_small_answers_cause_no_reports, 1);
  suite_add_loop (suite, test_full_is_not_failing, 1);
  suite_add_loop (suite, test_duplicate_is_not_refused, 1);
  suite_add_loop (suite, test_paused_vm_refuses_nothing, 1);
  suite_add_loop (suite, test_hold_ends_before_retransmission, 1);
  suite_add_loop (suite, test_release_is_resumed_at_once, 1);
  suite_add_loop (suite, test_old_occupancy_hides_no_failure, 1);
  suite_add_loop (suite, test_start_refuses_nothing_old, 1);
  suite_add_loop (suite, test_route_without_service, 1);
  suite_add_loop (suite, test_pause, 1);
  return suite_run (suite);
}
