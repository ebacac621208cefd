#include "base/json_text.h"
#include "suite.h"

#include <string.h>

/* What is refused before json-glib sees it, which would recurse without a bound, cut strings off,
 * wrap integers or accept what is not JSON. */

static JsonNode *
parse (const char *text, struct CfError *error)
{
  *error = (struct CfError){ 0 };
  return cf_json_parse ("i-1", text, strlen (text), error);
}

static char *
repeat (const char *part, size_t count)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < count; i++)
    g_string_append (text, part);
  return g_string_free (text, FALSE);
}

static void
assert_refused (const char *text, const char *fault)
{
  struct CfError error;
  JsonNode *root = parse (text, &error);

  ck_assert_msg (!root, "%.100s", text);
  ck_assert_msg (g_str_has_prefix (error.text, "i-1: ") && strstr (error.text, fault), "%.100s: %s",
                 text, error.text);
}

static const struct
{
  const char *begin;
  const char *end;
} nests[] = {
  { "[", "]" },
  { "{\"a\":", "}" },
  { "[{\"a\":", "}]" },
};

/* json-glib overran the stack between 40,000 and 80,000 open brackets. */
START_TEST (test_deep_nest_ends_no_process)
{
  size_t levels = strlen (nests[_i].end);
  char *begin = repeat (nests[_i].begin, 150000);
  char *end = repeat (nests[_i].end, 150000);
  char *closed = g_strconcat (begin, "1", end, NULL);

  assert_refused (begin, "nested too deeply");
  assert_refused (closed, "nested too deeply");
  begin[strlen (nests[_i].begin) * (CF_JSON_DEPTH_MAX / levels)] = 0;
  end[CF_JSON_DEPTH_MAX] = 0;
  g_free (closed);
  closed = g_strconcat (begin, "1", end, NULL);
  json_node_unref (cf_json_parse ("i-1", closed, strlen (closed), NULL));
  assert_refused (begin, "not JSON");
  g_free (closed);
  g_free (begin);
  g_free (end);
}
END_TEST

/* To json-glib these nest, to a reader of JSON the brackets are part of a string. */
START_TEST (test_hidden_nest_ends_no_process)
{
  char *nest = repeat ("[", 150000);
  char *comment = g_strconcat ("/*\"*/", nest, NULL);
  char *escape = g_strconcat ("[\"\\u\",\",", nest, NULL);
  char *quote = g_strconcat ("['\"',", nest, NULL);

  assert_refused (comment, "not JSON");
  assert_refused (escape, "not JSON");
  assert_refused (quote, "not JSON");
  g_free (nest);
  g_free (comment);
  g_free (escape);
  g_free (quote);
}
END_TEST

static const struct
{
  const char *text;
  const char *fault;
} refused[] = {
  { "", "not JSON" },
  { " ", "not JSON" },
  { "nul", "not JSON" },
  { "null x", "not JSON" },
  { "[1", "not JSON" },
  { "[1,]", "not JSON" },
  { "[1}", "not JSON" },
  { "]", "not JSON" },
  { "{\"a\":1,}", "not JSON" },
  { "{\"a\"}", "not JSON" },
  { "{a:1}", "not JSON" },
  { "{1:1}", "not JSON" },
  { "\"a", "not JSON" },
  { "\"\\", "not JSON" },
  { "\"\\x\"", "not JSON" },
  { "\"\\u12g4\"", "not JSON" },
  { "\"\xff\xfe\"", "not JSON" },
  { "01", "not JSON" },
  { "0x1F", "not JSON" },
  { "1.", "not JSON" },
  { ".5", "not JSON" },
  { "-", "not JSON" },
  { "--1", "not JSON" },
  { "1e", "not JSON" },
  { "NaN", "not JSON" },
  { "Infinity", "not JSON" },
  { "var x = [1]", "not JSON" },
  { "\"\\u0000\"", "NUL" },
  { "\"\\ud800\"", "surrogate" },
  { "\"\\ud800\\u0041\"", "surrogate" },
  { "\"\\udc00\"", "surrogate" },
  { "{\"a\":1,\"slots\":9223372036854775808}", "out of range, at slots" },
  { "[-9223372036854775809]", "out of range" },
  { "[18446744073709551616]", "out of range" },
  { "{\"slots\":1e999}", "out of range, at slots" },
  { "[-1e999]", "out of range" },
};

START_TEST (test_refused)
{
  assert_refused (refused[_i].text, refused[_i].fault);
}
END_TEST

