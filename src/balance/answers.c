#include "answers.h"

#include <math.h>
#include <string.h>

/* Answers at an address before its usual length is known, and the weight of one after that. */
#define BASELINE_SAMPLES_MIN 10
#define BASELINE_WEIGHT 0.05

struct Baseline
{
  struct CfEndpoint address;
  uint32_t count;
  double bytes;
  double wait_ms; /* until the first byte, 0: not known */
};

struct CfOutlierDetector
{
  GHashTable *services;  /* GQuark to struct CfTally */
  GHashTable *usual;     /* set of struct Baseline, by address */
  CfMillis report_until; /* no upstream is in question after that */
};

static guint
hash_address (gconstpointer key)
{
  return cf_endpoint_hash (((const struct Baseline *) key)->address);
}

static gboolean
same_address (gconstpointer a, gconstpointer b)
{
  return cf_endpoint_equal (((const struct Baseline *) a)->address,
                            ((const struct Baseline *) b)->address);
}

struct CfOutlierDetector *
cf_outlier_detector_new (void)
{
  struct CfOutlierDetector *answers = g_new0 (struct CfOutlierDetector, 1);

  answers->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  answers->usual = g_hash_table_new_full (hash_address, same_address, g_free, NULL);
  return answers;
}

void
cf_outlier_detector_free (struct CfOutlierDetector *answers)
{
  g_hash_table_unref (answers->usual);
  g_hash_table_unref (answers->services);
  g_free (answers);
}

static struct CfTally *
service_tally (struct CfOutlierDetector *answers, GQuark service)
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
  double factor = exp2 (-(double) (now - tally->at) / CF_OUTLIER_HALF_LIFE_MS);

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

static struct Baseline *
get_baseline (struct CfOutlierDetector *answers, struct CfEndpoint address)
{
  struct Baseline key = { .address = address };
  struct Baseline *usual = g_hash_table_lookup (answers->usual, &key);

  if (usual)
    return usual;
  usual = g_new0 (struct Baseline, 1);
  usual->address = address;
  g_hash_table_add (answers->usual, usual);
  return usual;
}

void
cf_outlier_record_first_byte (struct CfOutlierDetector *answers,
                              struct CfEndpoint address,
                              CfMillis wait)
{
  struct Baseline *usual = get_baseline (answers, address);

  if (usual->wait_ms <= 0)
    usual->wait_ms = (double) wait;
  usual->wait_ms += BASELINE_WEIGHT * ((double) wait - usual->wait_ms);
}

CfMillis
cf_outlier_stall_ms (const struct CfOutlierDetector *answers, struct CfEndpoint address)
{
  struct Baseline key = { .address = address };
  const struct Baseline *usual = g_hash_table_lookup (answers->usual, &key);

  if (!usual || usual->wait_ms <= 0)
    return CF_OUTLIER_STALL_MAX_MS;
  return CLAMP ((CfMillis) (CF_OUTLIER_STALL_FACTOR * usual->wait_ms), CF_OUTLIER_STALL_MIN_MS,
                CF_OUTLIER_STALL_MAX_MS);
}

/* Learns the length of an answer at ADDRESS.  Returns true if it is far below the usual. */
static bool
is_short (struct CfOutlierDetector *answers, struct CfEndpoint address, uint32_t bytes)
{
  struct Baseline *usual = get_baseline (answers, address);

  if (usual->count >= BASELINE_SAMPLES_MIN && bytes < usual->bytes * CF_OUTLIER_SHORT_RATIO)
    {
      /* Answers that are short everywhere become the usual in the end. */
      usual->bytes += BASELINE_WEIGHT * (bytes - usual->bytes);
      return true;
    }
  usual->count++;
  usual->bytes += MAX (BASELINE_WEIGHT, 1.0 / usual->count) * (bytes - usual->bytes);
  return false;
}

static bool
may_avoid_another (GPtrArray *siblings, CfMillis now)
{
  guint avoided = 0;
  guint ready = 0;

  for (guint i = 0; i < siblings->len; i++)
    {
      const struct CfTarget *target = siblings->pdata[i];

      avoided += cf_outlier_avoided (target, now);
      ready += target->state == CF_TARGET_READY;
    }
  return (avoided + 1) * CF_OUTLIER_AVOID_ONE_IN <= ready;
}

/* Returns what this VM and others saw of an upstream. */
static struct CfTally
sum (const struct CfQuality *quality, CfMillis now)
{
  struct CfTally sum = at (&quality->tally, now);

  for (guint i = 0; quality->heard && i < quality->heard->len; i++)
    {
      struct CfTally heard
          = at (&g_array_index (quality->heard, struct CfRemoteTally, i).tally, now);

      sum.answers += heard.answers;
      sum.failed += heard.failed;
    }
  return sum;
}

/* Returns true if an upstream with the answers SEEN, OWN of them by this VM, fails much more
 * than the others of its service, whose answers and OWN are ALL. */
