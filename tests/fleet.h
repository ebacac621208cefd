#ifndef CF_TEST_FLEET_H
#define CF_TEST_FLEET_H

#include "cf_core.h"
#include "network.h"

/* A simulated fleet: cores on the test network, callers, upstreams, and a checker that
 * tracks the upstream of every flow. */

#define FLEET_VMS 64
#define FLEET_UPSTREAMS 64

struct FleetSpec
{
  uint32_t seed;
  uint32_t vms;
  uint32_t domains;
  uint32_t upstreams[2]; /* of the two services */
  uint32_t cold_flows_per_s;
  uint32_t connections; /* of each upstream, 0: 2000 */
  const struct CfPolicy *policy;
  bool udp;
};

/* What the callers do. */
struct FleetTraffic
{
  double flows_per_s;
  CfMillis life_min;
  CfMillis life_max;
  CfMillis gap; /* between two packets of a flow */
};

struct FleetVm
{
  struct Fleet *fleet;
  uint32_t index;
  struct CfCore *core; /* NULL: not running */
  bool in_fabric;      /* the fabric sends it packets */
  CfMillis paused_until;
  uint64_t generation; /* changes at each start and stop, so that earlier timers end */
  GArray *probes;
  bool may_stop;
  bool watching;             /* asked to watch the platform */
  uint64_t peer_bytes;       /* control bytes sent, with IP and UDP headers */
  uint64_t transfer_bytes;   /* transferred packets with all headers */
  struct CfStats past_stats; /* sum of the counters of earlier incarnations */
};

/* An upstream and what the checker recorded about it. */
struct FleetUpstream
{
  struct Fleet *fleet;
  uint32_t index;
  char name[32];
  uint32_t service;
  uint32_t domain;
  GHashTable *open; /* flow index to itself */
  bool down;
  bool refusing; /* answers every first packet with a reset */
  bool health_reports_down;
  bool health_reports_up;
  int64_t start_time;
  CfMillis cold_since; /* -1: not cold according to the checker */
  CfMillis closed_at;  /* a new flow after it is an error, -1: not closed */
  CfMillis out_at;     /* any packet after it is an error, -1: not out */
  CfMillis last_out;   /* when its failure domain was last out of service on all VMs */
  uint64_t accepted;   /* new flows */
  GArray *arrivals;    /* times of new flows while cold */
};

enum FlowState
{
  FLOW_OPENING,
  FLOW_OPEN,
  FLOW_DONE,
  FLOW_REFUSED,
  FLOW_BROKEN,
  FLOW_UPSTREAM_LOST, /* its failure domain was taken out, or its upstream restarted */
};

struct FleetFlow
{
  enum FlowState state;
  uint8_t service;
  bool udp;
  bool silent;        /* sends data only on request of the test */
  int32_t upstream;   /* where it is open, -1: none */
  int32_t first_seen; /* upstream that saw its first packet, -1: none */
  uint32_t acked;
  uint32_t sent;
  uint32_t tries;
  CfMillis opened_at;   /* its first packet was sent */
  CfMillis answered_at; /* the first answer came, 0: none yet */
  CfMillis ends_at;
  CfMillis wait; /* for the answer to the last packet */
};

/* The checker's counts. */
struct FleetCount
{
  uint64_t opened;
  uint64_t done;
  uint64_t refused;
  uint64_t broken;
  uint64_t upstream_lost;
  uint64_t unanswered;        /* first packets never answered */
  uint64_t misdelivered;      /* packets at an upstream of another service */
  uint64_t opened_twice;      /* first packets that reached two upstreams */
  uint64_t false_not_run;     /* refusals NOT_RUN of a flow that an upstream saw */
  uint64_t late_new;          /* new flows at an upstream that must not get any */
  uint64_t cold_overload;     /* new flows over the limit of a cold upstream */
  uint64_t late_packets;      /* packets into a failure domain that was out */
  uint64_t delayed;           /* flows whose first packet was retransmitted */
  uint64_t icmp_sent;         /* ICMP errors about open flows */
  uint64_t icmp_delivered;    /* those that reached the flow's upstream */
  uint64_t icmp_misdelivered; /* those that reached another upstream */
};

