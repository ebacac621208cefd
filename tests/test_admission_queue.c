#include "balance/admission_queue.h"
#include "balance/load_report.h"
#include "suite.h"

#include <math.h>

/* Token buckets and waiting first packets, on virtual time. */

#define HOLD_MS 100
#define URGENT 1
#define OTHER 2

static GQuark
service (void)
{
  return g_quark_from_static_string ("s");
}

static struct CfEndpoint
caller (uint32_t flow)
{
  return (struct CfEndpoint){ .ip = flow, .port = 1000 };
}

static const struct CfEndpoint address = { .ip = 9, .port = 443 };

/* Requests the admission of FLOW at RATE tokens a second, of which the part ADMITTED is admitted.
 */
static enum CfAdmission
request (struct CfAdmissionQueue *queue,
         uint32_t flow,
         uint32_t priority,
         double rate,
         double admitted,
         CfMillis now)
{
  const uint8_t bytes[CF_ADMISSION_BYTES_MAX] = { (uint8_t) flow };
  const struct CfSegment segment = {
    .caller = caller (flow),
    .service = address,
    .bytes = bytes,
    .size = sizeof bytes,
  };

  return cf_admission_request (queue,
                               &(struct CfAdmissionRequest){
                                   .segment = &segment,
                                   .service = service (),
                                   .priority = priority,
                                   .rate = rate,
                                   .admitted = admitted,
                                   .caller_use = (double) (flow - flow % 100),
                                   .hold_ms = HOLD_MS,
                               },
                               now);
}

/* Returns the flow that leaves the queue at NOW with END, 0 if none does. */
static uint32_t
next (struct CfAdmissionQueue *queue, enum CfAdmissionEnd end, CfMillis now)
{
  struct CfAdmissionResult result;
  enum CfAdmissionEnd ended = cf_admission_next (queue, &result, now);

  if (ended == CF_ADMISSION_END_NONE)
    return 0;
  ck_assert_int_eq (ended, end);
  ck_assert_ptr_eq (result.segment.bytes, result.bytes);
  ck_assert_uint_eq (result.bytes[0], (uint8_t) result.segment.caller.ip);
  ck_assert_uint_eq (result.service, service ());
  return result.segment.caller.ip;
}

/* Guards against admissions above the rate, bursts of tokens after a quiet time or a pause of this
 * VM, and a rate that is no number. */
START_TEST (test_rate)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  uint32_t placed = 0;
  uint32_t flow = 0;

  for (CfMillis now = 1000; now < 6000; now++)
    {
      placed += request (queue, ++flow, OTHER, 100, 0.1, now) == CF_ADMISSION_PLACE;
      while (next (queue, CF_ADMISSION_END_PLACE, now))
        placed++;
    }
  ck_assert_uint_ge (placed, 495);
  ck_assert_uint_le (placed, 506);
  cf_admission_release (queue, service (), 6000);
  while (next (queue, CF_ADMISSION_END_PLACE, 6000))
    ;
  request (queue, ++flow, OTHER, 100, 0.1, 7000);
  placed = 0;
  for (int i = 0; i < 20; i++)
    placed += request (queue, ++flow, OTHER, 100, 0.1, 10000) == CF_ADMISSION_PLACE;
  ck_assert_uint_eq (placed, 100 * CF_ADMISSION_BURST_MS / 1000);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (request (queue, ++flow, 3, (double[]){ NAN, INFINITY, -1 }[i], 0.1, 11000),
                      i == 0 ? CF_ADMISSION_PLACE : CF_ADMISSION_REFUSE);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against flows that are held although no token can come in time, held for longer than their
 * hold time, or not woken in time. */
