#include "source.h"
#include "base/http_call.h"
#include "cf_types.h"
#include "platform/store_requests.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MANIFEST_NAME "main"
#define BYTE_ORDER_MARK "\xef\xbb\xbf"

static bool
fail (struct CfFindings *findings, const char *name, const char *reason)
{
  cf_findings_add (findings, CF_SEVERITY_ERROR, "unreadable", name, NULL, "%s", reason);
  return false;
}

/* Reads SOURCE from FD, a file of SIZE bytes when it was opened.  Returns false with an error in
 * FINDINGS. */
static bool
read_text (struct CfSource *source, int fd, gsize size, struct CfFindings *findings)
{
  source->text = g_malloc (size + 1);
  while (source->len < size)
    {
      ssize_t got = read (fd, source->text + source->len, size - source->len);

      if (got < 0 && errno == EINTR)
        continue;
      if (got < 0)
        return fail (findings, source->name, g_strerror (errno));
      if (got == 0)
        break;
      source->len += (gsize) got;
    }
  source->text[source->len] = 0;
  return true;
}

static enum CfSourceKind
find_kind (const struct CfSource *source)
{
  const char *text = source->text;

  if (g_str_has_prefix (text, BYTE_ORDER_MARK))
    text += strlen (BYTE_ORDER_MARK);
  text += strspn (text, " \t\r\n");
  return *text == '{' || g_str_has_suffix (source->name, ".json") ? CF_SOURCE_MANIFEST
                                                                  : CF_SOURCE_KEY_FILE;
}

bool
cf_source_read (struct CfSource *source, const char *path, struct CfFindings *findings)
{
  /* A FIFO does not delay the call. */
  int fd = open (path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  struct stat status;
  bool ok = false;

  *source = (struct CfSource){ .name = path, .kind = CF_SOURCE_FOLDER };
  if (fd < 0 || fstat (fd, &status) < 0)
    fail (findings, path, g_strerror (errno));
  else if (S_ISDIR (status.st_mode))
    ok = true;
  else if (!S_ISREG (status.st_mode))
    fail (findings, path, "is neither a file nor a folder");
  else if (status.st_size > CF_SOURCE_MAX_BYTES)
    fail (findings, path, "is larger than 32 MB");
  else if (read_text (source, fd, (gsize) status.st_size, findings))
    {
      source->kind = find_kind (source);
      ok = true;
    }
  if (fd >= 0)
    close (fd);
  if (!ok)
    cf_source_clear (source);
  return ok;
}

static bool
is_ip_port (const char *address)
{
  const char *colon = strrchr (address, ':');
  struct CfAddress parsed;
  guint64 port;
  char *ip;
  bool ok;

  if (!colon || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port, NULL))
    return false;
  ip = g_strndup (address, (gsize) (colon - address));
  ok = cf_address_parse (ip, 0, &parsed);
  g_free (ip);
  return ok;
}

/* Sets SOURCE to the manifest in the response BODY to MESSAGE. */
static bool
read_response (struct CfSource *source,
               SoupMessage *message,
               GBytes *body,
               struct CfFindings *findings)
{
  struct CfFeedResponse response;
  enum CfReadOutcome outcome
      = cf_platform_parse_response (message, body, CF_FEED_MANIFEST, true, &response);

  for (guint i = 0; outcome == CF_READ_ANSWERED && i < response.records->len; i++)
    {
      const struct CfRecord *record = response.records->pdata[i];

      if (strcmp (record->name, MANIFEST_NAME) == 0 && record->text && !source->text)
        {
          source->text = g_strdup (record->text);
          source->len = strlen (record->text);
        }
    }
  cf_feed_response_clear (&response);
  if (outcome != CF_READ_ANSWERED)
    return fail (findings, source->name, "the store's answer cannot be used");
  return source->text || fail (findings, source->name, "the store has no object config/main");
}

bool
cf_source_read_store (struct CfSource *source, const char *address, struct CfFindings *findings)
{
  SoupSession *session;
  SoupMessage *message;
  GError *error = NULL;
  GBytes *body;
  bool ok;

  *source = (struct CfSource){ .name = address, .kind = CF_SOURCE_MANIFEST };
  if (!is_ip_port (address))
    return fail (findings, address, "is not IP:port");
  message = cf_platform_list (address, CF_FEED_MANIFEST, NULL);
  if (!message)
    return fail (findings, address, "is not IP:port");
  session = soup_session_new_with_options ("proxy-resolver", NULL, NULL);
  body = cf_http_fetch_wait (session, message, CF_SOURCE_DEADLINE_MS, &error);
  ok = body ? read_response (source, message, body, findings)
            : fail (findings, address, error->message);
  g_clear_error (&error);
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (message);
  g_object_unref (session);
  return ok;
}

void
cf_source_clear (struct CfSource *source)
{
  g_clear_pointer (&source->text, g_free);
  source->len = 0;
}
