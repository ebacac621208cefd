#ifndef CF_FEED_SOURCES_H
#define CF_FEED_SOURCES_H

#include "cf_types.h"

#include <glib.h>

/* Decides where a VM gets the store's news from: the store itself, or another entry VM.
 *
 * Each call to the store has a price, and its rates grow more slowly than the fleet.  So
 * one VM of a group reads the store and the others of its failure domain follow it; the
 * next in a fixed order takes over when it fails.  A VM that the store does not serve
 * follows whoever has news. */

/* VMs that follow one reader: what the smallest VM can answer beside its packets. */
#define CF_SOURCES_GROUP_MAX 32
/* A source that failed is left alone for this long, doubled with each failure. */
#define CF_SOURCES_RETRY_MIN_MS 1000
#define CF_SOURCES_RETRY_MAX_MS 8000
/* News older than this are worse than asking elsewhere: the store's reader hears from it
 * every 2 s. */
#define CF_SOURCES_STALE_MS 3500

/* An entry VM of the fleet. */
struct CfSource
{
  char *name; /* NULL: the store itself */
  char *domain;
  char *ip;
  double link_mbps;
  CfMillis down_until; /* not asked before */
  uint32_t failures;   /* in a row */
};

struct CfSources;

/* For the VM called NAME in the failure domain DOMAIN. */
struct CfSources *cf_sources_new (const char *name, const char *domain);
void cf_sources_free (struct CfSources *sources);

/* Says that there is a VM called NAME, or no longer is (IP is NULL). */
void cf_sources_set (struct CfSources *sources,
                     const char *name,
                     const char *domain,
                     const char *ip,
                     double link_mbps);

/* Returns the source to use at NOW.  The result is valid until the next call of
 * cf_sources_set. */
struct CfSource *cf_sources_choose (struct CfSources *sources, CfMillis now);

/* Says that VMs may run at the IPS, whose names are not known. */
void cf_sources_seed (struct CfSources *sources, char *const *ips);

/* Returns the VM at a seed's address that is to be asked first by one that knows nothing
 * yet, or NULL. */
struct CfSource *cf_sources_choose_seed (struct CfSources *sources, CfMillis now);

/* Returns the IPs (text, not owned) of other VMs, those of this failure domain first. */
GPtrArray *cf_sources_ips (const struct CfSources *sources);

/* The same, of this failure domain only. */
GPtrArray *cf_sources_near_ips (const struct CfSources *sources);

/* Returns the number of VMs in this failure domain. */
uint32_t cf_sources_domain_size (const struct CfSources *sources);

/* Returns the store as a source. */
struct CfSource *cf_sources_store (struct CfSources *sources);

/* SOURCE did not answer or has only old news. */
void cf_source_failed (struct CfSource *source, CfMillis now);
void cf_source_answered (struct CfSource *source);

#endif
