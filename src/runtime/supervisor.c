#include "supervisor.h"
#include "process_setup.h"

#include <glib-unix.h>

void
cf_supervisor_handle_signals (GSourceFunc stop, GSourceFunc reload, void *data)
{
  g_unix_signal_add (SIGTERM, stop, data);
  g_unix_signal_add (SIGINT, stop, data);
  g_unix_signal_add (SIGHUP, reload, data);
  cf_process_unblock_signals ();
}

bool
cf_supervisor_run (const struct CfChild *children,
                   size_t count,
                   void *owner,
                   GMainLoop *loop,
                   struct CfError *error)
{
  bool ok = true;

  /* A task may post to any other as soon as it runs, so all states and contexts exist before the
   * first thread starts its work. */
  for (size_t i = 0; i < count; i++)
    cf_task_prepare (children[i].task, children[i].class, owner);
  for (size_t i = 0; i < count && ok; i++)
    ok = cf_task_start (children[i].task, error);
  if (ok)
    g_main_loop_run (loop);
  for (size_t i = count; i > 0; i--)
    cf_task_stop (children[i - 1].task);
  for (size_t i = count; i > 0; i--)
    cf_task_finish (children[i - 1].task);
  return ok;
}
