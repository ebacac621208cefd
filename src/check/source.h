#ifndef CF_CHECK_SOURCE_H
#define CF_CHECK_SOURCE_H

#include "finding.h"

#include <stdbool.h>

/* Where a configuration to check comes from.  Everything that is read is bounded. */

#define CF_SOURCE_MAX_BYTES (32 << 20) /* of a file, as of a body from the store */
#define CF_SOURCE_DEADLINE_MS 5000     /* for the read of the store */

enum CfSourceKind
{
  CF_SOURCE_FOLDER,   /* of the product's own files */
  CF_SOURCE_MANIFEST, /* a JSON object */
  CF_SOURCE_KEY_FILE, /* settings of "cyclamenferry balance", or a text of the product's own form */
};

struct CfSource
{
  const char *name; /* borrowed: the path, or the store's address */
  enum CfSourceKind kind;
  char *text; /* LEN bytes and a 0; NULL for a folder */
  gsize len;
};

/* Reads SOURCE from PATH.  Returns false with an error in FINDINGS. */
bool cf_source_read (struct CfSource *source, const char *path, struct CfFindings *findings);

/* Reads SOURCE, the object config/main, from the store at ADDRESS, "IP:port", with one call.
 * Returns false with an error in FINDINGS. */
bool
cf_source_read_store (struct CfSource *source, const char *address, struct CfFindings *findings);

void cf_source_clear (struct CfSource *source);

#endif
