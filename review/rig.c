/* Runs entry VMs (the program under review) as separate processes on loopback addresses, between
 * stand-ins for the platform's store and routers, requesters and endpoints, and checks rules of
 * the users' pages at the stand-ins.
 *
 *   rig CASE PROGRAM FOLDER TROUBLE
 *
 * CASE is the name of a scenario (scenarios.h), PROGRAM the binary of the deploy file, FOLDER a
 * temporary folder for settings and logs.  With TROUBLE 0 the disruption
 * is left out.  The record goes to standard output.  Exit status: 0 the rule held, 1 it was broken,
 * 2 the case could not run. */

#include <gio/gio.h>
#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* Figures of vuoka-ferry (SYSTEM.md, sites/vuoka-ferry.toml). */
#define HEARTBEAT_MS 1200
#define DRAIN_TIMEOUT_MS 3000
#define EVACUATION_MS 5000
#define STABILITY_MS 4000
#define GRACE_MS 6000
#define STORE_ANSWER_MS 4
#define PAGE_MAX 500 /* "about 500 or 1 MB at most" */
#define RESTART_MS 1000 /* from the end of a process to its next start */
#define LEAD_MS 6000 /* from the start of the VMs to the start of traffic */

#define ZONES 4
#define VMS 6 /* two in each of the first two zones, one in each of the others */
#define CALLERS 8
#define SERVICE_IP 0xc6120001u /* 198.18.0.1 */
#define HEADER 32
#define DATA_MAX 1200

enum
{
  SYN = 64,
  ACK = 2,
  FIN = 16,
  RST = 8,
  BOUNCED = 128,
};

static const char *const zones[ZONES] = { "fi-south-a", "fi-south-b", "fi-south-c", "fi-south-d" };

static GMainLoop *loop;
static char *program;
static char *folder;
static bool trouble;
static int octet;          /* second octet of this run's loopback addresses */
static guint16 base_port;  /* routers and VMs; the next ones: ready, peers, control, store */
static gint64 began;
static int violations;
static int exit_status = -1;

#define FABRIC_PORT (base_port)
#define READY_PORT ((guint16) (base_port + 1))
#define PEER_PORT ((guint16) (base_port + 2))
#define CONTROL_PORT ((guint16) (base_port + 3))
#define STORE_PORT ((guint16) (base_port + 4))
#define ENDPOINT_PORT ((guint16) (base_port + 5))

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void note (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
note (const char *format, ...)
{
  va_list args;

  printf ("%8.3f ", (double) (now_ms () - began) / 1000);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static void
finish (int status)
{
  if (exit_status < 0)
    exit_status = status;
  g_main_loop_quit (loop);
}

static void
cannot_run (const char *why)
{
  note ("cannot run: %s", why);
  finish (2);
}

/* ---- Packets ---- */

struct Packet
{
  guint32 src, dst;
  guint16 sport, dport;
  guint8 flags;
  guint32 seq, ack, echo, sum;
  guint16 len;
  const guint8 *data;
};

static void
put (guint8 *at, int bytes, guint32 value)
{
  for (int i = bytes - 1; i >= 0; i--, value >>= 8)
    at[i] = (guint8) value;
}

static guint32
get (const guint8 *at, int bytes)
{
  guint32 value = 0;

  for (int i = 0; i < bytes; i++)
    value = value << 8 | at[i];
  return value;
}

/* A keyed sum over all fields except echo, pad and BOUNCED; never 0. */
static guint32
keyed_sum (const guint8 *bytes, gsize size)
{
  guint32 sum = 0x9e3779b9u;

  for (gsize i = 0; i < size; i++)
    {
      guint8 byte = bytes[i];

      if (i == 3 || (i >= 16 && i < 20) || (i >= 28 && i < 32))
        continue;
      if (i == 2)
        byte &= (guint8) ~BOUNCED;
      sum = (sum ^ byte) * 16777619u;
      sum ^= sum >> 15;
    }
  return sum ? sum : 1;
}

static gsize
write_packet (const struct Packet *packet, guint8 *out)
{
  put (out, 2, packet->len);
  out[2] = packet->flags;
  out[3] = 0;
  put (out + 4, 4, packet->dst);
  put (out + 8, 2, packet->sport);
  put (out + 10, 4, packet->src);
  put (out + 14, 2, packet->dport);
  put (out + 20, 4, packet->seq);
  put (out + 24, 4, packet->ack);
  put (out + 28, 4, packet->echo);
  if (packet->len)
    memcpy (out + HEADER, packet->data, packet->len);
  put (out + 16, 4, keyed_sum (out, HEADER + packet->len));
  return HEADER + packet->len;
}

/* Returns false if BYTES are no packet.  GOOD_SUM tells whether its sender wrote it so. */
static bool
read_packet (const guint8 *bytes, gsize size, struct Packet *packet, bool *good_sum)
{
  if (size < HEADER || get (bytes, 2) != size - HEADER)
    return false;
  *packet = (struct Packet){
    .len = (guint16) get (bytes, 2),
    .flags = bytes[2],
    .dst = get (bytes + 4, 4),
    .sport = (guint16) get (bytes + 8, 2),
    .src = get (bytes + 10, 4),
    .dport = (guint16) get (bytes + 14, 2),
    .sum = get (bytes + 16, 4),
    .seq = get (bytes + 20, 4),
    .ack = get (bytes + 24, 4),
    .echo = get (bytes + 28, 4),
    .data = bytes + HEADER,
  };
  *good_sum = packet->sum == keyed_sum (bytes, size);
  return true;
}

static GSocketAddress *
ip_address (guint32 ip, guint16 port)
{
  guint8 raw[4];
  GInetAddress *address;
  GSocketAddress *result;

  put (raw, 4, ip);
  address = g_inet_address_new_from_bytes (raw, G_SOCKET_FAMILY_IPV4);
  result = g_inet_socket_address_new (address, port);
  g_object_unref (address);
  return result;
}

static void
send_datagram (GSocket *socket, guint32 ip, guint16 port, const guint8 *bytes, gsize size)
{
  GSocketAddress *to = ip_address (ip, port);

  g_socket_send_to (socket, to, (const char *) bytes, size, NULL, NULL);
  g_object_unref (to);
}

static GSocket *
udp_socket (guint32 ip, guint16 port)
{
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, NULL);
  GSocketAddress *local = ip_address (ip, port);

  g_socket_set_blocking (socket, FALSE);
  if (!g_socket_bind (socket, local, FALSE, NULL))
    g_clear_object (&socket);
  g_object_unref (local);
  return socket;
}

static guint32
run_ip (int third, int fourth)
{
  return 127u << 24 | (guint32) octet << 16 | (guint32) third << 8 | (guint32) fourth;
}

static char *
ip_text (guint32 ip)
{
  return g_strdup_printf ("%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255);
}

/* ---- The platform's store ---- */

struct Object
{
  char *name;
  char *spec;
  guint64 revision;
  guint64 created;
};

struct Event
{
  char *kind;
  guint64 revision;
  char *text;
};

struct Call
{
  SoupServerMessage *message;
  char *kind;
  char *after;
  bool watch;
  bool arrived; /* the time that an answer takes is over */
  guint64 revision;
  gint64 until;
  guint timer;
  gulong finished;
};

static SoupServer *store_server;
static GHashTable *store_kinds; /* kind to GTree of name to struct Object */
static GPtrArray *store_events; /* of struct Event */
static GPtrArray *store_calls;  /* of struct Call that wait */
static guint64 store_revision = 100;
static gsize store_page = PAGE_MAX;
static guint64 store_era = 1;
static bool store_away;             /* every call gets 503 */
static bool store_rejects_writes;   /* those of VMs get 503 */
static GHashTable *store_copy;      /* of store_kinds, to be restored */
static guint64 store_copy_revision;
static guint64 store_history_from;  /* changes up to it are gone */

static gint
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}

static void
free_object (gpointer data)
{
  struct Object *object = data;

  g_free (object->name);
  g_free (object->spec);
  g_free (object);
}

static GTree *
store_kind (const char *kind)
{
  GTree *tree = g_hash_table_lookup (store_kinds, kind);

  if (!tree)
    {
      tree = g_tree_new_full (compare_names, NULL, NULL, free_object);
      g_hash_table_insert (store_kinds, g_strdup (kind), tree);
    }
  return tree;
}

static char *
object_text (const struct Object *object)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text,
                          "{\"meta\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                          ",\"create-revision\":%" G_GUINT64_FORMAT
                          ",\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null",
                          object->name, object->revision, object->created, object->spec);
  g_string_append_c (text, '}');
  return g_string_free (text, FALSE);
}

