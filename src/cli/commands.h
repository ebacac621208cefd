#ifndef CF_CLI_COMMANDS_H
#define CF_CLI_COMMANDS_H

/* The sub-commands.  Each gets its own name as argv[0], prints its result or one
 * line on standard error, and returns the exit status. */

enum CfExit
{
  CF_EXIT_OK = 0,
  CF_EXIT_FAILURE = 1,  /* a file, socket or service could not be used */
  CF_EXIT_INPUT = 2,    /* the operator's files or flags are wrong */
  CF_EXIT_CONFLICT = 3, /* another change was applied first, this one was not */
  CF_EXIT_UNKNOWN = 4,  /* whether the change took effect is not known */
};

int cf_command_serve (int argc, char **argv);
int cf_command_balance (int argc, char **argv);
int cf_command_check (int argc, char **argv);
int cf_command_apply (int argc, char **argv);
int cf_command_domain (int argc, char **argv);
int cf_command_upstream (int argc, char **argv);
int cf_command_status (int argc, char **argv);
int cf_command_explain (int argc, char **argv);

#endif
