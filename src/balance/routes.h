#ifndef CF_BALANCE_ROUTES_H
#define CF_BALANCE_ROUTES_H

#include "segment.h"

#include <glib.h>

/* Which service a new flow belongs to, by the address that its caller connects to.  The
 * table follows the operators' manifests; a version never goes back. */

#define CF_SPLIT_MAX 8

/* A part of a route's new flows. */
struct CfSplit
{
  GQuark service;
  uint32_t weight;
};

struct CfRouteEntry
{
  struct CfEndpoint address;
  struct CfSplit splits[CF_SPLIT_MAX];
  uint32_t split_count;
  uint32_t priority; /* 0 is highest */
  bool removed;      /* by the manifest in force */
};

struct CfServiceTraits
{
  GQuark name;
  double cold_per_s; /* requests a second that a cold upstream bears */
  CfMillis cold_ms;  /* how long an upstream is cold after its start */
};

/* A manifest, read and checked. */
struct CfManifest
{
  uint64_t version;
  GArray *routes;   /* of struct CfRouteEntry */
  GArray *services; /* of struct CfServiceTraits */
  CfMillis flow_idle_ms;
};

struct CfManifest *cf_manifest_new (void);
void cf_manifest_free (struct CfManifest *manifest);

struct CfRoutes;

struct CfRoutes *cf_routes_new (void);
void cf_routes_free (struct CfRoutes *routes);

/* Puts MANIFEST in force unless it is older than the one in force.  Returns true if it
 * is. */
bool cf_routes_apply (struct CfRoutes *routes, const struct CfManifest *manifest);

/* Returns the version in force, 0 before the first. */
uint64_t cf_routes_version (const struct CfRoutes *routes);
CfMillis cf_routes_flow_idle (const struct CfRoutes *routes);

/* Returns the route at ADDRESS, removed ones included, or NULL if there never was one. */
const struct CfRouteEntry *cf_routes_find (const struct CfRoutes *routes,
                                           struct CfEndpoint address);

/* Returns the traits of SERVICE, or NULL if the manifest does not list it. */
const struct CfServiceTraits *cf_routes_service (const struct CfRoutes *routes, GQuark service);

/* Returns the service that a new flow of CALLER on ROUTE goes to: the same on every VM. */
GQuark cf_route_service (const struct CfRouteEntry *route, struct CfEndpoint caller);

#endif
