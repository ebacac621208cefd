#ifndef CF_FLOW_TABLE_H
#define CF_FLOW_TABLE_H

#include "cf_types.h"

/* A hash table of flow records with open addressing and linear probing. */

enum CfFlowKind
{
  CF_FLOW_RECENT, /* not replicated: recorded from a packet here or from another VM's report */
  CF_FLOW_ENTRY,  /* placed by the bucket's owner and known to its backups */
};

enum CfFlowFlags
{
  CF_FLOW_HALF_OPEN = 1 << 0, /* only first packets seen so far */
  CF_FLOW_CLOSING = 1 << 1,   /* a FIN or RST was seen */
  CF_FLOW_PINNED = 1 << 2,    /* recorded after its first packet */
  CF_FLOW_STALE = 1 << 3,     /* held since before a pause and not confirmed */
  CF_FLOW_UDP = 1 << 4,
  CF_FLOW_REMOVED = 1 << 5,      /* on the wire: the flow has ended */
  CF_FLOW_REPORT = 1 << 6,       /* on the wire: from a VM that is not the owner */
  CF_FLOW_HANDOVER_END = 1 << 7, /* on the wire: marks the end of a handover */
  CF_FLOW_COUNTED = 1 << 9,      /* this VM counted it as opened */
  CF_FLOW_UNCONFIRMED = 1 << 8,  /* half open when the owner last replicated it */
  CF_FLOW_UNSHARED = 1 << 10,    /* kept over a pause: this VM may be the only holder */
};

/* One flow.  Times are in seconds since the core started. */
struct CfFlow
{
  uint64_t key; /* 0: unused element */
  uint32_t slot;
  uint32_t implied;  /* slot to which a VM without a record would send it */
  uint32_t seen_s;   /* last packet */
  uint32_t placed_s; /* last placement at an upstream */
  uint32_t sent_s;   /* last replication to the backups */
  uint16_t kind : 4;
  uint16_t flags : 12;
  uint16_t first_ms; /* low bits of the time of the first packet */
};

struct CfFlowTable
{
  struct CfFlow *flows;
  uint32_t capacity; /* a power of two */
  uint32_t count;
  uint32_t max; /* records it may hold */
};

/* Prepares TABLE for up to MAX records. */
void cf_flow_table_init (struct CfFlowTable *table, uint32_t max);
void cf_flow_table_clear (struct CfFlowTable *table);

/* Returns the record of KEY, or NULL.  Valid until the next insertion or removal. */
struct CfFlow *cf_flow_find (struct CfFlowTable *table, uint64_t key);

/* Returns a new zeroed record for KEY, which must not be present, or NULL if the
 * table is full. */
struct CfFlow *cf_flow_insert (struct CfFlowTable *table, uint64_t key);

/* Removes FLOW.  Records after it may move up as far as its place, never past it. */
void cf_flow_remove (struct CfFlowTable *table, struct CfFlow *flow);

#endif
