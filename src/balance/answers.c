#include "answers.h"

#include <math.h>

/* Answers at an address before its usual length is known, and the weight of one after that. */
#define USUAL_MIN 10
#define USUAL_WEIGHT 0.05

struct Usual
{
  struct CfEndpoint address;
  uint32_t count;
  double bytes;
};

struct CfAnswers
{
  GHashTable *services; /* GQuark to struct CfTally */
  GHashTable *usual;    /* set of struct Usual, by address */
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
  answers->usual = g_hash_table_new_full (hash_address, same_address, g_free, NULL);
  return answers;
}

void
cf_answers_free (struct CfAnswers *answers)
{
  g_hash_table_unref (answers->usual);
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

static void
count (struct CfTally *tally, bool failed, CfMillis now)
{
  double factor = exp2 (-(double) (now - tally->at) / CF_ANSWERS_HALF_LIFE_MS);

  tally->answers = tally->answers * factor + 1;
  tally->failed = tally->failed * factor + failed;
  tally->at = now;
}

/* Learns the length of an answer at ADDRESS.  Returns true if it is far below the usual. */
static bool
is_short (struct CfAnswers *answers, struct CfEndpoint address, uint32_t bytes)
{
  struct Usual key = { .address = address };
  struct Usual *usual = g_hash_table_lookup (answers->usual, &key);
  bool known;

  if (!usual)
    {
      usual = g_new0 (struct Usual, 1);
      usual->address = address;
      g_hash_table_add (answers->usual, usual);
    }
  known = usual->count >= USUAL_MIN;
  if (known && bytes < usual->bytes * CF_ANSWERS_SHORT)
    {
      /* Answers that are short everywhere become the usual in the end. */
      usual->bytes += USUAL_WEIGHT * (bytes - usual->bytes);
      return true;
    }
  usual->count++;
  usual->bytes += MAX (USUAL_WEIGHT, 1.0 / usual->count) * (bytes - usual->bytes);
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

/* Returns true if an upstream with the answers OWN fails much more than the others of its
 * service, whose answers and its own are ALL. */
static bool
stands_out (const struct CfTally *own, const struct CfTally *all, double failed_min)
{
  double others = all->answers - own->answers;
  double others_failed = MAX (all->failed - own->failed, 0);
  double share = own->failed / own->answers;

  if (own->failed < failed_min || share < CF_ANSWERS_FAILED_SHARE || others < 1)
    return false;
  return share >= CF_ANSWERS_FAILED_TIMES * others_failed / others;
}

bool
cf_answers_note (struct CfAnswers *answers,
                 struct CfTarget *target,
                 GPtrArray *siblings,
                 struct CfEndpoint address,
                 uint32_t bytes,
                 CfMillis now)
{
  struct CfTally *all = service_tally (answers, target->service);
  bool failed = bytes == 0 || is_short (answers, address, bytes);
  struct CfQuality *quality = &target->quality;
  bool lately
      = quality->avoided_times > 0 && now - quality->avoided_until <= CF_ANSWERS_AVOID_MAX_MS;
  CfMillis delay;

  count (all, failed, now);
  count (&quality->tally, failed, now);
  if (!failed || cf_answers_avoids (target, now)
      || !stands_out (&quality->tally, all,
                      lately ? CF_ANSWERS_FAILED_AGAIN : CF_ANSWERS_FAILED_MIN)
      || !may_avoid_one_more (siblings, now))
    return false;
  /* One that answered well for long enough since starts anew. */
  if (!lately)
    quality->avoided_times = 0;
  delay = (CfMillis) CF_ANSWERS_AVOID_MIN_MS << MIN (quality->avoided_times, 8);
  quality->avoided_times++;
  quality->avoided_until = now + MIN (delay, CF_ANSWERS_AVOID_MAX_MS);
  quality->tally = (struct CfTally){ .at = now };
  return true;
}

bool
cf_answers_avoids (const struct CfTarget *target, CfMillis now)
{
  return now < target->quality.avoided_until;
}