struct Fleet
{
  struct FleetSpec spec;
  struct TestNetwork *network;
  struct CfConfig *config; /* the newest */
  struct FleetVm vms[FLEET_VMS];
  struct FleetUpstream upstreams[FLEET_UPSTREAMS];
  uint32_t upstream_count;
  struct CfAddress services[2];
  GPtrArray *flows; /* of struct FleetFlow */
  struct FleetTraffic traffic;
  double next_flow; /* time of the next new flow, in fractions of a millisecond */
  struct FleetCount count;
  bool trace;
  /* Delivers packets to VM in place of the simulated fabric, for processes on sockets. */
  void (*send) (void *context, uint32_t vm, const uint8_t *data, size_t len);
  void *send_context;
};

struct Fleet *fleet_new (const struct FleetSpec *spec);
void fleet_free (struct Fleet *fleet);

/* Starts VM with the newest configuration, or with none if WITHOUT_CONFIG. */
void fleet_start (struct Fleet *fleet, uint32_t vm, bool without_config);

/* Starts all VMs and runs the fleet until they serve. */
void fleet_start_all (struct Fleet *fleet);

/* Ends VM without notice.  The fabric goes on sending it packets for a while. */
void fleet_kill (struct Fleet *fleet, uint32_t vm);

/* Begins a planned stop of VM: it hands over its flows, the fabric stops sending
 * packets to it, and it ends. */
void fleet_leave (struct Fleet *fleet, uint32_t vm);

/* Suspends VM for SPAN: it handles timers and packets only afterwards. */
void fleet_pause (struct Fleet *fleet, uint32_t vm, CfMillis span);

/* Makes CONFIG (the fleet takes the reference) the newest and gives it to every VM,
 * each after a random delay of up to MAX_DELAY. */
void fleet_set_config (struct Fleet *fleet, struct CfConfig *config, CfMillis max_delay);

/* Drains or undrains upstream number U through the configuration. */
void fleet_drain (struct Fleet *fleet, uint32_t u, bool draining, CfMillis max_delay);

/* Takes failure domain number D into or out of service through the configuration. */
void fleet_set_domain (struct Fleet *fleet, uint32_t d, bool in, CfMillis max_delay);

/* Returns the text of the fleet's first configuration with COUNTS upstreams. */
char *fleet_config_text (const struct FleetSpec *spec, const uint32_t counts[2]);

/* Restarts upstream U without notice: its flows are lost and it is cold. */
void fleet_restart_upstream (struct Fleet *fleet, uint32_t u);

/* Sets the traffic from now on. */
void fleet_set_traffic (struct Fleet *fleet, const struct FleetTraffic *traffic);

/* Opens one flow to SERVICE that lives for LIFE and sends every GAP, 0 for never.
 * Returns it. */
struct FleetFlow *fleet_open (struct Fleet *fleet, uint32_t service, CfMillis life, CfMillis gap);

/* Sends one more data packet of FLOW. */
void fleet_send_data (struct Fleet *fleet, struct FleetFlow *flow);

/* Sends an ICMP error about every open flow, as a router on the way to the caller would. */
void fleet_icmp_errors (struct Fleet *fleet);

/* Advances the virtual time by SPAN. */
void fleet_run (struct Fleet *fleet, CfMillis span);

/* Returns the number of flows now open. */
uint64_t fleet_open_count (const struct Fleet *fleet);

/* Returns the largest number of open flows at an upstream of SERVICE that takes new
 * flows, divided by the mean over these upstreams. */
double fleet_imbalance (const struct Fleet *fleet, uint32_t service);

/* Returns the sum of COUNTER over all VMs. */
uint64_t fleet_counter (const struct Fleet *fleet, enum CfCounter counter);

/* Prints the counts on one line with LABEL. */
void fleet_print (const struct Fleet *fleet, const char *label);

#endif
