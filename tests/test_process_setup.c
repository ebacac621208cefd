#include "runtime/process_setup.h"
#include "suite.h"

#include <signal.h>

static int handled;

static void
count (int signal)
{
  (void) signal;
  handled++;
}

/* The default action of a signal that comes before its handler is installed ends the process. */
START_TEST (test_signal_before_handler_ends_process)
{
  static const int signals[] = { SIGHUP, SIGTERM, SIGINT };
  struct sigaction action = { .sa_handler = count };

  handled = 0;
  cf_process_block_signals ();
  raise (signals[_i]);
  sigaction (signals[_i], &action, NULL);
  cf_process_unblock_signals ();
  ck_assert_int_eq (handled, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("process setup");

  suite_add_loop (suite, test_signal_before_handler_ends_process, 3);
  return suite_run (suite);
}
