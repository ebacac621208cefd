#ifndef CF_FEED_ROTATION_H
#define CF_FEED_ROTATION_H

#include "cf_types.h"

#include <glib.h>

/* Decides when a VM that was told to stop leaves the fabric's rotation.
 *
 * With fewer than half of a failure domain's VMs in rotation the fabric sends packets to all of
 * them, including those that have stopped.  So a VM that was told to stop keeps serving until
 * another that left before it is back, as long as its grace period permits. */

/* A VM that left and is not back within this time is not expected back.  It forwards its packets
 * for 1.4 s, is restarted shortly after, and the fabric checks readiness twice a second. */
#define CF_ROTATION_ABSENT_MS 5000
/* Time from a VM's return until the fabric sends it packets again. */
#define CF_ROTATION_RETURN_MS 700

/* The platform expects a VM to be out of rotation 4 s after it was told to stop, and takes up to
 * about 1.2 s to detect that it has left. */
#define CF_ROTATION_WAIT_MAX_MS 2000
/* Time for a VM to forward packets after it has left, and then to exit. */
#define CF_ROTATION_FORWARD_RESERVE_MS 2200

struct CfRotation
{
  GHashTable *absences; /* name to struct CfRotationAbsence */
};

void cf_rotation_init (struct CfRotation *rotation);
void cf_rotation_clear (struct CfRotation *rotation);

/* Records that the VM called NAME of the same failure domain leaves, or has returned. */
void cf_rotation_update (struct CfRotation *rotation, const char *name, bool leaving, CfMillis now);

/* Returns the number of VMs that have left and are not back in rotation. */
uint32_t cf_rotation_absent_count (const struct CfRotation *rotation, CfMillis now);

/* Returns true if one of SIZE VMs may leave while at least half stay in rotation. */
bool cf_rotation_may_leave (const struct CfRotation *rotation, uint32_t size, CfMillis now);

/* Returns how long a VM may wait for others before it leaves, if it is killed GRACE after it was
 * told to stop. */
CfMillis cf_rotation_wait_max (CfMillis grace);

/* Returns true if a VM that was told to stop WAITED ago, and that is killed GRACE after it was
 * told, has to leave at NOW: because it may, or because it can wait no longer. */
bool cf_rotation_should_leave (const struct CfRotation *rotation,
                               uint32_t size,
                               CfMillis waited,
                               CfMillis grace,
                               CfMillis now);

#endif
