#include "store.h"
#include "config/text.h"

#include <inttypes.h>
#include <string.h>

#define READ_ATTEMPTS 4
#define WRITE_ATTEMPTS 3

void
cf_object_clear (struct CfObject *object)
{
  g_free (object->tag);
  g_free (object->text);
  *object = (struct CfObject){ 0 };
}

static enum CfStoreResult
read_with_retries (const struct CfStore *store, struct CfObject *object, struct CfError *error)
{
  enum CfStoreResult result = CF_STORE_UNKNOWN;

  for (int attempt = 0; attempt < READ_ATTEMPTS && result == CF_STORE_UNKNOWN; attempt++)
    {
      if (attempt > 0)
        store->pause (store->context, attempt);
      cf_object_clear (object);
      result = store->read (store->context, CF_CONFIG_OBJECT, object, error);
    }
  return result;
}

/* Result of a write without an answer, as found by a read after it. */
enum WriteOutcome
{
  WRITE_APPLIED,     /* the write took effect */
  WRITE_NOT_APPLIED, /* the object is as before: the write can be repeated */
  WRITE_CONFLICT,    /* another change was made to the same version */
  WRITE_UNCERTAIN,   /* further changes were made; this write may precede them */
};

/* The id of a change in its configuration: the version that it changed, and its apply id. */
static char *
change_id (uint64_t previous_version, const char *apply_id)
{
  return g_strdup_printf ("%" PRIu64 ".%s", previous_version, apply_id);
}

/* Returns true if CONFIG is the change that was made to PREVIOUS_VERSION. */
static bool
is_next (const struct CfConfig *config, uint64_t previous_version)
{
  char *marker = g_strdup_printf ("\napply-id=%" PRIu64 ".", previous_version);
  /* Older builds write ids without the version, and number changes consecutively. */
  bool next = strstr (config->text, marker) || config->version == previous_version + 1;

  g_free (marker);
  return next;
}

static enum WriteOutcome
write_outcome (const struct CfObject *object,
               const char *old_tag,
               uint64_t previous_version,
               const char *apply_id,
               uint64_t *found)
{
  char *id = change_id (previous_version, apply_id);
  char *marker = g_strdup_printf ("\napply-id=%s\n", id);
  bool applied = object->text && strstr (object->text, marker);
  enum WriteOutcome outcome = WRITE_UNCERTAIN;
  struct CfConfig *config;

  g_free (marker);
  g_free (id);
  *found = 0;
  if (applied)
    return WRITE_APPLIED;
  if (g_strcmp0 (object->tag, old_tag) == 0)
    return WRITE_NOT_APPLIED;
  config = object->text ? cf_config_parse (object->text, NULL) : NULL;
  if (config)
    {
      *found = config->version;
      if (is_next (config, previous_version))
        outcome = WRITE_CONFLICT;
    }
  cf_config_unref (config);
  return outcome;
}

static bool
set_write_error (enum WriteOutcome outcome, uint64_t found, struct CfError *error)
{
  if (outcome == WRITE_CONFLICT)
    return cf_error_set (error, CF_ERROR_CONFLICT,
                         "another change was first: version %" PRIu64
                         " is in force and nothing of this change was written",
                         found);
  return cf_error_set (error, CF_ERROR_UNKNOWN,
                       "version %" PRIu64 " is in force; whether this change was in force before "
                       "it is not known",
                       found);
}

/* Writes NEXT over the object with OLD_TAG, which has PREVIOUS_VERSION.  Returns true once it is
 * known to have taken effect. */
static bool
write_config (const struct CfStore *store,
              const struct CfConfig *next,
              const char *old_tag,
              uint64_t previous_version,
              const char *apply_id,
              struct CfError *error)
{
  bool written_before = false;

  for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++)
    {
      struct CfObject object = { 0 };
      enum CfStoreResult result
          = store->write (store->context, CF_CONFIG_OBJECT, next->text, old_tag, error);
      enum WriteOutcome outcome;
      uint64_t found;

      if (result == CF_STORE_OK)
        return true;
      if (result == CF_STORE_REFUSED && !written_before)
        return cf_error_set (error, CF_ERROR_IO, "%s", error->text);
      written_before = true;
      if (read_with_retries (store, &object, error) == CF_STORE_UNKNOWN)
        break;
      outcome = write_outcome (&object, old_tag, previous_version, apply_id, &found);
      cf_object_clear (&object);
      if (outcome == WRITE_APPLIED)
        return true;
      if (outcome != WRITE_NOT_APPLIED)
        return set_write_error (outcome, found, error);
    }
  return cf_error_set (error, CF_ERROR_UNKNOWN,
                       "the platform did not answer; whether the change took effect is not known. "
                       "Repeating the command is safe");
}

static struct CfConfig *
with_change_id (struct CfConfig *config, const char *id)
{
  GKeyFile *file = g_key_file_new ();
  char *text;
  struct CfConfig *result;

  g_key_file_load_from_data (file, config->text, strlen (config->text), G_KEY_FILE_NONE, NULL);
  g_key_file_set_string (file, "fleet", "apply-id", id);
  text = cf_config_canonical (file);
  result = cf_config_parse (text, NULL);
  g_free (text);
  g_key_file_unref (file);
  cf_config_unref (config);
  return result;
}

/* VMs ignore versions that are not above their own.  A platform that was restored from an older
 * copy returns an earlier version than theirs, so a mere count would be ignored; the clock is not.
 */
static uint64_t
next_version (const struct CfStore *store, uint64_t previous_version)
{
  return MAX (previous_version + 1, (uint64_t) MAX (store->now (store->context), 0));
}

bool
cf_store_change (const struct CfStore *store,
                 CfChange *change,
                 void *data,
                 const char *apply_id,
                 struct CfConfig **result,
                 struct CfError *error)
{
  struct CfObject object = { 0 };
  struct CfConfig *previous = NULL;
  struct CfConfig *next = NULL;
  enum CfStoreResult read = read_with_retries (store, &object, error);
  uint64_t previous_version = 0;
  bool done = false;
  char *id;

  if (read == CF_STORE_OK)
    previous = cf_config_parse (object.text, error);
  else if (read != CF_STORE_MISSING)
    return cf_error_set (error, CF_ERROR_IO, "%s; nothing was changed", error->text);
  if (previous)
    previous_version = previous->version;
  if (read == CF_STORE_MISSING || previous)
    next = change (previous, next_version (store, previous_version), data, error);
  if (next && next == previous)
    done = true;
  else if (next)
    {
      id = change_id (previous_version, apply_id);
      next = with_change_id (next, id);
      g_free (id);
      done = write_config (store, next, object.tag, previous_version, apply_id, error);
    }
  if (done)
    *result = cf_config_ref (next);
  cf_config_unref (next);
  cf_config_unref (previous);
  cf_object_clear (&object);
  return done;
}
