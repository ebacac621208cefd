#include "soak.h"

#include <stdlib.h>
#include <string.h>

/* HTTP clients of the ports of VMs that go on with their connections until these break: one request
 * after another, several at once, or half a request.  What they read is judged. */

#define CLIENT_VMS_MAX 20 /* VMs with clients */
#define TICK_MS 30
#define BUFFER 16384
#define PIPELINED 12
#define SHORT_CLIENTS 20 /* more connections in a run than the 4,100 descriptors of a VM */
#define MEMORY_MAX_BYTES (260LL << 20)

enum ClientKind
{
  CLIENT_READY,
  CLIENT_METRICS,
  CLIENT_PEER,
  CLIENT_PIPELINED, /* many requests without waiting */
  CLIENT_HALF,      /* begins a request and never ends it */
  CLIENT_SHORT,     /* a connection for each request, at one VM only */
  CLIENT_KINDS,
};

struct SoakClient
{
  struct SoakVm *vm;
  enum ClientKind kind;
  GSocket *socket;       /* NULL: not connected */
  int64_t waiting_since; /* 0: nothing is expected */
  GString *answer;
  bool reported;
};

static uint16_t
client_port (const struct SoakClient *client)
{
  switch (client->kind)
    {
    case CLIENT_METRICS:
      return SOAK_METRICS_PORT (client->vm->soak);
    case CLIENT_PEER:
      return SOAK_PEER_PORT (client->vm->soak);
    default:
      return SOAK_READY_PORT (client->vm->soak);
    }
}

static const char *
client_request (const struct SoakClient *client)
{
  switch (client->kind)
    {
    case CLIENT_METRICS:
      return "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    case CLIENT_PEER:
      return "GET /feed?wait-ms=100 HTTP/1.1\r\nHost: x\r\n\r\n";
    case CLIENT_HALF:
      return "GET /-/readiness HTTP/1.1\r\nHo";
    default:
      return "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    }
}

static void
disconnect (struct SoakClient *client)
{
  g_socket_close (client->socket, NULL);
  g_clear_object (&client->socket);
  client->waiting_since = 0;
  g_string_truncate (client->answer, 0);
}

static void
connect_client (struct SoakClient *client)
{
  GSocketAddress *address
      = g_inet_socket_address_new_from_string (client->vm->ready_ip, client_port (client));

  client->socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_blocking (client->socket, FALSE);
  g_socket_connect (client->socket, address, NULL, NULL);
  g_object_unref (address);
}

static void
judge_metrics (const struct SoakClient *client)
{
  static const char name[] = "\ncyclamenferry_resident_bytes ";
  const char *at = strstr (client->answer->str, name);
  long long bytes = at ? atoll (at + strlen (name)) : 0;

#if !defined __SANITIZE_ADDRESS__
  if (bytes > MEMORY_MAX_BYTES)
    soak_violation (client->vm->soak, "FAULT: vm-%d says that it uses %lld MB", client->vm->index,
                    bytes >> 20);
#else
  (void) bytes;
#endif
}

/* Returns true if TEXT has a whole response. */
static bool
is_whole (const GString *text)
{
  const char *body = strstr (text->str, "\r\n\r\n");
  char *head = body ? g_ascii_strdown (text->str, body - text->str) : NULL;
  const char *length = head ? strstr (head, "content-length:") : NULL;
  bool whole = length && text->len >= (gsize) (body + 4 - text->str) + (gsize) atoi (length + 15);

  g_free (head);
  return whole;
}

/* Reads what there is.  Returns false if the connection has broken. */
static bool
receive (struct SoakClient *client)
{
  char buffer[BUFFER];
  GError *error = NULL;
  gssize len;
  bool open;

  while ((len = g_socket_receive (client->socket, buffer, sizeof buffer, NULL, &error)) > 0)
    g_string_append_len (client->answer, buffer, len);
  open = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)
         || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED);
  g_clear_error (&error);
  if (open && is_whole (client->answer))
    {
      if (client->kind == CLIENT_METRICS)
        judge_metrics (client);
      g_string_truncate (client->answer, 0);
      client->waiting_since = 0;
      return client->kind != CLIENT_SHORT;
    }
  return open;
}

