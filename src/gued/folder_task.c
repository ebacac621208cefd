#include "server.h"
#include "packet_messages.h"
#include "source_messages.h"
#include "runtime/log.h"

#include <glib/gstdio.h>
#include <string.h>

/* The folder task reads the operators' folder at start, on SIGHUP and when a file
 * changes.  A folder with faults is reported and not used. */

#define POLL_MS 1000

struct FolderTask
{
  struct CfServer *server;
  GSource *timer;
  uint64_t signature; /* of the files' names, sizes and times */
};

static uint64_t
folder_signature (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  uint64_t signature = 1;
  const char *name;

  if (!dir)
    return 0;
  while ((name = g_dir_read_name (dir)))
    {
      char *file = g_build_filename (path, name, NULL);
      GStatBuf status;

      if (g_stat (file, &status) == 0)
        signature += (g_str_hash (name) + 1ULL)
                     * ((uint64_t) status.st_mtim.tv_sec * 1000003
                        + (uint64_t) status.st_mtim.tv_nsec + (uint64_t) status.st_size * 31);
      g_free (file);
    }
  g_dir_close (dir);
  return signature;
}

static void
read_folder (struct FolderTask *task)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct CfConfig *config = cf_config_read_folder (task->server->settings.config_dir, faults);

  for (guint i = 0; i < faults->len; i++)
    cf_log_warning ("CONFIG", "fault", "%s", (const char *) faults->pdata[i]);
  if (config)
    cf_task_post (&task->server->packet, CF_TO_PACKET_FOLDER, config);
  else
    cf_log_warning ("CONFIG", "fault",
                    "the folder has faults; keeping the last valid configuration");
  g_ptr_array_unref (faults);
}

static gboolean
poll_folder (gpointer data)
{
  struct FolderTask *task = data;
  uint64_t signature = folder_signature (task->server->settings.config_dir);

  if (signature != task->signature)
    {
      task->signature = signature;
      read_folder (task);
    }
  return G_SOURCE_CONTINUE;
}

static bool
start (struct CfTask *base, void *data, struct CfError *error)
{
  struct FolderTask *task = data;

  (void) error;
  task->signature = 0;
  poll_folder (task);
  task->timer = cf_task_timer (base, POLL_MS, poll_folder);
  return true;
}

static void
stop (struct CfTask *base, void *data)
{
  struct FolderTask *task = data;

  (void) base;
  cf_task_source_clear (&task->timer);
}

static void
reload (void *data, void *message)
{
  (void) message;
  read_folder (data);
}

static void *
create (void *owner)
{
  struct FolderTask *task = g_new0 (struct FolderTask, 1);

  task->server = owner;
  return task;
}

static const struct CfMessageHandler handlers[CF_TO_SOURCE_KINDS] = {
  [CF_TO_SOURCE_RELOAD] = { reload, NULL },
  [CF_TO_SOURCE_STATUS] = { NULL, g_free },
};

const struct CfTaskClass cf_folder_task = {
  .name = "folder",
  .handlers = handlers,
  .handler_count = G_N_ELEMENTS (handlers),
  .create = create,
  .destroy = g_free,
  .start = start,
  .stop = stop,
};
