#include "reader.h"

const char *
cf_read_outcome_name (enum CfReadOutcome outcome)
{
  static const char *const names[] = {
    [CF_READ_ANSWERED] = "answered",         [CF_READ_OVERTAKEN] = "overtaken",
    [CF_READ_HISTORY_GONE] = "history-gone", [CF_READ_REJECTED] = "rejected",
    [CF_READ_UNREADABLE] = "unreadable",     [CF_READ_NO_ANSWER] = "no-answer",
  };

  return names[outcome];
}

void
cf_reader_init (struct CfReader *reader, enum CfFeedKind kind, CfMillis now)
{
  *reader = (struct CfReader){
    .kind = kind,
    .next_at = now,
    .failed_at = -1,
    .answered_at = -1,
  };
}

void
cf_reader_clear (struct CfReader *reader)
{
  g_clear_pointer (&reader->after, g_free);
  g_clear_pointer (&reader->asked.after, g_free);
}

static void
restart_list (struct CfReader *reader)
{
  reader->listed = false;
  reader->pages = 0;
  reader->unreadable = 0;
  g_clear_pointer (&reader->after, g_free);
}

bool
cf_reader_start_due (struct CfReader *reader, CfMillis now)
{
  if (reader->in_flight || now < reader->next_at)
    return false;
  reader->in_flight = true;
  g_free (reader->asked.after);
  reader->asked = (struct CfReadCall){
    .list = !reader->listed,
    .after = g_strdup (reader->after),
    .revision = reader->revision,
    .began_at = now,
  };
  return true;
}

CfMillis
cf_reader_wait (
    const struct CfReader *reader, CfMillis wait_ms, CfMillis stale_ms, bool probe, CfMillis now)
{
  /* Only the age of this kind's own responses counts: with that of other kinds, the reader would
   * poll without a pause while a call of another kind is under way. */
  if (reader->asked.list || probe || reader->answered_at < 0
      || now - reader->answered_at >= stale_ms)
    return 0;
  return wait_ms;
}

bool
cf_reader_enter_era (struct CfReader *reader, uint64_t era, CfMillis now)
{
  bool first = reader->era == 0 && reader->revision == 0;

  if (reader->era > 0)
    reader->failed_at = now;
  reader->era = era;
  if (first)
    return false;
  restart_list (reader);
  reader->revision = 0;
  reader->failures = 0;
  reader->next_at = now;
  reader->answered_at = -1;
  reader->in_flight = false;
  return true;
}

/* Returns true if what the call under way asked for is of no use any more. */
static bool
is_overtaken (const struct CfReader *reader, enum CfReadOutcome outcome)
{
  const struct CfReadCall *asked = &reader->asked;

  if (asked->list)
    return reader->listed || g_strcmp0 (asked->after, reader->after) != 0;
  return !reader->listed || (outcome == CF_READ_HISTORY_GONE && asked->revision < reader->revision);
}

enum CfReadOutcome
cf_reader_outcome (const struct CfReader *reader, enum CfReadOutcome outcome, uint64_t era)
{
  const struct CfReadCall *asked = &reader->asked;

  if (outcome != CF_READ_ANSWERED && outcome != CF_READ_HISTORY_GONE)
    return outcome;
  if (era != 0 && era < reader->era)
    return CF_READ_REJECTED;
  /* Only a list from the beginning has a meaning in another era than it was asked for in. */
  if (era > reader->era)
    return asked->list && !asked->after ? outcome : CF_READ_HISTORY_GONE;
  return is_overtaken (reader, outcome) ? CF_READ_OVERTAKEN : outcome;
}

static CfMillis
retry_delay (const struct CfReader *reader, GRand *random)
{
  CfMillis delay = (CfMillis) CF_READER_RETRY_MIN_MS << MIN (reader->failures - 1, 8);

  delay = MIN (delay, CF_READER_RETRY_MAX_MS);
  return delay / 2 + g_rand_int_range (random, 0, (gint32) delay / 2 + 1);
}

static CfMillis
coalesce_delay (const struct CfReader *reader)
{
  return reader->kind == CF_FEED_VMS ? CF_READER_COALESCE_VMS_MS : CF_READER_COALESCE_MS;
}

bool
cf_reader_is_stuck (const struct CfReader *reader, const struct CfFeedResponse *response)
{
  return reader->asked.list && response->truncated
         && (!response->last || g_strcmp0 (response->last, reader->asked.after) == 0
             || reader->pages >= CF_READER_PAGES_MAX);
}

static void
clear_failures (struct CfReader *reader)
{
  reader->failures = 0;
  reader->unreadable = 0;
}

/* When the next call begins after an answer without changes.  A store that does not wait must not
 * be called without a pause. */
static CfMillis
next_at_without_changes (const struct CfReader *reader, CfMillis now)
{
  return MAX (now, reader->asked.began_at + CF_READER_COALESCE_MS);
}

/* Until the last page the store has not answered: the records known are not all. */
static bool
handle_list_page (struct CfReader *reader, const struct CfFeedResponse *response, CfMillis now)
{
  /* Later reads start at the revision of the first page, so they return what changed while the
   * other pages were read. */
  if (!reader->after)
    {
      reader->revision = response->revision;
      reader->list_began_at = now;
    }
  g_clear_pointer (&reader->after, g_free);
  reader->next_at = now;
  if (response->truncated)
    {
      reader->after = g_strdup (response->last);
      reader->pages++;
      return false;
    }
  clear_failures (reader);
  reader->answered_at = reader->list_began_at;
  reader->listed = true;
  reader->pages = 0;
  reader->next_at = now + CF_READER_COALESCE_MS;
  return true;
}

bool
cf_reader_handle_outcome (struct CfReader *reader,
                          enum CfReadOutcome outcome,
                          const struct CfFeedResponse *response,
                          CfMillis now,
                          GRand *random)
{
  reader->in_flight = false;
  if (outcome == CF_READ_ANSWERED)
    {
      if (reader->asked.list)
        return handle_list_page (reader, response, now);
      clear_failures (reader);
      reader->answered_at = now;
      reader->revision = MAX (reader->revision, response->revision);
      reader->next_at = response->records->len > 0 ? now + coalesce_delay (reader)
                                                   : next_at_without_changes (reader, now);
      return false;
    }
  if (outcome == CF_READ_OVERTAKEN)
    {
      clear_failures (reader);
      reader->next_at = now;
      return false;
    }
  if (outcome == CF_READ_HISTORY_GONE)
    {
      restart_list (reader);
      reader->next_at = now;
      return false;
    }
  reader->failures++;
  reader->unreadable = outcome == CF_READ_UNREADABLE ? reader->unreadable + 1 : 0;
  if (reader->unreadable >= CF_READER_UNREADABLE_MAX)
    restart_list (reader);
  reader->failed_at = now;
  reader->next_at = now + retry_delay (reader, random);
  return false;
}

void
cf_reader_skip_to (struct CfReader *reader, uint64_t revision)
{
  /* A list that is under way is about to bring all records, later ones than another VM has. */
  if (revision <= reader->revision || (reader->in_flight && !reader->listed))
    return;
  reader->revision = revision;
  reader->listed = true;
  reader->pages = 0;
  g_clear_pointer (&reader->after, g_free);
}

bool
cf_reader_trusted (const struct CfReader *reader, CfMillis now)
{
  return reader->answered_at >= 0
         && (reader->failed_at < 0 || now - reader->failed_at > CF_READER_SETTLE_MS);
}
