#include "outlier.h"

#include <math.h>
#include <string.h>

/* Answers are compared with the baseline length of their address once it has this many samples. */
#define BASELINE_SAMPLES_MIN 10
#define BASELINE_WEIGHT 0.05 /* of a new sample; the first lengths weigh more */

struct Baseline
{
  struct CfEndpoint address;
  uint32_t count;
  double bytes;
  double wait_ms; /* mean time to the first byte; 0: not known */
};

struct CfOutlierDetector
{
  GHashTable *services;  /* GQuark to struct CfTally */
  GHashTable *baselines; /* set of struct Baseline, by address */
  CfMillis report_until; /* latest report_until of any upstream */
};

static guint
hash_baseline (gconstpointer key)
{
  return cf_endpoint_hash (((const struct Baseline *) key)->address);
}

static gboolean
equal_baseline (gconstpointer a, gconstpointer b)
{
  return cf_endpoint_equal (((const struct Baseline *) a)->address,
                            ((const struct Baseline *) b)->address);
}

struct CfOutlierDetector *
cf_outlier_detector_new (void)
{
  struct CfOutlierDetector *detector = g_new0 (struct CfOutlierDetector, 1);

  detector->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  detector->baselines = g_hash_table_new_full (hash_baseline, equal_baseline, g_free, NULL);
  return detector;
}

void
cf_outlier_detector_free (struct CfOutlierDetector *detector)
{
  g_hash_table_unref (detector->baselines);
  g_hash_table_unref (detector->services);
  g_free (detector);
}

static struct CfTally *
service_tally (struct CfOutlierDetector *detector, GQuark service)
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
  double factor = exp2 (-(double) (now - tally->at) / CF_OUTLIER_HALF_LIFE_MS);

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

static struct Baseline *
get_baseline (struct CfOutlierDetector *detector, struct CfEndpoint address)
{
  struct Baseline key = { .address = address };
  struct Baseline *baseline = g_hash_table_lookup (detector->baselines, &key);

  if (baseline)
    return baseline;
  baseline = g_new0 (struct Baseline, 1);
  baseline->address = address;
  g_hash_table_add (detector->baselines, baseline);
  return baseline;
}

void
cf_outlier_record_first_byte (struct CfOutlierDetector *detector,
                              struct CfEndpoint address,
                              CfMillis wait)
{
  struct Baseline *baseline = get_baseline (detector, address);

  if (baseline->wait_ms <= 0)
    baseline->wait_ms = (double) wait;
  baseline->wait_ms += BASELINE_WEIGHT * ((double) wait - baseline->wait_ms);
}

static const struct Baseline *
find_baseline (const struct CfOutlierDetector *detector, struct CfEndpoint address)
{
  struct Baseline key = { .address = address };

  return g_hash_table_lookup (detector->baselines, &key);
}

double
cf_outlier_usual_wait_ms (const struct CfOutlierDetector *detector, struct CfEndpoint address)
{
  const struct Baseline *baseline = find_baseline (detector, address);

  return baseline ? baseline->wait_ms : 0;
}

static bool
is_short (const struct Baseline *baseline, uint32_t bytes)
{
  return baseline && baseline->count >= BASELINE_SAMPLES_MIN
         && bytes < baseline->bytes * CF_OUTLIER_SHORT_RATIO;
}

bool
cf_outlier_is_short (const struct CfOutlierDetector *detector,
                     struct CfEndpoint address,
                     uint32_t bytes)
{
  return is_short (find_baseline (detector, address), bytes);
}

CfMillis
cf_outlier_stall_ms (const struct CfOutlierDetector *detector, struct CfEndpoint address)
{
  double wait_ms = cf_outlier_usual_wait_ms (detector, address);

  if (wait_ms <= 0)
    return CF_OUTLIER_STALL_MAX_MS;
  return CLAMP ((CfMillis) (CF_OUTLIER_STALL_FACTOR * wait_ms), CF_OUTLIER_STALL_MIN_MS,
                CF_OUTLIER_STALL_MAX_MS);
}

/* Records the length of an answer from ADDRESS.  Returns true if it is far below the baseline. */
static bool
record_size (struct CfOutlierDetector *detector, struct CfEndpoint address, uint32_t bytes)
{
  struct Baseline *baseline = get_baseline (detector, address);

  if (is_short (baseline, bytes))
    {
      /* Short answers still move the baseline, so that a permanent change of the service's answers
       * is accepted in time. */
      baseline->bytes += BASELINE_WEIGHT * (bytes - baseline->bytes);
      return true;
    }
  baseline->count++;
  baseline->bytes += MAX (BASELINE_WEIGHT, 1.0 / baseline->count) * (bytes - baseline->bytes);
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

      if (target->state != CF_TARGET_READY)
        continue;
      avoided += cf_outlier_avoided (target, now);
      ready++;
    }
  return (avoided + 1) * CF_OUTLIER_AVOID_ONE_IN <= ready;
}

/* Returns the sum of what this VM and others observed of an upstream. */
static struct CfTally
sum_reports (const struct CfQuality *quality, CfMillis now)
{
  struct CfTally sum = decay (&quality->tally, now);

  for (guint i = 0; quality->remote && i < quality->remote->len; i++)
    {
      struct CfTally remote
          = decay (&g_array_index (quality->remote, struct CfRemoteTally, i).tally, now);

      sum.answers += remote.answers;
      sum.failed += remote.failed;
    }
  return sum;
}

