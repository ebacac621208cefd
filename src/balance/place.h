#ifndef CF_BALANCE_PLACE_H
#define CF_BALANCE_PLACE_H

#include "directory.h"
#include "outage.h"

/* Chooses the upstream for a new flow.
 *
 * It is designed for daily load cycles, bursts beyond the slots of one failure domain, a
 * service with one upstream in a failure domain, upstreams that stop responding or start cold,
 * and failure domains that are cut off or evacuated. */

/* Cost of a flow to another failure domain, as open flows for each slot of an upstream: near
 * upstreams are filled up to this load first. */
#define CF_PLACE_FAR_COST 1.0

struct CfPlacement
{
  struct CfDirectory *directory;
  GQuark domain;         /* of this VM */
  GHashTable *evacuated; /* set of GQuark: domains that get no new flows */
  double cold_share;     /* share of this VM in a cold upstream's capacity, flows/s */
  const struct CfOutages *outages;
  bool may_try;    /* this flow may be a trial of a suspected upstream */
  bool use_pace;   /* healthy upstreams get flows by their pace (pace.h), not by load alone */
  bool prefer_far; /* CF_PLACE_FAR_COST applies to near upstreams instead of far ones */
  GRand *random;
};

/* With use_pace, while upstreams are uneven, so many healthy upstreams are drawn by weight, and the
 * least loaded is chosen. */
#define CF_PLACE_DRAWS 2
/* With this many open flows of its own for each upstream, a VM chooses the least loaded of all. */
#define CF_PLACE_OPEN_KNOWN 0.5

/* At most one in this many flows tries a suspected upstream.  If many upstreams are suspected,
 * most flows would be trials otherwise. */
#define CF_PLACE_TRY_EACH 8
/* A VM with few flows may make a trial after this time nevertheless. */
#define CF_PLACE_TRY_MS 500

/* Why an upstream was chosen, in descending order of preference. */
enum CfPlaceReason
{
  CF_PLACE_NEAR,    /* in this VM's failure domain */
  CF_PLACE_FAR,     /* near ones are loaded, missing or not eligible */
  CF_PLACE_TRY,     /* suspected, and due for a trial */
  CF_PLACE_FAILING, /* fails requests, and there is no better one */
  CF_PLACE_OUTAGE,  /* in a domain with an outage, and there is no better one */
  CF_PLACE_COLD,    /* cold, and there is no better one */
  CF_PLACE_SUSPECT, /* suspected, and there is no better one */
  CF_PLACE_NONE,
};

/* Failure domains that are avoided, looked up for each upstream.  NULL: none, as nearly always. */
struct CfAvoidedDomains
{
  GHashTable *evacuated; /* set of GQuark: domains that get no new flows */
  const struct CfOutages *outages;
};

static inline struct CfAvoidedDomains
cf_avoided_domains (GHashTable *evacuated, const struct CfOutages *outages)
{
  return (struct CfAvoidedDomains){
    .evacuated = g_hash_table_size (evacuated) > 0 ? evacuated : NULL,
    .outages = cf_outages_any (outages) ? outages : NULL,
  };
}

static inline bool
cf_domain_evacuated (const struct CfAvoidedDomains *avoided, GQuark domain)
{
  return avoided->evacuated
         && g_hash_table_contains (avoided->evacuated, GUINT_TO_POINTER (domain));
}

static inline bool
cf_domain_suspected (const struct CfAvoidedDomains *avoided, GQuark domain)
{
  return avoided->outages && cf_outages_suspects (avoided->outages, domain);
}

const char *cf_place_reason_name (enum CfPlaceReason reason);

/* Returns the best upstream of SERVICE that is not among the COUNT upstreams TRIED, or NULL, and
 * stores in REASON why it was chosen. */
struct CfTarget *cf_place_flow (const struct CfPlacement *placement,
                                GQuark service,
                                struct CfTarget *const *tried,
                                uint32_t count,
                                CfMillis now,
                                enum CfPlaceReason *reason);

#endif
