#include "balance.h"
#include "answers.h"
#include "connections.h"
#include "exchange.h"
#include "isolation.h"
#include "patience.h"
#include "reach.h"
#include "waiting.h"

#include <string.h>

/* A caller sends its first packet again 200 ms after the first time, so no further
 * upstream is tried on its behalf from then on. */
#define CALLER_REPEATS_MS 190
/* A caller gives a flow up that has not opened after 1.4 s. */
#define PENDING_MAX_MS 1500

/* A tick that comes this late says that this VM stood still: nothing that it missed
 * speaks against an upstream. */
#define PAUSE_MS 60

/* An address without a route is refused while the manifest is known to be this fresh:
 * the store's answers and those of peers come at least every second or two. */
#define NEWS_FRESH_MS 3000

/* An upstream that an evacuation is taken back for may be cold without having said so:
 * its next announcement comes within about this time. */
#define ANNOUNCE_MS 1500

/* Entry VMs that packets are handed on to by turns: more than one, since some may be down. */
#define HELPERS_MAX 3

#define PRUNE_MS 10000 /* between two looks for upstreams to forget */

struct CfBalance
{
  struct CfBalanceOptions options;
  const struct CfBalanceOutputs *out;
  void *context;
  struct CfDirectory *directory;
  struct CfRoutes *routes;
  struct CfConnections connections;
  struct CfWaiting waiting; /* first packets, until there are news */
  GHashTable *evacuated;    /* set of GQuark */
  GRand *random;
  GQuark domain;
  struct CfPatience near; /* with upstreams of this failure domain */
  struct CfPatience far;  /* with all others */
  uint32_t fleet;
  GArray *helpers; /* of uint32_t: IPs of other entry VMs */
  uint32_t next_helper;
  CfMillis news_at;
  struct CfIsolation isolation;
  struct CfOutages *outages;
  struct CfAnswers *answers;
  uint32_t flows_since_try; /* flows that were placed since one last tried a suspected upstream */
  CfMillis tried_at;        /* when one last did */
  CfMillis pruned_at;
};

struct CfBalance *
cf_balance_new (const struct CfBalanceOptions *options,
                const struct CfBalanceOutputs *outputs,
                void *context)
{
  struct CfBalance *balance = g_new0 (struct CfBalance, 1);

  balance->options = *options;
  balance->domain = g_quark_from_string (options->domain);
  balance->options.domain = g_quark_to_string (balance->domain);
  balance->out = outputs;
  balance->context = context;
  balance->directory = cf_directory_new ();
  balance->routes = cf_routes_new ();
  balance->evacuated = g_hash_table_new (NULL, NULL);
  balance->random = g_rand_new_with_seed (options->seed);
  cf_patience_init (&balance->near);
  cf_patience_init (&balance->far);
  cf_isolation_init (&balance->isolation);
  balance->outages = cf_outages_new ();
  balance->answers = cf_answers_new ();
  balance->fleet = 1;
  balance->helpers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  balance->news_at = -1;
  cf_connections_init (&balance->connections);
  cf_waiting_init (&balance->waiting);
  return balance;
}

void
cf_balance_free (struct CfBalance *balance)
{
  cf_connections_clear (&balance->connections);
  cf_waiting_clear (&balance->waiting);
  cf_answers_free (balance->answers);
  cf_outages_free (balance->outages);
  g_array_unref (balance->helpers);
  g_rand_free (balance->random);
  g_hash_table_unref (balance->evacuated);
  cf_routes_free (balance->routes);
  cf_directory_free (balance->directory);
  g_free (balance);
}

static CfMillis
news_age (const struct CfBalance *balance, CfMillis now)
{
  return balance->news_at >= 0 ? now - balance->news_at : -1;
}

static bool
news_are_fresh (const struct CfBalance *balance, CfMillis now)
{
  return balance->news_at >= 0 && now - balance->news_at <= NEWS_FRESH_MS;
}

static void
decide (struct CfBalance *balance, const struct CfDecision *decision)
{
  if (balance->out->decided)
    balance->out->decided (balance->context, decision);
}

