#include "soak.h"

#include <string.h>

/* Planned scale-in: all but one of the upstreams of "s" in a failure domain drain and end, while
 * the callers of their open flows pause.  Then these go on, and at first the data for the upstream
 * that stays is lost.  Its flows must not be reset: those that ended say nothing of it. */

#define FIRST_MS 4000
#define INTERVAL_MIN_MS 2000 /* from the end of one to the next */
#define INTERVAL_MAX_MS 8000
#define PAUSE_AFTER_END_MIN_MS 1000
#define PAUSE_AFTER_END_MAX_MS 3500
#define EVACUATED_MS 2000 /* after the pause: an answer on a new flow would clear the domain */

static int
draw (struct Soak *soak, int min, int max)
{
  return g_rand_int_range (soak->scale_random, min, max + 1);
}

/* Returns true if UPSTREAM is one of those of which the domain could do without all but one. */
static bool
is_candidate (const struct SoakUpstream *upstream, const char *domain)
{
  return upstream->domain == domain && strcmp (upstream->service, "s") == 0;
}

/* Returns true if all upstreams of "s" in DOMAIN are there. */
static bool
is_whole (const struct Soak *soak, const char *domain)
{
  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    {
      const struct SoakUpstream *upstream = &soak->upstreams[i];

      if (is_candidate (upstream, domain)
          && (upstream->draining || upstream->unresponsive || upstream->odd))
        return false;
    }
  return true;
}

static void
scale_in (struct Soak *soak, const char *domain)
{
  int pause_ms = SOAK_DRAIN_MS + draw (soak, PAUSE_AFTER_END_MIN_MS, PAUSE_AFTER_END_MAX_MS);
  struct SoakUpstream *staying = NULL;

  soak_evacuate (soak, domain, pause_ms - SOAK_DRAIN_MS + EVACUATED_MS);
  for (int i = draw (soak, 0, SOAK_UPSTREAMS - 1); !staying; i = (i + 1) % SOAK_UPSTREAMS)
    if (is_candidate (&soak->upstreams[i], domain))
      staying = &soak->upstreams[i];
  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    if (&soak->upstreams[i] != staying && is_candidate (&soak->upstreams[i], domain))
      soak_upstream_drain (&soak->upstreams[i], 0);
  soak->paused_domain = domain;
  soak->paused_until = soak_now () + pause_ms;
  staying->loses_from = soak->paused_until;
  soak->scale_ins++;
  soak->any_fault_at = MAX (soak->any_fault_at, soak->paused_until + EVACUATED_MS);
}

static gboolean
next_scale_in (gpointer data)
{
  struct Soak *soak = data;
  const char *domain = soak_domains[draw (soak, 0, SOAK_DOMAINS - 1)];

  if (soak->ending)
    return G_SOURCE_REMOVE;
  if (!soak->evacuated && soak_now () >= soak->paused_until && is_whole (soak, domain))
    scale_in (soak, domain);
  g_timeout_add ((guint) (MAX (soak->paused_until - soak_now (), 0)
                          + draw (soak, INTERVAL_MIN_MS, INTERVAL_MAX_MS)),
                 next_scale_in, soak);
  return G_SOURCE_REMOVE;
}

void
soak_scale_in_start (struct Soak *soak, guint32 seed)
{
  soak->scale_random = g_rand_new_with_seed (seed ^ 0xa5a5a5a5);
  if (soak_has_fault (soak, "scale-in"))
    g_timeout_add (FIRST_MS, next_scale_in, soak);
}
