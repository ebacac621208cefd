#include "runtime/crash_report.h"
#include "feed_internal.h"
#include "runtime/clock.h"

#include <inttypes.h>

/* How long the followed VM may hold a request until there are changes (long polling).  A VM that
 * has lost power is noticed this much later, and changes of upstreams must be in force within
 * 3 s. */
#define WAIT_MS 1000
#define DEADLINE_MS 500  /* for the response, in addition to the wait */
#define RETRY_MS 250     /* before the next source is tried after a failure */
#define SEED_WAIT_MS 300 /* a VM that starts must not lose time on a seed without data */
#define PAUSE_MS 50      /* after a response, so that changes that come together cost one request */

/* After a difference that did not apply, none are asked for during this time: if the fault is in a
 * VM's data or build, its next difference does not apply either, and costs a whole update more. */
#define NO_DIFFERENCES_MS 60000

/* READER read the store at SYNCED_AT.  If this VM began to read the store before that, and READER
 * precedes it in the order of readers, this VM stops reading. */
static void
stop_reading_store (struct FeedFollow *follow, const char *reader, CfMillis synced_at, CfMillis now)
{
  const struct CfFeed *feed = follow->feed;
  CfMillis until = feed->status->read_until;

  if (now >= until || synced_at < until - CF_SOURCES_READ_MIN_MS
      || !cf_sources_precedes (feed->sources, reader))
    return;
  feed->calls->stop_reading (feed->context, now);
  feed->calls->log (feed->context, "reading-ended",
                    (struct CfField[]){
                        { .key = "reader", .text = reader },
                        { .key = "source", .text = follow->name },
                        { .key = "news_age_ms", .number = now - synced_at },
                        { 0 },
                    },
                    now);
}

/* Returns true if the records of a response with the header ERA (NULL: none) are of the replica's
 * era, which becomes ERA if that is later. */
static bool
accept_era (struct FeedFollow *follow, const char *era)
{
  const struct CfFeed *feed = follow->feed;
  uint64_t number;

  /* A build before eras does not know that the store was restored, if it was. */
  if (!era)
    return feed->replica->carry_since < 0;
  if (!cf_relay_parse_era (era, &number) || number < feed->replica->era)
    return false;
  return feed->calls->learn_era (feed->context, follow->name, number) != CF_ERA_DOUBTED;
}

/* Notes that DIFFERENCE did not apply. */
static void
drop_difference (struct FeedFollow *follow, const struct feed_difference *difference, CfMillis now)
{
  const struct CfFeed *feed = follow->feed;
  enum CfFeedKind kind = (enum CfFeedKind) difference->kind;
  const struct CfRecord *held = cf_replica_stored (feed->replica, kind, difference->name);

  follow->ask_all = true;
  follow->no_differences_until = now + NO_DIFFERENCES_MS;
  feed->calls->log (feed->context, "difference-dropped",
                    (struct CfField[]){
                        { .key = "source", .text = follow->name },
                        { .key = "kind", .text = cf_feed_kind_name (kind) },
                        { .key = "record", .text = difference->name },
                        { .key = "base", .number = (int64_t) difference->base },
                        { .key = "revision", .number = (int64_t) difference->revision },
                        { .key = "held", .number = held ? (int64_t) held->revision : 0 },
                        { 0 },
                    },
                    now);
}

static bool
apply_response (struct FeedFollow *follow, const char *era, GBytes *body, CfMillis now)
{
  const struct CfFeed *feed = follow->feed;
  const struct feed_difference *failed;
  struct CfRelayUpdate update;
  CfMillis synced_at;
  gsize len;
  const void *data = g_bytes_get_data (body, &len);

  cf_crash_report_input ("vm-update", follow->name);
  if (!cf_relay_decode (data, len, &update))
    return false;
  if (!accept_era (follow, era))
    {
      cf_relay_clear (&update);
      return false;
    }
  failed = cf_relay_apply_differences (&update, feed->replica);
  if (failed)
    {
      drop_difference (follow, failed, now);
      cf_relay_clear (&update);
      return false;
    }
  follow->ask_all = false;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      const struct feed_part *part = &update.parts.parts.parts_val[kind];
      GPtrArray *records;

      if (part->revision == 0)
        continue;
      records = cf_relay_records (part);
      feed->calls->apply (feed->context, (enum CfFeedKind) kind, records, part->revision,
                          part->whole, update.origin.settled);
      g_ptr_array_unref (records);
    }
  synced_at = now - update.origin.age;
  stop_reading_store (follow, update.origin.reader, synced_at, now);
  feed->calls->set_synced_at (feed->context, update.origin.reader, synced_at,
                              update.origin.settled);
  cf_relay_clear (&update);
  return cf_feed_age (feed, now) < CF_SOURCES_STALE_FIRST_MS;
}

static const char *
outcome_name (SoupMessage *message, GBytes *body)
{
  if (!body)
    return "no-answer";
  if (soup_message_get_status (message) == SOUP_STATUS_SERVICE_UNAVAILABLE)
    return "refused";
  return soup_message_get_status (message) == SOUP_STATUS_OK ? "stale" : "no-answer";
}

