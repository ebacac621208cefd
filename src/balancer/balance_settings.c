#include "balance_settings.h"

#include <stdlib.h>
#include <string.h>

/* For values that this machine does not have. */
#define NO_FAILURE_DOMAIN "unknown"
#define DEFAULT_FLOW_LIFETIME_S 3600 /* upstreams that are gone are remembered for this long */
#define DEFAULT_GRACE_S 5            /* below the usual times of service managers */
#define DEFAULT_HOLD_SHARE 0.25
#define DEFAULT_FLOOR_SHARE 0.1
#define DEFAULT_RETRY_SHARE 0.2
#define DEFAULT_CALLER_PREFIX 32

#define REASON_MAX 128 /* bytes */

#define BYTE_ORDER_MARK "\xef\xbb\xbf"

struct Reader
{
  GKeyFile *file;
  const char *path;
  struct CfBalanceSettings *settings;
  struct CfError *error;
  bool failed;
  CfSettingsFault *fault; /* NULL: only the first one is wanted, in error */
  void *context;
  GHashTable *known; /* "group\nkey" of each key that was looked up; NULL: not wanted */
};

static void
fail (struct Reader *reader, const char *group, const char *key, const char *reason)
{
  if (reader->fault)
    {
      char *value = g_key_file_get_value (reader->file, group, key, NULL);

      reader->fault (reader->context, group, key, value, reason);
      g_free (value);
    }
  if (!reader->failed)
    cf_error_set (reader->error, CF_ERROR_INPUT, "%s: [%s] %s: %s", reader->path, group, key,
                  reason);
  reader->failed = true;
}

static void __attribute__ ((format (printf, 2, 3)))
add_note (struct Reader *reader, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  g_ptr_array_add (reader->settings->notes, g_strdup_vprintf (format, args));
  va_end (args);
}

/* Returns the value of KEY, or NULL if it is empty or missing.  Nothing in it is escaped. */
static char *
find_text (struct Reader *reader, const char *group, const char *key)
{
  char *raw = g_key_file_get_value (reader->file, group, key, NULL);
  char *text;

  if (reader->known)
    g_hash_table_add (reader->known, g_strconcat (group, "\n", key, NULL));
  if (!raw)
    reader->settings->complete = false;
  text = raw && *g_strstrip (raw) ? g_utf8_make_valid (raw, -1) : NULL;

  g_free (raw);
  return text;
}

static char *
require_text (struct Reader *reader, const char *group, const char *key)
{
  char *text = find_text (reader, group, key);

  if (!text)
    fail (reader, group, key, "is missing");
  return text;
}

static char *
read_text (struct Reader *reader, const char *group, const char *key, const char *fallback)
{
  char *text = find_text (reader, group, key);

  if (text)
    return text;
  add_note (reader, "[%s] %s has no value: %s is used", group, key, fallback);
  return g_strdup (fallback);
}

static double
parse_number (struct Reader *reader,
              const char *group,
              const char *key,
              const char *text,
              double min,
              double max)
{
  char *end;
  double number = g_ascii_strtod (text, &end);

  if (*end || end == text || !(number >= min && number <= max))
    {
      char reason[REASON_MAX];

      g_snprintf (reason, sizeof reason, "is not a number in the allowed range, %.15g to %.15g",
                  min, max);
      fail (reader, group, key, reason);
      return min;
    }
  return number;
}

static double
read_number (struct Reader *reader, const char *group, const char *key, double max, double fallback)
{
  char *text = find_text (reader, group, key);
  double number = fallback;

  if (text)
    number = parse_number (reader, group, key, text, 0, max);
  else
    add_note (reader, "[%s] %s has no value: %g is used", group, key, fallback);
  g_free (text);
  return number;
}

/* Returns the value of KEY of a group that a file need not have, or NULL. */
static char *
find_optional (struct Reader *reader, const char *group, const char *key)
{
  return g_key_file_has_key (reader->file, group, key, NULL) ? find_text (reader, group, key)
                                                             : NULL;
}

static double
read_optional_number (struct Reader *reader,
                      const char *group,
                      const char *key,
                      double min,
                      double max,
                      double fallback)
{
  char *text = find_optional (reader, group, key);
  double number = text ? parse_number (reader, group, key, text, min, max) : fallback;

  g_free (text);
  return number;
}

