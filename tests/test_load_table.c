#include "balance/load_table.h"
#include "suite.h"

#include <math.h>

/* The load reports of other VMs and their sums, as a VM of domain "a" keeps them. */

#define T0 1000000
#define IN_PROGRESS 3.0 /* of each VM */
#define OWN_DOMAIN_VMS 4

static struct CfLoadReport
make_report (const char *vm, const char *domain, uint32_t domain_vms, uint32_t sequence)
{
  struct CfLoadReport report = {
    .incarnation = 100,
    .sequence = sequence,
    .domain_vms = domain_vms,
    .service_count = 1,
    .services = { { .name = "s", .counts = { .demand = { 1, 10 }, .in_progress = IN_PROGRESS } } },
    .line_count = 1,
    .lines = { { .cookie = 5, .samples = 4, .pace = 2 } },
  };

  g_strlcpy (report.vm, vm, sizeof report.vm);
  g_strlcpy (report.domain, domain, sizeof report.domain);
  return report;
}

static bool
merge (struct CfLoadTable *table,
       const char *vm,
       const char *domain,
       uint32_t domain_vms,
       uint32_t sequence,
       CfMillis now)
{
  struct CfLoadReport report = make_report (vm, domain, domain_vms, sequence);

  return cf_load_table_merge (table, &report, now);
}

static struct CfLoadSum
sum_of (const struct CfLoadTable *table, const char *service, CfMillis now)
{
  const struct CfLoadCounts own = { .demand = { 0, 2 }, .in_progress = IN_PROGRESS };
  struct CfLoadSum sum;

  cf_load_table_sum (table, service, &own, g_quark_from_string ("a"), OWN_DOMAIN_VMS, now, &sum);
  return sum;
}

static struct CfLoadTable *
table_new (void)
{
  g_quark_from_string ("a");
  g_quark_from_string ("b");
  return cf_load_table_new ();
}

/* A VM without a report counts like the mean of its domain: counted as idle, an overload that a
 * part of the VMs sees would be missed. */
START_TEST (test_scaled_by_domain)
{
  struct CfLoadTable *table = table_new ();
  struct CfLoadSum sum = sum_of (table, "s", T0);
  double weight;

  ck_assert_double_eq_tol (sum.total.in_progress, OWN_DOMAIN_VMS * IN_PROGRESS, 1e-9);
  ck_assert (merge (table, "a2", "a", 99, 1, T0 + 100));
  ck_assert (merge (table, "b1", "b", 30, 1, T0 + 100));
  ck_assert (merge (table, "b2", "b", 20, 1, T0 + 200));
  sum = sum_of (table, "s", T0 + 300);
  ck_assert_uint_eq (sum.domain_count, 2);
  ck_assert_uint_eq (sum.reporting, 4);
  ck_assert_int_eq (sum.age, (200 + 200 + 100) / 3);
  /* This VM knows the size of its own domain; the newest report gives that of the other. */
  ck_assert_uint_eq (sum.vms, OWN_DOMAIN_VMS + 20);
  /* The report is 200 ms old. */
  weight = exp2 (-200.0 / CF_LOAD_REPORT_HALF_LIFE_MS);
  ck_assert_double_eq_tol (sum.domains[0].counts.demand[1],
                           (2 + 10 * weight) / (1 + weight) * OWN_DOMAIN_VMS, 1e-9);
  ck_assert_double_eq_tol (sum.domains[1].counts.demand[1], 10 * 20, 1e-9);
  ck_assert_double_eq_tol (sum.total.in_progress, (OWN_DOMAIN_VMS + 20) * IN_PROGRESS, 1e-9);
  ck_assert (merge (table, "b1", "b", 40, 2, T0 + 300));
  ck_assert_uint_eq (sum_of (table, "s", T0 + 300).domains[1].vms, 40);
  /* The list of VMs is behind: more have reported than it has. */
  for (uint32_t i = 3; i <= OWN_DOMAIN_VMS + 1; i++)
    merge (table, (char[]){ 'a', (char) ('0' + i), '\0' }, "a", 4, 1, T0 + 300);
  ck_assert_uint_eq (sum_of (table, "s", T0 + 300).domains[0].vms, OWN_DOMAIN_VMS + 1);
  cf_load_table_free (table);
}
END_TEST

/* A VM that was killed, frozen or cut off would count with its last report for ever. */
START_TEST (test_last_report_expires)
{
  struct CfLoadTable *table = table_new ();

  merge (table, "b1", "b", 1, 1, T0);
  for (int gone = 0; gone < 2; gone++)
    {
      CfMillis now = T0 + CF_LOAD_REPORT_AGE_MAX_MS - 1 + gone;

      ck_assert_uint_eq (cf_load_table_count (table, now), 1 - (uint32_t) gone);
      ck_assert_uint_eq (sum_of (table, "s", now).reporting, 2 - (uint32_t) gone);
    }
  cf_load_table_free (table);
}
END_TEST

/* Reports that are doubled, late or out of order would bring back a past load, also after the newer
 * one has expired.  One that is lost delays nothing. */
