#include "soak.h"

#include <sys/socket.h>
#include <unistd.h>

/* A TCP proxy that can delay, stall or reset its connections, drop one direction of them, or leave
 * those that are open silent for good. */

#define SLOW_MS 300
#define RETRY_MS 20 /* between two attempts on a stalled connection */
#define CHUNK 65536
#define SILENT_MAX 64 /* pipes that are kept open and silent; no call takes as long as it lasts */

struct Pipe;

struct Direction
{
  struct Pipe *pipe;
  GSocket *from;
  GSocket *to;
  GByteArray *buffered;    /* received and not yet forwarded */
  struct SoakWatch *watch; /* waits for data, or NULL */
  guint timer;             /* waits for the next attempt, or 0 */
  bool from_store;         /* from the store to the VM, otherwise the other way */
};

struct Pipe
{
  struct SoakProxy *proxy;
  GSocket *ends[2];
  struct Direction directions[2];
};

struct SoakProxy
{
  GSocketService *service;
  GSocketAddress *store;
  enum SoakPath path;
  GPtrArray *pipes;
  GPtrArray *silent; /* pipes that forward nothing any more, the oldest first */
};

static void wait_for_data (struct Direction *direction);
static gboolean on_data (gpointer data);

static void
stop_waiting (struct Direction *direction)
{
  g_clear_pointer (&direction->watch, soak_unwatch);
  g_clear_handle_id (&direction->timer, g_source_remove);
}

static void
close_pipe (struct Pipe *pipe, bool reset)
{
  for (int i = 0; i < 2; i++)
    {
      struct linger linger = { .l_onoff = 1 };

      stop_waiting (&pipe->directions[i]);
      g_byte_array_unref (pipe->directions[i].buffered);
      if (reset)
        setsockopt (g_socket_get_fd (pipe->ends[i]), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      g_socket_close (pipe->ends[i], NULL);
      g_object_unref (pipe->ends[i]);
    }
  g_free (pipe);
}

static void
free_pipe (struct Pipe *pipe, bool reset)
{
  g_ptr_array_remove_fast (pipe->proxy->pipes, pipe);
  close_pipe (pipe, reset);
}

static void
close_all (struct SoakProxy *proxy, bool reset)
{
  for (guint i = 0; i < proxy->pipes->len; i++)
    close_pipe (proxy->pipes->pdata[i], reset);
  g_ptr_array_set_size (proxy->pipes, 0);
}

void
soak_proxy_silence (struct SoakProxy *proxy)
{
  for (guint i = 0; i < proxy->pipes->len; i++)
    {
      struct Pipe *pipe = proxy->pipes->pdata[i];

      stop_waiting (&pipe->directions[0]);
      stop_waiting (&pipe->directions[1]);
      g_ptr_array_add (proxy->silent, pipe);
    }
  g_ptr_array_set_size (proxy->pipes, 0);
  for (; proxy->silent->len > SILENT_MAX; g_ptr_array_remove_index (proxy->silent, 0))
    close_pipe (proxy->silent->pdata[0], false);
}

static gboolean
resume_direction (gpointer data)
{
  struct Direction *direction = data;

  direction->timer = 0;
  if (direction->buffered->len == 0 || on_data (direction))
    wait_for_data (direction);
  return G_SOURCE_REMOVE;
}

static void
pause_direction (struct Direction *direction, guint ms)
{
  stop_waiting (direction);
  direction->timer = g_timeout_add (ms, resume_direction, direction);
}

enum ForwardResult
{
  FORWARDED_ALL,
  FORWARDED_PART,   /* the send buffer of the other end is full */
  FORWARDED_CLOSED, /* the connection is closed */
};

/* Forwards received data.  Must not block: the process at either end may be stopped. */
static enum ForwardResult
forward_data (struct Direction *direction)
{
  GError *error = NULL;

  if (direction->buffered->len == 0)
    {
      char buffer[CHUNK];
      gssize len = g_socket_receive (direction->from, buffer, sizeof buffer, NULL, NULL);

      if (len <= 0)
        return FORWARDED_CLOSED;
      g_byte_array_append (direction->buffered, (const guint8 *) buffer, (guint) len);
    }
  while (direction->buffered->len > 0)
    {
      gssize sent = g_socket_send (direction->to, (const char *) direction->buffered->data,
                                   direction->buffered->len, NULL, &error);
      bool full = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);

      g_clear_error (&error);
      if (sent <= 0)
        return full ? FORWARDED_PART : FORWARDED_CLOSED;
      g_byte_array_remove_range (direction->buffered, 0, (guint) sent);
    }
  return FORWARDED_ALL;
}

