#include "sources.h"

#include <string.h>

/* VMs of each other failure domain that may be chosen. */
#define LEADERS_PER_DOMAIN 2

#define SECONDS_PER_HOUR 3600

struct CfSources
{
  char *name;
  char *domain;
  char *region;
  GPtrArray *vms;   /* of struct CfSource, in the order in which they read the store */
  GPtrArray *seeds; /* of struct CfSource */
  struct CfSource store;
};

static void
free_source (gpointer data)
{
  struct CfSource *source = data;

  g_free (source->name);
  g_free (source->domain);
  g_free (source->region);
  g_free (source->ip);
  g_free (source);
}

struct CfSources *
cf_sources_new (const char *name, const char *domain, const char *region)
{
  struct CfSources *sources = g_new0 (struct CfSources, 1);

  sources->name = g_strdup (name);
  sources->domain = g_strdup (domain);
  sources->region = g_strdup (region);
  sources->vms = g_ptr_array_new_with_free_func (free_source);
  sources->seeds = g_ptr_array_new_with_free_func (free_source);
  return sources;
}

void
cf_sources_free (struct CfSources *sources)
{
  g_ptr_array_unref (sources->vms);
  g_ptr_array_unref (sources->seeds);
  g_free (sources->name);
  g_free (sources->domain);
  g_free (sources->region);
  g_free (sources);
}

/* VMs with the widest links first: they send updates to many followers. */
static gint
compare_order (gconstpointer a, gconstpointer b)
{
  const struct CfSource *x = *(struct CfSource *const *) a;
  const struct CfSource *y = *(struct CfSource *const *) b;

  if (x->link_mbps != y->link_mbps)
    return x->link_mbps > y->link_mbps ? -1 : 1;
  return strcmp (x->name, y->name);
}

static struct CfSource *
find (GPtrArray *list, const char *name, guint *index)
{
  for (guint i = 0; i < list->len; i++)
    {
      struct CfSource *source = list->pdata[i];

      if (strcmp (source->name, name) == 0)
        {
          *index = i;
          return source;
        }
    }
  return NULL;
}

bool
cf_sources_is_neighbour (struct CfSources *sources, const char *name)
{
  guint index;
  const struct CfSource *source = find (sources->vms, name, &index);

  return source && strcmp (name, sources->name) != 0
         && strcmp (source->domain, sources->domain) == 0;
}

bool
cf_sources_is_in_region (struct CfSources *sources, const char *name, const char *domain)
{
  guint index;
  const struct CfSource *source = find (sources->vms, name, &index);

  return source && strcmp (name, sources->name) != 0 && strcmp (source->domain, domain) == 0
         && strcmp (source->region, sources->region) == 0;
}

void
cf_sources_set (struct CfSources *sources, const char *name, const struct CfVmRecord *vm)
{
  guint index;
  struct CfSource *source = find (sources->vms, name, &index);

  if (!vm)
    {
      if (source)
        g_ptr_array_remove_index (sources->vms, index);
      return;
    }
  if (!source)
    {
      source = g_new0 (struct CfSource, 1);
      source->name = g_strdup (name);
      g_ptr_array_add (sources->vms, source);
    }
  g_free (source->domain);
  g_free (source->region);
  g_free (source->ip);
  source->domain = g_strdup (vm->domain);
  source->region = g_strdup (vm->region);
  source->ip = g_strdup (vm->ip);
  source->link_mbps = vm->link_mbps;
  source->hour = vm->hour;
  source->down_until = 0;
  source->failures = 0;
  g_ptr_array_sort (sources->vms, compare_order);
}

uint32_t
cf_sources_domain_size (const struct CfSources *sources)
{
  uint32_t count = 0;

  for (guint i = 0; i < sources->vms->len; i++)
    count += strcmp (((struct CfSource *) sources->vms->pdata[i])->domain, sources->domain) == 0;
  return count;
}

void
cf_sources_seed (struct CfSources *sources, char *const *ips)
{
  g_ptr_array_set_size (sources->seeds, 0);
  for (; *ips; ips++)
    {
      struct CfSource *seed = g_new0 (struct CfSource, 1);

      seed->name = g_strconcat ("seed ", *ips, NULL);
      seed->domain = g_strdup ("");
      seed->region = g_strdup ("");
      seed->ip = g_strdup (*ips);
      g_ptr_array_add (sources->seeds, seed);
    }
}

