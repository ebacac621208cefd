#ifndef CF_BALANCE_EXTRA_OPEN_H
#define CF_BALANCE_EXTRA_OPEN_H

#include "directory.h"

/* Extra openings: the first packet of a flow is sent to a second upstream when the first one is
 * slower to open it than most, within a budget.  The caller acknowledges one of them; the other
 * one never runs anything.
 *
 * It is designed for upstreams that have just stopped responding, and first packets lost on their
 * way, for callers whose requests may be repeated.  Off by default.  No I/O. */

/* The delay is this quantile of the recent opening times of the service, */
#define CF_EXTRA_OPEN_QUANTILE 0.95
/* within these bounds: there are no extra openings while the quantile is above the maximum, since
 * the service is slow as a whole; */
#define CF_EXTRA_OPEN_DELAY_MIN_MS 3
#define CF_EXTRA_OPEN_DELAY_MAX_MS 100
/* once this many flows have opened in the last CF_EXTRA_OPEN_WINDOW_MS to twice that. */
#define CF_EXTRA_OPEN_SAMPLES_MIN 20
#define CF_EXTRA_OPEN_WINDOW_MS 5000
/* Extra openings at one upstream, as a share of the usual ones there, in a window of
 * CF_RETRY_BUDGET_WINDOW_MS; at least one. */
#define CF_EXTRA_OPEN_UPSTREAM_SHARE 0.25
/* Extra openings stop for a while if fewer than this share of at least CF_EXTRA_OPEN_JUDGED of
 * them won. */
#define CF_EXTRA_OPEN_WIN_MIN 0.05
#define CF_EXTRA_OPEN_JUDGED 20
#define CF_EXTRA_OPEN_PAUSE_MS 10000

/* Whether an extra opening is made, or why not. */
enum CfExtraOpenResult
{
  CF_EXTRA_OPEN_SENT,
  CF_EXTRA_OPEN_OFF,      /* the limit is 0, or too few flows have opened yet */
  CF_EXTRA_OPEN_BUDGET,   /* the service's budget is used up */
  CF_EXTRA_OPEN_UPSTREAM, /* the upstream has had its part */
  CF_EXTRA_OPEN_PAUSED,   /* extra openings have not helped lately */
  CF_EXTRA_OPEN_COUNT,
};

const char *cf_extra_open_result_name (enum CfExtraOpenResult result);

struct CfExtraOpen;

/* LIMIT: extra openings as a share of the usual ones of a service, 0 to 0.1; 0: off. */
struct CfExtraOpen *cf_extra_open_new (double limit);
void cf_extra_open_free (struct CfExtraOpen *extra);

/* Records that a flow to SERVICE was sent to TARGET as usual. */
void
cf_extra_open_record_usual (struct CfExtraOpen *extra, const struct CfTarget *target, CfMillis now);
/* Records that a flow to SERVICE opened WAIT after its first packet was sent to the upstream where
 * it opened. */
void cf_extra_open_record_opened (struct CfExtraOpen *extra,
                                  GQuark service,
                                  CfMillis wait,
                                  CfMillis now);
/* Records whether an extra opening WON: the flow opened at its upstream. */
void
cf_extra_open_record_result (struct CfExtraOpen *extra, GQuark service, bool won, CfMillis now);

/* Returns how long after its first packet a flow to SERVICE gets an extra opening, G_MAXINT64 if
 * never. */
CfMillis cf_extra_open_delay (const struct CfExtraOpen *extra, GQuark service, CfMillis now);

/* Takes an extra opening at TARGET from the budget, if all bounds allow. */
enum CfExtraOpenResult
cf_extra_open_take (struct CfExtraOpen *extra, const struct CfTarget *target, CfMillis now);

/* Forgets upstreams and services without an event for 60 s.  To be called every few seconds. */
void cf_extra_open_prune (struct CfExtraOpen *extra, CfMillis now);
/* Returns the number of upstreams and services that are remembered. */
guint cf_extra_open_size (const struct CfExtraOpen *extra);

#endif
