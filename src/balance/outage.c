#include "outage.h"

struct CfOutages
{
  GHashTable *lost;   /* GQuark of a failure domain to its number of consecutive losses */
  uint32_t suspected; /* number of suspected domains, mostly 0: checked first on the hot path */
};

struct CfOutages *
cf_outages_new (void)
{
  struct CfOutages *outages = g_new0 (struct CfOutages, 1);

  outages->lost = g_hash_table_new (NULL, NULL);
  return outages;
}

void
cf_outages_free (struct CfOutages *outages)
{
  g_hash_table_unref (outages->lost);
  g_free (outages);
}

static guint
loss_count (const struct CfOutages *outages, GQuark domain)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (outages->lost, GUINT_TO_POINTER (domain)));
}

bool
cf_outages_record_loss (struct CfOutages *outages, GQuark domain)
{
  guint lost = loss_count (outages, domain) + 1;

  g_hash_table_insert (outages->lost, GUINT_TO_POINTER (domain), GUINT_TO_POINTER (lost));
  if (lost != CF_OUTAGE_LOST)
    return false;
  outages->suspected++;
  return true;
}

bool
cf_outages_record_answer (struct CfOutages *outages, GQuark domain)
{
  bool suspected = cf_outages_suspects (outages, domain);

  g_hash_table_remove (outages->lost, GUINT_TO_POINTER (domain));
  outages->suspected -= suspected;
  return suspected;
}

bool
cf_outages_any (const struct CfOutages *outages)
{
  return outages->suspected > 0;
}

bool
cf_outages_suspects (const struct CfOutages *outages, GQuark domain)
{
  return outages->suspected > 0 && loss_count (outages, domain) >= CF_OUTAGE_LOST;
}
