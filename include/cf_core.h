#ifndef CF_CORE_H
#define CF_CORE_H

#include "cf_config.h"
#include "cf_packet.h"
#include "cf_stats.h"
#include "peer/peer.h"

/* The decision core of an entry VM.
 *
 * The core performs no I/O, reads no clock and starts no thread.  Each input is
 * one call with the time it happened at; each output is a call of a function in
 * struct CfCoreOutputs, made before the input call returns.  Times may come from
 * any monotonic clock.  A core is used from one thread at a time.  It draws no
 * random numbers: the same inputs give the same outputs.
 *
 * Inputs: packets from the fabric, packets and messages from other entry VMs,
 * health answers, configurations, the platform's list of VMs, the operator's
 * request to leave, and the passing of time. */

struct CfCore;

/* Identity of an entry VM, and the keys and policy that it shares with the fleet. */
struct CfCoreOptions
{
  uint32_t vm;              /* id of this VM: cf_name_id of its name */
  uint64_t incarnation;     /* grows with every start of a VM of this name */
  uint32_t domain;          /* id of its failure domain: cf_name_id of its name */
  struct CfAddress address; /* its transfer port, as other VMs reach it */
  uint8_t flow_key[16];     /* key of the flow hash, the same in the fleet */

  const struct CfPolicy *policy; /* NULL: cf_policy_product */
};

/* How flows are placed.  The product's policy is the default; the benchmark also
 * runs baselines through the same core. */
struct CfPolicy
{
  const char *name;
  bool local_table; /* remember each flow on the VM that saw it first */
  bool use_owners;  /* place flows by bucket owners, entries and marks */
};

/* Placement by bucket owners, replicated entries and marks: the product's policy. */
extern const struct CfPolicy cf_policy_product;

/* Rendezvous hashing over the upstreams that are usable now. */
extern const struct CfPolicy cf_policy_hash;

/* As cf_policy_hash, with a table of flows on each VM. */
extern const struct CfPolicy cf_policy_local;

/* Flags of a packet that one entry VM transfers to another. */
enum CfTransferFlags
{
  CF_TRANSFER_DECIDE = 1 << 0, /* the receiver decides even if it is not the owner in its view */
};

/* Transfers of one packet: to the owner by an earlier view, to the present owner, back, and to the
 * VM that decides. */
#define CF_TRANSFER_HOPS_MAX 4

/* Output callbacks.  CONTEXT is the pointer given to cf_core_new.  Arguments are valid during
 * the call only.  Callbacks may call only those functions of the core that take a const core. */
struct CfCoreOutputs
{
  /* Sends PACKET on to UPSTREAM in GUE. */
  void (*forward) (void *context, const struct CfPacket *packet, const struct CfUpstream *upstream);
  /* Sends PACKET with TRANSFER to the entry VM at ADDRESS. */
  void (*transfer) (void *context,
                    const struct CfPacket *packet,
                    const struct peer_transfer *transfer,
                    const struct CfAddress *address);
  /* Refuses the flow of PACKET to its caller.  VERDICT says whether a request may have run. */
  void (*refuse) (void *context, const struct CfPacket *packet, enum CfVerdict verdict);
  /* Sends MESSAGE to the entry VM whose transfer port is at ADDRESS. */
  void (*send_peer) (void *context,
                     const struct CfAddress *address,
                     const struct peer_message *message);
  /* The set of upstreams that this VM is to probe, by configuration index. */
  void (*probe) (void *context, const uint32_t *upstreams, uint32_t count);
  /* Starts or stops watching the platform, which only some VMs of a failure domain do. */
  void (*watch_platform) (void *context, bool watch);
  /* A newer configuration has arrived from a peer and been applied. */
  void (*config_changed) (void *context, const struct CfConfig *config);
  /* The state of this VM changed.  MAY_STOP: all entries were handed over after cf_core_leave, or a
   * newer process runs under this VM's name, so that this one may stop. */
  void (*state_changed) (void *context, enum peer_state state, bool may_stop);
};

/* An entry VM as the platform lists it. */
struct CfListedVm
{
  uint32_t id;
  uint32_t domain;
  struct CfAddress address; /* transfer port */
  bool leaving;
};

