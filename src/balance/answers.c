#include "answers.h"

#include <math.h>
#include <string.h>

/* The baseline length of an address is valid after this many answers; from then on each answer
 * enters it with this weight. */
#define USUAL_MIN 10
#define USUAL_WEIGHT 0.05

struct Usual
{
  struct CfEndpoint address;
  uint32_t count;
  double bytes;
  double wait_ms; /* mean time to the first byte; 0: not known */
};

struct CfAnswers
{
  GHashTable *services;      /* GQuark to struct CfTally */
  GHashTable *baselines;     /* set of struct Usual, by address */
  CfMillis questioned_until; /* latest report_until of any upstream */
};

static guint
hash_baseline (gconstpointer key)
{
  return cf_endpoint_hash (((const struct Usual *) key)->address);
}

static gboolean
equal_baseline (gconstpointer a, gconstpointer b)
{
  return cf_endpoint_equal (((const struct Usual *) a)->address,
                            ((const struct Usual *) b)->address);
}

struct CfAnswers *
cf_answers_new (void)
{
  struct CfAnswers *detector = g_new0 (struct CfAnswers, 1);

  detector->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  detector->baselines = g_hash_table_new_full (hash_baseline, equal_baseline, g_free, NULL);
  return detector;
}

void
cf_answers_free (struct CfAnswers *detector)
{
  g_hash_table_unref (detector->baselines);
  g_hash_table_unref (detector->services);
  g_free (detector);
}

static struct CfTally *
service_tally (struct CfAnswers *detector, GQuark service)
{
  struct CfTally *tally = g_hash_table_lookup (detector->services, GUINT_TO_POINTER (service));

  if (!tally)
    {
      tally = g_new0 (struct CfTally, 1);
      g_hash_table_insert (detector->services, GUINT_TO_POINTER (service), tally);
    }
  return tally;
}

/* Returns TALLY with its exponential decay applied up to NOW. */
static struct CfTally
decay (const struct CfTally *tally, CfMillis now)
{
  double factor = exp2 (-(double) (now - tally->at) / CF_ANSWERS_HALF_LIFE_MS);

  return (struct CfTally){
    .answers = tally->answers * factor,
    .failed = tally->failed * factor,
    .at = now,
  };
}

static void
count_answer (struct CfTally *tally, bool failed, CfMillis now)
{
  *tally = decay (tally, now);
  tally->answers++;
  tally->failed += failed;
}

static struct Usual *
usual_of (struct CfAnswers *detector, struct CfEndpoint address)
{
  struct Usual key = { .address = address };
  struct Usual *baseline = g_hash_table_lookup (detector->baselines, &key);

  if (baseline)
    return baseline;
  baseline = g_new0 (struct Usual, 1);
  baseline->address = address;
  g_hash_table_add (detector->baselines, baseline);
  return baseline;
}

void
cf_answers_began (struct CfAnswers *detector, struct CfEndpoint address, CfMillis wait)
{
  struct Usual *baseline = usual_of (detector, address);

  if (baseline->wait_ms <= 0)
    baseline->wait_ms = (double) wait;
  baseline->wait_ms += USUAL_WEIGHT * ((double) wait - baseline->wait_ms);
}

CfMillis
cf_answers_stall_ms (const struct CfAnswers *detector, struct CfEndpoint address)
{
  struct Usual key = { .address = address };
  const struct Usual *baseline = g_hash_table_lookup (detector->baselines, &key);

  if (!baseline || baseline->wait_ms <= 0)
    return CF_ANSWERS_STALL_MS;
  return CLAMP ((CfMillis) (CF_ANSWERS_STALL_TIMES * baseline->wait_ms), CF_ANSWERS_STALL_MIN_MS,
                CF_ANSWERS_STALL_MS);
}

