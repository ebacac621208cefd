#include "fair_share.h"

#include <math.h>
#include <stdlib.h>

/* Counts are held on a common scale that grows with time, so that their order never changes by
 * decay alone.  They are scaled down once the scale has grown by this many powers of two. */
#define SCALE_BITS_MAX 64
/* The level is computed from counts at most this old: they decay by 2% meanwhile.  Requests since
 * then are at most this part of them, as a burst may come within a millisecond. */
#define LEVEL_MS 50
#define LEVEL_NEW_MAX 0.05
/* A caller with fewer recent requests is never above the level: a thinly spread caller has so many
 * at one VM by chance. */
#define NOISE_REQUESTS 4.0
/* Requests after an hour's pause, or before the first one: nothing is known. */
#define TOTAL_MIN 1e-6

/* A caller that is counted.  Its true count is between COUNT - ERROR and COUNT. */
struct Caller
{
  uint32_t prefix;
  guint place; /* in the heap */
  double count;
  double error; /* the count that it took over from the caller it replaced */
};

/* The sure counts of all callers at one time, in requests. */
struct Snapshot
{
  CfMillis at; /* -1: none yet */
  guint since; /* requests recorded since then */
  double total;
  double noise; /* a caller with a lower count is taken for one of many */
  guint count;
  double sure[CF_FAIR_SHARE_CALLERS]; /* in descending order */
};

struct CfFairShare
{
  unsigned shift;
  CfMillis epoch; /* when the scale was 1 */
  CfMillis latest;
  double total;
  guint used;
  struct Caller callers[CF_FAIR_SHARE_CALLERS];
  struct Caller *heap[CF_FAIR_SHARE_CALLERS]; /* binary heap, the lowest count first */
  GHashTable *by_prefix;                      /* to struct Caller */
  struct Snapshot snapshot;
};

struct CfFairShare *
cf_fair_share_new (unsigned prefix)
{
  struct CfFairShare *fair = g_new0 (struct CfFairShare, 1);

  fair->shift = 32 - CLAMP (prefix, 8, 32);
  fair->by_prefix = g_hash_table_new (NULL, NULL);
  fair->snapshot.at = -1;
  return fair;
}

void
cf_fair_share_free (struct CfFairShare *fair)
{
  g_hash_table_unref (fair->by_prefix);
  g_free (fair);
}

static struct Caller *
find_caller (const struct CfFairShare *fair, uint32_t ip)
{
  return g_hash_table_lookup (fair->by_prefix, GUINT_TO_POINTER (ip >> fair->shift));
}

/* Returns the logarithm of the scale at NOW, to base 2. */
static double
scale_bits (const struct CfFairShare *fair, CfMillis now)
{
  return (double) (MAX (now, fair->latest) - fair->epoch) / CF_FAIR_SHARE_HALF_LIFE_MS;
}

/* Returns COUNT, which is on the common scale, in requests at NOW. */
static double
requests (const struct CfFairShare *fair, double count, CfMillis now)
{
  return count * exp2 (-scale_bits (fair, now));
}

/* Advances to NOW, and scales all counts down if the scale has grown too far. */
static void
advance (struct CfFairShare *fair, CfMillis now)
{
  double factor;

  fair->latest = MAX (now, fair->latest);
  if (scale_bits (fair, now) <= SCALE_BITS_MAX)
    return;
  factor = exp2 (-scale_bits (fair, now));
  for (guint i = 0; i < fair->used; i++)
    {
      fair->callers[i].count *= factor;
      fair->callers[i].error *= factor;
    }
  fair->total *= factor;
  fair->epoch = fair->latest;
}

static void
put (struct CfFairShare *fair, guint place, struct Caller *caller)
{
  fair->heap[place] = caller;
  caller->place = place;
}

/* Moves CALLER, whose count has grown, towards the leaves. */
static void
sift_down (struct CfFairShare *fair, struct Caller *caller)
{
  guint place = caller->place;

  for (;;)
    {
      guint child = 2 * place + 1;

      if (child + 1 < fair->used && fair->heap[child + 1]->count < fair->heap[child]->count)
        child++;
      if (child >= fair->used || fair->heap[child]->count >= caller->count)
        break;
      put (fair, place, fair->heap[child]);
      place = child;
    }
  put (fair, place, caller);
}