static bool
send_request (struct SoakClient *client)
{
  GString *text = g_string_new (NULL);
  GError *error = NULL;
  bool sent;
  bool pending;

  for (int i = client->kind == CLIENT_PIPELINED ? PIPELINED : 1; i > 0; i--)
    g_string_append (text, client_request (client));
  sent = g_socket_send (client->socket, text->str, text->len, NULL, &error) == (gssize) text->len;
  pending = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)
            || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED);
  g_clear_error (&error);
  g_string_free (text, TRUE);
  if (!sent)
    return pending;
  client->waiting_since = soak_now ();
  client->vm->soak->client_requests++;
  return true;
}

/* A VM without a fault answers in time. */
static void
judge_answer (struct SoakClient *client)
{
  struct SoakVm *vm = client->vm;
  int64_t since = MAX (client->waiting_since, vm->last_fault_at);

  if (client->waiting_since == 0 || client->kind == CLIENT_HALF || client->reported || vm->paused
      || !vm->process || soak_now () - since <= SOAK_START_MS)
    return;
  client->reported = true;
  soak_violation (vm->soak, "FAULT: vm-%d has not answered at port %u for %d ms", vm->index,
                  client_port (client), (int) (soak_now () - since));
}

static void
go_on (struct SoakClient *client)
{
  if (!client->socket)
    {
      client->reported = false;
      connect_client (client);
    }
  else if (!receive (client) || (client->waiting_since == 0 && !send_request (client)))
    disconnect (client);
  else
    judge_answer (client);
}

static gboolean
on_tick (gpointer data)
{
  const GPtrArray *clients = data;

  for (guint i = 0; i < clients->len; i++)
    go_on (clients->pdata[i]);
  return G_SOURCE_CONTINUE;
}

static void
add_client (GPtrArray *clients, struct SoakVm *vm, enum ClientKind kind)
{
  struct SoakClient *client = g_new0 (struct SoakClient, 1);

  *client = (struct SoakClient){ .vm = vm, .kind = kind, .answer = g_string_new (NULL) };
  g_ptr_array_add (clients, client);
}

void
soak_clients_start (struct Soak *soak)
{
  GPtrArray *clients = g_ptr_array_new ();
  struct SoakVm *often = &soak->vms[g_rand_int_range (soak->trouble, 0, soak->vm_count)];

  for (int i = 0; i < MIN (soak->vm_count, CLIENT_VMS_MAX); i++)
    for (int kind = 0; kind < CLIENT_SHORT; kind++)
      add_client (clients, &soak->vms[i], (enum ClientKind) kind);
  for (int i = 0; i < SHORT_CLIENTS; i++)
    add_client (clients, often, CLIENT_SHORT);
  g_timeout_add (TICK_MS, on_tick, clients);
}

static uint64_t
read_metric (const char *text, const char *name)
{
  const char *at = strstr (text, name);

  return at ? g_ascii_strtoull (at + strlen (name), NULL, 10) : 0;
}

static void
on_metrics (GObject *source, GAsyncResult *result, gpointer data)
{
  struct SoakVm *vm = data;
  struct Soak *soak = vm->soak;
  GBytes *body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  char *text
      = body ? g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body)) : g_strdup ("");
  uint64_t version = read_metric (text, "\ncyclamenferry_manifest_version ");
  uint64_t era = read_metric (text, "\ncyclamenferry_store_era ");

  vm->compared = true;
  if (version != soak->version || era != soak_store_era (soak->store))
    soak_violation (soak,
                    "LOST: vm-%d has version %" G_GUINT64_FORMAT " of era %" G_GUINT64_FORMAT
                    ", the store version %" G_GUINT64_FORMAT " of era %" G_GUINT64_FORMAT,
                    vm->index, version, era, soak->version, soak_store_era (soak->store));
  g_clear_pointer (&body, g_bytes_unref);
  g_free (text);
}

void
soak_clients_compare (struct Soak *soak)
{
  for (int i = 0; i < soak->vm_count; i++)
    {
      char *url = g_strdup_printf ("http://%s:%u/metrics", soak->vms[i].ready_ip,
                                   SOAK_METRICS_PORT (soak));
      SoupMessage *message = soup_message_new ("GET", url);

      soup_session_send_and_read_async (soak->session, message, G_PRIORITY_DEFAULT, NULL,
                                        on_metrics, &soak->vms[i]);
      g_object_unref (message);
      g_free (url);
    }
}
