#include "bench.h"
#include "balance/balance.h"
#include "platform/datagram.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

/* Time to route a packet where packets carry flow cookies. */

#define PACKETS 200000
#define CALLERS 30000 /* distinct flows, opened and closed in turn */

static double
monotonic_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double) now.tv_sec * 1e9 + (double) now.tv_nsec;
}

static uint8_t out[CF_SEGMENT_MAX + 8];

static void
forward (void *context, const uint8_t *bytes, size_t size, const struct CfTarget *target)
{
  (void) context;
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

struct CfBalance *
bench_new_balance (const struct CfBalanceOptions *options,
                   const struct CfBalanceOutputs *callbacks,
                   uint32_t upstreams)
{
  struct CfBalance *balance = cf_balance_new (options, callbacks, NULL);
  struct CfManifest *manifest = cf_manifest_new ();
  struct CfRouteEntry route = {
    .address = { .ip = 0xc6120001, .port = 80 },
    .splits = { { .service = g_quark_from_string ("s"), .weight = 1 } },
    .split_count = 1,
  };

  manifest->version = 1;
  g_array_append_val (manifest->routes, route);
  cf_balance_manifest (balance, manifest);
  cf_manifest_free (manifest);
  cf_balance_synced (balance, 1);
  for (uint32_t i = 0; i < upstreams; i++)
    {
      char id[16];
      struct CfAnnouncement announcement = {
        .id = id,
        .tag = i,
        .service = "s",
        .domain = i % 2 ? "a" : "b",
        .slots = 2,
        .revision = 1,
      };

      g_snprintf (id, sizeof id, "i-%x", i);
      cf_directory_announce (cf_balance_directory (balance), &announcement, 1);
    }
  return balance;
}

static struct CfBalance *
build_balance (uint32_t upstreams)
{
  return bench_new_balance (&(struct CfBalanceOptions){ .domain = "a", .seed = 1 }, &outputs,
                            upstreams);
}

void
bench_build_packet (uint8_t *packet, uint32_t caller, uint8_t flags, uint32_t cookie)
{
  memset (packet, 0, BENCH_HEADER_BYTES);
  packet[2] = flags;
  packet[4] = 0xc6;
  packet[5] = 0x12;
  packet[7] = 1;
  packet[8] = (uint8_t) (caller >> 8);
  packet[9] = (uint8_t) caller;
  packet[10] = 100;
  packet[15] = 80;
  for (int i = 0; i < 4; i++)
    packet[28 + i] = (uint8_t) (cookie >> (24 - 8 * i));
}

static void
receive_packet (struct CfBalance *balance, uint32_t caller, uint8_t flags, uint32_t cookie)
{
  uint8_t packet[BENCH_HEADER_BYTES];
  struct CfSegment segment;

  bench_build_packet (packet, caller, flags, cookie);
  if (cf_platform_codec.parse (packet, sizeof packet, &segment))
    cf_balance_segment (balance, &segment, 1);
}

/* Returns the time in ns to construct, parse, route and encapsulate a later packet of a flow. */
static double
later_packet_time (uint32_t upstreams)
{
  struct CfBalance *balance = build_balance (upstreams);
  uint32_t cookie = cf_cookie ("i-1");
  double time_ns = monotonic_ns ();

  for (uint32_t i = 0; i < PACKETS; i++)
    receive_packet (balance, i % CALLERS, 2, cookie);
  time_ns = monotonic_ns () - time_ns;
  cf_balance_free (balance);
  return time_ns / PACKETS;
}

/* Returns the time in ns of a first packet together with the packet that closes its flow. */
static double
first_packet_time (uint32_t upstreams)
{
  struct CfBalance *balance = build_balance (upstreams);
  uint32_t cookie = cf_cookie ("i-1");
  double time_ns = monotonic_ns ();

  for (uint32_t i = 0; i < PACKETS; i++)
    {
      receive_packet (balance, i % CALLERS, 64, 0);
      receive_packet (balance, i % CALLERS, 16, cookie);
    }
  time_ns = monotonic_ns () - time_ns;
  cf_balance_free (balance);
  return time_ns / PACKETS;
}

void
bench_cookies (double gue_later, double gue_first)
{
  static const uint32_t sizes[] = { 15, 150, 1500 };
  double later = later_packet_time (15);

  printf ("with a flow cookie: later packet %.0f ns (x%.2f of GUE's %.0f ns)\n", later,
          later / gue_later, gue_later);
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      double first = first_packet_time (sizes[i]);

      printf ("  first packet and end of its flow, %u upstreams of the service: %.0f ns", sizes[i],
              first);
      if (i == 0)
        printf (" (x%.2f of GUE's first packet)", first / gue_first);
      printf ("\n");
    }
  bench_bound ("later packet with a cookie, ratio to GUE", later / gue_later, 1);
}
