#include "outage.h"

struct Domain
{
  struct CfLink lost; /* struct CfTarget, by lost_link: since one of the domain answered */
  uint32_t count;
  bool suspected;
};

struct CfOutages
{
  GHashTable *domains; /* GQuark to struct Domain, owned */
  uint32_t suspected;  /* number of suspected domains, mostly 0: checked first on the hot path */
};

static void
clear_domain (struct Domain *domain)
{
  while (!cf_list_empty (&domain->lost))
    cf_list_remove (domain->lost.next);
  domain->count = 0;
}

static void
free_domain (gpointer data)
{
  clear_domain (data);
  g_free (data);
}

struct CfOutages *
cf_outages_new (void)
{
  struct CfOutages *outages = g_new0 (struct CfOutages, 1);

  outages->domains = g_hash_table_new_full (NULL, NULL, NULL, free_domain);
  return outages;
}

void
cf_outages_free (struct CfOutages *outages)
{
  g_hash_table_unref (outages->domains);
  g_free (outages);
}

static struct Domain *
find_domain (const struct CfOutages *outages, GQuark name)
{
  return g_hash_table_lookup (outages->domains, GUINT_TO_POINTER (name));
}

static struct Domain *
get_domain (struct CfOutages *outages, GQuark name)
{
  struct Domain *domain = find_domain (outages, name);

  if (domain)
    return domain;
  domain = g_new0 (struct Domain, 1);
  cf_list_init (&domain->lost);
  g_hash_table_insert (outages->domains, GUINT_TO_POINTER (name), domain);
  return domain;
}

bool
cf_outages_record_loss (struct CfOutages *outages, struct CfTarget *target)
{
  struct Domain *domain = get_domain (outages, target->domain);

  if (!cf_list_empty (&target->lost_link))
    return false;
  cf_list_insert (&domain->lost, &target->lost_link);
  if (++domain->count < CF_OUTAGE_LOST || domain->suspected)
    return false;
  domain->suspected = true;
  outages->suspected++;
  return true;
}

/* Returns true if DOMAIN was suspected until now. */
static bool
end_suspicion (struct CfOutages *outages, struct Domain *domain)
{
  bool suspected = domain->suspected;

  outages->suspected -= suspected;
  domain->suspected = false;
  return suspected;
}

bool
cf_outages_forget (struct CfOutages *outages, struct CfTarget *target)
{
  struct Domain *domain = find_domain (outages, target->domain);

  if (cf_list_empty (&target->lost_link))
    return false;
  cf_list_remove (&target->lost_link);
  return --domain->count == 0 && end_suspicion (outages, domain);
}

bool
cf_outages_record_answer (struct CfOutages *outages, GQuark name)
{
  struct Domain *domain = find_domain (outages, name);

  if (!domain)
    return false;
  clear_domain (domain);
  return end_suspicion (outages, domain);
}

bool
cf_outages_any (const struct CfOutages *outages)
{
  return outages->suspected > 0;
}

bool
cf_outages_suspects (const struct CfOutages *outages, GQuark name)
{
  const struct Domain *domain = outages->suspected > 0 ? find_domain (outages, name) : NULL;

  return domain && domain->suspected;
}
