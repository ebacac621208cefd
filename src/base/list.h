#ifndef CF_BASE_LIST_H
#define CF_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

/* An intrusive doubly linked list.  A struct CfLink is a member of each element and
 * the list itself is a link that points to itself while it is empty. */

struct CfLink
{
  struct CfLink *next;
  struct CfLink *prev;
};

/* Returns the TYPE whose member MEMBER is LINK. */
#define CF_LIST_ENTRY(link, type, member) ((type *) ((char *) (link) -offsetof (type, member)))

static inline void
cf_list_init (struct CfLink *list)
{
  list->next = list;
  list->prev = list;
}

static inline bool
cf_list_empty (const struct CfLink *list)
{
  return list->next == list;
}

/* Inserts LINK before POSITION; with the list itself as POSITION it becomes the last. */
static inline void
cf_list_insert (struct CfLink *position, struct CfLink *link)
{
  link->prev = position->prev;
  link->next = position;
  position->prev->next = link;
  position->prev = link;
}

/* Removes LINK from its list and makes it an empty list. */
static inline void
cf_list_remove (struct CfLink *link)
{
  link->prev->next = link->next;
  link->next->prev = link->prev;
  cf_list_init (link);
}

#endif