static bool
is_outlier (const struct CfTally *seen,
            const struct CfTally *own,
            const struct CfTally *all,
            double failed_min)
{
  double others = all->answers - own->answers;
  double others_failed = MAX (all->failed - own->failed, 0);

  if (seen->failed < failed_min || seen->failed < CF_OUTLIER_FAILURE_RATE_MIN * seen->answers
      || others < 1)
    return false;
  return seen->failed / seen->answers >= CF_OUTLIER_FAILURE_RATE_FACTOR * others_failed / others;
}

/* Somebody saw a failure at TARGET. */
static void
question (struct CfOutlierDetector *answers, struct CfTarget *target, CfMillis now)
{
  answers->report_until = now + CF_OUTLIER_REPORT_MS;
  target->quality.report_until = answers->report_until;
}

static bool
was_avoided_recently (const struct CfQuality *quality, CfMillis now)
{
  return quality->avoided_times > 0 && now - quality->avoided_until <= CF_OUTLIER_AVOID_MAX_MS;
}

/* Avoids TARGET if it stands out.  Returns true if that is new. */
static bool
judge (struct CfOutlierDetector *answers,
       struct CfTarget *target,
       GPtrArray *siblings,
       CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  struct CfTally own = at (&quality->tally, now);
  struct CfTally all = at (service_tally (answers, target->service), now);
  struct CfTally seen = sum (quality, now);
  bool lately = was_avoided_recently (quality, now);
  CfMillis delay;

  if (cf_outlier_avoided (target, now)
      || !is_outlier (&seen, &own, &all,
                      lately ? CF_OUTLIER_FAILURES_MIN_REPEATED : CF_OUTLIER_FAILURES_MIN)
      || !may_avoid_another (siblings, now))
    return false;
  /* One that answered well for long enough since starts anew. */
  if (!lately)
    quality->avoided_times = 0;
  delay = (CfMillis) CF_OUTLIER_AVOID_MIN_MS << MIN (quality->avoided_times, 8);
  quality->avoided_times++;
  quality->avoided_until = now + MIN (delay, CF_OUTLIER_AVOID_MAX_MS);
  return true;
}

bool
cf_outlier_record_response (struct CfOutlierDetector *answers,
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
  question (answers, target, now);
  return judge (answers, target, siblings, now);
}

/* Keeps what the VM called VM saw of an upstream.  Returns how much more it saw fail than when it
 * last said so. */
static double
store_remote_tally (struct CfQuality *quality,
                    const char *vm,
                    const struct CfQualityLine *line,
                    CfMillis now)
{
  const struct CfRemoteTally fresh = {
    .vm = g_str_hash (vm),
    .tally = { .answers = line->answers, .failed = line->failed, .at = now },
  };

  double before = 0;

  if (!quality->heard)
    quality->heard = g_array_new (FALSE, FALSE, sizeof fresh);
  for (guint i = quality->heard->len; i > 0; i--)
    {
      const struct CfRemoteTally *heard
          = &g_array_index (quality->heard, struct CfRemoteTally, i - 1);

      if (heard->vm == fresh.vm)
        before = at (&heard->tally, now).failed;
      /* VMs come and go under new names. */
      if (heard->vm == fresh.vm || now - heard->tally.at > CF_OUTLIER_AVOID_MAX_MS)
        g_array_remove_index_fast (quality->heard, i - 1);
    }
  g_array_append_val (quality->heard, fresh);
  return line->failed - before;
}

bool
cf_outlier_merge_report (struct CfOutlierDetector *answers,
                         struct CfTarget *target,
                         GPtrArray *siblings,
                         const char *vm,
                         const struct CfQualityLine *line,
                         CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  bool worse = store_remote_tally (quality, vm, line, now) >= CF_OUTLIER_FAILURES_MIN_REPEATED;

  if (!worse && !line->avoided)
    return false;
  if (worse)
    question (answers, target, now);
  /* Others were sure: for this VM the next failure is enough. */
  if (line->avoided && !was_avoided_recently (quality, now))
    {
      quality->avoided_times = 1;
      quality->avoided_until = now;
    }
  return worse && judge (answers, target, siblings, now);
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
excess (const struct CfTally *own, const struct CfTally *all)
{
  double others = all->answers - own->answers;

  if (others < 1)
    return 0;
  return MAX (own->failed - own->answers * MAX (all->failed - own->failed, 0) / others, 0);
}

bool
cf_outlier_report (struct CfOutlierDetector *answers,
                   const struct CfDirectory *directory,
                   struct CfQualityReport *report,
                   CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  report->count = 0;
  if (now >= answers->report_until)
    return false;
  g_hash_table_iter_init (&iter, cf_directory_all (directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct CfTarget *target = value;
      struct CfTally own = at (&target->quality.tally, now);
      struct CfTally all = at (service_tally (answers, target->service), now);
      struct CfQualityLine line = {
        .answers = own.answers,
        .failed = excess (&own, &all),
        .avoided = cf_outlier_avoided (target, now),
      };

      if (now >= target->quality.report_until || own.answers < 0.5
          || g_strlcpy (line.id, target->id, sizeof line.id) >= sizeof line.id)
        continue;
      add_line (report, &line);
    }
  return report->count > 0;
}

bool
cf_outlier_avoided (const struct CfTarget *target, CfMillis now)
{
  return now < target->quality.avoided_until;
}
