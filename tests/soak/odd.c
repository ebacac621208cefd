#include "traffic.h"

#include <stdlib.h>
#include <string.h>

/* Entries of another writer among those of upstreams, VMs and evacuations: nested deeply, with
 * numbers out of range, fields missing or of another type, long texts, bytes that are not UTF-8 and
 * unusual names.  Callers and all other entries must not notice. */

#define FIRST_MS 1500
#define INTERVAL_MIN_MS 200
#define INTERVAL_MAX_MS 4000
#define STAY_MIN_MS 1000
#define STAY_MAX_MS 30000
#define REPLACED_MAX_MS 8000 /* an entry of an upstream or VM is replaced for so long at most */
#define DEPTH_MAX 400000
#define TEXT_MAX 1000000    /* the store takes 1,048,576 bytes */
#define BYTES_MAX (4 << 20) /* of the entries that are written at once */
#define PAGE_MAX 500
#define MANY_MAX 700          /* entries at once, more than a page of the platform */
#define TRAP_IP "127.3.0.200" /* address of the upstreams that the entries describe */
#define UNPRINTABLE "\x80\xff\xc0\xaf\xed\xa0\x80"

/* Fields of an upstream's entry and of a VM's, with usable values.  An upstream's entry without
 * one of the first ones, or with another type there, names no upstream to use. */
struct Field
{
  const char *name;
  const char *value; /* NULL: the address of the trap */
  bool required;
};

static const struct Field upstream_fields[] = {
  { "service", "\"s\"", true },
  { "address", NULL, true },
  { "zone", "\"a\"", true },
  { "state", "\"ready\"", true },
  { "version", "\"v1\"", false },
  { "slots", "2", false },
  { "warmup-remaining-ms", "0", false },
  { "sequence", "1", false },
  { "born", "1700000000000", false },
};

static const struct Field vm_fields[] = {
  { "address", "\"127.1.0.240\"", true },
  { "domain", "\"a\"", true },
  { "region", "\"r\"", true },
  { "link_mbps", "1", true },
  { "hour", "1", true },
};

static const struct Field evacuation_fields[] = { { "reason", "\"-\"", false } };

static const struct Kind
{
  enum CfFeedKind kind;
  const struct Field *fields;
  int count;
} kinds[] = {
  { CF_FEED_UPSTREAMS, upstream_fields, G_N_ELEMENTS (upstream_fields) },
  { CF_FEED_VMS, vm_fields, G_N_ELEMENTS (vm_fields) },
  { CF_FEED_EVACUATIONS, evacuation_fields, G_N_ELEMENTS (evacuation_fields) },
};

static const char *const numbers[] = {
  "1e300",      "-1e300",
  "1e999",      "-1e999",
  "1e30",       "1000000000000000000000000000000",
  "-1",         "-9223372036854775808",
  "0",          "9223372036854775807",
  "1e-999",     "18446744073709551616",
  "4294967296", "9223372036854775808",
  "2147483648", "0.5",
};

static const char *const other_types[]
    = { "null", "true", "[]", "{}", "[{}]", "\"\"", "-1.5", "\"\\u0000\"" };

static const char *const ports[] = { "0", "65536", "70000", "-1", "", "x", "99999999999999999999" };

static const char *const names[]
    = { "\"%s\"", "%s\n", "%s/../x", "%s\002x", "\\%s", "%s?after=%", "%s\t\"}]", "\x80%s", " %s" };

enum Shape
{
  SHAPE_NESTED,
  SHAPE_NESTED_FIELD,
  SHAPE_NUMBER,
  SHAPE_PORT,
  SHAPE_MISSING,
  SHAPE_TYPE,
  SHAPE_TEXT,
  SHAPE_BYTES,
  SHAPE_META,
  SHAPES,
};

struct Odd
{
  struct Soak *soak;
  enum CfFeedKind kind;
  GPtrArray *names;
  struct SoakUpstream *upstream; /* whose entry is replaced, or NULL */
  char *vm;                      /* the same for a VM's name */
  char *before;                  /* what the VM's entry was */
  char *text;                    /* of the last entry */
};

static int
draw (struct Soak *soak, int min, int max)
{
  return g_rand_int_range (soak->trouble, min, max + 1);
}

