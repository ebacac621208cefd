#ifndef CF_BALANCE_PLACE_H
#define CF_BALANCE_PLACE_H

#include "directory.h"
#include "outage.h"

/* Chooses the upstream for a new flow.
 *
 * Loads that this answers: the daily swing, bursts beyond one failure domain's slots,
 * a service with one upstream in a failure domain, upstreams that turn dark or start
 * cold, and failure domains that are cut off or evacuated. */

/* What a flow to another failure domain costs, in requests that wait at an upstream for
 * each of its slots: the near upstreams are filled up to this first. */
#define CF_PLACE_FAR_COST 1.0

struct CfPlacement
{
  const struct CfDirectory *directory;
  GQuark domain;         /* of this VM */
  GHashTable *evacuated; /* set of GQuark: domains that get no new flows */
  double cold_share;     /* flows a second that this VM may open at a cold upstream */
  const struct CfOutages *outages;
  bool may_try; /* this flow may try a suspected upstream */
  GRand *random;
};

/* Of so many flows one may try a suspected upstream: where many are suspected, trials would
 * else be most of what callers get. */
#define CF_PLACE_TRY_EACH 8
/* A VM with few flows tries one this often all the same. */
#define CF_PLACE_TRY_MS 500

/* Why an upstream was chosen, from the best to the last resort. */
enum CfPlaceReason
{
  CF_PLACE_NEAR,    /* in this VM's failure domain */
  CF_PLACE_FAR,     /* near ones are loaded, missing or unfit */
  CF_PLACE_TRY,     /* suspected, and due for one flow */
  CF_PLACE_FAILING, /* it fails requests, and no better one is left */
  CF_PLACE_OUTAGE,  /* its failure domain seems to be out of reach, and no other is left */
  CF_PLACE_COLD,    /* none is warm and in good standing */
  CF_PLACE_SUSPECT, /* none but suspected ones are left */
  CF_PLACE_NONE,
};

const char *cf_place_reason_name (enum CfPlaceReason reason);

/* Returns an upstream of SERVICE that is not among the COUNT upstreams TRIED, or NULL;
 * says in REASON why. */
struct CfTarget *cf_place_flow (const struct CfPlacement *placement,
                                GQuark service,
                                struct CfTarget *const *tried,
                                uint32_t count,
                                CfMillis now,
                                enum CfPlaceReason *reason);

#endif
