#ifndef CF_OBJECTSTORE_STORE_H
#define CF_OBJECTSTORE_STORE_H

#include "cf_config.h"

/* The platform's object API as this project uses it: objects with a version tag,
 * conditional writes, and reads that wait for a change. */

enum CfStoreResult
{
  CF_STORE_OK,
  CF_STORE_UNCHANGED, /* a conditional read found the version that the caller has */
  CF_STORE_MISSING,   /* there is no such object */
  CF_STORE_CONFLICT,  /* a conditional write found another version */
  CF_STORE_REFUSED,   /* the platform rejected the call; nothing was changed */
  CF_STORE_UNKNOWN,   /* no answer: a write may have taken effect */
};

struct CfObject
{
  char *tag;  /* version tag, for conditional calls */
  char *text; /* value */
};

void cf_object_clear (struct CfObject *object);

/* Calls to the platform; tests supply a fake. */
struct CfStore
{
  /* Reads object NAME into OBJECT. */
  enum CfStoreResult (*read) (void *context,
                              const char *name,
                              struct CfObject *object,
                              struct CfError *error);
  /* Writes TEXT to object NAME if its tag is TAG, or if it does not exist and TAG
   * is NULL. */
  enum CfStoreResult (*write) (
      void *context, const char *name, const char *text, const char *tag, struct CfError *error);
  /* Waits before attempt number ATTEMPT (1, 2, ...) of a call. */
  void (*pause) (void *context, int attempt);
  /* Returns the wall-clock time. */
  CfMillis (*now) (void *context);
  void *context;
};

#define CF_CONFIG_OBJECT "config"

/* Makes the next configuration from PREVIOUS (NULL if there is none), with VERSION, which is the
 * time of the change, or PREVIOUS' version and 1 if that is not below it.
 * Returns NULL with ERROR to give up, or a new reference to PREVIOUS for no change. */
typedef struct CfConfig *
CfChange (struct CfConfig *previous, uint64_t version, void *data, struct CfError *error);

/* Puts the result of CHANGE in force by a conditional write.  APPLY_ID identifies this
 * attempt, so that a write whose answer was lost is recognised when read back.
 * On success *RESULT is the configuration in force.  Error codes: CF_ERROR_CONFLICT
 * if another change was applied first, CF_ERROR_UNKNOWN if the outcome stays unknown,
 * CF_ERROR_IO if nothing was written. */
bool cf_store_change (const struct CfStore *store,
                      CfChange *change,
                      void *data,
                      const char *apply_id,
                      struct CfConfig **result,
                      struct CfError *error);

/* Client of a platform's object API over HTTP. */
struct CfHttpStore;

struct CfHttpStore *cf_http_store_new (const char *base_url);
void cf_http_store_free (struct CfHttpStore *http);

/* Fills in STORE with functions that call the platform through HTTP. */
void cf_http_store_use (struct CfHttpStore *http, struct CfStore *store);

#endif
