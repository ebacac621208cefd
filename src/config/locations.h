#ifndef CF_CONFIG_LOCATIONS_H
#define CF_CONFIG_LOCATIONS_H

#include "cf_config.h"

/* File and line at which each group and key of a merged configuration was set, for
 * error messages. */

/* Returns an empty table, of "group\nkey" (of a group itself "group\n") to "file:line". */
GHashTable *cf_locations_new (void);

/* Records the location of each group and key in TEXT, the contents of file NAME, and
 * adds a line to FAULTS for each that the file sets more than once. */
void
cf_locations_scan (GHashTable *locations, const char *name, const char *text, GPtrArray *faults);

/* Adds to FAULTS a line for KEY of GROUP (KEY may be NULL) with REASON.  LOCATIONS
 * may be NULL, for text that did not come from files. */
void cf_locations_add_fault (GHashTable *locations,
                             GPtrArray *faults,
                             const char *group,
                             const char *key,
                             const char *reason);

#endif
