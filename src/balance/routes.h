#ifndef CF_BALANCE_ROUTES_H
#define CF_BALANCE_ROUTES_H

#include "segment.h"

#include <glib.h>

/* The routing table: maps the destination address of a flow to its service.  It is replaced by the
 * operators' manifests, whose versions only increase. */

#define CF_SPLIT_MAX 8

/* The part of a route's new flows that goes to one service, by weight. */
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
  uint32_t priority;          /* 0 is highest */
  CfMillis target_latency_ms; /* within which callers need an answer; 0: not stated */
  CfMillis timeout_ms;        /* after which callers give up; 0: not stated */
  bool idempotent;            /* its requests may be repeated after any failure */
  bool removed;               /* not in the current manifest */
};

struct CfServiceTraits
{
  GQuark name;
  double cold_per_s; /* capacity of a cold upstream, requests/s */
  CfMillis cold_ms;  /* how long an upstream is cold after its start */
};

/* A parsed and validated manifest. */
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

/* Applies MANIFEST if its version is higher than the current one.  Returns true if it was
 * applied. */
bool cf_routes_apply (struct CfRoutes *routes, const struct CfManifest *manifest);

/* Returns the current version, 0 before the first manifest. */
uint64_t cf_routes_version (const struct CfRoutes *routes);
CfMillis cf_routes_flow_idle (const struct CfRoutes *routes);

/* Returns the route at ADDRESS, removed ones included, or NULL if there never was one. */
const struct CfRouteEntry *cf_routes_find (const struct CfRoutes *routes,
                                           struct CfEndpoint address);

/* Returns the traits of SERVICE, or NULL if the manifest does not list it. */
const struct CfServiceTraits *cf_routes_service (const struct CfRoutes *routes, GQuark service);

/* Returns the service that a new flow of CALLER on ROUTE goes to: the same on every VM. */
GQuark cf_route_service (const struct CfRouteEntry *route, struct CfEndpoint caller);

/* The same for all callers whose cf_endpoint_hash is HASH.  Returns 0 if all weights are 0. */
GQuark cf_route_service_of_hash (const struct CfRouteEntry *route, uint32_t hash);

#endif
