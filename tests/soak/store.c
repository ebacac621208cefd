#include "soak.h"

#include <string.h>

/* A fake of the platform's store: objects by kind, with lists, long polls and writes. */

struct Object
{
  enum CfFeedKind kind;
  char *name;
  uint64_t revision;
  bool deleted;
  char *content;
};

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
  GPtrArray *log; /* of struct Object: all changes in order */
  uint64_t revision;
  uint64_t compacted_revision; /* changes up to it are no longer available */
  GPtrArray *polls;            /* of struct LongPoll */
};

static const char *const kinds[CF_FEED_KINDS]
    = { "config", "servers", "evacuations", "cyclamenferry-vms" };

static void
append_object (GString *text, const struct Object *object)
{
  g_string_append_printf (text,
                          "{\"meta\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                          ",\"deleting\":false},\"spec\":%s,\"status\":null}",
                          object->name, object->revision,
                          object->content ? object->content : "null");
}

static bool
is_latest (const struct SoakStore *store, guint index)
{
  const struct Object *object = store->log->pdata[index];

  for (guint i = index + 1; i < store->log->len; i++)
    {
      const struct Object *later = store->log->pdata[i];

      if (later->kind == object->kind && strcmp (later->name, object->name) == 0)
        return false;
    }
  return !object->deleted;
}

static void
respond (SoupServerMessage *message, guint status, GString *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, text->str,
                                    text->len);
  g_string_free (text, TRUE);
}

static void
respond_list (struct SoakStore *store, SoupServerMessage *message, enum CfFeedKind kind)
{
  GString *text = g_string_new ("{\"items\":[");
  bool first = true;

  for (guint i = 0; i < store->log->len; i++)
    if (((struct Object *) store->log->pdata[i])->kind == kind && is_latest (store, i))
      {
        g_string_append (text, first ? "" : ",");
        append_object (text, store->log->pdata[i]);
        first = false;
      }
  g_string_append_printf (text, "],\"truncated\":false,\"store-revision\":%" G_GUINT64_FORMAT "}",
                          store->revision);
  respond (message, SOUP_STATUS_OK, text);
}

/* Returns false if there is no change after REVISION. */
static bool
respond_changes (struct SoakStore *store,
                 SoupServerMessage *message,
                 enum CfFeedKind kind,
                 uint64_t revision,
                 bool always)
{
  GString *text = g_string_new ("{\"events\":[");
  bool any = false;

  for (guint i = 0; i < store->log->len; i++)
    {
      const struct Object *object = store->log->pdata[i];

      if (object->kind != kind || object->revision <= revision)
        continue;
      g_string_append_printf (text, "%s{\"deleted\":%s,\"object\":", any ? "," : "",
                              object->deleted ? "true" : "false");
      append_object (text, object);
      g_string_append (text, "}");
      any = true;
    }
  if (!any && !always)
    {
      g_string_free (text, TRUE);
      return false;
    }
  g_string_append_printf (text, "],\"store-revision\":%" G_GUINT64_FORMAT "}", store->revision);
  respond (message, SOUP_STATUS_OK, text);
  return true;
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
    respond (message, status, g_string_new ("{}"));
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
    respond_list (store, message, kind);
  else if (revision < store->compacted_revision)
    respond (message, 410, g_string_new ("{}"));
  else if (!respond_changes (store, message, kind, revision, false))
    begin_poll (store, message, kind, revision, wait ? (guint) atoi (wait) : 0);
}

static void
handle_write (struct SoakStore *store,
              SoupServerMessage *message,
              enum CfFeedKind kind,
              const char *path)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  GBytes *bytes = soup_message_body_flatten (body);
  char *text = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  char *spec = strstr (text, "\"spec\":");
  char *name = strstr (text, "\"name\":\"");

  if (spec && name)
    {
      char *end = strrchr (spec, '}');
      char *quote = strchr (name + 8, '"');

      *end = 0;
      *quote = 0;
      soak_store_put (store, kind, name + 8, spec + 7);
    }
  respond (message, spec && name ? SOUP_STATUS_OK : SOUP_STATUS_BAD_REQUEST, g_string_new ("{}"));
  (void) path;
  g_free (text);
  g_bytes_unref (bytes);
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
        handle_write (store, message, (enum CfFeedKind) kind, path);
      return;
    }
  respond (message, SOUP_STATUS_NOT_FOUND, g_string_new ("{}"));
}

static void
free_object (gpointer data)
{
  struct Object *object = data;

  g_free (object->name);
  g_free (object->content);
  g_free (object);
}

struct SoakStore *
soak_store_new (struct Soak *soak)
{
  struct SoakStore *store = g_new0 (struct SoakStore, 1);
  GInetAddress *ip = g_inet_address_new_from_string ("127.0.0.1");
  GSocketAddress *address = g_inet_socket_address_new (ip, SOAK_STORE_PORT (soak));
  GError *error = NULL;

  store->log = g_ptr_array_new_with_free_func (free_object);
  store->polls = g_ptr_array_new ();
  store->revision = 10;
  store->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (store->server, NULL, handle, store, NULL);
  if (!soup_server_listen (store->server, address, 0, &error))
    g_error ("store: %s", error->message);
  g_object_unref (address);
  g_object_unref (ip);
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
  g_ptr_array_unref (store->log);
  g_free (store);
}

void
soak_store_put (struct SoakStore *store,
                enum CfFeedKind kind,
                const char *name,
                const char *content)
{
  struct Object *object = g_new0 (struct Object, 1);

  object->kind = kind;
  object->name = g_strdup (name);
  object->revision = ++store->revision;
  object->deleted = !content;
  object->content = g_strdup (content);
  g_ptr_array_add (store->log, object);
  for (guint i = store->polls->len; i > 0; i--)
    {
      struct LongPoll *poll = store->polls->pdata[i - 1];

      if (poll->kind == kind)
        answer_poll (poll, SOUP_STATUS_OK);
    }
}

void
soak_store_compact (struct SoakStore *store)
{
  store->compacted_revision = store->revision;
  for (guint i = store->polls->len; i > 0; i--)
    answer_poll (store->polls->pdata[i - 1], 410);
}
