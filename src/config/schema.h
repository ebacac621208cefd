#ifndef CF_CONFIG_SCHEMA_H
#define CF_CONFIG_SCHEMA_H

#include "cf_config.h"

/* The kinds of group in a configuration file and the keys that each may hold. */

enum CfKeyType
{
  CF_KEY_INTEGER,
  CF_KEY_REAL,
  CF_KEY_ADDRESS,
  CF_KEY_NAME,
  CF_KEY_CHOICE, /* one of the words in choices */
};

struct CfKeySpec
{
  const char *kind; /* first word of the group header */
  const char *key;
  enum CfKeyType type;
  double min;
  double max;
  const char *fallback; /* NULL: the key is required */
  const char *choices;  /* words separated by '|' */
  bool internal;        /* written by this program only */
};

/* Returns the entry for KEY in groups of KIND, or NULL. */
const struct CfKeySpec *cf_schema_find (const char *kind, const char *key);

/* Returns the entries of KIND one after the other: pass NULL first, then the
 * previous result.  Returns NULL after the last. */
const struct CfKeySpec *cf_schema_next (const char *kind, const struct CfKeySpec *previous);

/* Returns true if groups of KIND exist, and sets *NAMED if they carry a name. */
bool cf_schema_has_kind (const char *kind, bool *named);

/* Returns NULL if VALUE is valid for SPEC, or else the reason, to be freed. */
char *cf_schema_check (const struct CfKeySpec *spec, const char *value);

#endif