/* Returns true if an upstream fails much more often than the rest of its service.  SEEN are its
 * answers as observed by all VMs, OWN those observed by this VM, and ALL those of the whole
 * service, OWN included, observed by this VM. */
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

/* This VM or another observed a failure at TARGET: reports on it are due for a while. */
static void
begin_reporting (struct CfOutlierDetector *detector, struct CfTarget *target, CfMillis now)
{
  detector->report_until = now + CF_OUTLIER_REPORT_MS;
  target->quality.report_until = detector->report_until;
}

static bool
was_avoided_recently (const struct CfQuality *quality, CfMillis now)
{
  return quality->avoided_times > 0 && now - quality->avoided_until <= CF_OUTLIER_AVOID_MAX_MS;
}

/* Starts to avoid TARGET if it is an outlier.  Returns true if it was not avoided before. */
static bool
avoid_if_outlier (struct CfOutlierDetector *detector,
                  struct CfTarget *target,
                  GPtrArray *siblings,
                  CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  struct CfTally own = decay (&quality->tally, now);
  struct CfTally all = decay (service_tally (detector, target->service), now);
  struct CfTally seen = sum_reports (quality, now);
  bool recently = was_avoided_recently (quality, now);
  CfMillis delay;

  if (cf_outlier_avoided (target, now)
      || !is_outlier (&seen, &own, &all,
                      recently ? CF_OUTLIER_FAILURES_MIN_REPEATED : CF_OUTLIER_FAILURES_MIN)
      || !may_avoid_another (siblings, now))
    return false;
  /* The back-off starts over for an upstream that has served well for long enough. */
  if (!recently)
    quality->avoided_times = 0;
  delay = (CfMillis) CF_OUTLIER_AVOID_MIN_MS << MIN (quality->avoided_times, 8);
  quality->avoided_times++;
  quality->avoided_until = now + MIN (delay, CF_OUTLIER_AVOID_MAX_MS);
  return true;
}

bool
cf_outlier_record_response (struct CfOutlierDetector *detector,
                            struct CfTarget *target,
                            GPtrArray *siblings,
                            struct CfEndpoint address,
                            uint32_t bytes,
                            CfMillis now)
{
  bool failed;

  if (bytes == 0 && target->state == CF_TARGET_GONE)
    return false;
  failed = bytes == 0 || record_size (detector, address, bytes);
  count_answer (service_tally (detector, target->service), failed, now);
  count_answer (&target->quality.tally, failed, now);
  if (!failed)
    return false;
  begin_reporting (detector, target, now);
  return avoid_if_outlier (detector, target, siblings, now);
}

void
cf_outlier_forget (struct CfOutlierDetector *detector, struct CfTarget *target, CfMillis now)
{
  struct CfTally *all = service_tally (detector, target->service);
  struct CfTally own = decay (&target->quality.tally, now);

  if (own.failed <= 0)
    return;
  *all = decay (all, now);
  all->answers = MAX (all->answers - own.answers, 0);
  all->failed = MAX (all->failed - own.failed, 0);
  target->quality.tally = (struct CfTally){ .at = now };
}

/* Stores the observations of the VM named VM of an upstream.  Returns by how much its failures
 * have grown since its last report. */
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

  if (!quality->remote)
    quality->remote = g_array_new (FALSE, FALSE, sizeof fresh);
  for (guint i = quality->remote->len; i > 0; i--)
    {
      const struct CfRemoteTally *remote
          = &g_array_index (quality->remote, struct CfRemoteTally, i - 1);

      if (remote->vm == fresh.vm)
        before = decay (&remote->tally, now).failed;
      /* VMs are replaced under new names: entries that are no longer updated expire. */
      if (remote->vm == fresh.vm || now - remote->tally.at > CF_OUTLIER_AVOID_MAX_MS)
        g_array_remove_index_fast (quality->remote, i - 1);
    }
  g_array_append_val (quality->remote, fresh);
  return line->failed - before;
}

bool
cf_outlier_merge_report (struct CfOutlierDetector *detector,
                         struct CfTarget *target,
                         GPtrArray *siblings,
                         const char *vm,
                         const struct CfQualityLine *line,
                         CfMillis now)
{
  struct CfQuality *quality = &target->quality;
  bool worse;

  if (cf_target_restarted_recently (target, now))
    return false;
  worse = store_remote_tally (quality, vm, line, now) >= CF_OUTLIER_FAILURES_MIN_REPEATED;
  if (!worse && !line->avoided)
    return false;
  if (worse)
    begin_reporting (detector, target, now);
  /* The sender had enough evidence: here one more failure suffices. */
  if (line->avoided && !was_avoided_recently (quality, now))
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
cf_outlier_report (struct CfOutlierDetector *detector,
                   const struct CfDirectory *directory,
                   struct CfQualityReport *report,
                   CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  report->count = 0;
  if (now >= detector->report_until)
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
        .avoided = cf_outlier_avoided (target, now),
      };

      if (now >= target->quality.report_until || own.answers < 0.5
          || g_strlcpy (line.id, target->id, sizeof line.id) >= sizeof line.id)
        continue;
      add_line (report, &line);
    }
  return report->count > 0;
}
