#include "admission_tokens.h"
#include "admission_queue.h"

#include <math.h>

static double
bucket_rate (const struct CfTokenBucket *bucket, CfMillis now)
{
  return now <= bucket->rate_at + CF_ADMISSION_RATE_AGE_MAX_MS ? bucket->rate : 0;
}

/* Returns the tokens that have come from SINCE to NOW, while the rate was up to date. */
static double
tokens_since (const struct CfTokenBucket *bucket, CfMillis since, CfMillis now)
{
  CfMillis end = MIN (now, bucket->rate_at + CF_ADMISSION_RATE_AGE_MAX_MS);

  return bucket->rate * (double) MAX (end - since, 0) / CF_MS_PER_S;
}

static double
bucket_depth (const struct CfTokenBucket *bucket)
{
  return bucket->seen ? MAX (bucket->rate * CF_ADMISSION_BURST_MS / CF_MS_PER_S, 1) : 0;
}

void
cf_tokens_fill (struct CfTokens *tokens, CfMillis now)
{
  double excess = 0;

  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      struct CfTokenBucket *bucket = &tokens->buckets[i];
      double depth = bucket_depth (bucket);
      double added = tokens_since (bucket, tokens->filled_at, now);

      /* With no other priority to pay, a debt is a chance deviation from the mean rate: repaid at
       * that rate it would last, and refuse flows of a priority that is admitted whole. */
      if (bucket->whole && bucket->tokens < 0)
        added += MIN (added, -bucket->tokens);
      bucket->tokens += added + excess;
      excess = MAX (bucket->tokens - depth, 0);
      bucket->tokens -= excess;
    }
  tokens->filled_at = MAX (tokens->filled_at, now);
}

/* Returns the least urgent priority whose tokens PRIORITY may use.  That of a priority admitted
 * whole is the first that is not: it gets what is left over, and what the others need beyond their
 * own tokens is taken from it.  Those after it have only their floor. */
static uint32_t
last_usable (const struct CfTokens *tokens, uint32_t priority, CfMillis now)
{
  uint32_t last = priority;

  for (uint32_t i = priority; i < CF_LOAD_PRIORITIES && tokens->buckets[last].whole; i++)
    if (bucket_rate (&tokens->buckets[i], now) > 0)
      last = i;
  return last;
}

double
cf_tokens_rate (const struct CfTokens *tokens, uint32_t priority, CfMillis now)
{
  uint32_t last = last_usable (tokens, priority, now);
  double rate = 0;

  for (uint32_t i = priority; i <= last; i++)
    rate += bucket_rate (&tokens->buckets[i], now);
  return rate;
}

/* Returns the tokens that flows of PRIORITY may use in advance. */
static double
advance (const struct CfTokens *tokens, uint32_t priority, CfMillis now)
{
  if (!tokens->buckets[priority].whole)
    return 0;
  return CF_ADMISSION_ADVANCE_TOKENS
         + cf_tokens_rate (tokens, priority, now) * CF_ADMISSION_ADVANCE_MS / CF_MS_PER_S;
}

double
cf_tokens_available (const struct CfTokens *tokens, uint32_t priority, CfMillis now)
{
  uint32_t last = last_usable (tokens, priority, now);
  double sum = advance (tokens, priority, now);

  for (uint32_t i = priority; i <= last; i++)
    sum += tokens->buckets[i].tokens;
  return sum;
}

void
cf_tokens_take (struct CfTokens *tokens, uint32_t priority, CfMillis now)
{
  uint32_t last = last_usable (tokens, priority, now);
  double need = 1;

  for (uint32_t i = priority; i <= last; i++)
    {
      double part = CLAMP (tokens->buckets[i].tokens, 0, need);

      tokens->buckets[i].tokens -= part;
      need -= part;
    }
  tokens->buckets[last].tokens -= need;
}

void
cf_tokens_set_rate (
    struct CfTokens *tokens, uint32_t priority, double rate, bool whole, CfMillis now)
{
  struct CfTokenBucket *bucket = &tokens->buckets[priority];

  bucket->rate = isfinite (rate) && rate > 0 ? rate : 0;
  bucket->rate_at = now;
  bucket->whole = whole;
  if (bucket->seen)
    return;
  bucket->seen = true;
  bucket->tokens += bucket_depth (bucket);
}

CfMillis
cf_tokens_due (const struct CfTokens *tokens, uint32_t priority)
{
  double rate = cf_tokens_rate (tokens, priority, tokens->filled_at);
  double missing = 1 - cf_tokens_available (tokens, priority, tokens->filled_at);

  if (rate <= 0)
    return G_MAXINT64;
  return tokens->filled_at + (CfMillis) ceil (MAX (missing, 0) / rate * CF_MS_PER_S);
}

void
cf_tokens_reset (struct CfTokens *tokens, CfMillis now)
{
  for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      tokens->buckets[i].tokens = 0;
      tokens->buckets[i].seen = false;
      tokens->buckets[i].rate = 0;
    }
  tokens->filled_at = now;
}
