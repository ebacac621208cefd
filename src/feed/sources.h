#ifndef CF_FEED_SOURCES_H
#define CF_FEED_SOURCES_H

#include "cf_types.h"
#include "vm_record.h"

#include <glib.h>

/* Decides where a VM gets the store's news from: the store itself, or another entry VM.
 *
 * Each call to the store has a price, and its rates grow more slowly than the fleet.  So
 * in a region one VM reads the store.  The first VM of each other failure domain follows
 * it, and the VMs of a domain form a tree below their first.  The next in a fixed order takes
 * over when one fails.  A VM that the store does not serve follows whoever has news. */

/* VMs that follow one other: at about 1 KB/s each when nothing changes, with the first VMs of
 * other domains, below the 24 KB/s that a VM has for control. */
#define CF_SOURCES_FOLLOWERS_MAX 16
/* A source that failed is left alone for this long, doubled with each failure. */
#define CF_SOURCES_RETRY_MIN_MS 1000
#define CF_SOURCES_RETRY_MAX_MS 8000
/* With news older than this a VM asks the store itself, whatever its place in the order.
 * The store's reader hears from it every 1.5 s and tells its followers at once; changes of
 * upstreams have to be in force within 3 s.  The first of a domain asks before those that
 * follow it, these before theirs, which then input not. */
#define CF_SOURCES_STALE_FIRST_MS 2100
#define CF_SOURCES_STALE_STEP_MS 100
#define CF_SOURCES_STALE_MAX_MS 2300
/* The store has answered a VM with old news: its source has this long to catch up, too. */
#define CF_SOURCES_CATCH_UP_MS 200
/* A VM that had to read the store goes on for this long: its sources may follow each other
 * without a reader among them, and each round of that would let news grow old again. */
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
  CfMillis down_until; /* not asked before */
  uint32_t failures;   /* in a row */
};

struct CfSources;

/* For the VM called NAME in the failure domain DOMAIN of REGION. */
struct CfSources *cf_sources_new (const char *name, const char *domain, const char *region);
void cf_sources_free (struct CfSources *sources);

/* Says that there is a VM called NAME, or no longer is (VM is NULL).  Strings are copied. */
void cf_sources_set (struct CfSources *sources, const char *name, const struct CfVmRecord *vm);

/* Returns the source to use at NOW.  The result is valid until the next call of
 * cf_sources_set. */
struct CfSource *cf_sources_choose (struct CfSources *sources, CfMillis now);

/* What a VM asks the store. */
enum CfStoreUse
{
  CF_STORE_USE_NONE,
  CF_STORE_USE_PROBE, /* one short call: does it answer? */
  CF_STORE_USE_READ,  /* everything */
};

/* What a VM knows when it decides that. */
struct CfStoreUseInput
{
  bool reader;         /* the store is its source */
  bool empty;          /* it has never had news */
  CfMillis read_until; /* it goes on reading until then, see CF_SOURCES_READ_MIN_MS */
  CfMillis synced_at;  /* its news are of then */
  CfMillis probed_at;  /* when the store last answered it, -1: never */
};

/* Returns what to ask the store at NOW. */
enum CfStoreUse
cf_sources_store_use (struct CfSources *sources, const struct CfStoreUseInput *input, CfMillis now);

/* Returns true if the VM called READER goes before this one in the order.  Of VMs that read the
 * store at the same time all but the first may end that. */
bool cf_sources_precedes (struct CfSources *sources, const char *reader);

/* Returns the VM or seed called NAME, or NULL. */
struct CfSource *cf_sources_find (struct CfSources *sources, const char *name);

/* Returns the age of news from which on this VM asks the store itself. */
CfMillis cf_sources_stale_ms (struct CfSources *sources);

/* Returns the VM to ask at NOW by one that the store should tell the news and does not, or
 * NULL. */
struct CfSource *cf_sources_choose_vm (struct CfSources *sources, CfMillis now);

/* Says that VMs may run at the IPS, whose names are not known. */
void cf_sources_seed (struct CfSources *sources, char *const *ips);

/* Returns the VM at a seed's address that is to be asked first by one that knows nothing
 * yet, or NULL. */
struct CfSource *cf_sources_choose_seed (struct CfSources *sources, CfMillis now);

/* Returns the IPs (text, not owned) of other VMs, those of this failure domain first. */
GPtrArray *cf_sources_ips (const struct CfSources *sources);

/* The same, of this failure domain only. */
GPtrArray *cf_sources_domain_ips (const struct CfSources *sources);

/* Returns the number of VMs in this failure domain. */
uint32_t cf_sources_domain_size (const struct CfSources *sources);

/* A VM writes its record anew each hour; one that has not for this many is no more.  The time
 * of day of a VM may be off by an hour or so. */
#define CF_SOURCES_EXPIRE_HOURS 4

/* Returns the hour that the VM called NAME writes at NOW_S, seconds of the time of day.  VMs
 * change to the next one at different moments. */
int64_t cf_sources_hour (const char *name, int64_t now_s);

/* Returns a VM whose record is to be deleted, or NULL. */
const struct CfSource *cf_sources_expired (const struct CfSources *sources, int64_t now_s);

/* Returns the store as a source. */
struct CfSource *cf_sources_store (struct CfSources *sources);

/* SOURCE did not answer or has only old news. */
void cf_source_failed (struct CfSource *source, CfMillis now);
void cf_source_answered (struct CfSource *source);

#endif
