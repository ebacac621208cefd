#include "runtime/crash_report.h"
#include "suite.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* A process that ends by a fault of its own writes a last line that says where, also when its stack
 * is exhausted. */

#define TEXT_MAX 1024

/* Calls FUNC on a thread of a child process, and sets TEXT to the child's standard output.  Returns
 * the signal that ended the child. */
static int
run_child (GThreadFunc func, char *text)
{
  int out[2];
  int status;
  pid_t pid;
  ssize_t got;
  size_t len = 0;

  ck_assert_int_eq (pipe (out), 0);
  pid = fork ();
  if (pid == 0)
    {
      dup2 (out[1], STDOUT_FILENO);
      close (out[0]);
      cf_crash_report_install ("vm \"1\"");
      g_thread_join (g_thread_new ("child", func, NULL));
      _exit (0);
    }
  close (out[1]);
  while ((got = read (out[0], text + len, TEXT_MAX - 1 - len)) > 0)
    len += (size_t) got;
  text[len] = 0;
  close (out[0]);
  waitpid (pid, &status, 0);
  return WIFSIGNALED (status) ? WTERMSIG (status) : 0;
}

#ifndef __SANITIZE_ADDRESS__

static gpointer
abort_in_task (gpointer data)
{
  (void) data;
  cf_crash_report_enter ("feed");
  cf_crash_report_input ("announcement", "i-1\"\n");
  abort ();
}

static volatile int depth_limit = INT_MAX;

static int
recurse (volatile char *above, int depth)
{
  volatile char frame[4096];

  frame[0] = (char) (above[0] + 1);
  return depth < depth_limit ? recurse (frame, depth + 1) + frame[0] : frame[0];
}

static gpointer
exhaust_stack (gpointer data)
{
  char first = 0;

  (void) data;
  cf_crash_report_enter ("datapath");
  cf_crash_report_input ("packet", NULL);
  return GINT_TO_POINTER (recurse (&first, 0));
}

START_TEST (test_fault_is_reported)
{
  char text[TEXT_MAX];

  ck_assert_int_eq (run_child (abort_in_task, text), SIGABRT);
  ck_assert_ptr_nonnull (strstr (text,
                                 "\"vm\":\"vm ?1?\",\"event\":\"crashed\",\"signal\":\"SIGABRT\","
                                 "\"task\":\"feed\",\"last_input\":\"announcement\","
                                 "\"input_name\":\"i-1??\"}\n"));
}
END_TEST

START_TEST (test_exhausted_stack_is_reported)
{
  char text[TEXT_MAX];

  ck_assert_int_eq (run_child (exhaust_stack, text), SIGSEGV);
  ck_assert_ptr_nonnull (strstr (text, "\"signal\":\"SIGSEGV\",\"task\":\"datapath\","
                                       "\"last_input\":\"packet\",\"input_name\":\"\"}\n"));
}
END_TEST

#endif

static gpointer
return_from_task (gpointer data)
{
  cf_crash_report_enter ("feed");
  cf_crash_report_leave ();
  return data;
}

START_TEST (test_usual_end_writes_nothing)
{
  char text[TEXT_MAX];

  ck_assert_int_eq (run_child (return_from_task, text), 0);
  ck_assert_str_eq (text, "");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("crash_report");

#ifndef __SANITIZE_ADDRESS__
  suite_add_loop (suite, test_fault_is_reported, 1);
  suite_add_loop (suite, test_exhausted_stack_is_reported, 1);
#endif
  suite_add_loop (suite, test_usual_end_writes_nothing, 1);
  return suite_run (suite);
}
