#include "unreachable.h"

/* What this VM has seen of a failure domain. */
struct Domain
{
  struct CfLink silent;  /* struct CfSilence of upstreams with a silent flow since one of the domain
                            last answered, in the order in which they were counted */
  CfMillis silent_at;    /* when a silent flow was last recorded, 0: never */
  CfMillis delivered_at; /* when the latest data that it answered had been sent, -1: never */
  CfMillis heard_at;     /* when an answer from it was last seen, -1: never */
};

struct CfUnreachable
{
  GHashTable *domains;   /* GQuark to struct Domain, owned */
  CfMillis delivered_at; /* when the latest data that was answered had been sent, -1: never */
};

const char *
cf_unreachable_reason_name (enum CfUnreachableReason reason)
{
  static const char *const names[] = {
    [CF_UNREACHABLE_NOT] = "",
    [CF_UNREACHABLE_GONE] = "upstream-gone",
    [CF_UNREACHABLE_DOMAIN] = "domain-silent",
    [CF_UNREACHABLE_EARLIER] = "domain-silent-earlier",
  };

  return names[reason];
}

static struct CfSilence *
silence_of (struct CfLink *link)
{
  return CF_LIST_ENTRY (link, struct CfSilence, link);
}

/* Returns true if the upstream of LINK is evidence for a flow to an upstream in STATE. */
static bool
is_evidence (struct CfLink *link, enum CfTargetState state)
{
  const struct CfTarget *target = CF_LIST_ENTRY (link, struct CfTarget, silence.link);

  return target->state == CF_TARGET_READY || target->state == state;
}

/* The silence of an upstream is no evidence against its domain any more. */
static void
remove_evidence (struct CfSilence *silence)
{
  cf_list_remove (&silence->link);
  silence->counted = false;
  silence->caller_count = 0;
}

static void
forget_silent (struct Domain *domain)
{
  while (!cf_list_empty (&domain->silent))
    remove_evidence (silence_of (domain->silent.next));
}

static void
free_domain (gpointer data)
{
  forget_silent (data);
  g_free (data);
}

struct CfUnreachable *
cf_unreachable_new (void)
{
  struct CfUnreachable *unreachable = g_new0 (struct CfUnreachable, 1);

  unreachable->domains = g_hash_table_new_full (NULL, NULL, NULL, free_domain);
  unreachable->delivered_at = -1;
  return unreachable;
}

void
cf_unreachable_free (struct CfUnreachable *unreachable)
{
  g_hash_table_unref (unreachable->domains);
  g_free (unreachable);
}

static struct Domain *
find_domain (const struct CfUnreachable *unreachable, GQuark name)
{
  struct Domain *domain = g_hash_table_lookup (unreachable->domains, GUINT_TO_POINTER (name));

  if (!domain)
    {
      domain = g_new0 (struct Domain, 1);
      cf_list_init (&domain->silent);
      domain->delivered_at = -1;
      domain->heard_at = -1;
      g_hash_table_insert (unreachable->domains, GUINT_TO_POINTER (name), domain);
    }
  return domain;
}

static bool
is_fresh (CfMillis silent_at, CfMillis now)
{
  return silent_at > 0 && now - silent_at <= CF_UNREACHABLE_FRESH_MS;
}

/* Adds CALLER_IP to the COUNT different ones in CALLERS, unless these are CF_UNREACHABLE_CALLERS.
 * Returns their new number. */
static uint32_t
add_caller (uint32_t callers[CF_UNREACHABLE_CALLERS], uint32_t count, uint32_t caller_ip)
{
  for (uint32_t i = 0; i < count; i++)
    if (callers[i] == caller_ip)
      return count;
  if (count < CF_UNREACHABLE_CALLERS)
    callers[count++] = caller_ip;
  return count;
}

/* Returns the last upstream of DOMAIN that was counted, or NULL. */
static const struct CfSilence *
last_counted (const struct Domain *domain)
{
  for (struct CfLink *link = domain->silent.prev; link != &domain->silent; link = link->prev)
    if (silence_of (link)->counted)
      return silence_of (link);
  return NULL;
}

/* Returns the number of upstreams of DOMAIN that were counted and are evidence for a flow to one in
 * STATE, of different callers in a row, up to CF_UNREACHABLE_UPSTREAMS. */
static uint32_t
count_upstreams (const struct Domain *domain, enum CfTargetState state)
{
  const struct CfSilence *last = NULL;
  uint32_t count = 0;

  for (struct CfLink *link = domain->silent.next;
       link != &domain->silent && count < CF_UNREACHABLE_UPSTREAMS; link = link->next)
    {
      const struct CfSilence *silence = silence_of (link);

      if (!silence->counted || !is_evidence (link, state)
          || (last && last->caller_ip == silence->caller_ip))
        continue;
      last = silence;
      count++;
    }
  return count;
}

/* Returns the number of callers with a silent flow to a ready upstream of DOMAIN, up to
 * CF_UNREACHABLE_CALLERS. */
