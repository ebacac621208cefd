#include "bench.h"

#include <stdio.h>
#include <stdlib.h>

static int missed;

void
bench_bound (const char *name, double value, double bound)
{
  if (value <= bound)
    return;
  printf ("MISSED: %s is %.1f, target %.1f\n", name, value, bound);
  missed++;
}

int
main (void)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  bench_packets ();
  bench_requests ();
  bench_scaling ();
  bench_balance ();
  bench_scenarios ();
  bench_domain_outage ();
  bench_production_size ();
  printf ("\n%d targets missed\n", missed);
  return missed ? EXIT_FAILURE : EXIT_SUCCESS;
}
