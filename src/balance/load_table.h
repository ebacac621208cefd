#ifndef CF_BALANCE_LOAD_TABLE_H
#define CF_BALANCE_LOAD_TABLE_H

#include "cf_types.h"
#include "load_report.h"

#include <glib.h>

/* The load reports of other VMs (load_report.h), and their sum for each service.
 *
 * A VM receives the reports of a random part of the others at a time.  The sum of a failure domain
 * is scaled to all VMs there, so a VM without a report counts like the mean of the others and not
 * as idle.  A report counts once, replaces the one before from the same VM, never goes back to an
 * earlier one, and expires.  No I/O. */

/* A report counts for this long after it was received: the share of a VM that was killed, frozen or
 * cut off ends with it.  Each VM receives 8 reports/s, so that those of some 14 other VMs count at
 * a time. */
#define CF_LOAD_REPORT_AGE_MAX_MS 2000
/* The incarnation and sequence of a VM's last report are remembered for this long after it was
 * received: longer than a datagram can be late.  A VM whose wall clock was set back before a
 * restart has a lower incarnation, and a forged report may have a higher one: its reports count
 * again after this time. */
#define CF_LOAD_REPORT_FORGET_MS 10000
/* The weight of a report in a sum halves in this time: a burst begins and ends within a second, and
 * the mean of all reports would follow it only after another one. */
#define CF_LOAD_REPORT_HALF_LIFE_MS 400
/* Reports held at most, the oldest is dropped; bounds memory against forged senders. */
#define CF_LOAD_REPORTS_MAX 256
#define CF_LOAD_DOMAINS_MAX 16 /* failure domains in a sum: the own one and the largest others */

/* What the VMs of one failure domain see of a service. */
struct CfLoadDomain
{
  GQuark domain;
  uint32_t vms;               /* in the domain */
  uint32_t reporting;         /* of these, whose counts are known; this VM included */
  struct CfLoadCounts counts; /* scaled from those that have reported to all */
};

struct CfLoadSum
{
  uint32_t domain_count;
  struct CfLoadDomain domains[CF_LOAD_DOMAINS_MAX]; /* this VM's first, then by size */
  struct CfLoadCounts total; /* of all domains, also of those that are left out above */
  uint32_t vms;              /* VMs of all domains that are known */
  uint32_t reporting;
  CfMillis age; /* mean age of the reports that were used, 0 if there is none */
};

struct CfLoadTable;

struct CfLoadTable *cf_load_table_new (void);
void cf_load_table_free (struct CfLoadTable *table);

/* Merges REPORT, received at NOW.  Returns false, and changes nothing, if it is not newer than the
 * last one of its VM, its domain is not known to this process as a GQuark, or it holds impossible
 * values: not finite, negative, above the bounds of load_report.h, or a domain of no VM. */
bool
cf_load_table_merge (struct CfLoadTable *table, const struct CfLoadReport *report, CfMillis now);

/* Writes to SUM what all VMs see of the service called NAME.  OWN is what this VM sees of it, in
 * DOMAIN with DOMAIN_VMS VMs, itself included.  A VM whose report leaves the service out counts
 * with zeros: a report contains the services with the most requests in progress. */
void cf_load_table_sum (const struct CfLoadTable *table,
                        const char *name,
                        const struct CfLoadCounts *own,
                        GQuark domain,
                        uint32_t domain_vms,
                        CfMillis now,
                        struct CfLoadSum *sum);

/* Returns the mean age of the reports that count at NOW, 0 if there is none. */
CfMillis cf_load_table_age (const struct CfLoadTable *table, CfMillis now);

/* Returns the number of reports that count at NOW. */
uint32_t cf_load_table_count (const struct CfLoadTable *table, CfMillis now);

#endif
