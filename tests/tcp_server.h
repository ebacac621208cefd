#ifndef CF_TEST_TCP_SERVER_H
#define CF_TEST_TCP_SERVER_H

#include <gio/gio.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* A server on loopback that handles each connection on a thread of its own. */
struct TcpServer
{
  /* Handles the connection FD, which is closed when this returns. */
  void (*handle) (void *data, int fd);
  void *data;
  uint16_t port;       /* set by tcp_server_start */
  atomic_int accepted; /* connections so far */
  atomic_int handled;  /* of these, those that are closed */
  atomic_bool stopping;
  GSocket *listener;
  GThread *thread;
};

/* Listens at any port of 127.0.0.1. */
void tcp_server_start (struct TcpServer *server);

/* Listens at IP and PORT, 0: any. */
void tcp_server_start_at (struct TcpServer *server, const char *ip, uint16_t port);

/* Returns the address of HOST, below 256, in a loopback network of this process; to be freed with
 * g_free.  Tests run side by side, and so do whole runs in several checkouts: two processes share a
 * network only if their ids differ by a multiple of 37,376. */
char *tcp_server_own_ip (int host);

/* Waits until all connections are closed. */
void tcp_server_stop (struct TcpServer *server);

/* Reads the head of an HTTP request.  Returns false at the end of the connection. */
bool tcp_server_read_request (int fd);

#define TCP_SERVER_HEAD_MAX 4096

/* The same; TEXT gets the head, and what came with it. */
bool tcp_server_read_head (int fd, char text[TCP_SERVER_HEAD_MAX]);

#endif