START_TEST (test_hold)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();

  ck_assert_int_eq (cf_admission_due (queue), G_MAXINT64);
  ck_assert_int_eq (request (queue, 1, OTHER, 20, 0.1, 1000), CF_ADMISSION_PLACE);
  ck_assert_int_eq (request (queue, 2, OTHER, 20, 0.1, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 3, OTHER, 20, 0.1, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 4, OTHER, 20, 0.1, 1000), CF_ADMISSION_REFUSE);
  ck_assert_uint_eq (cf_admission_waiting (queue), 2);
  ck_assert_int_eq (cf_admission_due (queue), 1050);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1049), 0);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1050), 2);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1050), 0);
  /* This VM was paused: the hold time has passed, so the token that came is not used. */
  ck_assert_int_eq (cf_admission_due (queue), 1100);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_EXPIRED, 1400), 3);
  /* The rate falls while a flow waits. */
  ck_assert_int_eq (request (queue, 5, OTHER, 20, 0.1, 1400), CF_ADMISSION_PLACE);
  ck_assert_int_eq (request (queue, 6, OTHER, 20, 0.1, 1400), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 7, OTHER, 1, 0.1, 1401), CF_ADMISSION_REFUSE);
  ck_assert_int_eq (cf_admission_due (queue), 1500);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_EXPIRED, 1500), 6);
  ck_assert_int_eq (cf_admission_due (queue), G_MAXINT64);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against less urgent flows, or callers that have had more, that are served first, and flows
 * of one caller out of order. */
START_TEST (test_order)
{
  const uint32_t flows[] = { 801, 201, 202, 1 };
  const uint32_t expected[] = { 901, 1, 201, 202, 801 };
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();

  ck_assert_int_eq (request (queue, 2, OTHER, 100, 0.1, 1000), CF_ADMISSION_PLACE);
  while (request (queue, 3, OTHER, 100, 0.1, 1000) == CF_ADMISSION_PLACE)
    ;
  cf_admission_forget (queue, caller (3), address);
  ck_assert_int_eq (request (queue, 900, URGENT, 15, 0.1, 1000), CF_ADMISSION_PLACE);
  for (guint i = 0; i < G_N_ELEMENTS (flows); i++)
    ck_assert_int_eq (request (queue, flows[i], OTHER, 100, 0.1, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 901, URGENT, 15, 0.1, 1000), CF_ADMISSION_HELD);
  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1067), expected[i]);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1067), 0);
  cf_admission_queue_free (queue);
}
END_TEST

/* A VM with few tokens, random arrivals and room for all urgent flows.  Guards against urgent flows
 * that are refused while less urgent ones are placed, and less urgent ones that get more than is
 * left. */
START_TEST (test_inversion)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  GRand *random = g_rand_new_with_seed ((uint32_t) _i + 1);
  uint32_t placed[CF_LOAD_PRIORITIES] = { 0 };
  uint32_t asked[CF_LOAD_PRIORITIES] = { 0 };
  uint32_t flow = 0;

  for (CfMillis now = 1000; now < 101000; now++)
    {
      struct CfAdmissionResult result;

      for (uint32_t i = URGENT; i <= OTHER; i++)
        if (g_rand_double (random) < (i == URGENT ? 0.005 : 0.030))
          {
            asked[i]++;
            placed[i] += request (queue, ++flow, i, i == URGENT ? 5 : 6, i == URGENT ? 1 : 0.2, now)
                         == CF_ADMISSION_PLACE;
          }
      while (cf_admission_next (queue, &result, now) == CF_ADMISSION_END_PLACE)
        placed[result.priority]++;
    }
  printf ("placed %u of %u urgent and %u of %u other flows, %d tokens\n", placed[URGENT],
          asked[URGENT], placed[OTHER], asked[OTHER], 1100);
  ck_assert_double_ge (placed[URGENT], 0.985 * asked[URGENT]);
  ck_assert_uint_le (placed[URGENT] + placed[OTHER], 1100 * 103 / 100);
  ck_assert_uint_ge (placed[URGENT] + placed[OTHER], 1100 * 90 / 100);
  g_rand_free (random);
  cf_admission_queue_free (queue);
}
END_TEST

/* All flows of this VM are admitted whole, while other failure domains are cut.  Guards against
 * refusals by chance clusters of flows when no other priority pays for them. */
START_TEST (test_no_payer)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  GRand *random = g_rand_new_with_seed (7);
  uint32_t placed = 0;
  uint32_t flow = 0;

  for (CfMillis now = 1000; now < 201000; now++)
    {
      placed += g_rand_double (random) < 0.003
                && request (queue, ++flow, OTHER, 3, 1, now) == CF_ADMISSION_PLACE;
      while (next (queue, CF_ADMISSION_END_PLACE, now))
        placed++;
    }
  printf ("placed %u of %u flows\n", placed, flow);
  ck_assert_double_ge (placed, 0.985 * flow);
  g_rand_free (random);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against an urgent priority above the room that takes the floor of another one. */
