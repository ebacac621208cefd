#include "gued/server.h"
#include "gued/source_messages.h"
#include "silent_server.h"
#include "suite.h"

#include <string.h>

/* The platform task of the GUE form, on the test's thread, beside a platform whose connections go
 * silent, or whose answers are none to what was asked. */

#define WAIT_S 10
/* A change has to be in force everywhere in this time; the VMs that do not watch the platform still
 * have to learn of it from those that do. */
#define IN_FORCE_MS 4000
#define PACE_MS 1000       /* for which calls are counted */
#define PACED_CALLS_MAX 10 /* in that time: one each 100 ms */

struct Play
{
  struct CfServer server;
  struct CfTaskClass packet_class; /* without a core */
  struct SilentServer platform;
  bool immediate; /* reads do not wait */
  int reads;      /* of the configuration, guarded by the platform's mutex */
};

/* A list of VMs and a configuration that never changes. */
static GBytes *
answer (void *data, struct SilentRequest *request)
{
  struct Play *play = data;

  if (!strstr (request->path, "/objects/config"))
    return g_bytes_new_static ("[]", 2);
  if (!play->immediate && strstr (request->head, "If-None-Match"))
    return NULL;
  play->reads++;
  return g_bytes_new_static ("[fleet]\n", 8);
}

static int
read_count (struct Play *play)
{
  int reads;

  g_mutex_lock (&play->platform.mutex);
  reads = play->reads;
  g_mutex_unlock (&play->platform.mutex);
  return reads;
}

static void
start (struct Play *play)
{
  struct CfTask *task = &play->server.source;
  struct CfError error = { 0 };

  play->platform.answer = answer;
  play->platform.data = play;
  silent_server_start (&play->platform, NULL, 0);
  play->server.settings.platform = g_strdup_printf ("http://127.0.0.1:%u", play->platform.tcp.port);
  /* It is not started: messages to it are kept and freed with it. */
  play->packet_class = cf_packet_task;
  play->packet_class.create = NULL;
  play->packet_class.destroy = NULL;
  cf_task_prepare (&play->server.packet, &play->packet_class, NULL);
  cf_task_prepare (task, &cf_platform_task, &play->server);
  g_main_context_push_thread_default (task->context);
  ck_assert_msg (cf_platform_task.start (task, task->data, &error), "%s", error.text);
  g_atomic_int_set (&task->running, 1);
  cf_task_post (task, CF_TO_SOURCE_WATCH, GINT_TO_POINTER (true));
}

static void
stop (struct Play *play)
{
  struct CfTask *task = &play->server.source;

  g_atomic_int_set (&task->running, 0);
  cf_platform_task.stop (task, task->data);
  while (g_main_context_iteration (task->context, FALSE))
    ;
  g_main_context_pop_thread_default (task->context);
  cf_task_finish (task);
  cf_task_finish (&play->server.packet);
  silent_server_stop (&play->platform);
  g_free ((char *) play->server.settings.platform);
}

static gboolean
set_true (gpointer flag)
{
  *(bool *) flag = true;
  return G_SOURCE_REMOVE;
}

/* Returns a flag that becomes true after MS, on the clock and the loop that the task has. */
static void
start_timer (struct Play *play, guint ms, bool *over)
{
  GSource *timer = g_timeout_source_new (ms);

  *over = false;
  g_source_set_callback (timer, set_true, over, NULL);
  g_source_attach (timer, play->server.source.context);
  g_source_unref (timer);
}

/* The connections of all watches went silent: a change was noticed up to 23 s later. */
START_TEST (test_silent_watch_is_replaced_in_time)
{
  struct Play play = { .platform.headers = "ETag: \"1\"\r\n" };
  gint64 end = g_get_monotonic_time () + WAIT_S * G_TIME_SPAN_SECOND;
  bool over;

  start (&play);
  while (!silent_server_has_waiting (&play.platform, "/objects/config"))
    {
      ck_assert_msg (g_get_monotonic_time () < end, "no watch after %d s", WAIT_S);
      g_main_context_iteration (play.server.source.context, TRUE);
    }
  ck_assert_int_eq (read_count (&play), 1);
  silent_server_silence (&play.platform, NULL);
  start_timer (&play, IN_FORCE_MS, &over);
  while (!over && read_count (&play) == 1)
    g_main_context_iteration (play.server.source.context, TRUE);
  ck_assert_int_gt (read_count (&play), 1);
  ck_assert_int_eq (silent_server_on_silent (&play.platform), 0);
  stop (&play);
}
END_TEST

static const struct
{
  const char *status;
  const char *headers;
} idle_answers[] = {
  { "304 Not Modified", NULL }, /* although nothing is known that could be unmodified */
  { "304 Not Modified", "ETag: \"1\"\r\n" },
  { "200 OK", "ETag: \"1\"\r\n" }, /* the known version, at once */
};

/* A platform that answers a read at once and without a change was called again at once, thousands
 * of times a second: "not modified" was taken for the end of a wait, whatever had been asked. */
START_TEST (test_answer_without_change_is_no_end_of_wait)
{
  struct Play play = {
    .immediate = true,
    .platform = { .status = idle_answers[_i].status, .headers = idle_answers[_i].headers },
  };
  bool over;

  start (&play);
  start_timer (&play, PACE_MS, &over);
  while (!over)
    g_main_context_iteration (play.server.source.context, TRUE);
  ck_assert_int_gt (read_count (&play), 1);
  ck_assert_int_le (read_count (&play), PACED_CALLS_MAX);
  stop (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform task");

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR);
  cf_task_register_types ();
  suite_add_loop (suite, test_silent_watch_is_replaced_in_time, 1);
  suite_add_loop (suite, test_answer_without_change_is_no_end_of_wait, G_N_ELEMENTS (idle_answers));
  return suite_run (suite);
}