/* An answer of an upstream's health endpoint, or the lack of one.  It is about what was asked: of
 * another address than the upstream has by now, or of a time before a probe whose outcome is known,
 * it is ignored. */
struct CfHealthAnswer
{
  uint32_t upstream;        /* id */
  struct CfAddress address; /* of the endpoint that was asked */
  CfMillis asked_at;
  bool reachable;      /* an answer came in time */
  bool serving;        /* the upstream says that it takes requests */
  int64_t start_time;  /* when the upstream process started, 0 if not given */
  uint32_t open_flows; /* as the upstream counts them */
};

/* Creates a core.  OPTIONS is copied; OUTPUTS and CONTEXT must outlive it. */
struct CfCore *cf_core_new (const struct CfCoreOptions *options,
                            const struct CfCoreOutputs *outputs,
                            void *context,
                            CfMillis now);
void cf_core_free (struct CfCore *core);

/* Applies CONFIG if its version is above the current one, or if the version is equal
 * and its digest is the greater one.  Returns true if it was applied.  The core takes a
 * reference of its own. */
bool cf_core_set_config (struct CfCore *core, struct CfConfig *config, CfMillis now);

/* Handles the packet of LEN bytes at DATA that the fabric delivered; refusals return through
 * the fabric's tunnel address REPLY.  Returns the outcome. */
enum CfVerdict cf_core_packet (struct CfCore *core,
                               const uint8_t *data,
                               size_t len,
                               const struct CfAddress *reply,
                               CfMillis now);

/* Handles a packet that another entry VM transferred with TRANSFER. */
enum CfVerdict cf_core_transferred (struct CfCore *core,
                                    const uint8_t *data,
                                    size_t len,
                                    const struct peer_transfer *transfer,
                                    CfMillis now);

/* Handles an authenticated message from another entry VM. */
void cf_core_peer (struct CfCore *core, const struct peer_envelope *envelope, CfMillis now);

void cf_core_health (struct CfCore *core, const struct CfHealthAnswer *answer, CfMillis now);

/* Updates the members from the platform's list of VMs, which may be out of date. */
void
cf_core_vm_list (struct CfCore *core, const struct CfListedVm *vms, size_t count, CfMillis now);

/* Begins a planned stop: entries are handed over, then state_changed reports that
 * the VM may stop. */
void cf_core_leave (struct CfCore *core, CfMillis now);

/* Returns true if this VM may stop now: it is leaving and has nothing left to hand over, or a
 * newer process runs under its name.  More entries may arrive, so call it again right before the
 * process ends. */
bool cf_core_may_stop (const struct CfCore *core);

/* Sends pending entries and heartbeats to other VMs.  To be called after each batch of
 * packets. */
void cf_core_flush (struct CfCore *core, CfMillis now);

#define CF_TICK_MS 50

/* Runs timers and periodic work.  To be called every CF_TICK_MS.  A gap of more than
 * CF_PAUSE_LIMIT_MS means that this VM was paused; it then joins again. */
void cf_core_tick (struct CfCore *core, CfMillis now);

#define CF_PAUSE_LIMIT_MS 1000

/* Returns the current configuration, or NULL. */
const struct CfConfig *cf_core_config (const struct CfCore *core);

const struct CfStats *cf_core_stats (const struct CfCore *core);

enum peer_state cf_core_state (const struct CfCore *core);

/* Returns the incarnation of this VM, which grows after a pause. */
uint64_t cf_core_incarnation (const struct CfCore *core);

/* Returns true if every live member has the same view and configuration as this VM, and
 * this VM has recent marks of all of them. */
bool cf_core_settled (const struct CfCore *core);

/* Returns the bytes of memory that the flow table holds. */
size_t cf_core_flow_bytes (const struct CfCore *core);

/* Appends a JSON object with members, upstreams and counts to TEXT. */
void cf_core_status (const struct CfCore *core, GString *text, CfMillis now);

/* Appends to TEXT, in plain words, why a packet of the flow from CALLER to SERVICE
 * with PROTOCOL goes where it goes. */
void cf_core_explain (const struct CfCore *core,
                      const struct CfAddress *caller,
                      const struct CfAddress *service,
                      uint8_t protocol,
                      GString *text,
                      CfMillis now);

#endif
