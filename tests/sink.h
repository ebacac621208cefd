#ifndef CF_TEST_SINK_H
#define CF_TEST_SINK_H

#include "cf_core.h"

/* Returns outputs of a core that do nothing; a test replaces those that it checks. */
struct CfCoreOutputs test_sink_outputs (void);

#endif
