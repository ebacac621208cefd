#ifndef CF_BALANCE_DIRECTORY_H
#define CF_BALANCE_DIRECTORY_H

#include "base/list.h"
#include "pace.h"
#include "segment.h"

#include <glib.h>
#include <stddef.h>

/* The known upstreams: what each announced of itself, whether the announcement is still valid, and
 * what this VM has inferred from its own traffic and from the reports of other VMs.  No I/O; times
 * are milliseconds of one monotonic clock.
 *
 * Names of services and failure domains are held as GQuarks. */

/* An announcement that an upstream wrote to the store.  Strings are borrowed. */
struct CfAnnouncement
{
  const char *id;
  uint64_t tag; /* precedes each packet; a receiver with another tag ignores the packet */
  const char *service;
  const char *domain;
  struct CfEndpoint address;
  uint32_t slots; /* requests that it handles concurrently */
  bool draining;
  CfMillis cold_ms;  /* how long it stays cold after writing this */
  int64_t started;   /* wall clock ms of its start, identifies the incarnation; 0: not given */
  uint64_t era;      /* of the store, which the revision counts in */
  uint64_t revision; /* of the announcement in the store */
};

enum CfTargetState
{
  CF_TARGET_READY,
  CF_TARGET_LEAVING, /* draining: keeps its flows and gets no new ones */
  CF_TARGET_LAPSED,  /* its announcement expired while the store was unreliable */
  CF_TARGET_GONE,    /* no announcement; its last flows may still be open */
};

/* Whether first packets reach an upstream: the state of a circuit breaker. */
struct CfReach
{
  CfMillis failed_at;    /* when the last failure timed out */
  CfMillis retry_at;     /* with failures: earliest time of the next trial */
  CfMillis confirmed_at; /* when a flow last opened, -1: never */
  CfMillis trial_until;  /* a trial is under way until then at most, 0: none is */
  uint32_t failures;     /* consecutive first packets that no packet followed */
};

/* Recent answers, with exponential decay. */
struct CfTally
{
  double answers;
  double failed; /* of these */
  CfMillis at;   /* when the decay was last applied */
};

/* The tally that another VM reported. */
struct CfRemoteTally
{
  uint32_t vm; /* hash of its name */
  struct CfTally tally;
};

/* Whether a reachable upstream answers requests: the state of the outlier detection. */
struct CfQuality
{
  CfMillis avoided_until;
  struct CfTally tally;   /* observed by this VM */
  GArray *remote;         /* of struct CfRemoteTally: observed by other VMs; NULL: none */
  CfMillis report_until;  /* a VM observed a failure: report until then */
  uint32_t avoided_times; /* in a row */
};

#define CF_SILENCE_CALLERS 4

/* Evidence that an upstream cannot be reached: its silent flows, since its failure domain last
 * answered (unreachable.h). */
struct CfSilence
{
  struct CfLink link; /* in the evidence against its failure domain, or empty */
  CfMillis at;        /* when a silent flow was last recorded, 0: none since an answer */
  bool counted;       /* towards CF_UNREACHABLE_UPSTREAMS, */
  uint32_t caller_ip; /* by a silent flow of this caller */
  uint32_t callers[CF_SILENCE_CALLERS]; /* different ones with a silent flow */
  uint32_t caller_count;
};

#define CF_CACHE_LINE 64

/* An upstream.  Pointers to it stay valid until it is pruned.
 *
 * A choice reads reach.failures to quality.avoided_until of each candidate.  They share a cache
 * line: a VM handles some tens of flows a second, between which its caches are used by others. */
struct CfTarget
{
  char *id;
  uint64_t tag;
  uint32_t cookie;
  struct CfEndpoint address;
  struct CfReach reach;
  GQuark domain;
  uint32_t slots;
  enum CfTargetState state;
  uint32_t open;              /* flows of this VM that are open or being opened there */
  uint32_t awaiting;          /* requests of this VM there that await an answer */
  bool collides;              /* an earlier upstream has the same cookie: gets no new flows, */
  CfMillis cookie_settles_at; /* nor before this time: other VMs may not know yet */
  CfMillis cold_until;
  struct CfQuality quality;
  struct CfPace pace;
  CfMillis cold_next; /* while cold: when this VM may open its next flow */
  CfMillis state_since;
  GQuark service;
  int64_t started;
  CfMillis restarted_at; /* when this VM learned that it had started again, -1: it has not */
  uint64_t era;          /* of the store, which the revision counts in */
  uint64_t revision;
  /* Of the last announcement that was ignored for its start time; revision 0: none since one that
   * counts. */
  int64_t earlier_started;
  uint64_t earlier_revision;
  CfMillis heard_at; /* when an answer of it was last seen, -1: never */
  struct CfSilence silence;
  struct CfLink lost_link; /* in the first packets lost in its domain (outage.h), or empty */
  struct CfTarget *next_of_cookie; /* the next later one with the same cookie, or NULL */
};

