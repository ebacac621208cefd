#include "feed/referral.h"
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Referrals of VMs without data.  When all VMs started at the same time, one VM sent everything to
 * each of them. */

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
  bool dead;
  bool old_build;
  bool has_data;
  CfMillis data_at; /* when it has, or will have, data; -1: it is not being sent any */
  CfMillis next_at; /* of its next request */
  struct CfReferral referral;
  struct CfReferrer referrer;
  GArray *ends; /* of CfMillis: of the updates that it sends */
  uint64_t sent;
};

static void
ip_of (int vm, char ip[CF_REFERRAL_IP_BYTES])
{
  g_snprintf (ip, CF_REFERRAL_IP_BYTES, "10.0.%d.%d", vm / 250, 1 + vm % 250);
}

static int
vm_of (const char *ip)
{
  return atoi (ip + 5) * 250 + atoi (strrchr (ip, '.') + 1) - 1;
}

static guint
under_way (const struct Vm *vm, CfMillis now)
{
  guint count = 0;

  for (guint i = 0; i < vm->ends->len; i++)
    count += g_array_index (vm->ends, CfMillis, i) > now;
  return count;
}

/* VM, without data, asks TO. */
static void
ask (struct Vm *vms, int vm, int to, bool named, size_t size, CfMillis now)
{
  struct Vm *asking = &vms[vm];
  struct Vm *asked = &vms[to];
  CfMillis end = now + SEND_MS;
  char ip[CF_REFERRAL_IP_BYTES];
  GBytes *bytes;

  ip_of (vm, ip);
  asking->next_at = now + (asked->dead ? CF_REFERRAL_CALL_MS : STEP_MS);
  if (asked->dead || !asked->has_data)
    return;
  cf_referrer_asked (&asked->referrer, ip, 1, false, now);
  if (asking->old_build || asked->old_build
      || !cf_referrer_refers (&asked->referrer, under_way (asked, now),
                              cf_referral_waited (&asking->referral, now), named, now))
    {
      asking->data_at = end;
      g_array_append_val (asked->ends, end);
      cf_referrer_sent (&asked->referrer, size, now);
      asked->sent += size;
      return;
    }
  bytes = cf_referrer_encode (&asked->referrer, ip, now);
  ck_assert (cf_referral_receive (&asking->referral, named, g_bytes_get_data (bytes, NULL),
                                  g_bytes_get_size (bytes), now));
  g_bytes_unref (bytes);
}

static void
step (struct Vm *vms, int vm, size_t size, CfMillis now)
{
  struct Vm *self = &vms[vm];
  int parent = (vm - 1) / FOLLOWERS;
  char ip[CF_REFERRAL_IP_BYTES];
  const char *named = NULL;

  self->has_data = self->data_at >= 0 && now >= self->data_at;
  if (self->dead || vm == 0 || (self->data_at >= 0 && !self->has_data))
    return;
  if (self->has_data)
    {
      ip_of (vm, ip);
      parent = vms[parent].has_data && !vms[parent].dead ? parent : 0;
      if ((now - self->data_at) % CONFIRM_MS == 0)
        cf_referrer_asked (&vms[parent].referrer, ip, 1, true, now);
      return;
    }
  if (now < self->next_at)
    return;
  if (!cf_referral_holds (&self->referral, now))
    ask (vms, vm, 0, false, size, now);
  else if ((named = cf_referral_next (&self->referral, now, &self->next_at)))
    ask (vms, vm, vm_of (named), true, size, now);
}

/* Of the build before, or ending once they have data and may be named, out of 10 VMs. */
static const struct
{
  size_t size; /* of everything */
  int old_builds;
  int dead;
} plays[] = {
  { 24000, 0, 0 },  /* a manifest */
  { 106000, 0, 0 }, /* and 3,000 upstreams */
  { 500000, 0, 0 }, /* and 16,000 upstreams */
  { 106000, 5, 0 }, { 106000, 0, 2 }, { 106000, 0, 10 },
};

