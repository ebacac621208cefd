#include "commands.h"
#include "cf_types.h"
#include "base/json_text.h"
#include "base/http_call.h"

#include <argp.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The commands that query a running entry VM over its admin endpoint. */

#define ADMIN_DEADLINE_MS 5000
#define ADMIN_DEFAULT "http://127.0.0.1:6083"

struct Arguments
{
  const char *admin;
  const char *caller;
  const char *service;
  const char *protocol;
  bool json;
  bool metrics;
  bool explain;
};

static const struct argp_option status_options[] = {
  { "admin", 'a', "URL", 0,
    "Admin endpoint of the VM [CYCLAMENFERRY_ADMIN_URL]; default " ADMIN_DEFAULT, 0 },
  { "json", 'j', NULL, 0, "Print the JSON document unchanged", 0 },
  { "metrics", 'm', NULL, 0, "Print the metrics in Prometheus text format instead", 0 },
  { 0 },
};

static const struct argp_option explain_options[] = {
  { "admin", 'a', "URL", 0,
    "Admin endpoint of the VM [CYCLAMENFERRY_ADMIN_URL]; default " ADMIN_DEFAULT, 0 },
  { "json", 'j', NULL, 0, "Print a JSON object with the lines of the explanation", 0 },
  { "udp", 'u', NULL, 0, "The flow is UDP; default TCP", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct Arguments *arguments = state->input;

  switch (key)
    {
    case 'a':
      arguments->admin = arg;
      return 0;
    case 'j':
      arguments->json = true;
      return 0;
    case 'm':
      arguments->metrics = true;
      return 0;
    case 'u':
      arguments->protocol = "udp";
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->explain && !arguments->caller)
        arguments->caller = arg;
      else if (arguments->explain && !arguments->service)
        arguments->service = arg;
      else
        return ARGP_ERR_UNKNOWN;
      return 0;
    case ARGP_KEY_END:
      if (arguments->explain && !arguments->service)
        argp_error (state, "the addresses of the caller and the service are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Returns the body of the response to a GET of URL, or NULL with ERROR set. */
static char *
fetch (const char *url, struct CfError *error)
{
  SoupSession *session = soup_session_new ();
  SoupMessage *message = soup_message_new ("GET", url);
  GError *gerror = NULL;
  GBytes *body = NULL;
  char *text = NULL;

  if (!message)
    cf_error_set (error, CF_ERROR_INPUT, "'%s' is not a URL", url);
  else
    body = cf_http_fetch_wait (session, message, ADMIN_DEADLINE_MS, &gerror);
  if (body)
    {
      gsize len;
      const char *data = g_bytes_get_data (body, &len);

      text = g_strndup (data, len);
      if (soup_message_get_status (message) != SOUP_STATUS_OK)
        {
          cf_error_set (error, CF_ERROR_INPUT, "%s: %s", url, g_strchomp (text));
          g_clear_pointer (&text, g_free);
        }
      g_bytes_unref (body);
    }
  if (gerror)
    cf_error_set (error, CF_ERROR_IO, "%s: %s", url, gerror->message);
  g_clear_error (&gerror);
  g_clear_object (&message);
  g_object_unref (session);
  return text;
}

static char *
query_admin (const struct Arguments *arguments, const char *path)
{
  const char *admin = arguments->admin ? arguments->admin : getenv ("CYCLAMENFERRY_ADMIN_URL");
  char *url = g_strconcat (admin ? admin : ADMIN_DEFAULT, path, NULL);
  struct CfError error = { 0 };
  char *text = fetch (url, &error);

  if (!text)
    fprintf (stderr, "cyclamenferry: %s\n", error.text);
  g_free (url);
  return text;
}

static const char *
get_string (JsonObject *object, const char *key)
{
  return json_object_get_string_member_with_default (object, key, "");
}

static gint64
get_number (JsonObject *object, const char *key)
{
  return json_object_get_int_member_with_default (object, key, 0);
}

static bool
get_boolean (JsonObject *object, const char *key)
{
  return json_object_get_boolean_member_with_default (object, key, FALSE);
}

static void
print_members (JsonArray *members)
{
  printf ("%-16s %-24s %-8s %-6s %8s %8s\n", "VM", "address", "state", "alive", "version",
          "buckets");
  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      JsonObject *member = json_array_get_object_element (members, i);

      printf ("%-16s %-24s %-8s %-6s %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT "\n",
              get_string (member, "name"), get_string (member, "address"),
              get_string (member, "state"), get_boolean (member, "alive") ? "yes" : "no",
              get_number (member, "config_version"), get_number (member, "buckets"));
    }
}

static void
print_upstreams (JsonArray *upstreams)
{
  printf ("%-20s %-14s %-9s %-12s %-7s %9s %9s\n", "upstream", "service", "mode", "health",
          "marked", "open", "entries");
  for (guint i = 0; i < json_array_get_length (upstreams); i++)
    {
      JsonObject *upstream = json_array_get_object_element (upstreams, i);

      printf ("%-20s %-14s %-9s %-12s %-7s %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT "\n",
              get_string (upstream, "name"), get_string (upstream, "service"),
              get_boolean (upstream, "in_service") ? get_string (upstream, "mode") : "out",
              get_string (upstream, "health"), get_boolean (upstream, "marked") ? "yes" : "no",
              get_number (upstream, "open"), get_number (upstream, "entries_away"));
    }
}

static int
print_status (const char *text)
{
  struct CfError error = { 0 };
  JsonNode *root = cf_json_parse_object ("/status", text, strlen (text), &error);
  JsonObject *status;

  if (!root)
    {
      fprintf (stderr, "cyclamenferry status: %s\n", error.text);
      return CF_EXIT_FAILURE;
    }
  status = json_node_get_object (root);
  printf ("state %s, configuration version %" G_GINT64_FORMAT ", %s, %" G_GINT64_FORMAT
          " flow records\n\n",
          get_string (status, "state"), get_number (status, "config_version"),
          get_boolean (status, "settled") ? "settled" : "not settled",
          get_number (status, "flows"));
  print_members (json_object_get_array_member (status, "members"));
  printf ("\n");
  print_upstreams (json_object_get_array_member (status, "upstreams"));
  json_node_unref (root);
  return CF_EXIT_OK;
}

int
cf_command_status (int argc, char **argv)
{
  static const struct argp parser = {
    .options = status_options,
    .parser = parse_option,
    .doc = "Shows members, upstreams and flows as a running entry VM sees them.",
  };
  struct Arguments arguments = { 0 };
  char *text;
  int status = CF_EXIT_OK;

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  text = query_admin (&arguments, arguments.metrics ? "/metrics" : "/status");
  if (!text)
    return CF_EXIT_FAILURE;
  if (arguments.json || arguments.metrics)
    fputs (text, stdout);
  else
    status = print_status (text);
  g_free (text);
  return status;
}

static void
print_lines_as_json (const char *text)
{
  JsonBuilder *builder = json_builder_new ();
  char **lines = g_strsplit (text, "\n", -1);
  JsonNode *root;
  char *json;

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "explanation");
  json_builder_begin_array (builder);
  for (int i = 0; lines[i]; i++)
    if (*lines[i])
      json_builder_add_string_value (builder, g_strstrip (lines[i]));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  root = json_builder_get_root (builder);
  json = json_to_string (root, FALSE);
  printf ("%s\n", json);
  g_free (json);
  json_node_unref (root);
  g_strfreev (lines);
  g_object_unref (builder);
}

int
cf_command_explain (int argc, char **argv)
{
  static const struct argp parser = {
    .options = explain_options,
    .parser = parse_option,
    .args_doc = "CALLER_IP:PORT SERVICE_IP:PORT",
    .doc = "Shows where a running entry VM would send a packet of the flow, and why.",
  };
  struct Arguments arguments = { .explain = true, .protocol = "tcp" };
  char *caller;
  char *service;
  char *path;
  char *text;

  argp_err_exit_status = CF_EXIT_INPUT;
  argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  caller = g_uri_escape_string (arguments.caller, ":", FALSE);
  service = g_uri_escape_string (arguments.service, ":", FALSE);
  path = g_strdup_printf ("/explain?caller=%s&service=%s&protocol=%s", caller, service,
                          arguments.protocol);
  text = query_admin (&arguments, path);
  g_free (caller);
  g_free (service);
  g_free (path);
  if (!text)
    return CF_EXIT_FAILURE;
  if (arguments.json)
    print_lines_as_json (text);
  else
    fputs (text, stdout);
  g_free (text);
  return CF_EXIT_OK;
}
