#include "bench.h"

#include <stdio.h>

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
bench_missed (void)
{
  return missed;
}
