#include "soak.h"

#include <signal.h>
#include <string.h>

/* The faults that are drawn one by one or in series of one kind, and the changes between them. */

#define SERIES_ONE_IN 8         /* faults that begin a series of one kind, in quick succession */
#define RESTORE_AGE_MAX_MS 9000 /* the restored store lacks this much at most */
#define RESTORE_AWAY_PART 2     /* the store is away for this part of a fault's duration */
#define REWRITE_MS 2000         /* after a restore writers have written again */
#define EXPIRE_MS 3000          /* and the announcements of upstreams that have ended expire */

/* The operator. */

static void
write_manifest (struct Soak *soak)
{
  char *text = g_strdup_printf (
      "{\"version\":%" G_GUINT64_FORMAT
      ",\"routes\":[{\"host\":\"198.18.0.1\",\"path-prefix\":\"/80/\",\"kind\":\"idempotent\","
      "\"service\":\"s\"%s},"
      "{\"host\":\"198.18.0.1\",\"path-prefix\":\"/81/\",\"service\":\"t\"}%s],\"services\":["
      "{\"name\":\"s\",\"warmup-s\":0.5,\"warmup-per-s\":20},{\"name\":\"t\",\"warmup-s\":0.5,"
      "\"warmup-per-s\":20}],\"limits\":{\"idle-timeout-ms\":15000}}",
      soak->version,
      soak->overload
          ? ",\"priority\":2,\"target-latency-ms\":400},{\"host\":\"198.18.0.1\",\"path-prefix\":"
            "\"/83/\",\"service\":\"s\",\"priority\":1,\"target-latency-ms\":400"
          : "",
      soak->second_route ? ",{\"host\":\"198.18.0.1\",\"path-prefix\":\"/82/\",\"service\":\"t\"}"
                         : "");

  soak_store_put (soak->store, CF_FEED_MANIFEST, "main", text);
  soak->route_changed_at = soak_now ();
  g_free (text);
}

void
soak_put_manifest (struct Soak *soak)
{
  soak->version++;
  write_manifest (soak);
}

/* Faults. */

static struct SoakVm *
random_vm (struct Soak *soak)
{
  return &soak->vms[g_rand_int_range (soak->random, 0, soak->vm_count)];
}

static struct SoakUpstream *
random_upstream (struct Soak *soak)
{
  return &soak->upstreams[g_rand_int_range (soak->random, 0, SOAK_UPSTREAMS)];
}

static gboolean
restore_path (gpointer data)
{
  struct SoakVm *vm = data;

  soak_proxy_set (vm->proxy, SOAK_PATH_OPEN);
  soak_vm_note_cut (vm, soak_now ());
  return G_SOURCE_REMOVE;
}

void
soak_degrade_path (struct SoakVm *vm, enum SoakPath path, int ms)
{
  soak_proxy_set (vm->proxy, path);
  soak_vm_note_cut (vm, soak_now () + ms);
  g_timeout_add ((guint) ms, restore_path, vm);
}

static gboolean
restart_upstream (gpointer data)
{
  struct SoakUpstream *upstream = data;

  soak_upstream_restart (upstream, !upstream->draining);
  return G_SOURCE_REMOVE;
}

static gboolean
end_evacuation (gpointer data)
{
  struct Soak *soak = data;

  soak_store_put (soak->store, CF_FEED_EVACUATIONS, soak->evacuated, NULL);
  soak->evacuated = NULL;
  soak->evacuation_ended_at = soak_now ();
  return G_SOURCE_REMOVE;
}

/* After a restore of the store its writers write again what it lost. */

static gboolean
announce_again (gpointer data)
{
  struct SoakUpstream *upstream = data;

  soak_upstream_announce (upstream);
  upstream->drained_at = soak_now ();
  return G_SOURCE_REMOVE;
}