static void pump_calls (void);
static gboolean call_due (gpointer data);

static void
store_log (const char *kind, const struct Object *object, bool deleted)
{
  struct Event *event = g_new0 (struct Event, 1);
  char *text = object_text (object);

  event->kind = g_strdup (kind);
  event->revision = store_revision;
  event->text
      = g_strdup_printf ("{\"deleted\":%s,\"object\":%s}", deleted ? "true" : "false", text);
  g_ptr_array_add (store_events, event);
  g_free (text);
}

static void
store_put (const char *kind, const char *name, const char *spec)
{
  GTree *tree = store_kind (kind);
  struct Object *object = g_tree_lookup (tree, name);

  if (object && strcmp (object->spec, spec) == 0)
    return;
  store_revision++;
  if (!object)
    {
      object = g_new0 (struct Object, 1);
      object->name = g_strdup (name);
      object->created = store_revision;
      g_tree_insert (tree, object->name, object);
    }
  g_free (object->spec);
  object->spec = g_strdup (spec);
  object->revision = store_revision;
  store_log (kind, object, false);
  pump_calls ();
}

static void
store_delete (const char *kind, const char *name)
{
  GTree *tree = store_kind (kind);
  struct Object *object = g_tree_lookup (tree, name);

  if (!object)
    return;
  object->revision = ++store_revision;
  store_log (kind, object, true);
  g_tree_remove (tree, name);
  pump_calls ();
}

static void
respond (SoupServerMessage *message, guint status, const char *text)
{
  char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, store_era);

  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Store-Era",
                                era);
  g_free (era);
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, text,
                                    strlen (text));
}

struct ListState
{
  GString *text;
  const char *after;
  gsize count;
  bool truncated;
};

static gboolean
list_object (gpointer key, gpointer value, gpointer data)
{
  struct ListState *state = data;
  char *text;

  if (state->after && strcmp (key, state->after) <= 0)
    return FALSE;
  if (state->count == store_page)
    {
      state->truncated = true;
      return TRUE;
    }
  text = object_text (value);
  if (state->count++ > 0)
    g_string_append_c (state->text, ',');
  g_string_append (state->text, text);
  g_free (text);
  return FALSE;
}

static void
answer_list (struct Call *call)
{
  struct ListState state = { .text = g_string_new ("{\"items\":["), .after = call->after };

  g_tree_foreach (store_kind (call->kind), list_object, &state);
  g_string_append_printf (state.text,
                          "],\"truncated\":%s,\"store-revision\":%" G_GUINT64_FORMAT "}",
                          state.truncated ? "true" : "false", store_revision);
  respond (call->message, 200, state.text->str);
  g_string_free (state.text, TRUE);
}

/* Returns false if there is no event yet. */
static bool
answer_watch (struct Call *call, bool always)
{
  GString *text;
  bool any = false;

  if (call->revision > store_revision || call->revision < store_history_from)
    {
      respond (call->message, 410, "{}");
      return true;
    }
  text = g_string_new ("{\"events\":[");
  for (guint i = 0; i < store_events->len; i++)
    {
      struct Event *event = store_events->pdata[i];

      if (event->revision <= call->revision || strcmp (event->kind, call->kind) != 0)
        continue;
      if (any)
        g_string_append_c (text, ',');
      g_string_append (text, event->text);
      any = true;
    }
  g_string_append_printf (text, "],\"store-revision\":%" G_GUINT64_FORMAT "}", store_revision);
  if (any || always)
    respond (call->message, 200, text->str);
  g_string_free (text, TRUE);
  return any || always;
}

static void
free_call (struct Call *call)
{
  g_signal_handler_disconnect (call->message, call->finished);
  if (call->timer)
    g_source_remove (call->timer);
  g_object_unref (call->message);
  g_free (call->kind);
  g_free (call->after);
  g_free (call);
}

static void
end_call (struct Call *call)
{
  SoupServerMessage *message = g_object_ref (call->message);

  g_ptr_array_remove_fast (store_calls, call);
  free_call (call);
  soup_server_message_unpause (message);
  g_object_unref (message);
}

static void (*on_watch_answered) (const char *kind);

static gboolean
call_due (gpointer data)
{
  struct Call *call = data;
  gint64 left = call->until - now_ms ();

  call->timer = 0;
  call->arrived = true;
  if (store_away)
    respond (call->message, 503, "{}");
  else if (!call->watch)
    answer_list (call);
  else if (!answer_watch (call, left <= 0))
    {
      call->timer = g_timeout_add ((guint) left, call_due, call);
      return G_SOURCE_REMOVE;
    }
  if (call->watch && on_watch_answered)
    on_watch_answered (call->kind);
  end_call (call);
  return G_SOURCE_REMOVE;
}

