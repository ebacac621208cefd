#include "answers.h"

#include <math.h>
#include <string.h>

/* Answers at an address before its baseline length is known, and the weight of one after that. */
#define USUAL_MIN 10
#define USUAL_WEIGHT 0.05

struct Usual
{
  struct CfEndpoint address;
  uint32_t count;
  double bytes;
  double wait_ms; /* until the first byte, 0: not known */
};

struct CfAnswers
{
  GHashTable *services;      /* GQuark to struct CfTally */
  GHashTable *baseline;      /* set of struct Usual, by address */
  CfMillis questioned_until; /* no upstream is in begin_reporting after that */
};

static guint
hash_address (gconstpointer key)
{
  return cf_endpoint_hash (((const struct Usual *) key)->address);
}

static gboolean
same_address (gconstpointer a, gconstpointer b)
{
  return cf_endpoint_equal (((const struct Usual *) a)->address,
                            ((const struct Usual *) b)->address);
}

struct CfAnswers *
cf_answers_new (void)
{
  struct CfAnswers *answers = g_new0 (struct CfAnswers, 1);

  answers->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  answers->baseline = g_hash_table_new_full (hash_address, same_address, g_free, NULL);
  return answers;
}

void
cf_answers_free (struct CfAnswers *answers)
{
  g_hash_table_unref (answers->baseline);
  g_hash_table_unref (answers->services);
  g_free (answers);
}

static struct CfTally *
service_tally (struct CfAnswers *answers, GQuark service)
{
  struct CfTally *tally = g_hash_table_lookup (answers->services, GUINT_TO_POINTER (service));

  if (!tally)
    {
      tally = g_new0 (struct CfTally, 1);
      g_hash_table_insert (answers->services, GUINT_TO_POINTER (service), tally);
    }
  return tally;
}

/* Returns TALLY as it counts at NOW. */
static struct CfTally
at (const struct CfTally *tally, CfMillis now)
{
  double factor = exp2 (-(double) (now - tally->at) / CF_ANSWERS_HALF_LIFE_MS);

  return (struct CfTally){
    .answers = tally->answers * factor,
    .failed = tally->failed * factor,
    .at = now,
  };
}

static void
count (struct CfTally *tally, bool failed, CfMillis now)
{
  *tally = at (tally, now);
  tally->answers++;
  tally->failed += failed;
}

static struct Usual *
usual_of (struct CfAnswers *answers, struct CfEndpoint address)
{
  struct Usual key = { .address = address };
  struct Usual *baseline = g_hash_table_lookup (answers->baseline, &key);

  if (baseline)
    return baseline;
  baseline = g_new0 (struct Usual, 1);
  baseline->address = address;
  g_hash_table_add (answers->baseline, baseline);
  return baseline;
}

void
cf_answers_began (struct CfAnswers *answers, struct CfEndpoint address, CfMillis wait)
{
  struct Usual *baseline = usual_of (answers, address);

  if (baseline->wait_ms <= 0)
    baseline->wait_ms = (double) wait;
  baseline->wait_ms += USUAL_WEIGHT * ((double) wait - baseline->wait_ms);
}

CfMillis
cf_answers_stall_ms (const struct CfAnswers *answers, struct CfEndpoint address)
{
  struct Usual key = { .address = address };
  const struct Usual *baseline = g_hash_table_lookup (answers->baseline, &key);

  if (!baseline || baseline->wait_ms <= 0)
    return CF_ANSWERS_STALL_MS;
  return CLAMP ((CfMillis) (CF_ANSWERS_STALL_TIMES * baseline->wait_ms), CF_ANSWERS_STALL_MIN_MS,
                CF_ANSWERS_STALL_MS);
}

