#include "directory.h"
#include "cookie_index.h"

#include <sodium.h>
#include <string.h>

struct Service
{
  GPtrArray *targets; /* of struct CfTarget */
  struct CfServicePace pace;
};

struct CfDirectory
{
  GHashTable *by_id; /* id to struct CfTarget, owned */
  struct CfCookieIndex *by_cookie;
  GHashTable *by_service; /* GQuark to struct Service, owned; none is removed */
  GHashTable *by_address; /* address to the struct CfTarget that started last of those with it */
  bool listed;
  CfUpstreamChange *changes;
  void *context;
};

static void
free_target (gpointer data)
{
  struct CfTarget *target = data;

  g_clear_pointer (&target->quality.remote, g_array_unref);
  cf_pace_clear (&target->pace);
  g_free (target->id);
  g_aligned_free (target);
}

static void
free_service (gpointer data)
{
  struct Service *service = data;

  g_ptr_array_unref (service->targets);
  g_free (service);
}

static guint
hash_address (gconstpointer key)
{
  return cf_endpoint_hash (*(const struct CfEndpoint *) key);
}

static gboolean
equal_address (gconstpointer a, gconstpointer b)
{
  return cf_endpoint_equal (*(const struct CfEndpoint *) a, *(const struct CfEndpoint *) b);
}

struct CfDirectory *
cf_directory_new (void)
{
  struct CfDirectory *directory = g_new0 (struct CfDirectory, 1);

  directory->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  directory->by_cookie = cf_cookie_index_new ();
  directory->by_service = g_hash_table_new_full (NULL, NULL, NULL, free_service);
  directory->by_address = g_hash_table_new (hash_address, equal_address);
  return directory;
}

void
cf_directory_free (struct CfDirectory *directory)
{
  g_hash_table_unref (directory->by_address);
  g_hash_table_unref (directory->by_service);
  cf_cookie_index_free (directory->by_cookie);
  g_hash_table_unref (directory->by_id);
  g_free (directory);
}

void
cf_directory_watch (struct CfDirectory *directory, CfUpstreamChange *func, void *context)
{
  directory->changes = func;
  directory->context = context;
}

static void
notify_change (const struct CfDirectory *directory, struct CfTarget *target, bool ends)
{
  if (directory->changes)
    directory->changes (directory->context, target, ends);
}

uint32_t
cf_cookie (const char *id)
{
  static const uint8_t key[crypto_shorthash_KEYBYTES];
  uint8_t hash[crypto_shorthash_BYTES];
  uint32_t cookie;

  crypto_shorthash (hash, (const uint8_t *) id, strlen (id), key);
  memcpy (&cookie, hash, sizeof cookie);
  cookie = GUINT32_FROM_LE (cookie);
  return cookie ? cookie : 1;
}

const char *
cf_target_state_name (enum CfTargetState state)
{
  static const char *const names[] = {
    [CF_TARGET_READY] = "ready",
    [CF_TARGET_LEAVING] = "leaving",
    [CF_TARGET_LAPSED] = "lapsed",
    [CF_TARGET_GONE] = "gone",
  };

  return names[state];
}

static void
set_state (const struct CfDirectory *directory,
           struct CfTarget *target,
           enum CfTargetState state,
           CfMillis now)
{
  if (target->state == state)
    return;
  notify_change (directory, target, state == CF_TARGET_LEAVING || state == CF_TARGET_GONE);
  target->state = state;
  target->state_since = now;
}

static struct Service *
find_service (const struct CfDirectory *directory, GQuark name)
{
  return g_hash_table_lookup (directory->by_service, GUINT_TO_POINTER (name));
}

static void
index_by_service (struct CfDirectory *directory, struct CfTarget *target, GQuark name)
{
  struct Service *service;

  if (target->service == name)
    return;
  if (target->service)
    g_ptr_array_remove_fast (cf_directory_service (directory, target->service), target);
  target->service = name;
  service = find_service (directory, name);
  if (!service)
    {
      service = g_new0 (struct Service, 1);
      service->targets = g_ptr_array_new ();
      g_hash_table_insert (directory->by_service, GUINT_TO_POINTER (name), service);
    }
  g_ptr_array_add (service->targets, target);
  cf_pace_set_service (&target->pace, &service->pace);
}

