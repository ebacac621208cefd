#include "http.h"
#include "base/http_call.h"

#include <string.h>

struct CfHttpStore
{
  SoupSession *session;
  char *base;
};

static char *
object_url (const char *base, const char *name)
{
  return g_strdup_printf ("%s/objects/%s", base, name);
}

SoupMessage *
cf_http_read_message (const char *base, const char *name, const char *tag, int wait_s)
{
  char *url = object_url (base, name);
  SoupMessage *message = soup_message_new ("GET", url);

  g_free (url);
  if (message && tag)
    {
      char *prefer = g_strdup_printf ("wait=%d", wait_s);

      soup_message_headers_replace (soup_message_get_request_headers (message), "If-None-Match",
                                    tag);
      soup_message_headers_replace (soup_message_get_request_headers (message), "Prefer", prefer);
      g_free (prefer);
    }
  return message;
}

static enum CfStoreResult
status_result (SoupMessage *message)
{
  guint status = soup_message_get_status (message);

  if (status >= 200 && status < 300)
    return CF_STORE_OK;
  if (status == SOUP_STATUS_NOT_MODIFIED)
    return CF_STORE_UNCHANGED;
  if (status == SOUP_STATUS_NOT_FOUND)
    return CF_STORE_MISSING;
  if (status == SOUP_STATUS_PRECONDITION_FAILED)
    return CF_STORE_CONFLICT;
  if (status >= 400 && status < 500 && status != 408 && status != 429)
    return CF_STORE_REFUSED;
  return CF_STORE_UNKNOWN;
}

enum CfStoreResult
cf_http_read_result (SoupMessage *message, GBytes *body, struct CfObject *object)
{
  enum CfStoreResult result = body ? status_result (message) : CF_STORE_UNKNOWN;
  const char *tag;
  const char *data;
  gsize len;

  if (result != CF_STORE_OK)
    return result;
  tag = soup_message_headers_get_one (soup_message_get_response_headers (message), "ETag");
  if (!tag)
    return CF_STORE_UNKNOWN;
  data = g_bytes_get_data (body, &len);
  object->tag = g_strdup (tag);
  object->text = g_strndup (data, len);
  return CF_STORE_OK;
}

static GBytes *
call (struct CfHttpStore *http, SoupMessage *message, struct CfError *error)
{
  GError *cause = NULL;
  GBytes *body = cf_http_fetch_wait (http->session, message, CF_HTTP_DEADLINE_MS, &cause);

  if (!body)
    cf_error_set (error, CF_ERROR_IO, "platform %s: %s", http->base, cause->message);
  else if (soup_message_get_status (message) >= 400)
    cf_error_set (error, CF_ERROR_IO, "platform %s: %u %s", http->base,
                  soup_message_get_status (message), soup_message_get_reason_phrase (message));
  g_clear_error (&cause);
  return body;
}

static enum CfStoreResult
bad_url (struct CfHttpStore *http, struct CfError *error)
{
  cf_error_set (error, CF_ERROR_INPUT, "'%s' is not a URL", http->base);
  return CF_STORE_REFUSED;
}

static enum CfStoreResult
http_read (void *context, const char *name, struct CfObject *object, struct CfError *error)
{
  struct CfHttpStore *http = context;
  SoupMessage *message = cf_http_read_message (http->base, name, NULL, 0);
  enum CfStoreResult result;
  GBytes *body;

  if (!message)
    return bad_url (http, error);
  body = call (http, message, error);
  result = cf_http_read_result (message, body, object);
  g_clear_pointer (&body, g_bytes_unref);
  g_object_unref (message);
  return result;
}

static enum CfStoreResult
http_write (
    void *context, const char *name, const char *text, const char *tag, struct CfError *error)
{
  struct CfHttpStore *http = context;
  char *url = object_url (http->base, name);
  SoupMessage *message = soup_message_new ("PUT", url);
  GBytes *value = g_bytes_new (text, strlen (text));
  enum CfStoreResult result;
  GBytes *body;

  g_free (url);
  if (!message)
    {
      g_bytes_unref (value);
      return bad_url (http, error);
    }
  soup_message_headers_replace (soup_message_get_request_headers (message),
                                tag ? "If-Match" : "If-None-Match", tag ? tag : "*");
  soup_message_set_request_body_from_bytes (message, "text/plain; charset=utf-8", value);
  body = call (http, message, error);
  result = body ? status_result (message) : CF_STORE_UNKNOWN;
  g_clear_pointer (&body, g_bytes_unref);
  g_bytes_unref (value);
  g_object_unref (message);
  return result;
}

static void
http_pause (void *context, int attempt)
{
  (void) context;
  g_usleep ((gulong) (100 << attempt) * 1000);
}

static CfMillis
http_now (void *context)
{
  (void) context;
  return g_get_real_time () / (G_USEC_PER_SEC / CF_MS_PER_S);
}

struct CfHttpStore *
cf_http_store_new (const char *base_url)
{
  struct CfHttpStore *http = g_new0 (struct CfHttpStore, 1);

  http->base = g_strdup (base_url);
  http->session = soup_session_new ();
  return http;
}

void
cf_http_store_free (struct CfHttpStore *http)
{
  g_object_unref (http->session);
  g_free (http->base);
  g_free (http);
}

void
cf_http_store_use (struct CfHttpStore *http, struct CfStore *store)
{
  *store = (struct CfStore){
    .read = http_read,
    .write = http_write,
    .pause = http_pause,
    .now = http_now,
    .context = http,
  };
}