static bool
is_listed (const struct CfSources *sources, const char *ip)
{
  for (guint i = 0; i < sources->vms->len; i++)
    if (strcmp (((struct CfSource *) sources->vms->pdata[i])->ip, ip) == 0)
      return true;
  return false;
}

static void
add_ips (const struct CfSources *sources, GPtrArray *ips, bool same_domain)
{
  for (guint i = 0; i < sources->vms->len; i++)
    {
      struct CfSource *source = sources->vms->pdata[i];

      if (strcmp (source->name, sources->name) != 0
          && (strcmp (source->domain, sources->domain) == 0) == same_domain)
        g_ptr_array_add (ips, source->ip);
    }
}

GPtrArray *
cf_sources_domain_ips (const struct CfSources *sources)
{
  GPtrArray *ips = g_ptr_array_new ();

  add_ips (sources, ips, true);
  return ips;
}

GPtrArray *
cf_sources_other_domain_ips (const struct CfSources *sources)
{
  GPtrArray *ips = g_ptr_array_new ();

  for (guint i = 0; i < sources->vms->len; i++)
    {
      struct CfSource *source = sources->vms->pdata[i];

      if (strcmp (source->region, sources->region) == 0
          && strcmp (source->domain, sources->domain) != 0)
        g_ptr_array_add (ips, source->ip);
    }
  return ips;
}

GPtrArray *
cf_sources_ips (const struct CfSources *sources)
{
  GPtrArray *ips = g_ptr_array_new ();

  add_ips (sources, ips, true);
  add_ips (sources, ips, false);
  for (guint i = 0; i < sources->seeds->len; i++)
    {
      struct CfSource *seed = sources->seeds->pdata[i];

      if (!is_listed (sources, seed->ip))
        g_ptr_array_add (ips, seed->ip);
    }
  return ips;
}

/* Sets BEST to SOURCE if that may be asked sooner.  Of sources that may be asked now, the first
 * that was considered stays. */
static void
consider (struct CfSource **best, struct CfSource *source, CfMillis now)
{
  CfMillis at = MAX (source->down_until, now);

  if (!*best || at < MAX ((*best)->down_until, now))
    *best = source;
}

/* Returns the VMs of this failure domain in the order, an array of struct CfSource, and sets
 * OWN_PLACE to the index of this VM.  One that is not listed yet comes last: no VM follows it. */
static GPtrArray *
domain_vms (const struct CfSources *sources, guint *own_place)
{
  GPtrArray *list = g_ptr_array_new ();

  *own_place = G_MAXUINT;
  for (guint i = 0; i < sources->vms->len; i++)
    {
      struct CfSource *source = sources->vms->pdata[i];

      if (strcmp (source->domain, sources->domain) != 0)
        continue;
      if (strcmp (source->name, sources->name) == 0)
        *own_place = list->len;
      g_ptr_array_add (list, source);
    }
  *own_place = MIN (*own_place, list->len);
  return list;
}

/* Returns the index of the VM that the one at index PLACE > 0 follows. */
static guint
parent (guint place)
{
  return (place - 1) / CF_SOURCES_FOLLOWERS_MAX;
}

/* Considers the VMs of this failure domain before this one in the order: first its ancestors in
 * the tree, then the others. */
static void
consider_before (struct CfSources *sources, struct CfSource **best, CfMillis now)
{
  guint own_place;
  GPtrArray *list = domain_vms (sources, &own_place);

  for (guint place = own_place; place > 0;)
    {
      place = parent (place);
      consider (best, list->pdata[place], now);
    }
  for (guint place = own_place; place > 0; place--)
    consider (best, list->pdata[place - 1], now);
  g_ptr_array_unref (list);
}

/* Considers the VMs of this failure domain after this one in the order. */
static void
consider_after (struct CfSources *sources, struct CfSource **best, CfMillis now)
{
  guint own_place;
  GPtrArray *list = domain_vms (sources, &own_place);

  for (guint place = own_place + 1; place < list->len; place++)
    consider (best, list->pdata[place], now);
  g_ptr_array_unref (list);
}

/* Considers the first VMs of each other failure domain of this region, with BEFORE only of those
 * whose names sort before this one's. */
static void
consider_domains (struct CfSources *sources, struct CfSource **best, bool before, CfMillis now)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < sources->vms->len; i++)
    {
      struct CfSource *source = sources->vms->pdata[i];
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, source->domain));
      int order = strcmp (source->domain, sources->domain);

      if (order == 0 || (before && order > 0) || strcmp (source->region, sources->region) != 0
          || count == LEADERS_PER_DOMAIN)
        continue;
      g_hash_table_insert (counts, source->domain, GUINT_TO_POINTER (count + 1));
      consider (best, source, now);
    }
  g_hash_table_unref (counts);
}

