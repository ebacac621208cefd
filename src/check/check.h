#ifndef CF_CHECK_CHECK_H
#define CF_CHECK_CHECK_H

#include "finding.h"
#include "source.h"

#define CF_CHECK_INPUTS_MAX 3 /* one of each kind */

struct CfCheckInputs
{
  struct CfSource inputs[CF_CHECK_INPUTS_MAX];
  guint count;
  const struct CfSource *in_force; /* NULL: there is none to compare with */
};

/* Adds to FINDINGS all that is wrong in INPUTS, which are checked with each other, too, and the
 * difference from the version in force.  Returns a summary of one line for a folder without errors,
 * to be freed, or NULL. */
char *cf_check_run (const struct CfCheckInputs *inputs, struct CfFindings *findings);

#endif
