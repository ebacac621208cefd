#include "settings.h"

#include <argp.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define ENVIRONMENT_PREFIX "CYCLAMENFERRY_"

enum Setting
{
  SET_NAME = 1000,
  SET_DOMAIN,
  SET_ADDRESS,
  SET_FABRIC_PORT,
  SET_TRANSFER_PORT,
  SET_PEER_PORT,
  SET_ADMIN_ADDRESS,
  SET_ADMIN_PORT,
  SET_CONFIG_DIR,
  SET_PLATFORM,
  SET_FLEET_KEY,
  SET_LINGER,
  SET_HEALTH_INTERVAL,
};

static const struct argp_option options[] = {
  { "name", SET_NAME, "NAME", 0,
    "Name of this entry VM, unique in the fleet [CYCLAMENFERRY_NAME]; required", 0 },
  { "failure-domain", SET_DOMAIN, "NAME", 0,
    "Failure domain of this VM [CYCLAMENFERRY_FAILURE_DOMAIN]; required", 0 },
  { "address", SET_ADDRESS, "IP", 0,
    "Address of this VM's sockets [CYCLAMENFERRY_ADDRESS]; required", 0 },
  { "fabric-port", SET_FABRIC_PORT, "PORT", 0,
    "UDP port for GUE packets from the fabric [CYCLAMENFERRY_FABRIC_PORT]; default 6080", 0 },
  { "transfer-port", SET_TRANSFER_PORT, "PORT", 0,
    "UDP port for packets from other entry VMs, the same in the fleet "
    "[CYCLAMENFERRY_TRANSFER_PORT]; default 6081",
    0 },
  { "peer-port", SET_PEER_PORT, "PORT", 0,
    "UDP port for messages from other entry VMs, the same in the fleet [CYCLAMENFERRY_PEER_PORT]; "
    "default 6082",
    0 },
  { "admin-address", SET_ADMIN_ADDRESS, "IP", 0,
    "Address of the admin endpoint [CYCLAMENFERRY_ADMIN_ADDRESS]; default 127.0.0.1", 0 },
  { "admin-port", SET_ADMIN_PORT, "PORT", 0,
    "TCP port of the admin endpoint, 0 for none [CYCLAMENFERRY_ADMIN_PORT]; default 6083", 0 },
  { "config-dir", SET_CONFIG_DIR, "DIR", 0,
    "Folder of configuration files; read again on SIGHUP and when a file changes "
    "[CYCLAMENFERRY_CONFIG_DIR]",
    0 },
  { "platform", SET_PLATFORM, "URL", 0,
    "Base URL of the platform's object API [CYCLAMENFERRY_PLATFORM]; this or --config-dir is "
    "required",
    0 },
  { "fleet-key", SET_FLEET_KEY, "HEX", 0,
    "Key of the fleet, 64 hexadecimal digits; better given as [CYCLAMENFERRY_FLEET_KEY], since "
    "other users see a process's flags; required",
    0 },
  { "linger", SET_LINGER, "SECONDS", 0,
    "How long packets are still forwarded after a handover, for a fabric that is slow to notice "
    "[CYCLAMENFERRY_LINGER]; default 10",
    0 },
  { "health-interval", SET_HEALTH_INTERVAL, "MS", 0,
    "Milliseconds between two probes of an upstream, more if this VM probes over 50 a second "
    "[CYCLAMENFERRY_HEALTH_INTERVAL]; default 250",
    0 },
  { 0 },
};

struct Parse
{
  struct CfSettings *settings;
  struct CfError *error;
  bool failed;
};

static void
fail (struct Parse *parse, const char *flag, const char *reason)
{
  if (!parse->failed)
    cf_error_set (parse->error, CF_ERROR_INPUT, "--%s: %s", flag, reason);
  parse->failed = true;
}

static long long
parse_number (struct Parse *parse, const char *flag, const char *text, long long min, long long max)
{
  char *end;
  long long value = strtoll (text, &end, 10);

  if (end == text || *end || value < min || value > max)
    {
      char *reason = g_strdup_printf ("'%s' is not a number from %lld to %lld", text, min, max);

      fail (parse, flag, reason);
      g_free (reason);
      return min;
    }
  return value;
}

static const char *
parse_ip (struct Parse *parse, const char *flag, const char *text)
{
  struct CfAddress parsed;

  if (!cf_address_parse (text, 0, &parsed))
    fail (parse, flag, "not an IPv4 or IPv6 address");
  return text;
}

