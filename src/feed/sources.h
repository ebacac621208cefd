#ifndef CF_FEED_SOURCES_H
#define CF_FEED_SOURCES_H

#include "cf_types.h"
#include "vm_record.h"

#include <glib.h>

/* Chooses the source of a VM's updates: the store itself, or another entry VM.
 *
 * Each call to the store has a price, and its rate limits grow more slowly than the fleet.  So
 * one VM of a region reads the store.  The first VM of each other failure domain follows
 * it, and the VMs of a domain form a tree below their first.  When one fails, the next in a
 * fixed order takes over.  A VM that the store does not serve follows any VM with updates. */

/* VMs that may follow the same VM.  Each takes about 1 KB/s when nothing changes; together with the
 * first VMs of other domains they stay below the 24 KB/s that a VM has for control. */
#define CF_SOURCES_FOLLOWERS_MAX 16
/* A source that failed is not asked for this long, doubled with each failure. */
#define CF_SOURCES_RETRY_MIN_MS 1000
#define CF_SOURCES_RETRY_MAX_MS 8000
/* A VM whose data is older than this asks the store itself, whatever its place in the order.
 * The store responds to its reader every 1.5 s, which updates its followers at once; changes of
 * upstreams have to be in force within 3 s.  The first VM of a domain asks a step before its
 * followers, and these before theirs, so that most of them do not have to. */
#define CF_SOURCES_STALE_FIRST_MS 2100
#define CF_SOURCES_STALE_STEP_MS 100
#define CF_SOURCES_STALE_MAX_MS 2300
/* Once the store has answered a VM with old data, the VM's source has this long to catch up. */
#define CF_SOURCES_CATCH_UP_MS 200
/* A VM that had to read the store goes on reading for this long.  Its sources may follow each
 * other in a cycle without a reader among them, and its data would become old again each round. */
#define CF_SOURCES_READ_MIN_MS 8000

/* An entry VM of the fleet, or the store. */
struct CfSource
{
  char *name; /* NULL: the store */
  char *domain;
  char *region;
  char *ip;
  double link_mbps;
  int64_t hour;
  CfMillis down_until; /* it is not asked before this time */
  uint32_t failures;   /* in a row */
};

struct CfSources;

/* Returns the sources of the VM called NAME in the failure domain DOMAIN of REGION. */
struct CfSources *cf_sources_new (const char *name, const char *domain, const char *region);
void cf_sources_free (struct CfSources *sources);

/* Adds or updates the VM called NAME, or removes it (VM is NULL).  Strings are copied. */
void cf_sources_set (struct CfSources *sources, const char *name, const struct CfVmRecord *vm);

/* Returns the source to use at NOW.  The result, like that of each function below that returns a
 * source, is valid until the next call of cf_sources_set or cf_sources_seed: to be kept, it has to
 * be kept by name. */
const struct CfSource *cf_sources_choose (struct CfSources *sources, CfMillis now);

/* How a VM uses the store. */
enum CfStoreUse
{
  CF_STORE_USE_NONE,
  CF_STORE_USE_PROBE, /* one short call to check whether it responds */
  CF_STORE_USE_READ,  /* read all kinds of records */
};

/* The state that decides how a VM uses the store. */
struct CfStoreUseInput
{
  bool reader;         /* the store is its source */
  bool empty;          /* it has never had an update */
  CfMillis read_until; /* it goes on reading until then, see CF_SOURCES_READ_MIN_MS */
  CfMillis synced_at;  /* time at which its data was current */
  CfMillis probed_at;  /* when the store last answered it, -1: never */
};

/* Returns how to use the store at NOW. */
enum CfStoreUse
cf_sources_store_use (struct CfSources *sources, const struct CfStoreUseInput *input, CfMillis now);

/* Returns true if the VM called READER precedes this one in the order.  Of several VMs that read
 * the store at the same time, all but the first may stop. */
bool cf_sources_precedes (struct CfSources *sources, const char *reader);

/* Returns true if NAME is another VM of this failure domain. */
bool cf_sources_is_neighbour (struct CfSources *sources, const char *name);

/* Returns true if NAME is another VM of this region, in the failure domain DOMAIN. */
bool cf_sources_is_in_region (struct CfSources *sources, const char *name, const char *domain);

/* Returns the age of its data from which on this VM asks the store itself. */
CfMillis cf_sources_stale_ms (struct CfSources *sources);

/* Returns the VM to ask at NOW if this VM's source is the store and it does not respond, or
 * NULL. */
const struct CfSource *cf_sources_choose_vm (struct CfSources *sources, CfMillis now);

/* Sets the seeds: IPS at which VMs may run whose names are not known. */
void cf_sources_seed (struct CfSources *sources, char *const *ips);

/* Returns the seed that a VM without data is to ask at NOW, or NULL. */
const struct CfSource *cf_sources_choose_seed (struct CfSources *sources, CfMillis now);

/* Returns the IPs (text, not owned) of other VMs, those of this failure domain first. */
GPtrArray *cf_sources_ips (const struct CfSources *sources);

/* The same, of this failure domain only. */
GPtrArray *cf_sources_domain_ips (const struct CfSources *sources);

/* The same, of the other failure domains of this region. */
GPtrArray *cf_sources_other_domain_ips (const struct CfSources *sources);

/* Returns the number of VMs in this failure domain. */
uint32_t cf_sources_domain_size (const struct CfSources *sources);

/* A VM rewrites its record each hour; a VM whose record is older than this no longer exists.
 * The clock of a VM may be wrong by about an hour. */
#define CF_SOURCES_EXPIRE_HOURS 4

/* Returns the hour that the VM called NAME writes at NOW_S, seconds of wall-clock time.  The hour
 * starts at another time for each name, so that VMs do not all write at once. */
int64_t cf_sources_hour (const char *name, int64_t now_s);

/* Returns a VM whose record has expired and is to be deleted, or NULL. */
const struct CfSource *cf_sources_expired (const struct CfSources *sources, int64_t now_s);

/* Records the outcome of a call to the VM or seed called NAME (NULL: the store): it answered, or it
 * did not or has only old data.  A source that is gone by now, perhaps by its own answer, is
 * ignored. */
void cf_sources_answered (struct CfSources *sources, const char *name);
void cf_sources_failed (struct CfSources *sources, const char *name, CfMillis now);

#endif
