/* The protocol between entry VMs.  Every datagram is one ONC RPC call of
 * PEER_DELIVER followed by a keyed MAC; there are no RPC replies.  All messages
 * are idempotent. */

enum peer_state {
  PEER_JOINING = 0,
  PEER_SERVING = 1,
  PEER_LEAVING = 2
};

enum peer_kind {
  PEER_HEARTBEAT = 0,
  PEER_ENTRIES = 1,
  PEER_ENTRIES_ACK = 2,
  PEER_CONFIG_REQUEST = 3,
  PEER_CONFIG_CHUNK = 4
};

/* Cumulative counts of flows that the sender forwarded to an upstream. */
struct peer_load {
  unsigned upstream;
  unsigned opened;
  unsigned completed;
  unsigned closed;
};

enum peer_health {
  PEER_WARM = 0,
  PEER_COLD = 1,
  PEER_UNREACHABLE = 2
};

/* State of an upstream as decided by its gatekeeper, the VM that alone judges its
 * health.  grant: new flows that the receiver may admit until the next heartbeat. */
struct peer_upstream {
  unsigned upstream;
  peer_health health;
  unsigned generation;
  unsigned budget;
  unsigned grant;
};

/* seen_incarnation and seen_marks are the receiver's values as the sender last received
 * them, 0 if it never did.  The marks are omitted once the receiver has acknowledged
 * this version of them; if there are too many to list, all_marked is set in place of
 * the list. */
struct peer_heartbeat {
  peer_state state;
  unsigned domain;
  opaque address[16];
  unsigned port;
  unsigned hyper config_version;
  unsigned hyper config_digest;
  unsigned hyper view;
  unsigned hyper seen_incarnation;
  unsigned seen_marks;
  unsigned mark_version;
  bool has_marks;
  bool all_marked;
  unsigned marks<4096>;
  peer_load loads<64>;
  peer_upstream upstreams<1024>;
  unsigned suspects<64>;
};

/* A flow whose upstream is not the one that the configuration implies for it. */
struct peer_entry {
  unsigned hyper key;
  unsigned upstream;
  unsigned flags;
};

struct peer_entries {
  unsigned seq;
  peer_entry entries<64>;
};

struct peer_entries_ack {
  unsigned hyper incarnation;
  unsigned seqs<32>;
};

struct peer_config_request {
  unsigned hyper have;
  unsigned hyper have_digest;
  unsigned hyper revision;
  unsigned hyper digest;
  unsigned offset;
};

struct peer_config_chunk {
  unsigned hyper revision;
  unsigned hyper digest;
  unsigned hyper base;
  unsigned total;
  unsigned offset;
  opaque data<1024>;
};

union peer_message switch (peer_kind kind) {
  case PEER_HEARTBEAT:
    peer_heartbeat heartbeat;
  case PEER_ENTRIES:
    peer_entries entries;
  case PEER_ENTRIES_ACK:
    peer_entries_ack ack;
  case PEER_CONFIG_REQUEST:
    peer_config_request request;
  case PEER_CONFIG_CHUNK:
    peer_config_chunk chunk;
};

struct peer_envelope {
  unsigned vm;
  unsigned hyper incarnation;
  peer_message message;
};

/* Context of a packet that one entry VM transfers to another. */
struct peer_transfer {
  unsigned from;
  unsigned service;
  unsigned hyper key;
  unsigned hops;
  unsigned flags;
  opaque reply_address[16];
  unsigned reply_port;
};

program PEER_PROGRAM {
  version PEER_VERSION {
    void PEER_DELIVER (peer_envelope) = 1;
  } = 1;
} = 0x2cfe0001;