/* Learns the length of an answer at ADDRESS.  Returns true if it is far below the baseline. */
static bool
is_short (struct CfAnswers *answers, struct CfEndpoint address, uint32_t bytes)
{
  struct Usual *baseline = usual_of (answers, address);

  if (baseline->count >= USUAL_MIN && bytes < baseline->bytes * CF_ANSWERS_SHORT)
    {
      /* Answers that are short everywhere become the baseline in the end. */
      baseline->bytes += USUAL_WEIGHT * (bytes - baseline->bytes);
      return true;
    }
  baseline->count++;
  baseline->bytes += MAX (USUAL_WEIGHT, 1.0 / baseline->count) * (bytes - baseline->bytes);
  return false;
}

static bool
may_avoid_one_more (GPtrArray *siblings, CfMillis now)
{
  guint avoided = 0;
  guint ready = 0;

  for (guint i = 0; i < siblings->len; i++)
    {
      const struct CfTarget *target = siblings->pdata[i];

      avoided += cf_answers_avoids (target, now);
      ready += target->state == CF_TARGET_READY;
    }
  return (avoided + 1) * CF_ANSWERS_AVOID_ONE_OF <= ready;
}

/* Returns what this VM and others saw of an upstream. */
static struct CfTally
sum (const struct CfQuality *quality, CfMillis now)
{
  struct CfTally sum = at (&quality->tally, now);

  for (guint i = 0; quality->remote && i < quality->remote->len; i++)
    {
      struct CfTally remote = at (&g_array_index (quality->remote, struct CfHeard, i).tally, now);

      sum.answers += remote.answers;
      sum.failed += remote.failed;
    }
  return sum;
}

/* Returns true if an upstream with the answers SEEN, OWN of them by this VM, fails much more
 * than the others of its service, whose answers and OWN are ALL. */
static bool
stands_out (const struct CfTally *seen,
            const struct CfTally *own,
            const struct CfTally *all,
            double failed_min)
{
  double others = all->answers - own->answers;
  double others_failed = MAX (all->failed - own->failed, 0);

  if (seen->failed < failed_min || seen->failed < CF_ANSWERS_FAILED_SHARE * seen->answers
      || others < 1)
    return false;
  return seen->failed / seen->answers >= CF_ANSWERS_FAILED_TIMES * others_failed / others;
}

/* Somebody saw a failure at TARGET. */
static void
begin_reporting (struct CfAnswers *answers, struct CfTarget *target, CfMillis now)
{
  answers->questioned_until = now + CF_ANSWERS_QUESTION_MS;
  target->quality.questioned_until = answers->questioned_until;
}

static bool
was_avoided_lately (const struct CfQuality *quality, CfMillis now)
{
  return quality->avoided_times > 0 && now - quality->avoided_until <= CF_ANSWERS_AVOID_MAX_MS;
}

/* Avoids TARGET if it stands out.  Returns true if that is new. */
static bool
avoid_if_outlier (struct CfAnswers *answers,
                  struct CfTarget *target,
                  GPtrArray *siblings,
                  CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  struct CfTally own = at (&quality->tally, now);
  struct CfTally all = at (service_tally (answers, target->service), now);
  struct CfTally seen = sum (quality, now);
  bool recently = was_avoided_lately (quality, now);
  CfMillis delay;

  if (cf_answers_avoids (target, now)
      || !stands_out (&seen, &own, &all, recently ? CF_ANSWERS_FAILED_FIRST : CF_ANSWERS_FAILED_MIN)
      || !may_avoid_one_more (siblings, now))
    return false;
  /* One that answered well for long enough since starts anew. */
  if (!recently)
    quality->avoided_times = 0;
  delay = (CfMillis) CF_ANSWERS_AVOID_MIN_MS << MIN (quality->avoided_times, 8);
  quality->avoided_times++;
  quality->avoided_until = now + MIN (delay, CF_ANSWERS_AVOID_MAX_MS);
  return true;
}

bool
cf_answers_note (struct CfAnswers *answers,
                 struct CfTarget *target,
                 GPtrArray *siblings,
                 struct CfEndpoint address,
                 uint32_t bytes,
                 CfMillis now)
{
  bool failed = bytes == 0 || is_short (answers, address, bytes);

  count (service_tally (answers, target->service), failed, now);
  count (&target->quality.tally, failed, now);
  if (!failed)
    return false;
  begin_reporting (answers, target, now);
  return avoid_if_outlier (answers, target, siblings, now);
}

