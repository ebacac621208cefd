#include "commands.h"
#include "check/check.h"

#include <argp.h>
#include <stdio.h>

#define OPTION_AGAINST_STORE 1000
#define OPTION_STRICT 1001

struct Arguments
{
  const char *paths[CF_CHECK_INPUTS_MAX];
  guint path_count;
  const char *against;
  const char *store;
  bool json;
  bool strict;
};

static const struct argp_option options[] = {
  { "against", 'a', "FILE|DIR", 0, "Print the difference from the version in force", 0 },
  { "against-store", OPTION_AGAINST_STORE, "IP:PORT", 0,
    "The same from the manifest in the platform's store", 0 },
  { "json", 'j', NULL, 0, "Print the findings as a JSON object", 0 },
  { "strict", OPTION_STRICT, NULL, 0, "Exit with 1 if there are warnings", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct Arguments *arguments = state->input;

  switch (key)
    {
    case 'a':
      arguments->against = arg;
      return 0;
    case OPTION_AGAINST_STORE:
      arguments->store = arg;
      return 0;
    case 'j':
      arguments->json = true;
      return 0;
    case OPTION_STRICT:
      arguments->strict = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->path_count == CF_CHECK_INPUTS_MAX)
        return ARGP_ERR_UNKNOWN;
      arguments->paths[arguments->path_count++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->path_count == 0)
        argp_error (state, "the folder or file to check is missing");
      if (arguments->against && arguments->store)
        argp_error (state, "--against and --against-store exclude each other");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Reads the inputs that ARGUMENTS name.  What cannot be read is an error in FINDINGS. */
static void
read_inputs (const struct Arguments *arguments,
             struct CfCheckInputs *inputs,
             struct CfFindings *findings)
{
  for (guint i = 0; i < arguments->path_count; i++)
    {
      struct CfSource *input = &inputs->inputs[inputs->count];
      bool repeated = false;

      if (!cf_source_read (input, arguments->paths[i], findings))
        continue;
      for (guint j = 0; j < inputs->count; j++)
        repeated |= inputs->inputs[j].kind == input->kind;
      if (repeated)
        {
          cf_findings_add (findings, CF_SEVERITY_ERROR, "unreadable", input->name, NULL,
                           "another input is of the same kind");
          cf_source_clear (input);
        }
      else
        inputs->count++;
    }
}

static int
print (const struct Arguments *arguments,
       const struct CfFindings *findings,
       const char *summary,
       bool compared)
{
  bool errors = findings->counts[CF_SEVERITY_ERROR] > 0;
  char *text = arguments->json ? cf_findings_json (findings) : cf_findings_text (findings);

  /* Errors are for the one who runs the command, whatever reads its output. */
  fputs (text, errors && !arguments->json ? stderr : stdout);
  if (arguments->json)
    fputc ('\n', stdout);
  else if (summary && !errors && !compared)
    printf ("%s\n", summary);
  g_free (text);
  if (errors)
    return CF_EXIT_INPUT;
  return arguments->strict && findings->counts[CF_SEVERITY_WARNING] > 0 ? CF_EXIT_FAILURE
                                                                        : CF_EXIT_OK;
}

int
cf_command_check (int argc, char **argv)
{
  static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .args_doc = "DIR|FILE...",
    .doc = "Checks a folder of configuration files *.conf, a manifest (a JSON file) or a settings "
           "file of the command balance before it is used, or one of each together, and prints all "
           "that is wrong, has no effect or contradicts itself.  Exits with 2 if there are errors.",
  };
  struct Arguments arguments = { 0 };
  struct CfCheckInputs inputs = { 0 };
  struct CfSource in_force = { 0 };
  struct CfFindings findings;
  char *summary;
  bool compared;
  int status;

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  cf_findings_init (&findings);
  read_inputs (&arguments, &inputs, &findings);
  compared = arguments.against || arguments.store;
  if ((arguments.against && cf_source_read (&in_force, arguments.against, &findings))
      || (arguments.store && cf_source_read_store (&in_force, arguments.store, &findings)))
    inputs.in_force = &in_force;
  summary = cf_check_run (&inputs, &findings);
  status = print (&arguments, &findings, summary, compared);
  g_free (summary);
  for (guint i = 0; i < inputs.count; i++)
    cf_source_clear (&inputs.inputs[i]);
  cf_source_clear (&in_force);
  cf_findings_clear (&findings);
  return status;
}
