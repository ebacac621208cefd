#include "serve/http_call.h"
#include "suite.h"

/* Calls to servers that answer in odd ways: each ends in time. */

#define DEADLINE_MS 4000

struct Outcome
{
  bool done;
  gsize len; /* 0: no body */
};

static void
done (void *data, SoupMessage *message, GBytes *body)
{
  struct Outcome *outcome = data;

  (void) message;
  outcome->done = true;
  outcome->len = body ? g_bytes_get_size (body) : 0;
}

/* A follower of a VM whose record had an empty address waited for ever. */
START_TEST (test_call_without_url_ends)
{
  SoupSession *session = soup_session_new ();
  SoupMessage *message = soup_message_new ("GET", "http://:7720/feed");
  struct Outcome outcome = { 0 };
  gint64 began = g_get_monotonic_time ();

  ck_assert_ptr_null (message);
  cf_http_call_begin (session, message, DEADLINE_MS, true, done, &outcome);
  ck_assert (!outcome.done);
  while (!outcome.done && g_get_monotonic_time () - began < 2 * G_TIME_SPAN_SECOND)
    g_main_context_iteration (NULL, FALSE);
  ck_assert (outcome.done);
  ck_assert_uint_eq (outcome.len, 0);
  /* One that is cancelled at once. */
  outcome.done = false;
  cf_http_call_cancel (cf_http_call_begin (session, NULL, DEADLINE_MS, false, done, &outcome));
  while (g_main_context_iteration (NULL, FALSE))
    ;
  ck_assert (!outcome.done);
  g_object_unref (session);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("http_call");

  suite_add_loop (suite, test_call_without_url_ends, 1);
  return suite_run (suite);
}