/* Sets when TARGET started, by which upstreams with one cookie are ordered. */
static void
set_started (struct CfDirectory *directory, struct CfTarget *target, int64_t started, CfMillis now)
{
  const struct CfTarget *before = cf_cookie_index_first (directory->by_cookie, target->cookie);
  struct CfTarget *first;

  cf_cookie_index_remove (directory->by_cookie, target);
  target->started = started;
  cf_cookie_index_add (directory->by_cookie, target);
  first = cf_cookie_index_first (directory->by_cookie, target->cookie);
  /* VMs that do not know of the change still send packets with this cookie to BEFORE. */
  if (directory->listed && before && first != before)
    first->cookie_settles_at = now + CF_DIRECTORY_SETTLE_MS;
}

static struct CfTarget *
find_by_address (const struct CfDirectory *directory, const struct CfEndpoint *address)
{
  return g_hash_table_lookup (directory->by_address, address);
}

static void
unindex_address (struct CfDirectory *directory, const struct CfTarget *target)
{
  if (find_by_address (directory, &target->address) == target)
    g_hash_table_remove (directory->by_address, &target->address);
}

/* Sets the address of TARGET.  Of several upstreams with one address the last that started has it,
 * unless it is gone. */
static void
set_address (struct CfDirectory *directory, struct CfTarget *target, struct CfEndpoint address)
{
  struct CfTarget *holder;

  unindex_address (directory, target);
  target->address = address;
  holder = find_by_address (directory, &address);
  if (holder && holder->state != CF_TARGET_GONE && cf_cookie_precedes (target, holder))
    return;
  if (holder)
    notify_change (directory, holder, true);
  /* The key is in the holder. */
  g_hash_table_replace (directory->by_address, &target->address, target);
}

bool
cf_directory_replaced (const struct CfDirectory *directory, const struct CfTarget *target)
{
  const struct CfTarget *holder = find_by_address (directory, &target->address);

  return holder && holder != target && holder->state != CF_TARGET_GONE
         && cf_cookie_precedes (target, holder);
}

void
cf_directory_set_listed (struct CfDirectory *directory)
{
  directory->listed = true;
}

static struct CfTarget *
add_target (struct CfDirectory *directory, const struct CfAnnouncement *announcement, CfMillis now)
{
  struct CfTarget *target = g_aligned_alloc0 (1, sizeof (struct CfTarget), CF_CACHE_LINE);

  target->id = g_strdup (announcement->id);
  target->cookie = cf_cookie (announcement->id);
  target->state_since = now;
  target->reach.confirmed_at = -1;
  target->heard_at = -1;
  target->restarted_at = -1;
  cf_list_init (&target->silence.link);
  cf_list_init (&target->lost_link);
  g_hash_table_insert (directory->by_id, target->id, target);
  set_started (directory, target, announcement->started, now);
  return target;
}

static void
set_cold (struct CfTarget *target, CfMillis until, CfMillis now)
{
  if (now >= target->cold_until)
    target->cold_next = 0;
  target->cold_until = until;
}

void
cf_target_assume_cold (struct CfTarget *target, CfMillis until, CfMillis now)
{
  if (until > target->cold_until)
    set_cold (target, until, now);
}

/* Returns true if ANNOUNCEMENT, with an earlier start time than that of TARGET, is one of several:
 * an upstream whose clock jumped back between two starts goes on writing.  A write of its previous
 * process that the store executes late comes once. */
static bool
is_repeated_earlier_start (const struct CfAnnouncement *announcement, struct CfTarget *target)
{
  bool repeated = target->earlier_revision > 0 && announcement->started == target->earlier_started
                  && announcement->revision > target->earlier_revision;

  if (announcement->era != target->era || announcement->revision <= target->revision)
    return false;
  target->earlier_started = announcement->started;
  target->earlier_revision = announcement->revision;
  return repeated;
}

static bool
is_older (const struct CfAnnouncement *announcement, struct CfTarget *target)
{
  if (announcement->started < target->started)
    return !is_repeated_earlier_start (announcement, target);
  if (announcement->era != target->era)
    return announcement->era < target->era;
  return announcement->revision < target->revision;
}

