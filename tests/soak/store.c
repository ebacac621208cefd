#include "soak.h"

#include <string.h>

/* The fake of the platform's store, over HTTP: lists, long polls and writes. */

struct LongPoll
{
  struct SoakStore *store;
  SoupServerMessage *message;
  enum CfFeedKind kind;
  uint64_t revision;
  guint timer;
  gulong finished;
};

struct SoakStore
{
  SoupServer *server;
  struct TestStore *data;
  GPtrArray *polls; /* of struct LongPoll */
  guint page;       /* objects in a page of a list */
  bool garbled;
};

#define PAGE_DEFAULT 500
#define LISTEN_BACKLOG 1024

static const char *const kinds[CF_FEED_KINDS]
    = { "config", "servers", "evacuations", "cyclamenferry-vms" };

#define RAW '\002' /* first byte of the content of a raw object */
#define PAGE_BYTES_MAX (1 << 20)

/* Appends NAME as a JSON string.  A byte 2 in it stands for a NUL. */
static void
append_name (GString *text, const char *name)
{
  g_string_append_c (text, '"');
  for (const char *c = name; *c; c++)
    if (*c == '"' || *c == '\\' || (unsigned char) *c < ' ')
      g_string_append_printf (text, "\\u%04x", *c == 2 ? 0 : *c);
    else
      g_string_append_c (text, *c);
  g_string_append_c (text, '"');
}

static void
append_raw (GString *text, const struct CfRecord *record)
{
  const char *at = record->text + 1;
  const char *mark;

  for (; (mark = strstr (at, SOAK_REVISION)); at = mark + strlen (SOAK_REVISION))
    {
      g_string_append_len (text, at, mark - at);
      g_string_append_printf (text, "%" G_GUINT64_FORMAT, record->revision);
    }
  g_string_append (text, at);
}

static void
append_object (GString *text, const struct CfRecord *record)
{
  if (record->text && record->text[0] == RAW)
    {
      append_raw (text, record);
      return;
    }
  g_string_append (text, "{\"meta\":{\"name\":");
  append_name (text, record->name);
  g_string_append_printf (
      text, ",\"revision\":%" G_GUINT64_FORMAT ",\"deleting\":false},\"spec\":%s,\"status\":null}",
      record->revision, record->text ? record->text : "null");
}

/* Sends TEXT, which it frees, with the store's era. */
static void
respond (const struct SoakStore *store, SoupServerMessage *message, guint status, GString *text)
{
  char era[24];

  if (store->garbled)
    g_string_truncate (text, text->len * 2 / 3);
  g_snprintf (era, sizeof era, "%" G_GUINT64_FORMAT, test_store_era (store->data));
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Store-Era",
                                era);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, text->str,
                                    text->len);
  g_string_free (text, TRUE);
}

/* Responds with the page after the name AFTER (NULL: the first one). */
static void
respond_list (struct SoakStore *store,
              SoupServerMessage *message,
              enum CfFeedKind kind,
              const char *after)
{
  GString *text = g_string_new ("{\"items\":[");
  struct CfFeedResponse response;
  guint count = 0;
  guint i = 0;

  test_store_list (store->data, kind, after, G_MAXUINT, &response);
  for (; i < response.records->len && count < store->page && text->len < PAGE_BYTES_MAX; i++)
    {
      const struct CfRecord *record = response.records->pdata[i];

      g_string_append (text, count++ ? "," : "");
      append_object (text, record);
    }
  g_string_append_printf (text, "],\"truncated\":%s,\"store-revision\":%" G_GUINT64_FORMAT "}",
                          i < response.records->len ? "true" : "false", response.revision);
  cf_feed_response_clear (&response);
  respond (store, message, SOUP_STATUS_OK, text);
}

/* Returns false if there is no change after REVISION yet and the caller does not want ALWAYS to
 * respond. */
