#ifndef CF_CONFIG_DIFFERENCE_H
#define CF_CONFIG_DIFFERENCE_H

#include "cf_config.h"

/* Differences between canonical texts, which entry VMs send to each other in place
 * of whole configurations.  A difference is a key file that holds each changed or new
 * group in full and lists the removed groups as key "groups" of group [removed]. */

/* Returns the difference that leads from FROM to TO, to be freed. */
char *cf_difference_make (const struct CfConfig *from, const struct CfConfig *to);

/* Returns the canonical text that DIFFERENCE makes of FROM, to be freed, or NULL if
 * DIFFERENCE is not valid. */
char *cf_difference_apply (const struct CfConfig *from, const char *difference);

#endif