START_TEST (test_floor_is_kept)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  uint32_t placed[CF_LOAD_PRIORITIES] = { 0 };
  uint32_t flow = 0;

  while (request (queue, ++flow, URGENT, 90, 0.3, 1000) == CF_ADMISSION_PLACE)
    ;
  ck_assert_int_eq (request (queue, ++flow, OTHER, 10, 0.3, 1000), CF_ADMISSION_PLACE);
  for (CfMillis now = 1000; now < 6000; now++)
    {
      struct CfAdmissionResult result;

      for (uint32_t i = URGENT; i <= OTHER; i++)
        placed[i]
            += request (queue, ++flow, i, i == URGENT ? 90 : 10, 0.3, now) == CF_ADMISSION_PLACE;
      while (cf_admission_next (queue, &result, now) == CF_ADMISSION_END_PLACE)
        placed[result.priority]++;
    }
  ck_assert_uint_ge (placed[OTHER], 47);
  ck_assert_uint_le (placed[OTHER], 53);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against tokens that are lost when a more urgent priority has no use for them, and a rate
 * that is used after its time. */
START_TEST (test_unused_tokens)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  uint32_t placed[2] = { 0 };

  ck_assert_int_eq (request (queue, 1, URGENT, 100, 1, 1000), CF_ADMISSION_PLACE);
  for (CfMillis now = 1000; now < 4100; now++)
    {
      placed[now >= 2100]
          += request (queue, (uint32_t) now, OTHER, 1, 0.1, now) == CF_ADMISSION_PLACE;
      while (next (queue, CF_ADMISSION_END_PLACE, now))
        placed[now >= 2100]++;
    }
  ck_assert_uint_ge (placed[0], 90);
  ck_assert_uint_le (placed[1], 4);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against a standing queue, by which each flow waits for the whole hold time although no
 * more of them are admitted. */
START_TEST (test_standing_queue)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  CfMillis waited[2] = { 0 };
  uint32_t placed[2] = { 0 };
  uint32_t flow = 0;

  for (CfMillis now = 1000; now < 4000; now++)
    {
      struct CfAdmissionResult result;

      request (queue, ++flow, OTHER, 200, 0.2, now);
      while (cf_admission_next (queue, &result, now) == CF_ADMISSION_END_PLACE)
        {
          waited[now >= 1700] += result.waited;
          placed[now >= 1700]++;
        }
    }
  printf ("mean wait %.0f ms at first, %.0f ms in a standing queue\n",
          (double) waited[0] / placed[0], (double) waited[1] / placed[1]);
  ck_assert_int_ge (waited[0] / placed[0], HOLD_MS / 2);
  ck_assert_int_le (waited[1] / placed[1], HOLD_MS / CF_ADMISSION_STANDING_DIVISOR);
  ck_assert_uint_ge (placed[1], 200 * 23 / 10 * 95 / 100);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against memory that grows without bound, and urgent flows that a queue full of others
 * keeps out. */