/* Something has changed: watches that wait are answered, after the time that an answer takes. */
static void
pump_calls (void)
{
  for (guint i = 0; i < store_calls->len; i++)
    {
      struct Call *call = store_calls->pdata[i];

      if (!call->watch || !call->arrived)
        continue;
      call->arrived = false;
      if (call->timer)
        g_source_remove (call->timer);
      call->timer = g_timeout_add (STORE_ANSWER_MS, call_due, call);
    }
}

static void
call_finished (SoupServerMessage *message, gpointer data)
{
  (void) message;
  g_ptr_array_remove_fast (store_calls, data);
  free_call (data);
}

static guint
write_object (SoupServerMessage *message, const char *kind, const char *name)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  GBytes *bytes = soup_message_body_flatten (body);
  JsonParser *parser = json_parser_new ();
  bool create = strcmp (soup_server_message_get_method (message), "POST") == 0;
  guint status = 400;

  if (json_parser_load_from_data (parser, g_bytes_get_data (bytes, NULL),
                                  (gssize) g_bytes_get_size (bytes), NULL))
    {
      JsonObject *root = json_node_get_object (json_parser_get_root (parser));
      JsonObject *meta = json_object_get_object_member (root, "meta");
      char *spec = json_to_string (json_object_get_member (root, "spec"), FALSE);
      const char *named = name ? name : json_object_get_string_member (meta, "name");
      bool exists = g_tree_lookup (store_kind (kind), named);

      status = create && exists ? 409 : !create && !exists ? 404 : 200;
      if (status == 200)
        store_put (kind, named, spec);
      g_free (spec);
    }
  g_object_unref (parser);
  g_bytes_unref (bytes);
  return status;
}

static void
handle_call (SoupServer *server,
             SoupServerMessage *message,
             const char *path,
             GHashTable *query,
             gpointer data)
{
  char **parts = g_strsplit (path, "/", -1); /* "", "-", "objects", KIND, NAME */
  guint count = g_strv_length (parts);
  const char *watch = query ? g_hash_table_lookup (query, "watch") : NULL;
  const char *wait = query ? g_hash_table_lookup (query, "wait-ms") : NULL;
  struct Call *call;

  (void) server;
  (void) data;
  if (count < 4 || strcmp (parts[2], "objects") != 0)
    respond (message, 404, "{}");
  else if (store_away)
    respond (message, 503, "{}");
  else if (strcmp (soup_server_message_get_method (message), "GET") != 0)
    {
      const char *name = count > 4 ? parts[4] : NULL;

      if (strcmp (soup_server_message_get_method (message), "DELETE") == 0)
        {
          store_delete (parts[3], name);
          respond (message, 200, "{}");
        }
      else if (store_rejects_writes)
        respond (message, 503, "{}");
      else
        respond (message, write_object (message, parts[3], name), "{}");
    }
  else
    {
      call = g_new0 (struct Call, 1);
      call->message = g_object_ref (message);
      call->kind = g_strdup (parts[3]);
      call->after = g_strdup (query ? g_hash_table_lookup (query, "after") : NULL);
      call->watch = watch != NULL;
      call->revision = watch ? g_ascii_strtoull (watch, NULL, 10) : 0;
      call->until = now_ms () + STORE_ANSWER_MS + (wait ? atoi (wait) : 0);
      call->finished = g_signal_connect (message, "finished", G_CALLBACK (call_finished), call);
      g_ptr_array_add (store_calls, call);
      if (!call->watch)
        note ("store: list %s%s%s", call->kind, call->after ? " after " : "",
              call->after ? call->after : "");
      soup_server_message_pause (message);
      call->timer = g_timeout_add (STORE_ANSWER_MS, call_due, call);
    }
  g_strfreev (parts);
}

static gboolean
copy_object (gpointer key, gpointer value, gpointer data)
{
  const struct Object *object = value;
  struct Object *copy = g_memdup2 (object, sizeof *object);

  (void) key;
  copy->name = g_strdup (object->name);
  copy->spec = g_strdup (object->spec);
  g_tree_insert (data, copy->name, copy);
  return FALSE;
}

/* Keeps a copy of the store, which a restore brings back. */
static G_GNUC_UNUSED void
store_save (void)
{
  GHashTableIter iter;
  gpointer kind;
  gpointer tree;

  store_copy = g_hash_table_new (g_str_hash, g_str_equal);
  store_copy_revision = store_revision;
  g_hash_table_iter_init (&iter, store_kinds);
  while (g_hash_table_iter_next (&iter, &kind, &tree))
    {
      GTree *copy = g_tree_new_full (compare_names, NULL, NULL, free_object);

      g_tree_foreach (tree, copy_object, copy);
      g_hash_table_insert (store_copy, g_strdup (kind), copy);
    }
  note ("store: a copy is made, revision %" G_GUINT64_FORMAT, store_revision);
}

/* The store is away for a moment; watches that wait are cut off. */
static G_GNUC_UNUSED void
store_go_away (void)
{
  note ("store: away");
  store_away = true;
  for (guint i = 0; i < store_calls->len; i++)
    {
      struct Call *call = store_calls->pdata[i];

      if (call->timer)
        g_source_remove (call->timer);
      call->timer = g_timeout_add (STORE_ANSWER_MS, call_due, call);
    }
}

static G_GNUC_UNUSED void
store_restore (void)
{
  store_kinds = store_copy;
  store_revision = store_copy_revision;
  store_history_from = store_copy_revision;
  g_ptr_array_set_size (store_events, 0);
  store_era++;
  store_away = false;
  note ("store: back from the copy, revision %" G_GUINT64_FORMAT ", era %" G_GUINT64_FORMAT,
        store_revision, store_era);
}

static void
start_store (void)
{
  GSocketAddress *local = ip_address (run_ip (0, 1), STORE_PORT);

  store_kinds = g_hash_table_new (g_str_hash, g_str_equal);
  store_events = g_ptr_array_new ();
  store_calls = g_ptr_array_new ();
  store_server = soup_server_new (NULL, NULL);
  soup_server_add_handler (store_server, NULL, handle_call, NULL, NULL);
  if (!soup_server_listen (store_server, local, 0, NULL))
    cannot_run ("the store's port is taken");
  g_object_unref (local);
}

/* ---- The way of each VM to the store ---- */

/* A connection between a VM and the store, forwarded by the proxy of that VM. */
struct Link
{
  GSocketConnection *ends[2];
  bool silent; /* nothing is forwarded any more, and neither end is told */
  bool closed;
};

struct Pump
{
  struct Link *link;
  int from;
  GBytes *bytes;
};

struct Proxy
{
  GSocketService *service;
  GPtrArray *links;
  bool cut;
};

static struct Proxy proxies[VMS];

static void pump_read (struct Pump *pump);

