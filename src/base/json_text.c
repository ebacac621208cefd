#include "json_text.h"

#include <math.h>
#include <string.h>

/* A check of a text's grammar and limits. */
struct Check
{
  const char *at;
  const char *end;
  const char *fault;  /* NULL: none */
  const char *member; /* name of the last member, without its quotes; NULL: none yet */
  size_t member_len;
  uint32_t depth;      /* of open brackets */
  uint64_t in_objects; /* bit N: the bracket at depth N opened an object */
  uint32_t values;
};

G_STATIC_ASSERT (CF_JSON_DEPTH_MAX <= 64);

static bool
set_fault (struct Check *check, const char *fault)
{
  if (!check->fault)
    check->fault = fault;
  return false;
}

static bool
set_not_json (struct Check *check)
{
  return set_fault (check, "not JSON");
}

static char
peek (const struct Check *check)
{
  return check->at < check->end ? *check->at : 0;
}

static bool
skip (struct Check *check, char wanted)
{
  if (peek (check) != wanted)
    return false;
  check->at++;
  return true;
}

static void
skip_space (struct Check *check)
{
  while (skip (check, ' ') || skip (check, '\t') || skip (check, '\r') || skip (check, '\n'))
    ;
}

/* Checks the four digits after "\u" and sets UNIT to their value. */
static bool
check_code_unit (struct Check *check, uint32_t *unit)
{
  *unit = 0;
  for (int i = 0; i < 4; i++, check->at++)
    {
      if (!g_ascii_isxdigit (peek (check)))
        return set_not_json (check);
      *unit = *unit << 4 | (uint32_t) g_ascii_xdigit_value (*check->at);
    }
  return true;
}

static bool
is_surrogate (uint32_t unit, uint32_t first)
{
  return unit >= first && unit < first + 0x400;
}

static bool
check_escape (struct Check *check)
{
  uint32_t unit;

  if (!skip (check, 'u'))
    {
      if (!peek (check) || !strchr ("\"\\/bfnrt", *check->at))
        return set_not_json (check);
      check->at++;
      return true;
    }
  if (!check_code_unit (check, &unit))
    return false;
  if (unit == 0)
    return set_fault (check, "a string holds a NUL character");
  if (is_surrogate (unit, 0xdc00)
      || (is_surrogate (unit, 0xd800)
          && (!skip (check, '\\') || !skip (check, 'u') || !check_code_unit (check, &unit)
              || !is_surrogate (unit, 0xdc00))))
    return set_fault (check, "a string holds half of a surrogate pair");
  return true;
}

static bool
check_string (struct Check *check)
{
  if (!skip (check, '"'))
    return set_not_json (check);
  while (!skip (check, '"'))
    {
      if (skip (check, '\\'))
        {
          if (!check_escape (check))
            return false;
        }
      else if (!peek (check))
        return set_not_json (check);
      else
        check->at++;
    }
  return true;
}

static bool
check_digits (struct Check *check)
{
  const char *start = check->at;

  while (g_ascii_isdigit (peek (check)))
    check->at++;
  return check->at > start || set_not_json (check);
}

/* Checks the range of the number from START on. */
static bool
check_range (struct Check *check, const char *start, bool whole)
{
  char *text = g_strndup (start, (gsize) (check->at - start));
  gint64 ignored;
  bool ok = whole ? g_ascii_string_to_signed (text, 10, G_MININT64, G_MAXINT64, &ignored, NULL)
                  : isfinite (g_ascii_strtod (text, NULL));

  g_free (text);
  return ok || set_fault (check, "a number is out of range");
}

static bool
check_number (struct Check *check)
{
  const char *start = check->at;
  bool whole = true;

  skip (check, '-');
  if (!skip (check, '0') && !check_digits (check))
    return false;
  if (skip (check, '.'))
    {
      whole = false;
      if (!check_digits (check))
        return false;
    }
  if (skip (check, 'e') || skip (check, 'E'))
    {
      whole = false;
      if (!skip (check, '+'))
        skip (check, '-');
      if (!check_digits (check))
        return false;
    }
  return check_range (check, start, whole);
}

static bool
check_scalar (struct Check *check)
{
  static const char *const words[] = { "true", "false", "null" };

  if (peek (check) == '"')
    return check_string (check);
  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    {
      size_t len = strlen (words[i]);

      if ((size_t) (check->end - check->at) < len || memcmp (check->at, words[i], len) != 0)
        continue;
      check->at += len;
      return true;
    }
  return check_number (check);
}