static bool
read_optional_bool (struct Reader *reader, const char *group, const char *key, bool fallback)
{
  char *text = find_optional (reader, group, key);
  bool value = fallback;

  if (text && strcmp (text, "true") == 0)
    value = true;
  else if (text && strcmp (text, "false") == 0)
    value = false;
  else if (text)
    fail (reader, group, key, "is neither true nor false");
  g_free (text);
  return value;
}

/* Reads a port, which may be 0 for none, and be missing, if OPTIONAL. */
static uint16_t
read_port (struct Reader *reader, const char *group, const char *key, bool optional)
{
  char *text = optional ? find_text (reader, group, key) : require_text (reader, group, key);
  double number = 0;

  if (text)
    number = parse_number (reader, group, key, text, optional ? 0 : 1, UINT16_MAX);
  else if (optional)
    add_note (reader, "[%s] %s has no value: none is served", group, key);
  if (number != (uint16_t) number)
    fail (reader, group, key, "is not a whole number");
  g_free (text);
  return (uint16_t) number;
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
  char *value = require_text (reader, group, key);

  if (value && !parse_ip_port (value, &result))
    fail (reader, group, key, "is not IP:port");
  g_free (value);
  return result;
}

/* Parses a comma-separated list of IP:port and returns the IPs other than OWN.  The ports are not
 * needed because all VMs use the same one.  Entries that are no IP:port are left out: a VM can
 * start without any. */
static char **
read_ips (struct Reader *reader, const char *group, const char *key, const char *own)
{
  char *value = find_text (reader, group, key);
  char **items = g_strsplit (value ? value : "", ",", -1);
  GPtrArray *result = g_ptr_array_new ();

  for (char **item = items; *item; item++)
    {
      struct CfAddress parsed;

      g_strstrip (*item);
      if (**item && !parse_ip_port (*item, &parsed))
        {
          add_note (reader, "[%s] %s: '%s' is not IP:port and is left out", group, key, *item);
          continue;
        }
      *strchrnul (*item, ':') = 0;
      if (**item && g_strcmp0 (*item, own) != 0)
        g_ptr_array_add (result, g_strdup (*item));
    }
  g_ptr_array_add (result, NULL);
  g_strfreev (items);
  g_free (value);
  return (char **) g_ptr_array_free (result, FALSE);
}

/* Groups of parts that are off unless the file has them. */
static void
read_optional_groups (struct Reader *reader, struct CfBalanceSettings *settings)
{
  double prefix
      = read_optional_number (reader, "overload", "caller-prefix", 8, 32, DEFAULT_CALLER_PREFIX);

  if (prefix != (unsigned) prefix)
    fail (reader, "overload", "caller-prefix", "is not a whole number");
  settings->overload.admission = (struct CfAdmissionOptions){
    .enabled = read_optional_bool (reader, "overload", "enabled", false),
    .hold_share
    = read_optional_number (reader, "overload", "hold-share", 0, 0.25, DEFAULT_HOLD_SHARE),
    .floor_share
    = read_optional_number (reader, "overload", "floor-share", 0, 0.5, DEFAULT_FLOOR_SHARE),
    .retry_share
    = read_optional_number (reader, "overload", "retry-share", 0, 1, DEFAULT_RETRY_SHARE),
    .caller_prefix = (unsigned) prefix,
  };
  settings->overload.extra_openings
      = read_optional_number (reader, "slow-answers", "extra-openings", 0, 0.1, 0);
  for (char **key = (char *[]){ "hold-share", "floor-share", "retry-share", "caller-prefix", NULL };
       *key; key++)
    settings->overload.has_other_keys |= g_key_file_has_key (reader->file, "overload", *key, NULL);
}

