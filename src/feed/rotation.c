#include "rotation.h"

struct CfRotationAbsence
{
  CfMillis until; /* from then on the VM counts as back in rotation */
};

void
cf_rotation_init (struct CfRotation *rotation)
{
  rotation->absences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
cf_rotation_clear (struct CfRotation *rotation)
{
  g_clear_pointer (&rotation->absences, g_hash_table_unref);
}

static gboolean
is_over (gpointer name, gpointer absence, gpointer now)
{
  (void) name;
  return ((const struct CfRotationAbsence *) absence)->until <= *(const CfMillis *) now;
}

void
cf_rotation_update (struct CfRotation *rotation, const char *name, bool leaving, CfMillis now)
{
  struct CfRotationAbsence *absence;

  /* VMs are replaced under new names. */
  g_hash_table_foreach_remove (rotation->absences, is_over, &now);
  absence = g_hash_table_lookup (rotation->absences, name);
  if (!absence)
    {
      absence = g_new0 (struct CfRotationAbsence, 1);
      g_hash_table_insert (rotation->absences, g_strdup (name), absence);
    }
  absence->until = now + (leaving ? CF_ROTATION_ABSENT_MS : CF_ROTATION_RETURN_MS);
}

uint32_t
cf_rotation_absent_count (const struct CfRotation *rotation, CfMillis now)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, rotation->absences);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += now < ((struct CfRotationAbsence *) value)->until;
  return count;
}

bool
cf_rotation_may_leave (const struct CfRotation *rotation, uint32_t size, CfMillis now)
{
  uint32_t out = cf_rotation_absent_count (rotation, now) + 1;

  /* The only VM of a failure domain has no other to wait for. */
  if (size <= 1)
    return true;
  return out < size && (size - out) * 2 >= size;
}

CfMillis
cf_rotation_wait_max (CfMillis grace)
{
  return CLAMP (grace - CF_ROTATION_FORWARD_RESERVE_MS, 0, CF_ROTATION_WAIT_MAX_MS);
}

bool
cf_rotation_should_leave (
    const struct CfRotation *rotation, uint32_t size, CfMillis waited, CfMillis grace, CfMillis now)
{
  return waited >= cf_rotation_wait_max (grace) || cf_rotation_may_leave (rotation, size, now);
}
