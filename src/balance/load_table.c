#include "load_table.h"

#include <math.h>

struct HeldReport
{
  struct CfLoadReport report;
  GQuark domain;
  CfMillis received;
};

struct CfLoadTable
{
  GHashTable *reports;  /* name of the VM to struct HeldReport */
  CfMillis valid_until; /* of the newest report */
};

/* The sum of the reports of one failure domain. */
struct DomainSum
{
  struct CfLoadDomain domain;
  CfMillis newest; /* when the report was received that gave the number of VMs */
  double weight;   /* of the reports together */
};

struct CfLoadTable *
cf_load_table_new (void)
{
  struct CfLoadTable *table = g_new0 (struct CfLoadTable, 1);

  table->reports = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return table;
}

void
cf_load_table_free (struct CfLoadTable *table)
{
  g_hash_table_unref (table->reports);
  g_free (table);
}

static bool
is_valid_at (const struct HeldReport *held, CfMillis now)
{
  return now - held->received < CF_LOAD_REPORT_AGE_MAX_MS;
}

/* Returns true if any report is valid at NOW. */
static bool
has_valid (const struct CfLoadTable *table, CfMillis now)
{
  return now < table->valid_until;
}

/* Returns true if REPORT, received at NOW, may replace HELD of the same VM. */
static bool
supersedes (const struct CfLoadReport *report, const struct HeldReport *held, CfMillis now)
{
  if (now - held->received >= CF_LOAD_REPORT_FORGET_MS)
    return true;
  if (report->incarnation != held->report.incarnation)
    return report->incarnation > held->report.incarnation;
  return report->sequence > held->report.sequence;
}

static void
drop_oldest (struct CfLoadTable *table)
{
  const struct HeldReport *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!oldest || ((struct HeldReport *) value)->received < oldest->received)
      oldest = value;
  if (oldest)
    g_hash_table_remove (table->reports, oldest->report.vm);
}

bool
cf_load_table_merge (struct CfLoadTable *table, const struct CfLoadReport *report, CfMillis now)
{
  GQuark domain = g_quark_try_string (report->domain);
  struct HeldReport *held = g_hash_table_lookup (table->reports, report->vm);

  if (domain == 0 || !cf_load_report_valid (report) || (held && !supersedes (report, held, now)))
    return false;
  if (!held && g_hash_table_size (table->reports) >= CF_LOAD_REPORTS_MAX)
    drop_oldest (table);
  /* The key is part of the value, so that both are replaced. */
  held = g_new (struct HeldReport, 1);
  *held = (struct HeldReport){ .report = *report, .domain = domain, .received = now };
  g_hash_table_replace (table->reports, held->report.vm, held);
  table->valid_until = MAX (table->valid_until, now + CF_LOAD_REPORT_AGE_MAX_MS);
  return true;
}

static void
add_counts (struct CfLoadCounts *sum, const struct CfLoadCounts *counts, double factor)
{
  for (int i = 0; i < CF_LOAD_PRIORITIES; i++)
    sum->demand[i] += factor * counts->demand[i];
  sum->answered += factor * counts->answered;
  sum->shed += factor * counts->shed;
  sum->in_progress += factor * counts->in_progress;
  sum->usual += factor * counts->usual;
}

static struct DomainSum *
get_domain (GArray *sums, GQuark domain)
{
  const struct DomainSum fresh = { .domain = { .domain = domain }, .newest = -1 };

  for (guint i = 0; i < sums->len; i++)
    if (g_array_index (sums, struct DomainSum, i).domain.domain == domain)
      return &g_array_index (sums, struct DomainSum, i);
  g_array_append_val (sums, fresh);
  return &g_array_index (sums, struct DomainSum, sums->len - 1);
}

