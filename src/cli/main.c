#include "commands.h"
#include "runtime/process_setup.h"

#include <argp.h>
#include <locale.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VERSION "cyclamenferry 0.1.0"

struct Command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
  bool serves; /* runs until a signal, which it handles */
};

static const struct Command commands[] = {
  { "serve", cf_command_serve, "run the load balancer on an entry VM", true },
  { "balance", cf_command_balance, "run the load balancer behind a fabric with flow cookies",
    true },
  { "check", cf_command_check, "check a configuration before it is used", false },
  { "apply", cf_command_apply, "put a folder of configuration files in force through the platform",
    false },
  { "domain", cf_command_domain, "take a failure domain out of service, or back in", false },
  { "upstream", cf_command_upstream, "drain an upstream, or let it take new flows again", false },
  { "status", cf_command_status, "show the state of a running entry VM", false },
  { "explain", cf_command_explain, "explain where a flow is sent and why", false },
};

static void
print_usage (FILE *file)
{
  fprintf (file, "Usage: cyclamenferry COMMAND [ARGUMENT...]\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (file, "  %-9s %s\n", commands[i].name, commands[i].summary);
  fprintf (file, "\n\"cyclamenferry COMMAND --help\" lists the flags of a command.\n");
}

/* Runs before the constructors of the libraries, which take most of the time until main. */
static void (*const before_constructors) (void) __attribute__ ((section (".preinit_array"), used))
= cf_process_block_signals;

int
main (int argc, char **argv)
{
  const struct Command *command = NULL;

  cf_process_open_standard_files ();
  argp_program_version = VERSION;
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
      printf (VERSION "\n");
      return CF_EXIT_OK;
    }
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      command = &commands[i];
  if (!command)
    {
      fprintf (stderr, "cyclamenferry: there is no command '%s'\n", argv[1]);
      return CF_EXIT_INPUT;
    }
  if (command->serves)
    {
      cf_process_ignore_write_signals ();
      cf_process_set_thread_stack ();
    }
  else
    cf_process_unblock_signals ();
  return command->run (argc - 1, argv + 1);
}