static void
pump_written (GObject *source, GAsyncResult *result, gpointer data)
{
  struct Pump *pump = data;

  g_bytes_unref (pump->bytes);
  if (g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result, NULL, NULL))
    pump_read (pump);
}

static void
pump_received (GObject *source, GAsyncResult *result, gpointer data)
{
  struct Pump *pump = data;
  struct Link *link = pump->link;
  GOutputStream *to = g_io_stream_get_output_stream (G_IO_STREAM (link->ends[!pump->from]));

  pump->bytes = g_input_stream_read_bytes_finish (G_INPUT_STREAM (source), result, NULL);
  if (link->silent || link->closed)
    return;
  if (!pump->bytes || g_bytes_get_size (pump->bytes) == 0)
    {
      link->closed = true;
      g_io_stream_close_async (G_IO_STREAM (link->ends[0]), 0, NULL, NULL, NULL);
      g_io_stream_close_async (G_IO_STREAM (link->ends[1]), 0, NULL, NULL, NULL);
      return;
    }
  g_output_stream_write_all_async (to, g_bytes_get_data (pump->bytes, NULL),
                                   g_bytes_get_size (pump->bytes), 0, NULL, pump_written, pump);
}

static void
pump_read (struct Pump *pump)
{
  GInputStream *from
      = g_io_stream_get_input_stream (G_IO_STREAM (pump->link->ends[pump->from]));

  g_input_stream_read_bytes_async (from, 65536, 0, NULL, pump_received, pump);
}

static void
proxy_connected (GObject *source, GAsyncResult *result, gpointer data)
{
  struct Link *link = data;

  link->ends[1] = g_socket_client_connect_finish (G_SOCKET_CLIENT (source), result, NULL);
  if (!link->ends[1])
    {
      link->closed = true;
      g_io_stream_close_async (G_IO_STREAM (link->ends[0]), 0, NULL, NULL, NULL);
    }
  for (int i = 0; i < 2 && link->ends[1]; i++)
    {
      struct Pump *pump = g_new0 (struct Pump, 1);

      *pump = (struct Pump){ .link = link, .from = i };
      pump_read (pump);
    }
}

static gboolean
proxy_incoming (GSocketService *service, GSocketConnection *connection, GObject *from, gpointer data)
{
  struct Proxy *proxy = data;
  struct Link *link = g_new0 (struct Link, 1);
  GSocketClient *client = g_socket_client_new ();
  GSocketAddress *store = ip_address (run_ip (0, 1), STORE_PORT);

  (void) service;
  (void) from;
  g_socket_client_set_enable_proxy (client, FALSE);
  link->ends[0] = g_object_ref (connection);
  link->silent = proxy->cut;
  g_ptr_array_add (proxy->links, link);
  if (!link->silent)
    g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (store), NULL, proxy_connected,
                                   link);
  g_object_unref (store);
  g_object_unref (client);
  return TRUE;
}

/* Connections that are open now go silent for good. */
static G_GNUC_UNUSED void
proxy_silence (struct Proxy *proxy)
{
  for (guint i = 0; i < proxy->links->len; i++)
    ((struct Link *) proxy->links->pdata[i])->silent = true;
}

static guint32
proxy_ip (int vm)
{
  return run_ip (5, 1 + vm);
}

static void
start_proxies (void)
{
  for (int i = 0; i < VMS; i++)
    {
      GSocketAddress *local = ip_address (proxy_ip (i), STORE_PORT);

      proxies[i].links = g_ptr_array_new ();
      proxies[i].service = g_socket_service_new ();
      if (!g_socket_listener_add_address (G_SOCKET_LISTENER (proxies[i].service), local,
                                          G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                          NULL))
        cannot_run ("a proxy's port is taken");
      g_signal_connect (proxies[i].service, "incoming", G_CALLBACK (proxy_incoming), &proxies[i]);
      g_object_unref (local);
    }
}

/* ---- Entry VMs and the platform's routers ---- */

struct Vm
{
  int index;
  char *name;
  const char *zone;
  guint32 ip;
  char *settings;
  GPid pid;
  bool in_rotation;
  int misses;
  gint64 touched_at; /* last start, end or signal */
  int ends;          /* by itself */
  bool expected;     /* its end was ordered */
  guint restart_ms;  /* after its end; 0: it stays away */
};

static struct Vm vms[VMS];
static bool first_vm_later; /* the scenario starts it */
static SoupSession *session;
static void (*on_vm_end) (struct Vm *vm);

static void vm_start (struct Vm *vm);

static gboolean
vm_restart (gpointer data)
{
  struct Vm *vm = data;

  if (!vm->pid && exit_status < 0)
    vm_start (vm);
  return G_SOURCE_REMOVE;
}

static void
vm_ended (GPid pid, gint status, gpointer data)
{
  struct Vm *vm = data;

  g_spawn_close_pid (pid);
  vm->pid = 0;
  vm->touched_at = now_ms ();
  if (WIFSIGNALED (status))
    note ("vm %s: ended by signal %d%s", vm->name, WTERMSIG (status),
          vm->expected ? "" : ", which nobody here sent");
  else
    note ("vm %s: exited with %d%s", vm->name, WEXITSTATUS (status),
          vm->expected ? "" : ", unasked");
  if (!vm->expected)
    vm->ends++;
  vm->expected = false;
  if (vm->restart_ms)
    g_timeout_add (vm->restart_ms, vm_restart, vm);
  if (on_vm_end)
    on_vm_end (vm);
}

