#include "soak.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>

/* Watches of many sockets.  GLib's loop looks at each of its sources for each event, which takes
 * all the processor's time with thousands of sockets; here all are one source. */

#define EVENTS_MAX 256

struct SoakWatch
{
  int fd;
  GSourceFunc func;
  gpointer data; /* NULL: removed */
};

static int poll_fd = -1;
static GPtrArray *removed; /* watches to free once no event can refer to them */

static gboolean
on_events (gint fd, GIOCondition condition, gpointer data)
{
  struct epoll_event events[EVENTS_MAX];
  int count = epoll_wait (fd, events, EVENTS_MAX, 0);

  (void) condition;
  (void) data;
  for (int i = 0; i < count; i++)
    {
      struct SoakWatch *watch = events[i].data.ptr;

      if (watch->data)
        watch->func (watch->data);
    }
  g_ptr_array_set_size (removed, 0);
  return G_SOURCE_CONTINUE;
}

struct SoakWatch *
soak_watch (int fd, GSourceFunc func, gpointer data)
{
  struct SoakWatch *watch = g_new0 (struct SoakWatch, 1);
  struct epoll_event event = { .events = EPOLLIN, .data.ptr = watch };

  if (poll_fd < 0)
    {
      poll_fd = epoll_create1 (EPOLL_CLOEXEC);
      removed = g_ptr_array_new_with_free_func (g_free);
      g_unix_fd_add (poll_fd, G_IO_IN, on_events, NULL);
    }
  *watch = (struct SoakWatch){ .fd = fd, .func = func, .data = data };
  if (epoll_ctl (poll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
    g_error ("epoll: %s", g_strerror (errno));
  return watch;
}

void
soak_unwatch (struct SoakWatch *watch)
{
  epoll_ctl (poll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
  watch->data = NULL;
  g_ptr_array_add (removed, watch);
}