static bool
respond_changes (struct SoakStore *store,
                 SoupServerMessage *message,
                 enum CfFeedKind kind,
                 uint64_t revision,
                 bool always)
{
  GString *text = g_string_new ("{\"events\":[");
  struct CfFeedResponse response;
  bool any;

  if (!test_store_watch (store->data, kind, revision, &response))
    {
      respond (store, message, 410, g_string_assign (text, "{}"));
      return true;
    }
  for (guint i = 0; i < response.records->len; i++)
    {
      const struct CfRecord *record = response.records->pdata[i];

      g_string_append_printf (text, "%s{\"deleted\":%s,\"object\":", i ? "," : "",
                              record->deleted ? "true" : "false");
      append_object (text, record);
      g_string_append (text, "}");
    }
  g_string_append_printf (text, "],\"store-revision\":%" G_GUINT64_FORMAT "}", response.revision);
  any = response.records->len > 0;
  cf_feed_response_clear (&response);
  if (any || always)
    respond (store, message, SOUP_STATUS_OK, text);
  else
    g_string_free (text, TRUE);
  return any || always;
}

static void
free_poll (struct LongPoll *poll)
{
  g_signal_handler_disconnect (poll->message, poll->finished);
  if (poll->timer)
    g_source_remove (poll->timer);
  g_object_unref (poll->message);
  g_free (poll);
}

static void
remove_poll (struct LongPoll *poll)
{
  g_ptr_array_remove_fast (poll->store->polls, poll);
  free_poll (poll);
}

static void
answer_poll (struct LongPoll *poll, guint status)
{
  SoupServerMessage *message = g_object_ref (poll->message);

  if (status == SOUP_STATUS_OK)
    respond_changes (poll->store, message, poll->kind, poll->revision, true);
  else
    respond (poll->store, message, status, g_string_new ("{}"));
  remove_poll (poll);
  soup_server_message_unpause (message);
  g_object_unref (message);
}

static gboolean
on_poll_timeout (gpointer data)
{
  struct LongPoll *poll = data;

  poll->timer = 0;
  answer_poll (poll, SOUP_STATUS_OK);
  return G_SOURCE_REMOVE;
}

static void
on_finished (SoupServerMessage *message, gpointer data)
{
  (void) message;
  remove_poll (data);
}

static void
begin_poll (struct SoakStore *store,
            SoupServerMessage *message,
            enum CfFeedKind kind,
            uint64_t revision,
            guint wait_ms)
{
  struct LongPoll *poll = g_new0 (struct LongPoll, 1);

  poll->store = store;
  poll->message = g_object_ref (message);
  poll->kind = kind;
  poll->revision = revision;
  poll->timer = g_timeout_add (wait_ms, on_poll_timeout, poll);
  poll->finished = g_signal_connect (message, "finished", G_CALLBACK (on_finished), poll);
  g_ptr_array_add (store->polls, poll);
  soup_server_message_pause (message);
}

static void
handle_get (struct SoakStore *store,
            SoupServerMessage *message,
            enum CfFeedKind kind,
            GHashTable *query)
{
  const char *watch = query ? g_hash_table_lookup (query, "watch") : NULL;
  const char *wait = query ? g_hash_table_lookup (query, "wait-ms") : NULL;
  uint64_t revision = watch ? g_ascii_strtoull (watch, NULL, 10) : 0;

  if (!watch)
    respond_list (store, message, kind, query ? g_hash_table_lookup (query, "after") : NULL);
  else if (!respond_changes (store, message, kind, revision, false))
    begin_poll (store, message, kind, revision, wait ? (guint) atoi (wait) : 0);
}

/* Creates (POST) or replaces (PUT) the object in the body of MESSAGE. */
static guint
write_object (struct SoakStore *store, SoupServerMessage *message, enum CfFeedKind kind)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  GBytes *bytes = soup_message_body_flatten (body);
  char *text = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  bool create = strcmp (soup_server_message_get_method (message), "POST") == 0;
  char *spec = strstr (text, "\"spec\":");
  char *name = strstr (text, "\"name\":\"");
  guint status = SOUP_STATUS_BAD_REQUEST;

  if (spec && name)
    {
      char *end = strrchr (spec, '}');
      char *quote = strchr (name + 8, '"');
      bool exists;

      *end = 0;
      *quote = 0;
      exists = test_store_get (store->data, kind, name + 8);
      status = create && exists ? SOUP_STATUS_CONFLICT : SOUP_STATUS_OK;
      if (!create && !exists)
        status = SOUP_STATUS_NOT_FOUND;
      if (status == SOUP_STATUS_OK)
        soak_store_put (store, kind, name + 8, spec + 7);
    }
  g_free (text);
  g_bytes_unref (bytes);
  return status;
}

