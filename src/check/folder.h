#ifndef CF_CHECK_FOLDER_H
#define CF_CHECK_FOLDER_H

#include "cf_config.h"
#include "finding.h"

/* Checks of the product's own folder of configuration files. */

/* Returns the configuration in the folder DIR, or NULL with its faults as errors.  Adds a warning
 * for each key that a later file sets again, one for a group if all its keys are. */
struct CfConfig *cf_check_folder_read (const char *dir, struct CfFindings *findings);

/* Adds a warning for each entry without effect: failure domains without a member, services
 * without an upstream that gets new flows; and for limits that contradict each other. */
void cf_check_folder_entries (const char *dir,
                              const struct CfConfig *config,
                              struct CfFindings *findings);

/* Adds the changes that lead from IN_FORCE to CONFIG, group by group. */
void cf_check_folder_changes (const char *dir,
                              const struct CfConfig *in_force,
                              const struct CfConfig *config,
                              struct CfFindings *findings);

/* Adds the changes that lead from the key file IN_FORCE to FILE, by group and key.  VALUE returns
 * the value of a key, its default if it is not set, or NULL for none. */
void cf_check_key_file_changes (const char *name,
                                GKeyFile *in_force,
                                GKeyFile *file,
                                char *(*value) (GKeyFile *, const char *, const char *),
                                struct CfFindings *findings);

/* Adds a warning for each key in FILES, of cf_config_read_folder_files, that a later file sets. */
void cf_check_overrides (const GPtrArray *files, struct CfFindings *findings);

#endif
