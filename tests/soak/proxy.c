#include "soak.h"

#include <sys/socket.h>
#include <unistd.h>

/* A TCP proxy whose connections can be delayed, silenced, cut one way or reset. */

#define SLOW_MS 300
#define RETRY_MS 20 /* between two looks at a silenced connection */
#define CHUNK 65536

struct Pipe;

struct Direction
{
  struct Pipe *pipe;
  GSocket *from;
  GSocket *to;
  GByteArray *rest; /* received and not yet passed on */
  GSource *source;  /* waits for data, or until the path may be open again */
  bool answers;     /* from the store to the VM */
};

struct Pipe
{
  struct SoakProxy *proxy;
  GSocket *ends[2];
  struct Direction halves[2];
};

struct SoakProxy
{
  GSocketService *service;
  uint16_t store_port;
  enum SoakPath path;
  GPtrArray *pipes;
};

static void wait_for_data (struct Direction *half);
static gboolean on_data (GSocket *socket, GIOCondition condition, gpointer data);

static void
drop_source (struct Direction *half)
{
  if (half->source)
    g_source_destroy (half->source);
  g_clear_pointer (&half->source, g_source_unref);
}

static void
close_pipe (struct Pipe *pipe, bool reset)
{
  for (int i = 0; i < 2; i++)
    {
      struct linger linger = { .l_onoff = 1 };

      drop_source (&pipe->halves[i]);
      g_byte_array_unref (pipe->halves[i].rest);
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

static gboolean
resume_direction (gpointer data)
{
  struct Direction *half = data;

  drop_source (half);
  if (half->rest->len == 0)
    {
      wait_for_data (half);
      return G_SOURCE_REMOVE;
    }
  if (on_data (half->from, G_IO_IN, half))
    wait_for_data (half);
  return G_SOURCE_REMOVE;
}

static void
pause_direction (struct Direction *half, guint ms)
{
  drop_source (half);
  half->source = g_timeout_source_new (ms);
  g_source_set_callback (half->source, resume_direction, half, NULL);
  g_source_attach (half->source, NULL);
}

enum ForwardResult
{
  FORWARDED_ALL,
  FORWARDED_PART,   /* the other end is not reading */
  FORWARDED_CLOSED, /* the connection has ended */
};

/* Passes on what has come.  An end may be a process that is stopped: nothing may wait for
 * it. */
static enum ForwardResult
pass (struct Direction *half)
{
  GError *fault = NULL;

  if (half->rest->len == 0)
    {
      char buffer[CHUNK];
      gssize len = g_socket_receive (half->from, buffer, sizeof buffer, NULL, NULL);

      if (len <= 0)
        return FORWARDED_CLOSED;
      g_byte_array_append (half->rest, (const guint8 *) buffer, (guint) len);
    }
  while (half->rest->len > 0)
    {
      gssize sent = g_socket_send (half->to, (const char *) half->rest->data, half->rest->len, NULL,
                                   &fault);
      bool full = g_error_matches (fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);

      g_clear_error (&fault);
      if (sent <= 0)
        return full ? FORWARDED_PART : FORWARDED_CLOSED;
      g_byte_array_remove_range (half->rest, 0, (guint) sent);
    }
  return FORWARDED_ALL;
}

static gboolean
on_data (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct Direction *half = data;
  struct SoakProxy *proxy = half->pipe->proxy;

  (void) socket;
  (void) condition;
  if (proxy->path == SOAK_PATH_RESET)
    {
      free_pipe (half->pipe, true);
      return G_SOURCE_REMOVE;
    }
  if (proxy->path == SOAK_PATH_BLACKHOLE || (proxy->path == SOAK_PATH_ONE_WAY && half->answers))
    {
      pause_direction (half, RETRY_MS);
      return G_SOURCE_REMOVE;
    }
  switch (pass (half))
    {
    case FORWARDED_CLOSED:
      free_pipe (half->pipe, false);
      return G_SOURCE_REMOVE;
    case FORWARDED_PART:
      pause_direction (half, RETRY_MS);
      return G_SOURCE_REMOVE;
    case FORWARDED_ALL:
      break;
    }
  if (proxy->path != SOAK_PATH_SLOW)
    return G_SOURCE_CONTINUE;
  pause_direction (half, SLOW_MS);
  return G_SOURCE_REMOVE;
}

static void
wait_for_data (struct Direction *half)
{
  half->source = g_socket_create_source (half->from, G_IO_IN, NULL);
  g_source_set_callback (half->source, G_SOURCE_FUNC (on_data), half, NULL);
  g_source_attach (half->source, NULL);
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
  GSocketAddress *address = g_inet_socket_address_new_from_string ("127.0.0.1", proxy->store_port);
  GError *fault = NULL;
  struct Pipe *pipe;

  (void) service;
  (void) source_object;
  /* The store is in this process: waiting for it to accept would be for ever once its queue of
   * connections is full. */
  g_socket_set_blocking (store, FALSE);
  if (proxy->path == SOAK_PATH_RESET
      || (!g_socket_connect (store, address, NULL, &fault)
          && !g_error_matches (fault, G_IO_ERROR, G_IO_ERROR_PENDING)))
    {
      g_clear_error (&fault);
      g_object_unref (store);
      g_object_unref (address);
      return TRUE;
    }
  g_clear_error (&fault);
  g_object_unref (address);
  pipe = g_new0 (struct Pipe, 1);
  pipe->proxy = proxy;
  pipe->ends[0] = g_object_ref (g_socket_connection_get_socket (connection));
  pipe->ends[1] = store;
  g_socket_set_blocking (pipe->ends[0], FALSE);
  for (int i = 0; i < 2; i++)
    {
      pipe->halves[i] = (struct Direction){
        .pipe = pipe,
        .from = pipe->ends[i],
        .to = pipe->ends[1 - i],
        .rest = g_byte_array_new (),
        .answers = i == 1,
      };
      wait_for_data (&pipe->halves[i]);
    }
  g_ptr_array_add (proxy->pipes, pipe);
  return TRUE;
}

struct SoakProxy *
soak_proxy_new (const char *ip, uint16_t port, uint16_t store_port)
{
  struct SoakProxy *proxy = g_new0 (struct SoakProxy, 1);
  GSocketAddress *address = g_inet_socket_address_new_from_string (ip, port);
  GError *fault = NULL;

  proxy->store_port = store_port;
  proxy->pipes = g_ptr_array_new ();
  proxy->service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (proxy->service), address,
                                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                      &fault))
    g_error ("proxy %s: %s", ip, fault->message);
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
  g_ptr_array_unref (proxy->pipes);
  g_free (proxy);
}