static void
handle (SoupServer *soup,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct SoakStore *store = data;

  (void) soup;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      char *prefix = g_strconcat ("/-/objects/", kinds[kind], NULL);
      bool matches = g_str_has_prefix (path, prefix);

      g_free (prefix);
      if (!matches)
        continue;
      if (strcmp (soup_server_message_get_method (message), "GET") == 0)
        handle_get (store, message, (enum CfFeedKind) kind, query);
      else
        respond (store, message, write_object (store, message, (enum CfFeedKind) kind),
                 g_string_new ("{}"));
      return;
    }
  respond (store, message, SOUP_STATUS_NOT_FOUND, g_string_new ("{}"));
}

/* Listens at address 127.0.0.INDEX. */
static void
listen_at (struct SoakStore *store, uint16_t port, int index)
{
  char *ip = g_strdup_printf ("127.0.0.%d", index);
  GSocketAddress *address = g_inet_socket_address_new_from_string (ip, port);
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  GError *error = NULL;

  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (!g_socket_bind (socket, address, TRUE, &error) || !g_socket_listen (socket, &error)
      || !soup_server_listen_socket (store->server, socket, 0, &error))
    g_error ("store %s: %s", ip, error->message);
  g_object_unref (socket);
  g_object_unref (address);
  g_free (ip);
}

struct SoakStore *
soak_store_new (struct Soak *soak)
{
  struct SoakStore *store = g_new0 (struct SoakStore, 1);

  store->data = test_store_new ();
  store->polls = g_ptr_array_new ();
  store->page = PAGE_DEFAULT;
  store->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (store->server, NULL, handle, store, NULL);
  for (int i = 1; i <= SOAK_STORE_LISTENERS; i++)
    listen_at (store, SOAK_STORE_PORT (soak), i);
  return store;
}

void
soak_store_free (struct SoakStore *store)
{
  for (guint i = 0; i < store->polls->len; i++)
    free_poll (store->polls->pdata[i]);
  soup_server_disconnect (store->server);
  g_object_unref (store->server);
  g_ptr_array_unref (store->polls);
  test_store_free (store->data);
  g_free (store);
}

static void
answer_polls (struct SoakStore *store, guint status)
{
  for (guint i = store->polls->len; i > 0; i--)
    answer_poll (store->polls->pdata[i - 1], status);
}

void
soak_store_put (struct SoakStore *store,
                enum CfFeedKind kind,
                const char *name,
                const char *content)
{
  if (!test_store_put (store->data, kind, name, content, soak_now ()))
    return;
  for (guint i = store->polls->len; i > 0; i--)
    {
      struct LongPoll *poll = store->polls->pdata[i - 1];

      if (poll->kind == kind)
        answer_poll (poll, SOUP_STATUS_OK);
    }
}

void
soak_store_put_raw (struct SoakStore *store,
                    enum CfFeedKind kind,
                    const char *name,
                    const char *object)
{
  char *content = g_strdup_printf ("%c%s", RAW, object);

  soak_store_put (store, kind, name, content);
  g_free (content);
}

const char *
soak_store_get (const struct SoakStore *store, enum CfFeedKind kind, const char *name)
{
  return test_store_get (store->data, kind, name);
}

void
soak_store_set_page (struct SoakStore *store, guint page)
{
  store->page = page;
}

void
soak_store_set_garbled (struct SoakStore *store, bool garbled)
{
  store->garbled = garbled;
}

uint64_t
soak_store_era (const struct SoakStore *store)
{
  return test_store_era (store->data);
}

void
soak_store_compact (struct SoakStore *store)
{
  test_store_compact (store->data);
  answer_polls (store, 410);
}

void
soak_store_restore (struct SoakStore *store, int age_ms)
{
  test_store_restore (store->data, soak_now () - age_ms);
  answer_polls (store, 503);
}

GPtrArray *
soak_store_names (struct SoakStore *store, enum CfFeedKind kind)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  struct CfFeedResponse response;

  test_store_list (store->data, kind, NULL, G_MAXUINT, &response);
  for (guint i = 0; i < response.records->len; i++)
    g_ptr_array_add (names, g_strdup (((struct CfRecord *) response.records->pdata[i])->name));
  cf_feed_response_clear (&response);
  return names;
}
