#include "manifest.h"

#define HASH_STEP 2654435761U /* odd and near 2^32 / golden ratio: hashes are evenly spread */

static uint64_t
total_weight (const struct CfRouteEntry *route)
{
  uint64_t total = 0;

  for (uint32_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  return total;
}

static uint64_t
greatest_divisor (uint64_t a, uint64_t b)
{
  while (b > 0)
    {
      uint64_t rest = a % b;

      a = b;
      b = rest;
    }
  return a;
}

double
cf_check_moved (const struct CfRouteEntry *in_force, const struct CfRouteEntry *route)
{
  uint64_t a = total_weight (in_force);
  uint64_t b = total_weight (route);
  /* The service depends on the hash modulo the sum of weights only. */
  uint64_t period = a > 0 && b > 0 ? a / greatest_divisor (a, b) : MAX (a, b);
  bool exact = period <= CF_CHECK_CALLERS && (a == 0 || b <= CF_CHECK_CALLERS / period);
  uint32_t count = CF_CHECK_CALLERS;
  uint32_t moved = 0;

  if (exact)
    count = (uint32_t) (a > 0 && b > 0 ? period * b : MAX (period, 1));
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t hash = exact ? i : i * HASH_STEP;

      moved += cf_route_service_of_hash (in_force, hash) != cf_route_service_of_hash (route, hash);
    }
  return (double) moved / count;
}
