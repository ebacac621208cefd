#ifndef CF_CHECK_SETTINGS_H
#define CF_CHECK_SETTINGS_H

#include "balance/routes.h"
#include "finding.h"
#include "balancer/balance_settings.h"

/* Checks of a settings file of "cyclamenferry balance".  FILE names it in the findings. */

/* Reads SETTINGS, to be cleared, from TEXT of LEN bytes.  Returns false with an error for each
 * value that is not allowed, and for each key that does not exist. */
bool cf_check_settings_read (const char *file,
                             const char *text,
                             size_t len,
                             struct CfBalanceSettings *settings,
                             struct CfFindings *findings);

/* Adds a warning for each default that is used, each seed that is left out, and a grace period too
 * short for what follows SIGTERM. */
void cf_check_settings_limits (const char *file,
                               const struct CfBalanceSettings *settings,
                               struct CfFindings *findings);

/* Adds a warning if no flow lives as long as MANIFEST, of MANIFEST_FILE, lets it be silent or its
 * callers wait. */
void cf_check_lifetime (const char *file,
                        const struct CfBalanceSettings *settings,
                        const char *manifest_file,
                        const struct CfManifest *manifest,
                        struct CfFindings *findings);

/* Adds the changes of keys that lead from the text IN_FORCE to TEXT, both valid settings files. */
void cf_check_settings_changes (const char *file,
                                const char *in_force,
                                const char *text,
                                struct CfFindings *findings);

/* Adds a warning for each two of VALUES that contradict each other, and for those that MANIFEST
 * (NULL: not known) leaves without effect. */
void cf_check_overload (const char *file,
                        const struct CfOverloadSettings *values,
                        const struct CfManifest *manifest,
                        struct CfFindings *findings);

#endif
