#ifndef CF_GUE_INTERNAL_H
#define CF_GUE_INTERNAL_H

#include "cf_core.h"
#include "bounds.h"
#include "flow_table.h"
#include "owners.h"

/* State shared by the modules of the core.
 *
 * Terms: Every VM derives the same "implied" upstream for a flow from the flow's key and the
 * baseline weights.  A flow that is at another upstream has an "entry".  The key also selects a
 * "bucket"; the owner of the bucket makes its entries and replicates them to the other holders,
 * the backups.  An upstream is "marked" while flows implied for it may have entries; packets of
 * such flows go through the owner. */

/* Counts of flows at an upstream, as one VM saw them. */
struct CfLoad
{
  uint32_t opened;
  uint32_t completed; /* flows whose caller sent a second packet */
  uint32_t closed;
};

/* Counts of an upstream in the current window of passive failure detection. */
struct CfOutlierCounts
{
  uint32_t opened;
  uint32_t completed;
  uint32_t repeated; /* retransmitted first packets; not evaluated */
};

/* Slow start of a cold upstream.  Its gatekeeper is the one member that decides about its health
 * and admits new flows to it. */
struct CfSlowStart
{
  double budget;       /* new flows per second that are admitted now */
  double carry;        /* fraction of an admission left over from the last window */
  CfMillis not_before; /* grants of an earlier gatekeeper may be in use until then */
  CfMillis next_growth;
  uint32_t opened; /* fleet counts at the last growth */
  uint32_t completed;
  uint32_t demand;          /* first packets of the service at the last growth */
  uint32_t completed_total; /* flows completed since the cold start */
  uint32_t quota;           /* admissions of the current window */
  uint32_t rotation;        /* rotates the members that get the remainder of the quota */
};

/* State of an upstream.  A slot keeps its index when the configuration changes, and is looked up by
 * the upstream's id. */
struct CfSlot
{
  uint32_t id;
  uint32_t index; /* into the configuration's upstreams, or CF_NO_INDEX */
  const struct CfUpstream *upstream;
  bool domain_in_service; /* its failure domain is in service */
  enum peer_health health;
  uint32_t generation; /* start time that the upstream last reported */
  CfMillis health_since;
  CfMillis closed_since;   /* when it stopped taking new flows, or -1 */
  uint64_t closed_version; /* configuration version at closed_since */
  uint32_t failures;       /* consecutive failed health probes */
  CfMillis probed_at;      /* when the latest probe with a known outcome was sent */
  struct CfLoad load;      /* of this VM */
  struct CfLoad others;    /* sum over the other members, former incarnations included */
  struct CfLoad fleet;     /* sum, updated with every heartbeat */
  double rate;             /* new flows per second, smoothed */
  CfMillis completed_at;   /* when this VM last saw the second packet of a flow, 0: never */
  struct CfOutlierCounts outlier_counts;
  uint32_t entries_away; /* entries of flows implied here and placed elsewhere */
  CfMillis wants_mark_until;
  uint32_t mark_version; /* first version of this VM's marks that contains it, or 0 */
  uint32_t peer_marks;   /* members that mark it */
  CfMillis marked_since; /* -1 while unmarked */
  bool report;           /* it was just marked, and its recent first packets are to be reported */
  uint32_t grant;        /* admissions left of the gatekeeper's last grant */
  CfMillis grant_until;
  uint32_t gatekeeper; /* member index */
  struct CfSlowStart slow_start;
};

/* An upstream of a service. */
struct CfChoice
{
  uint32_t slot;
  uint32_t weight;
  uint32_t baseline_weight;
  uint64_t salt; /* hash of the upstream's id */
};

/* A service as compiled from the configuration. */
struct CfServiceState
{
  const struct CfService *service;
  struct CfServiceStats *stats;
  struct CfChoice *choices;
  uint32_t count;
  bool same_weights;     /* all weights equal the baseline weights */
  bool uniform;          /* all weights above 0 are equal */
  bool baseline_uniform; /* all baseline weights above 0 are equal */
  uint32_t tenant;       /* index into the core's tenants */
};

