#include "cf_types.h"

#include <gio/gio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

/* Runs entry VMs of the real program against a store with entries of another writer among sound
 * ones:
 *
 *   foreign PROGRAM FOLDER NETWORK PORT
 *
 * uses the loopback network 127.NETWORK.0.0/16 and some ports from PORT on.  All VMs have to become
 * ready, to follow the changes after the odd entries, and to end only when they are told to.  The
 * exit status is 1 if one does not. */

#define VMS 4
#define PAGE 3             /* items of a list's page, so that some have odd ones only */
#define STEP_MS 20         /* between two looks at a state that is waited for */
#define STATE_MAX_MS 15000 /* for a state, on a slow machine */
#define MEMORY_MAX_KB (260 * 1024)
#define VALUE_BYTES 1000000 /* the platform's store takes 1,048,576 */
#define NEST_DEPTH 150000

struct Item
{
  char *kind;
  char *name; /* as in JSON, with its quotes */
  char *text; /* NULL: deleted */
  uint64_t revision;
};

struct Foreign
{
  const char *program;
  const char *folder;
  uint32_t net;
  uint16_t port;
  GPtrArray *items; /* of struct Item, by name */
  uint64_t revision;
  SoupServer *store;
  GSocket *upstreams[2];
  pid_t vms[VMS];
  GSocket *caller;
  uint16_t caller_port;
  bool failed;
};

static void
fail (struct Foreign *foreign, const char *what, int vm)
{
  printf ("FAILED: vm-%d: %s\n", vm, what);
  foreign->failed = true;
}

static gint
compare_items (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct Item *const *) a)->name, (*(struct Item *const *) b)->name);
}

/* Writes TEXT (NULL: deletes) at NAME, a string in JSON without its quotes. */
static void
put (struct Foreign *foreign, const char *kind, const char *name, const char *text)
{
  char *quoted = g_strdup_printf ("\"%s\"", name);
  struct Item *item = NULL;

  for (guint i = 0; i < foreign->items->len && !item; i++)
    {
      struct Item *other = foreign->items->pdata[i];

      if (strcmp (other->kind, kind) == 0 && strcmp (other->name, quoted) == 0)
        item = other;
    }
  if (!item)
    {
      item = g_new0 (struct Item, 1);
      item->kind = g_strdup (kind);
      item->name = g_strdup (quoted);
      g_ptr_array_add (foreign->items, item);
    }
  g_free (quoted);
  g_free (item->text);
  item->text = g_strdup (text);
  item->revision = ++foreign->revision;
  g_ptr_array_sort (foreign->items, compare_items);
}

static void
append_object (GString *text, const struct Item *item)
{
  g_string_append_printf (
      text, "{\"meta\":{\"name\":%s,\"revision\":%" G_GUINT64_FORMAT "},\"spec\":", item->name,
      item->revision);
  g_string_append (text, item->text ? item->text : "{}");
  g_string_append (text, ",\"status\":null}");
}

static GString *
list (struct Foreign *foreign, const char *kind, const char *after)
{
  GString *text = g_string_new ("{\"items\":[");
  char *quoted = after ? g_strdup_printf ("\"%s\"", after) : g_strdup ("");
  int count = 0;

  for (guint i = 0; i < foreign->items->len && count <= PAGE; i++)
    {
      const struct Item *item = foreign->items->pdata[i];

      if (strcmp (item->kind, kind) != 0 || !item->text || strcmp (item->name, quoted) <= 0)
        continue;
      if (count++ == PAGE)
        break;
      g_string_append (text, count > 1 ? "," : "");
      append_object (text, item);
    }
  g_string_append_printf (text, "],\"truncated\":%s,\"store-revision\":%" G_GUINT64_FORMAT "}",
                          count > PAGE ? "true" : "false", foreign->revision);
  g_free (quoted);
  return text;
}

