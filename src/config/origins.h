#ifndef CF_CONFIG_LOCATIONS_H
#define CF_CONFIG_LOCATIONS_H

#include "cf_config.h"

/* Where each group and key of a merged configuration was written, so that an
 * error can name file and line. */

/* Returns an empty table. */
GHashTable *cf_locations_new (void);

/* Records the lines of TEXT, the contents of file NAME, and adds to FAULTS every
 * group or key that the file gives twice. */
void
cf_locations_scan (GHashTable *locations, const char *name, const char *text, GPtrArray *faults);

/* Adds to FAULTS a line for KEY of GROUP (KEY may be NULL) with REASON.  ORIGINS
 * may be NULL, for text that did not come from files. */
void cf_locations_add_fault (GHashTable *locations,
                             GPtrArray *faults,
                             const char *group,
                             const char *key,
                             const char *reason);

#endif
