#ifndef CF_SOAK_H
#define CF_SOAK_H

#include "balance/segment.h"
#include "feed/record.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

/* A randomized soak: the real program as several processes on loopback, a stand-in of the
 * platform's store behind a proxy for each VM, upstreams and callers.  Faults come from
 * outside the processes; the promises are checked from what callers and upstreams see. */

#define SOAK_VMS 5
#define SOAK_UPSTREAMS 10
#define SOAK_DOMAINS 2

#define SOAK_DRAIN_MS 3000  /* from an announcement until new flows keep away */
#define SOAK_COLD_MS 2500   /* upstreams of a domain that is taken back count as cold */
#define SOAK_STABLE_MS 4000 /* a VM is held to a bound after this time without a fault */
#define SOAK_GRACE_MS 6000  /* from SIGTERM until SIGKILL */

struct Soak;

/* The store. */

struct SoakStore;

struct SoakStore *soak_store_new (struct Soak *soak);
void soak_store_free (struct SoakStore *store);
/* Writes CONTENT (NULL: deletes) at NAME of KIND. */
void soak_store_put (struct SoakStore *store,
                     enum CfFeedKind kind,
                     const char *name,
                     const char *content);
/* Forgets the changes so far; those who wait hear that they are gone. */
void soak_store_compact (struct SoakStore *store);

/* The way from one VM to the store. */

enum SoakPath
{
  SOAK_PATH_OPEN,
  SOAK_PATH_SLOW,      /* each piece of data takes 300 ms more */
  SOAK_PATH_BLACKHOLE, /* nothing passes, and nothing is closed */
  SOAK_PATH_ONE_WAY,   /* questions pass, answers do not */
  SOAK_PATH_RESET,     /* connections are reset */
  SOAK_PATHS,
};

struct SoakProxy;

struct SoakProxy *soak_proxy_new (const char *ip, uint16_t port, uint16_t store_port);
void soak_proxy_free (struct SoakProxy *proxy);
void soak_proxy_set (struct SoakProxy *proxy, enum SoakPath path);

/* Entry VMs. */

struct SoakVm
{
  struct Soak *soak;
  int index;
  char ip[32];
  const char *domain;
  char *settings; /* path */
  GPid pid;       /* 0: not running */
  bool frozen;
  bool in_rotation;
  int misses;
  int64_t last_fault_at; /* last fault on it */
  struct SoakProxy *proxy;
};

void soak_vm_start (struct SoakVm *vm);
/* Sends SIGNAL; a VM that ends is started again. */
void soak_vm_signal (struct SoakVm *vm, int signal);
void soak_vm_pause (struct SoakVm *vm, int ms);

/* Upstreams and callers. */

struct SoakUpstream
{
  struct Soak *soak;
  int index;
  char id[24];
  char ip[32];
  const char *domain;
  const char *service;
  uint64_t tag;
  int64_t born;
  bool unresponsive; /* does not answer */
  bool draining;
  int64_t drained_at; /* when the store accepted that it drains */
  GSocket *socket;
  GSource *source;
  GHashTable *flows; /* of struct SoakFlow that are open here */
};

void soak_upstreams_start (struct Soak *soak);
void soak_upstreams_stop (struct Soak *soak);
void soak_upstream_announce (struct SoakUpstream *upstream);
/* The upstream has ended and starts anew, under its id or a new one. */
void soak_upstream_restart (struct SoakUpstream *upstream, bool same_id);

void soak_callers_start (struct Soak *soak);
void soak_callers_stop (struct Soak *soak);

struct Soak
{
  GMainLoop *loop;
  GRand *random;
  char *program;
  char *folder;
  uint16_t port; /* of the fabric; the next ones are in use too */
  struct SoakStore *store;
  struct SoakVm vms[SOAK_VMS];
  struct SoakUpstream upstreams[SOAK_UPSTREAMS];
  SoupSession *session;
  GSocket *callers;
  GSource *callers_source;
  GHashTable *flows; /* port to struct SoakFlow */
  uint16_t next_port;
  uint64_t version;
  bool second_route; /* the manifest in force has the route to "t" at port 82 */
  int64_t route_changed_at;
  const char *evacuated; /* domain, or NULL */
  int64_t evacuated_at;
  int64_t evacuation_ended_at; /* when a domain was last taken back */
  int64_t any_fault_at;        /* last fault of any kind */
  bool ending;                 /* no more faults and no restarts */
  uint32_t asked;
  uint32_t served;
  uint32_t stable_requests; /* long after the last fault */
  uint32_t stable_served;
  uint32_t violations;
};

int64_t soak_now (void);
void soak_violation (struct Soak *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Returns true if no fault happened to VM (NULL: to any) for SOAK_STABLE_MS. */
bool soak_is_stable (const struct Soak *soak, const struct SoakVm *vm);

#define SOAK_FABRIC_PORT(soak) ((soak)->port)
#define SOAK_READY_PORT(soak) ((uint16_t) ((soak)->port + 1))
#define SOAK_PEER_PORT(soak) ((uint16_t) ((soak)->port + 2))
#define SOAK_STORE_PORT(soak) ((uint16_t) ((soak)->port + 3))
#define SOAK_UPSTREAM_PORT(soak) ((uint16_t) ((soak)->port + 4))

#endif