/* New flows of one tenant in the current window. */
struct CfTenant
{
  char *name;
  uint32_t accepted;
  uint32_t wanted;
  uint32_t last_wanted; /* slowly decaying maximum over recent windows */
};

/* A batch of entries that the receiver has not acknowledged yet. */
struct CfBatch
{
  uint32_t seq; /* 0: unused */
  uint32_t count;
  CfMillis sent_at;
  struct peer_entry entries[CF_BATCH_ENTRIES];
};

/* Replication stream to one member. */
struct CfStream
{
  GArray *urgent; /* of struct peer_entry: of new flows */
  GArray *bulk;   /* of struct peer_entry: handover and refresh */
  uint32_t bulk_head;
  uint32_t next_seq;
  CfMillis sent_at;       /* of the last new batch */
  struct CfBatch *window; /* CF_BATCH_WINDOW batches, NULL until the first is sent */
  uint32_t outstanding;
};

struct CfMember
{
  uint32_t index;
  uint32_t id;
  uint32_t domain;
  struct CfAddress address;
  bool listed;
  bool alive;
  bool left; /* announced that it was leaving, then fell silent */
  enum peer_state state;
  uint64_t incarnation;
  CfMillis heard_at;
  CfMillis sent_at;
  uint64_t config_version;
  uint64_t config_digest;
  uint64_t view;
  uint32_t mark_version; /* of the marks held in marks */
  GArray *marks;         /* of slots */
  bool all_marked;       /* its marks are too many to be listed */
  bool sees_this_vm;
  uint32_t acked_marks;              /* version of this VM's marks that it has received */
  GArray *loads;                     /* of struct CfLoad, by slot */
  uint64_t handover_sent;            /* incarnation to which this VM handed over its entries */
  uint64_t handover_received;        /* this VM's incarnation that got its whole handover */
  uint64_t incarnation_before_pause; /* its incarnation when this VM was paused, 0 if dead */
  CfMillis reconnected_at;           /* when it was heard again after it was declared dead, or -1 */
  /* When an earlier incarnation that had not left was last heard, until the present one has handed
   * over what it kept, or -1. */
  CfMillis absent_since;
  struct CfStream stream;
  uint32_t acks[32];
  uint32_t ack_count;
  CfMillis ack_due;
};

/* A configuration that is being fetched from a member. */
struct CfPull
{
  uint64_t version;
  uint64_t digest;
  uint64_t base;
  uint32_t member;
  uint32_t total;
  GString *data;
  bool full_text;    /* a difference could not be applied: request the full text */
  CfMillis deadline; /* 0: idle */
};

/* A first packet that waits for a mark to be acknowledged, for an entry in flight or
 * for an admission, so that its caller need not retransmit it. */
struct CfParked
{
  bool used;
  bool decide;
  uint32_t hops;
  CfMillis since;
  struct CfAddress reply;
  size_t len;
  uint8_t data[128];
};

#define CF_PARKED_MAX 512

#define CF_CONFIG_HISTORY 8

struct CfCore
{
  struct CfCoreOptions options;
  const struct CfPolicy *policy;
  const struct CfCoreOutputs *out;
  void *context;
  CfMillis start;
  CfMillis last_tick;
  CfMillis resumed_at; /* when a pause was last detected */
  uint64_t incarnation;
  enum peer_state state;
  CfMillis state_since;
  bool superseded; /* a newer process runs under this VM's name */
  bool stop_announced;
  bool may_stop;

  struct CfConfig *config;
  struct CfConfig *history[CF_CONFIG_HISTORY]; /* earlier versions, newest first */
  char *differences[CF_CONFIG_HISTORY]; /* differences from those to config, NULL until asked for */
  uint32_t region;                      /* id of this VM's region, 0 if unknown */
  struct CfServiceState *services;
  uint32_t service_count;
  GArray *tenants; /* of struct CfTenant */
  CfMillis tenant_window;
  uint32_t window_accepted;
  struct CfPull pull;

