#include "commands.h"
#include "cf_config.h"

#include <argp.h>
#include <stdio.h>

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **dir = state->input;

  if (key == ARGP_KEY_ARG && !*dir)
    {
      *dir = arg;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    argp_error (state, "the folder to check is missing");
  return ARGP_ERR_UNKNOWN;
}

int
cf_command_check (int argc, char **argv)
{
  static const struct argp parser = {
    .parser = parse_option,
    .args_doc = "DIR",
    .doc = "Checks the configuration files *.conf in DIR and prints every fault.  Exits with 2 if "
           "there is any.",
  };
  const char *dir = NULL;
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct CfConfig *config;

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &dir);
  config = cf_config_read_folder (dir, faults);
  for (guint i = 0; i < faults->len; i++)
    fprintf (stderr, "%s\n", (const char *) faults->pdata[i]);
  g_ptr_array_unref (faults);
  if (!config)
    return CF_EXIT_INPUT;
  printf ("%s: %u services, %u upstreams, %u failure domains, %u VMs; no faults\n", dir,
          config->service_count, config->upstream_count, config->domain_count, config->vm_count);
  cf_config_unref (config);
  return CF_EXIT_OK;
}
