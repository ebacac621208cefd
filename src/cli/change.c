#include "commands.h"
#include "objectstore/store.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

/* The commands that change the configuration through the platform. */

struct Arguments
{
  const char *platform;
  const char *words[2];
  int word_count;
  int words_needed;
  const char *usage;
  bool force;
  bool json;
};

#define OPTION_FORCE 1000

static const struct argp_option options[] = {
  { "platform", 'p', "URL", 0,
    "Base URL of the platform's object API [CYCLAMENFERRY_PLATFORM]; required", 0 },
  { "json", 'j', NULL, 0, "Print the result as a JSON object", 0 },
  { 0 },
};

static const struct argp_option domain_options[] = {
  { "platform", 'p', "URL", 0,
    "Base URL of the platform's object API [CYCLAMENFERRY_PLATFORM]; required", 0 },
  { "json", 'j', NULL, 0, "Print the result as a JSON object", 0 },
  { "force", OPTION_FORCE, NULL, 0, "Take out the last failure domain in service too", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct Arguments *arguments = state->input;

  switch (key)
    {
    case 'p':
      arguments->platform = arg;
      return 0;
    case 'j':
      arguments->json = true;
      return 0;
    case OPTION_FORCE:
      arguments->force = true;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->word_count == arguments->words_needed)
        return ARGP_ERR_UNKNOWN;
      arguments->words[arguments->word_count++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->word_count < arguments->words_needed)
        argp_error (state, "%s", arguments->usage);
      if (!arguments->platform)
        arguments->platform = getenv ("CYCLAMENFERRY_PLATFORM");
      if (!arguments->platform)
        argp_error (state, "--platform: missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
exit_status (const struct CfError *error)
{
  switch (error->code)
    {
    case CF_ERROR_NONE:
      return CF_EXIT_OK;
    case CF_ERROR_INPUT:
      return CF_EXIT_INPUT;
    case CF_ERROR_CONFLICT:
      return CF_EXIT_CONFLICT;
    case CF_ERROR_UNKNOWN:
      return CF_EXIT_UNKNOWN;
    case CF_ERROR_IO:
      return CF_EXIT_FAILURE;
    }
  return CF_EXIT_FAILURE;
}

/* Runs CHANGE against the platform and prints what came of it as WHAT. */
static int
run_change (const struct Arguments *arguments, CfChange *change, void *data, const char *what)
{
  struct CfHttpStore *http = cf_http_store_new (arguments->platform);
  char *apply_id = g_uuid_string_random ();
  struct CfStore store;
  struct CfConfig *result = NULL;
  struct CfError error = { 0 };
  bool done;

  cf_http_store_use (http, &store);
  done = cf_store_change (&store, change, data, apply_id, &result, &error);
  if (!done)
    fprintf (stderr, "cyclamenferry: %s\n", error.text);
  else if (arguments->json)
    printf ("{\"version\":%" PRIu64 ",\"digest\":\"%016" PRIx64 "\"}\n", result->version,
            result->digest);
  else
    printf ("%s: version %" PRIu64 " is accepted\n", what, result->version);
  cf_config_unref (result);
  cf_http_store_free (http);
  g_free (apply_id);
  return done ? CF_EXIT_OK : exit_status (&error);
}

static struct CfConfig *
change_folder (struct CfConfig *previous, uint64_t version, void *data, struct CfError *error)
{
  struct CfConfig *next
      = cf_config_derive (previous, data, version, g_get_real_time () / G_USEC_PER_SEC);

  (void) error;
  if (!previous || !cf_config_same_content (previous, next))
    return next;
  cf_config_unref (next);
  return cf_config_ref (previous);
}

int
cf_command_apply (int argc, char **argv)
{
  static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .args_doc = "DIR",
    .doc = "Checks the folder DIR and puts it in force everywhere.  Exits with 2 if the folder has "
           "faults, 3 if another change was first, 4 if the outcome is not known.",
  };
  struct Arguments arguments = { .words_needed = 1, .usage = "the folder is missing" };
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct CfConfig *folder;
  int status;

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  folder = cf_config_read_folder (arguments.words[0], faults);
  for (guint i = 0; i < faults->len; i++)
    fprintf (stderr, "%s\n", (const char *) faults->pdata[i]);
  g_ptr_array_unref (faults);
  if (!folder)
    return CF_EXIT_INPUT;
  status = run_change (&arguments, change_folder, folder, arguments.words[0]);
  cf_config_unref (folder);
  return status;
}

static struct CfConfig *
change_domain (struct CfConfig *previous, uint64_t version, void *data, struct CfError *error)
{
  const struct Arguments *arguments = data;

  if (!previous)
    {
      cf_error_set (error, CF_ERROR_INPUT, "the platform has no configuration yet");
      return NULL;
    }
  return cf_config_set_domain (previous, arguments->words[1],
                               strcmp (arguments->words[0], "in") == 0, arguments->force, version,
                               error);
}

static struct CfConfig *
change_drain (struct CfConfig *previous, uint64_t version, void *data, struct CfError *error)
{
  const struct Arguments *arguments = data;

  if (!previous)
    {
      cf_error_set (error, CF_ERROR_INPUT, "the platform has no configuration yet");
      return NULL;
    }
  return cf_config_set_drain (previous, arguments->words[1],
                              strcmp (arguments->words[0], "drain") == 0, version, error);
}

/* Returns true if the first word of ARGUMENTS is A or B. */
static bool
check_verb (const struct Arguments *arguments, const char *a, const char *b)
{
  if (strcmp (arguments->words[0], a) == 0 || strcmp (arguments->words[0], b) == 0)
    return true;
  fprintf (stderr, "cyclamenferry: '%s' is neither '%s' nor '%s'\n", arguments->words[0], a, b);
  return false;
}

int
cf_command_domain (int argc, char **argv)
{
  static const struct argp parser = {
    .options = domain_options,
    .parser = parse_option,
    .args_doc = "out|in NAME",
    .doc = "Takes failure domain NAME out of service, or back in.  Flows that end there are reset; "
           "no packet goes there any more within a few seconds.",
  };
  struct Arguments arguments
      = { .words_needed = 2, .usage = "'out' or 'in' and the failure domain's name are needed" };

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (!check_verb (&arguments, "out", "in"))
    return CF_EXIT_INPUT;
  return run_change (&arguments, change_domain, &arguments, arguments.words[1]);
}

int
cf_command_upstream (int argc, char **argv)
{
  static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .args_doc = "drain|undrain NAME",
    .doc = "Drains upstream NAME (it keeps its flows and gets no new ones), or lets it take new "
           "flows again.",
  };
  struct Arguments arguments
      = { .words_needed = 2, .usage = "'drain' or 'undrain' and the upstream's name are needed" };

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  if (!check_verb (&arguments, "drain", "undrain"))
    return CF_EXIT_INPUT;
  return run_change (&arguments, change_drain, &arguments, arguments.words[1]);
}
