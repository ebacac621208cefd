#ifndef CF_BALANCER_FEED_INTERFACE_H
#define CF_BALANCER_FEED_INTERFACE_H

#include "balancer.h"
#include "cf_types.h"
#include "feed/era.h"
#include "feed/feed.h"
#include "feed/names.h"
#include "feed/replica.h"
#include "feed/sources.h"

#include <libsoup/soup.h>

/* What the parts of the feed task know of the feed, and how they change it.  Each part (see
 * feed_internal.h) has state of its own beside; a test gives it a feed with other calls. */

/* The source of the replica's data. */
struct CfFeedStatus
{
  char *source;       /* name of the VM that is followed, "" for the store, NULL: none yet */
  CfMillis synced_at; /* the replica holds the store's data of this time, -1: never */
  char *reader;       /* name of the VM that read the store at synced_at, NULL: none */
  bool settled; /* the store has not failed lately, so lapsed announcements have been renewed */
  CfMillis read_until; /* this VM reads the store until this time, whatever its source */
  CfMillis probed_at;  /* when the store last answered this VM, -1: never */
};

/* Changes of the feed.  Each call gets the feed's context. */
struct CfFeedCalls
{
  /* The VM called SOURCE, or the store (NULL), gave ERA (0: none) in an answer: enters it if it is
   * believed and another than the replica's.  All readers then start over with a list, and calls
   * under way to read the store are cancelled.  What comes with a doubted one must not be used. */
  enum CfEraVerdict (*learn_era) (void *context, const char *source, uint64_t era);

  /* Applies RECORDS of KIND to the replica with cf_replica_apply, and passes the changes to the
   * datapath task and the followers.  With TRUSTED a withdrawn announcement means an ended
   * upstream. */
  void (*apply) (void *context,
                 enum CfFeedKind kind,
                 GPtrArray *records,
                 uint64_t revision,
                 bool whole,
                 bool trusted);

  /* Notes that the replica holds what the VM called READER read from the store at SYNCED_AT, and
   * passes the time on to the datapath task. */
  void (*set_synced_at) (void *context, const char *reader, CfMillis synced_at, bool settled);

  /* The VM or seed called NAME, or the store (NULL), answered a call at NOW, or failed to. */
  void (*source_answered) (void *context, const char *name, CfMillis now);
  void (*source_failed) (void *context, const char *name, CfMillis now);

  /* Another VM reads the store: this one reads it from NOW on only if the store is its source. */
  void (*stop_reading) (void *context, CfMillis now);

  /* Adds or updates the VM called NAME among the sources, or removes it (VM is NULL). */
  void (*set_vm) (void *context, const char *name, const struct CfVmRecord *vm);

  /* Returns true if NAME, of KIND, is within the bound of names, see feed/names.h. */
  bool (*admit_name) (void *context, enum CfNameKind kind, const char *name);

  /* Handles DATAGRAM of LEN bytes from another VM.  Returns false if it is not valid. */
  bool (*receive) (void *context, const struct feed_datagram *datagram, size_t len, CfMillis now);

  /* Adds a line to the event log about the source or its data; such lines are limited together. */
  void (*log) (void *context, const char *event, const struct CfField *fields, CfMillis now);

  /* Something has become due: starts what is due in all parts. */
  void (*run_due) (void *context);
};

struct CfFeed
{
  struct CfBalancer *balancer; /* settings, event log, counts and the other tasks */
  const struct CfReplica *replica;
  const struct CfFeedStatus *status;
  struct CfSources *sources; /* parts only ask it: they change it by calls */
  SoupSession *session;
  GRand *random;
  const struct CfFeedCalls *calls;
  void *context;
};

/* Returns the age of the replica's data, a very long time if it has none. */
static inline CfMillis
cf_feed_age (const struct CfFeed *feed, CfMillis now)
{
  return feed->status->synced_at >= 0 ? now - feed->status->synced_at : G_MAXINT32;
}

#endif