static gboolean
operate_again (gpointer data)
{
  struct Soak *soak = data;

  write_manifest (soak);
  for (int i = 0; i < SOAK_DOMAINS; i++)
    soak_store_put (soak->store, CF_FEED_EVACUATIONS, soak_domains[i],
                    soak->evacuated == soak_domains[i] ? "{}" : NULL);
  soak->evacuated_at = soak_now ();
  return G_SOURCE_REMOVE;
}

/* The announcements of upstreams that have ended expire. */
static gboolean
expire_announcements (gpointer data)
{
  struct Soak *soak = data;
  GPtrArray *names = soak_store_names (soak->store, CF_FEED_UPSTREAMS);

  for (guint i = 0; i < names->len; i++)
    {
      bool current = false;

      for (int j = 0; j < SOAK_UPSTREAMS; j++)
        current |= strcmp (soak->upstreams[j].id, names->pdata[i]) == 0;
      if (!current)
        soak_store_put (soak->store, CF_FEED_UPSTREAMS, names->pdata[i], NULL);
    }
  g_ptr_array_unref (names);
  return G_SOURCE_REMOVE;
}

static gboolean
restore_store (gpointer data)
{
  struct Soak *soak = data;

  soak_store_restore (soak->store, g_rand_int_range (soak->random, 500, RESTORE_AGE_MAX_MS));
  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    g_timeout_add ((guint) g_rand_int_range (soak->random, 0, REWRITE_MS), announce_again,
                   &soak->upstreams[i]);
  g_timeout_add ((guint) g_rand_int_range (soak->random, 0, REWRITE_MS), operate_again, soak);
  g_timeout_add (EXPIRE_MS, expire_announcements, soak);
  for (int i = 0; i < soak->vm_count; i++)
    soak_vm_note_cut (&soak->vms[i], soak_now () + EXPIRE_MS);
  return G_SOURCE_REMOVE;
}

void
soak_evacuate (struct Soak *soak, const char *domain, int ms)
{
  soak->evacuated = domain;
  soak->evacuated_at = soak_now ();
  soak_store_put (soak->store, CF_FEED_EVACUATIONS, domain, "{}");
  g_timeout_add (SOAK_DRAIN_MS + (guint) ms, end_evacuation, soak);
}

void
soak_upstream_drain (struct SoakUpstream *upstream, int ms)
{
  if (upstream->draining || upstream->unresponsive)
    return;
  upstream->draining = true;
  upstream->drained_at = soak_now ();
  soak_upstream_announce (upstream);
  g_timeout_add (SOAK_DRAIN_MS + (guint) ms, restart_upstream, upstream);
}

static void
change_route (struct Soak *soak)
{
  soak->second_route = !soak->second_route;
  soak_put_manifest (soak);
}

enum Fault
{
  FAULT_KILL,
  FAULT_STOP,
  FAULT_HUP,
  FAULT_PAUSE,
  FAULT_PATH,
  FAULT_PATHS,
  FAULT_UNRESPONSIVE,
  FAULT_UPSTREAM,
  FAULT_DRAIN,
  FAULT_ROUTE,
  FAULT_COMPACT,
  FAULT_RESTORE,
  FAULT_EVACUATE,
  FAULTS,
};

static const char *const fault_names[FAULTS] = {
  "kill",     "stop",  "hup",   "pause",   "path",    "paths",    "unresponsive",
  "upstream", "drain", "route", "compact", "restore", "evacuate",
};

