#include "soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* soak PROGRAM SECONDS SEED [VMS]: injects faults for SECONDS, then stops them and checks that the
 * system recovers.  The exit status is 1 if a guarantee was violated.  With SOAK_KEEP_STORE in the
 * environment the store is never restored from a copy, for fleets with builds from before eras;
 * SOAK_FAULTS lists the only kinds of faults to inject, by their names in faults.c, troubles.c,
 * overload.c and odd.c. */

#define SETTLE_MS 12000 /* minimum fault-free time at the end of the run */
#define BEAT_MS 50
#define HELD_UP_MS 200         /* half of what the fabric waits for an answer */
#define COMPARE_MS 1000        /* between two looks at whether all VMs have answered */
#define COMPARE_MAX_MS 30000   /* for them from the end of the changes on, on a busy machine */
#define STABLE_SERVED_MIN 0.99 /* fraction of the requests that begin while stable */

const char *const soak_domains[SOAK_DOMAINS] = { "a", "b" };

int64_t
soak_now (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

void
soak_violation (struct Soak *soak, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  printf ("  violation: ");
  vprintf (format, args);
  printf ("\n");
  va_end (args);
  soak->violations++;
}

bool
soak_is_stable (const struct Soak *soak, const struct SoakVm *vm)
{
  int64_t since = vm ? vm->last_fault_at : soak->any_fault_at;

  return soak_now () - since > SOAK_STABLE_MS;
}

bool
soak_is_in_touch (const struct SoakVm *vm)
{
  return soak_now () - vm->cut_until > SOAK_STABLE_MS;
}

/* The store, its paths and the fabric are in this process: if it is held up, the VMs see a store
 * that does not answer and a fabric that does not read. */
static gboolean
check_delay (gpointer data)
{
  struct Soak *soak = data;
  int64_t now = soak_now ();

  if (now - soak->beat_at > BEAT_MS + HELD_UP_MS)
    {
      soak->held_up++;
      soak->any_fault_at = MAX (soak->any_fault_at, now);
      for (int i = 0; i < soak->vm_count; i++)
        soak_vm_note_cut (&soak->vms[i], now);
    }
  soak->beat_at = now;
  return G_SOURCE_CONTINUE;
}

/* A machine that is busy holds this process up, or lets VMs answer late. */
static bool
may_wait (const struct Soak *soak)
{
  return soak_now () - soak->over_since < COMPARE_MAX_MS;
}

static bool
all_compared (const struct Soak *soak)
{
  for (int i = 0; i < soak->vm_count; i++)
    if (!soak->vms[i].compared)
      return false;
  return true;
}

static gboolean
finish (gpointer data)
{
  struct Soak *soak = data;

  if (!all_compared (soak) && may_wait (soak))
    return G_SOURCE_CONTINUE;
  g_main_loop_quit (soak->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
compare (gpointer data)
{
  struct Soak *soak = data;

  if (!soak_is_stable (soak, NULL) && may_wait (soak))
    return G_SOURCE_CONTINUE;
  soak_clients_compare (soak);
  g_timeout_add (COMPARE_MS, finish, soak);
  return G_SOURCE_REMOVE;
}

static gboolean
stop_changes (gpointer data)
{
  struct Soak *soak = data;

  soak->over = true;
  soak->over_since = soak_now ();
  g_timeout_add (SOAK_STABLE_MS, compare, soak);
  return G_SOURCE_REMOVE;
}

static gboolean
stop_faults (gpointer data)
{
  struct Soak *soak = data;

  soak->ending = true;
  g_timeout_add (SETTLE_MS + SOAK_DRAIN_MS, stop_changes, soak);
  return G_SOURCE_REMOVE;
}

static void
start (struct Soak *soak)
{
  soak->store = soak_store_new (soak);
  soak->session
      = soup_session_new_with_options ("proxy-resolver", NULL, "max-conns", 2 * SOAK_VMS_MAX, NULL);
  for (int i = 0; i < soak->vm_count; i++)
    {
      struct SoakVm *vm = &soak->vms[i];

      vm->soak = soak;
      vm->index = i;
      vm->domain = soak_domains[i % SOAK_DOMAINS];
      g_snprintf (vm->ip, sizeof vm->ip, "127.1.0.%d", 10 + i);
      g_snprintf (vm->ready_ip, sizeof vm->ready_ip, "127.1.1.%d", 10 + i);
    }
  soak->second_route = true;
  soak_put_manifest (soak);
  soak_upstreams_start (soak);
  soak_vms_start (soak);
  soak_readiness_start (soak);
  soak->any_fault_at = soak->beat_at = soak_now ();
  g_timeout_add (BEAT_MS, check_delay, soak);
  soak_callers_start (soak);
  soak_clients_start (soak);
  soak_faults_start (soak);
  soak_troubles_start (soak);
  soak_odd_start (soak);
}

static void
stop (struct Soak *soak)
{
  g_clear_pointer (&soak->loop, g_main_loop_unref);
  soak_vms_stop (soak);
  soak_callers_stop (soak);
  soak_upstreams_stop (soak);
}

int
main (int argc, char **argv)
{
  static struct Soak state;
  struct Soak *soak = &state;
  uint32_t in_progress;
  double served;

  if (argc == 4 || argc == 5)
    soak->vm_count = argc == 5 ? atoi (argv[4]) : SOAK_VMS;
  if (soak->vm_count < SOAK_DOMAINS || soak->vm_count > SOAK_VMS_MAX)
    {
      fprintf (stderr, "usage: soak PROGRAM SECONDS SEED [VMS], VMS from %d to %d\n", SOAK_DOMAINS,
               SOAK_VMS_MAX);
      return 2;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  soak->keep_store = g_getenv ("SOAK_KEEP_STORE") != NULL;
  soak->program = argv[1];
  soak->random = g_rand_new_with_seed ((guint32) atoi (argv[3]));
  soak->trouble = g_rand_new_with_seed (~(guint32) atoi (argv[3]));
  if (g_rand_boolean (soak->trouble))
    soak->left_out = g_rand_int (soak->trouble);
  soak_overload_start (soak, (guint32) atoi (argv[3]));
  soak_scale_in_start (soak, (guint32) atoi (argv[3]));
  soak_cookies_start (soak, (guint32) atoi (argv[3]));
  soak->folder = g_dir_make_tmp ("cf-soak-XXXXXX", NULL);
  soak_callers_bind (soak);
  soak->loop = g_main_loop_new (NULL, FALSE);
  start (soak);
  g_timeout_add ((guint) atoi (argv[2]) * 1000 + 3000, stop_faults, soak);
  g_main_loop_run (soak->loop);
  for (int i = 0; i < soak->vm_count; i++)
    if (!soak->vms[i].compared)
      soak_violation (soak, "FAULT: vm-%d has not answered at its metrics port", i);
  in_progress = soak_callers_in_progress (soak);
  stop (soak);
  served = soak->stable_requests > in_progress
               ? (double) soak->stable_served / (soak->stable_requests - in_progress)
               : 0;
  if (served < STABLE_SERVED_MIN)
    soak_violation (soak, "RECOVER: %.3f of the requests in stable periods were served", served);
  printf ("seed %s: %u requests, %u served; in stable periods %u requests, %u served, %u "
          "in progress; %u open flows reset; %u overloads%s, %u requests turned away, %u flows "
          "refused; "
          "%u troubles, %u scale-ins, %u odd entries, %u calls by clients, %lld MB at most; held "
          "up %u times; %u "
          "violations; logs in %s\n",
          argv[3], soak->requests, soak->served, soak->stable_requests, soak->stable_served,
          in_progress, soak->resets, soak->overloads,
          soak->extra_openings ? " with extra openings" : "", soak->turned_away, soak->refused,
          soak->troubles, soak->scale_ins, soak->odd_entries, soak->client_requests,
          soak->memory_max >> 20, soak->held_up, soak->violations, soak->folder);
  return soak->violations > 0;
}