/* Adds what HELD says of the service called NAME to the sum of its failure domain. */
static void
add_report (GArray *sums, const struct HeldReport *held, const char *name, CfMillis now)
{
  const struct CfLoadReport *report = &held->report;
  struct DomainSum *sum = get_domain (sums, held->domain);
  double weight = exp2 (-(double) (now - held->received) / CF_LOAD_REPORT_HALF_LIFE_MS);

  sum->domain.reporting++;
  sum->weight += weight;
  if (held->received > sum->newest)
    {
      sum->newest = held->received;
      sum->domain.vms = report->domain_vms;
    }
  for (uint32_t i = 0; i < report->service_count; i++)
    if (g_str_equal (report->services[i].name, name))
      {
        add_counts (&sum->domain.counts, &report->services[i].counts, weight);
        return;
      }
}

/* Scales the counts of SUM from the VMs that have reported to all. */
static void
scale_to_all (struct DomainSum *sum)
{
  struct CfLoadDomain *domain = &sum->domain;
  struct CfLoadCounts reported = domain->counts;

  /* The list of VMs may be behind. */
  domain->vms = MAX (domain->vms, domain->reporting);
  domain->counts = (struct CfLoadCounts){ 0 };
  add_counts (&domain->counts, &reported, domain->vms / sum->weight);
}

/* This VM's own domain first, then the largest. */
static gint
compare_domains (gconstpointer a, gconstpointer b)
{
  const struct DomainSum *x = a;
  const struct DomainSum *y = b;

  if (x->newest == G_MAXINT64 || y->newest == G_MAXINT64)
    return x->newest == G_MAXINT64 ? -1 : 1;
  if (x->domain.vms != y->domain.vms)
    return x->domain.vms > y->domain.vms ? -1 : 1;
  return x->domain.domain < y->domain.domain ? -1 : 1;
}

static void
add_domain (struct CfLoadSum *sum, const struct CfLoadDomain *domain)
{
  add_counts (&sum->total, &domain->counts, 1);
  sum->vms += domain->vms;
  sum->reporting += domain->reporting;
  if (sum->domain_count < CF_LOAD_DOMAINS_MAX)
    sum->domains[sum->domain_count++] = *domain;
}

void
cf_load_table_sum (const struct CfLoadTable *table,
                   const char *name,
                   const struct CfLoadCounts *own,
                   GQuark domain,
                   uint32_t domain_vms,
                   CfMillis now,
                   struct CfLoadSum *sum)
{
  /* G_MAXINT64: no report replaces the size of this VM's own domain. */
  struct DomainSum first = {
    .domain = { .domain = domain, .vms = domain_vms, .reporting = 1, .counts = *own },
    .newest = G_MAXINT64,
    .weight = 1,
  };
  GArray *sums;
  uint32_t reports = 0;
  GHashTableIter iter;
  gpointer value;

  *sum = (struct CfLoadSum){ 0 };
  /* Asked every 100 ms for each service, and without overload no VM reports. */
  if (!has_valid (table, now))
    {
      scale_to_all (&first);
      add_domain (sum, &first.domain);
      return;
    }
  sums = g_array_new (FALSE, FALSE, sizeof first);
  g_array_append_val (sums, first);
  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_valid_at (value, now))
      {
        add_report (sums, value, name, now);
        sum->age += now - ((struct HeldReport *) value)->received;
        reports++;
      }
  sum->age /= MAX (reports, 1);
  for (guint i = 0; i < sums->len; i++)
    scale_to_all (&g_array_index (sums, struct DomainSum, i));
  g_array_sort (sums, compare_domains);
  for (guint i = 0; i < sums->len; i++)
    add_domain (sum, &g_array_index (sums, struct DomainSum, i).domain);
  g_array_unref (sums);
}

uint32_t
cf_load_table_count (const struct CfLoadTable *table, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_valid_at (value, now);
  return count;
}

CfMillis
cf_load_table_age (const struct CfLoadTable *table, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;
  CfMillis sum = 0;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_valid_at (value, now))
      {
        sum += now - ((const struct HeldReport *) value)->received;
        count++;
      }
  return count > 0 ? sum / count : 0;
}