static gboolean
on_data (gpointer data)
{
  struct Direction *direction = data;
  struct SoakProxy *proxy = direction->pipe->proxy;

  if (proxy->path == SOAK_PATH_RESET)
    {
      free_pipe (direction->pipe, true);
      return G_SOURCE_REMOVE;
    }
  if (proxy->path == SOAK_PATH_BLACKHOLE
      || (proxy->path == SOAK_PATH_ONE_WAY && direction->from_store))
    {
      pause_direction (direction, RETRY_MS);
      return G_SOURCE_REMOVE;
    }
  switch (forward_data (direction))
    {
    case FORWARDED_CLOSED:
      free_pipe (direction->pipe, false);
      return G_SOURCE_REMOVE;
    case FORWARDED_PART:
      pause_direction (direction, RETRY_MS);
      return G_SOURCE_REMOVE;
    case FORWARDED_ALL:
      break;
    }
  if (proxy->path != SOAK_PATH_SLOW)
    return G_SOURCE_CONTINUE;
  pause_direction (direction, SLOW_MS);
  return G_SOURCE_REMOVE;
}

static void
wait_for_data (struct Direction *direction)
{
  direction->watch = soak_watch (g_socket_get_fd (direction->from), on_data, direction);
}

static gboolean
incoming (GSocketService *service,
          GSocketConnection *connection,
          GObject *source_object,
          gpointer data)
{
  struct SoakProxy *proxy = data;
  GSocket *store
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  GSocketAddress *address = g_object_ref (proxy->store);
  GError *error = NULL;
  struct Pipe *pipe;

  (void) service;
  (void) source_object;
  /* The store runs in this process: a blocking connect would deadlock once its listen queue is
   * full. */
  g_socket_set_blocking (store, FALSE);
  if (proxy->path == SOAK_PATH_RESET
      || (!g_socket_connect (store, address, NULL, &error)
          && !g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING)))
    {
      g_clear_error (&error);
      g_object_unref (store);
      g_object_unref (address);
      return TRUE;
    }
  g_clear_error (&error);
  g_object_unref (address);
  pipe = g_new0 (struct Pipe, 1);
  pipe->proxy = proxy;
  pipe->ends[0] = g_object_ref (g_socket_connection_get_socket (connection));
  pipe->ends[1] = store;
  g_socket_set_blocking (pipe->ends[0], FALSE);
  for (int i = 0; i < 2; i++)
    {
      pipe->directions[i] = (struct Direction){
        .pipe = pipe,
        .from = pipe->ends[i],
        .to = pipe->ends[1 - i],
        .buffered = g_byte_array_new (),
        .from_store = i == 1,
      };
      wait_for_data (&pipe->directions[i]);
    }
  g_ptr_array_add (proxy->pipes, pipe);
  return TRUE;
}

struct SoakProxy *
soak_proxy_new (const char *ip, const char *store_ip, uint16_t port)
{
  struct SoakProxy *proxy = g_new0 (struct SoakProxy, 1);
  GSocketAddress *address = g_inet_socket_address_new_from_string (ip, port);
  GError *error = NULL;

  proxy->store = g_inet_socket_address_new_from_string (store_ip, port);
  proxy->pipes = g_ptr_array_new ();
  proxy->silent = g_ptr_array_new ();
  proxy->service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (proxy->service), address,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                      &error))
    g_error ("proxy %s: %s", ip, error->message);
  g_signal_connect (proxy->service, "incoming", G_CALLBACK (incoming), proxy);
  g_object_unref (address);
  return proxy;
}

void
soak_proxy_set (struct SoakProxy *proxy, enum SoakPath path)
{
  proxy->path = path;
  if (path == SOAK_PATH_RESET)
    close_all (proxy, true);
}

void
soak_proxy_free (struct SoakProxy *proxy)
{
  g_socket_service_stop (proxy->service);
  g_object_unref (proxy->service);
  close_all (proxy, false);
  while (proxy->silent->len > 0)
    close_pipe (g_ptr_array_steal_index (proxy->silent, 0), false);
  g_ptr_array_unref (proxy->silent);
  g_ptr_array_unref (proxy->pipes);
  g_object_unref (proxy->store);
  g_free (proxy);
}