/* Draws from 10 to MAX, as likely small as large. */
static int
draw_size (struct Soak *soak, int max)
{
  int size = 10;

  while (size < max && draw (soak, 0, 3) > 0)
    size *= 1 + draw (soak, 1, 9);
  return MIN (size, max);
}

/* Returns arrays or objects in each other, or the beginning of such in a string. */
static char *
nested (struct Soak *soak)
{
  bool objects = draw (soak, 0, 1) > 0;
  bool closed = draw (soak, 0, 3) > 0;
  int depth = draw_size (soak, objects ? DEPTH_MAX / 4 : DEPTH_MAX);
  GString *text = g_string_new (closed ? "" : "\"");

  for (int i = 0; i < depth; i++)
    g_string_append (text, !objects ? "[" : closed ? "{\"a\":" : "{'a':");
  if (!closed)
    g_string_append_c (text, '"');
  else if (objects)
    g_string_append_c (text, '0');
  for (int i = 0; closed && i < depth; i++)
    g_string_append_c (text, objects ? '}' : ']');
  return g_string_free (text, FALSE);
}

/* Returns a JSON string of LEN bytes or more that repeats PART. */
static char *
long_text (const char *part, int len)
{
  GString *text = g_string_new ("\"");

  while (text->len < (gsize) len)
    g_string_append (text, part);
  g_string_append_c (text, '"');
  return g_string_free (text, FALSE);
}

static char *
odd_value (struct Soak *soak, enum Shape shape)
{
  switch (shape)
    {
    case SHAPE_NESTED_FIELD:
      return nested (soak);
    case SHAPE_NUMBER:
      return g_strdup (numbers[draw (soak, 0, G_N_ELEMENTS (numbers) - 1)]);
    case SHAPE_PORT:
      if (draw (soak, 0, 2) == 0)
        return g_strdup_printf ("\"%s:%lld\"", TRAP_IP,
                                (1LL << (draw (soak, 0, 1) ? 16 : 32)) + SOAK_UPSTREAM_PORT (soak));
      return g_strdup_printf ("\"%s:%s\"", TRAP_IP,
                              ports[draw (soak, 0, G_N_ELEMENTS (ports) - 1)]);
    case SHAPE_TEXT:
      return long_text ("x", draw_size (soak, TEXT_MAX));
    case SHAPE_BYTES:
      return long_text (UNPRINTABLE, draw_size (soak, 5000));
    default:
      return g_strdup (other_types[draw (soak, 0, G_N_ELEMENTS (other_types) - 1)]);
    }
}

/* Returns the content of an entry with one field as SHAPE says: a REQUIRED one, or any.  If others
 * may think that it is usable, it is one of a service that no route names. */
static char *
odd_content (struct Soak *soak, const struct Kind *kind, enum Shape shape, bool required)
{
  char *trap = g_strdup_printf ("\"%s:%u\"", TRAP_IP, SOAK_UPSTREAM_PORT (soak));
  char *value = odd_value (soak, shape);
  GString *text = g_string_new ("{");
  int odd = shape == SHAPE_PORT ? 1 : draw (soak, 0, kind->count - 1);
  bool unusable;

  while (required && !kind->fields[odd].required)
    odd = draw (soak, 0, kind->count - 1);
  unusable = odd < kind->count && kind->fields[odd].required
             && (shape == SHAPE_MISSING || shape == SHAPE_PORT || value[0] != '"');
  for (int i = 0; i < kind->count; i++)
    {
      const char *usable = kind->fields[i].value ? kind->fields[i].value : trap;

      if (kind->kind == CF_FEED_UPSTREAMS && i == 0 && !unusable)
        usable = "\"of-no-route\"";
      if (i != odd || shape != SHAPE_MISSING)
        g_string_append_printf (text, "%s\"%s\":%s", text->len > 1 ? "," : "", kind->fields[i].name,
                                i == odd ? value : usable);
    }
  g_string_append_c (text, '}');
  g_free (value);
  g_free (trap);
  return g_string_free (text, FALSE);
}

