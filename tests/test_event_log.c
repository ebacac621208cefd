#include "runtime/event_log.h"
#include "suite.h"

#include <json-glib/json-glib.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* Neither the reader of the log nor the texts in it may stop the process. */

#define LINES 2000 /* more than a pipe holds */
#define END_MAX_S 5

/* A process whose log was not read did not end. */
START_TEST (test_unread_log_does_not_keep_process)
{
  int out[2];
  int status = 0;
  pid_t pid;
  pid_t ended = 0;

  ck_assert_int_eq (pipe (out), 0);
  pid = fork ();
  if (pid == 0)
    {
      struct CfEventLog *log;

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (out[1], STDOUT_FILENO);
      log = cf_event_log_new ("vm-1");
      for (int i = 0; i < LINES; i++)
        cf_event_log_write (log, "event", (struct CfField[]){ { 0 } });
      sleep (1);
      cf_event_log_free (log);
      _exit (0);
    }
  for (int i = 0; i < END_MAX_S * 10 && ended == 0; i++)
    {
      g_usleep (G_USEC_PER_SEC / 10);
      ended = waitpid (pid, &status, WNOHANG);
    }
  kill (pid, SIGKILL);
  ck_assert_int_eq (ended, pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}
END_TEST

/* A text that is not UTF-8 made its line unreadable, and a long one took a megabyte for a line. */
START_TEST (test_any_text_gives_a_short_valid_line)
{
  static char text[65536];
  char *texts[] = { (char *) "a\xff\xc3\"\n", g_strnfill (1048576, 'a') };
  JsonParser *parser = json_parser_new ();
  int out[2];
  ssize_t len;

  ck_assert_int_eq (pipe (out), 0);
  fflush (stdout);
  if (fork () == 0)
    {
      dup2 (out[1], STDOUT_FILENO);
      cf_event_log_write_early ("vm-1", "event",
                                (struct CfField[]){ { .key = "name", .text = texts[_i] }, { 0 } });
      _exit (0);
    }
  wait (NULL);
  len = read (out[0], text, sizeof text);
  ck_assert_int_gt (len, 0);
  ck_assert_int_lt (len, 2048);
  ck_assert_int_eq (text[len - 1], '\n');
  ck_assert (g_utf8_validate (text, len, NULL));
  ck_assert (json_parser_load_from_data (parser, text, len, NULL));
  g_object_unref (parser);
  g_free (texts[1]);
}
END_TEST

START_TEST (test_message_after_the_end_uses_no_freed_log)
{
  int status = 0;
  pid_t pid = fork ();

  if (pid == 0)
    {
      struct CfEventLog *log = cf_event_log_new ("vm-1");

      cf_event_log_capture_glib (log);
      cf_event_log_free (log);
      g_message ("late");
      _exit (0);
    }
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("event_log");

  suite_add_loop (suite, test_unread_log_does_not_keep_process, 1);
  suite_add_loop (suite, test_any_text_gives_a_short_valid_line, 2);
  suite_add_loop (suite, test_message_after_the_end_uses_no_freed_log, 1);
  return suite_run (suite);
}