/* Returns the changes of KIND after REVISION, and their number in COUNT. */
static GString *
changes (struct Foreign *foreign, const char *kind, uint64_t revision, int *count)
{
  GString *text = g_string_new ("{\"events\":[");

  *count = 0;
  for (guint i = 0; i < foreign->items->len; i++)
    {
      const struct Item *item = foreign->items->pdata[i];

      if (strcmp (item->kind, kind) != 0 || item->revision <= revision)
        continue;
      g_string_append_printf (text, "%s{\"deleted\":%s,\"object\":", (*count)++ ? "," : "",
                              item->text ? "false" : "true");
      append_object (text, item);
      g_string_append (text, "}");
    }
  g_string_append_printf (text, "],\"store-revision\":%" G_GUINT64_FORMAT "}", foreign->revision);
  return text;
}

static void
respond (SoupServerMessage *message, guint status, GString *text)
{
  gsize len = text->len;

  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE,
                                    g_string_free (text, FALSE), len);
}

struct Poll
{
  struct Foreign *foreign;
  SoupServerMessage *message;
  char *kind;
  uint64_t revision;
  gint64 until;
};

static gboolean
look_for_changes (gpointer data)
{
  struct Poll *poll = data;
  int count;
  GString *text = changes (poll->foreign, poll->kind, poll->revision, &count);

  if (count == 0 && g_get_monotonic_time () < poll->until)
    {
      g_string_free (text, TRUE);
      return G_SOURCE_CONTINUE;
    }
  respond (poll->message, SOUP_STATUS_OK, text);
  soup_server_message_unpause (poll->message);
  g_object_unref (poll->message);
  g_free (poll->kind);
  g_free (poll);
  return G_SOURCE_REMOVE;
}

static void
begin_poll (struct Foreign *foreign,
            SoupServerMessage *message,
            const char *kind,
            GHashTable *query)
{
  const char *wait = g_hash_table_lookup (query, "wait-ms");
  struct Poll *poll = g_new0 (struct Poll, 1);

  *poll = (struct Poll){
    .foreign = foreign,
    .message = g_object_ref (message),
    .kind = g_strdup (kind),
    .revision = g_ascii_strtoull (g_hash_table_lookup (query, "watch"), NULL, 10),
    .until = g_get_monotonic_time () + (wait ? atoi (wait) : 0) * G_TIME_SPAN_MILLISECOND,
  };
  soup_server_message_pause (message);
  g_timeout_add (STEP_MS, look_for_changes, poll);
}

/* A VM writes its own record. */
static void
write_record (struct Foreign *foreign, SoupServerMessage *message, const char *kind)
{
  GBytes *bytes = soup_message_body_flatten (soup_server_message_get_request_body (message));
  char *text = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  char *name = strstr (text, "\"name\":\"");
  char *spec = strstr (text, "\"spec\":");

  if (name && spec)
    {
      *strchr (name + 8, '"') = 0;
      *strrchr (spec, '}') = 0;
      put (foreign, kind, name + 8, spec + 7);
    }
  g_free (text);
  g_bytes_unref (bytes);
}

static void
handle (SoupServer *server,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct Foreign *foreign = data;
  char **parts = g_strsplit (path, "/", -1);
  const char *kind = g_strv_length (parts) >= 4 ? parts[3] : "";

  (void) server;
  if (strcmp (soup_server_message_get_method (message), "GET") != 0)
    {
      write_record (foreign, message, kind);
      respond (message, SOUP_STATUS_OK, g_string_new ("{}"));
    }
  else if (query && g_hash_table_lookup (query, "watch"))
    begin_poll (foreign, message, kind, query);
  else
    respond (message, SOUP_STATUS_OK,
             list (foreign, kind, query ? g_hash_table_lookup (query, "after") : NULL));
  g_strfreev (parts);
}