static enum CfFate
end (struct CfBalance *balance,
     const struct CfSegment *segment,
     const struct CfTarget *target,
     enum CfFate fate,
     CfMillis now)
{
  if (fate == CF_FATE_RESET_ROUTE || fate == CF_FATE_RESET_SERVICE || fate == CF_FATE_RESET_REMOVED)
    balance->out->reset (balance->context, segment);
  decide (balance, &(struct CfDecision){
                       .fate = fate,
                       .caller = segment->caller,
                       .service = segment->service,
                       .target = target,
                       .reason = CF_PLACE_NONE,
                       .manifest_version = cf_routes_version (balance->routes),
                       .known_for = target ? now - target->state_since : 0,
                       .news_age = news_age (balance, now),
                   });
  return fate;
}

/* Hands SEGMENT on to another VM, unless it was handed on before.  Returns true if it did. */
static bool
ask_helper (struct CfBalance *balance, const struct CfSegment *segment)
{
  if (segment->flags & CF_SEGMENT_HANDED || balance->helpers->len == 0)
    return false;
  balance->next_helper = (balance->next_helper + 1) % MIN (balance->helpers->len, HELPERS_MAX);
  balance->out->hand_on (balance->context, segment,
                         g_array_index (balance->helpers, uint32_t, balance->next_helper));
  return true;
}

/* SEGMENT cannot be understood here: another VM may know more, since this one has been cut
 * off.  FATE is what becomes of it otherwise. */
static enum CfFate
hand_on (struct CfBalance *balance, const struct CfSegment *segment, enum CfFate fate, CfMillis now)
{
  return end (balance, segment, NULL, ask_helper (balance, segment) ? CF_FATE_HANDED_ON : fate,
              now);
}

/* Returns true if this VM has had news of every kind since its start. */
static bool
has_started (const struct CfBalance *balance)
{
  return balance->news_at >= 0 && cf_routes_version (balance->routes) > 0;
}

/* The first packet SEGMENT came before the first news.  Another VM may know more already;
 * if not, the news come sooner than the caller's repetition. */
static enum CfFate
await_news (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  if (segment->flags & CF_SEGMENT_HANDED || !cf_waiting_keep (&balance->waiting, segment, now))
    return hand_on (balance, segment, CF_FATE_SILENT_ROUTE, now);
  ask_helper (balance, segment);
  return end (balance, segment, NULL, CF_FATE_WAITING, now);
}

static void
tell_reach (struct CfBalance *balance, const struct CfTarget *target)
{
  if (balance->out->reach_changed)
    balance->out->reach_changed (balance->context, target);
}

static void
tell_outage (struct CfBalance *balance, GQuark domain, bool begins)
{
  if (balance->out->outage_changed)
    balance->out->outage_changed (balance->context, domain, begins);
}

static double
cold_share (const struct CfBalance *balance, GQuark service)
{
  const struct CfServiceTraits *traits = cf_routes_service (balance->routes, service);

  return traits ? traits->cold_per_s / MAX (balance->fleet, 1) : 0;
}

/* Returns true if a flow that is placed at NOW may try a suspected upstream.  A first packet
 * that one upstream has lost already goes to the best. */
static bool
may_try (const struct CfBalance *balance, const struct CfConnection *connection, CfMillis now)
{
  return connection->tries == 0
         && (balance->flows_since_try >= CF_PLACE_TRY_EACH
             || now - balance->tried_at >= CF_PLACE_TRY_MS);
}

static struct CfTarget *
choose (struct CfBalance *balance,
        const struct CfConnection *connection,
        CfMillis now,
        enum CfPlaceReason *reason)
{
  struct CfPlacement placement = {
    .directory = balance->directory,
    .domain = balance->domain,
    .evacuated = balance->evacuated,
    .cold_share = cold_share (balance, connection->service_name),
    .outages = balance->outages,
    .may_try = may_try (balance, connection, now),
    .random = balance->random,
  };

  return cf_place_flow (&placement, connection->service_name, connection->tried, connection->tries,
                        now, reason);
}

static struct CfPatience *
patience_with (struct CfBalance *balance, const struct CfTarget *target)
{
  return target->domain == balance->domain ? &balance->near : &balance->far;
}

