#include "commands.h"
#include "serve/server.h"

#include <stdio.h>

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
  if (settings.config_dir)
    {
      GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
      struct CfConfig *config = cf_config_read_folder (settings.config_dir, faults);

      for (guint i = 0; i < faults->len; i++)
        fprintf (stderr, "%s\n", (const char *) faults->pdata[i]);
      g_ptr_array_unref (faults);
      if (!config)
        return CF_EXIT_INPUT;
      cf_config_unref (config);
    }
  if (!cf_server_run (&settings, &error))
    {
      fprintf (stderr, "cyclamenferry serve: %s\n", error.text);
      return CF_EXIT_FAILURE;
    }
  return CF_EXIT_OK;
}
