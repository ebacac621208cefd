#include "balance_settings.h"

#include <stdlib.h>
#include <string.h>

struct Reader
{
  GKeyFile *file;
  const char *path;
  struct CfError *error;
  bool failed;
};

static void
fail (struct Reader *reader, const char *group, const char *key, const char *reason)
{
  if (!reader->failed)
    cf_error_set (reader->error, CF_ERROR_INPUT, "%s: [%s] %s: %s", reader->path, group, key,
                  reason);
  reader->failed = true;
}

static char *
read_text (struct Reader *reader, const char *group, const char *key)
{
  char *value = g_key_file_get_string (reader->file, group, key, NULL);

  if (!value || !*value)
    fail (reader, group, key, "is missing");
  return value;
}

static double
read_number (struct Reader *reader, const char *group, const char *key, double min, double max)
{
  char *value = read_text (reader, group, key);
  char *end = value;
  double result = value ? g_ascii_strtod (value, &end) : 0;

  if (value && (*end || end == value || !(result >= min && result <= max)))
    fail (reader, group, key, "is not a number in the allowed range");
  g_free (value);
  return result;
}

static bool
parse_ip_port (const char *value, struct CfAddress *address)
{
  const char *colon = strrchr (value, ':');
  char *ip;
  char *end;
  long port;
  bool ok;

  if (!colon)
    return false;
  port = strtol (colon + 1, &end, 10);
  ip = g_strndup (value, (gsize) (colon - value));
  ok = *end == 0 && port > 0 && port <= UINT16_MAX
       && cf_address_parse (ip, (uint16_t) port, address);
  g_free (ip);
  return ok;
}

static struct CfAddress
read_address (struct Reader *reader, const char *group, const char *key)
{
  struct CfAddress result = { 0 };
  char *value = read_text (reader, group, key);

  if (value && *value && !parse_ip_port (value, &result))
    fail (reader, group, key, "is not IP:port");
  g_free (value);
  return result;
}

/* Parses a comma-separated list of IP:port and returns the IPs other than OWN.  The ports are not
 * needed because all VMs use the same one. */
static char **
read_ips (struct Reader *reader, const char *group, const char *key, const char *own)
{
  char *value = g_key_file_get_string (reader->file, group, key, NULL);
  char **items = g_strsplit (value ? value : "", ",", -1);
  GPtrArray *result = g_ptr_array_new ();

  for (char **item = items; *item; item++)
    {
      struct CfAddress parsed;

      if (**item && !parse_ip_port (*item, &parsed))
        fail (reader, group, key, "is not a list of IP:port");
      *strchrnul (*item, ':') = 0;
      if (**item && g_strcmp0 (*item, own) != 0)
        g_ptr_array_add (result, g_strdup (*item));
    }
  g_ptr_array_add (result, NULL);
  g_strfreev (items);
  g_free (value);
  return (char **) g_ptr_array_free (result, FALSE);
}

static void
read_values (struct Reader *reader, struct CfBalanceSettings *settings)
{
  struct CfAddress store;

  settings->name = read_text (reader, "vm", "name");
  settings->ip = read_text (reader, "vm", "address");
  settings->failure_domain = read_text (reader, "vm", "failure-domain");
  settings->region = read_text (reader, "vm", "region");
  settings->fabric = read_address (reader, "vm", "fabric-address");
  settings->ready = read_address (reader, "vm", "ready-address");
  settings->metrics_port = (uint16_t) read_number (reader, "vm", "metrics-port", 0, UINT16_MAX);
  settings->peer_port = (uint16_t) read_number (reader, "vm", "peer-port", 1, UINT16_MAX);
  settings->link_mbps = read_number (reader, "vm", "link-mbps", 0, 1e9);
  settings->seeds = read_ips (reader, "fleet", "seeds", settings->ip);
  settings->store = read_text (reader, "store", "address");
  if (settings->store && *settings->store && !parse_ip_port (settings->store, &store))
    fail (reader, "store", "address", "is not IP:port");
  settings->max_flow_lifetime_ms
      = (CfMillis) (read_number (reader, "limits", "flow-lifetime-s", 0, 1e6) * CF_MS_PER_S);
  settings->grace_ms = (CfMillis) (read_number (reader, "limits", "grace-s", 0, 1e6) * CF_MS_PER_S);
}

bool
cf_balance_settings_read (struct CfBalanceSettings *settings,
                          const char *path,
                          struct CfError *error)
{
  struct Reader reader = { .file = g_key_file_new (), .path = path, .error = error };
  GError *gerror = NULL;
  char *text = NULL;
  gsize len;

  *settings = (struct CfBalanceSettings){ .path = g_strdup (path) };
  if (!g_file_get_contents (path, &text, &len, &gerror)
      || !g_key_file_load_from_data (reader.file, text, len, G_KEY_FILE_NONE, &gerror))
    {
      cf_error_set (error, CF_ERROR_INPUT, "%s: %s", path, gerror->message);
      g_error_free (gerror);
      reader.failed = true;
    }
  else
    read_values (&reader, settings);
  g_free (text);
  g_key_file_unref (reader.file);
  if (reader.failed)
    cf_balance_settings_clear (settings);
  return !reader.failed;
}

void
cf_balance_settings_clear (struct CfBalanceSettings *settings)
{
  g_free (settings->path);
  g_free (settings->name);
  g_free (settings->ip);
  g_free (settings->failure_domain);
  g_free (settings->region);
  g_strfreev (settings->seeds);
  g_free (settings->store);
  *settings = (struct CfBalanceSettings){ 0 };
}