struct CfTarget *
cf_directory_announce (struct CfDirectory *directory,
                       const struct CfAnnouncement *announcement,
                       CfMillis now)
{
  struct CfTarget *target = cf_directory_by_id (directory, announcement->id);
  GQuark domain;

  if (target && is_older (announcement, target))
    return target;
  if (!target)
    target = add_target (directory, announcement, now);
  domain = g_quark_from_string (announcement->domain);
  if (announcement->started != target->started || domain != target->domain)
    notify_change (directory, target, true);
  if (announcement->started != target->started)
    {
      target->reach = (struct CfReach){ .confirmed_at = -1 };
      target->heard_at = -1;
      g_clear_pointer (&target->quality.remote, g_array_unref);
      target->quality = (struct CfQuality){ 0 };
      cf_pace_clear (&target->pace);
      target->cold_until = 0;
      target->restarted_at = now;
      set_started (directory, target, announcement->started, now);
    }
  if (announcement->era != target->era || announcement->revision != target->revision)
    set_cold (target, announcement->cold_ms > 0 ? now + announcement->cold_ms : 0, now);
  target->earlier_revision = 0;
  target->era = announcement->era;
  target->revision = announcement->revision;
  target->tag = announcement->tag;
  target->domain = domain;
  set_address (directory, target, announcement->address);
  target->slots = announcement->slots;
  index_by_service (directory, target, g_quark_from_string (announcement->service));
  set_state (directory, target, announcement->draining ? CF_TARGET_LEAVING : CF_TARGET_READY, now);
  return target;
}

static void
withdraw (const struct CfDirectory *directory, struct CfTarget *target, bool trusted, CfMillis now)
{
  /* The end of a draining upstream's announcement is expected, whatever the store's state. */
  if (trusted || target->state == CF_TARGET_LEAVING)
    set_state (directory, target, CF_TARGET_GONE, now);
  else if (target->state == CF_TARGET_READY)
    set_state (directory, target, CF_TARGET_LAPSED, now);
}

void
cf_directory_withdraw (struct CfDirectory *directory, const char *id, bool trusted, CfMillis now)
{
  struct CfTarget *target = cf_directory_by_id (directory, id);

  if (target)
    withdraw (directory, target, trusted, now);
}

void
cf_directory_expire_lapsed (struct CfDirectory *directory, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, directory->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct CfTarget *) value)->state == CF_TARGET_LAPSED)
      set_state (directory, value, CF_TARGET_GONE, now);
}

void
cf_directory_prune (struct CfDirectory *directory, CfMillis now, CfMillis flow_lifetime_ms)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *old = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, directory->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct CfTarget *target = value;

      if (target->state == CF_TARGET_GONE && target->open == 0
          && now - target->state_since > flow_lifetime_ms)
        g_ptr_array_add (old, target);
    }
  for (guint i = 0; i < old->len; i++)
    {
      struct CfTarget *target = old->pdata[i];

      cf_cookie_index_remove (directory->by_cookie, target);
      unindex_address (directory, target);
      g_ptr_array_remove_fast (cf_directory_service (directory, target->service), target);
      g_hash_table_remove (directory->by_id, target->id);
    }
  g_ptr_array_unref (old);
}

struct CfTarget *
cf_directory_by_id (const struct CfDirectory *directory, const char *id)
{
  return g_hash_table_lookup (directory->by_id, id);
}

struct CfTarget *
cf_directory_by_cookie (const struct CfDirectory *directory, uint32_t cookie)
{
  return cf_cookie_index_owner (directory->by_cookie, cookie);
}

struct CfTarget *
cf_directory_first_by_cookie (const struct CfDirectory *directory, uint32_t cookie)
{
  return cf_cookie_index_first (directory->by_cookie, cookie);
}

GPtrArray *
cf_directory_service (const struct CfDirectory *directory, GQuark service)
{
  const struct Service *entry = find_service (directory, service);

  return entry ? entry->targets : NULL;
}

/* Computes anew until when any upstream of SERVICE may be uneven: samples and reports only move the
 * time later. */
static void
check_pace (struct Service *service, CfMillis now)
{
  service->pace.checked_at = now;
  service->pace.uneven_until = 0;
  for (guint i = 0; i < service->targets->len; i++)
    {
      const struct CfTarget *target = service->targets->pdata[i];

      service->pace.uneven_until = MAX (service->pace.uneven_until, target->pace.uneven_until);
    }
}

bool
cf_directory_uneven (struct CfDirectory *directory, GQuark service, CfMillis now)
{
  struct Service *entry = find_service (directory, service);

  if (!entry || now >= entry->pace.uneven_until)
    return false;
  if (now - entry->pace.checked_at >= CF_PACE_CHECK_MS)
    check_pace (entry, now);
  return now < entry->pace.uneven_until;
}

GHashTable *
cf_directory_all (const struct CfDirectory *directory)
{
  return directory->by_id;
}
