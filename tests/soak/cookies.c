#include "soak.h"

#include <signal.h>

/* Upstreams whose ids share a cookie are replaced one after the other, as planned, and VMs are
 * restarted meanwhile: which upstream packets of open flows are for must not depend on when a VM
 * learned of it. */

#define FIRST_MS 3500
#define INTERVAL_MIN_MS 400
#define INTERVAL_MAX_MS 2000
#define DRAINING_MAX 3 /* upstreams that drain at a time */

static int
draw (struct Soak *soak, int min, int max)
{
  return g_rand_int_range (soak->cookies_random, min, max + 1);
}

static void
replace_one (struct Soak *soak)
{
  int draining = 0;

  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    draining += soak->upstreams[i].draining || soak->upstreams[i].odd;
  if (draining < DRAINING_MAX)
    soak_upstream_drain (&soak->upstreams[draw (soak, 0, SOAK_UPSTREAMS - 1)], 0);
}

static gboolean
next_change (gpointer data)
{
  struct Soak *soak = data;

  if (soak->ending)
    return G_SOURCE_REMOVE;
  if (draw (soak, 0, 2) > 0)
    replace_one (soak);
  else
    soak_vm_signal (&soak->vms[draw (soak, 0, soak->vm_count - 1)],
                    draw (soak, 0, 1) ? SIGTERM : SIGKILL);
  soak->any_fault_at = MAX (soak->any_fault_at, soak_now () + SOAK_GRACE_MS);
  g_timeout_add ((guint) draw (soak, INTERVAL_MIN_MS, INTERVAL_MAX_MS), next_change, soak);
  return G_SOURCE_REMOVE;
}

void
soak_cookies_start (struct Soak *soak, guint32 seed)
{
  soak->cookies_random = g_rand_new_with_seed (seed ^ 0x3c3c3c3c);
  if (soak_has_fault (soak, "cookies"))
    g_timeout_add (FIRST_MS, next_change, soak);
}
