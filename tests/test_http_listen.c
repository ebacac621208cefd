#include "runtime/http_listen.h"
#include "suite.h"
#include "tcp_server.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* What HTTP clients do must not stop a server, or exhaust its process. */

#define DESCRIPTORS 64 /* that the server's process may open */
#define PORT 8261
#define WAIT_S 2
#define PAYLOAD_BYTES 67108864 /* of a client that sends too much */
#define GROWTH_MAX_KB 16384    /* of the server's memory meanwhile */

static struct CfAddress server_address;

/* Freed memory that the sanitizer keeps must not count as the server's. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1";
}

static void
answer (SoupServer *soup,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  (void) soup;
  (void) path;
  (void) query;
  (void) data;
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

/* Runs a server in a child process, and returns its id when it listens. */
static pid_t
start_server (void)
{
  char *ip = tcp_server_own_ip (1);
  struct rlimit limit = { .rlim_cur = DESCRIPTORS, .rlim_max = DESCRIPTORS };
  struct CfError error = { 0 };
  int ready[2];
  pid_t pid;
  char byte = 0;

  ck_assert (cf_address_parse (ip, PORT, &server_address));
  g_free (ip);
  ck_assert_int_eq (pipe (ready), 0);
  pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      setrlimit (RLIMIT_NOFILE, &limit);
      if (!cf_http_listen (&server_address, answer, NULL, &error))
        _exit (EXIT_FAILURE);
      if (write (ready[1], &byte, 1) != 1)
        _exit (EXIT_FAILURE);
      g_main_loop_run (g_main_loop_new (NULL, FALSE));
    }
  close (ready[1]);
  ck_assert_int_eq (read (ready[0], &byte, 1), 1);
  close (ready[0]);
  return pid;
}

static void
stop_server (pid_t pid)
{
  int status;

  ck_assert_int_eq (waitpid (pid, &status, WNOHANG), 0);
  kill (pid, SIGKILL);
  waitpid (pid, &status, 0);
}

/* Returns a connection, -1 if there is none in time. */
static int
open_connection (void)
{
  const struct timeval wait = { .tv_sec = WAIT_S };
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (PORT) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  memcpy (&to.sin_addr, server_address.ip + 12, 4);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns true if the server answers a request on the connection FD. */
static bool
is_answered (int fd)
{
  static const char request[] = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
  char text[1024] = "";

  return send (fd, request, sizeof request - 1, MSG_NOSIGNAL) == sizeof request - 1
         && recv (fd, text, sizeof text - 1, 0) > 0 && strncmp (text, "HTTP/1.1 200", 12) == 0;
}

static bool
is_new_connection_answered (void)
{
  int fd = open_connection ();
  bool answered = fd >= 0 && is_answered (fd);

  close (fd);
  return answered;
}

/* Idle connections used up the descriptors; the server stopped accepting for good. */
START_TEST (test_idle_connections_do_not_stop_server)
{
  pid_t pid = start_server ();
  int idle[2 * DESCRIPTORS];

  for (size_t i = 0; i < G_N_ELEMENTS (idle); i++)
    idle[i] = open_connection ();
  ck_assert (is_new_connection_answered ());
  for (size_t i = 0; i < G_N_ELEMENTS (idle); i++)
    close (idle[i]);
  ck_assert (is_new_connection_answered ());
  stop_server (pid);
}
END_TEST

/* The descriptors of connections that clients had closed stayed open, one for each request. */
START_TEST (test_requests_leave_no_descriptors)
{
  pid_t pid = start_server ();

  for (int i = 0; i < 4 * DESCRIPTORS; i++)
    ck_assert (is_new_connection_answered ());
  stop_server (pid);
}
END_TEST

static long
resident_kb (pid_t pid)
{
  char path[64];
  char *text = NULL;
  long pages;

  g_snprintf (path, sizeof path, "/proc/%d/statm", (int) pid);
  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  pages = strtol (strchr (text, ' '), NULL, 10);
  g_free (text);
  return pages * (sysconf (_SC_PAGESIZE) / 1024);
}

static const char *const endless_starts[] = {
  "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
  "GET /a HTTP/1.1\r\nHost: a\r\nX: ",
  "GET /",
};

/* The server collected what it received, without a bound. */
START_TEST (test_endless_request_takes_no_memory)
{
  static char payload[65536];
  pid_t pid = start_server ();
  long before;
  int fd;

  memset (payload, 'a', sizeof payload);
  ck_assert (is_new_connection_answered ());
  before = resident_kb (pid);
  fd = open_connection ();
  send (fd, endless_starts[_i], strlen (endless_starts[_i]), MSG_NOSIGNAL);
  for (size_t sent = 0; sent < PAYLOAD_BYTES; sent += sizeof payload)
    if (send (fd, payload, sizeof payload, MSG_NOSIGNAL) < 0)
      break;
  ck_assert (is_new_connection_answered ());
  ck_assert_int_lt (resident_kb (pid) - before, GROWTH_MAX_KB);
  close (fd);
  stop_server (pid);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http_listen");

  suite_add_loop (suite, test_idle_connections_do_not_stop_server, 1);
  suite_add_loop (suite, test_requests_leave_no_descriptors, 1);
  suite_add_loop (suite, test_endless_request_takes_no_memory, G_N_ELEMENTS (endless_starts));
  return suite_run (suite);
}