  GArray *slots; /* of struct CfSlot */
  GHashTable *slot_by_id;
  struct CfFlowTable table;
  uint32_t sweep_cursor;   /* next element of the table to sweep */
  struct CfParked *parked; /* CF_PARKED_MAX elements */
  uint32_t parked_count;
  struct CfParked *retrying; /* the packet that is being retried, or NULL */

  GPtrArray *members; /* of struct CfMember; element 0 is this VM */
  GHashTable *member_by_id;
  struct CfOwners current;            /* serving members */
  struct CfOwners planned;            /* serving and joining members */
  uint32_t fallback[CF_BUCKETS];      /* previous holder of the bucket to ask, or CF_NO_MEMBER */
  CfMillis death_at;                  /* when a member was last declared dead, or -1 */
  CfMillis owned_since[CF_BUCKETS];   /* when this VM became the bucket's owner */
  CfMillis decides_since[CF_BUCKETS]; /* when it stopped asking the fallback */
  bool fallback_active;               /* some bucket has a fallback */
  /* When this VM became the bucket's owner without having its entries, or -1. */
  CfMillis gained_without_entries_at[CF_BUCKETS];
  struct CfCandidate (*holders_before_pause)[CF_HOLDERS]; /* holders at the last pause, or NULL */
  uint64_t view;           /* digest of the serving members and their incarnations */
  bool settled;            /* the members agree on the view and the configuration, none is stale */
  bool config_settled;     /* the members have the same configuration */
  uint64_t common_version; /* every live member has this configuration version or a newer one */
  bool unsure; /* marks of other members may be missing: every upstream counts as marked */
  bool partition_suspected; /* members fell silent or have just come back */
  bool entries_awaited;     /* a member that restarted or paused has not handed over */

  uint32_t mark_version;
  uint32_t all_marked; /* members that mark every upstream */
  bool heartbeat_urgent;
  CfMillis heartbeat_at; /* last regular heartbeat */
  CfMillis urgent_at;    /* last heartbeat of any kind */
  CfMillis view_changed_at;
  CfMillis summed_at; /* last sum of the members' counts */
  uint32_t load_cursor;
  uint32_t warm_cursor;
  double tokens; /* token bucket: bytes that replication may send now */
  CfMillis tokens_at;
  CfMillis outliers_checked_at;
  GArray *suspects; /* of slots */
  CfMillis suspects_until;
  bool watching; /* this VM was told to watch the platform */

  struct CfStats stats;
};

/* Routing state of one packet. */
struct CfRoute
{
  const struct CfPacket *packet;
  struct CfServiceState *service;
  uint64_t key;
  uint32_t implied; /* slot preferred by the baseline weights */
  uint32_t first;   /* slot preferred by the current weights */
  bool opens;       /* the packet may open a flow */
  uint32_t hops;
  uint32_t from; /* id of the VM that transferred the packet, if hops is not 0 */
  bool decide;   /* this VM decides even if it is not the owner */
  CfMillis now;
};

/* Layers, lowest first: a file calls only files that precede it in this list.  core.c, which
 * receives all events, is above them all; explain.c and status.c only read. */

/* stream.c */
void cf_stream_init (struct CfStream *stream);
void cf_stream_clear (struct CfStream *stream);
void cf_stream_reset (struct CfStream *stream);
bool cf_stream_idle (const struct CfStream *stream);
/* Empties STREAM.  Returns the entries (of struct peer_entry) that its receiver had not
 * acknowledged; the caller frees the array. */
GArray *cf_stream_take_pending (struct CfStream *stream);
void cf_stream_ack (struct CfStream *stream, const peer_entries_ack *ack);

/* choose.c */
uint64_t cf_flow_key (const struct CfCore *core,
                      const struct CfService *service,
                      const struct CfPacket *packet);
void cf_choose_preferred (const struct CfServiceState *service,
                          uint64_t key,
                          uint32_t *implied,
                          uint32_t *first);

/* Calls ADMIT for the upstreams of SERVICE in KEY's order of preference by current weights until
 * it returns true.  Returns that slot, or CF_NO_SLOT. */
