#ifndef CF_RUNTIME_TASK_H
#define CF_RUNTIME_TASK_H

#include "cf_types.h"

#include <gio/gio.h>

/* A task: a thread with a main context of its own.  A task owns its sockets and its
 * state; other threads reach it only by posting messages. */

struct CfTask;

/* How a task handles one kind of message. */
struct CfMessageHandler
{
  /* Gets the task's data.  NULL: the message is ignored. */
  void (*handle) (void *data, void *message);
  /* Frees the message once it is handled, or cannot be.  NULL: it holds nothing, or the handler
   * passes it on. */
  GDestroyNotify free;
};

struct CfTaskClass
{
  const char *name;
  /* Of each kind of message.  The kinds and what they hold are declared by the header of the task's
   * messages. */
  const struct CfMessageHandler *handlers;
  size_t handler_count;
  /* Returns the task's state for its OWNER, the daemon.  NULL: the owner is the state. */
  void *(*create) (void *owner);
  /* Frees it after the last stop.  NULL: nothing is to be freed. */
  void (*destroy) (void *data);
  /* Opens the task's sockets and adds its sources to the thread-default context.  Returns false
   * with ERROR filled in if that failed; the task is then restarted after an exponential delay. */
  bool (*start) (struct CfTask *task, void *data, struct CfError *error);
  /* Releases what start opened.  Also called after a failed start. */
  void (*stop) (struct CfTask *task, void *data);
};

struct CfTask
{
  const struct CfTaskClass *class;
  void *data;
  GThread *thread;
  GMainContext *context;
  GMainLoop *loop;
  int quit;     /* atomic */
  int restarts; /* atomic */
  int running;  /* atomic: it has started, so that messages are delivered */
};

/* Registers the types that several tasks use, before there are threads: GIO 2.74 can
 * deadlock when two threads register a type and its parent at the same time. */
void cf_task_register_types (void);

/* Prepares TASK of CLASS for OWNER.  From now on messages can be posted to it. */
void cf_task_prepare (struct CfTask *task, const struct CfTaskClass *class, void *owner);

/* Starts the thread of TASK.  Returns false with ERROR if none can be created within 2 s. */
bool cf_task_start (struct CfTask *task, struct CfError *error);

/* Stops TASK and waits for its thread.  Messages can still be posted. */
void cf_task_stop (struct CfTask *task);

/* Releases TASK, the messages that were not delivered, and its state. */
void cf_task_finish (struct CfTask *task);

/* Returns true if TASK has started: messages to it are handled now.  Those to a task that could not
 * start yet wait until it has. */
bool cf_task_is_running (const struct CfTask *task);

/* Has TASK handle a message of KIND on its own thread.  TASK owns CONTENT from now on.  Messages of
 * one sender arrive in order. */
void cf_task_post (struct CfTask *task, unsigned kind, void *content);

/* Adds a timer that calls FUNC with the task's data every INTERVAL_MS.  To be called from start. */
GSource *cf_task_timer (struct CfTask *task, guint interval_ms, GSourceFunc func);

/* Returns the value of KEY in TABLE, which frees its values with g_free.  If there is none it is
 * created: SIZE bytes of 0. */
void *cf_table_get (GHashTable *table, uint32_t key, size_t size);

/* Destroys and releases *SOURCE, which may be NULL. */
void cf_task_source_clear (GSource **source);

#endif
