#include "lab-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* The platform's store: lists, watches, single objects and writes, over HTTP/1.1. */

enum
{
  OBJECTS_MAX = 512,
  EVENTS_MAX = 4096,
  LISTENERS_MAX = 8,
  REQUEST_MAX = 65536,
};

struct Object
{
  char kind[48];
  char name[64];
  char *spec;
  uint64_t revision;
  uint64_t create_revision;
};

struct Event
{
  char kind[48];
  char name[64];
  char *spec;
  uint64_t revision;
  uint64_t create_revision;
  bool deleted;
};

struct Client
{
  int fd;
  char text[REQUEST_MAX];
  size_t len;
  bool watching;
  char kind[48];
  uint64_t after;
  unsigned serial;
  struct Client *next;
};

static struct Object objects[OBJECTS_MAX];
static size_t object_count;
static struct Event events[EVENTS_MAX];
static size_t event_count;
static uint64_t store_revision = 500;
static struct Client *clients;
static bool is_down;

static void
free_client (struct Client *client)
{
  for (struct Client **at = &clients; *at; at = &(*at)->next)
    if (*at == client)
      {
        *at = client->next;
        break;
      }
  lab_unwatch (client->fd);
  close (client->fd);
  free (client);
}

static void
respond (struct Client *client, int status, const char *body)
{
  size_t len = strlen (body);
  char *text = malloc (len + 256);
  int head = snprintf (text, 256,
                       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                       "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                       status, status == 200 ? "OK" : "No", len);

  memcpy (text + head, body, len);
  for (size_t sent = 0; sent < head + len;)
    {
      ssize_t n = send (client->fd, text + sent, head + len - sent, 0);

      if (n < 0)
        break;
      sent += (size_t) n;
    }
  free (text);
  free_client (client);
}

static size_t
add_object (
    char *out, size_t room, const char *name, const char *spec, uint64_t revision, uint64_t created)
{
  return (size_t) snprintf (out, room,
                            "{\"meta\":{\"name\":\"%s\",\"revision\":%llu,\"create-revision\":%llu,"
                            "\"finalizers\":[],\"deleting\":false},\"spec\":%s,\"status\":null}",
                            name, (unsigned long long) revision, (unsigned long long) created,
                            spec);
}

static int
compare_objects (const void *a, const void *b)
{
  return strcmp ((*(const struct Object *const *) a)->name,
                 (*(const struct Object *const *) b)->name);
}

static void
respond_list (struct Client *client, const char *kind, const char *after)
{
  const struct Object *found[OBJECTS_MAX];
  size_t count = 0;
  size_t room = 1 << 20;
  char *body = malloc (room);
  size_t len = (size_t) snprintf (body, room, "{\"items\":[");

  for (size_t i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0 && strcmp (objects[i].name, after) > 0)
      found[count++] = &objects[i];
  qsort (found, count, sizeof *found, compare_objects);
  for (size_t i = 0; i < count; i++)
    {
      if (i > 0)
        body[len++] = ',';
      len += add_object (body + len, room - len, found[i]->name, found[i]->spec, found[i]->revision,
                         found[i]->create_revision);
    }
  snprintf (body + len, room - len, "],\"truncated\":false,\"store-revision\":%llu}",
            (unsigned long long) store_revision);
  respond (client, 200, body);
  free (body);
}

/* Returns true if there was something to answer. */
static bool
respond_events (struct Client *client, bool even_none)
{
  size_t room = 1 << 20;
  char *body = malloc (room);
  size_t len = (size_t) snprintf (body, room, "{\"events\":[");
  bool any = false;

  for (size_t i = 0; i < event_count; i++)
    {
      const struct Event *event = &events[i];

      if (event->revision <= client->after || strcmp (event->kind, client->kind) != 0)
        continue;
      len += (size_t) snprintf (body + len, room - len,
                                "%s{\"deleted\":%s,\"object\":", any ? "," : "",
                                event->deleted ? "true" : "false");
      len += add_object (body + len, room - len, event->name, event->spec, event->revision,
                         event->create_revision);
      body[len++] = '}';
      any = true;
    }
  snprintf (body + len, room - len, "],\"store-revision\":%llu}",
            (unsigned long long) store_revision);
  if (any || even_none)
    respond (client, 200, body);
  free (body);
  return any || even_none;
}

struct Wait
{
  struct Client *client;
  unsigned serial;
};

static void
end_wait (void *data)
{
  struct Wait *wait = data;

  for (struct Client *client = clients; client && !is_down; client = client->next)
    if (client == wait->client && client->serial == wait->serial)
      {
        respond_events (client, true);
        break;
      }
  free (wait);
}

static void
notify (void)
{
  struct Client *next;

  for (struct Client *client = clients; client; client = next)
    {
      next = client->next;
      if (client->watching)
        respond_events (client, false);
    }
}

static struct Object *
find (const char *kind, const char *name)
{
  for (size_t i = 0; i < object_count; i++)
    if (strcmp (objects[i].kind, kind) == 0 && strcmp (objects[i].name, name) == 0)
      return &objects[i];
  return NULL;
}

static void
add_event (const struct Object *object, bool deleted)
{
  struct Event *event = &events[event_count++];

  if (event_count == EVENTS_MAX)
    lab_cannot_run ("too many events");
  snprintf (event->kind, sizeof event->kind, "%s", object->kind);
  snprintf (event->name, sizeof event->name, "%s", object->name);
  event->spec = strdup (object->spec);
  event->revision = store_revision;
  event->create_revision = object->create_revision;
  event->deleted = deleted;
}

void
store_put (const char *kind, const char *name, const char *spec)
{
  struct Object *object = find (kind, name);

  if (object && strcmp (object->spec, spec) == 0)
    return;
  if (!object)
    {
      if (object_count == OBJECTS_MAX)
        lab_cannot_run ("too many objects");
      object = &objects[object_count++];
      memset (object, 0, sizeof *object);
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
      object->create_revision = store_revision + 1;
    }
  free (object->spec);
  object->spec = strdup (spec);
  object->revision = ++store_revision;
  add_event (object, false);
  record ("store: %s/%s is %s, revision %llu", kind, name, spec,
          (unsigned long long) store_revision);
  notify ();
}

void
store_delete (const char *kind, const char *name)
{
  struct Object *object = find (kind, name);

  if (!object)
    return;
  store_revision++;
  add_event (object, true);
  record ("store: %s/%s is removed, revision %llu", kind, name,
          (unsigned long long) store_revision);
  free (object->spec);
  *object = objects[--object_count];
  notify ();
}

/* Writes the body {"meta":{"name":...},"spec":...} of CLIENT's request. */
static void
handle_write (struct Client *client, const char *kind, const char *name, char *body)
{
  char found[64] = "";
  char *at = strstr (body, "\"name\":\"");
  char *spec = strstr (body, "\"spec\":");
  char *end = strrchr (body, '}');

  if (at)
    sscanf (at + strlen ("\"name\":\""), "%63[^\"]", found);
  if (!spec || !end || (!*name && !*found))
    {
      respond (client, 400, "{}");
      return;
    }
  *end = 0;
  if (!*name && find (kind, found))
    {
      respond (client, 409, "{}");
      return;
    }
  if (*name && !find (kind, name))
    {
      respond (client, 404, "{}");
      return;
    }
  /* The client's text goes with its connection. */
  spec = strdup (spec + strlen ("\"spec\":"));
  respond (client, 200, "{}");
  store_put (kind, *name ? name : found, spec);
  free (spec);
}

static void
handle (struct Client *client, char *body)
{
  char method[8] = "";
  char target[1024] = "";
  char kind[48] = "";
  char name[64] = "";
  char *query;
  const char *watch;
  const char *wait_ms;
  const char *after;

  lab_unwatch (client->fd);
  if (sscanf (client->text, "%7s %1023s", method, target) != 2)
    {
      respond (client, 400, "{}");
      return;
    }
  query = strchr (target, '?');
  if (query)
    *query++ = 0;
  if (sscanf (target, "/-/objects/%47[^/]/%63s", kind, name) < 1)
    {
      respond (client, 404, "{}");
      return;
    }
  if (strcmp (method, "GET") != 0)
    {
      if (strcmp (method, "DELETE") == 0)
        {
          respond (client, find (kind, name) ? 200 : 404, "{}");
          store_delete (kind, name);
        }
      else
        handle_write (client, kind, name, body);
      return;
    }
  watch = query ? strstr (query, "watch=") : NULL;
  wait_ms = query ? strstr (query, "wait-ms=") : NULL;
  after = query ? strstr (query, "after=") : NULL;
  if (!watch)
    {
      respond_list (client, kind, after ? after + strlen ("after=") : "");
      return;
    }
  snprintf (client->kind, sizeof client->kind, "%s", kind);
  client->after = strtoull (watch + strlen ("watch="), NULL, 10);
  if (!respond_events (client, !wait_ms || atoi (wait_ms + strlen ("wait-ms=")) == 0))
    {
      struct Wait *wait = malloc (sizeof *wait);

      *wait = (struct Wait){ client, client->serial };
      client->watching = true;
      lab_after (atoi (wait_ms + strlen ("wait-ms=")), end_wait, wait);
    }
}

static void
on_readable (void *data)
{
  struct Client *client = data;
  ssize_t n = recv (client->fd, client->text + client->len, REQUEST_MAX - 1 - client->len, 0);
  char *end;
  const char *length;

  if (n <= 0)
    {
      free_client (client);
      return;
    }
  client->len += (size_t) n;
  client->text[client->len] = 0;
  if (is_down)
    return;
  end = strstr (client->text, "\r\n\r\n");
  if (!end)
    return;
  length = strcasestr (client->text, "\r\ncontent-length:");
  if (length && length < end
      && client->len < (size_t) (end + 4 - client->text)
                           + strtoul (length + strlen ("\r\ncontent-length:"), NULL, 10))
    return;
  handle (client, end + 4);
}

void
store_set_down (bool down)
{
  record ("the store %s", down ? "is down: it answers nobody" : "is back");
  is_down = down;
  /* What was asked before or meanwhile gets no answer. */
  while (!down && clients)
    free_client (clients);
}

bool
store_is_down (void)
{
  return is_down;
}

static void
on_accept (void *data)
{
  static unsigned serial;
  int fd = accept ((int) (intptr_t) data, NULL, NULL);
  struct Client *client;

  if (fd < 0)
    return;
  client = calloc (1, sizeof *client);
  client->fd = fd;
  client->serial = ++serial;
  client->next = clients;
  clients = client;
  lab_watch (fd, on_readable, client);
}

void
store_listen (uint32_t ip)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (STORE_PORT),
    .sin_addr.s_addr = htonl (ip),
  };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0 || listen (fd, 64) != 0)
    lab_cannot_run ("the store's port is taken");
  lab_watch (fd, on_accept, (void *) (intptr_t) fd);
}