CfMillis
cf_sources_stale_ms (struct CfSources *sources)
{
  CfMillis stale = CF_SOURCES_STALE_FIRST_MS;
  guint place;

  g_ptr_array_unref (domain_vms (sources, &place));
  for (; place > 0; place = parent (place))
    stale += CF_SOURCES_STALE_STEP_MS;
  return MIN (stale, CF_SOURCES_STALE_MAX_MS);
}

enum CfStoreUse
cf_sources_store_use (struct CfSources *sources, const struct CfStoreUseInput *input, CfMillis now)
{
  if (input->empty || input->reader || now < input->read_until)
    return CF_STORE_USE_READ;
  if (now - input->synced_at < cf_sources_stale_ms (sources))
    return CF_STORE_USE_NONE;
  if (input->probed_at < 0 || now - input->probed_at >= CF_MS_PER_S)
    return CF_STORE_USE_PROBE;
  return now - input->probed_at < CF_SOURCES_CATCH_UP_MS ? CF_STORE_USE_NONE : CF_STORE_USE_READ;
}

bool
cf_sources_precedes (struct CfSources *sources, const char *reader)
{
  guint reader_place = 0;
  guint own_place = sources->vms->len;
  struct CfSource *source = find (sources->vms, reader, &reader_place);
  int domain_order = source ? strcmp (source->domain, sources->domain) : 0;

  find (sources->vms, sources->name, &own_place);
  return source && (domain_order < 0 || (domain_order == 0 && reader_place < own_place));
}

const struct CfSource *
cf_sources_choose (struct CfSources *sources, CfMillis now)
{
  struct CfSource *best = NULL;

  consider_before (sources, &best, now);
  consider_domains (sources, &best, true, now);
  consider (&best, &sources->store, now);
  consider_domains (sources, &best, false, now);
  consider_after (sources, &best, now);
  return best;
}

const struct CfSource *
cf_sources_choose_vm (struct CfSources *sources, CfMillis now)
{
  struct CfSource *best = NULL;

  consider_before (sources, &best, now);
  consider_domains (sources, &best, true, now);
  consider_domains (sources, &best, false, now);
  consider_after (sources, &best, now);
  return best;
}

const struct CfSource *
cf_sources_choose_seed (struct CfSources *sources, CfMillis now)
{
  struct CfSource *best = NULL;

  for (guint i = 0; i < sources->seeds->len; i++)
    consider (&best, sources->seeds->pdata[i], now);
  return best;
}

int64_t
cf_sources_hour (const char *name, int64_t now_s)
{
  return (now_s + g_str_hash (name) % SECONDS_PER_HOUR) / SECONDS_PER_HOUR;
}

const struct CfSource *
cf_sources_expired (const struct CfSources *sources, int64_t now_s)
{
  for (guint i = 0; i < sources->vms->len; i++)
    {
      const struct CfSource *source = sources->vms->pdata[i];

      if (strcmp (source->name, sources->name) != 0
          && source->hour < cf_sources_hour (source->name, now_s) - CF_SOURCES_EXPIRE_HOURS)
        return source;
    }
  return NULL;
}

/* Returns the VM or seed called NAME, the store if NAME is NULL, or NULL if there is none. */
static struct CfSource *
find_source (struct CfSources *sources, const char *name)
{
  struct CfSource *source;
  guint index;

  if (!name)
    return &sources->store;
  source = find (sources->vms, name, &index);
  return source ? source : find (sources->seeds, name, &index);
}

void
cf_sources_answered (struct CfSources *sources, const char *name)
{
  struct CfSource *source = find_source (sources, name);

  if (!source)
    return;
  source->failures = 0;
  source->down_until = 0;
}

void
cf_sources_failed (struct CfSources *sources, const char *name, CfMillis now)
{
  struct CfSource *source = find_source (sources, name);
  CfMillis delay;

  /* Several calls under way that fail together count as one failure. */
  if (!source || now < source->down_until)
    return;
  delay = (CfMillis) CF_SOURCES_RETRY_MIN_MS << MIN (source->failures, 8);
  source->failures++;
  source->down_until = now + MIN (delay, CF_SOURCES_RETRY_MAX_MS);
}
