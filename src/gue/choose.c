#include "internal.h"

#include <math.h>
#include <sodium.h>
#include <string.h>

/* Everything that names a flow, laid out without padding. */
struct FlowTuple
{
  uint32_t service;
  uint16_t caller_port;
  uint16_t service_port;
  uint8_t caller_ip[16];
  uint8_t service_ip[16];
  uint8_t protocol[8];
};

uint64_t
cf_flow_key (const struct CfCore *core,
             const struct CfService *service,
             const struct CfPacket *packet)
{
  struct FlowTuple tuple = {
    .service = service->id,
    .caller_port = packet->caller.port,
    .service_port = packet->service.port,
    .protocol = { packet->protocol },
  };
  uint64_t key;

  memcpy (tuple.caller_ip, packet->caller.ip, sizeof tuple.caller_ip);
  memcpy (tuple.service_ip, packet->service.ip, sizeof tuple.service_ip);
  crypto_shorthash ((uint8_t *) &key, (const uint8_t *) &tuple, sizeof tuple,
                    core->options.flow_key);
  return key ? key : 1;
}

/* Weighted rendezvous hashing (Schindelhauer and Schomaker's logarithmic method):
 * the score -weight / ln (u) gives each upstream a share in proportion to its
 * weight.  With equal weights the order of the hashes is the same order. */
static double
weighted_score (uint64_t hash, uint32_t weight)
{
  double u = ((double) (hash >> 11) + 0.5) * 0x1p-53;

  return -(double) weight / log (u);
}

static uint64_t
choice_hash (uint64_t key, const struct CfChoice *choice)
{
  uint64_t x = (key ^ choice->salt) * 0xff51afd7ed558ccdULL;

  x ^= x >> 32;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 29;
}

static uint32_t
best_uniform (const struct CfServiceState *service, uint64_t key, bool baseline)
{
  uint32_t best = CF_NO_SLOT;
  uint64_t best_hash = 0;

  for (uint32_t i = 0; i < service->count; i++)
    {
      const struct CfChoice *choice = &service->choices[i];
      uint64_t hash;

      if (!(baseline ? choice->baseline_weight : choice->weight))
        continue;
      hash = choice_hash (key, choice);
      if (best != CF_NO_SLOT && hash <= best_hash)
        continue;
      best = choice->slot;
      best_hash = hash;
    }
  return best;
}

static uint32_t
best_weighted (const struct CfServiceState *service, uint64_t key, bool baseline)
{
  uint32_t best = CF_NO_SLOT;
  double best_score = 0;

  for (uint32_t i = 0; i < service->count; i++)
    {
      const struct CfChoice *choice = &service->choices[i];
      uint32_t weight = baseline ? choice->baseline_weight : choice->weight;
      double score;

      if (!weight)
        continue;
      score = weighted_score (choice_hash (key, choice), weight);
      if (best != CF_NO_SLOT && score <= best_score)
        continue;
      best = choice->slot;
      best_score = score;
    }
  return best;
}

void
cf_choose_lists (const struct CfServiceState *service,
                 uint64_t key,
                 uint32_t *implied,
                 uint32_t *first)
{
  *first
      = service->uniform ? best_uniform (service, key, false) : best_weighted (service, key, false);
  if (service->same_lists)
    *implied = *first;
  else
    *implied = service->baseline_uniform ? best_uniform (service, key, true)
                                         : best_weighted (service, key, true);
  /* A service whose upstreams are all new has no baseline yet. */
  if (*implied == CF_NO_SLOT)
    *implied = *first;
  if (*first == CF_NO_SLOT)
    *first = *implied;
}

uint32_t
cf_choose_first (struct CfCore *core,
                 const struct CfServiceState *service,
                 uint64_t key,
                 bool (*admit) (struct CfCore *core, uint32_t slot, void *data),
                 void *data)
{
  double ceiling = INFINITY;

  for (;;)
    {
      const struct CfChoice *best = NULL;
      double best_score = 0;

      for (uint32_t i = 0; i < service->count; i++)
        {
          const struct CfChoice *choice = &service->choices[i];
          double score;

          if (!choice->weight)
            continue;
          score = weighted_score (choice_hash (key, choice), choice->weight);
          if (score >= ceiling || (best && score <= best_score))
            continue;
          best = choice;
          best_score = score;
        }
      if (!best)
        return CF_NO_SLOT;
      if (admit (core, best->slot, data))
        return best->slot;
      ceiling = best_score;
    }
}
