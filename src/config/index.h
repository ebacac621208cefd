#ifndef CF_CONFIG_INDEX_H
#define CF_CONFIG_INDEX_H

#include "cf_config.h"

/* Fills in the look-up tables and the upstream lists of CONFIG. */
void cf_config_index (struct CfConfig *config);

/* Adds a line to FAULTS for any two upstreams or VMs whose names hash to the same id. */
void cf_config_check_ids (const struct CfConfig *config, GPtrArray *faults);

/* Returns the digest of canonical TEXT. */
uint64_t cf_config_digest (const char *text);

#endif
