#ifndef CF_CONFIG_H
#define CF_CONFIG_H

#include "cf_types.h"

#include <glib.h>

/* The configuration of a fleet: services, upstreams, failure domains and entry
 * VMs, which are the VMs that run the load balancer.  A struct CfConfig is immutable
 * once built and is shared by reference counting.  The id of an object is a hash of
 * its name, so VMs with different versions refer to the same object by it. */

#define CF_NO_INDEX UINT32_MAX
#define CF_WEIGHT_MAX 1000
#define CF_WEIGHT_DEFAULT 100

enum CfProtocol
{
  CF_PROTOCOL_TCP = 6,
  CF_PROTOCOL_UDP = 17,
};

enum CfUpstreamMode
{
  CF_UPSTREAM_ACTIVE,
  CF_UPSTREAM_DRAINING, /* keeps its flows and gets no new ones */
  CF_UPSTREAM_REMOVED,  /* not configured any more; kept until its flows have ended */
};

struct CfFailureDomain
{
  char *name;
  uint32_t id;
  char *region;
  bool in_service;
};

struct CfVm
{
  char *name;
  uint32_t id;
  uint32_t domain; /* index into domains */
  char *ip;        /* address of the VM's transfer and peer sockets */
};

struct CfUpstream
{
  char *name;
  uint32_t id;
  uint32_t service; /* index into services */
  uint32_t domain;  /* index into domains */
  struct CfAddress tunnel;
  struct CfAddress health;   /* port 0: the upstream has no health endpoint */
  uint32_t weight;           /* in the current list, 0 to CF_WEIGHT_MAX */
  uint32_t baseline_weight;  /* in the baseline list (see cf_config_derive), 0: not in it */
  uint32_t cold_flows_per_s; /* new flows a second that it can take while cold */
  uint32_t slots;            /* requests that it handles concurrently */
  uint32_t connections;      /* limit of its open flows */
  enum CfUpstreamMode mode;
  int64_t removed_at_s; /* wall clock, for CF_UPSTREAM_REMOVED */
};

struct CfService
{
  char *name;
  uint32_t id;
  char *tenant;
  struct CfAddress address;
  enum CfProtocol protocol;
  int64_t changed_at_s;    /* wall clock of the last change of the current list */
  uint32_t *upstreams;     /* indices into CfConfig.upstreams */
  uint32_t upstream_count; /* members of the current or the baseline list */
};

struct CfLimits
{
  double imbalance;          /* upstreams above (1 + imbalance) times their share are skipped */
  CfMillis flow_idle_ms;     /* a flow silent for longer has ended */
  CfMillis retain_ms;        /* how long a removed upstream keeps its flows */
  uint32_t peer_bytes_per_s; /* limit for the replication traffic of one VM */
  uint32_t new_flows_per_s;  /* new flows that one VM accepts, 0: no limit */
};

struct CfConfig
{
  int refs;
  uint64_t version;
  uint64_t digest; /* of the canonical text */
  char *text;      /* canonical text, as the platform and other VMs store and send it */
  struct CfLimits limits;
  struct CfFailureDomain *domains;
  uint32_t domain_count;
  struct CfVm *vms;
  uint32_t vm_count;
  struct CfUpstream *upstreams;
  uint32_t upstream_count;
  struct CfService *services;
  uint32_t service_count;
  GHashTable *service_by_address;
  GHashTable *upstream_by_id;
};

/* Reads every file of the folder DIR whose name ends in ".conf", in name order;
 * a later file overrides an earlier one by key.  Every fault found adds one line
 * "file:line: [group] key: reason" to FAULTS.  Returns the configuration, or
 * NULL if there was any fault. */
struct CfConfig *cf_config_read_folder (const char *dir, GPtrArray *faults);

/* Parses canonical TEXT as written by this program.  Returns NULL and fills in
 * ERROR if it is not valid. */
struct CfConfig *cf_config_parse (const char *text, struct CfError *error);

/* Returns the configuration with VERSION that results when an operator supplies
 * FOLDER while PREVIOUS (may be NULL) is in force.  The baseline list of a service,
 * its upstreams and weights before the last change, is kept until every flow that
 * the two lists place differently was pinned or has ended at NOW_S (wall clock), and
 * then becomes the list of PREVIOUS.  Removed upstreams are kept until their flows have
 * ended.  States of failure domains and upstreams stay unless FOLDER sets them. */
struct CfConfig *cf_config_derive (const struct CfConfig *previous,
                                   const struct CfConfig *folder,
                                   uint64_t version,
                                   int64_t now_s);

/* Returns true if A and B describe the same services, upstreams, failure domains,
 * VMs and limits, whatever their versions and baselines. */
bool cf_config_same_content (const struct CfConfig *a, const struct CfConfig *b);

/* Returns a copy of CONFIG with VERSION in which failure domain NAME is in or out
 * of service.  Fails with CF_ERROR_INPUT if the domain does not exist, or if it
 * is the last one in service and FORCE is false. */
struct CfConfig *cf_config_set_domain (const struct CfConfig *config,
                                       const char *name,
                                       bool in_service,
                                       bool force,
                                       uint64_t version,
                                       struct CfError *error);

/* Returns a copy of CONFIG with VERSION in which upstream NAME is draining or
 * active.  Fails with CF_ERROR_INPUT if there is no such upstream. */
struct CfConfig *cf_config_set_drain (const struct CfConfig *config,
                                      const char *name,
                                      bool draining,
                                      uint64_t version,
                                      struct CfError *error);

struct CfConfig *cf_config_ref (struct CfConfig *config);
void cf_config_unref (struct CfConfig *config);

/* Returns the service at ADDRESS and PROTOCOL, or NULL. */
const struct CfService *cf_config_find_service (const struct CfConfig *config,
                                                const struct CfAddress *address,
                                                uint8_t protocol);

/* Returns the index of the upstream with ID, or CF_NO_INDEX. */
uint32_t cf_config_find_upstream (const struct CfConfig *config, uint32_t id);

/* Returns the index of the VM with ID, or CF_NO_INDEX. */
uint32_t cf_config_find_vm (const struct CfConfig *config, uint32_t id);

/* Returns the id of an object called NAME.  Never 0. */
uint32_t cf_name_id (const char *name);

#endif