static void
inject_fault (struct Soak *soak, int kind)
{
  struct SoakUpstream *upstream = random_upstream (soak);
  enum SoakPath path = (enum SoakPath) g_rand_int_range (soak->random, 1, SOAK_PATHS);
  int ms = g_rand_int_range (soak->random, 500, 5000);

  if (!soak_has_fault (soak, fault_names[kind]))
    return;
  switch (kind)
    {
    case FAULT_KILL:
      soak_vm_signal (random_vm (soak), SIGKILL);
      break;
    case FAULT_STOP:
      soak_vm_signal (random_vm (soak), SIGTERM);
      break;
    case FAULT_HUP:
      soak_vm_signal (random_vm (soak), SIGHUP);
      break;
    case FAULT_PAUSE:
      soak_vm_pause (random_vm (soak), ms);
      break;
    case FAULT_PATH:
      soak_degrade_path (random_vm (soak), path, ms);
      break;
    case FAULT_PATHS:
      for (int i = 0; i < soak->vm_count; i++)
        soak_degrade_path (&soak->vms[i], path, ms);
      break;
    case FAULT_UNRESPONSIVE:
      upstream->unresponsive = true;
      g_timeout_add ((guint) ms, restart_upstream, upstream);
      break;
    case FAULT_UPSTREAM:
      soak_upstream_restart (upstream, true);
      break;
    case FAULT_DRAIN:
      soak_upstream_drain (upstream, ms);
      break;
    case FAULT_ROUTE:
      change_route (soak);
      break;
    case FAULT_COMPACT:
      soak_store_compact (soak->store);
      soak_put_manifest (soak);
      break;
    case FAULT_RESTORE:
      if (soak->keep_store)
        break;
      for (int i = 0; i < soak->vm_count; i++)
        soak_degrade_path (&soak->vms[i], path, ms / RESTORE_AWAY_PART);
      g_timeout_add ((guint) (ms / RESTORE_AWAY_PART), restore_store, soak);
      ms += EXPIRE_MS;
      break;
    default:
      if (soak->evacuated)
        break;
      soak_evacuate (soak, soak_domains[g_rand_int_range (soak->random, 0, SOAK_DOMAINS)], ms);
      break;
    }
  soak->any_fault_at = MAX (soak->any_fault_at, soak_now () + ms + SOAK_DRAIN_MS);
}

/* Drains an upstream of "s" if all others of it are there. */
static void
drain_one (struct Soak *soak)
{
  struct SoakUpstream *upstream = random_upstream (soak);

  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    if (soak->upstreams[i].draining || soak->upstreams[i].odd)
      return;
  if (strcmp (upstream->service, "s") == 0)
    soak_upstream_drain (upstream, 0);
}

/* Changes are no faults: what is stable stays so. */
static gboolean
next_change (gpointer data)
{
  struct Soak *soak = data;

  if (soak->over)
    return G_SOURCE_REMOVE;
  if (g_rand_boolean (soak->trouble))
    drain_one (soak);
  else
    change_route (soak);
  g_timeout_add ((guint) g_rand_int_range (soak->trouble, 200, 2000), next_change, soak);
  return G_SOURCE_REMOVE;
}

static gboolean
next_fault (gpointer data)
{
  struct Soak *soak = data;

  if (soak->ending)
    {
      g_timeout_add (SOAK_STABLE_MS, next_change, soak);
      return G_SOURCE_REMOVE;
    }
  if (soak->series_left > 0)
    {
      soak->series_left--;
      inject_fault (soak, soak->series_kind);
      g_timeout_add ((guint) g_rand_int_range (soak->random, 20, 300), next_fault, soak);
      return G_SOURCE_REMOVE;
    }
  if (g_rand_int_range (soak->random, 0, SERIES_ONE_IN) == 0)
    {
      soak->series_left = g_rand_int_range (soak->random, 2, 8);
      soak->series_kind = g_rand_int_range (soak->random, 0, FAULTS);
    }
  inject_fault (soak, g_rand_int_range (soak->random, 0, FAULTS));
  g_timeout_add ((guint) g_rand_int_range (soak->random, 100, 1500), next_fault, soak);
  return G_SOURCE_REMOVE;
}

bool
soak_has_fault (const struct Soak *soak, const char *name)
{
  const char *names = g_getenv ("SOAK_FAULTS");
  char **list = g_strsplit (names ? names : name, ",", -1);
  bool has = g_strv_contains ((const char *const *) list, name);

  g_strfreev (list);
  return has && (names || !(soak->left_out & 1u << g_str_hash (name) % 32));
}

void
soak_faults_start (struct Soak *soak)
{
  g_timeout_add (3000, next_fault, soak);
}
