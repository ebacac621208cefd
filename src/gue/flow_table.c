#include "flow_table.h"

#include <glib.h>

#define INITIAL_CAPACITY 1024U

void
cf_flow_table_init (struct CfFlowTable *table, uint32_t max)
{
  *table = (struct CfFlowTable){
    .flows = g_new0 (struct CfFlow, INITIAL_CAPACITY),
    .capacity = INITIAL_CAPACITY,
    .max = max,
  };
}

void
cf_flow_table_clear (struct CfFlowTable *table)
{
  g_free (table->flows);
  *table = (struct CfFlowTable){ 0 };
}

/* The key is a SipHash value already, so its low bits serve as the table's hash; the
 * high bits select the bucket that determines the owner. */
static uint32_t
home (const struct CfFlowTable *table, uint64_t key)
{
  return (uint32_t) key & (table->capacity - 1);
}

struct CfFlow *
cf_flow_find (struct CfFlowTable *table, uint64_t key)
{
  uint32_t mask = table->capacity - 1;

  for (uint32_t i = home (table, key); table->flows[i].key; i = (i + 1) & mask)
    if (table->flows[i].key == key)
      return &table->flows[i];
  return NULL;
}

static struct CfFlow *
claim (struct CfFlowTable *table, uint64_t key)
{
  uint32_t mask = table->capacity - 1;
  uint32_t i = home (table, key);

  while (table->flows[i].key)
    i = (i + 1) & mask;
  table->flows[i].key = key;
  table->count++;
  return &table->flows[i];
}

static void
grow (struct CfFlowTable *table)
{
  struct CfFlowTable larger = {
    .flows = g_new0 (struct CfFlow, (gsize) table->capacity * 2),
    .capacity = table->capacity * 2,
    .max = table->max,
  };

  for (uint32_t i = 0; i < table->capacity; i++)
    if (table->flows[i].key)
      *claim (&larger, table->flows[i].key) = table->flows[i];
  g_free (table->flows);
  *table = larger;
}

struct CfFlow *
cf_flow_insert (struct CfFlowTable *table, uint64_t key)
{
  if (table->count >= table->max)
    return NULL;
  if (table->count >= table->capacity / 4 * 3)
    grow (table);
  return claim (table, key);
}

void
cf_flow_remove (struct CfFlowTable *table, struct CfFlow *flow)
{
  uint32_t mask = table->capacity - 1;
  uint32_t hole = (uint32_t) (flow - table->flows);

  /* Shift later records back into the gap, so that probing never stops short of a record. */
  for (uint32_t i = (hole + 1) & mask; table->flows[i].key; i = (i + 1) & mask)
    {
      uint32_t want = home (table, table->flows[i].key);

      if (((i - want) & mask) < ((i - hole) & mask))
        continue;
      table->flows[hole] = table->flows[i];
      hole = i;
    }
  table->flows[hole] = (struct CfFlow){ 0 };
  table->count--;
}