uint32_t cf_choose_first (struct CfCore *core,
                          const struct CfServiceState *service,
                          uint64_t key,
                          bool (*admit) (struct CfCore *core, uint32_t slot, void *data),
                          void *data);

/* slots.c */
struct CfSlot *cf_slot (const struct CfCore *core, uint32_t slot);
uint32_t cf_slot_for_id (struct CfCore *core, uint32_t id);
bool cf_slot_usable (const struct CfSlot *slot);
bool cf_slot_takes_new (const struct CfSlot *slot);

/* members.c */
struct CfMember *cf_member (const struct CfCore *core, uint32_t index);
struct CfMember *cf_member_by_id (const struct CfCore *core, uint32_t id);
struct CfMember *cf_member_add (struct CfCore *core, uint32_t id);
void cf_member_free (gpointer member);
void cf_members_list_config (struct CfCore *core);
bool cf_member_serves (const struct CfCore *core, const struct CfMember *member);
void cf_member_clear_marks (struct CfCore *core, struct CfMember *member);
void cf_member_update_load (struct CfCore *core,
                            struct CfMember *member,
                            uint32_t slot,
                            struct CfLoad load);
void cf_member_reconnected (struct CfMember *member, CfMillis now);
void cf_member_restarted (struct CfCore *core, struct CfMember *member);

/* flows.c */
struct CfFlow *
cf_flows_record (struct CfCore *core, const struct CfRoute *route, uint32_t slot, uint8_t kind);
void cf_flows_move (struct CfCore *core, struct CfFlow *flow, uint32_t slot, uint8_t kind);
void cf_flows_drop (struct CfCore *core, struct CfFlow *flow);
void cf_flows_seen (struct CfCore *core, struct CfFlow *flow, const struct CfRoute *route);
void cf_flows_rebind (struct CfCore *core);
void cf_flows_count_away (struct CfCore *core, const struct CfFlow *flow, int step);
uint32_t cf_core_seconds (const struct CfCore *core, CfMillis now);

/* gatekeeper.c */
#define CF_NO_GRANT UINT32_MAX /* the heartbeat says nothing about grants */
bool cf_grant_available (const struct CfSlot *slot, CfMillis now);
void cf_grant_window_open (struct CfCore *core, CfMillis now);
uint32_t
cf_grant_for (const struct CfCore *core, const struct CfSlot *slot, const struct CfMember *member);
void cf_slow_start_tick (struct CfCore *core, CfMillis now);
void cf_gatekeepers_update (struct CfCore *core, CfMillis now);
void cf_set_health (struct CfCore *core, uint32_t slot, enum peer_health health, CfMillis now);
void cf_health_receive (struct CfCore *core,
                        struct CfMember *member,
                        const peer_heartbeat *heartbeat,
                        CfMillis now);

/* replicate.c */
/* Replicates FLOW to the other holders of its bucket.  URGENT entries are sent at once, others as
 * the byte budget allows. */
void cf_replicate (struct CfCore *core, struct CfFlow *flow, bool urgent, CfMillis now);
void cf_replicate_removal (struct CfCore *core, const struct CfFlow *flow);
void cf_replicate_to (struct CfCore *core,
                      struct CfMember *member,
                      const struct CfFlow *flow,
                      bool urgent,
                      CfMillis now);
void cf_replicate_handover_end (struct CfMember *member);
/* After a pause: sends MEMBER the present state of the entries that it had not acknowledged, and
 * sets CF_FLOW_UNSHARED on their records. */
void cf_replicate_pending (struct CfCore *core, struct CfMember *member, CfMillis now);
/* Replicates every record with CF_FLOW_UNSHARED to the present holders, clears the flag, and tells
 * all members that these were all. */
void cf_replicate_unshared (struct CfCore *core, CfMillis now);
/* Tells the buckets' owners of recent first packets sent to upstreams whose report flag is set. */
void cf_report_recent (struct CfCore *core, CfMillis now);
void cf_receive_entries (struct CfCore *core,
                         struct CfMember *member,
                         const peer_entries *entries,
                         CfMillis now);

