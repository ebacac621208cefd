#include "connections.h"

static guint
hash (gconstpointer key)
{
  const struct CfConnection *connection = key;

  return cf_endpoint_hash (connection->caller) * 31 + cf_endpoint_hash (connection->service);
}

static gboolean
equal (gconstpointer a, gconstpointer b)
{
  const struct CfConnection *x = a;
  const struct CfConnection *y = b;

  return cf_endpoint_equal (x->caller, y->caller) && cf_endpoint_equal (x->service, y->service);
}

void
cf_connections_init (struct CfConnections *connections)
{
  connections->table = g_hash_table_new (hash, equal);
  connections->pending = g_sequence_new (NULL);
  connections->awaiting_answer = g_sequence_new (NULL);
  cf_list_init (&connections->open);
  cf_list_init (&connections->silent);
  connections->count = 0;
  connections->awaiting_changed = NULL;
}

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer data)
{
  CfMillis x = ((const struct CfConnection *) a)->due_at;
  CfMillis y = ((const struct CfConnection *) b)->due_at;

  (void) data;
  return (x > y) - (x < y);
}

static gint
compare_stall (gconstpointer a, gconstpointer b, gpointer data)
{
  CfMillis x = ((const struct CfConnection *) a)->exchange.stalls_at;
  CfMillis y = ((const struct CfConnection *) b)->exchange.stalls_at;

  (void) data;
  return (x > y) - (x < y);
}

static struct CfConnection *
first (GSequence *queue)
{
  return g_sequence_is_empty (queue) ? NULL : g_sequence_get (g_sequence_get_begin_iter (queue));
}

static void
leave_queue (GSequenceIter **iter)
{
  g_clear_pointer (iter, g_sequence_remove);
}

static struct CfConnection *
least_recently_used (struct CfConnections *connections)
{
  return cf_list_empty (&connections->open)
             ? NULL
             : CF_LIST_ENTRY (connections->open.next, struct CfConnection, link);
}

void
cf_connections_clear (struct CfConnections *connections)
{
  struct CfConnection *connection;

  while ((connection = first (connections->pending)))
    cf_connections_remove (connections, connection);
  while ((connection = least_recently_used (connections)))
    cf_connections_remove (connections, connection);
  g_sequence_free (connections->pending);
  g_sequence_free (connections->awaiting_answer);
  g_hash_table_unref (connections->table);
}

struct CfConnection *
cf_connections_find (struct CfConnections *connections,
                     struct CfEndpoint caller,
                     struct CfEndpoint service)
{
  struct CfConnection key = { .caller = caller, .service = service };

  return g_hash_table_lookup (connections->table, &key);
}

static void
make_room (struct CfConnections *connections)
{
  struct CfConnection *pending = first (connections->pending);
  struct CfConnection *open = least_recently_used (connections);
  bool many_pending = g_sequence_get_length (connections->pending) > CF_CONNECTIONS_MAX / 2;
  struct CfConnection *removed = pending && (many_pending || !open) ? pending : open;

  if (removed && connections->count >= CF_CONNECTIONS_MAX)
    cf_connections_remove (connections, removed);
}

struct CfConnection *
cf_connections_add (struct CfConnections *connections,
                    struct CfEndpoint caller,
                    struct CfEndpoint service,
                    CfMillis now)
{
  struct CfConnection *connection;

  make_room (connections);
  connection = g_slice_new0 (struct CfConnection);
  connection->caller = caller;
  connection->service = service;
  connection->pending = true;
  connection->begun_at = now;
  connection->seen_at = now;
  connection->due_at = now;
  cf_list_init (&connection->link);
  cf_list_init (&connection->silent_link);
  g_hash_table_add (connections->table, connection);
  connections->count++;
  return connection;
}

void
cf_connection_set_target (struct CfConnection *connection, struct CfTarget *target)
{
  if (connection->target == target)
    return;
  if (connection->target)
    connection->target->open--;
  if (target)
    target->open++;
  connection->target = target;
}

void
cf_connections_schedule (struct CfConnections *connections,
                         struct CfConnection *connection,
                         CfMillis due_at)
{
  leave_queue (&connection->due);
  connection->due_at = due_at;
  connection->due = g_sequence_insert_sorted (connections->pending, connection, compare_due, NULL);
}

struct CfConnection *
cf_connections_next_due (const struct CfConnections *connections)
{
  return first (connections->pending);
}

struct CfConnection *
cf_connections_next_stall (const struct CfConnections *connections)
{
  return first (connections->awaiting_answer);
}

void
cf_connections_await_answer (struct CfConnections *connections, struct CfConnection *connection)
{
  cf_connections_stop_awaiting (connections, connection);
  connection->awaiting_answer
      = g_sequence_insert_sorted (connections->awaiting_answer, connection, compare_stall, NULL);
  if (connections->awaiting_changed)
    connections->awaiting_changed (connections->context, connection, true);
}

void
cf_connections_stop_awaiting (struct CfConnections *connections, struct CfConnection *connection)
{
  if (!connection->awaiting_answer)
    return;
  leave_queue (&connection->awaiting_answer);
  if (connections->awaiting_changed)
    connections->awaiting_changed (connections->context, connection, false);
}

void
cf_connections_add_silent (struct CfConnections *connections, struct CfConnection *connection)
{
  cf_list_remove (&connection->silent_link);
  cf_list_insert (&connections->silent, &connection->silent_link);
}

void
cf_connections_touch (struct CfConnections *connections,
                      struct CfConnection *connection,
                      CfMillis now)
{
  connection->pending = false;
  connection->seen_at = now;
  leave_queue (&connection->due);
  cf_list_remove (&connection->link);
  cf_list_insert (&connections->open, &connection->link);
}

void
cf_connections_remove (struct CfConnections *connections, struct CfConnection *connection)
{
  cf_connections_stop_awaiting (connections, connection);
  cf_connection_set_target (connection, NULL);
  leave_queue (&connection->due);
  cf_list_remove (&connection->link);
  cf_list_remove (&connection->silent_link);
  g_hash_table_remove (connections->table, connection);
  g_slice_free (struct CfConnection, connection);
  connections->count--;
}
