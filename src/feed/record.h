#ifndef CF_FEED_RECORD_H
#define CF_FEED_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What the store holds for the balancer, and its changes in the store's order. */

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
  uint64_t revision;   /* of its last change; of a deletion that of the change before, or its own */
  uint64_t learned_at; /* in a replica: revision of the response that told it */
  bool deleted;
  char *text; /* its content as the store's writers wrote it; NULL if deleted */
};

struct CfRecord *
cf_record_new (const char *name, uint64_t revision, bool deleted, const char *text);

/* A GDestroyNotify for struct CfRecord. */
void cf_record_free (gpointer record);

/* One response of the store: a part of a list, or changes since a revision. */
struct CfFeedResponse
{
  GPtrArray *records; /* of struct CfRecord, owned */
  uint64_t revision;  /* of the store when it answered */
  bool truncated;     /* of a list: more follow after the last record */
  uint32_t skipped;   /* parts of the response that are no records */
};

void cf_feed_response_clear (struct CfFeedResponse *response);

#endif