START_TEST (test_full)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();
  const uint8_t bytes[CF_ADMISSION_BYTES_MAX + 1] = { 0 };
  const struct CfSegment segment
      = { .caller = caller (1), .service = address, .bytes = bytes, .size = sizeof bytes };
  struct CfAdmissionRequest too_long = {
    .segment = &segment, .service = service (), .priority = OTHER, .rate = 10000, .hold_ms = HOLD_MS
  };
  enum CfAdmission result = CF_ADMISSION_PLACE;
  uint32_t flow = 1;
  uint32_t least;

  request (queue, ++flow, 3, 20, 0.5, 1000);
  ck_assert_int_eq (request (queue, ++flow, 3, 20, 0.5, 1000), CF_ADMISSION_HELD);
  least = flow;
  while (result == CF_ADMISSION_PLACE)
    result = request (queue, ++flow, OTHER, 10000, 0.5, 1000);
  ck_assert_int_eq (cf_admission_request (queue, &too_long, 1000), CF_ADMISSION_FULL);
  while (cf_admission_waiting (queue) < CF_ADMISSION_QUEUE_MAX)
    ck_assert_int_eq (request (queue, ++flow, OTHER, 10000, 0.5, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, ++flow, 3, 10000, 0.5, 1000), CF_ADMISSION_FULL);
  request (queue, ++flow, URGENT, 10000, 0.5, 1000);
  result = CF_ADMISSION_PLACE;
  while (result == CF_ADMISSION_PLACE)
    result = request (queue, ++flow, URGENT, 10000, 0.5, 1000);
  for (int i = 0; i < CF_ADMISSION_DISPLACED_MAX; i++)
    {
      ck_assert_int_eq (result, CF_ADMISSION_HELD);
      result = request (queue, ++flow, URGENT, 10000, 0.5, 1000);
    }
  ck_assert_int_eq (result, CF_ADMISSION_FULL);
  ck_assert_uint_eq (cf_admission_waiting (queue),
                     CF_ADMISSION_QUEUE_MAX + CF_ADMISSION_DISPLACED_MAX);
  ck_assert_int_eq (cf_admission_due (queue), 0);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_EXPIRED, 1000), least);
  for (int i = 1; i < CF_ADMISSION_DISPLACED_MAX; i++)
    ck_assert_uint_ne (next (queue, CF_ADMISSION_END_EXPIRED, 1000), 0);
  ck_assert_int_eq (request (queue, ++flow, URGENT, 10000, 0.5, 1000), CF_ADMISSION_HELD);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against a retransmission that is queued twice, loses the place of its flow or takes a
 * token beside it, and a packet that is sent on after its flow was opened elsewhere. */
START_TEST (test_same_flow)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();

  ck_assert_int_eq (request (queue, 1, OTHER, 20, 0.1, 1000), CF_ADMISSION_PLACE);
  ck_assert_int_eq (request (queue, 2, OTHER, 20, 0.1, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 3, OTHER, 20, 0.1, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 2, OTHER, 20, 0.1, 1060), CF_ADMISSION_HELD);
  ck_assert_uint_eq (cf_admission_waiting (queue), 2);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1060), 2);
  cf_admission_forget (queue, caller (3), address);
  cf_admission_forget (queue, caller (4), address);
  ck_assert_uint_eq (cf_admission_waiting (queue), 0);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1100), 0);
  cf_admission_queue_free (queue);
}
END_TEST

/* Guards against flows that wait on after the overload has ended. */
START_TEST (test_release)
{
  struct CfAdmissionQueue *queue = cf_admission_queue_new ();

  ck_assert_int_eq (request (queue, 1, OTHER, 20, 0.1, 1000), CF_ADMISSION_PLACE);
  ck_assert_int_eq (request (queue, 2, OTHER, 20, 0.1, 1000), CF_ADMISSION_HELD);
  ck_assert_int_eq (request (queue, 3, OTHER, 20, 0.1, 1000), CF_ADMISSION_HELD);
  cf_admission_release (queue, g_quark_from_static_string ("other"), 1001);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1001), 0);
  cf_admission_release (queue, service (), 1001);
  ck_assert_int_eq (cf_admission_due (queue), 0);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1001), 2);
  cf_admission_forget (queue, caller (3), address);
  ck_assert_uint_eq (next (queue, CF_ADMISSION_END_PLACE, 1001), 0);
  cf_admission_queue_free (queue);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission queue");

  suite_add_loop (suite, test_rate, 1);
  suite_add_loop (suite, test_hold, 1);
  suite_add_loop (suite, test_order, 1);
  suite_add_loop (suite, test_inversion, 4);
  suite_add_loop (suite, test_no_payer, 1);
  suite_add_loop (suite, test_floor_is_kept, 1);

  suite_add_loop (suite, test_unused_tokens, 1);
  suite_add_loop (suite, test_standing_queue, 1);
  suite_add_loop (suite, test_full, 1);
  suite_add_loop (suite, test_same_flow, 1);
  suite_add_loop (suite, test_release, 1);
  return suite_run (suite);
}
