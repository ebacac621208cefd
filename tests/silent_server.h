#ifndef CF_TEST_SILENT_SERVER_H
#define CF_TEST_SILENT_SERVER_H

#include "tcp_server.h"

/* An HTTP server whose open connections can go silent for good, without a reset, as when a firewall
 * has dropped their state: what comes on them is not answered, and they are not closed.  New ones
 * work. */

struct SilentRequest
{
  const char *path;    /* with the query */
  const char *head;    /* request line and headers */
  int number;          /* of all requests, from 1 */
  bool over;           /* it has waited for as long as it asked to ("wait-ms") */
  const char *headers; /* further ones of the response, to be set by "answer"; or NULL */
};

struct SilentServer
{
  /* Returns the body of the response, or NULL if there is none yet.  Called with the mutex held, on
   * the connection's thread: at first, after each signal of "changed", and when the wait is over.
   */
  GBytes *(*answer) (void *data, struct SilentRequest *request);
  void *data;
  const char *status;  /* of each response; NULL: "200 OK" */
  const char *headers; /* further ones of each response, each with its line end; or NULL */
  /* Each connection goes silent once a request on it has been answered. */
  atomic_bool silent_if_idle;

  /* The rest belongs to the server. */
  struct TcpServer tcp;
  GMutex mutex;  /* guards what follows, and what "answer" refers to */
  GCond changed; /* to be signalled with the mutex held when other answers may be due */
  const char *silent_path;
  int silences;       /* calls of silent_server_silence */
  GPtrArray *waiting; /* paths of the requests that wait for an answer */
  int requests;       /* on connections that are not silent */
  int on_silent;      /* requests on silent connections */
  bool stopping;
};

/* Listens at IP and PORT, NULL and 0: at any port of 127.0.0.1, which tcp.port then has. */
void silent_server_start (struct SilentServer *server, const char *ip, uint16_t port);

/* Has the connections that are open now go silent: those that wait for the answer to a request
 * whose path has PATH in it, or all, idle ones too (PATH is NULL). */
void silent_server_silence (struct SilentServer *server, const char *path);

/* Returns the number of requests so far, on connections that are not silent. */
int silent_server_requests (struct SilentServer *server);

/* Returns the number of requests that came on silent connections. */
int silent_server_on_silent (struct SilentServer *server);

/* Returns true if a request whose path has PATH in it waits for an answer. */
bool silent_server_has_waiting (struct SilentServer *server, const char *path);

/* The clients have to have closed their connections, except silent ones. */
void silent_server_stop (struct SilentServer *server);

#endif
