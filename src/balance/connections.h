#ifndef CF_BALANCE_CONNECTIONS_H
#define CF_BALANCE_CONNECTIONS_H

#include "base/list.h"
#include "directory.h"

/* The flows that this VM has seen begin: for its view of the upstreams' load, and to
 * send a first packet on to another upstream if the first choice does not react.
 * Nothing depends on a record: the cookie in a packet says where its flow is. */

/* A first packet is tried at no more upstreams than this before its caller repeats it. */
#define CF_TRIES_MAX 4
#define CF_FIRST_BYTES_MAX 64 /* a longer first packet is not kept for a second try */

/* The request that a flow is at, as far as the caller's packets tell. */
struct CfExchange
{
  bool asked;   /* data of a request went to the upstream */
  bool stalled; /* counted as failed, since no answer came for long */
  CfMillis request_sent_at;
  CfMillis stalls_at;
  uint32_t ack_base; /* the caller's acknowledgement then */
  uint32_t answered; /* bytes that it has acknowledged since */
};

struct CfConnection
{
  struct CfLink link;   /* in pending or in open */
  struct CfLink asking; /* in asking, while no byte of an answer has come */
  struct CfExchange exchange;
  struct CfEndpoint caller;
  struct CfEndpoint service;
  struct CfTarget *target;              /* counted in its open flows; NULL: none */
  struct CfTarget *tried[CF_TRIES_MAX]; /* in order */
  CfMillis tried_at[CF_TRIES_MAX];
  uint32_t tries;
  GQuark service_name;
  bool sent;         /* an upstream got the first packet */
  bool pending;      /* no packet has followed the first */
  CfMillis begun_at; /* when the first packet came */
  CfMillis due_at;   /* while pending: when the next upstream is tried */
  CfMillis seen_at;
  uint8_t first[CF_FIRST_BYTES_MAX];
  size_t first_size; /* 0: not kept */
};

struct CfConnections
{
  GHashTable *table;
  struct CfLink pending; /* by due_at, soonest first */
  struct CfLink open;    /* by seen_at, oldest first */
  struct CfLink asking;  /* by exchange.stalls_at, soonest first */
  uint32_t count;
};

void cf_connections_init (struct CfConnections *connections);
void cf_connections_clear (struct CfConnections *connections);

struct CfConnection *cf_connections_find (struct CfConnections *connections,
                                          struct CfEndpoint caller,
                                          struct CfEndpoint service);

/* Adds a pending connection. */
struct CfConnection *cf_connections_add (struct CfConnections *connections,
                                         struct CfEndpoint caller,
                                         struct CfEndpoint service,
                                         CfMillis now);

/* Counts CONNECTION at TARGET (may be NULL) and no longer where it was. */
void cf_connection_set_target (struct CfConnection *connection, struct CfTarget *target);

/* Sets when the next upstream is tried. */
void cf_connections_schedule (struct CfConnections *connections,
                              struct CfConnection *connection,
                              CfMillis due_at);

/* A packet of CONNECTION came: it is open and the last to expire. */
void cf_connections_touch (struct CfConnections *connections,
                           struct CfConnection *connection,
                           CfMillis now);

void cf_connections_remove (struct CfConnections *connections, struct CfConnection *connection);

#endif
