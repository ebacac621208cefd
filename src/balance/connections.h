#ifndef CF_BALANCE_CONNECTIONS_H
#define CF_BALANCE_CONNECTIONS_H

#include "base/list.h"
#include "delivery.h"
#include "directory.h"

/* The flows that this VM has seen open.  They give its estimate of the upstreams' load, and let it
 * resend a first packet to another upstream if the first choice does not respond.  Forwarding
 * does not depend on them: the cookie in a packet names its upstream. */

/* A first packet is sent to no more upstreams than this before its caller retransmits it. */
#define CF_TRIES_MAX 4
#define CF_FIRST_BYTES_MAX 64 /* a longer first packet is not kept for resending */
/* Flows that are tracked at most, some 50 MB, whatever callers send. */
#define CF_CONNECTIONS_MAX 131072

/* The current request of a flow, as inferred from the caller's packets. */
struct CfExchange
{
  bool request_sent; /* data of a request went to the upstream */
  bool stalled;      /* counted as failed: no answer came in time */
  CfMillis wait;     /* from the request to the first byte of the answer, -1: none came */
  CfMillis request_sent_at;
  CfMillis stalls_at;
  uint32_t ack_base; /* the caller's acknowledgement number at request_sent_at */
  uint32_t answered; /* bytes that the caller has acknowledged since */
};

struct CfConnection
{
  struct CfLink link;             /* in open */
  GSequenceIter *due;             /* in pending; NULL: not there */
  GSequenceIter *awaiting_answer; /* in that queue while no byte of the answer has come, or NULL */
  struct CfLink silent_link;      /* in silent, or empty */
  struct CfExchange exchange;
  struct CfDelivery delivery;
  struct CfEndpoint caller;
  struct CfEndpoint service;
  struct CfTarget *target;              /* counted in its open flows; NULL: none */
  struct CfTarget *tried[CF_TRIES_MAX]; /* in order of the attempts */
  CfMillis tried_at[CF_TRIES_MAX];
  CfMillis times_out_at[CF_TRIES_MAX];
  uint32_t tries;
  uint32_t timed_out; /* of these, the first ones */
  GQuark service_name;
  uint32_t priority; /* of its route */
  bool sent;         /* an upstream got the first packet */
  bool opened_here;  /* this VM sent the first packet to the target, where the flow has opened */
  bool idempotent;   /* its requests may be repeated */
  bool extra_due;    /* while pending: at due_at, an extra opening is due and no time-out */
  uint32_t extra;    /* index of the attempt that is an extra opening, 0: none */
  bool pending;      /* no packet has followed the first */
  CfMillis begun_at; /* arrival of the first packet */
  CfMillis due_at;   /* while pending: when the next upstream is tried */
  CfMillis seen_at;
  uint8_t first[CF_FIRST_BYTES_MAX];
  size_t first_size; /* 0: not kept */
};

struct CfConnections
{
  GHashTable *table;
  GSequence *pending;         /* by due_at, soonest first */
  struct CfLink open;         /* by seen_at, oldest first */
  struct CfLink silent;       /* by delivery.repeated_at, oldest first */
  GSequence *awaiting_answer; /* by exchange.stalls_at, soonest first */
  uint32_t count;
  /* A request of CONNECTION begins to await an answer, or no longer does; may be NULL. */
  void (*awaiting_changed) (void *context, const struct CfConnection *connection, bool begins);
  void *context;
};

void cf_connections_init (struct CfConnections *connections);
void cf_connections_clear (struct CfConnections *connections);

struct CfConnection *cf_connections_find (struct CfConnections *connections,
                                          struct CfEndpoint caller,
                                          struct CfEndpoint service);

/* Adds a pending connection.  With CF_CONNECTIONS_MAX of them another one is removed: the first to
 * time out of those that are pending, if these are more than half, or else that not used for
 * longest. */
struct CfConnection *cf_connections_add (struct CfConnections *connections,
                                         struct CfEndpoint caller,
                                         struct CfEndpoint service,
                                         CfMillis now);

/* Moves CONNECTION from the open flows of its target to those of TARGET (may be NULL). */
void cf_connection_set_target (struct CfConnection *connection, struct CfTarget *target);

/* Sets when the first packet of CONNECTION times out. */
void cf_connections_schedule (struct CfConnections *connections,
                              struct CfConnection *connection,
                              CfMillis due_at);

/* Returns the pending connection that times out next, or NULL. */
struct CfConnection *cf_connections_next_due (const struct CfConnections *connections);

/* Returns the connection whose request stalls next, or NULL. */
struct CfConnection *cf_connections_next_stall (const struct CfConnections *connections);

/* Adds CONNECTION to those that await an answer, by its exchange.stalls_at, or moves it there. */
void cf_connections_await_answer (struct CfConnections *connections,
                                  struct CfConnection *connection);
/* Removes CONNECTION from them, if it is there. */
void cf_connections_stop_awaiting (struct CfConnections *connections,
                                   struct CfConnection *connection);

/* Moves CONNECTION, whose data has just been repeated, to the end of the silent flows. */
void cf_connections_add_silent (struct CfConnections *connections, struct CfConnection *connection);

/* Marks CONNECTION as open and most recently used. */
void cf_connections_touch (struct CfConnections *connections,
                           struct CfConnection *connection,
                           CfMillis now);

void cf_connections_remove (struct CfConnections *connections, struct CfConnection *connection);

#endif
