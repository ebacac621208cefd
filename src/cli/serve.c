#include "commands.h"
#include "gued/server.h"

#include <stdio.h>

/* A folder may be half written when the process starts. */
#define FOLDER_WAIT_MS 3000
#define FOLDER_RETRY_MS 100

/* Checks the folder PATH for faults, again until FOLDER_WAIT_MS have passed.  Prints the faults if
 * they remain. */
static bool
check_folder (const char *path)
{
  gint64 until = g_get_monotonic_time () + FOLDER_WAIT_MS * G_TIME_SPAN_MILLISECOND;

  for (;;)
    {
      GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
      struct CfConfig *config = cf_config_read_folder (path, faults);
      bool last = config || g_get_monotonic_time () >= until;

      for (guint i = 0; last && i < faults->len; i++)
        fprintf (stderr, "%s\n", (const char *) faults->pdata[i]);
      g_ptr_array_unref (faults);
      if (config)
        cf_config_unref (config);
      if (last)
        return config != NULL;
      g_usleep (FOLDER_RETRY_MS * G_TIME_SPAN_MILLISECOND);
    }
}

int
cf_command_serve (int argc, char **argv)
{
  struct CfSettings settings;
  struct CfError error = { 0 };

  if (!cf_settings_parse (&settings, argc, argv, &error))
    {
      fprintf (stderr, "cyclamenferry serve: %s\n", error.text);
      return CF_EXIT_INPUT;
    }
  if (settings.config_dir && !check_folder (settings.config_dir))
    return CF_EXIT_INPUT;
  if (!cf_server_run (&settings, &error))
    {
      fprintf (stderr, "cyclamenferry serve: %s\n", error.text);
      return CF_EXIT_FAILURE;
    }
  return CF_EXIT_OK;
}