/* Sends the first packet BYTES of CONNECTION to the next upstream. */
static bool
try_next (struct CfBalance *balance,
          struct CfConnection *connection,
          const uint8_t *bytes,
          size_t size,
          enum CfFate fate,
          CfMillis now)
{
  enum CfPlaceReason reason;
  struct CfTarget *target = choose (balance, connection, now, &reason);

  if (!target)
    return false;
  balance->flows_since_try++;
  if (reason == CF_PLACE_TRY)
    {
      balance->flows_since_try = 0;
      balance->tried_at = now;
    }
  decide (balance,
          &(struct CfDecision){
              .fate = fate,
              .caller = connection->caller,
              .service = connection->service,
              .target = target,
              .silent = connection->tries > 0 ? connection->tried[connection->tries - 1] : NULL,
              .reason = reason,
              .tries = connection->tries,
              .manifest_version = cf_routes_version (balance->routes),
              .known_for = now - target->state_since,
              .news_age = news_age (balance, now),
          });
  connection->tried[connection->tries] = target;
  connection->tried_at[connection->tries] = now;
  connection->tries++;
  cf_connection_move (connection, target);
  cf_reach_begin (&target->reach);
  cf_connections_schedule (&balance->connections, connection,
                           now + cf_patience_ms (patience_with (balance, target)));
  balance->out->forward (balance->context, bytes, size, target);
  return true;
}

static struct CfConnection *
begin (struct CfBalance *balance,
       const struct CfSegment *segment,
       const struct CfRouteEntry *route,
       CfMillis now)
{
  struct CfConnection *connection
      = cf_connections_add (&balance->connections, segment->caller, segment->service, now);

  connection->service_name = cf_route_service (route, segment->caller);
  if (segment->size <= CF_FIRST_BYTES_MAX)
    {
      memcpy (connection->first, segment->bytes, segment->size);
      connection->first_size = segment->size;
    }
  return connection;
}

/* No upstream may take the flow of SEGMENT.  Refuses it, unless another VM may know one. */
static enum CfFate
unplaced (struct CfBalance *balance,
          const struct CfSegment *segment,
          struct CfConnection *connection,
          CfMillis now)
{
  cf_connections_remove (&balance->connections, connection);
  if (!news_are_fresh (balance, now))
    return hand_on (balance, segment, CF_FATE_SILENT_SERVICE, now);
  return end (balance, segment, NULL, CF_FATE_RESET_SERVICE, now);
}

static enum CfFate
handle_first (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  const struct CfRouteEntry *route = cf_routes_find (balance->routes, segment->service);
  struct CfConnection *connection
      = cf_connections_find (&balance->connections, segment->caller, segment->service);
  enum CfFate fate = segment->copy > 0 ? CF_FATE_REPEATED : CF_FATE_PLACED;

  if (!has_started (balance))
    return await_news (balance, segment, now);
  if (!route && !news_are_fresh (balance, now))
    return hand_on (balance, segment, CF_FATE_SILENT_ROUTE, now);
  if (!route || route->removed)
    return end (balance, segment, NULL, CF_FATE_RESET_ROUTE, now);
  if (connection && !connection->pending && segment->copy > 0 && connection->target)
    {
      /* The flow has opened since this repetition was sent. */
      balance->out->forward (balance->context, segment->bytes, segment->size, connection->target);
      return CF_FATE_PASSED;
    }
  if (connection && (!connection->pending || segment->copy == 0))
    {
      cf_connections_remove (&balance->connections, connection);
      connection = NULL;
    }
  if (!connection)
    connection = begin (balance, segment, route, now);
  if (connection->tries == CF_TRIES_MAX)
    connection->tries = 0;
  if (try_next (balance, connection, segment->bytes, segment->size, fate, now))
    return fate;
  if (connection->tries > 0)
    {
      /* Every upstream was tried: once more from the first. */
      connection->tries = 0;
      if (try_next (balance, connection, segment->bytes, segment->size, fate, now))
        return fate;
    }
  return unplaced (balance, segment, connection, now);
}

/* Upstreams of DOMAIN can be reached again: those that were found out of reach may be tried
 * at once. */
static void
end_outage (struct CfBalance *balance, GQuark domain, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cf_directory_all (balance->directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct CfTarget *) value)->domain == domain)
      cf_reach_forgive (&((struct CfTarget *) value)->reach, now);
  tell_outage (balance, domain, false);
}

/* A packet with the cookie of TARGET followed the first packet of CONNECTION. */
static void
opened (struct CfBalance *balance,
        struct CfConnection *connection,
        struct CfTarget *target,
        CfMillis now)
{
  bool suspected = !cf_reach_good (&target->reach);

  cf_isolation_opened (&balance->isolation);
  for (uint32_t i = 0; i < connection->tries; i++)
    if (connection->tried[i] == target && i + 1 == connection->tries)
      cf_patience_learn (patience_with (balance, target), now - connection->tried_at[i]);
  cf_reach_confirm (&target->reach, now);
  if (suspected)
    tell_reach (balance, target);
  if (cf_outages_answered (balance->outages, target->domain))
    end_outage (balance, target->domain, now);
  cf_connection_move (connection, target);
  if (balance->out->opened)
    balance->out->opened (balance->context, target->service, now - connection->begun_at);
}