/* Returns a whole object whose "meta", or all of it, is odd. */
static char *
odd_object (struct Soak *soak, const char *name)
{
  char *value = odd_value (soak, (enum Shape) draw (soak, SHAPE_NESTED_FIELD, SHAPE_BYTES));
  char *text;

  switch (draw (soak, 0, 4))
    {
    case 0:
      text = g_strdup (value);
      break;
    case 1:
      text = g_strdup_printf ("{\"meta\":%s,\"spec\":{}}", value);
      break;
    case 2:
      text = g_strdup_printf ("{\"meta\":{\"name\":%s,\"revision\":" SOAK_REVISION
                              ",\"deleting\":false},\"spec\":{}}",
                              value);
      break;
    case 3:
      text = g_strdup_printf ("{\"meta\":{\"name\":\"%s\",\"revision\":%s},\"spec\":{}}", name,
                              value);
      break;
    default:
      text = g_strdup_printf ("{\"meta\":{\"name\":\"%s\",\"revision\":" SOAK_REVISION
                              "},\"born\":%s,\"spec\":{},\"status\":%s}",
                              name, value, value);
      break;
    }
  g_free (value);
  return text;
}

static char *
odd_name (struct Soak *soak)
{
  char *id = g_strdup_printf ("i-%010x", g_rand_int (soak->trouble));
  int kind = draw (soak, 0, 4 * (int) G_N_ELEMENTS (names));
  char **parts;
  char *name;

  if (kind > (int) G_N_ELEMENTS (names))
    return id;
  if (kind == (int) G_N_ELEMENTS (names))
    {
      g_free (id);
      return g_strnfill ((gsize) draw (soak, 500, 3000), 'e');
    }
  parts = g_strsplit (names[kind], "%s", -1);
  name = g_strjoinv (id, parts);
  g_strfreev (parts);
  g_free (id);
  return name;
}

/* An upstream goes on writing.  VMs that took the other writer's start time for that of a new
 * process ignore the first write with its own. */
static gboolean
announce_again (gpointer data)
{
  soak_upstream_announce (data);
  return G_SOURCE_REMOVE;
}

/* Whoever the entry belongs to writes it again, and the other writer removes the rest. */
static gboolean
end_odd (gpointer data)
{
  struct Odd *odd = data;
  struct SoakStore *store = odd->soak->store;

  for (guint i = 0; i < odd->names->len; i++)
    soak_store_put (store, odd->kind, odd->names->pdata[i], NULL);
  if (odd->upstream)
    {
      odd->upstream->odd = false;
      odd->upstream->known_at = soak_now () + SOAK_HEARTBEAT_MS + SOAK_DRAIN_MS;
      soak_upstream_announce (odd->upstream);
      g_timeout_add (SOAK_HEARTBEAT_MS, announce_again, odd->upstream);
    }
  if (odd->vm && g_strcmp0 (soak_store_get (store, CF_FEED_VMS, odd->vm), odd->text) == 0)
    soak_store_put (store, CF_FEED_VMS, odd->vm, odd->before);
  g_ptr_array_unref (odd->names);
  g_free (odd->vm);
  g_free (odd->before);
  g_free (odd->text);
  g_free (odd);
  return G_SOURCE_REMOVE;
}

static char *
unusable_content (struct Soak *soak, int kind)
{
  switch (draw (soak, 0, 3))
    {
    case 0:
      return nested (soak);
    case 1:
      return odd_content (soak, &kinds[kind], SHAPE_MISSING, true);
    case 2:
      return odd_content (soak, &kinds[kind], SHAPE_NUMBER, true);
    default:
      return odd_content (soak, &kinds[kind], SHAPE_NESTED_FIELD, true);
    }
}

/* Replaces the entry of an upstream that has others beside it. */
static void
replace_upstream (struct Odd *odd)
{
  struct Soak *soak = odd->soak;
  struct SoakUpstream *upstream = &soak->upstreams[draw (soak, 0, SOAK_UPSTREAMS - 1)];

  for (int i = 0; i < SOAK_UPSTREAMS; i++)
    if (soak->upstreams[i].odd || soak->upstreams[i].draining)
      return;
  if (strcmp (upstream->service, "s") != 0)
    return;
  upstream->odd = true;
  odd->upstream = upstream;
  soak_store_put (soak->store, CF_FEED_UPSTREAMS, upstream->id, odd->text);
}

static void
replace_vm (struct Odd *odd)
{
  struct SoakStore *store = odd->soak->store;

  odd->vm = g_strdup_printf ("vm-%d", draw (odd->soak, 0, odd->soak->vm_count - 1));
  odd->before = g_strdup (soak_store_get (store, CF_FEED_VMS, odd->vm));
  soak_store_put (store, CF_FEED_VMS, odd->vm, odd->text);
}

