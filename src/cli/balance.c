#include "commands.h"
#include "balancer/balancer.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const struct argp_option options[] = {
  { "boot", 'b', "FILE", 0, "Settings of this VM, a key file [CYCLAMENFERRY_BOOT]; required", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **path = state->input;

  if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument '%s'", arg);
  if (key != 'b')
    return ARGP_ERR_UNKNOWN;
  *path = arg;
  return 0;
}

int
cf_command_balance (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Runs an entry VM behind a fabric whose packets carry flow cookies.",
          NULL,    NULL,
          NULL };
  const char *path = getenv ("CYCLAMENFERRY_BOOT");
  struct CfError error = { 0 };

  if (argp_parse (&argp, argc, argv, 0, NULL, &path) != 0)
    return CF_EXIT_INPUT;
  if (!path)
    {
      fprintf (stderr, "cyclamenferry balance: --boot is missing\n");
      return CF_EXIT_INPUT;
    }
  if (!cf_balancer_run (path, &error))
    {
      fprintf (stderr, "cyclamenferry balance: %s\n", error.text);
      cf_event_log_write_early ("", "start-failed",
                                (struct CfField[]){
                                    { .key = "fault", .text = error.text },
                                    { 0 },
                                });
      return error.code == CF_ERROR_INPUT ? CF_EXIT_INPUT : CF_EXIT_FAILURE;
    }
  return CF_EXIT_OK;
}
