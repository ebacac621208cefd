#include "cookie_index.h"

#include <string.h>

struct CfCookieIndex
{
  GHashTable *first; /* cookie to the first struct CfTarget of those with it */
};

struct CfCookieIndex *
cf_cookie_index_new (void)
{
  struct CfCookieIndex *index = g_new0 (struct CfCookieIndex, 1);

  index->first = g_hash_table_new (NULL, NULL);
  return index;
}

void
cf_cookie_index_free (struct CfCookieIndex *index)
{
  g_hash_table_unref (index->first);
  g_free (index);
}

bool
cf_cookie_precedes (const struct CfTarget *a, const struct CfTarget *b)
{
  if (a->started != b->started)
    return b->started == 0 || (a->started != 0 && a->started < b->started);
  return strcmp (a->id, b->id) < 0;
}

static void
set_first (struct CfCookieIndex *index, uint32_t cookie, struct CfTarget *first)
{
  if (first)
    g_hash_table_insert (index->first, GUINT_TO_POINTER (cookie), first);
  else
    g_hash_table_remove (index->first, GUINT_TO_POINTER (cookie));
  for (struct CfTarget *target = first; target; target = target->next_of_cookie)
    target->collides = target != first;
}

void
cf_cookie_index_add (struct CfCookieIndex *index, struct CfTarget *target)
{
  struct CfTarget *first = cf_cookie_index_first (index, target->cookie);
  struct CfTarget **link = &first;

  while (*link && cf_cookie_precedes (*link, target))
    link = &(*link)->next_of_cookie;
  target->next_of_cookie = *link;
  *link = target;
  set_first (index, target->cookie, first);
}

void
cf_cookie_index_remove (struct CfCookieIndex *index, struct CfTarget *target)
{
  struct CfTarget *first = cf_cookie_index_first (index, target->cookie);
  struct CfTarget **link = &first;

  while (*link && *link != target)
    link = &(*link)->next_of_cookie;
  if (*link)
    *link = target->next_of_cookie;
  target->next_of_cookie = NULL;
  set_first (index, target->cookie, first);
}

struct CfTarget *
cf_cookie_index_first (const struct CfCookieIndex *index, uint32_t cookie)
{
  return g_hash_table_lookup (index->first, GUINT_TO_POINTER (cookie));
}

struct CfTarget *
cf_cookie_index_owner (const struct CfCookieIndex *index, uint32_t cookie)
{
  struct CfTarget *first = cf_cookie_index_first (index, cookie);
  struct CfTarget *target = first;

  while (target && target->state == CF_TARGET_GONE)
    target = target->next_of_cookie;
  return target ? target : first;
}