/* Adds a caller with a count of 0, which is the lowest. */
static struct Caller *
add_caller (struct CfFairShare *fair)
{
  struct Caller *caller = &fair->callers[fair->used];
  guint place = fair->used++;

  for (; place > 0; place = (place - 1) / 2)
    put (fair, place, fair->heap[(place - 1) / 2]);
  put (fair, 0, caller);
  return caller;
}

/* Returns the entry of a caller that is not counted yet.  If all are in use, it replaces the caller
 * with the lowest count, which it takes over as its error. */
static struct Caller *
claim_caller (struct CfFairShare *fair, uint32_t ip)
{
  struct Caller *caller;

  if (fair->used < CF_FAIR_SHARE_CALLERS)
    caller = add_caller (fair);
  else
    {
      caller = fair->heap[0];
      g_hash_table_remove (fair->by_prefix, GUINT_TO_POINTER (caller->prefix));
      caller->error = caller->count;
    }
  caller->prefix = ip >> fair->shift;
  g_hash_table_insert (fair->by_prefix, GUINT_TO_POINTER (caller->prefix), caller);
  return caller;
}

void
cf_fair_share_record (struct CfFairShare *fair, uint32_t ip, CfMillis now)
{
  struct Caller *caller = find_caller (fair, ip);
  double one;

  advance (fair, now);
  one = exp2 (scale_bits (fair, now));
  if (!caller)
    caller = claim_caller (fair, ip);
  caller->count += one;
  fair->total += one;
  fair->snapshot.since++;
  sift_down (fair, caller);
}

double
cf_fair_share_use (const struct CfFairShare *fair, uint32_t ip, CfMillis now)
{
  const struct Caller *caller = find_caller (fair, ip);

  return caller ? requests (fair, caller->count, now) : 0;
}

double
cf_fair_share_error (const struct CfFairShare *fair, CfMillis now)
{
  return fair->used < CF_FAIR_SHARE_CALLERS ? 0 : requests (fair, fair->heap[0]->count, now);
}

static int
compare_descending (gconstpointer a, gconstpointer b)
{
  const double *left = a;
  const double *right = b;

  return (*left < *right) - (*left > *right);
}

static const struct Snapshot *
refresh_snapshot (struct CfFairShare *fair, CfMillis now)
{
  struct Snapshot *snapshot = &fair->snapshot;

  if (snapshot->at >= 0 && fair->latest - snapshot->at < LEVEL_MS
      && snapshot->since <= LEVEL_NEW_MAX * snapshot->total)
    return snapshot;
  snapshot->at = fair->latest;
  snapshot->since = 0;
  snapshot->total = requests (fair, fair->total, now);
  snapshot->noise = MAX (NOISE_REQUESTS, cf_fair_share_error (fair, now));
  snapshot->count = fair->used;
  for (guint i = 0; i < fair->used; i++)
    snapshot->sure[i] = requests (fair, fair->callers[i].count - fair->callers[i].error, now);
  qsort (snapshot->sure, snapshot->count, sizeof snapshot->sure[0], compare_descending);
  return snapshot;
}

/* Returns the level at which callers are cut off so that ALLOWED requests remain, by max-min
 * fairness.  Writes to REMAINING the requests that remain, which are more than ALLOWED if the
 * callers below the noise ask for more on their own. */
static double
find_level (const struct Snapshot *snapshot, double allowed, double *remaining)
{
  double rest = snapshot->total; /* requests of the callers below the level */
  double level = 0;
  guint above = 0;

  while (above < snapshot->count && snapshot->sure[above] > MAX (snapshot->noise, level))
    {
      rest -= snapshot->sure[above++];
      level = (allowed - rest) / above;
    }
  level = MAX (level, snapshot->noise);
  *remaining = rest + above * level;
  return level;
}

double
cf_fair_share_admitted (struct CfFairShare *fair, uint32_t ip, double admitted, CfMillis now)
{
  const struct Caller *caller = find_caller (fair, ip);
  const struct Snapshot *snapshot;
  double allowed;
  double remaining;
  double level;
  double sure = 0;
  double part;

  if (admitted >= 1)
    return 1;
  advance (fair, now);
  snapshot = refresh_snapshot (fair, now);
  if (snapshot->total < TOTAL_MIN)
    return MAX (admitted, 0);
  allowed = MAX (admitted, 0) * snapshot->total;
  level = find_level (snapshot, allowed, &remaining);
  part = MIN (allowed / remaining, 1);
  if (caller)
    sure = requests (fair, caller->count - caller->error, now);
  return sure > level ? part * level / sure : part;
}
