#ifndef CF_BALANCE_LOAD_REPORT_H
#define CF_BALANCE_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

/* Report of a VM to other VMs of its region on services under load: the rates of its callers'
 * requests and of the answers, and how quickly single upstreams answer.  With tens of VMs, none of
 * them sees enough requests to know how much of a service's capacity is in use.
 *
 * Rates are per second.  A report replaces the sender's report before it; it adds to nothing. */

#define CF_LOAD_PRIORITIES 4   /* levels that are counted apart; higher numbers count as the last */
#define CF_LOAD_SERVICES_MAX 4 /* in a report: those with the most requests in progress */
#define CF_LOAD_LINES_MAX 16   /* upstreams in a report: those whose pace differs most */
#define CF_LOAD_NAME_MAX 64    /* bytes with the final 0; a longer name is not reported */
#define CF_LOAD_REPORT_INTERVAL_MS 500
/* Bounds of what is believed of a report.  Above what one VM can count. */
#define CF_LOAD_RATE_MAX 1e6
#define CF_LOAD_PACE_MIN 0.01
#define CF_LOAD_PACE_MAX 100.0
#define CF_LOAD_DOMAIN_VMS_MAX 4096 /* the target is a fleet of 1,700 VMs in 5 regions */

/* What a VM, or several together, see of one service. */
struct CfLoadCounts
{
  double demand[CF_LOAD_PRIORITIES]; /* new flows of callers, by priority; 0 is most urgent */
  double answered;                   /* requests that were answered in full */
  double shed;                       /* requests that a busy upstream turned away */
  double in_progress;                /* mean number of requests that await an answer */
  double usual;                      /* long mean of the demand of all priorities */
};

struct CfLoadService
{
  char name[CF_LOAD_NAME_MAX];
  struct CfLoadCounts counts;
};

/* How quickly one upstream answers. */
struct CfLoadLine
{
  uint32_t cookie; /* of the upstream */
  double samples;  /* number of answers, decayed */
  double pace;     /* mean wait for an answer, relative to the mean of the whole service */
};

struct CfLoadReport
{
  char vm[CF_LOAD_NAME_MAX]; /* the sender */
  char domain[CF_LOAD_NAME_MAX];
  uint64_t incarnation; /* of the sender's process: its start, wall clock ms */
  uint32_t sequence;    /* of the report within the incarnation */
  uint32_t domain_vms;  /* VMs of the sender's failure domain, itself included */
  uint32_t service_count;
  struct CfLoadService services[CF_LOAD_SERVICES_MAX];
  uint32_t line_count;
  struct CfLoadLine lines[CF_LOAD_LINES_MAX];
};

/* Returns true if all numbers of REPORT are within the bounds above. */
bool cf_load_report_valid (const struct CfLoadReport *report);

#endif
