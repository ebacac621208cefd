#include <fcntl.h>
#include <glib-unix.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cf_types.h"

/* A fake of the platform's object API on loopback: objects with version tags,
 * conditional writes, reads that wait, and the list of VMs.  Commands come from
 * standard input, one a line:
 *
 *   down, up     refuse every call, those that wait too, or answer again
 *   save         make a copy of all objects, their tags included
 *   restore      return to the copy
 *   silent       accept calls and never answer
 *   lose N       let the next N writes take effect without an answer
 *   vms TEXT     the JSON text of the list of VMs
 *   calls        print the number of calls so far
 *   show NAME    print the object, or "no object NAME" */

#define WAIT_STEP_MS 50

struct Platform
{
  SoupServer *server;
  GHashTable *values;       /* name to text */
  GHashTable *versions;     /* name to version */
  GHashTable *saved_values; /* of the copy, empty until one is made */
  GHashTable *saved_versions;
  char *vms;
  bool down;
  bool silent;
  int lose_answers;
  uint64_t calls;
  GMainLoop *loop;
};

/* A long poll: a read that waits for another version. */
struct PendingRead
{
  struct Platform *platform;
  SoupServerMessage *message;
  char *name;
  char *tag;
  gint64 deadline;
};

static char *
tag_of (const struct Platform *platform, const char *name)
{
  return g_strdup_printf ("\"%u\"",
                          GPOINTER_TO_UINT (g_hash_table_lookup (platform->versions, name)));
}

static void
answer_value (const struct Platform *platform, SoupServerMessage *message, const char *name)
{
  const char *value = g_hash_table_lookup (platform->values, name);
  char *tag = tag_of (platform, name);

  soup_server_message_set_status (message, value ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND, NULL);
  if (value)
    {
      soup_message_headers_replace (soup_server_message_get_response_headers (message), "ETag",
                                    tag);
      soup_server_message_set_response (message, "text/plain; charset=utf-8", SOUP_MEMORY_COPY,
                                        value, strlen (value));
    }
  g_free (tag);
}

static gboolean
check_pending (gpointer data)
{
  struct PendingRead *pending = data;
  char *tag = tag_of (pending->platform, pending->name);
  bool changed = strcmp (tag, pending->tag) != 0;
  bool expired = g_get_monotonic_time () > pending->deadline;

  g_free (tag);
  if (pending->platform->silent || (!pending->platform->down && !changed && !expired))
    return G_SOURCE_CONTINUE;
  if (pending->platform->down)
    soup_server_message_set_status (pending->message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  else if (changed)
    answer_value (pending->platform, pending->message, pending->name);
  else
    soup_server_message_set_status (pending->message, SOUP_STATUS_NOT_MODIFIED, NULL);
  soup_server_message_unpause (pending->message);
  g_object_unref (pending->message);
  g_free (pending->name);
  g_free (pending->tag);
  g_free (pending);
  return G_SOURCE_REMOVE;
}

static void
read_object (struct Platform *platform, SoupServerMessage *message, const char *name)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *known = soup_message_headers_get_one (headers, "If-None-Match");
  const char *prefer = soup_message_headers_get_one (headers, "Prefer");
  char *tag = tag_of (platform, name);
  int wait_s = prefer && g_str_has_prefix (prefer, "wait=") ? atoi (prefer + 5) : 0;

  if (known && strcmp (known, tag) == 0)
    {
      struct PendingRead *pending = g_new0 (struct PendingRead, 1);

      *pending = (struct PendingRead){
        .platform = platform,
        .message = g_object_ref (message),
        .name = g_strdup (name),
        .tag = g_strdup (known),
        .deadline = g_get_monotonic_time () + wait_s * G_USEC_PER_SEC,
      };
      soup_server_message_pause (message);
      g_timeout_add (WAIT_STEP_MS, check_pending, pending);
    }
  else
    answer_value (platform, message, name);
  g_free (tag);
}

static void
write_object (struct Platform *platform, SoupServerMessage *message, const char *name)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *match = soup_message_headers_get_one (headers, "If-Match");
  const char *none = soup_message_headers_get_one (headers, "If-None-Match");
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  uint32_t version = GPOINTER_TO_UINT (g_hash_table_lookup (platform->versions, name));
  char *tag = tag_of (platform, name);
  bool allowed = match ? version && strcmp (match, tag) == 0 : !none || version == 0;

  g_free (tag);
  if (!allowed)
    {
      soup_server_message_set_status (message, SOUP_STATUS_PRECONDITION_FAILED, NULL);
      return;
    }
  g_hash_table_insert (platform->values, g_strdup (name),
                       g_strndup (body->data, (gsize) body->length));
  g_hash_table_insert (platform->versions, g_strdup (name), GUINT_TO_POINTER (version + 1));
  if (platform->lose_answers > 0)
    {
      platform->lose_answers--;
      soup_server_message_pause (message);
      return;
    }
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
}