START_TEST (test_all_vms_start)
{
  struct Vm *vms = g_new0 (struct Vm, VMS);
  GRand *random = g_rand_new_with_seed (7);
  size_t size = plays[_i].size;
  CfMillis last = 0;
  uint64_t old_builds = 0;
  uint64_t busiest = 0;

  for (int i = 0; i < VMS; i++)
    {
      vms[i].ends = g_array_new (FALSE, FALSE, sizeof (CfMillis));
      vms[i].data_at = i == 0 ? 0 : -1;
      vms[i].old_build = i > 0 && g_rand_int_range (random, 0, 10) < plays[_i].old_builds;
      old_builds += vms[i].old_build;
    }
  for (CfMillis now = 0; now <= 4 * CF_MS_PER_S; now += STEP_MS)
    for (int i = 0; i < VMS; i++)
      {
        bool had_data = vms[i].has_data;

        step (vms, i, size, now);
        if (i > 0 && now == vms[i].data_at + STEP_MS && had_data)
          vms[i].dead = g_rand_int_range (random, 0, 10) < plays[_i].dead;
      }
  for (int i = 0; i < VMS; i++)
    {
      ck_assert_msg (vms[i].data_at >= 0, "VM %d has no data", i);
      last = MAX (last, vms[i].data_at);
      busiest = MAX (busiest, vms[i].sent);
      cf_referrer_clear (&vms[i].referrer);
      g_array_unref (vms[i].ends);
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

/* Has REFERRAL receive what REFERRER tells the VM at 10.0.0.1.  Returns the first IP that it is to
 * ask,
 * "" if there is none. */
static const char *
refer (struct CfReferrer *referrer, struct CfReferral *referral, bool named, CfMillis now)
{
  GBytes *bytes = cf_referrer_encode (referrer, "10.0.0.1", now);
  CfMillis due;
  const char *ip;

  ck_assert (cf_referral_receive (referral, named, g_bytes_get_data (bytes, NULL),
                                  g_bytes_get_size (bytes), now));
  g_bytes_unref (bytes);
  ip = cf_referral_next (referral, now, &due);
  return ip ? ip : "";
}

/* A VM was sent to itself, to one without data or to one that is gone. */
START_TEST (test_only_vms_with_data_are_named)
{
  struct CfReferrer referrer = { .slot = 0 };
  struct CfReferral referral = { .count = 0 };
  char first[CF_REFERRAL_IP_BYTES];

  cf_referrer_asked (&referrer, "10.0.0.1", 1, true, 0);
  ck_assert_str_eq (refer (&referrer, &referral, false, 0), "");
  cf_referrer_asked (&referrer, "10.0.0.2", 1, true, 0);
  ck_assert_str_eq (refer (&referrer, &referral, false, 0), "10.0.0.2");
  cf_referrer_asked (&referrer, "10.0.0.2", 1, false, 0);
  ck_assert_str_eq (refer (&referrer, &referral, false, 0), "");
  cf_referrer_asked (&referrer, "10.0.0.3", 1, true, 0);
  ck_assert_str_eq (refer (&referrer, &referral, false, CF_REFERRAL_FOLLOWER_MS + 1), "");
  cf_referrer_asked (&referrer, "10.0.0.3", 1, true, 0);
  cf_referrer_asked (&referrer, "10.0.0.4", 2, true, 0);
  ck_assert_str_eq (refer (&referrer, &referral, false, 0), "10.0.0.4");
  for (int i = 0; i < 2 * CF_REFERRAL_FOLLOWERS_MAX; i++)
    {
      char ip[CF_REFERRAL_IP_BYTES];

      ip_of (i, ip);
      cf_referrer_asked (&referrer, ip, 2, true, 0);
    }
  ck_assert_uint_eq (referrer.followers.length, CF_REFERRAL_FOLLOWERS_MAX);
  /* All take turns. */
  g_strlcpy (first, refer (&referrer, &referral, false, 0), sizeof first);
  ck_assert_str_ne (first, refer (&referrer, &referral, false, 0));
  cf_referrer_clear (&referrer);
}
END_TEST

/* Referrals by named VMs kept a VM from its first VM, which alone may have data, for good. */
START_TEST (test_first_vm_is_asked_again)
{
  struct CfReferrer referrer = { .slot = 0 };
  struct CfReferral referral = { .count = 0 };

  cf_referrer_asked (&referrer, "10.0.0.2", 1, true, 0);
  refer (&referrer, &referral, false, 0);
  for (CfMillis now = 0; now < CF_REFERRAL_AGAIN_MS; now += 50)
    {
      ck_assert (cf_referral_holds (&referral, now));
      refer (&referrer, &referral, true, now);
    }
  ck_assert_uint_eq (referral.count, CF_REFERRAL_NAMED_MAX);
  ck_assert (!cf_referral_holds (&referral, CF_REFERRAL_AGAIN_MS));
  ck_assert_int_eq (cf_referral_waited (&referral, 900), 900);
  cf_referrer_clear (&referrer);
}
END_TEST

/* Whatever a forged referral holds becomes a part of a URL. */
START_TEST (test_forged_referral)
{
  static const char *const texts[] = { "", "10.0.0", "::1", "10.0.0.1/x?", "localhost" };
  feed_ip ips[] = { (char *) "10.0.0.2", (char *) texts[_i] };
  struct feed_referral wire = { .ips = { .ips_len = 2, .ips_val = ips } };
  struct CfReferral referral = { .count = 0 };
  char data[64];
  XDR xdr;

  xdrmem_create (&xdr, data, sizeof data, XDR_ENCODE);
  ck_assert (xdr_feed_referral (&xdr, &wire));
  ck_assert (!cf_referral_receive (&referral, false, data, xdr_getpos (&xdr), 0));
  ck_assert (!cf_referral_holds (&referral, 0));
  ck_assert_uint_eq (referral.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("referral");

  suite_add_loop (suite, test_all_vms_start, G_N_ELEMENTS (plays));
  suite_add_loop (suite, test_only_vms_with_data_are_named, 1);
  suite_add_loop (suite, test_first_vm_is_asked_again, 1);
  suite_add_loop (suite, test_forged_referral, 5);
  return suite_run (suite);
}