static bool
route_leads_to (const struct CfRouteEntry *route, GQuark service)
{
  for (uint32_t i = 0; i < route->split_count; i++)
    if (route->splits[i].service == service)
      return true;
  return false;
}

/* A request of CONNECTION to TARGET has ended, or waits for long, with BYTES of an answer. */
static void
judge (struct CfBalance *balance,
       const struct CfConnection *connection,
       struct CfTarget *target,
       uint32_t bytes,
       CfMillis now)
{
  GPtrArray *siblings = cf_directory_service (balance->directory, target->service);

  if (cf_answers_note (balance->answers, target, siblings, connection->service, bytes, now)
      && balance->out->failing)
    balance->out->failing (balance->context, target);
}

/* SEGMENT of the open CONNECTION went to TARGET. */
static void
follow (struct CfBalance *balance,
        struct CfConnection *connection,
        const struct CfSegment *segment,
        struct CfTarget *target,
        CfMillis now)
{
  uint32_t bytes;

  if (cf_exchange_follow (&balance->connections, connection, segment, now, &bytes))
    judge (balance, connection, target, bytes, now);
  if (!(segment->flags & (CF_SEGMENT_FIN | CF_SEGMENT_RST)))
    {
      cf_connections_touch (&balance->connections, connection, now);
      return;
    }
  if (cf_exchange_end (connection, &bytes))
    judge (balance, connection, target, bytes, now);
  cf_connections_remove (&balance->connections, connection);
}

static enum CfFate
handle_later (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  const struct CfRouteEntry *route = cf_routes_find (balance->routes, segment->service);
  struct CfTarget *target = cf_directory_by_cookie (balance->directory, segment->cookie);
  struct CfConnection *connection
      = cf_connections_find (&balance->connections, segment->caller, segment->service);

  if (route && route->removed)
    {
      if (connection)
        cf_connections_remove (&balance->connections, connection);
      return end (balance, segment, target, CF_FATE_RESET_REMOVED, now);
    }
  if (!target)
    return hand_on (balance, segment, CF_FATE_SILENT_COOKIE, now);
  if (route && !route_leads_to (route, target->service))
    return end (balance, segment, target, CF_FATE_SILENT_OTHER, now);
  balance->out->forward (balance->context, segment->bytes, segment->size, target);
  if (!connection)
    return CF_FATE_PASSED;
  if (connection->pending)
    opened (balance, connection, target, now);
  follow (balance, connection, segment, target, now);
  return CF_FATE_PASSED;
}

enum CfFate
cf_balance_segment (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  if (segment->flags & CF_SEGMENT_SYN)
    return handle_first (balance, segment, now);
  /* Another VM had an upstream for it. */
  if (!cf_waiting_empty (&balance->waiting))
    cf_waiting_forget (&balance->waiting, segment->caller, segment->service);
  return handle_later (balance, segment, now);
}

/* The successor of a first packet is overdue. */
static void
handle_overdue (struct CfBalance *balance, struct CfConnection *connection, CfMillis now)
{
  CfMillis give_up = connection->begun_at + PENDING_MAX_MS;
  bool paused = now - connection->due_at > PAUSE_MS;

  if (now >= give_up)
    {
      cf_connections_remove (&balance->connections, connection);
      return;
    }
  if (connection->tries > 0 && !paused && connection->due_at < give_up)
    {
      struct CfTarget *last = connection->tried[connection->tries - 1];
      bool good = cf_reach_good (&last->reach);

      cf_isolation_lost (&balance->isolation, now);
      cf_reach_strike (&last->reach, connection->tried_at[connection->tries - 1], now);
      if (good && !cf_reach_good (&last->reach))
        {
          tell_reach (balance, last);
          if (cf_outages_lost (balance->outages, last->domain))
            tell_outage (balance, last->domain, true);
        }
    }
  if (connection->first_size > 0 && connection->tries < CF_TRIES_MAX
      && now - connection->begun_at < CALLER_REPEATS_MS
      && try_next (balance, connection, connection->first, connection->first_size, CF_FATE_MOVED,
                   now))
    return;
  cf_connection_move (connection, NULL);
  cf_connections_schedule (&balance->connections, connection, give_up);
}

