#ifndef CF_BALANCE_DIRECTORY_H
#define CF_BALANCE_DIRECTORY_H

#include "segment.h"

#include <glib.h>

/* What is known of the upstreams: what each announced of itself, whether the
 * announcement still stands, and what this VM's own packets say of it.  No I/O; times
 * are those of one monotonic clock in milliseconds.
 *
 * Names of services and failure domains are held as GQuarks. */

/* One upstream's announcement of itself.  Strings are copied where they are kept. */
struct CfAnnouncement
{
  const char *id;
  uint64_t tag; /* goes in front of each packet; a receiver that it does not name ignores it */
  const char *service;
  const char *domain;
  struct CfEndpoint address;
  uint32_t slots; /* requests that it works on at once */
  bool draining;
  CfMillis cold_ms;  /* how long it stays cold, from when this was written */
  int64_t started;   /* wall clock ms of its start, 0: not given; tells incarnations apart */
  uint64_t revision; /* of the announcement in the store */
};

enum CfTargetState
{
  CF_TARGET_READY,
  CF_TARGET_LEAVING, /* draining: keeps its flows and gets no new ones */
  CF_TARGET_LAPSED,  /* its announcement ended while the store was not to be trusted */
  CF_TARGET_GONE,    /* no announcement; its last flows may still be ending */
};

/* Whether first packets reach an upstream: a circuit breaker. */
struct CfReach
{
  uint32_t failures;     /* first packets in a row that no packet followed */
  CfMillis failed_at;    /* when the last of them was given up */
  CfMillis retry_at;     /* while there are failures, no flow is tried before */
  CfMillis confirmed_at; /* when a flow last opened, -1: never */
  bool trying;           /* a flow is being tried since retry_at */
};

/* Answers of late, the older ones counting less. */
struct CfTally
{
  double answers;
  double failed; /* of these */
  CfMillis at;   /* of the last answer */
};

/* The same of another VM. */
struct CfRemoteTally
{
  uint32_t vm; /* hash of its name */
  struct CfTally tally;
};

/* Whether an upstream that can be reached answers requests, see answers.h. */
struct CfQuality
{
  struct CfTally tally;  /* what this VM saw */
  GArray *heard;         /* of struct CfRemoteTally: what others saw; NULL: nothing */
  CfMillis report_until; /* this VM reports what it sees, since somebody saw a failure */
  CfMillis avoided_until;
  uint32_t avoided_times; /* in a row */
};

/* An upstream as this VM knows it.  It keeps its place in memory until it is pruned. */
struct CfTarget
{
  char *id;
  uint64_t tag;
  uint32_t cookie;
  GQuark service;
  GQuark domain;
  struct CfEndpoint address;
  uint32_t slots;
  enum CfTargetState state;
  CfMillis state_since;
  CfMillis cold_until;
  CfMillis cold_next; /* while cold: when this VM may open its next flow */
  int64_t started;
  uint64_t revision;
  uint32_t open; /* flows that this VM sees at it or is opening there */
  bool collides; /* an older upstream has the same cookie: gets no new flows */
  struct CfReach reach;
  struct CfQuality quality;
};

struct CfDirectory;

struct CfDirectory *cf_directory_new (void);
void cf_directory_free (struct CfDirectory *directory);

/* Takes ANNOUNCEMENT unless a newer one of the same upstream is known.  Returns the
 * upstream. */
struct CfTarget *cf_directory_announce (struct CfDirectory *directory,
                                        const struct CfAnnouncement *announcement,
                                        CfMillis now);

/* The announcement of ID has ended, or cannot be read.  Without TRUSTED the store has
 * just been away, and announcements end then without their upstreams. */
void
cf_directory_withdraw (struct CfDirectory *directory, const char *id, bool trusted, CfMillis now);

/* The store has been reachable long enough: what lapsed and did not return is gone. */
void cf_directory_expire_lapsed (struct CfDirectory *directory, CfMillis now);

/* Forgets upstreams that have been gone for longer than any flow lives. */
void cf_directory_prune (struct CfDirectory *directory, CfMillis now, CfMillis flow_lifetime_ms);

struct CfTarget *cf_directory_by_id (const struct CfDirectory *directory, const char *id);
struct CfTarget *cf_directory_by_cookie (const struct CfDirectory *directory, uint32_t cookie);

/* Returns the upstreams of SERVICE, an array of struct CfTarget *, or NULL. */
GPtrArray *cf_directory_service (const struct CfDirectory *directory, GQuark service);

/* Returns all upstreams, by id. */
GHashTable *cf_directory_all (const struct CfDirectory *directory);

/* Returns the flow cookie of the upstream called ID.  Never 0.  Every VM computes the
 * same, so that any of them can pass on any packet of a flow. */
uint32_t cf_cookie (const char *id);

/* TARGET may be cold until UNTIL, whatever it announced. */
void cf_target_assume_cold (struct CfTarget *target, CfMillis until, CfMillis now);

const char *cf_target_state_name (enum CfTargetState state);

#endif
