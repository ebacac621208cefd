#include "balance_internal.h"
#include "exchange.h"
#include "reach.h"

/* Upstreams announce themselves about this often.  When the evacuation of a domain ends, its
 * upstreams may have become cold without having announced it yet. */
#define ANNOUNCE_INTERVAL_MS 1500

#define PRUNE_INTERVAL_MS 10000 /* interval at which expired upstreams are removed */

/* A CfUpstreamChange. */
static void
drop_evidence (void *context, struct CfTarget *target, bool ends)
{
  struct CfBalance *balance = context;

  if (ends || target->state == CF_TARGET_LAPSED)
    cf_unreachable_forget (target);
  if (!ends)
    return;
  if (target->service)
    cf_outlier_forget (balance->outlier_detector, target, balance->now);
  if (!cf_reach_good (&target->reach))
    cf_isolation_forget (&balance->isolation);
  if (cf_outages_forget (balance->outages, target))
    cf_balance_notify_outage (balance, target->domain, false);
}

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
  cf_directory_watch (balance->directory, drop_evidence, balance);
  balance->routes = cf_routes_new ();
  balance->evacuated = g_hash_table_new (NULL, NULL);
  balance->random = g_rand_new_with_seed (options->seed);
  cf_open_timeout_init (&balance->near_timeout);
  cf_open_timeout_init (&balance->far_timeout);
  cf_isolation_init (&balance->isolation);
  balance->outages = cf_outages_new ();
  balance->unreachable = cf_unreachable_new ();
  balance->outlier_detector = cf_outlier_detector_new ();
  balance->fleet_size = 1;
  balance->peers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  balance->synced_at = -1;
  cf_connections_init (&balance->connections);
  cf_balance_init_admission (balance);
  balance->extra_open = cf_extra_open_new (options->extra_openings);
  cf_startup_queue_init (&balance->startup_queue);
  return balance;
}

void
cf_balance_free (struct CfBalance *balance)
{
  cf_connections_clear (&balance->connections);
  g_clear_pointer (&balance->admission, cf_admission_control_free);
  cf_extra_open_free (balance->extra_open);
  cf_startup_queue_clear (&balance->startup_queue);
  cf_outlier_detector_free (balance->outlier_detector);
  cf_unreachable_free (balance->unreachable);
  cf_outages_free (balance->outages);
  g_array_unref (balance->peers);
  g_rand_free (balance->random);
  g_hash_table_unref (balance->evacuated);
  cf_routes_free (balance->routes);
  cf_directory_free (balance->directory);
  g_free (balance);
}

enum CfOutcome
cf_balance_segment (struct CfBalance *balance, const struct CfSegment *segment, CfMillis now)
{
  balance->now = now;
  if (segment->flags & CF_SEGMENT_SYN)
    return cf_balance_first_packet (balance, segment, now);
  /* The flow has opened: another VM found an upstream for it. */
  if (!cf_startup_queue_empty (&balance->startup_queue))
    cf_startup_queue_remove (&balance->startup_queue, segment->caller, segment->service);
  if (balance->admission)
    cf_admission_forget (cf_admission_control_queue (balance->admission), segment->caller,
                         segment->service);
  return cf_balance_later_packet (balance, segment, now);
}

CfMillis
cf_balance_tick (struct CfBalance *balance, CfMillis now)
{
  struct CfConnections *connections = &balance->connections;
  CfMillis idle = cf_routes_flow_idle (balance->routes);
  CfMillis admission_next = G_MAXINT64;
  struct CfConnection *pending;
  CfMillis next;

  balance->now = now;
  cf_balance_resume_queued (balance, now);
  while ((pending = cf_connections_next_due (connections)) && pending->due_at <= now)
    cf_balance_open_timed_out (balance, pending, now);
  cf_balance_fail_stalled (balance, now);
  if (balance->admission)
    cf_balance_resume_held (balance, now);
  while (!cf_list_empty (&connections->open))
    {
      struct CfConnection *connection
          = CF_LIST_ENTRY (connections->open.next, struct CfConnection, link);

      if (now - connection->seen_at < idle)
        break;
      cf_connections_remove (connections, connection);
    }
  if (now - balance->pruned_at >= PRUNE_INTERVAL_MS)
    {
      cf_directory_prune (balance->directory, now,
                          MAX (balance->options.flow_lifetime_ms, CF_PENDING_MAX_MS));
      cf_extra_open_prune (balance->extra_open, now);
      balance->pruned_at = now;
    }
  next = MIN (now + CF_MS_PER_S, cf_exchange_next_stall (connections));
  if (pending)
    next = MIN (next, pending->due_at);
  if (balance->admission)
    admission_next = cf_admission_tick (balance->admission, now);
  return MIN (next, admission_next);
}

bool
cf_balance_manifest (struct CfBalance *balance, const struct CfManifest *manifest)
{
  return cf_routes_apply (balance->routes, manifest);
}

/* The evacuation of DOMAIN has ended; its upstreams may have become cold in the meantime. */
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
      cf_target_assume_cold (target, now + traits->cold_ms + ANNOUNCE_INTERVAL_MS, now);
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
cf_balance_synced (struct CfBalance *balance, CfMillis now)
{
  balance->synced_at = now;
  cf_directory_set_listed (balance->directory);
}

void
cf_balance_set_peers (struct CfBalance *balance, const uint32_t *ips, uint32_t count)
{
  g_array_set_size (balance->peers, 0);
  g_array_append_vals (balance->peers, ips, count);
}

void
cf_balance_set_fleet_size (struct CfBalance *balance, uint32_t count)
{
  balance->fleet_size = count;
  if (balance->admission)
    cf_admission_set_fleet_size (balance->admission, count);
}

struct CfAdmissionControl *
cf_balance_admission (struct CfBalance *balance)
{
  return balance->admission;
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
  return cf_isolation_check (&balance->isolation, balance->synced_at, now);
}

static bool
has_ready_upstream (const struct CfBalance *balance)
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
  return balance->isolation.detected_at < 0 && cf_routes_version (balance->routes) > 0
         && has_ready_upstream (balance);
}

uint32_t
cf_balance_flows (const struct CfBalance *balance)
{
  return balance->connections.count;
}