/* Checks a member's name and the colon after it. */
static bool
check_member (struct Check *check)
{
  const char *start;

  skip_space (check);
  start = check->at + 1;
  if (!check_string (check))
    return false;
  check->member = start;
  check->member_len = (size_t) (check->at - start) - 1;
  skip_space (check);
  return skip (check, ':') || set_not_json (check);
}

static bool
in_object (const struct Check *check)
{
  return check->in_objects >> (check->depth - 1) & 1;
}

/* Checks the beginning of a value up to where the first one inside it begins, or all of a value
 * that has none, in which case ENDED is set. */
static bool
check_value (struct Check *check, bool *ended)
{
  bool object;

  *ended = true;
  if (++check->values > CF_JSON_VALUES_MAX)
    return set_fault (check, "too many values");
  skip_space (check);
  object = peek (check) == '{';
  if (!object && peek (check) != '[')
    return check_scalar (check);
  check->at++;
  skip_space (check);
  if (skip (check, object ? '}' : ']'))
    return true;
  if (check->depth == CF_JSON_DEPTH_MAX)
    return set_fault (check, "nested too deeply");
  check->in_objects &= ~((uint64_t) 1 << check->depth);
  check->in_objects |= (uint64_t) object << check->depth++;
  *ended = false;
  return !object || check_member (check);
}

/* Checks what follows a value, up to where the next one begins; LAST is set if none does. */
static bool
check_end (struct Check *check, bool *last)
{
  for (;;)
    {
      skip_space (check);
      *last = check->depth == 0;
      if (*last)
        return check->at == check->end || set_not_json (check);
      if (skip (check, ','))
        return !in_object (check) || check_member (check);
      if (!skip (check, in_object (check) ? '}' : ']'))
        return set_not_json (check);
      check->depth--;
    }
}

static bool
check_text (struct Check *check)
{
  bool ended;
  bool last = false;

  while (!last)
    if (!check_value (check, &ended) || (ended && !check_end (check, &last)))
      return false;
  return true;
}

JsonNode *
cf_json_parse (const char *name, const char *text, size_t len, struct CfError *error)
{
  struct Check check = { .at = text, .end = text + len };
  JsonParser *parser;
  JsonNode *root = NULL;

  if (len == 0 || !check_text (&check))
    {
      cf_error_set (error, CF_ERROR_INPUT, "%s: %s%s%.*s", name,
                    check.fault ? check.fault : "not JSON", check.member ? ", at " : "",
                    (int) MIN (check.member_len, 64), check.member ? check.member : "");
      return NULL;
    }
  parser = json_parser_new_immutable ();
  if (json_parser_load_from_data (parser, text, (gssize) len, NULL))
    root = json_parser_steal_root (parser);
  g_object_unref (parser);
  if (!root)
    cf_error_set (error, CF_ERROR_INPUT, "%s: not JSON", name);
  return root;
}

JsonNode *
cf_json_parse_object (const char *name, const char *text, size_t len, struct CfError *error)
{
  JsonNode *root = cf_json_parse (name, text, len, error);

  if (root && !JSON_NODE_HOLDS_OBJECT (root))
    {
      cf_error_set (error, CF_ERROR_INPUT, "%s: not a JSON object", name);
      g_clear_pointer (&root, json_node_unref);
    }
  return root;
}

static JsonNode *
get_value (JsonObject *object, const char *field)
{
  JsonNode *node = json_object_get_member (object, field);

  return node && JSON_NODE_HOLDS_VALUE (node) ? node : NULL;
}

const char *
cf_json_string (JsonObject *object, const char *field)
{
  JsonNode *node = get_value (object, field);

  return node && json_node_get_value_type (node) == G_TYPE_STRING ? json_node_get_string (node)
                                                                  : NULL;
}

bool
cf_json_integer (JsonObject *object, const char *field, int64_t min, int64_t max, int64_t *number)
{
  JsonNode *node = get_value (object, field);
  GType type = node ? json_node_get_value_type (node) : G_TYPE_INVALID;
  double value;

  if (type == G_TYPE_INT64)
    {
      *number = json_node_get_int (node);
      return *number >= min && *number <= max;
    }
  if (type != G_TYPE_DOUBLE)
    return false;
  value = json_node_get_double (node);
  /* (double) INT64_MAX is one more than INT64_MAX. */
  if (!(value >= (double) min && value < (double) max + 1))
    return false;
  *number = (int64_t) value;
  return true;
}

bool
cf_json_number_clamped (
    JsonObject *object, const char *field, double min, double max, double *number)
{
  JsonNode *node = get_value (object, field);
  GType type = node ? json_node_get_value_type (node) : G_TYPE_INVALID;

  if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE)
    return false;
  *number = CLAMP (json_node_get_double (node), min, max);
  return true;
}