START_TEST (test_order)
{
  struct CfLoadTable *table = table_new ();

  ck_assert (merge (table, "b1", "b", 1, 4, T0));
  ck_assert (!merge (table, "b1", "b", 1, 4, T0 + 1));
  ck_assert (merge (table, "b1", "b", 1, 6, T0 + 500));
  ck_assert (!merge (table, "b1", "b", 1, 5, T0 + 600));
  ck_assert_uint_eq (sum_of (table, "s", T0 + 600).reporting, 2);
  ck_assert (!merge (table, "b1", "b", 1, 6, T0 + 500 + CF_LOAD_REPORT_AGE_MAX_MS));
  cf_load_table_free (table);
}
END_TEST

/* A restarted VM counts its reports from 1 again.  If its clock was set back, or a forged report
 * had a higher incarnation, it would be ignored for ever. */
START_TEST (test_restart)
{
  struct CfLoadTable *table = table_new ();
  struct CfLoadReport report = make_report ("b1", "b", 1, 1);

  merge (table, "b1", "b", 1, 900, T0);
  report.incarnation = 101;
  ck_assert (cf_load_table_merge (table, &report, T0 + 300));
  ck_assert (!merge (table, "b1", "b", 1, 901, T0 + 400));
  report.incarnation = 50;
  ck_assert (!cf_load_table_merge (table, &report, T0 + 299 + CF_LOAD_REPORT_FORGET_MS));
  ck_assert (cf_load_table_merge (table, &report, T0 + 300 + CF_LOAD_REPORT_FORGET_MS));
  cf_load_table_free (table);
}
END_TEST

/* One number that is absurd or not finite would spoil the sums of a service. */
START_TEST (test_forged_numbers)
{
  static const double bad[] = { -0.001, CF_LOAD_RATE_MAX * 1.01, INFINITY, NAN };
  struct CfLoadTable *table = table_new ();
  struct CfLoadReport report = make_report ("b1", "b", 1, 2);
  struct CfLoadCounts *counts = &report.services[0].counts;
  double *const numbers[]
      = { &counts->demand[3],   &counts->usual,           &counts->answered,    &counts->shed,
          &counts->in_progress, &report.lines[0].samples, &report.lines[0].pace };

  for (guint i = 0; i < G_N_ELEMENTS (numbers) * G_N_ELEMENTS (bad); i++)
    {
      *numbers[i % G_N_ELEMENTS (numbers)] = bad[i / G_N_ELEMENTS (numbers)];
      ck_assert (!cf_load_table_merge (table, &report, T0));
      report = make_report ("b1", "b", 1, 2);
    }
  ck_assert (!merge (table, "b1", "b", 0, 2, T0));
  ck_assert (!merge (table, "b1", "b", CF_LOAD_DOMAIN_VMS_MAX + 1, 2, T0));
  ck_assert_uint_eq (cf_load_table_count (table, T0), 0);
  ck_assert (cf_load_table_merge (table, &report, T0));
  cf_load_table_free (table);
}
END_TEST

/* Names from the network would grow the table of GQuarks, which is never freed. */
START_TEST (test_unknown_names)
{
  struct CfLoadTable *table = table_new ();

  ck_assert (!merge (table, "x1", "unknown", 1, 1, T0));
  ck_assert (merge (table, "b1", "b", 1, 1, T0));
  ck_assert (!g_quark_try_string ("unknown") && !g_quark_try_string ("s"));
  /* A VM whose report does not name a service has nothing of it in progress. */
  ck_assert_double_eq (sum_of (table, "other", T0).total.in_progress, OWN_DOMAIN_VMS * IN_PROGRESS);
  ck_assert_uint_eq (sum_of (table, "other", T0).reporting, 2);
  cf_load_table_free (table);
}
END_TEST

/* Many senders would take memory without bound, and many domains overrun a sum. */
START_TEST (test_bounds)
{
  struct CfLoadTable *table = table_new ();
  struct CfLoadSum sum;
  char name[16];

  for (uint32_t i = 1; i <= 2 * CF_LOAD_REPORTS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "n%u", i);
      g_quark_from_string (name);
      ck_assert (merge (table, name, name, i, 1, T0 + i));
    }
  ck_assert_uint_eq (cf_load_table_count (table, T0 + 600), CF_LOAD_REPORTS_MAX);
  g_snprintf (name, sizeof name, "n%u", CF_LOAD_REPORTS_MAX + 1);
  ck_assert (!merge (table, name, name, 1, 1, T0 + 600)); /* the newest were kept, this one too */
  sum = sum_of (table, "s", T0 + 600);
  ck_assert_uint_eq (sum.reporting, 1 + CF_LOAD_REPORTS_MAX);
  ck_assert_uint_eq (sum.domain_count, CF_LOAD_DOMAINS_MAX);
  ck_assert_uint_eq (sum.domains[0].vms, OWN_DOMAIN_VMS);
  ck_assert_uint_eq (sum.domains[1].vms, 2 * CF_LOAD_REPORTS_MAX);
  cf_load_table_free (table);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load table");

  suite_add_loop (suite, test_scaled_by_domain, 1);
  suite_add_loop (suite, test_last_report_expires, 1);
  suite_add_loop (suite, test_order, 1);
  suite_add_loop (suite, test_restart, 1);
  suite_add_loop (suite, test_forged_numbers, 1);
  suite_add_loop (suite, test_unknown_names, 1);
  suite_add_loop (suite, test_bounds, 1);
  return suite_run (suite);
}
