#include "platform/store_requests.h"
#include "platform/json_span.h"
#include "suite.h"

#include <string.h>

/* Locating values in the envelope of the store's responses. */

static struct JsonSpan
span (const char *text)
{
  return (struct JsonSpan){ .start = text, .len = strlen (text) };
}

static struct JsonSpan
member (const char *text, const char *name)
{
  struct JsonSpan found;

  json_span_members (span (text), &name, &found, 1);
  return found;
}

static bool
is_complete (const char *text)
{
  const char *const none[] = { "" };
  struct JsonSpan found;

  return json_span_members (span (text), none, &found, 1);
}

START_TEST (test_members)
{
  const char *text = " { \"a\" : [1,{\"b\":2}] ,\"b\":\"}\\\"]\",\"c\":-1.5e3,\"c\":null , "
                     "\"d\":{\"a\":{}}}";

  ck_assert (json_span_equal (member (text, "a"), "[1,{\"b\":2}]"));
  ck_assert (json_span_equal (member (text, "b"), "\"}\\\"]\""));
  /* Of two members with one name the last counts, as with the parser. */
  ck_assert (json_span_equal (member (text, "c"), "null"));
  ck_assert (json_span_equal (member (text, "d"), "{\"a\":{}}"));
  ck_assert_ptr_null (member (text, "e").start);
  ck_assert_ptr_null (member ("[1]", "a").start);
  ck_assert_ptr_null (member ("", "a").start);
  ck_assert (is_complete (text));
  ck_assert (is_complete ("{}"));
}
END_TEST

START_TEST (test_elements)
{
  struct JsonCursor cursor;
  struct JsonSpan value;

  ck_assert (json_cursor_begin (&cursor, span ("[ 1 , \"x\",[] ]")));
  ck_assert (json_cursor_next (&cursor, NULL, &value));
  ck_assert (json_span_equal (value, "1"));
  ck_assert (json_cursor_next (&cursor, NULL, &value));
  ck_assert (json_span_equal (value, "\"x\""));
  ck_assert (json_cursor_next (&cursor, NULL, &value));
  ck_assert (json_span_equal (value, "[]"));
  ck_assert (!json_cursor_next (&cursor, NULL, &value));
  ck_assert (!cursor.malformed);
}
END_TEST

START_TEST (test_malformed)
{
  static const char *const texts[] = {
    "{",           "{\"a\"",    "{\"a\":", "{\"a\":1",    "{\"a\":1,",
    "{\"a\":1 2}", "{\"a\" 1}", "{a:1}",   "{\"a\":\"x}", "{\"a\":\"\\",
    "{\"a\":[}",   "{\"a\":}",  "7",       "\"x\"",       "[]",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      /* An exact allocation: AddressSanitizer detects reads past the end of the text. */
      char *exact = g_memdup2 (texts[i], strlen (texts[i]));
      const char *const none[] = { "" };
      struct JsonSpan text = { .start = exact, .len = strlen (texts[i]) };
      struct JsonSpan found;

      ck_assert_msg (!json_span_members (text, none, &found, 1), "%s", texts[i]);
      g_free (exact);
    }
}
END_TEST

static char *
content (const char *object)
{
  char *text = g_strdup_printf ("{\"items\":[%s],\"store-revision\":3}", object);
  struct CfFeedResponse response = { 0 };
  char *content = NULL;

  ck_assert_int_eq (cf_platform_parse_response_body (200, text, strlen (text), CF_FEED_UPSTREAMS,
                                                     true, &response),
                    CF_READ_ANSWERED);
  if (response.records->len == 1)
    content = g_strdup (((struct CfRecord *) response.records->pdata[0])->text);
  cf_feed_response_clear (&response);
  g_free (text);
  return content;
}

/* An incarnation beside the content is added to it, unless the content has one. */
START_TEST (test_born)
{
#define META "\"meta\":{\"name\":\"i-1\",\"revision\":2}"
  static const char *const cases[][2] = {
    { "{" META ",\"born\":5,\"spec\":{}}", "{\"born\":5}" },
    { "{" META ",\"born\":5,\"spec\":{ }}", "{ \"born\":5}" },
    { "{" META ",\"born\":5,\"spec\":{\"a\":1}}", "{\"a\":1,\"born\":5}" },
    { "{" META ",\"born\":5,\"spec\":{\"born\":4}}", "{\"born\":4}" },
    { "{" META ",\"spec\":{\"a\":1}}", "{\"a\":1}" },
    { "{" META ",\"born\":5,\"spec\":[1]}", "[1]" },
    { "{" META ",\"born\":5}", "null" },
    { "{\"spec\":{}}", NULL },
    { "{\"meta\":{\"name\":7,\"revision\":2},\"spec\":{}}", NULL },
    { "{\"meta\":{\"name\":\"i-1\",\"revision\":-2},\"spec\":{}}", NULL },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = content (cases[i][0]);

      ck_assert_pstr_eq (text, cases[i][1]);
      g_free (text);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("json_span");

  suite_add_loop (suite, test_members, 1);
  suite_add_loop (suite, test_elements, 1);
  suite_add_loop (suite, test_malformed, 1);
  suite_add_loop (suite, test_born, 1);
  return suite_run (suite);
}