static void
read_values (struct Reader *reader, struct CfBalanceSettings *settings)
{
  struct CfAddress parsed;

  settings->name = require_text (reader, "vm", "name");
  settings->ip = require_text (reader, "vm", "address");
  if (settings->ip && !cf_address_parse (settings->ip, 0, &parsed))
    fail (reader, "vm", "address", "is not an IP address");
  settings->failure_domain = read_text (reader, "vm", "failure-domain", NO_FAILURE_DOMAIN);
  settings->region = read_text (reader, "vm", "region", settings->failure_domain);
  settings->fabric = read_address (reader, "vm", "fabric-address");
  settings->ready = read_address (reader, "vm", "ready-address");
  settings->metrics_port = read_port (reader, "vm", "metrics-port", true);
  settings->peer_port = read_port (reader, "vm", "peer-port", false);
  settings->link_mbps = read_number (reader, "vm", "link-mbps", 1e9, 0);
  settings->seeds = read_ips (reader, "fleet", "seeds", settings->ip);
  settings->store = require_text (reader, "store", "address");
  if (settings->store && !parse_ip_port (settings->store, &parsed))
    fail (reader, "store", "address", "is not IP:port");
  settings->max_flow_lifetime_ms
      = (CfMillis) (read_number (reader, "limits", "flow-lifetime-s", 1e6, DEFAULT_FLOW_LIFETIME_S)
                    * CF_MS_PER_S);
  settings->grace_ms
      = (CfMillis) (read_number (reader, "limits", "grace-s", 1e6, DEFAULT_GRACE_S) * CF_MS_PER_S);
  read_optional_groups (reader, settings);
}

static bool
load_text (GKeyFile *file, const char *text, gsize len, GError **error)
{
  gsize skip = g_str_has_prefix (text, BYTE_ORDER_MARK) ? strlen (BYTE_ORDER_MARK) : 0;

  return g_key_file_load_from_data (file, text + skip, len - skip, G_KEY_FILE_NONE, error);
}

static void
report_unknown_keys (struct Reader *reader)
{
  char **groups = g_key_file_get_groups (reader->file, NULL);

  for (int i = 0; groups[i]; i++)
    {
      char **keys = g_key_file_get_keys (reader->file, groups[i], NULL, NULL);

      for (int j = 0; keys && keys[j]; j++)
        {
          char *id = g_strconcat (groups[i], "\n", keys[j], NULL);

          if (!g_hash_table_contains (reader->known, id))
            fail (reader, groups[i], keys[j], "is no key of this group");
          g_free (id);
        }
      g_strfreev (keys);
    }
  g_strfreev (groups);
}

static bool
parse_settings (struct Reader *reader, const char *text, size_t len)
{
  GError *gerror = NULL;

  *reader->settings = (struct CfBalanceSettings){
    .path = g_strdup (reader->path),
    .notes = g_ptr_array_new_with_free_func (g_free),
    .complete = len > 0 && text[len - 1] == '\n',
  };
  reader->file = g_key_file_new ();
  if (!load_text (reader->file, text, len, &gerror))
    {
      if (reader->fault)
        reader->fault (reader->context, NULL, NULL, NULL, gerror->message);
      cf_error_set (reader->error, CF_ERROR_INPUT, "%s: %s", reader->path, gerror->message);
      g_error_free (gerror);
      reader->failed = true;
    }
  else
    {
      read_values (reader, reader->settings);
      if (reader->known)
        report_unknown_keys (reader);
    }
  g_key_file_unref (reader->file);
  if (reader->failed)
    cf_balance_settings_clear (reader->settings);
  return !reader->failed;
}

bool
cf_balance_settings_parse (struct CfBalanceSettings *settings,
                           const char *path,
                           const char *text,
                           size_t len,
                           struct CfError *error)
{
  struct Reader reader = { .path = path, .settings = settings, .error = error };

  return parse_settings (&reader, text, len);
}

bool
cf_balance_settings_check (struct CfBalanceSettings *settings,
                           const char *path,
                           const char *text,
                           size_t len,
                           CfSettingsFault *fault,
                           void *context)
{
  struct Reader reader = {
    .path = path,
    .settings = settings,
    .fault = fault,
    .context = context,
    .known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  bool ok = parse_settings (&reader, text, len);

  g_hash_table_unref (reader.known);
  return ok;
}

void
cf_balance_settings_clear (struct CfBalanceSettings *settings)
{
  g_free (settings->path);
  g_free (settings->name);
  g_free (settings->ip);
  g_free (settings->failure_domain);
  g_free (settings->region);
  g_clear_pointer (&settings->notes, g_ptr_array_unref);
  g_strfreev (settings->seeds);
  g_free (settings->store);
  *settings = (struct CfBalanceSettings){ 0 };
}
