#include "runtime/task.h"
#include "suite.h"

#define STARTS 9
#define GAP_MAX_MS 3000

struct Counter
{
  gint64 at_ms[STARTS];
  int starts; /* atomic */
};

static bool
fail_to_start (struct CfTask *task, void *data, struct CfError *error)
{
  struct Counter *counter = data;
  int n = g_atomic_int_add (&counter->starts, 1);

  (void) task;
  if (n < STARTS)
    counter->at_ms[n] = g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
  return cf_error_set (error, CF_ERROR_IO, "the port is taken");
}

static void
stop (struct CfTask *task, void *data)
{
  (void) task;
  (void) data;
}

/* A port that was taken for some seconds must not keep a task waiting long after it is free. */
START_TEST (test_start_is_retried_ever_more_rarely)
{
  static const struct CfTaskClass class = { .name = "test", .start = fail_to_start, .stop = stop };
  struct Counter counter = { 0 };
  struct CfTask task;
  gint64 gap;

  cf_task_prepare (&task, &class, &counter);
  ck_assert (cf_task_start (&task, NULL));
  while (g_atomic_int_get (&counter.starts) < STARTS)
    g_usleep (20000);
  cf_task_stop (&task);
  cf_task_finish (&task);
  /* The shorter of the last two, since the machine may be busy. */
  gap = MIN (counter.at_ms[STARTS - 1] - counter.at_ms[STARTS - 2],
             counter.at_ms[STARTS - 2] - counter.at_ms[STARTS - 3]);
  ck_assert_msg (gap < GAP_MAX_MS, "%" G_GINT64_FORMAT " ms between two starts", gap);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("task");

  suite_add_loop (suite, test_start_is_retried_ever_more_rarely, 1);
  return suite_run (suite);
}