static uint32_t
count_callers (const struct Domain *domain)
{
  uint32_t callers[CF_UNREACHABLE_CALLERS];
  uint32_t count = 0;

  for (struct CfLink *link = domain->silent.next;
       link != &domain->silent && count < CF_UNREACHABLE_CALLERS; link = link->next)
    for (uint32_t i = 0; is_evidence (link, CF_TARGET_READY) && i < silence_of (link)->caller_count;
         i++)
      count = add_caller (callers, count, silence_of (link)->callers[i]);
  return count;
}

void
cf_unreachable_record_answer (struct CfUnreachable *unreachable,
                              struct CfTarget *target,
                              CfMillis sent_at,
                              CfMillis now)
{
  struct Domain *domain = find_domain (unreachable, target->domain);

  unreachable->delivered_at = MAX (unreachable->delivered_at, sent_at);
  domain->delivered_at = MAX (domain->delivered_at, sent_at);
  domain->heard_at = now;
  target->heard_at = now;
  target->silence.at = 0;
  forget_silent (domain);
}

CfMillis
cf_unreachable_domain_heard_at (const struct CfUnreachable *unreachable, GQuark domain)
{
  return find_domain (unreachable, domain)->heard_at;
}

void
cf_unreachable_record_repeat (struct CfUnreachable *unreachable,
                              struct CfTarget *target,
                              struct CfDelivery *delivery,
                              uint32_t caller_ip,
                              CfMillis now)
{
  struct Domain *domain = find_domain (unreachable, target->domain);
  struct CfSilence *silence = &target->silence;
  bool recorded = is_fresh (silence->at, now);
  const struct CfSilence *last;

  if (delivery->silent)
    return;
  delivery->silent = true;
  /* The domain has answered what was sent later: this data was lost on its way. */
  if (delivery->sent_at < domain->delivered_at)
    return;
  if (target->state == CF_TARGET_GONE)
    return;
  if (!is_fresh (domain->silent_at, now))
    forget_silent (domain);
  domain->silent_at = now;
  if (target->state == CF_TARGET_LEAVING)
    return;
  silence->at = now;
  silence->caller_count = add_caller (silence->callers, silence->caller_count, caller_ip);
  last = last_counted (domain);
  if (!last || (!recorded && last->caller_ip != caller_ip))
    {
      silence->counted = true;
      silence->caller_ip = caller_ip;
      cf_list_remove (&silence->link);
    }
  if (cf_list_empty (&silence->link))
    cf_list_insert (&domain->silent, &silence->link);
}

void
cf_unreachable_forget (struct CfTarget *target)
{
  target->silence.at = 0;
  remove_evidence (&target->silence);
}

static bool
other_domain_silent (const struct CfUnreachable *unreachable, GQuark name, CfMillis now)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, unreachable->domains);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (GPOINTER_TO_UINT (key) != name && is_fresh (((struct Domain *) value)->silent_at, now))
      return true;
  return false;
}

enum CfUnreachableReason
cf_unreachable_check (const struct CfUnreachable *unreachable,
                      const struct CfTarget *target,
                      const struct CfDelivery *delivery,
                      const struct CfDeliveryUpdate *update,
                      CfMillis now)
{
  const struct Domain *domain = find_domain (unreachable, target->domain);
  /* If data sent after this was answered, none waits on this VM's own link. */
  CfMillis since = update->repeated ? delivery->sent_at : target->silence.at;

  /* A request that was not sent before is reset on evidence of its own upstream only: some
   * upstreams of the domain may be there. */
  if (!update->repeated && !(update->new_data && is_fresh (target->silence.at, now)))
    return CF_UNREACHABLE_NOT;
  if (unreachable->delivered_at < since || other_domain_silent (unreachable, target->domain, now))
    return CF_UNREACHABLE_NOT;
  if (update->repeated && target->state == CF_TARGET_GONE)
    return CF_UNREACHABLE_GONE;
  return domain->delivered_at <= since && is_fresh (domain->silent_at, now)
                 && count_upstreams (domain, target->state) >= CF_UNREACHABLE_UPSTREAMS
             ? CF_UNREACHABLE_DOMAIN
             : CF_UNREACHABLE_NOT;
}

bool
cf_unreachable_domain_confirmed (const struct CfUnreachable *unreachable, GQuark domain)
{
  return count_callers (find_domain (unreachable, domain)) >= CF_UNREACHABLE_CALLERS;
}

bool
cf_unreachable_answer_not_due (const struct CfUnreachable *unreachable,
                               const struct CfDelivery *delivery)
{
  return unreachable->delivered_at < delivery->repeated_at + CF_UNREACHABLE_CONFIRM_MS;
}

bool
cf_unreachable_check_earlier (const struct CfUnreachable *unreachable,
                              const struct CfTarget *target,
                              const struct CfDelivery *delivery,
                              double usual_wait_ms,
                              CfMillis now)
{
  if (!delivery->silent || delivery->repeated_at < 0
      || now - delivery->repeated_at > CF_UNREACHABLE_WAIT_MS)
    return false;
  if (usual_wait_ms <= 0 || usual_wait_ms > CF_UNREACHABLE_CONFIRM_MS)
    return false;
  /* The domain has answered what was sent later: the data was lost on its way. */
  return find_domain (unreachable, target->domain)->delivered_at <= delivery->sent_at;
}
