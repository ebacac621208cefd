#ifndef CF_FEED_ROTATION_H
#define CF_FEED_ROTATION_H

#include "cf_types.h"

#include <glib.h>

/* Decides when a VM that is to stop leaves the fabric's rotation.
 *
 * With fewer than half of a failure domain's VMs in rotation the fabric uses all of them,
 * those included that are stopped.  So a VM that is to stop goes on serving until another
 * that was stopped before it is back, as long as it has time. */

/* A VM that left is back within this time, or is not expected back: its packets are passed
 * on for 1.4 s, it is started again after a moment, and the fabric asks twice a second. */
#define CF_ROTATION_ABSENT_MS 5000
/* From a VM's return until the fabric uses it again. */
#define CF_ROTATION_RETURN_MS 700

/* The platform expects a VM to be out of rotation 4 s after it was told to stop, and notices
 * within some 1.2 s that it has left. */
#define CF_ROTATION_WAIT_MAX_MS 2000
/* A VM still passes packets on after it has left, and then ends. */
#define CF_ROTATION_FORWARD_RESERVE_MS 2200

struct CfRotation
{
  GHashTable *absences; /* name to struct CfRotationAbsence */
};

void cf_rotation_init (struct CfRotation *rotation);
void cf_rotation_clear (struct CfRotation *rotation);

/* The VM called NAME of the same failure domain says that it leaves, or has returned. */
void cf_rotation_update (struct CfRotation *rotation, const char *name, bool leaving, CfMillis now);

/* Returns the number of VMs that have left and are not in use again. */
uint32_t cf_rotation_absent_count (const struct CfRotation *rotation, CfMillis now);

/* Returns true if one of SIZE VMs may leave while half stay in use. */
bool cf_rotation_may_leave (const struct CfRotation *rotation, uint32_t size, CfMillis now);

/* Returns true if a VM that was told to stop WAITED ago, and that is killed GRACE after that,
 * leaves at NOW: when it may, or at the last moment. */
bool cf_rotation_should_leave (const struct CfRotation *rotation,
                               uint32_t size,
                               CfMillis waited,
                               CfMillis grace,
                               CfMillis now);

#endif
