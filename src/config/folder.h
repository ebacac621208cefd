#ifndef CF_CONFIG_FOLDER_H
#define CF_CONFIG_FOLDER_H

#include "cf_config.h"

/* The same as cf_config_read_folder.  FILES (may be NULL) gets a table as of cf_locations_new for
 * each file that can be read, in the order in which they are merged. */
struct CfConfig *cf_config_read_folder_files (const char *dir, GPtrArray *faults, GPtrArray *files);

#endif
