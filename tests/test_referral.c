#include "feed/referral.h"
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Referrals.  When all VMs started at the same time, one VM sent everything to each of them. */

#define VMS 300
#define STEP_MS 10
#define SEND_MS 100 /* for an update */
#define CONFIRM_MS 400
#define FOLLOWERS 16
#define DATA_WITHIN_MS 2000
/* 4 at a time until nobody is referred any more. */
#define UPDATES_MAX (CF_REFERRAL_UNDER_WAY * CF_REFERRAL_WAIT_MAX_MS / SEND_MS)

struct Vm
{
  char ip[CF_REFERRAL_IP_BYTES];
  bool dead, old_build, has_data;
  struct Vm *source;
  CfMillis data_at; /* when it has, or will have, data; -1: it is not being sent any */
  CfMillis next_at; /* of its next request */
  struct CfReferral referral;
  struct CfReferrer referrer;
  guint under_way; /* updates that it sends */
  uint64_t sent;
};

/* VM, without data, asks FROM for everything. */
static void
ask (struct Vm *vm, struct Vm *from, bool named, size_t size, CfMillis now)
{
  CfMillis waited = cf_referral_waited (&vm->referral, now);
  GBytes *bytes;

  vm->next_at = now + (from->dead ? CF_REFERRAL_CALL_MS : STEP_MS);
  if (from->dead || !from->has_data)
    return;
  cf_referrer_asked (&from->referrer, vm->ip, 1, false, now);
  if (vm->old_build || from->old_build
      || !cf_referrer_refers (&from->referrer, from->under_way, waited, named, now))
    {
      vm->data_at = now + SEND_MS;
      vm->source = from;
      from->under_way++;
      from->sent += size;
      cf_referrer_sent (&from->referrer, size, now);
      return;
    }
  bytes = cf_referrer_encode (&from->referrer, vm->ip, now);
  ck_assert (cf_referral_receive (&vm->referral, named, g_bytes_get_data (bytes, NULL),
                                  g_bytes_get_size (bytes), now));
  g_bytes_unref (bytes);
}

static void
step (struct Vm *vms, int i, size_t size, CfMillis now)
{
  struct Vm *vm = &vms[i];
  struct Vm *parent = &vms[(i - 1) / FOLLOWERS];
  const char *named;

  if (vm->source && now == vm->data_at)
    vm->source->under_way--;
  vm->has_data = vm->data_at >= 0 && now >= vm->data_at;
  if (i > 0 && vm->has_data && !vm->dead && (now - vm->data_at) % CONFIRM_MS == 0)
    cf_referrer_asked (parent->has_data && !parent->dead ? &parent->referrer : &vms[0].referrer,
                       vm->ip, 1, true, now);
  if (vm->data_at >= 0 || now < vm->next_at)
    return;
  if (!cf_referral_holds (&vm->referral, now))
    ask (vm, &vms[0], false, size, now);
  else if ((named = cf_referral_next (&vm->referral, now, &vm->next_at)))
    ask (vm, &vms[atoi (strrchr (named, '.') + 1) + 250 * atoi (named + 5)], true, size, now);
}

START_TEST (test_all_vms_start)
{
  /* Of 10 VMs, some are of the build before, or end once they have data and may be named. */
  static const struct
  {
    size_t size; /* of everything: a manifest, 3,000 upstreams too, 16,000 upstreams */
    int old_builds, dead;
  } plays[] = { { 24000, 0, 0 },  { 106000, 0, 0 }, { 500000, 0, 0 },
                { 106000, 5, 0 }, { 106000, 0, 2 }, { 106000, 0, 10 } };
  struct Vm *vms = g_new0 (struct Vm, VMS);
  GRand *random = g_rand_new_with_seed (7);
  size_t size = plays[_i].size;
  CfMillis last = 0;
  uint64_t old_builds = 0;
  uint64_t busiest = 0;

  for (int i = 0; i < VMS; i++)
    {
      g_snprintf (vms[i].ip, sizeof vms[i].ip, "10.0.%d.%d", i / 250, i % 250);
      vms[i].data_at = i == 0 ? 0 : -1;
      vms[i].old_build = i > 0 && g_rand_int_range (random, 0, 10) < plays[_i].old_builds;
      old_builds += vms[i].old_build;
    }
  for (CfMillis now = 0; now <= 4 * CF_MS_PER_S; now += STEP_MS)
    for (int i = 0; i < VMS; i++)
      {
        step (vms, i, size, now);
        if (i > 0 && vms[i].data_at >= 0 && now == vms[i].data_at + STEP_MS)
          vms[i].dead = g_rand_int_range (random, 0, 10) < plays[_i].dead;
      }
  for (int i = 0; i < VMS; i++)
    {
      ck_assert_msg (vms[i].data_at >= 0, "VM %d has no data", i);
      last = MAX (last, vms[i].data_at);
      busiest = MAX (busiest, vms[i].sent);
      ck_assert_uint_le (vms[i].referrer.followers.length, CF_REFERRAL_FOLLOWERS_MAX);
      cf_referrer_clear (&vms[i].referrer);
    }
  printf ("%d VMs start, %zu bytes each: all have data after %" G_GINT64_FORMAT
          " ms, the first has sent %" G_GUINT64_FORMAT " bytes, the busiest %" G_GUINT64_FORMAT
          "\n",
          VMS, size, last, vms[0].sent, busiest);
  ck_assert_int_le (last, DATA_WITHIN_MS);
  /* Where VMs end, those left may have to send everything. */
  if (plays[_i].dead == 0)
    ck_assert_uint_le (busiest, (UPDATES_MAX + old_builds) * size);
  if (plays[_i].dead + plays[_i].old_builds == 0)
    ck_assert_uint_le (vms[0].sent, 2 * (CF_REFERRAL_BYTES_PER_S + size));
  g_rand_free (random);
  g_free (vms);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("referral");

  suite_add_loop (suite, test_all_vms_start, 6);
  return suite_run (suite);
}