static void
read_key (struct Parse *parse, const char *text)
{
  size_t len = 0;

  if (sodium_hex2bin (parse->settings->fleet_key, CF_FLEET_KEY_BYTES, text, strlen (text), NULL,
                      &len, NULL)
          != 0
      || len != CF_FLEET_KEY_BYTES)
    fail (parse, "fleet-key", "not 64 hexadecimal digits");
}

static void
set (struct Parse *parse, int key, const char *flag, const char *value)
{
  struct CfSettings *settings = parse->settings;

  switch ((enum Setting) key)
    {
    case SET_NAME:
      settings->name = value;
      break;
    case SET_DOMAIN:
      settings->failure_domain = value;
      break;
    case SET_ADDRESS:
      settings->ip = parse_ip (parse, flag, value);
      break;
    case SET_FABRIC_PORT:
      settings->fabric_port = (uint16_t) parse_number (parse, flag, value, 1, UINT16_MAX);
      break;
    case SET_TRANSFER_PORT:
      settings->transfer_port = (uint16_t) parse_number (parse, flag, value, 1, UINT16_MAX);
      break;
    case SET_PEER_PORT:
      settings->peer_port = (uint16_t) parse_number (parse, flag, value, 1, UINT16_MAX);
      break;
    case SET_ADMIN_ADDRESS:
      settings->admin_ip = parse_ip (parse, flag, value);
      break;
    case SET_ADMIN_PORT:
      settings->admin_port = (uint16_t) parse_number (parse, flag, value, 0, UINT16_MAX);
      break;
    case SET_CONFIG_DIR:
      settings->config_dir = value;
      break;
    case SET_PLATFORM:
      settings->platform = value;
      break;
    case SET_FLEET_KEY:
      read_key (parse, value);
      break;
    case SET_LINGER:
      settings->linger_ms = parse_number (parse, flag, value, 0, 3600) * CF_MS_PER_S;
      break;
    case SET_HEALTH_INTERVAL:
      settings->health_interval_ms = parse_number (parse, flag, value, 10, 60000);
      break;
    }
}

static const char *
flag_name (int key)
{
  for (size_t i = 0; options[i].name; i++)
    if (options[i].key == key)
      return options[i].name;
  return "";
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  if (key == ARGP_KEY_ARG)
    {
      fail (state->input, arg, "unexpected argument");
      return 0;
    }
  if (key < SET_NAME)
    return ARGP_ERR_UNKNOWN;
  set (state->input, key, flag_name (key), arg);
  return 0;
}

static void
read_environment (struct Parse *parse)
{
  for (size_t i = 0; options[i].name; i++)
    {
      char *upper = g_ascii_strup (options[i].name, -1);
      char *variable = g_strconcat (ENVIRONMENT_PREFIX, g_strdelimit (upper, "-", '_'), NULL);
      const char *value = getenv (variable);

      if (value && *value)
        set (parse, options[i].key, options[i].name, value);
      g_free (variable);
      g_free (upper);
    }
}

static void
check_required (struct Parse *parse)
{
  static const uint8_t no_key[CF_FLEET_KEY_BYTES];
  const struct CfSettings *settings = parse->settings;

  if (!settings->name || !*settings->name)
    fail (parse, "name", "missing");
  if (!settings->failure_domain || !*settings->failure_domain)
    fail (parse, "failure-domain", "missing");
  if (!settings->ip)
    fail (parse, "address", "missing");
  if (!settings->config_dir && !settings->platform)
    fail (parse, "config-dir", "missing, and no --platform is given");
  if (memcmp (settings->fleet_key, no_key, sizeof no_key) == 0)
    fail (parse, "fleet-key", "missing, or all zero");
  if (settings->transfer_port == settings->fabric_port
      || settings->peer_port == settings->fabric_port
      || settings->peer_port == settings->transfer_port)
    fail (parse, "peer-port", "the fabric, transfer and peer ports must differ");
}

bool
cf_settings_parse (struct CfSettings *settings, int argc, char **argv, struct CfError *error)
{
  static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc
    = "Runs the load balancer on an entry VM.\vA flag takes precedence over its "
      "environment variable.  On SIGTERM the VM hands its flows over to the other entry VMs and "
      "exits with 0.",
  };
  struct Parse parse = { .settings = settings, .error = error };

  *settings = (struct CfSettings){
    .fabric_port = 6080,
    .transfer_port = 6081,
    .peer_port = 6082,
    .admin_ip = "127.0.0.1",
    .admin_port = 6083,
    .linger_ms = 10 * CF_MS_PER_S,
    .health_interval_ms = 250,
  };
  read_environment (&parse);
  if (argp_parse (&parser, argc, argv, 0, NULL, &parse) != 0)
    fail (&parse, "help", "the flags could not be parsed");
  check_required (&parse);
  return !parse.failed;
}
