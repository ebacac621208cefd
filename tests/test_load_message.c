#include "feed/gossip.h"
#include "feed/load_message.h"
#include "suite.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Load reports as datagrams. */

/* Fills REPORT as far as it goes, with names of NAME_LEN bytes and whole thousandths. */
static void
fill (struct CfLoadReport *report, size_t name_len)
{
  *report = (struct CfLoadReport){
    .incarnation = UINT64_MAX - 1,
    .sequence = 7,
    .domain_vms = 19,
    .service_count = CF_LOAD_SERVICES_MAX,
    .line_count = CF_LOAD_LINES_MAX,
  };
  memset (report->vm, 'v', name_len);
  memset (report->domain, 'd', name_len);
  for (int i = 0; i < CF_LOAD_SERVICES_MAX; i++)
    {
      report->services[i].counts = (struct CfLoadCounts){
        .demand = { 1.5, 2, 3, 4 + i },
        .answered = 17.125,
        .usual = 0.001,
        .shed = 0.5,
        .in_progress = 3,
      };
      memset (report->services[i].name, 'a' + i, name_len);
    }
  for (int i = 0; i < CF_LOAD_LINES_MAX; i++)
    report->lines[i] = (struct CfLoadLine){ UINT32_MAX - (uint32_t) i, 0.5 * i, 0.01 + i };
}

/* Encodes and decodes REPORT into BACK.  Returns the length of the datagram, 0 if it is rejected.
 */
static size_t
transfer (const struct CfLoadReport *report, struct CfLoadReport *back)
{
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  size_t len = cf_load_message_encode (report, buffer, sizeof buffer);
  struct feed_datagram datagram;

  ck_assert (cf_gossip_decode (buffer, len, &datagram));
  ck_assert_int_eq (datagram.kind, FEED_LOADS);
  if (!cf_load_message_read (&datagram.feed_datagram_u.loads, back))
    len = 0;
  cf_gossip_clear (&datagram);
  return len;
}

/* A field that is lost or swapped on the way would silently distort every sum; more than 600 bytes
 * with names of usual length would exceed the bandwidth planned for control. */
START_TEST (test_round_trip)
{
  struct CfLoadReport report;
  struct CfLoadReport back;
  size_t len;

  fill (&report, 16);
  len = transfer (&report, &back);
  printf ("the largest load report with names of 16 bytes: %zu bytes\n", len);
  ck_assert_uint_gt (len, 0);
  ck_assert_uint_le (len, 600);
  ck_assert_mem_eq (&back, &report, sizeof back);
  /* The longest names. */
  fill (&report, CF_LOAD_NAME_MAX - 1);
  ck_assert_uint_gt (transfer (&report, &back), 0);
  ck_assert_mem_eq (&back, &report, sizeof back);
}
END_TEST

/* What a VM miscounts is sent within the bounds: others would drop its whole report.  A report
 * without a name belongs to no VM. */
START_TEST (test_clamped)
{
  struct CfLoadReport report;
  struct CfLoadReport back;

  fill (&report, 5);
  report.domain_vms = 0;
  report.services[0].counts.answered = INFINITY;
  report.services[0].counts.shed = NAN;
  report.services[0].counts.in_progress = -1;
  report.lines[0].pace = 0;
  report.lines[1].pace = 1e9;
  ck_assert_uint_gt (transfer (&report, &back), 0);
  ck_assert_uint_eq (back.domain_vms, 1);
  ck_assert_double_eq (back.services[0].counts.answered, CF_LOAD_RATE_MAX);
  ck_assert_double_eq (back.services[0].counts.shed + back.services[0].counts.in_progress, 0);
  ck_assert_double_eq (back.lines[0].pace, CF_LOAD_PACE_MIN);
  ck_assert_double_eq (back.lines[1].pace, CF_LOAD_PACE_MAX);
  report.vm[0] = '\0';
  ck_assert_uint_eq (transfer (&report, &back), 0);
}
END_TEST

/* Bytes of a hostile or broken sender: a report that is cut short is rejected, and one with changed
 * bytes is accepted only with numbers within the bounds. */
START_TEST (test_hostile_bytes)
{
  GRand *random = g_rand_new_with_seed ((guint32) _i);
  struct CfLoadReport report;
  uint8_t valid[CF_GOSSIP_BYTES_MAX];
  size_t len;

  fill (&report, 5);
  len = cf_load_message_encode (&report, valid, sizeof valid);
  for (size_t i = 0; i < 4 * len; i++)
    {
      uint8_t *bytes = g_memdup2 (valid, MAX (MIN (i, len), 1)); /* exact, for the sanitizers */
      struct feed_datagram datagram;

      for (int change = 0; i >= len && change < 3; change++)
        bytes[g_rand_int_range (random, 0, (gint32) len)] = (uint8_t) g_rand_int (random);
      if (cf_gossip_decode (bytes, MIN (i, len), &datagram))
        {
          ck_assert_uint_ge (i, len);
          if (datagram.kind == FEED_LOADS
              && cf_load_message_read (&datagram.feed_datagram_u.loads, &report))
            ck_assert (cf_load_report_valid (&report));
          cf_gossip_clear (&datagram);
        }
      g_free (bytes);
    }
  g_rand_free (random);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load message");

  suite_add_loop (suite, test_round_trip, 1);
  suite_add_loop (suite, test_clamped, 1);
  suite_add_loop (suite, test_hostile_bytes, 5);
  return suite_run (suite);
}
