#include "owners.h"

#include <string.h>

/* The finaliser of MurmurHash3 (Austin Appleby): every bit of the input changes
 * every bit of the result with a probability near one half. */
static uint64_t
mix (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  return x ^ x >> 33;
}

uint64_t
cf_rendezvous_score (uint64_t key, uint32_t id)
{
  return mix (key ^ mix (id));
}

void
cf_owners_init (struct CfOwners *owners)
{
  owners->candidates = g_array_new (FALSE, FALSE, sizeof (struct CfCandidate));
  for (uint32_t b = 0; b < CF_BUCKETS; b++)
    for (int i = 0; i < CF_HOLDERS; i++)
      owners->holders[b][i] = (struct CfCandidate){ .member = CF_NO_MEMBER };
}

void
cf_owners_clear (struct CfOwners *owners)
{
  g_clear_pointer (&owners->candidates, g_array_unref);
}

/* Returns the number of failure domains among the first N holders, or with CANDIDATE
 * if it is not NULL. */
static int
domains (const struct CfCandidate *holders, int n, const struct CfCandidate *candidate)
{
  int count = 0;

  for (int i = 0; i < n; i++)
    {
      bool repeated = holders[i].member == CF_NO_MEMBER;

      for (int j = 0; j < i; j++)
        repeated |= holders[j].domain == holders[i].domain;
      count += !repeated;
    }
  if (!candidate)
    return count;
  for (int i = 0; i < n; i++)
    if (holders[i].member != CF_NO_MEMBER && holders[i].domain == candidate->domain)
      return count;
  return count + 1;
}

static bool
is_holder (const struct CfCandidate *holders, int n, uint32_t member)
{
  for (int i = 0; i < n; i++)
    if (holders[i].member == member)
      return true;
  return false;
}

/* Returns true if holder number N may be CANDIDATE: the last one only if it brings a
 * failure domain that the others lack. */
static bool
may_hold (const struct CfCandidate *holders, int n, const struct CfCandidate *candidate)
{
  if (n < CF_HOLDERS - 1)
    return true;
  return domains (holders, n, NULL) < CF_HOLDER_DOMAINS
         && domains (holders, n, candidate) > domains (holders, n, NULL);
}

/* Returns since when MEMBER is among the holders OLD, or NOW if it is not. */
static CfMillis
holder_since (const struct CfCandidate *old, uint32_t member, CfMillis now)
{
  for (int i = 0; i < CF_HOLDERS; i++)
    if (old[i].member == member)
      return old[i].since;
  return now;
}

static void
compute_bucket (struct CfOwners *owners, uint32_t bucket, CfMillis now)
{
  struct CfCandidate *holders = owners->holders[bucket];
  struct CfCandidate old[CF_HOLDERS];

  memcpy (old, holders, sizeof old);

  for (int n = 0; n < CF_HOLDERS; n++)
    {
      uint64_t best_score = 0;
      int best_domains = -1;

      holders[n] = (struct CfCandidate){ .member = CF_NO_MEMBER };
      for (guint i = 0; i < owners->candidates->len; i++)
        {
          const struct CfCandidate *candidate
              = &g_array_index (owners->candidates, struct CfCandidate, i);
          int spread = n < CF_ORDERED_HOLDERS ? 0 : domains (holders, n, candidate);
          uint64_t score = cf_rendezvous_score (bucket, candidate->id);

          if (spread < best_domains || (spread == best_domains && score <= best_score))
            continue;
          if (is_holder (holders, n, candidate->member) || !may_hold (holders, n, candidate))
            continue;
          best_domains = spread;
          best_score = score;
          holders[n] = *candidate;
          holders[n].since = holder_since (old, candidate->member, now);
        }
    }
}

/* Returns true if a new CANDIDATE may become a holder of BUCKET. */
static bool
may_enter (const struct CfOwners *owners, uint32_t bucket, const struct CfCandidate *candidate)
{
  const struct CfCandidate *holders = owners->holders[bucket];
  uint64_t score = cf_rendezvous_score (bucket, candidate->id);

  for (int n = 0; n < CF_HOLDERS - 1; n++)
    if (holders[n].member == CF_NO_MEMBER || score > cf_rendezvous_score (bucket, holders[n].id))
      return true;
  if (domains (holders, CF_HOLDERS, candidate) > domains (holders, CF_HOLDERS, NULL)
      && domains (holders, CF_HOLDERS, NULL) < CF_HOLDER_DOMAINS)
    return true;
  return holders[CF_HOLDERS - 1].member != CF_NO_MEMBER
         && score > cf_rendezvous_score (bucket, holders[CF_HOLDERS - 1].id);
}

static bool
same_candidate (const struct CfCandidate *a, const struct CfCandidate *b)
{
  return a->member == b->member && a->id == b->id && a->domain == b->domain;
}

static bool
contains (const GArray *candidates, const struct CfCandidate *candidate)
{
  for (guint i = 0; i < candidates->len; i++)
    if (same_candidate (&g_array_index (candidates, struct CfCandidate, i), candidate))
      return true;
  return false;
}

/* Returns the members of A that B lacks. */
static GArray *
difference (const GArray *a, const GArray *b)
{
  GArray *result = g_array_new (FALSE, FALSE, sizeof (struct CfCandidate));

  for (guint i = 0; i < a->len; i++)
    {
      const struct CfCandidate *candidate = &g_array_index (a, struct CfCandidate, i);

      if (!contains (b, candidate))
        g_array_append_val (result, *candidate);
    }
  return result;
}

static bool
affected (const struct CfOwners *owners,
          uint32_t bucket,
          const GArray *removed,
          const GArray *added)
{
  for (guint i = 0; i < removed->len; i++)
    if (cf_owners_holds (owners, bucket, g_array_index (removed, struct CfCandidate, i).member))
      return true;
  for (guint i = 0; i < added->len; i++)
    if (may_enter (owners, bucket, &g_array_index (added, struct CfCandidate, i)))
      return true;
  return false;
}

bool
cf_owners_update (struct CfOwners *owners, const GArray *candidates, CfMillis now)
{
  GArray *removed = difference (owners->candidates, candidates);
  GArray *added = difference (candidates, owners->candidates);
  bool changed = removed->len + added->len > 0;

  if (changed)
    {
      g_array_set_size (owners->candidates, 0);
      if (candidates->len)
        g_array_append_vals (owners->candidates, candidates->data, candidates->len);
      for (uint32_t b = 0; b < CF_BUCKETS; b++)
        if (affected (owners, b, removed, added))
          compute_bucket (owners, b, now);
    }
  g_array_unref (removed);
  g_array_unref (added);
  return changed;
}

bool
cf_owners_holds (const struct CfOwners *owners, uint32_t bucket, uint32_t member)
{
  return is_holder (owners->holders[bucket], CF_HOLDERS, member);
}

uint32_t
cf_owners_first (const struct CfOwners *owners, uint64_t key)
{
  uint32_t best = CF_NO_MEMBER;
  uint64_t best_score = 0;

  for (guint i = 0; i < owners->candidates->len; i++)
    {
      const struct CfCandidate *candidate
          = &g_array_index (owners->candidates, struct CfCandidate, i);
      uint64_t score = cf_rendezvous_score (key, candidate->id);

      if (best != CF_NO_MEMBER && score <= best_score)
        continue;
      best = candidate->member;
      best_score = score;
    }
  return best;
}
