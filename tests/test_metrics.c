#include "runtime/metrics_text.h"
#include "suite.h"

#include <glib.h>

/* A name with a quote or a line break made the whole page unreadable for its collector. */
START_TEST (test_any_name_is_a_label)
{
  char *label = cf_metrics_label ("a\"b\\c\nd\xc3\xa9");

  ck_assert_str_eq (label, "a\\\"b\\\\c\\nd\xc3\xa9");
  g_free (label);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("metrics");

  suite_add_loop (suite, test_any_name_is_a_label, 1);
  return suite_run (suite);
}
