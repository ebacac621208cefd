#include "balance/fair_share.h"
#include "suite.h"

#include <math.h>

/* Fair shares between callers, on virtual time. */

#define VMS_MAX 19
#define WARM_MS 10000
#define END_MS 70000
#define SMALL_IP 0x0a000000U
#define HEAVY_IP 0xc0000000U
#define IP_STEP 256U /* between callers */

/* Requests that the callers of a failure domain send to VMS at random.  Rates are for each VM. */
struct Load
{
  guint vms;
  guint small; /* callers */
  double small_rate;
  guint heavy;
  double heavy_rate;
  unsigned prefix;
  bool many_addresses; /* each heavy caller uses IP_STEP of them */
};

/* Mean parts that were admitted at one VM. */
struct Parts
{
  double small;
  double heavy;
  double all;
  double lowest; /* part of any request of a caller that is not heavy */
};

static void
run (const struct Load *load, double admitted, guint32 seed, struct Parts *parts)
{
  GRand *random = g_rand_new_with_seed (seed);
  struct CfFairShare *fair[VMS_MAX];
  double sums[VMS_MAX][2] = { 0 };
  double counts[VMS_MAX][2] = { 0 };
  double small = load->small * load->small_rate;
  double heavy = load->heavy * load->heavy_rate;
  double at = 0;

  ck_assert_uint_gt (load->vms, 0);
  for (guint i = 0; i < load->vms; i++)
    {
      fair[i] = cf_fair_share_new (load->prefix);
      parts[i].lowest = 1;
    }
  while (at < END_MS)
    {
      guint vm = g_rand_int (random) % load->vms;
      bool is_heavy = g_rand_double (random) * (small + heavy) < heavy;
      uint32_t ip = is_heavy ? HEAVY_IP + IP_STEP * (g_rand_int (random) % MAX (load->heavy, 1))
                             : SMALL_IP + IP_STEP * (g_rand_int (random) % load->small);

      double part;

      if (is_heavy && load->many_addresses)
        ip += g_rand_int (random) % IP_STEP;
      cf_fair_share_record (fair[vm], ip, (CfMillis) at);
      part = cf_fair_share_admitted (fair[vm], ip, admitted, (CfMillis) at);
      if (at >= WARM_MS)
        {
          parts[vm].lowest = is_heavy ? parts[vm].lowest : MIN (parts[vm].lowest, part);
          sums[vm][is_heavy] += part;
          counts[vm][is_heavy]++;
        }
      at -= log (1 - g_rand_double (random)) * CF_MS_PER_S / (load->vms * (small + heavy));
    }
  for (guint i = 0; i < load->vms; i++)
    {
      parts[i].small = sums[i][0] / counts[i][0];
      parts[i].heavy = heavy > 0 ? sums[i][1] / counts[i][1] : 0;
      parts[i].all = (sums[i][0] + sums[i][1]) / (counts[i][0] + counts[i][1]);
      cf_fair_share_free (fair[i]);
    }
  g_rand_free (random);
}

/* Heavy callers, each of at least a hundred times the requests of another one.  Guards against the
 * others being refused for their sake, at any of the VMs. */
START_TEST (test_heavy)
{
  static const struct
  {
    struct Load load;
    double small_min;
    double heavy;
  } cases[] = {
    { { 1, 1000, 0.07, 1, 70, 32, false }, 0.95, 0.2 },
    { { 19, 1000, 0.07, 1, 70, 32, false }, 0.95, 0.2 },
    { { 19, 100, 0.07, 1, 7, 32, false }, 0.93, 0.2 },
    { { 19, 1000, 0.07, 10, 7, 32, false }, 0.95, 0.2 },
    { { 19, 1000, 0.07, 1, 70, 24, true }, 0.95, 0.2 },
    /* The others ask for more than 0.6 on their own: 46.2 of 70 requests a second. */
    { { 19, 1000, 0.07, 1, 7, 32, false }, 0.62, 0.1 },
  };
  const struct Load *load = &cases[_i].load;
  struct Parts parts[VMS_MAX];

  run (load, 0.6, 3, parts);
  for (guint i = 0; i < load->vms; i++)
    {
      printf ("%u callers, %u heavy, VM %u: others %.3f, heavy %.3f, all %.3f\n", load->small,
              load->heavy, i, parts[i].small, parts[i].heavy, parts[i].all);
      ck_assert_double_ge (parts[i].small, cases[_i].small_min);
      ck_assert_double_eq_tol (parts[i].heavy, cases[_i].heavy, 0.06);
      ck_assert_double_eq_tol (parts[i].all, 0.6, 0.03);
    }
}
END_TEST