/* Puts entries of another writer among the upstreams, named after PREFIX, and among the rest. */
static void
put_odd (struct Foreign *foreign, const char *prefix)
{
  static const char *const fields[] = { "slots", "warmup-remaining-ms", "born", "sequence" };
  static const char *const numbers[]
      = { "1e300", "-1e300", "1e999", "18446744073709551616", "-9223372036854775809" };
  static const char *const ports[] = { "0", "70000", "-1", "99999999999999999999", "" };
  static const char *const texts[] = {
    "null", "[]", "7", "\"\\ud800\"", "\"\xff\xfe\"", "{\"service\":[],\"zone\":{}}",
  };
  static const char *const vms[] = {
    "{\"address\":\"\",\"domain\":\"a\",\"region\":\"r\",\"link_mbps\":9999,\"hour\":500000}",
    "{\"address\":\"[::1\",\"domain\":\"a\",\"region\":\"r\",\"link_mbps\":9999,\"hour\":500000}",
    "{\"address\":\"127.0.0.1\",\"domain\":\"a\",\"region\":\"r\",\"link_mbps\":1e300,\"hour\":1}",
    "{\"address\":\"127.0.0.1\",\"domain\":\"a\",\"region\":\"r\",\"link_mbps\":5,"
    "\"hour\":-9223372036854775808}",
  };
  char *open = g_strnfill (NEST_DEPTH, '[');
  char *close = g_strnfill (NEST_DEPTH, ']');
  char *nest = g_strconcat (open, close, NULL);
  char *long_text = g_strnfill (VALUE_BYTES, 'x');
  int n = 0;

#define PUT(kind, ...)                                                                             \
  G_STMT_START                                                                                     \
  {                                                                                                \
    char *put_name = g_strdup_printf ("%s-%02d", prefix, n++);                                     \
    char *put_text = g_strdup_printf (__VA_ARGS__);                                                \
    put (foreign, kind, put_name, put_text);                                                       \
    g_free (put_name);                                                                             \
    g_free (put_text);                                                                             \
  }                                                                                                \
  G_STMT_END

  PUT ("servers", "%s", nest);
  PUT ("servers", "{\"service\":\"s\",\"slots\":%s}", nest);
  PUT ("servers", "{\"service\":\"%s\"}", long_text);
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (numbers); j++)
      PUT ("servers",
           "{\"service\":\"odd\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"state\":\"ready\","
           "\"slots\":2,\"%s\":%s}",
           fields[i], numbers[j]);
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    PUT ("servers",
         "{\"service\":\"s\",\"address\":\"127.0.0.1:%s\",\"zone\":\"a\",\"state\":\"ready\","
         "\"slots\":2}",
         ports[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    PUT ("servers", "%s", texts[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (vms); i++)
    PUT ("cyclamenferry-vms", "%s", vms[i]);
  PUT ("cyclamenferry-vms", "%s", nest);
  PUT ("evacuations", "%s", nest);
#undef PUT
  /* A name that is too long, and one that is no text. */
  long_text[VALUE_BYTES / 2] = 0;
  put (foreign, "servers", long_text, "{}");
  put (foreign, "servers", "i-9\\ud800", "{}");
  g_free (open);
  g_free (close);
  g_free (nest);
  g_free (long_text);
}

static void
put_upstream (struct Foreign *foreign, int upstream, bool draining)
{
  GSocketAddress *address = g_socket_get_local_address (foreign->upstreams[upstream], NULL);
  char *name = g_strdup_printf ("i-9%d", upstream);
  char *text = g_strdup_printf ("{\"service\":\"s\",\"address\":\"127.%u.0.90:%u\",\"zone\":\"a\","
                                "\"slots\":2,\"state\":\"%s\","
                                "\"warmup-remaining-ms\":0,\"sequence\":%d,\"born\":1791912288048}",
                                foreign->net,
                                g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (address)),
                                draining ? "draining" : "ready", draining ? 2 : 1);

  put (foreign, "servers", name, text);
  g_free (text);
  g_free (name);
  g_object_unref (address);
}

static GSocketAddress *
address_of (const struct Foreign *foreign, uint32_t host, uint16_t port)
{
  char *ip = g_strdup_printf ("127.%u.0.%u", foreign->net, host);
  GSocketAddress *address = g_inet_socket_address_new_from_string (ip, port);

  g_free (ip);
  return address;
}

static GSocket *
open_socket (const struct Foreign *foreign, uint32_t host)
{
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, NULL);
  GSocketAddress *address = address_of (foreign, host, 0);

  if (!g_socket_bind (socket, address, FALSE, NULL))
    g_error ("no socket at 127.%u.0.%u", foreign->net, host);
  g_socket_set_blocking (socket, FALSE);
  g_object_unref (address);
  return socket;
}