static void
child_setup (gpointer data)
{
  (void) data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
vm_start (struct Vm *vm)
{
  char *argv[] = { program, (char *) "balance", NULL };
  char *boot = g_strdup_printf ("CYCLAMENFERRY_BOOT=%s", vm->settings);
  char *path = g_strdup_printf ("PATH=%s", g_getenv ("PATH"));
  char *envp[] = { boot, path, (char *) "LANG=C", NULL };
  char *log = g_strdup_printf ("%s/%s.log", folder, vm->name);
  FILE *out = fopen (log, "a");
  GError *error = NULL;

  if (!out
      || !g_spawn_async_with_fds (NULL, argv, envp, G_SPAWN_DO_NOT_REAP_CHILD, child_setup, NULL,
                                  &vm->pid, -1, fileno (out), fileno (out), &error))
    cannot_run (error ? error->message : "no log file");
  else
    {
      note ("vm %s: started", vm->name);
      g_child_watch_add (vm->pid, vm_ended, vm);
    }
  if (out)
    fclose (out);
  vm->touched_at = now_ms ();
  g_free (log);
  g_free (boot);
  g_free (path);
}

static void
vm_signal (struct Vm *vm, int number)
{
  if (!vm->pid)
    return;
  note ("vm %s: signal %d", vm->name, number);
  vm->expected = vm->expected || number == SIGTERM || number == SIGKILL;
  vm->touched_at = now_ms ();
  kill (vm->pid, number);
}

static gboolean
vm_kill_after_grace (gpointer data)
{
  struct Vm *vm = data;

  if (vm->pid && vm->expected)
    vm_signal (vm, SIGKILL);
  return G_SOURCE_REMOVE;
}

static void
vm_stop (struct Vm *vm)
{
  vm_signal (vm, SIGTERM);
  g_timeout_add (GRACE_MS, vm_kill_after_grace, vm);
}

static bool
vm_in_touch (const struct Vm *vm)
{
  return vm->pid && now_ms () - vm->touched_at >= STABILITY_MS;
}

static void
ready_answered (GObject *source, GAsyncResult *result, gpointer data)
{
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  struct Vm *vm = data;
  bool ready = body && soup_message_get_status (message) == 200;

  vm->misses = ready ? 0 : vm->misses + 1;
  if (ready != vm->in_rotation && (ready || vm->misses >= 2))
    {
      vm->in_rotation = ready;
      note ("router: %s %s rotation", vm->name, ready ? "in" : "out of");
    }
  g_clear_pointer (&body, g_bytes_unref);
}

static gboolean
check_ready (gpointer data)
{
  (void) data;
  for (int i = 0; i < VMS; i++)
    {
      char *ip = ip_text (vms[i].ip);
      char *url = g_strdup_printf ("http://%s:%u/-/readiness", ip, READY_PORT);
      SoupMessage *message = soup_message_new ("GET", url);

      soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
      soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, ready_answered,
                                        &vms[i]);
      g_object_unref (message);
      g_free (url);
      g_free (ip);
    }
  return G_SOURCE_CONTINUE;
}

/* Selects the node for a packet by a hash ("mod") over the nodes in rotation of ZONE. */
static struct Vm *
route_packet (const char *zone, guint32 hash)
{
  struct Vm *all[VMS];
  struct Vm *in[VMS];
  struct Vm *near[VMS];
  guint all_count = 0;
  guint in_count = 0;
  guint near_count = 0;

  for (int i = 0; i < VMS; i++)
    {
      if (vms[i].in_rotation)
        near[near_count++] = &vms[i];
      if (strcmp (vms[i].zone, zone) != 0)
        continue;
      all[all_count++] = &vms[i];
      if (vms[i].in_rotation)
        in[in_count++] = &vms[i];
    }
  if (in_count == 0 && near_count > 0)
    return near[hash % near_count];
  return in_count * 2 >= all_count ? in[hash % in_count] : all[hash % all_count];
}

static void
write_settings (struct Vm *vm, const char *seeds)
{
  char *ip = ip_text (vm->ip);
  char *store = ip_text (proxy_ip (vm->index));
  char *text = g_strdup_printf (
      "[vm]\nname=%s\naddress=%s\nfailure-domain=%s\nregion=fi-south\nfabric-address=%s:%u\n"
      "ready-address=%s:%u\nmetrics-port=9464\npeer-port=%u\nlink-mbps=1000.0\n\n"
      "[fleet]\nseeds=%s\n\n[store]\naddress=%s:%u\n\n[limits]\nflow-lifetime-s=60\ngrace-s=%d\n",
      vm->name, ip, vm->zone, ip, FABRIC_PORT, ip, READY_PORT, PEER_PORT, seeds, store, STORE_PORT,
      GRACE_MS / 1000);

  vm->settings = g_strdup_printf ("%s/%s.conf", folder, vm->name);
  if (!g_file_set_contents (vm->settings, text, -1, NULL))
    cannot_run ("the folder is not writable");
  g_free (text);
  g_free (ip);
  g_free (store);
}

static void
start_vms (void)
{
  GString *seeds = g_string_new (NULL);

  session = soup_session_new_with_options ("proxy-resolver", NULL, "timeout", 1, "max-conns", 64,
                                           NULL);
  for (int i = 0; i < VMS; i++)
    {
      vms[i] = (struct Vm){ .index = i,
                            .name = g_strdup_printf ("vm-%c%d", 'a' + i % ZONES, 1 + i / ZONES),
                            .zone = zones[i % ZONES],
                            .ip = run_ip (1, 1 + i) };
    }
  /* Three machines at most: here the first ones of three zones. */
  for (int i = 1; i < ZONES; i++)
    {
      char *ip = ip_text (vms[i].ip);

      g_string_append_printf (seeds, "%s%s:%u", seeds->len ? "," : "", ip, CONTROL_PORT);
      g_free (ip);
    }
  for (int i = 0; i < VMS; i++)
    {
      write_settings (&vms[i], seeds->str);
      vms[i].restart_ms = RESTART_MS;
      if (i > 0 || !first_vm_later)
        vm_start (&vms[i]);
    }
  g_string_free (seeds, TRUE);
  g_timeout_add (500, check_ready, NULL);
}

/* ---- Endpoints ---- */

struct EndpointFlow;

struct Endpoint
{
  char *id;
  guint64 tag;
  const char *service;
  const char *zone;
  guint32 ip;
  GSocket *socket;
  GSource *source;
  GHashTable *flows; /* key to struct EndpointFlow */
  bool running;
  bool draining;
  gint64 born;
  guint sequence;
  gint64 drained_at; /* when the store accepted that it drains */
  gint64 late;       /* flows that it took too long after that */
  guint opened;
};

/* A flow's requester end and what both ends know of it. */
struct Flow
{
  guint64 key;
  int caller;
  guint16 port;
  guint16 dport;
  struct Vm *vm; /* that took the last packet */
  struct Vm *copy_vm[3];
  gint64 copy_at[3];
  int copies;
  guint32 isn;
  guint32 peer_next; /* next byte expected of the endpoint */
  guint32 peer_isn;
  guint32 echo;
  bool open;
  bool answered;
  char *id; /* Attempt-Id */
  gint64 begun_at;
  int repeats;
  guint timer;
};

struct EndpointFlow
{
  struct Endpoint *endpoint;
  struct Packet syn;
  guint32 isn;
  guint32 next; /* next byte expected of the requester */
  guint32 echo;
  bool open;
  bool run;
  bool closed;
  int repeats;
  char *request;
  guint timer;
  int copy;          /* copy of the SYN that it took first */
  gint64 arrived_at; /* of that copy */
};

static GPtrArray *endpoints;
static GHashTable *flows;       /* key to struct Flow */
static GHashTable *runs;        /* Attempt-Id to times run */
static GSocket *callers[CALLERS];
static const char *evacuated_zone; /* as the operator was told; NULL: none */
static gint64 evacuated_at;
static gint64 core_impaired_at = -STABILITY_MS; /* last time of an impairment of the store */
static guint requests_sent, requests_served, requests_failed;
static int loss_permille; /* datagrams that an endpoint's link loses */