/* No caller is heavy.  Guards against callers that are refused since they are counted by chance. */
START_TEST (test_none_heavy)
{
  static const struct Load loads[] = {
    { 19, 1000, 0.07, 0, 0, 32, false }, /* fewer requests than the noise */
    { 19, 100, 1, 0, 0, 32, false },     /* all are counted */
    { 19, 300, 3, 0, 0, 32, false },     /* more callers than are counted */
    /* 1 of 300 has a tenth: the error of the counts must not make it look heavy. */
    { 19, 300, 3, 1, 0.3, 32, false },
  };
  const struct Load *load = &loads[_i];
  struct Parts parts[VMS_MAX];

  run (load, 0.6, 5, parts);
  for (guint i = 0; i < load->vms; i++)
    {
      ck_assert_double_eq_tol (parts[i].small, 0.6, 0.03);
      ck_assert_double_eq_tol (parts[i].all, 0.6, 0.03);
      /* Callers that are all counted differ by chance, by their true requests at this VM. */
      ck_assert_double_ge (parts[i].lowest, load->small == 100 ? 0.2 : 0.5);
    }
  run (load, 1, 5, parts);
  ck_assert_double_eq (parts[0].all, 1);
  run (load, 0, 5, parts);
  ck_assert_double_eq (parts[0].all, 0);
}
END_TEST

/* A million addresses, as in a flood with forged ones.  Guards against memory that grows with them,
 * and against counts that are wrong by more than is stated. */
START_TEST (test_million_addresses)
{
  struct CfFairShare *fair = cf_fair_share_new (32);
  guint counted = 0;

  for (uint32_t i = 0; i < 1000000; i++)
    {
      cf_fair_share_record (fair, SMALL_IP + i, 1000);
      if (i % 100 == 0)
        cf_fair_share_record (fair, HEAVY_IP, 1000);
    }
  for (uint32_t i = 0; i < 1000000; i++)
    counted += cf_fair_share_use (fair, SMALL_IP + i, 1000) > 0;
  ck_assert_uint_lt (counted, CF_FAIR_SHARE_CALLERS);
  ck_assert_double_le (cf_fair_share_error (fair, 1000), 1010000.0 / CF_FAIR_SHARE_CALLERS);
  ck_assert_double_ge (cf_fair_share_use (fair, HEAVY_IP, 1000), 10000);
  ck_assert_double_le (cf_fair_share_use (fair, HEAVY_IP, 1000),
                       10000 + cf_fair_share_error (fair, 1000));
  cf_fair_share_free (fair);
}
END_TEST

/* A caller that has replaced another one in the table.  Guards against one that is held to requests
 * of the caller that it has replaced. */
START_TEST (test_newcomer)
{
  struct CfFairShare *fair = cf_fair_share_new (32);

  for (CfMillis now = 1000; now < 3000 * CF_MS_PER_S; now += 1000 * CF_MS_PER_S)
    {
      for (uint32_t i = 0; i < 10 * CF_FAIR_SHARE_CALLERS; i++)
        cf_fair_share_record (fair, SMALL_IP + i % CF_FAIR_SHARE_CALLERS, now);
      cf_fair_share_record (fair, HEAVY_IP, now);
      ck_assert_double_eq_tol (cf_fair_share_admitted (fair, HEAVY_IP, 0.6, now), 0.6, 1e-6);
      for (int i = 1; i < 80; i++)
        cf_fair_share_record (fair, HEAVY_IP, now);
      /* 1,360 requests, of which 40 are too many. */
      ck_assert_double_eq_tol (cf_fair_share_admitted (fair, HEAVY_IP, 1320.0 / 1360, now), 0.5,
                               1e-3);
    }
  /* What it took over decays with time, also if its entry stays in the table. */
  for (int i = 0; i < 100; i++)
    cf_fair_share_record (fair, HEAVY_IP, 4000 * CF_MS_PER_S);
  ck_assert_double_eq_tol (cf_fair_share_admitted (fair, HEAVY_IP, 0.5, 4000 * CF_MS_PER_S), 0.5,
                           1e-3);
  cf_fair_share_free (fair);
}
END_TEST

/* Time stands still, goes back a little and jumps by an hour.  Guards against counts that overflow
 * or never decay: a caller that was heavy an hour ago is admitted like others. */
START_TEST (test_time)
{
  struct CfFairShare *fair = cf_fair_share_new (32);
  CfMillis now = 5;

  ck_assert_double_eq (cf_fair_share_admitted (fair, HEAVY_IP, 0.6, now), 0.6);
  for (int round = 0; round < 3; round++, now += 3600 * CF_MS_PER_S)
    {
      for (uint32_t i = 0; i < 100; i++)
        {
          cf_fair_share_record (fair, SMALL_IP + i, now);
          cf_fair_share_record (fair, HEAVY_IP, now - i % 2);
        }
      ck_assert_double_eq_tol (cf_fair_share_use (fair, HEAVY_IP, now), 100, 1e-6);
      ck_assert_double_eq_tol (cf_fair_share_use (fair, HEAVY_IP, now + 2000), 50, 1e-6);
      ck_assert_double_eq (cf_fair_share_admitted (fair, SMALL_IP, 0.6, now), 1);
      ck_assert_double_eq_tol (cf_fair_share_admitted (fair, HEAVY_IP, 0.6, now), 0.2, 0.01);
      ck_assert_double_eq_tol (cf_fair_share_admitted (fair, HEAVY_IP, 0.6, now + 60000), 0.6,
                               1e-6);
    }
  cf_fair_share_free (fair);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fair share");

  suite_add_loop (suite, test_heavy, 6);
  suite_add_loop (suite, test_none_heavy, 4);
  suite_add_loop (suite, test_million_addresses, 1);
  suite_add_loop (suite, test_newcomer, 1);
  suite_add_loop (suite, test_time, 1);
  return suite_run (suite);
}
