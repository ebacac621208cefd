#ifndef CF_FEED_RECORD_H
#define CF_FEED_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The store's records that the balancer uses, and their changes in the store's order.
 *
 * A store that is restored from an older copy loses changes that it had confirmed, and gives their
 * revisions out again.  Each such history of the store is an era, with a number that only rises.
 * Revisions can be compared within an era only. */

enum CfFeedKind
{
  CF_FEED_MANIFEST,    /* the operators' routes and services: one record */
  CF_FEED_UPSTREAMS,   /* announcements, by id */
  CF_FEED_EVACUATIONS, /* failure domains that get no new flows, by name */
  CF_FEED_VMS,         /* entry VMs of this fleet, by name */
  CF_FEED_KINDS,
};

const char *cf_feed_kind_name (enum CfFeedKind kind);

/* Bounds of a record, so that every VM can hold all of them and send them to its followers. */
#define CF_RECORD_NAME_MAX_BYTES 1024

/* Returns the most bytes that a content of KIND may have.  A manifest has to be followed, whatever
 * its size; the other kinds' writers take some 300 bytes. */
size_t cf_record_text_max (enum CfFeedKind kind);

/* The place of a content among all that its writer wrote to a record: later incarnations of the
 * writer come later, then higher numbers.  It holds across eras.  All 0: the content has none. */
struct CfRecordOrder
{
  int64_t incarnation;
  uint64_t sequence;
};

/* Returns a number below, equal to or above 0 if A is earlier than, the same as or later than B. */
int cf_record_order_compare (const struct CfRecordOrder *a, const struct CfRecordOrder *b);

/* One object of the store. */
struct CfRecord
{
  char *name;
  uint64_t revision; /* of the last change; a deletion has its own or that of the change before */
  uint64_t era;      /* that the revision counts in: the number of eras entered until then */
  uint64_t learned_revision;  /* in a replica: revision of the response with the last change */
  struct CfRecordOrder order; /* of the content, of the last one if deleted */
  bool deleted;
  char *text;                  /* content as it was written to the store; NULL if deleted */
  struct CfRecord *superseded; /* in a replica: what the store has instead, if that is older */
};

struct CfRecord *
cf_record_new (const char *name, uint64_t revision, bool deleted, const char *text);

/* A GDestroyNotify for struct CfRecord. */
void cf_record_free (gpointer record);

/* A response of the store: a page of a list, or the changes since a revision. */
struct CfFeedResponse
{
  GPtrArray *records; /* of struct CfRecord, owned */
  uint64_t revision;  /* of the store when it answered */
  uint64_t era;       /* of the store's history, 0: not given; valid for every outcome */
  bool truncated;     /* of a list: more follow after LAST */
  char *last;         /* of a list: name of its last item, whether that is a record or not, or one
                         that comes right after it; NULL: it has none that can be read */
  uint32_t skipped;   /* items that are not records */
  uint32_t emptied;   /* records whose content was too large; it is "null" instead */
};

void cf_feed_response_clear (struct CfFeedResponse *response);

#endif