static guint64
flow_key (guint32 ip, guint16 port, guint16 dport)
{
  return (guint64) ip << 32 | (guint64) port << 16 | dport;
}

static void
violation (const char *rule, const char *what)
{
  if (violations++ < 40)
    note ("VIOLATION %s: %s", rule, what);
}

static void
announce (struct Endpoint *endpoint)
{
  char *ip = ip_text (endpoint->ip);
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":2,"
      "\"state\":\"%s\",\"warmup-remaining-ms\":0,\"sequence\":%u,\"born\":%" G_GINT64_FORMAT "}",
      endpoint->service, ip, ENDPOINT_PORT, endpoint->zone, endpoint->draining ? "draining" : "ready",
      ++endpoint->sequence, endpoint->born);

  store_put ("servers", endpoint->id, spec);
  g_free (spec);
  g_free (ip);
}

static void
endpoint_send (struct EndpointFlow *flow, guint8 flags, guint32 seq, const char *data)
{
  guint8 out[HEADER + DATA_MAX];
  struct Packet packet = {
    .src = flow->syn.dst,
    .sport = flow->syn.dport,
    .dst = flow->syn.src,
    .dport = flow->syn.sport,
    .flags = flags,
    .seq = seq,
    .ack = flow->next,
    .echo = flow->echo,
    .len = (guint16) (data ? strlen (data) : 0),
    .data = (const guint8 *) data,
  };

  send_datagram (flow->endpoint->socket, flow->syn.src, FABRIC_PORT, out,
                 write_packet (&packet, out));
}

static void
free_endpoint_flow (gpointer data)
{
  struct EndpointFlow *flow = data;

  if (flow->timer)
    g_source_remove (flow->timer);
  g_free (flow->request);
  g_free (flow);
}

static void
reset_flow (struct Endpoint *endpoint, const struct Packet *packet)
{
  struct EndpointFlow flow = { .endpoint = endpoint, .syn = *packet, .echo = packet->echo };

  flow.next = packet->seq + packet->len;
  endpoint_send (&flow, RST, packet->ack, NULL);
}

static gboolean
send_answer (gpointer data)
{
  struct EndpointFlow *flow = data;
  char *answer = g_strdup_printf ("HTTP/1.1 200 OK\r\nServer-Signature: %s\r\nAttempt-Id: %s\r\n"
                                  "Content-Length: 2\r\nConnection: close\r\n\r\nok",
                                  flow->endpoint->id, flow->request);

  flow->timer = 0;
  endpoint_send (flow, ACK | FIN, flow->isn + 1, answer);
  g_free (answer);
  if (flow->repeats++ < 8)
    flow->timer = g_timeout_add (MIN (200u << (flow->repeats - 1), 1600), send_answer, flow);
  return G_SOURCE_REMOVE;
}

/* The flow has opened at its endpoint. */
static void
check_opened (struct EndpointFlow *flow)
{
  struct Endpoint *endpoint = flow->endpoint;
  struct Flow *end
      = g_hash_table_lookup (flows, &(guint64){ flow_key (flow->syn.src, flow->syn.sport,
                                                          flow->syn.dport) });
  struct Vm *vm;
  char *text;

  endpoint->opened++;
  if (!end)
    return;
  vm = end->copy_vm[flow->copy];
  if (evacuated_zone && strcmp (evacuated_zone, endpoint->zone) == 0
      && end->copy_at[flow->copy] > evacuated_at + EVACUATION_MS && vm_in_touch (vm)
      && now_ms () - core_impaired_at >= STABILITY_MS)
    {
      text = g_strdup_printf ("request %s reached %s in %s through %s, sent %d ms after the "
                              "evacuation was confirmed and before it was taken back",
                              end->id, endpoint->id, endpoint->zone, vm->name,
                              (int) (end->copy_at[flow->copy] - evacuated_at));
      violation ("EVAC", text);
      g_free (text);
    }
  if (!endpoint->draining)
    return;
  /* DRAIN, by the opening packet that the endpoint took. */
  if (end->copy_at[flow->copy] <= endpoint->drained_at + DRAIN_TIMEOUT_MS || !vm_in_touch (vm))
    return;
  endpoint->late++;
  text = g_strdup_printf (
      "request %s reached %s through %s, sent %d ms after the store had confirmed that it drains",
      end->id, endpoint->id, vm->name, (int) (end->copy_at[flow->copy] - endpoint->drained_at));
  violation ("DRAIN", text);
  g_free (text);
}

static void
endpoint_data (struct EndpointFlow *flow, const struct Packet *packet)
{
  if (packet->len && !flow->run)
    {
      char *text = g_strndup ((const char *) packet->data, packet->len);
      char *id = strstr (text, "Attempt-Id: ");

      flow->run = true;
      flow->next += packet->len;
      flow->request = g_strndup (id ? id + 12 : "?", id ? strcspn (id + 12, "\r") : 1);
      g_hash_table_insert (runs, g_strdup (flow->request),
                           GINT_TO_POINTER (
                               1 + GPOINTER_TO_INT (g_hash_table_lookup (runs, flow->request))));
      note ("run %s at %s", flow->request, flow->endpoint->id);
      flow->timer = g_timeout_add (20, send_answer, flow);
      g_free (text);
    }
  if (packet->len)
    endpoint_send (flow, ACK, flow->isn + 1, NULL);
  if (packet->flags & FIN)
    {
      flow->closed = true;
      if (flow->timer)
        g_source_remove (flow->timer);
      flow->timer = 0;
      endpoint_send (flow, ACK, flow->isn + 2, NULL);
    }
}

static void
endpoint_packet (struct Endpoint *endpoint, const struct Packet *packet)
{
  guint64 key = flow_key (packet->src, packet->sport, packet->dport);
  struct EndpointFlow *flow = g_hash_table_lookup (endpoint->flows, &key);

  if (packet->flags & SYN)
    {
      if (!flow)
        {
          guint64 *copy = g_memdup2 (&key, sizeof key);

          flow = g_new0 (struct EndpointFlow, 1);
          flow->endpoint = endpoint;
          flow->syn = *packet;
          flow->isn = g_random_int () | 0x10000000;
          flow->next = packet->seq + 1;
          flow->copy = (int) MIN (packet->ack, 2);
          flow->arrived_at = now_ms ();
          g_hash_table_insert (endpoint->flows, copy, flow);
        }
      flow->echo = packet->echo;
      if (!flow->open)
        endpoint_send (flow, SYN | ACK, flow->isn, NULL);
      return;
    }
  if (packet->flags & RST)
    return;
  if (!flow)
    {
      reset_flow (endpoint, packet);
      return;
    }
  flow->echo = packet->echo;
  if (!flow->open)
    {
      if (packet->ack != flow->isn + 1)
        {
          reset_flow (endpoint, packet);
          return;
        }
      flow->open = true;
      check_opened (flow);
    }
  endpoint_data (flow, packet);
}