static const char *const accepted[] = {
  "null",
  " [ ] ",
  "{ }",
  "[{},[],{\"a\":[{}]},\"\"]",
  "{\"a\" : 1 , \"a\" : 2}",
  "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e9\\ud83d\\ude00\"",
  "[0,-0,10,-1.5e3,1E+2,1e-999,9223372036854775807,-9223372036854775808]",
};

START_TEST (test_accepted)
{
  struct CfError error;
  JsonNode *root = parse (accepted[_i], &error);

  ck_assert_msg (root != NULL, "%s", error.text);
  json_node_unref (root);
}
END_TEST

/* A megabyte of empty objects took 105 MB. */
START_TEST (test_values_take_bounded_memory)
{
  char *values = repeat ("{},", CF_JSON_VALUES_MAX + 1);
  char *text = g_strconcat ("[", values, "1]", NULL);
  char *digits = repeat ("9", 300000);
  char *fraction = g_strconcat ("0.", digits, NULL);
  struct CfError error;

  assert_refused (text, "too many values");
  assert_refused (digits, "out of range");
  json_node_unref (parse (fraction, &error));
  g_free (fraction);
  g_free (digits);
  g_free (values);
  g_free (text);
}
END_TEST

static const struct
{
  const char *text;
  int64_t min;
  int64_t max;
  bool ok;
  int64_t number;
} integers[] = {
  { "{\"n\":5}", 1, 9, true, 5 },
  { "{\"n\":5.9}", 1, 9, true, 5 },
  { "{\"n\":9.5}", 1, 9, true, 9 },
  { "{\"n\":0.9}", 1, 9, false, 0 },
  { "{\"n\":10}", 1, 9, false, 0 },
  { "{\"n\":1e1}", 1, 9, false, 0 },
  { "{\"n\":1e300}", INT64_MIN, INT64_MAX, false, 0 },
  { "{\"n\":-1e300}", INT64_MIN, INT64_MAX, false, 0 },
  { "{\"n\":9223372036854775807}", 1, INT64_MAX, true, INT64_MAX },
  { "{\"n\":9223372036854775808.0}", 1, INT64_MAX, false, 0 },
  { "{\"n\":-9223372036854775808.0}", INT64_MIN, 0, true, INT64_MIN },
  { "{\"n\":\"5\"}", 1, 9, false, 0 },
  { "{\"n\":null}", 1, 9, false, 0 },
  { "{\"n\":true}", 1, 9, false, 0 },
  { "{\"n\":[5]}", 1, 9, false, 0 },
  { "{}", 1, 9, false, 0 },
};

START_TEST (test_integer)
{
  struct CfError error;
  JsonNode *root = parse (integers[_i].text, &error);
  int64_t number = 0;
  bool ok = cf_json_integer (json_node_get_object (root), "n", integers[_i].min, integers[_i].max,
                             &number);

  ck_assert_int_eq (ok, integers[_i].ok);
  if (ok)
    ck_assert_int_eq (number, integers[_i].number);
  json_node_unref (root);
}
END_TEST

START_TEST (test_clamped_number)
{
  struct CfError error;
  JsonNode *root = parse ("{\"a\":1e300,\"b\":-1e300,\"c\":2.5,\"d\":\"2\"}", &error);
  JsonObject *object = json_node_get_object (root);
  double number = 7;

  ck_assert (!cf_json_number_clamped (object, "d", 0, 9, &number));
  ck_assert (number == 7);
  ck_assert (cf_json_number_clamped (object, "a", 0, 9, &number));
  ck_assert (number == 9);
  ck_assert (cf_json_number_clamped (object, "b", 0, 9, &number));
  ck_assert (number == 0);
  ck_assert (cf_json_number_clamped (object, "c", 0, 9, &number));
  ck_assert (number == 2.5);
  json_node_unref (root);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("json_text");

  suite_add_loop (suite, test_deep_nest_ends_no_process, G_N_ELEMENTS (nests));
  suite_add_loop (suite, test_hidden_nest_ends_no_process, 1);
  suite_add_loop (suite, test_refused, G_N_ELEMENTS (refused));
  suite_add_loop (suite, test_accepted, G_N_ELEMENTS (accepted));
  suite_add_loop (suite, test_values_take_bounded_memory, 1);
  suite_add_loop (suite, test_integer, G_N_ELEMENTS (integers));
  suite_add_loop (suite, test_clamped_number, 1);
  return suite_run (suite);
}