/* Records the length of an answer from ADDRESS.  Returns true if it is far below the baseline. */
static bool
record_size (struct CfAnswers *detector, struct CfEndpoint address, uint32_t bytes)
{
  struct Usual *baseline = usual_of (detector, address);

  if (baseline->count >= USUAL_MIN && bytes < baseline->bytes * CF_ANSWERS_SHORT)
    {
      /* Short answers still move the baseline, so that a permanent change of the service's answers
       * is accepted in time. */
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

/* Returns the sum of what this VM and others observed of an upstream. */
static struct CfTally
sum_reports (const struct CfQuality *quality, CfMillis now)
{
  struct CfTally sum = decay (&quality->tally, now);

  for (guint i = 0; quality->remote && i < quality->remote->len; i++)
    {
      struct CfTally remote
          = decay (&g_array_index (quality->remote, struct CfHeard, i).tally, now);

      sum.answers += remote.answers;
      sum.failed += remote.failed;
    }
  return sum;
}

/* Returns true if an upstream fails much more often than the rest of its service.  SEEN are its
 * answers as observed by all VMs, OWN those observed by this VM, and ALL those of the whole
 * service, OWN included, observed by this VM. */
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

/* This VM or another observed a failure at TARGET: reports on it are due for a while. */
static void
begin_reporting (struct CfAnswers *detector, struct CfTarget *target, CfMillis now)
{
  detector->questioned_until = now + CF_ANSWERS_QUESTION_MS;
  target->quality.questioned_until = detector->questioned_until;
}

static bool
was_avoided_lately (const struct CfQuality *quality, CfMillis now)
{
  return quality->avoided_times > 0 && now - quality->avoided_until <= CF_ANSWERS_AVOID_MAX_MS;
}

/* Starts to avoid TARGET if it is an outlier.  Returns true if it was not avoided before. */
static bool
avoid_if_outlier (struct CfAnswers *detector,
                  struct CfTarget *target,
                  GPtrArray *siblings,
                  CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  struct CfTally own = decay (&quality->tally, now);
  struct CfTally all = decay (service_tally (detector, target->service), now);
  struct CfTally seen = sum_reports (quality, now);
  bool recently = was_avoided_lately (quality, now);
  CfMillis delay;

  if (cf_answers_avoids (target, now)
      || !stands_out (&seen, &own, &all, recently ? CF_ANSWERS_FAILED_FIRST : CF_ANSWERS_FAILED_MIN)
      || !may_avoid_one_more (siblings, now))
    return false;
  /* The back-off starts over for an upstream that has served well for long enough. */
  if (!recently)
    quality->avoided_times = 0;
  delay = (CfMillis) CF_ANSWERS_AVOID_MIN_MS << MIN (quality->avoided_times, 8);
  quality->avoided_times++;
  quality->avoided_until = now + MIN (delay, CF_ANSWERS_AVOID_MAX_MS);
  return true;
}

bool
cf_answers_note (struct CfAnswers *detector,
                 struct CfTarget *target,
                 GPtrArray *siblings,
                 struct CfEndpoint address,
                 uint32_t bytes,
                 CfMillis now)
{
  bool failed = bytes == 0 || record_size (detector, address, bytes);

  count_answer (service_tally (detector, target->service), failed, now);
  count_answer (&target->quality.tally, failed, now);
  if (!failed)
    return false;
  begin_reporting (detector, target, now);
  return avoid_if_outlier (detector, target, siblings, now);
}

/* Stores the observations of the VM named VM of an upstream.  Returns by how much its failures
 * have grown since its last report. */
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
        before = decay (&remote->tally, now).failed;
      /* VMs are replaced under new names: entries that are no longer updated expire. */
      if (remote->vm == fresh.vm || now - remote->tally.at > CF_ANSWERS_AVOID_MAX_MS)
        g_array_remove_index_fast (quality->remote, i - 1);
    }
  g_array_append_val (quality->remote, fresh);
  return line->failed - before;
}

bool
cf_answers_hear (struct CfAnswers *detector,
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
    begin_reporting (detector, target, now);
  /* The sender had enough evidence: here one more failure suffices. */
  if (line->avoided && !was_avoided_lately (quality, now))
    {
      quality->avoided_times = 1;
      quality->avoided_until = now;
    }
  return worse && avoid_if_outlier (detector, target, siblings, now);
}

/* Inserts LINE into REPORT, which keeps the CF_QUALITY_MAX upstreams with the most failures in
 * descending order. */
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

/* Returns how many failures of OWN, one upstream's answers, exceed the failure rate of the rest
 * of its service.  ALL are the answers of the service, OWN included.  Failures that this VM
 * observes at all upstreams, after a pause or because it is slow, are caused by the VM itself. */
static double
excess_failures (const struct CfTally *own, const struct CfTally *all)
{
  double others = all->answers - own->answers;

  if (others < 1)
    return 0;
  return MAX (own->failed - own->answers * MAX (all->failed - own->failed, 0) / others, 0);
}

bool
cf_answers_report (struct CfAnswers *detector,
                   const struct CfDirectory *directory,
                   struct CfQualityReport *report,
                   CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  report->count = 0;
  if (now >= detector->questioned_until)
    return false;
  g_hash_table_iter_init (&iter, cf_directory_all (directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct CfTarget *target = value;
      struct CfTally own = decay (&target->quality.tally, now);
      struct CfTally all = decay (service_tally (detector, target->service), now);
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