/* Keeps what the VM called VM saw of an upstream.  Returns how much more it saw fail than when it
 * last said so. */
static double
keep_heard (struct CfQuality *quality,
            const char *vm,
            const struct CfQualityLine *line,
            CfMillis now)
{
  const struct CfHeard fresh = {
    .vm = g_str_hash (vm),
    .tally = { .answers = line->answers, .failed = line->failed, .at = now },
  };

  double before = 0;

  if (!quality->remote)
    quality->remote = g_array_new (FALSE, FALSE, sizeof fresh);
  for (guint i = quality->remote->len; i > 0; i--)
    {
      const struct CfHeard *remote = &g_array_index (quality->remote, struct CfHeard, i - 1);

      if (remote->vm == fresh.vm)
        before = at (&remote->tally, now).failed;
      /* VMs come and go under new names. */
      if (remote->vm == fresh.vm || now - remote->tally.at > CF_ANSWERS_AVOID_MAX_MS)
        g_array_remove_index_fast (quality->remote, i - 1);
    }
  g_array_append_val (quality->remote, fresh);
  return line->failed - before;
}

bool
cf_answers_hear (struct CfAnswers *answers,
                 struct CfTarget *target,
                 GPtrArray *siblings,
                 const char *vm,
                 const struct CfQualityLine *line,
                 CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  bool worse = keep_heard (quality, vm, line, now) >= CF_ANSWERS_FAILED_FIRST;

  if (!worse && !line->avoided)
    return false;
  if (worse)
    begin_reporting (answers, target, now);
  /* Others were sure: for this VM the next failure is enough. */
  if (line->avoided && !was_avoided_lately (quality, now))
    {
      quality->avoided_times = 1;
      quality->avoided_until = now;
    }
  return worse && avoid_if_outlier (answers, target, siblings, now);
}

/* Puts LINE in its place in REPORT, which has those that fail most, or nowhere. */
static void
add_line (struct CfQualityReport *report, const struct CfQualityLine *line)
{
  uint32_t place = report->count;

  while (place > 0 && report->lines[place - 1].failed < line->failed)
    place--;
  if (place == CF_QUALITY_MAX)
    return;
  report->count = MIN (report->count + 1, CF_QUALITY_MAX);
  memmove (&report->lines[place + 1], &report->lines[place],
           (report->count - 1 - place) * sizeof *line);
  report->lines[place] = *line;
}

/* Returns how many more of OWN, one upstream's answers, failed than would if it were like the
 * others of its service, whose answers and OWN are ALL.  What fails everywhere from here, after
 * a pause or on a slow VM, speaks against this VM. */
static double
excess_failures (const struct CfTally *own, const struct CfTally *all)
{
  double others = all->answers - own->answers;

  if (others < 1)
    return 0;
  return MAX (own->failed - own->answers * MAX (all->failed - own->failed, 0) / others, 0);
}

bool
cf_answers_report (struct CfAnswers *answers,
                   const struct CfDirectory *directory,
                   struct CfQualityReport *report,
                   CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  report->count = 0;
  if (now >= answers->questioned_until)
    return false;
  g_hash_table_iter_init (&iter, cf_directory_all (directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct CfTarget *target = value;
      struct CfTally own = at (&target->quality.tally, now);
      struct CfTally all = at (service_tally (answers, target->service), now);
      struct CfQualityLine line = {
        .answers = own.answers,
        .failed = excess_failures (&own, &all),
        .avoided = cf_answers_avoids (target, now),
      };

      if (now >= target->quality.questioned_until || own.answers < 0.5
          || g_strlcpy (line.id, target->id, sizeof line.id) >= sizeof line.id)
        continue;
      add_line (report, &line);
    }
  return report->count > 0;
}

bool
cf_answers_avoids (const struct CfTarget *target, CfMillis now)
{
  return now < target->quality.avoided_until;
}