static void
handle (SoupServer *server,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  struct Platform *platform = data;
  const char *method = soup_server_message_get_method (message);

  (void) server;
  (void) query;
  platform->calls++;
  if (platform->silent)
    soup_server_message_pause (message);
  else if (platform->down)
    soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
  else if (strcmp (path, "/vms") == 0)
    {
      soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
      soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY,
                                        platform->vms, strlen (platform->vms));
    }
  else if (!g_str_has_prefix (path, "/objects/"))
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
  else if (strcmp (method, "PUT") == 0)
    write_object (platform, message, path + strlen ("/objects/"));
  else
    read_object (platform, message, path + strlen ("/objects/"));
}

static void
show (const struct Platform *platform, const char *name)
{
  const char *value = g_hash_table_lookup (platform->values, name);

  if (value)
    printf ("%s\n", value);
  else
    printf ("no object %s\n", name);
}

static gpointer
copy_text (gconstpointer text, gpointer data)
{
  (void) data;
  return g_strdup (text);
}

static gpointer
copy_pointer (gconstpointer pointer, gpointer data)
{
  (void) data;
  return (gpointer) pointer;
}

/* Replaces all of INTO, a table with text as keys, by what FROM has. */
static void
copy_table (GHashTable *into, GHashTable *from, GCopyFunc copy_value)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_remove_all (into);
  g_hash_table_iter_init (&iter, from);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (into, g_strdup (key), copy_value (value, NULL));
}

static void
save (struct Platform *platform)
{
  copy_table (platform->saved_values, platform->values, copy_text);
  copy_table (platform->saved_versions, platform->versions, copy_pointer);
}

static void
restore (struct Platform *platform)
{
  copy_table (platform->values, platform->saved_values, copy_text);
  copy_table (platform->versions, platform->saved_versions, copy_pointer);
}

static void
run_command (struct Platform *platform, const char *line)
{
  if (strcmp (line, "down") == 0)
    platform->down = true;
  else if (strcmp (line, "silent") == 0)
    platform->silent = true;
  else if (strcmp (line, "up") == 0)
    platform->down = platform->silent = false;
  else if (strcmp (line, "save") == 0)
    save (platform);
  else if (strcmp (line, "restore") == 0)
    restore (platform);
  else if (g_str_has_prefix (line, "lose "))
    platform->lose_answers = atoi (line + 5);
  else if (g_str_has_prefix (line, "vms "))
    {
      g_free (platform->vms);
      platform->vms = g_strdup (line + 4);
    }
  else if (g_str_has_prefix (line, "show "))
    show (platform, line + 5);
  else if (strcmp (line, "calls") == 0)
    printf ("calls %" G_GUINT64_FORMAT "\n", platform->calls);
  fflush (stdout);
}

static gboolean
read_commands (gint fd, GIOCondition condition, gpointer data)
{
  struct Platform *platform = data;
  char buffer[4096];
  ssize_t n = read (fd, buffer, sizeof buffer - 1);
  char **lines;

  (void) condition;
  if (n <= 0)
    {
      g_main_loop_quit (platform->loop);
      return G_SOURCE_REMOVE;
    }
  buffer[n] = '\0';
  lines = g_strsplit (buffer, "\n", -1);
  for (int i = 0; lines[i]; i++)
    if (*lines[i])
      run_command (platform, lines[i]);
  g_strfreev (lines);
  return G_SOURCE_CONTINUE;
}

int
main (int argc, char **argv)
{
  struct Platform platform = { .vms = g_strdup ("[]") };
  GError *error = NULL;

  if (argc != 2)
    {
      fprintf (stderr, "usage: objectstore PORT\n");
      return EXIT_FAILURE;
    }
  platform.values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform.versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  platform.saved_values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform.saved_versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  platform.loop = g_main_loop_new (NULL, FALSE);
  platform.server = soup_server_new (NULL, NULL);
  soup_server_add_handler (platform.server, NULL, handle, &platform, NULL);
  if (!soup_server_listen_local (platform.server, (guint) atoi (argv[1]),
                                 SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    {
      fprintf (stderr, "objectstore: %s\n", error->message);
      return EXIT_FAILURE;
    }
  fcntl (STDIN_FILENO, F_SETFL, O_NONBLOCK);
  g_unix_fd_add (STDIN_FILENO, G_IO_IN | G_IO_HUP, read_commands, &platform);
  g_main_loop_run (platform.loop);
  return EXIT_SUCCESS;
}
