#ifndef CF_CONFIG_BUILD_H
#define CF_CONFIG_BUILD_H

#include "cf_config.h"

/* Checks FILE against the schema and turns it into a configuration.  Every fault
 * adds a line to FAULTS, with file and line from LOCATIONS (may be NULL).  Keys that
 * only this program writes are accepted only if INTERNAL is true.  Returns NULL on any fault. */
struct CfConfig *
cf_config_build (GKeyFile *file, GHashTable *locations, bool internal, GPtrArray *faults);

/* Builds the configuration that FILE describes and frees FILE.  FILE must be
 * valid, since it comes from an earlier configuration. */
struct CfConfig *cf_config_from_key_file (GKeyFile *file);

/* Returns the value of KEY in GROUP, or the schema's fallback.  To be freed. */
char *cf_config_value (GKeyFile *file, const char *group, const char *key);

/* Returns the name part of GROUP ("upstream a" gives "a") if GROUP is of KIND,
 * or else NULL. */
const char *cf_config_group_name (const char *group, const char *kind);

#endif