/* The even VMs are in the failure domain "a", the odd ones in "b". */
static void
start_vm (struct Foreign *foreign, int vm)
{
  char *path = g_strdup_printf ("%s/vm-%d", foreign->folder, vm);
  char *log = g_strconcat (path, ".log", NULL);
  char *text = g_strdup_printf (
      "[vm]\nname=vm-%d\naddress=127.%u.0.%d\nfailure-domain=%s\nregion=r\n"
      "fabric-address=127.%u.0.%d:%u\nready-address=127.%u.0.%d:%u\nmetrics-port=%u\npeer-port=%u\n"
      "link-mbps=1000\n\n[fleet]\nseeds=127.%u.0.80:%u\n\n[store]\naddress=127.%u.0.99:%u\n\n"
      "[limits]\nflow-lifetime-s=60\ngrace-s=6\n",
      vm, foreign->net, 80 + vm, vm % 2 ? "b" : "a", foreign->net, 80 + vm, foreign->port + 2,
      foreign->net, 80 + vm, foreign->port + 3, foreign->port + 4, foreign->port + 5, foreign->net,
      foreign->port + 5, foreign->net, foreign->port + 6);

  if (!g_file_set_contents (path, text, -1, NULL))
    g_error ("cannot write %s", path);
  foreign->vms[vm] = fork ();
  if (foreign->vms[vm] == 0)
    {
      if (!freopen (log, "w", stdout) || dup2 (STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit (127);
      setenv ("CYCLAMENFERRY_BOOT", path, 1);
      execl (foreign->program, foreign->program, "balance", (char *) NULL);
      _exit (127);
    }
  g_free (text);
  g_free (log);
  g_free (path);
}

/* Serves the store for MS. */
static void
run (int ms)
{
  gint64 until = g_get_monotonic_time () + ms * G_TIME_SPAN_MILLISECOND;

  while (g_get_monotonic_time () < until)
    {
      while (g_main_context_iteration (NULL, FALSE))
        ;
      g_usleep (1000);
    }
}

static void
answered (GObject *source, GAsyncResult *result, gpointer data)
{
  bool *done = data;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  g_clear_pointer (&body, g_bytes_unref);
  *done = true;
}

static bool
is_ready (struct Foreign *foreign, int vm)
{
  char *url = g_strdup_printf ("http://127.%u.0.%d:%u/-/readiness", foreign->net, 80 + vm,
                               foreign->port + 3);
  SoupSession *session = soup_session_new_with_options ("timeout", 2, NULL);
  SoupMessage *message = soup_message_new ("GET", url);
  bool done = false;
  bool ready;

  soup_session_send_and_read_async (session, message, G_PRIORITY_DEFAULT, NULL, answered, &done);
  while (!done)
    g_main_context_iteration (NULL, TRUE);
  ready = soup_message_get_status (message) == SOUP_STATUS_OK;
  g_object_unref (message);
  g_object_unref (session);
  g_free (url);
  return ready;
}

/* Sends the first packet of a new flow through VM. */
static void
open_flow (struct Foreign *foreign, int vm)
{
  uint8_t packet[32]
      = { 0, 0, 64, 0, 0xc6, 18, 0, 1, 0, 0, 100, 64, 0, 7, 0, 80, 0xa1, 0xb2, 0xc3 };
  GSocketAddress *address = address_of (foreign, (uint32_t) (80 + vm), foreign->port + 2);

  foreign->caller_port++;
  packet[8] = (uint8_t) (foreign->caller_port >> 8);
  packet[9] = (uint8_t) foreign->caller_port;
  g_socket_send_to (foreign->caller, address, (char *) packet, sizeof packet, NULL, NULL);
  g_object_unref (address);
}

/* Returns true if a packet has come to UPSTREAM. */
static bool
has_come (struct Foreign *foreign, int upstream)
{
  char packet[2048];
  bool any = false;

  while (g_socket_receive (foreign->upstreams[upstream], packet, sizeof packet, NULL, NULL) > 0)
    any = true;
  return any;
}

static bool
places_at (struct Foreign *foreign, int vm, int upstream)
{
  has_come (foreign, upstream);
  open_flow (foreign, vm);
  run (STEP_MS);
  return has_come (foreign, upstream);
}

/* Returns true if VM has not ended. */
static bool
is_running (struct Foreign *foreign, int vm)
{
  int status;

  if (foreign->vms[vm] == 0)
    return false;
  if (waitpid (foreign->vms[vm], &status, WNOHANG) == 0)
    return true;
  printf ("status %d\n", status);
  fail (foreign, "ended by itself", vm);
  foreign->vms[vm] = 0;
  return false;
}

/* Expects each VM to be ready and to place flows at UPSTREAM, and none at the OTHER one. */
static void
expect_flows (struct Foreign *foreign, int upstream, int other, const char *what)
{
  for (int vm = 0; vm < VMS; vm++)
    {
      gint64 until = g_get_monotonic_time () + STATE_MAX_MS * G_TIME_SPAN_MILLISECOND;
      bool ok = false;

      while (!ok && is_running (foreign, vm) && g_get_monotonic_time () < until)
        {
          ok = is_ready (foreign, vm) && places_at (foreign, vm, upstream);
          run (STEP_MS);
        }
      if (!ok)
        fail (foreign, what, vm);
    }
  run (500); /* a first packet that nothing follows goes to another upstream, too */
  has_come (foreign, other);
  for (int vm = 0; vm < VMS; vm++)
    if (places_at (foreign, vm, other))
      fail (foreign, "places flows at an upstream that has gone", vm);
}

static void
expect_stop (struct Foreign *foreign)
{
  struct rusage usage;

  for (int vm = 0; vm < VMS; vm++)
    {
      int status = 0;

      if (!is_running (foreign, vm))
        continue;
      kill (foreign->vms[vm], SIGTERM);
      for (int waited = 0; waitpid (foreign->vms[vm], &status, WNOHANG) == 0; waited += STEP_MS)
        {
          run (STEP_MS);
          if (waited == STATE_MAX_MS)
            kill (foreign->vms[vm], SIGKILL);
        }
      if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
        fail (foreign, "did not end as told", vm);
    }
  getrusage (RUSAGE_CHILDREN, &usage);
  printf ("largest VM: %ld MB\n", usage.ru_maxrss / 1024);
  if (usage.ru_maxrss > MEMORY_MAX_KB)
    fail (foreign, "took too much memory", -1);
}

static void
open_store (struct Foreign *foreign)
{
  GSocketAddress *address = address_of (foreign, 99, foreign->port + 6);

  foreign->store = soup_server_new (NULL, NULL);
  soup_server_add_handler (foreign->store, NULL, handle, foreign, NULL);
  if (!soup_server_listen (foreign->store, address, 0, NULL))
    g_error ("the store cannot listen");
  g_object_unref (address);
}

int
main (int argc, char **argv)
{
  struct Foreign foreign = { .items = g_ptr_array_new (), .caller_port = 20000 };

  if (argc != 5 && argc != 6)
    return 2;
  foreign.program = argv[1];
  foreign.folder = argv[2];
  foreign.net = (uint32_t) atoi (argv[3]);
  foreign.port = (uint16_t) atoi (argv[4]);
  open_store (&foreign);
  foreign.caller = open_socket (&foreign, 89);
  for (int i = 0; i < 2; i++)
    foreign.upstreams[i] = open_socket (&foreign, 90);
  put (&foreign, "config", "main",
       "{\"version\":1,\"routes\":[{\"host\":\"198.18.0.1\",\"path-prefix\":\"/80/"
       "\",\"service\":\"s\"}],"
       "\"services\":[{\"name\":\"s\",\"warmup-s\":0,\"warmup-per-s\":5}]}");
  /* Only "main" is the manifest. */
  if (argc == 6)
    put (&foreign, "config", "other", argv[5]);
  put_odd (&foreign, "i-0");
  put_upstream (&foreign, 0, false);
  for (int vm = 0; vm < VMS; vm++)
    start_vm (&foreign, vm);
  expect_flows (&foreign, 0, 1, "does not serve beside the entries that it found");
  put_odd (&foreign, "i-1");
  put_odd (&foreign, "i-0"); /* each entry changes */
  put_upstream (&foreign, 1, false);
  put_upstream (&foreign, 0, true);
  expect_flows (&foreign, 1, 0, "does not follow a change after the entries");
  expect_stop (&foreign);
  return foreign.failed;
}
