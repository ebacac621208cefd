#include "unreachable.h"

/* What is known of a failure domain since one of its upstreams last answered. */
struct Domain
{
  uint32_t silent;    /* upstreams with a silent flow */
  uint32_t caller_ip; /* of the last of these flows */
};

struct CfUnreachable
{
  GHashTable *domains;  /* GQuark to struct Domain, owned */
  CfMillis answered_at; /* when any upstream last answered, -1: never */
};

const char *
cf_unreachable_reason_name (enum CfUnreachableReason reason)
{
  static const char *const names[] = {
    [CF_UNREACHABLE_NOT] = "",
    [CF_UNREACHABLE_GONE] = "upstream-gone",
    [CF_UNREACHABLE_OTHER_FLOWS] = "other-flows-silent",
    [CF_UNREACHABLE_DOMAIN] = "domain-silent",
  };

  return names[reason];
}

struct CfUnreachable *
cf_unreachable_new (void)
{
  struct CfUnreachable *unreachable = g_new0 (struct CfUnreachable, 1);

  unreachable->domains = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  unreachable->answered_at = -1;
  return unreachable;
}

void
cf_unreachable_free (struct CfUnreachable *unreachable)
{
  g_hash_table_unref (unreachable->domains);
  g_free (unreachable);
}

static uint32_t
silent_upstreams (const struct CfUnreachable *unreachable, GQuark name)
{
  const struct Domain *domain = g_hash_table_lookup (unreachable->domains, GUINT_TO_POINTER (name));

  return domain ? domain->silent : 0;
}

static void
count_silent_upstream (struct CfUnreachable *unreachable, GQuark name, uint32_t caller_ip)
{
  struct Domain *domain = g_hash_table_lookup (unreachable->domains, GUINT_TO_POINTER (name));

  if (domain && domain->caller_ip == caller_ip)
    return;
  if (!domain)
    {
      domain = g_new0 (struct Domain, 1);
      g_hash_table_insert (unreachable->domains, GUINT_TO_POINTER (name), domain);
    }
  domain->silent++;
  domain->caller_ip = caller_ip;
}

void
cf_unreachable_record_answer (struct CfUnreachable *unreachable,
                              struct CfTarget *target,
                              CfMillis now)
{
  unreachable->answered_at = now;
  target->silence.flows = 0;
  g_hash_table_remove (unreachable->domains, GUINT_TO_POINTER (target->domain));
}

void
cf_unreachable_record_repeat (struct CfUnreachable *unreachable,
                              struct CfTarget *target,
                              struct CfDelivery *delivery,
                              uint32_t caller_ip,
                              CfMillis now)
{
  struct CfSilence *silence = &target->silence;

  if (delivery->silent)
    return;
  delivery->silent = true;
  if (silence->flows > 0 && silence->caller_ip == caller_ip)
    return;
  silence->flows++;
  silence->caller_ip = caller_ip;
  silence->last_at = now;
  if (silence->flows == 1)
    count_silent_upstream (unreachable, target->domain, caller_ip);
}

/* The caller repeats its request: nobody is working on it. */
static enum CfUnreachableReason
check_repeated (const struct CfTarget *target, bool domain_silent)
{
  if (target->state == CF_TARGET_GONE)
    return CF_UNREACHABLE_GONE;
  if (target->silence.flows >= CF_UNREACHABLE_FLOWS)
    return CF_UNREACHABLE_OTHER_FLOWS;
  return domain_silent ? CF_UNREACHABLE_DOMAIN : CF_UNREACHABLE_NOT;
}

/* The request has not been sent before.  Evidence of the failure domain is not enough without any
 * of the upstream itself: some of the domain's upstreams may be gone and the others not. */
static enum CfUnreachableReason
check_new (const struct CfTarget *target, bool domain_silent, CfMillis now)
{
  if (target->silence.flows == 0 || now - target->silence.last_at > CF_UNREACHABLE_FRESH_MS)
    return CF_UNREACHABLE_NOT;
  if (target->silence.flows >= CF_UNREACHABLE_FLOWS)
    return CF_UNREACHABLE_OTHER_FLOWS;
  return domain_silent ? CF_UNREACHABLE_DOMAIN : CF_UNREACHABLE_NOT;
}

enum CfUnreachableReason
cf_unreachable_check (const struct CfUnreachable *unreachable,
                      const struct CfTarget *target,
                      const struct CfDelivery *delivery,
                      const struct CfDeliveryUpdate *update,
                      CfMillis now)
{
  bool domain_silent = silent_upstreams (unreachable, target->domain) >= CF_UNREACHABLE_UPSTREAMS;
  /* An answer since then shows that this VM's own link works. */
  CfMillis since = update->repeated ? delivery->sent_at : target->silence.last_at;

  if (unreachable->answered_at < since)
    return CF_UNREACHABLE_NOT;
  if (update->repeated)
    return check_repeated (target, domain_silent);
  return update->new_data ? check_new (target, domain_silent, now) : CF_UNREACHABLE_NOT;
}