G_STATIC_ASSERT (offsetof (struct CfTarget, reach.failures) / CF_CACHE_LINE
                 == offsetof (struct CfTarget, quality.avoided_until) / CF_CACHE_LINE);

struct CfDirectory;

struct CfDirectory *cf_directory_new (void);
void cf_directory_free (struct CfDirectory *directory);

/* Called before TARGET changes its state, its incarnation or its failure domain, or another
 * upstream takes over its address: what its silence, or that of its flows, has shown so far no
 * longer holds.  ENDS: it drains, is gone, has moved, or its process was replaced; else it has
 * lapsed or is back. */
typedef void CfUpstreamChange (void *context, struct CfTarget *target, bool ends);

/* Has FUNC (NULL: nothing) called with CONTEXT. */
void cf_directory_watch (struct CfDirectory *directory, CfUpstreamChange *func, void *context);

/* Applies ANNOUNCEMENT unless a newer one of the same upstream is known.  Returns the upstream. */
struct CfTarget *cf_directory_announce (struct CfDirectory *directory,
                                        const struct CfAnnouncement *announcement,
                                        CfMillis now);

/* Marks ID, whose announcement was removed or cannot be read, as gone, or as lapsed if not TRUSTED.
 * TRUSTED is false shortly after an outage of the store, when announcements expire although their
 * upstreams are running.  A draining upstream is gone in either case. */
void
cf_directory_withdraw (struct CfDirectory *directory, const char *id, bool trusted, CfMillis now);

/* Marks the lapsed upstreams as gone: the store has been reachable for long enough to renew their
 * announcements. */
void cf_directory_expire_lapsed (struct CfDirectory *directory, CfMillis now);

/* Removes upstreams that have been gone for longer than FLOW_LIFETIME_MS and have no open flow. */
void cf_directory_prune (struct CfDirectory *directory, CfMillis now, CfMillis flow_lifetime_ms);

struct CfTarget *cf_directory_by_id (const struct CfDirectory *directory, const char *id);

/* Returns the upstream that packets with COOKIE are for, or NULL (cookie_index.h). */
struct CfTarget *cf_directory_by_cookie (const struct CfDirectory *directory, uint32_t cookie);

/* Returns the first upstream with COOKIE, whatever its state, or NULL; next_of_cookie leads to the
 * others. */
struct CfTarget *cf_directory_first_by_cookie (const struct CfDirectory *directory,
                                               uint32_t cookie);

/* The first list of upstreams is complete: from now on others have begun, or have changed. */
void cf_directory_set_listed (struct CfDirectory *directory);

/* Milliseconds after which every VM knows of an upstream, or of its restart. */
#define CF_DIRECTORY_SETTLE_MS 4000

/* Returns true if other VMs may still take TARGET for its previous incarnation at NOW. */
static inline bool
cf_target_restarted_recently (const struct CfTarget *target, CfMillis now)
{
  return target->restarted_at >= 0 && now - target->restarted_at < CF_DIRECTORY_SETTLE_MS;
}

/* Returns true if TARGET gets no new flows at NOW, as their packets could reach another upstream
 * with its cookie. */
static inline bool
cf_target_shares_cookie (const struct CfTarget *target, CfMillis now)
{
  return target->collides || now < target->cookie_settles_at;
}

/* Returns true if an upstream that started later than TARGET has announced the same address: the
 * process of TARGET has ended, although its announcement has not expired yet. */
bool cf_directory_replaced (const struct CfDirectory *directory, const struct CfTarget *target);

/* Returns the upstreams of SERVICE, an array of struct CfTarget *, or NULL. */
GPtrArray *cf_directory_service (const struct CfDirectory *directory, GQuark service);

/* Returns true if the pace of any upstream of SERVICE is outside the tolerance (pace.h), or was
 * CF_PACE_CHECK_MS ago.  Costs a look at each upstream every CF_PACE_CHECK_MS while it is true. */
bool cf_directory_uneven (struct CfDirectory *directory, GQuark service, CfMillis now);

/* Returns all upstreams, by id. */
GHashTable *cf_directory_all (const struct CfDirectory *directory);

/* Returns the flow cookie of the upstream named ID, never 0.  All VMs compute the same cookie, so
 * that each can forward any packet of a flow. */
uint32_t cf_cookie (const char *id);

/* Treats TARGET as cold until UNTIL at least, whatever it announced. */
void cf_target_assume_cold (struct CfTarget *target, CfMillis until, CfMillis now);

const char *cf_target_state_name (enum CfTargetState state);

#endif
