#ifndef CF_TEST_SUITE_H
#define CF_TEST_SUITE_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* What tests/run needs to run the tests of a program side by side, beside CK_RUN_CASE of check:
 *
 *   SUITE_LIST    print the name and the loop number of each test, one a line, and run none
 *   SUITE_LOOP=N  run each selected test with loop number N only */

/* Adds TEST as a test case of its own, run LOOPS times with _i from 0, so that
 * CK_RUN_CASE can select it by name. */
static inline void
suite_add_loop (Suite *suite, const TTest *test, int loops)
{
  TCase *group = tcase_create (test->name);
  const char *only = getenv ("SUITE_LOOP");
  int first = only ? atoi (only) : 0;
  int end = only ? first + 1 : loops;

  if (getenv ("SUITE_LIST"))
    for (int i = 0; i < loops; i++)
      printf ("%s %d\n", test->name, i);
  tcase_set_timeout (group, 0);
  tcase_add_loop_test (group, test, first, end);
  suite_add_tcase (suite, group);
}

/* Runs SUITE and returns the exit status of the program. */
static inline int
suite_run (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  int failed = 0;

  if (!getenv ("SUITE_LIST"))
    {
      setvbuf (stdout, NULL, _IOLBF, 0);
      srunner_run_all (runner, CK_NORMAL);
      failed = srunner_ntests_failed (runner);
    }
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