/* The first news are there: the first packets that waited for them go on. */
static void
resume (struct CfBalance *balance, CfMillis now)
{
  struct CfWaitingFirst first;

  while (cf_waiting_take (&balance->waiting, &first, now))
    handle_first (balance, &first.segment, now);
}

static void
judge_stalled (struct CfBalance *balance, CfMillis now)
{
  struct CfConnection *connection;

  while ((connection = cf_exchange_stalled (&balance->connections, CF_ANSWERS_STALL_MS, now)))
    if (connection->target)
      judge (balance, connection, connection->target, 0, now);
}

CfMillis
cf_balance_tick (struct CfBalance *balance, CfMillis now)
{
  struct CfConnections *connections = &balance->connections;
  CfMillis idle = cf_routes_flow_idle (balance->routes);

  if (has_started (balance) && !cf_waiting_empty (&balance->waiting))
    resume (balance, now);
  while (!cf_list_empty (&connections->pending))
    {
      struct CfConnection *connection
          = CF_LIST_ENTRY (connections->pending.next, struct CfConnection, link);

      if (connection->due_at > now)
        break;
      handle_overdue (balance, connection, now);
    }
  judge_stalled (balance, now);
  while (!cf_list_empty (&connections->open))
    {
      struct CfConnection *connection
          = CF_LIST_ENTRY (connections->open.next, struct CfConnection, link);

      if (now - connection->seen_at < idle)
        break;
      cf_connections_remove (connections, connection);
    }
  if (now - balance->pruned_at >= PRUNE_MS)
    {
      cf_directory_prune (balance->directory, now,
                          MAX (balance->options.flow_lifetime_ms, PENDING_MAX_MS));
      balance->pruned_at = now;
    }
  if (cf_list_empty (&connections->pending))
    return now + CF_MS_PER_S;
  return MIN (CF_LIST_ENTRY (connections->pending.next, struct CfConnection, link)->due_at,
              now + CF_MS_PER_S);
}

bool
cf_balance_manifest (struct CfBalance *balance, const struct CfManifest *manifest)
{
  return cf_routes_apply (balance->routes, manifest);
}

/* Upstreams of DOMAIN get flows again, and may have become cold in the meantime. */
static void
treat_as_cold (struct CfBalance *balance, GQuark domain, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cf_directory_all (balance->directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct CfTarget *target = value;
      const struct CfServiceTraits *traits = cf_routes_service (balance->routes, target->service);

      if (target->domain != domain || !traits || traits->cold_per_s <= 0)
        continue;
      cf_target_suppose_cold (target, now + traits->cold_ms + ANNOUNCE_MS, now);
    }
}

void
cf_balance_evacuate (struct CfBalance *balance, const char *domain, bool on, CfMillis now)
{
  GQuark quark = g_quark_from_string (domain);

  if (on)
    g_hash_table_add (balance->evacuated, GUINT_TO_POINTER (quark));
  else if (g_hash_table_remove (balance->evacuated, GUINT_TO_POINTER (quark)))
    treat_as_cold (balance, quark, now);
}

void
cf_balance_news (struct CfBalance *balance, CfMillis now)
{
  balance->news_at = now;
}

void
cf_balance_helpers (struct CfBalance *balance, const uint32_t *ips, uint32_t count)
{
  g_array_set_size (balance->helpers, 0);
  g_array_append_vals (balance->helpers, ips, count);
}

void
cf_balance_fleet (struct CfBalance *balance, uint32_t count)
{
  balance->fleet = count;
}

struct CfDirectory *
cf_balance_directory (struct CfBalance *balance)
{
  return balance->directory;
}

const struct CfRoutes *
cf_balance_routes (const struct CfBalance *balance)
{
  return balance->routes;
}

bool
cf_balance_isolated (struct CfBalance *balance, CfMillis now)
{
  return cf_isolation_check (&balance->isolation, balance->news_at, now);
}

static bool
any_upstream (const struct CfBalance *balance)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, cf_directory_all (balance->directory));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct CfTarget *) value)->state == CF_TARGET_READY)
      return true;
  return false;
}

bool
cf_balance_ready (const struct CfBalance *balance)
{
  return balance->isolation.found_at < 0 && cf_routes_version (balance->routes) > 0
         && any_upstream (balance);
}

uint32_t
cf_balance_flows (const struct CfBalance *balance)
{
  return balance->connections.count;
}
