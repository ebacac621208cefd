#ifndef CF_FEED_RECORD_H
#define CF_FEED_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The store's records that the balancer uses, and their changes in the store's order. */

enum CfFeedKind
{
  CF_FEED_MANIFEST,    /* the operators' routes and services: one record */
  CF_FEED_UPSTREAMS,   /* announcements, by id */
  CF_FEED_EVACUATIONS, /* failure domains that get no new flows, by name */
  CF_FEED_VMS,         /* entry VMs of this fleet, by name */
  CF_FEED_KINDS,
};

const char *cf_feed_kind_name (enum CfFeedKind kind);

/* One object of the store. */
struct CfRecord
{
  char *name;
  uint64_t revision; /* of the last change; a deletion has its own or that of the change before */
  uint64_t learned_revision; /* in a replica: revision of the response with the last change */
  bool deleted;
  char *text; /* content as it was written to the store; NULL if deleted */
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
  bool truncated;     /* of a list: more follow after the last record */
  uint32_t skipped;   /* items that are not records */
};

void cf_feed_response_clear (struct CfFeedResponse *response);

#endif
