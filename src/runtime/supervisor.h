#ifndef CF_RUNTIME_SUPERVISOR_H
#define CF_RUNTIME_SUPERVISOR_H

#include "task.h"

/* The supervisor of a daemon: starts its tasks, turns signals into messages, and stops the tasks in
 * reverse order.  A task that fails is started again by its own thread. */

struct CfChild
{
  struct CfTask *task;
  const struct CfTaskClass *class;
};

/* Has STOP called with DATA on SIGTERM and SIGINT, and RELOAD on SIGHUP, by the default main
 * context, and unblocks these signals.  One that came before is handled then. */
void cf_supervisor_handle_signals (GSourceFunc stop, GSourceFunc reload, void *data);

/* Runs COUNT CHILDREN of OWNER until LOOP ends.  Returns false with ERROR if the system has no
 * threads left. */
bool cf_supervisor_run (const struct CfChild *children,
                        size_t count,
                        void *owner,
                        GMainLoop *loop,
                        struct CfError *error);

#endif