static gboolean
endpoint_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct Endpoint *endpoint = data;
  guint8 buffer[2048];
  gssize size;

  (void) condition;
  while ((size = g_socket_receive (socket, (char *) buffer, sizeof buffer, NULL, NULL)) > 0)
    {
      struct Packet packet;
      guint64 tag;
      bool good;

      if (!endpoint->running || size < 8 || g_random_int_range (0, 1000) < loss_permille)
        continue;
      tag = (guint64) get (buffer, 4) << 32 | get (buffer + 4, 4);
      if (tag != 0 && tag != endpoint->tag)
        continue;
      if (!read_packet (buffer + 8, (gsize) size - 8, &packet, &good))
        continue;
      if (!good)
        violation ("UNASKED", "an endpoint got a packet that its sender did not write so");
      else
        endpoint_packet (endpoint, &packet);
    }
  return G_SOURCE_CONTINUE;
}

static gint64
unix_ms (void)
{
  return g_get_real_time () / 1000;
}

static struct Endpoint *
add_endpoint (guint32 number, const char *service, const char *zone)
{
  struct Endpoint *endpoint = g_new0 (struct Endpoint, 1);

  endpoint->id = g_strdup_printf ("i-%08x", number);
  endpoint->tag = number;
  endpoint->service = service;
  endpoint->zone = zone;
  endpoint->ip = run_ip (3, 1 + (int) endpoints->len);
  endpoint->flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_endpoint_flow);
  endpoint->socket = udp_socket (endpoint->ip, ENDPOINT_PORT);
  if (!endpoint->socket)
    {
      cannot_run ("an endpoint's port is taken");
      return endpoint;
    }
  endpoint->source = g_socket_create_source (endpoint->socket, G_IO_IN, NULL);
  g_source_set_callback (endpoint->source, G_SOURCE_FUNC (endpoint_readable), endpoint, NULL);
  g_source_attach (endpoint->source, NULL);
  endpoint->running = true;
  endpoint->born = unix_ms ();
  g_ptr_array_add (endpoints, endpoint);
  announce (endpoint);
  return endpoint;
}

static void
endpoint_drain (struct Endpoint *endpoint)
{
  endpoint->draining = true;
  announce (endpoint);
  endpoint->drained_at = now_ms ();
  note ("store: confirmed that %s of %s in %s drains, revision %" G_GUINT64_FORMAT, endpoint->id,
        endpoint->service, endpoint->zone, store_revision);
}

static G_GNUC_UNUSED void
endpoint_crash (struct Endpoint *endpoint)
{
  note ("endpoint %s: crashes", endpoint->id);
  endpoint->running = false;
  g_hash_table_remove_all (endpoint->flows);
}

static G_GNUC_UNUSED void
endpoint_restart (struct Endpoint *endpoint, gint64 clock_offset)
{
  endpoint->running = true;
  endpoint->draining = false;
  endpoint->sequence = 0;
  endpoint->born = unix_ms () + clock_offset;
  note ("endpoint %s: starts under its id, born %" G_GINT64_FORMAT, endpoint->id, endpoint->born);
  announce (endpoint);
}

/* ---- Requesters ---- */

static void
end_flow (struct Flow *flow, const char *how)
{
  note ("%s %s: %s", flow->answered ? "answered" : "ended", flow->id, how);
  if (flow->answered)
    requests_served++;
  else
    requests_failed++;
  if (flow->timer)
    g_source_remove (flow->timer);
  g_hash_table_remove (flows, &flow->key);
  g_free (flow->id);
  g_free (flow);
}

static void
caller_send (struct Flow *flow, guint8 flags, guint32 seq, guint32 ack, const char *data)
{
  guint8 out[HEADER + DATA_MAX];
  struct Packet packet = {
    .src = run_ip (2, 1 + flow->caller),
    .sport = flow->port,
    .dst = SERVICE_IP,
    .dport = flow->dport,
    .flags = flags,
    .seq = seq,
    .ack = ack,
    .echo = flow->echo,
    .len = (guint16) (data ? strlen (data) : 0),
    .data = (const guint8 *) data,
  };
  guint32 hash = (guint32) (flow->key >> 32) * 31 + (guint32) flow->key * 2654435761u;

  flow->vm = route_packet (zones[flow->caller % ZONES], hash >> 8);
  send_datagram (callers[flow->caller], flow->vm->ip, FABRIC_PORT, out,
                 write_packet (&packet, out));
}

static void
send_syn (struct Flow *flow)
{
  caller_send (flow, SYN, flow->isn, (guint32) flow->copies, NULL);
  flow->copy_at[flow->copies] = now_ms ();
  flow->copy_vm[flow->copies] = flow->vm;
  flow->copies++;
}

static void
send_request (struct Flow *flow)
{
  char *request
      = g_strdup_printf ("GET /check HTTP/1.1\r\nHost: lainaamo\r\nAttempt-Id: %s\r\n\r\n", flow->id);

  caller_send (flow, ACK, flow->isn + 1, flow->peer_next, request);
  g_free (request);
}

static gboolean
caller_timer (gpointer data)
{
  struct Flow *flow = data;
  gint64 age = now_ms () - flow->begun_at;

  flow->timer = 0;
  if (age >= 1390 || (flow->open && age >= 800))
    {
      end_flow (flow, flow->open ? "time limit" : "never opened");
      return G_SOURCE_REMOVE;
    }
  if (!flow->open)
    {
      if (flow->copies < 3)
        send_syn (flow);
      flow->timer = g_timeout_add (flow->copies == 2 ? 400 : 800, caller_timer, flow);
      return G_SOURCE_REMOVE;
    }
  send_request (flow);
  flow->timer = g_timeout_add (200u << ++flow->repeats, caller_timer, flow);
  return G_SOURCE_REMOVE;
}

static void
open_flow (int caller, guint16 dport)
{
  static guint16 ports[CALLERS];
  static guint number;
  struct Flow *flow = g_new0 (struct Flow, 1);

  if (ports[caller] < 20000 || ports[caller] > 60000)
    ports[caller] = 20000;
  flow->caller = caller;
  flow->port = ports[caller]++;
  flow->dport = dport;
  flow->key = flow_key (run_ip (2, 1 + caller), flow->port, dport);
  flow->isn = g_random_int ();
  flow->id = g_strdup_printf ("q%u", ++number);
  flow->begun_at = now_ms ();
  g_hash_table_insert (flows, &flow->key, flow);
  requests_sent++;
  send_syn (flow);
  note ("sent %s from %s through %s", flow->id, zones[caller % ZONES], flow->vm->name);
  flow->timer = g_timeout_add (200, caller_timer, flow);
}

