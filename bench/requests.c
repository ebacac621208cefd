#include "bench.h"
#include "balance/balance.h"
#include "platform/datagram.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/* Time that a VM takes for a whole request with flow cookies: the first packet, the data, the
 * acknowledgement of the answer and the end of the flow. */

#ifndef REQUESTS
#define REQUESTS 20000
#endif
#define WARM_UP_REQUESTS 1000
#define CALLERS 30000
/* Between two requests of a service at one of 76 VMs that get 1,800 a second. */
#define INTERVAL_MS 40
#define WAIT_MS 15       /* mean wait for an answer */
#define WAIT_RANGE_MS 11 /* from the shortest to the longest */
#define SLOW_FACTOR 6    /* of the answers of slow upstreams */
#define SLOW_ONE_IN 10   /* upstreams, where some are slow */
#define DATA_BYTES 100
#define ANSWER_BYTES 1000
/* Other work between two requests leaves nothing of the balancer in a core's own caches. */
#define EVICTED_BYTES (4 << 20)

#define WIRE_SYN 64
#define WIRE_ACK 2
#define WIRE_FIN 16
#define AT_DATA_LEN 1
#define AT_ACK 24

struct Scenario
{
  const char *name;
  bool overload; /* control is enabled; nothing is overloaded */
  bool slow;     /* one in SLOW_ONE_IN upstreams is slow */
};

struct Run
{
  struct CfBalance *balance;
  CfMillis now;
  double time_ns; /* spent in the balancer */
};

static const struct CfTarget *chosen; /* by the last first packet */
static uint8_t out[CF_SEGMENT_MAX + 8];
static uint8_t evicted[EVICTED_BYTES];

static double
monotonic_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e9 + (double) now.tv_nsec;
}

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  (void) context;
  chosen = target;
  cf_platform_codec.wrap (bytes, size, target->tag, target->cookie, out);
}

static void
hand_on (void *context, const struct CfSegment *segment, uint32_t ip)
{
  (void) context;
  (void) segment;
  (void) ip;
}

static void
reset (void *context, const struct CfSegment *segment)
{
  (void) context;
  (void) segment;
}

static const struct CfBalanceOutputs outputs = {
  .forward = forward,
  .hand_on = hand_on,
  .reset = reset,
};

/* The balancer handles a packet of CALLER with DATA bytes that acknowledges ACK bytes. */
static void
receive_packet (struct Run *run, uint32_t caller, uint8_t flags, uint8_t data, uint16_t ack)
{
  uint8_t packet[BENCH_HEADER_BYTES + DATA_BYTES] = { 0 };
  struct CfSegment segment;
  double begun;

  bench_build_packet (packet, caller, flags, flags == WIRE_SYN ? 0 : chosen->cookie);
  packet[AT_DATA_LEN] = data;
  packet[AT_ACK + 2] = (uint8_t) (ack >> 8);
  packet[AT_ACK + 3] = (uint8_t) ack;
  begun = monotonic_ns ();
  if (cf_platform_codec.parse (packet, BENCH_HEADER_BYTES + data, &segment))
    cf_balance_segment (run->balance, &segment, run->now);
  cf_balance_tick (run->balance, run->now);
  run->time_ns += monotonic_ns () - begun;
}

static void
run_request (struct Run *run, uint32_t number, bool slow)
{
  uint32_t caller = number % CALLERS;
  CfMillis begun = run->now;
  CfMillis wait = WAIT_MS - WAIT_RANGE_MS / 2 + number * 7 % WAIT_RANGE_MS;

  receive_packet (run, caller, WIRE_SYN, 0, 0);
  if (slow && chosen->tag % SLOW_ONE_IN == 1)
    wait *= SLOW_FACTOR;
  run->now++;
  receive_packet (run, caller, WIRE_ACK, DATA_BYTES, 0);
  run->now += wait;
  receive_packet (run, caller, WIRE_ACK, 0, ANSWER_BYTES);
  receive_packet (run, caller, WIRE_FIN | WIRE_ACK, 0, ANSWER_BYTES);
  run->now = MAX (begun + INTERVAL_MS, run->now);
}

/* Returns the time in ns of a request, with caches that hold nothing of the balancer if COLD. */
static double
request_time (const struct Scenario *scenario, uint32_t upstreams, bool cold)
{
  struct CfBalanceOptions options = {
    .domain = "a",
    .seed = 1,
    .admission = { .enabled = scenario->overload,
                   .hold_share = 0.25,
                   .floor_share = 0.1,
                   .retry_share = 0.2,
                   .caller_prefix = 32 },
  };
  struct Run run = { .balance = bench_new_balance (&options, &outputs, upstreams), .now = 1 };

  for (uint32_t i = 0; i < WARM_UP_REQUESTS; i++)
    run_request (&run, i, scenario->slow);
  run.time_ns = 0;
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      if (cold)
        memset (evicted, (int) i, sizeof evicted);
      run_request (&run, i, scenario->slow);
    }
  cf_balance_free (run.balance);
  return run.time_ns / REQUESTS;
}

void
bench_requests (void)
{
  static const struct Scenario scenarios[] = {
    { .name = "off" },
    { .name = "on, all upstreams alike", .overload = true },
    { .name = "on, some upstreams slow", .overload = true, .slow = true },
  };
  static const uint32_t sizes[] = { 15, 150, 1500 };

  printf ("whole request with a flow cookie, no overload\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (scenarios); j++)
      printf ("  %u upstreams, overload control %s: %.0f ns, %.0f ns with cold caches\n", sizes[i],
              scenarios[j].name, request_time (&scenarios[j], sizes[i], false),
              request_time (&scenarios[j], sizes[i], true));
}