/* view.c */
void cf_view_update (struct CfCore *core, CfMillis now);
void cf_view_settle (struct CfCore *core, CfMillis now);
void cf_view_end_fallbacks (struct CfCore *core, CfMillis now);

/* bind.c */
void cf_slots_bind (struct CfCore *core, bool initial, CfMillis now);

/* send.c */
void cf_send (struct CfCore *core, const struct CfMember *member, struct peer_message *message);

/* sweep.c */
/* Expires and refreshes flows in the next COUNT elements of the table. */
void cf_flows_sweep (struct CfCore *core, uint32_t count, CfMillis now);

/* services.c */
void cf_services_compile (struct CfCore *core);
void cf_services_clear (struct CfCore *core);
struct CfServiceState *cf_service_state (const struct CfCore *core,
                                         const struct CfService *service);

/* outliers.c */
void cf_outliers_tick (struct CfCore *core, CfMillis now);

/* deliver.c */
enum CfVerdict cf_route_to (struct CfCore *core, const struct CfRoute *route, uint32_t slot);
enum CfVerdict cf_route_drop (struct CfCore *core, enum CfDrop drop);
enum CfVerdict
cf_route_refuse (struct CfCore *core, const struct CfRoute *route, enum CfVerdict verdict);

/* baseline.c */
enum CfVerdict cf_route_baseline (struct CfCore *core, struct CfRoute *route);

/* park.c */
/* Keeps the first packet of ROUTE for a later retry, or drops it for the reason DROP. */
enum CfVerdict cf_park (struct CfCore *core, const struct CfRoute *route, enum CfDrop drop);

/* batches.c */
void cf_streams_flush (struct CfCore *core, CfMillis now);

/* marks.c */
bool cf_marked (const struct CfCore *core, uint32_t slot);
bool cf_marked_by_config (const struct CfSlot *slot);
bool cf_may_divert (struct CfCore *core, uint32_t slot, CfMillis now);
void cf_marks_update (struct CfCore *core, CfMillis now);
void cf_marks_receive (struct CfCore *core,
                       struct CfMember *member,
                       const peer_heartbeat *heartbeat,
                       CfMillis now);

/* apply.c */
/* cf_core_set_config is public. */
void cf_config_clear (struct CfCore *core);

/* config_sync.c */
void cf_config_sync_check (struct CfCore *core, struct CfMember *member, CfMillis now);
void cf_config_sync_request (struct CfCore *core,
                             struct CfMember *member,
                             const peer_config_request *request);
void cf_config_sync_chunk (struct CfCore *core,
                           struct CfMember *member,
                           const peer_config_chunk *chunk,
                           CfMillis now);
void cf_config_sync_tick (struct CfCore *core, CfMillis now);
void cf_config_sync_clear (struct CfCore *core);

/* lifecycle.c */
void cf_members_check (struct CfCore *core, CfMillis now);
void cf_members_resume (struct CfCore *core, CfMillis now);
void cf_members_join (struct CfCore *core, CfMillis now);
void cf_enter_state (struct CfCore *core, enum peer_state state, CfMillis now);

/* limits.c */
bool cf_limit_tenant (struct CfCore *core, struct CfServiceState *service, CfMillis now);
uint32_t cf_limit_open (const struct CfSlot *slot);
bool cf_limit_full (const struct CfCore *core, const struct CfSlot *slot);
bool
cf_limit_unfair (const struct CfCore *core, const struct CfServiceState *service, uint32_t slot);
void cf_limits_sum (struct CfCore *core);

/* place.c */
enum CfVerdict cf_place (struct CfCore *core, struct CfRoute *route, struct CfFlow *flow);

/* route.c */
enum CfVerdict cf_route (struct CfCore *core, struct CfRoute *route);

/* receive.c */
void cf_detect_pause (struct CfCore *core, CfMillis now);
void cf_park_retry (struct CfCore *core, CfMillis now);

/* heartbeat.c */
void cf_heartbeats_send (struct CfCore *core, CfMillis now);
void cf_heartbeat_receive (struct CfCore *core, const struct peer_envelope *envelope, CfMillis now);

#endif
