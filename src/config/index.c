#include "index.h"

#include <sodium.h>
#include <string.h>

static const uint8_t hash_key[crypto_shorthash_KEYBYTES] = "cyclamen-names1";

static uint64_t
hash_text (const char *text)
{
  uint64_t hash;

  crypto_shorthash ((uint8_t *) &hash, (const uint8_t *) text, strlen (text), hash_key);
  return hash;
}

uint32_t
cf_name_id (const char *name)
{
  uint32_t id = (uint32_t) hash_text (name);

  return id ? id : 1;
}

uint64_t
cf_config_digest (const char *text)
{
  return hash_text (text);
}

/* A service's address and protocol as a key of the look-up table. */
struct ServiceKey
{
  struct CfAddress address;
  uint8_t protocol;
};

static guint
service_key_hash (gconstpointer data)
{
  const struct ServiceKey *key = data;

  return cf_address_hash (&key->address) + key->protocol;
}

static gboolean
service_key_equal (gconstpointer a, gconstpointer b)
{
  const struct ServiceKey *left = a;
  const struct ServiceKey *right = b;

  return left->protocol == right->protocol && cf_address_equal (&left->address, &right->address);
}

static void
index_upstreams (struct CfConfig *config)
{
  for (uint32_t i = 0; i < config->upstream_count; i++)
    {
      g_hash_table_insert (config->upstream_by_id, GUINT_TO_POINTER (config->upstreams[i].id),
                           GUINT_TO_POINTER (i));
      config->services[config->upstreams[i].service].upstream_count++;
    }
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      struct CfService *service = &config->services[i];

      service->upstreams = g_new (uint32_t, service->upstream_count + 1);
      service->upstream_count = 0;
    }
  for (uint32_t i = 0; i < config->upstream_count; i++)
    {
      struct CfService *service = &config->services[config->upstreams[i].service];

      service->upstreams[service->upstream_count++] = i;
    }
}

void
cf_config_index (struct CfConfig *config)
{
  config->service_by_address
      = g_hash_table_new_full (service_key_hash, service_key_equal, g_free, NULL);
  config->upstream_by_id = g_hash_table_new (NULL, NULL);
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      struct ServiceKey *key = g_new0 (struct ServiceKey, 1);

      key->address = config->services[i].address;
      key->protocol = config->services[i].protocol;
      g_hash_table_insert (config->service_by_address, key, &config->services[i]);
    }
  index_upstreams (config);
}

const struct CfService *
cf_config_find_service (const struct CfConfig *config,
                        const struct CfAddress *address,
                        uint8_t protocol)
{
  struct ServiceKey key = { .address = *address, .protocol = protocol };

  return g_hash_table_lookup (config->service_by_address, &key);
}

uint32_t
cf_config_find_upstream (const struct CfConfig *config, uint32_t id)
{
  gpointer value;

  if (!g_hash_table_lookup_extended (config->upstream_by_id, GUINT_TO_POINTER (id), NULL, &value))
    return CF_NO_INDEX;
  return GPOINTER_TO_UINT (value);
}

uint32_t
cf_config_find_vm (const struct CfConfig *config, uint32_t id)
{
  for (uint32_t i = 0; i < config->vm_count; i++)
    if (config->vms[i].id == id)
      return i;
  return CF_NO_INDEX;
}

static void
check_unique_id (GHashTable *ids, uint32_t id, const char *name, GPtrArray *faults)
{
  const char *other = g_hash_table_lookup (ids, GUINT_TO_POINTER (id));

  if (other)
    g_ptr_array_add (faults, g_strdup_printf ("configuration: the names '%s' and '%s' have the "
                                              "same 32-bit id; rename one of them",
                                              name, other));
  g_hash_table_insert (ids, GUINT_TO_POINTER (id), (gpointer) name);
}

void
cf_config_check_ids (const struct CfConfig *config, GPtrArray *faults)
{
  GHashTable *ids = g_hash_table_new (NULL, NULL);

  for (uint32_t i = 0; i < config->upstream_count; i++)
    check_unique_id (ids, config->upstreams[i].id, config->upstreams[i].name, faults);
  g_hash_table_remove_all (ids);
  for (uint32_t i = 0; i < config->vm_count; i++)
    check_unique_id (ids, config->vms[i].id, config->vms[i].name, faults);
  g_hash_table_destroy (ids);
}

struct CfConfig *
cf_config_ref (struct CfConfig *config)
{
  g_atomic_int_inc (&config->refs);
  return config;
}

static void
free_members (struct CfConfig *config)
{
  for (uint32_t i = 0; i < config->domain_count; i++)
    {
      g_free (config->domains[i].name);
      g_free (config->domains[i].region);
    }
  for (uint32_t i = 0; i < config->vm_count; i++)
    {
      g_free (config->vms[i].name);
      g_free (config->vms[i].ip);
    }
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      g_free (config->services[i].name);
      g_free (config->services[i].tenant);
      g_free (config->services[i].upstreams);
    }
  for (uint32_t i = 0; i < config->upstream_count; i++)
    g_free (config->upstreams[i].name);
}

void
cf_config_unref (struct CfConfig *config)
{
  if (!config || !g_atomic_int_dec_and_test (&config->refs))
    return;
  free_members (config);
  g_clear_pointer (&config->service_by_address, g_hash_table_destroy);
  g_clear_pointer (&config->upstream_by_id, g_hash_table_destroy);
  g_free (config->domains);
  g_free (config->vms);
  g_free (config->services);
  g_free (config->upstreams);
  g_free (config->text);
  g_free (config);
}
