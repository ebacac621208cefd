#include "bench.h"

#include <stdio.h>
#include <stdlib.h>

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
  printf ("\n%d targets missed\n", bench_missed ());
  return bench_missed () ? EXIT_FAILURE : EXIT_SUCCESS;
}
