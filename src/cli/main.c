#include "commands.h"

#include <argp.h>
#include <locale.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "cyclamenferry 0.1.0";

struct Command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
};

static const struct Command commands[] = {
  { "serve", cf_command_serve, "run the load balancer on an entry VM" },
  { "balance", cf_command_balance, "run the load balancer behind a fabric with flow cookies" },
  { "check", cf_command_check, "check a folder of configuration files" },
  { "apply", cf_command_apply,
    "put a folder of configuration files in force through the platform" },
  { "domain", cf_command_domain, "take a failure domain out of service, or back in" },
  { "upstream", cf_command_upstream, "drain an upstream, or let it take new flows again" },
  { "status", cf_command_status, "show the state of a running entry VM" },
  { "explain", cf_command_explain, "explain where a flow is sent and why" },
};

static void
print_usage (FILE *file)
{
  fprintf (file, "Usage: cyclamenferry COMMAND [ARGUMENT...]\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (file, "  %-9s %s\n", commands[i].name, commands[i].summary);
  fprintf (file, "\n\"cyclamenferry COMMAND --help\" lists the flags of a command.\n");
}

int
main (int argc, char **argv)
{
  setlocale (LC_ALL, "");
  if (sodium_init () < 0)
    {
      fprintf (stderr, "cyclamenferry: libsodium could not be initialised\n");
      return CF_EXIT_FAILURE;
    }
  if (argc < 2)
    {
      print_usage (stderr);
      return CF_EXIT_INPUT;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (stdout);
      return CF_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("%s\n", argp_program_version);
      return CF_EXIT_OK;
    }
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "cyclamenferry: there is no command '%s'\n", argv[1]);
  return CF_EXIT_INPUT;
}
