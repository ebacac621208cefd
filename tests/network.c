#include "network.h"

#include <string.h>

#define START_MS 1000000
#define VMS_MAX 2048

struct Event
{
  CfMillis at;
  uint64_t serial; /* keeps events of one time in order */
  TestHandler *handler;
  void *context;
  void *payload;
  GDestroyNotify free;
};

struct TestNetwork
{
  GArray *heap; /* of struct Event */
  CfMillis now;
  uint64_t serial;
  GRand *random;
  struct TestLink link;
  uint32_t groups[VMS_MAX];
};

struct TestNetwork *
test_network_new (uint32_t seed)
{
  struct TestNetwork *network = g_new0 (struct TestNetwork, 1);

  network->heap = g_array_new (FALSE, FALSE, sizeof (struct Event));
  network->now = START_MS;
  network->random = g_rand_new_with_seed (seed);
  network->link = (struct TestLink){ .delay_min = 1, .delay_max = 3 };
  return network;
}

static struct Event *
event (struct TestNetwork *network, guint i)
{
  return &g_array_index (network->heap, struct Event, i);
}

void
test_network_free (struct TestNetwork *network)
{
  for (guint i = 0; i < network->heap->len; i++)
    if (event (network, i)->free)
      event (network, i)->free (event (network, i)->payload);
  g_array_unref (network->heap);
  g_rand_free (network->random);
  g_free (network);
}

CfMillis
test_network_now (const struct TestNetwork *network)
{
  return network->now;
}

GRand *
test_network_random (struct TestNetwork *network)
{
  return network->random;
}

static bool
before (const struct Event *a, const struct Event *b)
{
  return a->at != b->at ? a->at < b->at : a->serial < b->serial;
}

static void
swap (struct TestNetwork *network, guint a, guint b)
{
  struct Event held = *event (network, a);

  *event (network, a) = *event (network, b);
  *event (network, b) = held;
}

void
test_network_at (struct TestNetwork *network,
                 CfMillis at,
                 TestHandler *handler,
                 void *context,
                 void *payload,
                 GDestroyNotify free)
{
  struct Event fresh = {
    .at = at,
    .serial = network->serial++,
    .handler = handler,
    .context = context,
    .payload = payload,
    .free = free,
  };
  guint i = network->heap->len;

  g_array_append_val (network->heap, fresh);
  while (i > 0 && before (event (network, i), event (network, (i - 1) / 2)))
    {
      swap (network, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct Event
pop (struct TestNetwork *network)
{
  struct Event first = *event (network, 0);
  guint len = network->heap->len - 1;
  guint i = 0;

  swap (network, 0, len);
  g_array_set_size (network->heap, len);
  for (;;)
    {
      guint least = i;

      for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < len; child++)
        if (before (event (network, child), event (network, least)))
          least = child;
      if (least == i)
        return first;
      swap (network, i, least);
      i = least;
    }
}

void
test_network_set_link (struct TestNetwork *network, const struct TestLink *link)
{
  network->link = *link;
}

void
test_network_set_group (struct TestNetwork *network, uint32_t vm, uint32_t group)
{
  network->groups[vm] = group;
}

bool
test_network_reaches (const struct TestNetwork *network, uint32_t from, uint32_t to)
{
  return network->groups[from] == network->groups[to];
}

static CfMillis
delay (struct TestNetwork *network)
{
  return g_rand_int_range (network->random, (gint32) network->link.delay_min,
                           (gint32) network->link.delay_max + 1);
}

void
test_network_send (struct TestNetwork *network,
                   uint32_t from,
                   uint32_t to,
                   TestHandler *handler,
                   void *context,
                   const void *payload,
                   size_t size)
{
  int copies = 1 + (g_rand_double (network->random) < network->link.duplicate);

  if (!test_network_reaches (network, from, to))
    return;
  for (int i = 0; i < copies; i++)
    if (g_rand_double (network->random) >= network->link.loss)
      test_network_at (network, network->now + delay (network), handler, context,
                       g_memdup2 (payload, size), g_free);
}

void
test_network_run (struct TestNetwork *network, CfMillis until)
{
  while (network->heap->len > 0 && event (network, 0)->at <= until)
    {
      struct Event next = pop (network);

      network->now = next.at;
      next.handler (next.context, next.payload);
      if (next.free)
        next.free (next.payload);
    }
  network->now = until;
}
