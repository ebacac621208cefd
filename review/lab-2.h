#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* Stand-ins for the review's cases: the platform's store, endpoints, requesters and the router, in
 * one process with one thread, and the real program as child processes.  Every address is in
 * 127.0.0.0/8.  They follow ../given/kit/more/system/PROTOCOL.md. */

/* The loop. */

typedef void WatchFunc (void *data);
typedef void TimerFunc (void *data);

/* Milliseconds since the start of the case. */
int64_t lab_now (void);
void lab_watch (int fd, WatchFunc *readable, void *data);
void lab_unwatch (int fd);
/* Calls FUNC with DATA once, DELAY ms from now. */
void lab_after (int64_t delay, TimerFunc *func, void *data);
/* Runs the loop for MS. */
void lab_run (int64_t ms);
void lab_quit (void);

/* Writes a line with the time to record.txt. */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Opens the record, picks the case's addresses, and reads TROUBLE and the work folder. */
void lab_begin (int argc, char **argv);
/* Ends with status 2: the case could not run. */
void lab_cannot_run (const char *why) __attribute__ ((noreturn));
/* Ends the VMs and exits with STATUS. */
void lab_end (int status) __attribute__ ((noreturn));
/* False with TROUBLE=0. */
bool lab_trouble (void);

/* Returns the address 127.N.GROUP.HOST, where N is the case's own network. */
uint32_t lab_ip (unsigned group, unsigned host);
const char *lab_ip_text (uint32_t ip);

enum
{
  DATAGRAM_PORT = 8172,
  READY_PORT = 8167,
  CONTROL_PORT = 8166,
  METRICS_PORT = 9464,
  INTERNAL_PORT = 7720,
  STORE_PORT = 8169,
  ENDPOINT_PORT = 8367,
};

/* The store. */

/* Listens at IP as well as at the other addresses given before. */
void store_listen (uint32_t ip);
/* Writes SPEC at KIND/NAME; a write that changes nothing gives no event. */
void store_put (const char *kind, const char *name, const char *spec);
void store_delete (const char *kind, const char *name);
/* While it is down the store answers nobody; endpoints cannot write. */
void store_set_down (bool down);
bool store_is_down (void);

/* Packets. */

enum
{
  SYN = 64,
  ACK = 2,
  FIN = 16,
  RST = 8,
  HEAD_BYTES = 32,
  DATA_MAX = 1200,
};

struct Packet
{
  uint32_t src, dst, sum, seq, ack, echo;
  uint16_t sport, dport, len;
  uint8_t flags;
};

/* Endpoints. */

struct Flow;

struct Endpoint
{
  char id[32];
  uint64_t tag;
  const char *service;
  const char *zone;
  uint32_t ip;
  int fd;
  int64_t born;
  int64_t work_ms;
  bool draining;
  bool alive;
  int64_t cold_until; /* 0: warm */
  unsigned beats;     /* changes when its writes to the store get another phase */
  int lose_data;      /* so many data packets are lost on their way to it */
  struct Flow *flows;
  int64_t *arrivals; /* when opening packets came */
  size_t arrival_count;
};

/* ID is "i-" and hexadecimal digits, NULL for random ones. */
struct Endpoint *endpoint_start (
    unsigned host, const char *id, const char *service, const char *zone, int64_t work_ms);
/* The endpoint is cold for MS from now on; its next write to the store says so. */
void endpoint_become_cold (struct Endpoint *endpoint, int64_t ms);
/* Its next write to the store is MS from now; the others follow at the usual interval. */
void endpoint_beat_in (struct Endpoint *endpoint, int64_t ms);
/* Returns the most opening packets that came in any second from FROM to TO. */
unsigned endpoint_most_per_s (const struct Endpoint *endpoint, int64_t from, int64_t to);
/* Writes the entry to the store. */
void endpoint_announce (struct Endpoint *endpoint);
/* Ends the process: its flows and its socket are gone, without a word. */
void endpoint_end (struct Endpoint *endpoint);

/* Requesters. */

struct Request
{
  struct Caller *caller;
  uint16_t sport;
  uint32_t dst;
  uint16_t dport;
  bool keep; /* the flow stays open after the answer */
  bool idempotent;
  enum
  {
    OPENING,
    OPEN,
    ENDED,
  } state;
  bool waiting;    /* a request awaits its answer */
  int64_t sent_at; /* of the opening packet */
  uint32_t seq, next_seq, peer_next, echo;
  unsigned copies; /* of the opening packet, or of the data */
  unsigned generation;
  bool reset_by_system;
  bool reset_by_endpoint;
  bool timed_out;
  unsigned answers;
  struct Endpoint *endpoint; /* where the flow is open */
  struct Request *next;
};

struct Vm;

struct Caller
{
  uint32_t ip;
  int fd;
  struct Vm *vm; /* to which the router sends its packets */
  uint16_t next_port;
  struct Request *requests;
};

struct Caller *caller_new (unsigned host, struct Vm *vm);
/* Opens a flow to DST and sends a request on it. */
struct Request *caller_request (struct Caller *caller, uint32_t dst, uint16_t dport, bool keep);
/* Sends the next request on the open flow REQUEST. */
void caller_again (struct Request *request);
/* Called for each flow that ended, or got an answer; may be NULL. */
extern void (*caller_event) (struct Request *request, const char *what);

/* VMs. */

struct Vm
{
  char name[32];
  const char *zone;
  uint32_t ip;
  uint32_t store; /* address at which it reaches the store */
  pid_t pid;      /* 0: it does not run */
  bool rotated;   /* the router sends packets to it */
  unsigned misses;
};

struct Vm *vm_new (unsigned host, const char *name, const char *zone, uint32_t store);
void vm_start (struct Vm *vm);
void vm_signal (struct Vm *vm, int signal);
/* Returns true if it answers GET /-/readiness with 200. */
bool vm_ready (const struct Vm *vm);
/* Returns true if the process has ended by itself, or upon a signal to stop. */
bool vm_has_ended (struct Vm *vm);
/* Starts the router's checks of readiness, twice a second. */
void router_start (void);
/* Returns the VM to which the router sends packets of a requester near VM. */
const struct Vm *router_choose (const struct Vm *vm);
/* Runs the loop until VM is ready, or ends the case after 10 s. */
void vm_await_ready (struct Vm *vm);

#endif