/* Reads the referral in BODY, if MESSAGE is one to this VM without data. */
static bool
receive_referral (struct FeedFollow *follow, SoupMessage *message, GBytes *body, CfMillis now)
{
  const struct CfFeed *feed = follow->feed;
  gsize len;
  const void *data;

  if (!body || soup_message_get_status (message) != SOUP_STATUS_SERVICE_UNAVAILABLE
      || !cf_replica_is_empty (feed->replica))
    return false;
  data = g_bytes_get_data (body, &len);
  cf_crash_report_input ("vm-referral", follow->name);
  if (!cf_referral_receive (&follow->referral, follow->named, data, len, now))
    return false;
  feed->calls->log (
      feed->context, "referred",
      (struct CfField[]){
          { .key = "source", .text = follow->name },
          { .key = "vms", .number = follow->referral.count },
          { .key = "waited_ms", .number = cf_referral_waited (&follow->referral, now) },
          { 0 },
      },
      now);
  return true;
}

static void
answered (void *data, SoupMessage *message, GBytes *body)
{
  struct FeedFollow *follow = data;
  const struct CfFeed *feed = follow->feed;
  CfMillis now = cf_now ();
  bool answer = body && soup_message_get_status (message) == SOUP_STATUS_OK;
  const char *era = answer ? soup_message_headers_get_one (
                        soup_message_get_response_headers (message), CF_RELAY_ERA_HEADER)
                           : NULL;
  bool asked_all = follow->ask_all;
  bool good = answer && apply_response (follow, era, body, now);
  /* A VM whose difference did not apply can be asked for everything. */
  bool failed
      = !good && (asked_all || !follow->ask_all) && !receive_referral (follow, message, body, now);

  follow->call = NULL;
  follow->next_at = now + (failed ? RETRY_MS : PAUSE_MS);
  if (cf_referral_holds (&follow->referral, now))
    follow->next_at = now; /* the next named VM */
  if (failed)
    feed->calls->log (feed->context, "source-failed",
                      (struct CfField[]){
                          { .key = "source", .text = follow->name },
                          { .key = "outcome", .text = outcome_name (message, body) },
                          { .key = "news_age_ms", .number = cf_feed_age (feed, now) },
                          { 0 },
                      },
                      now);
  if (good)
    feed->calls->source_answered (feed->context, follow->name, now);
  if (failed)
    feed->calls->source_failed (feed->context, follow->name, now);
  feed->calls->run_due (feed->context);
}

/* Returns the URL of a request for changes to the VM at IP, to wait for WAIT ms. */
static char *
feed_url (const struct FeedFollow *follow, const char *ip, int wait, CfMillis now)
{
  const struct CfFeed *feed = follow->feed;
  struct CfFeedPosition position
      = { .era = feed->replica->era, .differences = now >= follow->no_differences_until };
  GString *url = g_string_new (NULL);
  char *query;

  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    position.revision[kind] = follow->ask_all ? 0 : feed->replica->revision[kind];
  query = cf_feed_position_format (&position);
  g_string_append_printf (url, "http://%s:%u/feed?%s&wait-ms=%d", ip,
                          feed->balancer->settings.peer_port, query, wait);
  if (cf_replica_is_empty (feed->replica))
    g_string_append_printf (url, "&referral-wait-ms=%" PRId64 "&referral-named=%d",
                            cf_referral_waited (&follow->referral, now), follow->named);
  g_free (query);
  return g_string_free (url, FALSE);
}

CfMillis
cf_feed_follow_tick (struct FeedFollow *follow, const struct CfSource *source, CfMillis now)
{
  const struct CfFeed *feed = follow->feed;
  bool empty = cf_replica_is_empty (feed->replica);
  int wait = empty ? SEED_WAIT_MS : WAIT_MS;
  guint deadline = (guint) wait + DEADLINE_MS;
  const char *ip = source->ip;
  CfMillis due = now;
  char *url;

  if (follow->call)
    return now + CF_MS_PER_S;
  if (now < follow->next_at)
    return follow->next_at;
  if (!empty)
    follow->referral = (struct CfReferral){ .referred = false };
  follow->named = cf_referral_holds (&follow->referral, now);
  if (follow->named)
    {
      ip = cf_referral_next (&follow->referral, now, &due);
      wait = 0;
      deadline = CF_REFERRAL_CALL_MS;
    }
  if (!ip)
    return due;
  g_free (follow->name);
  follow->name = follow->named ? g_strconcat ("named ", ip, NULL) : g_strdup (source->name);
  url = feed_url (follow, ip, wait, now);
  follow->call = cf_http_call_begin (feed->session, soup_message_new ("GET", url), deadline,
                                     answered, follow);
  g_free (url);
  return now + CF_MS_PER_S;
}

void
cf_feed_follow_stop (struct FeedFollow *follow)
{
  cf_http_call_cancel (&follow->call);
  g_clear_pointer (&follow->name, g_free);
}