static void
caller_packet (struct Flow *flow, const struct Packet *packet, bool good)
{
  if (packet->flags & RST)
    {
      bool own = packet->sum == 0;
      guint32 offset = packet->seq - flow->peer_next + 76800;

      if (flow->open && offset > 2 * 76800)
        return;
      end_flow (flow, own ? "reset by the system" : "reset by its endpoint");
      return;
    }
  if (!good)
    {
      violation ("MIXED", "a requester got a packet that its sender did not write so");
      return;
    }
  if (packet->flags & SYN)
    {
      if (flow->open)
        return;
      flow->open = true;
      flow->peer_isn = packet->seq;
      flow->peer_next = packet->seq + 1;
      flow->echo = packet->echo;
      send_request (flow);
      g_source_remove (flow->timer);
      flow->timer = g_timeout_add (200, caller_timer, flow);
      return;
    }
  if (!flow->open || packet->seq - flow->peer_isn > 100000)
    return;
  flow->echo = packet->echo;
  if (packet->len == 0)
    return;
  {
    char *text = g_strndup ((const char *) packet->data, packet->len);
    char *id = strstr (text, "Attempt-Id: ");

    if (!id || strncmp (id + 12, flow->id, strlen (flow->id)) != 0)
      violation ("MIXED", "a requester got an answer that belongs to another request");
    g_free (text);
  }
  flow->answered = true;
  caller_send (flow, ACK | FIN, flow->isn + 2, packet->seq + packet->len + 1, NULL);
  end_flow (flow, "200");
}

static gboolean
caller_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  guint8 buffer[2048];
  gssize size;

  (void) condition;
  (void) data;
  while ((size = g_socket_receive (socket, (char *) buffer, sizeof buffer, NULL, NULL)) > 0)
    {
      struct Packet packet;
      struct Flow *flow;
      guint64 key;
      bool good;

      if (!read_packet (buffer, (gsize) size, &packet, &good))
        continue;
      key = flow_key (packet.dst, packet.dport, packet.sport);
      flow = g_hash_table_lookup (flows, &key);
      if (flow)
        caller_packet (flow, &packet, good);
    }
  return G_SOURCE_CONTINUE;
}

static guint traffic_interval_ms = 10; /* between two requests */

static gboolean
make_traffic (gpointer data)
{
  static guint turn;

  (void) data;
  open_flow ((int) (turn++ % CALLERS), 8080);
  return G_SOURCE_CONTINUE;
}

static void
start_callers (void)
{
  for (int i = 1; i < CALLERS; i++)
    if (!(callers[i] = udp_socket (run_ip (2, 1 + i), FABRIC_PORT)))
      cannot_run ("a requester's port is taken");
  for (int i = 0; i < CALLERS && callers[i]; i++)
    {
      GSource *source = g_socket_create_source (callers[i], G_IO_IN, NULL);

      g_source_set_callback (source, G_SOURCE_FUNC (caller_readable), NULL, NULL);
      g_source_attach (source, NULL);
    }
}

/* ---- Scenarios ---- */

static gboolean
end_run (gpointer data)
{
  (void) data;
  note ("requests: %u sent, %u served, %u not served", requests_sent, requests_served,
        requests_failed);
  finish (violations > 0);
  return G_SOURCE_REMOVE;
}

static gboolean
begin_traffic (gpointer data)
{
  (void) data;
  note ("traffic begins");
  g_timeout_add (traffic_interval_ms, make_traffic, NULL);
  return G_SOURCE_REMOVE;
}

static void
write_manifest (int idle_services)
{
  GString *text = g_string_new ("{\"version\":7,\"routes\":[");

  g_string_append (text, "{\"name\":\"r-lainaamo\",\"host\":\"198.18.0.1\",\"path-prefix\":\"/8080/\","
                         "\"kind\":\"idempotent\",\"timeout-ms\":800,\"target-latency-ms\":120,"
                         "\"priority\":2,\"service\":\"lainaamo\",\"max-attempts\":2}");
  for (int i = 0; i < idle_services; i++)
    g_string_append_printf (
        text,
        ",{\"name\":\"r-idle%d\",\"host\":\"198.18.1.%d\",\"path-prefix\":\"/8080/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":800,\"target-latency-ms\":120,\"priority\":2,"
        "\"service\":\"idle%d\",\"max-attempts\":2}",
        i, i + 1, i);
  g_string_append (text, "],\"services\":[");
  for (int i = -1; i < idle_services; i++)
    {
      char *idle = g_strdup_printf ("idle%d", i);

      g_string_append_printf (text,
                              "%s{\"name\":\"%s\",\"health-check-path\":\"/health\","
                              "\"max-connections\":2000,\"protocol\":\"h1\",\"tls\":false,"
                              "\"warmup-s\":2.0,\"warmup-per-s\":40.0}",
                              i < 0 ? "" : ",", i < 0 ? "lainaamo" : idle);
      g_free (idle);
    }
  g_string_append (text, "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
                         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
  store_put ("config", "main", text->str);
  g_string_free (text, TRUE);
}

#include "scenarios.h"

static bool
choose_addresses (void)
{
  for (int i = 0; i < 200; i++)
    {
      int slot = (getpid () + i) % 200;

      octet = 20 + slot;
      base_port = (guint16) (11000 + slot * 10);
      callers[0] = udp_socket (run_ip (2, 1), FABRIC_PORT);
      if (callers[0])
        return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  const struct Scenario *scenario = NULL;

  if (argc != 5)
    return 2;
  for (guint i = 0; i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (argv[1], scenarios[i].name) == 0)
      scenario = &scenarios[i];
  program = argv[2];
  folder = argv[3];
  trouble = strcmp (argv[4], "0") != 0;
  began = now_ms ();
  loop = g_main_loop_new (NULL, FALSE);
  endpoints = g_ptr_array_new ();
  flows = g_hash_table_new (g_int64_hash, g_int64_equal);
  runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (!scenario || !choose_addresses ())
    return 2;
  note ("case %s, %s", scenario->name, trouble ? "with its disruption" : "without disruption");
  start_store ();
  start_proxies ();
  scenario->begin ();
  start_callers ();
  start_vms ();
  g_timeout_add (LEAD_MS, begin_traffic, NULL);
  if (exit_status < 0)
    g_main_loop_run (loop);
  for (int i = 0; i < VMS; i++)
    if (vms[i].pid)
      {
        kill (vms[i].pid, SIGKILL);
        waitpid (vms[i].pid, NULL, 0);
      }
  note ("exit status %d", exit_status);
  return exit_status;
}