static void
write_one (struct Odd *odd, int kind, enum Shape shape)
{
  struct SoakStore *store = odd->soak->store;
  char *name = odd_name (odd->soak);

  g_free (odd->text);
  if (shape == SHAPE_META)
    odd->text = odd_object (odd->soak, "i-00000000dd");
  else if (shape == SHAPE_NESTED)
    odd->text = nested (odd->soak);
  else
    odd->text = odd_content (odd->soak, &kinds[kind], shape, false);
  if (shape == SHAPE_META)
    soak_store_put_raw (store, odd->kind, name, odd->text);
  else
    soak_store_put (store, odd->kind, name, odd->text);
  g_ptr_array_add (odd->names, name);
}

static void
write_many (struct Odd *odd, int kind, enum Shape shape)
{
  int count = draw (odd->soak, 0, 2) ? draw (odd->soak, 1, 9) : draw_size (odd->soak, MANY_MAX);
  gsize bytes = 0;

  if (shape == SHAPE_META)
    count = 1; /* a page that names none cannot be continued */
  for (int i = 0; i < count && bytes < BYTES_MAX; i++)
    {
      write_one (odd, kind, shape);
      bytes += strlen (odd->text);
    }
  odd->soak->odd_entries += odd->names->len;
}

static void
begin_odd (struct Soak *soak)
{
  struct Odd *odd = g_new0 (struct Odd, 1);
  int kind = draw (soak, 0, G_N_ELEMENTS (kinds) - 1);
  enum Shape shape = (enum Shape) draw (soak, 0, SHAPES - 1);
  bool replaces = draw (soak, 0, 2) == 0 && kinds[kind].kind != CF_FEED_EVACUATIONS;
  int stay_ms = draw (soak, STAY_MIN_MS, replaces ? REPLACED_MAX_MS : STAY_MAX_MS);

  odd->soak = soak;
  odd->kind = kinds[kind].kind;
  odd->names = g_ptr_array_new_with_free_func (g_free);
  if (replaces)
    {
      odd->text = unusable_content (soak, kind);
      soak->odd_entries++;
      if (odd->kind == CF_FEED_UPSTREAMS)
        replace_upstream (odd);
      else
        replace_vm (odd);
    }
  else
    write_many (odd, kind, shape);
  soak_store_set_page (soak->store, (guint) draw_size (soak, PAGE_MAX) / (guint) draw (soak, 1, 5));
  g_timeout_add ((guint) stay_ms, end_odd, odd);
}

static gboolean
next_odd (gpointer data)
{
  struct Soak *soak = data;

  if (soak->over)
    return G_SOURCE_REMOVE;
  begin_odd (soak);
  g_timeout_add ((guint) draw (soak, INTERVAL_MIN_MS, INTERVAL_MAX_MS), next_odd, soak);
  return G_SOURCE_REMOVE;
}

static gboolean
on_trap (GSocket *socket, GIOCondition condition, gpointer data)
{
  char buffer[2048];

  (void) condition;
  while (g_socket_receive (socket, buffer, sizeof buffer, NULL, NULL) > 0)
    soak_violation (data, "ODD: a packet was sent to an upstream that no valid entry names");
  return G_SOURCE_CONTINUE;
}

/* Receives what is sent to the address that the entries have. */
static void
open_trap (struct Soak *soak)
{
  GSocketAddress *address
      = g_inet_socket_address_new_from_string (TRAP_IP, SOAK_UPSTREAM_PORT (soak));
  GSocket *socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, NULL);
  GSource *source = g_socket_create_source (socket, G_IO_IN, NULL);

  if (!g_socket_bind (socket, address, FALSE, NULL))
    g_error ("%s: cannot bind", TRAP_IP);
  g_socket_set_blocking (socket, FALSE);
  g_source_set_callback (source, G_SOURCE_FUNC (on_trap), soak, NULL);
  g_source_attach (source, NULL);
  g_object_unref (address);
}

void
soak_odd_start (struct Soak *soak)
{
  open_trap (soak);
  if (soak_has_fault (soak, "odd"))
    g_timeout_add (FIRST_MS, next_odd, soak);
}
