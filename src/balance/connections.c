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
  cf_list_init (&connections->pending);
  cf_list_init (&connections->open);
  cf_list_init (&connections->asking);
  connections->count = 0;
}

static void
clear_list (struct CfConnections *connections, struct CfLink *list)
{
  while (!cf_list_empty (list))
    cf_connections_remove (connections, CF_LIST_ENTRY (list->next, struct CfConnection, link));
}

void
cf_connections_clear (struct CfConnections *connections)
{
  clear_list (connections, &connections->pending);
  clear_list (connections, &connections->open);
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

struct CfConnection *
cf_connections_add (struct CfConnections *connections,
                    struct CfEndpoint caller,
                    struct CfEndpoint service,
                    CfMillis now)
{
  struct CfConnection *connection = g_slice_new0 (struct CfConnection);

  connection->caller = caller;
  connection->service = service;
  connection->pending = true;
  connection->begun_at = now;
  connection->seen_at = now;
  connection->due_at = now;
  cf_list_init (&connection->link);
  cf_list_init (&connection->asking);
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
  struct CfLink *position = &connections->pending;

  cf_list_remove (&connection->link);
  connection->due_at = due_at;
  /* Delays differ little, so the place is near the end. */
  while (position->prev != &connections->pending
         && CF_LIST_ENTRY (position->prev, struct CfConnection, link)->due_at > due_at)
    position = position->prev;
  cf_list_insert (position, &connection->link);
}

void
cf_connections_touch (struct CfConnections *connections,
                      struct CfConnection *connection,
                      CfMillis now)
{
  connection->pending = false;
  connection->seen_at = now;
  cf_list_remove (&connection->link);
  cf_list_insert (&connections->open, &connection->link);
}

void
cf_connections_remove (struct CfConnections *connections, struct CfConnection *connection)
{
  cf_connection_set_target (connection, NULL);
  cf_list_remove (&connection->link);
  cf_list_remove (&connection->asking);
  g_hash_table_remove (connections->table, connection);
  g_slice_free (struct CfConnection, connection);
  connections->count--;
}
