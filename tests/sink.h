#ifndef CF_TEST_SINK_H
#define CF_TEST_SINK_H

#include "cf_core.h"

/* Returns outputs of a core that do nothing; a test replaces those that it checks. */
struct CfCoreOutputs test_sink_outputs (void);

/* Returns the address of the health endpoint of the upstream called NAME as CORE has it; it is all
 * 0 if CORE has no such upstream. */
struct CfAddress test_health_address (const struct CfCore *core, const char *name);

#endif
