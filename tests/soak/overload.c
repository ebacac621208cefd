#include "soak.h"

/* Overloads: upstreams that work slowly, and callers that send many times their usual requests. */

#define FIRST_MS 5000
#define INTERVAL_MIN_MS 500
#define INTERVAL_MAX_MS 6000
#define LENGTH_MIN_MS 1000
#define LENGTH_MAX_MS 5000
#define PRESS_INTERVAL_MS 5
#define PRESS_FLOWS_MIN 2 /* each interval */
#define PRESS_FLOWS_MAX 8

static int
draw (struct Soak *soak, int min, int max)
{
  return g_rand_int_range (soak->overload_random, min, max + 1);
}

/* Has upstreams take MIN_MS to MAX_MS for each request until UNTIL. */
static void
slow_down (struct Soak *soak, int one_in, int min_ms, int max_ms, int64_t until)
{
  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    {
      struct SoakUpstream *upstream = &soak->upstreams[i];
      int work_ms = draw (soak, min_ms, max_ms);

      if (draw (soak, 1, one_in) > 1)
        continue;
      upstream->work_ms
          = soak_now () < upstream->slow_until ? MAX (upstream->work_ms, work_ms) : work_ms;
      upstream->slow_until = MAX (upstream->slow_until, until);
    }
}

static gboolean
press_on (gpointer data)
{
  struct Soak *soak = data;

  if (soak_now () >= soak->press_until)
    {
      soak->press_flows = 0;
      return G_SOURCE_REMOVE;
    }
  for (int i = 0; i < soak->press_flows; i++)
    soak_callers_request (soak, draw (soak, 0, 1) ? 80 : 83, soak->press_caller);
  return G_SOURCE_CONTINUE;
}

/* Callers, or one of them, press. */
static void
press (struct Soak *soak, int64_t until)
{
  bool pressing = soak->press_flows > 0;

  slow_down (soak, 1, 8, 25, until);
  soak->press_until = until;
  soak->press_caller = draw (soak, 0, 1) ? draw (soak, 0, SOAK_CALLERS - 1) : -1;
  soak->press_flows = draw (soak, PRESS_FLOWS_MIN, PRESS_FLOWS_MAX);
  if (!pressing)
    g_timeout_add (PRESS_INTERVAL_MS, press_on, soak);
}

/* Overloads are no faults of VMs: what is checked of a VM holds during them. */
static gboolean
next_overload (gpointer data)
{
  struct Soak *soak = data;
  bool busy = soak_has_fault (soak, "busy");
  int64_t until = soak_now () + draw (soak, LENGTH_MIN_MS, LENGTH_MAX_MS);

  if (soak->ending)
    return G_SOURCE_REMOVE;
  if (busy && (!soak_has_fault (soak, "press") || draw (soak, 0, 1)))
    slow_down (soak, draw (soak, 1, 2), 40, 100, until); /* the usual requests fill them */
  else
    press (soak, until);
  soak->overloads++;
  soak->overload_until = MAX (soak->overload_until, until);
  soak->any_fault_at = MAX (soak->any_fault_at, until + SOAK_CALM_MS - SOAK_STABLE_MS);
  g_timeout_add ((guint) draw (soak, INTERVAL_MIN_MS, INTERVAL_MAX_MS), next_overload, soak);
  return G_SOURCE_REMOVE;
}

void
soak_overload_start (struct Soak *soak, guint32 seed)
{
  soak->overload_random = g_rand_new_with_seed (seed ^ 0x5a5a5a5a);
  soak->overload = soak_has_fault (soak, "busy") || soak_has_fault (soak, "press");
  soak->extra_openings = soak->overload && g_rand_boolean (soak->overload_random);
  if (soak->overload)
    g_timeout_add (FIRST_MS, next_overload, soak);
}
