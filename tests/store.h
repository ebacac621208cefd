#ifndef CF_TEST_STORE_H
#define CF_TEST_STORE_H

#include "cf_types.h"
#include "feed/record.h"

/* A fake of the platform's store without I/O: all changes in order, lists, watches, and the
 * restore from an older copy. */

struct TestStore;

struct TestStore *test_store_new (void);
void test_store_free (struct TestStore *store);

/* Writes CONTENT (NULL: deletes) at NAME of KIND at time AT.  Returns false if that changes
 * nothing; then the revision stays. */
bool test_store_put (struct TestStore *store,
                     enum CfFeedKind kind,
                     const char *name,
                     const char *content,
                     CfMillis at);

/* Returns the content of NAME, or NULL. */
const char *test_store_get (const struct TestStore *store, enum CfFeedKind kind, const char *name);

/* Fills in RESPONSE, to be released with cf_feed_response_clear, with the first MAX records by name
 * after the name AFTER (NULL: of all). */
void test_store_list (const struct TestStore *store,
                      enum CfFeedKind kind,
                      const char *after,
                      guint max,
                      struct CfFeedResponse *response);

/* Fills in RESPONSE with the changes after REVISION.  Returns false if the store does not have that
 * history: then RESPONSE has the era only. */
bool test_store_watch (const struct TestStore *store,
                       enum CfFeedKind kind,
                       uint64_t revision,
                       struct CfFeedResponse *response);

uint64_t test_store_era (const struct TestStore *store);

/* Forgets the history up to now. */
void test_store_compact (struct TestStore *store);

/* Loses all changes after the time SINCE and begins a new era. */
void test_store_restore (struct TestStore *store, CfMillis since);

#endif
