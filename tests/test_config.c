#include "cf_config.h"
#include "config/difference.h"
#include "suite.h"

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

/* The operators' folder: merging, every kind of bad input, and the changes from one
 * configuration to the next. */

static const char good[] = "[fleet]\nversion=4\n"
                           "[failure-domain a]\nregion=r\n"
                           "[failure-domain b]\nregion=r\n"
                           "[vm v]\naddress=127.0.0.1\nfailure-domain=a\n"
                           "[service s]\naddress=10.0.0.1\nport=80\n"
                           "[upstream u]\nservice=s\ntunnel=127.0.1.1\nfailure-domain=a\n"
                           "[upstream w]\nservice=s\ntunnel=127.0.1.2\nfailure-domain=b\n";

static char *folder;

static void
write_file (const char *name, const char *text, gssize len)
{
  char *path = g_build_filename (folder, name, NULL);

  ck_assert (g_file_set_contents (path, text, len, NULL));
  g_free (path);
}

static void
setup (void)
{
  folder = g_dir_make_tmp ("cf-config-XXXXXX", NULL);
  write_file ("10-base.conf", good, -1);
}

static void
teardown (void)
{
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;

  while ((name = g_dir_read_name (dir)))
    {
      char *path = g_build_filename (folder, name, NULL);

      g_chmod (path, 0600);
      g_remove (path);
      g_rmdir (path);
      g_free (path);
    }
  g_dir_close (dir);
  g_rmdir (folder);
  g_free (folder);
}

static struct CfConfig *
read_folder (GPtrArray **faults)
{
  *faults = g_ptr_array_new_with_free_func (g_free);
  return cf_config_read_folder (folder, *faults);
}

/* A second file, and a fault that it must cause. */
static const struct
{
  const char *text;
  const char *fault;
} bad[] = {
  { "[upstream u]\nweigth=3\n", "20.conf:2: [upstream u] weigth: unknown key" },
  { "[upstream u]\nbaseline-weight=3\n", "20.conf:2: [upstream u] baseline-weight: unknown key" },
  { "[upstream u]\nweight=heavy\n",
    "20.conf:2: [upstream u] weight: 'heavy' is not a whole number" },
  { "[upstream u]\nweight=0\n", "20.conf:2: [upstream u] weight: 0 is outside 1 to 1000" },
  { "[upstream u]\nweight=1001\n", "weight: 1001 is outside 1 to 1000" },
  { "[service s]\nport=0\n", "20.conf:2: [service s] port: 0 is outside 1 to 65535" },
  { "[service s]\nport=65536\n", "port: 65536 is outside" },
  { "[service s]\nprotocol=sctp\n", "protocol: 'sctp' is not one of tcp|udp" },
  { "[service s]\naddress=10.0.0\n", "address: '10.0.0' is not an IPv4 or IPv6 address" },
  { "\n\n[upstream x]\nservice=s\nfailure-domain=a\ntunnel=127.0.1.1\n",
    "20.conf:6: [upstream x] tunnel: 127.0.1.1:6080 is already used by [upstream u]" },
  { "[upstream x]\nservice=t\nfailure-domain=a\ntunnel=127.0.1.9\n",
    "20.conf:2: [upstream x] service: there is no group [service t]" },
  { "[upstream x]\nservice=s\nfailure-domain=c\ntunnel=127.0.1.9\n",
    "failure-domain: there is no group [failure-domain c]" },
  { "[upstream x]\nservice=s\n", "20.conf:1: [upstream x] tunnel: missing" },
  { "[service t]\naddress=10.0.0.1\nport=80\n[upstream x]\nservice=t\nfailure-domain=a\n"
    "tunnel=127.0.1.9\n",
    "20.conf:2: [service t] address: 10.0.0.1:80/6 is already used by [service s]" },
  { "[service t]\naddress=10.0.0.2\nport=80\n", "[service t]: no upstream names this service" },
  { "[vm x]\naddress=127.0.0.1\nfailure-domain=a\n",
    "20.conf:2: [vm x] address: 127.0.0.1 is already used by [vm v]" },
  { "[upstream u]\nweight=1\nweight=2\n",
    "20.conf:3: [upstream u] weight: given twice in one file" },
  { "[upstream u]\nweight=1\n[upstream u]\nbears=2\n", "20.conf:3: [upstream u]: given twice" },
  { "[upstream]\nweight=1\n", "20.conf:1: [upstream]: the group needs one name" },
  { "[fleet x]\nversion=1\n", "[fleet x]: the group takes no name" },
  { "[pool p]\nsize=1\n", "20.conf:1: [pool p]: unknown group" },
  { "[limits]\nimbalance=nan\n", "imbalance: 'nan' is not a number" },
  { "[limits]\nimbalance=0.01\n", "imbalance: 0.01 is outside 0.05 to 10" },
  { "weight=3\n", "20.conf: Key file does not start with a group" },
  { "[upstream u\n", "20.conf: " },
};

START_TEST (test_bad_input)
{
  GPtrArray *faults;
  bool found = false;

  write_file ("20.conf", bad[_i].text, -1);
  ck_assert_ptr_null (read_folder (&faults));
  for (guint i = 0; i < faults->len; i++)
    found |= strstr (faults->pdata[i], bad[_i].fault) != NULL;
  ck_assert_msg (found, "expected '%s', first fault is '%s'", bad[_i].fault,
                 faults->len ? (const char *) faults->pdata[0] : "none");
  g_ptr_array_unref (faults);
}
END_TEST

START_TEST (test_bad_files)
{
  GPtrArray *faults;
  char *path = g_build_filename (folder, "40.conf", NULL);

  write_file ("20.conf", "[upstream u]\nweight=\xff\xfe\n", -1);
  write_file ("30.conf", "[upstream u]\nnonsense=1\n", -1);
  g_mkdir (path, 0700);
  ck_assert_ptr_null (read_folder (&faults));
  /* All faults are reported in one run. */
  ck_assert_uint_eq (faults->len, 3);
  ck_assert_str_eq (faults->pdata[0], "20.conf: the file is not valid UTF-8");
  ck_assert_ptr_nonnull (strstr (faults->pdata[1], "40.conf: "));
  ck_assert_str_eq (faults->pdata[2], "30.conf:2: [upstream u] nonsense: unknown key");
  g_ptr_array_unref (faults);
  g_free (path);
}
END_TEST

START_TEST (test_empty_folder)
{
  GPtrArray *faults;
  char *path = g_build_filename (folder, "10-base.conf", NULL);

  g_remove (path);
  ck_assert_ptr_null (read_folder (&faults));
  ck_assert_uint_eq (faults->len, 1);
  ck_assert_ptr_nonnull (strstr (faults->pdata[0], "has no file *.conf"));
  g_ptr_array_unref (faults);
  g_free (path);
}
END_TEST

START_TEST (test_merge)
{
  GPtrArray *faults;
  struct CfConfig *config;

  write_file ("20.conf", "[upstream u]\nweight=7\n[fleet]\nversion=5\n", -1);
  write_file ("30.conf", "[upstream u]\nstate=draining\nweight=9\n", -1);
  write_file ("notes.txt", "not configuration", -1);
  config = read_folder (&faults);
  ck_assert_uint_eq (faults->len, 0);
  ck_assert_uint_eq (config->version, 5);
  ck_assert_uint_eq (config->upstreams[0].weight, 9);
  ck_assert_int_eq (config->upstreams[0].mode, CF_UPSTREAM_DRAINING);
  ck_assert_uint_eq (config->upstreams[1].weight, CF_WEIGHT_DEFAULT);
  cf_config_unref (config);
  g_ptr_array_unref (faults);
}
END_TEST

static struct CfConfig *
parsed (const char *extra)
{
  char *text = g_strconcat (good, extra, NULL);
  struct CfError error = { 0 };
  struct CfConfig *config = cf_config_parse (text, &error);

  ck_assert_msg (config != NULL, "%s", error.text);
  g_free (text);
  return config;
}

static const struct CfUpstream *
upstream (const struct CfConfig *config, const char *name)
{
  uint32_t index = cf_config_find_upstream (config, cf_name_id (name));

  ck_assert_uint_ne (index, CF_NO_INDEX);
  return &config->upstreams[index];
}

#define ADDED "[upstream x]\nservice=s\ntunnel=127.0.1.3\nfailure-domain=b\n"

START_TEST (test_derive_keeps_baseline)
{
  struct CfConfig *first = parsed ("");
  struct CfConfig *folder_b = parsed (ADDED "[upstream u]\nweight=50\n");
  struct CfConfig *second = cf_config_derive (first, folder_b, 5, 1000);
  struct CfConfig *third = cf_config_derive (second, folder_b, 6, 1100);
  struct CfConfig *late = cf_config_derive (second, folder_b, 6, 1000 + 3901);

  ck_assert_uint_eq (second->version, 5);
  ck_assert_uint_eq (upstream (second, "u")->baseline_weight, 100);
  ck_assert_uint_eq (upstream (second, "u")->weight, 50);
  ck_assert_uint_eq (upstream (second, "x")->baseline_weight, 0);
  ck_assert_uint_eq (upstream (third, "x")->baseline_weight, 0);
  /* Every flow that the two lists place differently was pinned or has ended. */
  ck_assert_uint_eq (upstream (late, "x")->baseline_weight, 100);
  ck_assert_uint_eq (upstream (late, "u")->baseline_weight, 50);
  ck_assert (cf_config_same_content (second, late));
  cf_config_unref (first);
  cf_config_unref (folder_b);
  cf_config_unref (second);
  cf_config_unref (third);
  cf_config_unref (late);
}
END_TEST

START_TEST (test_derive_keeps_removed)
{
  struct CfConfig *with = parsed (ADDED);
  struct CfConfig *without = parsed ("");
  struct CfConfig *second = cf_config_derive (with, without, 5, 1000);
  struct CfConfig *third = cf_config_derive (second, without, 6, 1000 + 7201);
  struct CfConfig *reused
      = parsed ("[upstream y]\nservice=s\ntunnel=127.0.1.3\nfailure-domain=b\n");
  struct CfConfig *fourth = cf_config_derive (with, reused, 7, 1000);

  ck_assert_int_eq (upstream (second, "x")->mode, CF_UPSTREAM_REMOVED);
  ck_assert_uint_eq (upstream (second, "x")->weight, 0);
  ck_assert_uint_eq (upstream (second, "x")->baseline_weight, 100);
  ck_assert_uint_eq (cf_config_find_upstream (third, cf_name_id ("x")), CF_NO_INDEX);
  /* Another upstream uses its address: it must not get packets of the old one. */
  ck_assert_uint_eq (cf_config_find_upstream (fourth, cf_name_id ("x")), CF_NO_INDEX);
  cf_config_unref (with);
  cf_config_unref (without);
  cf_config_unref (second);
  cf_config_unref (third);
  cf_config_unref (reused);
  cf_config_unref (fourth);
}
END_TEST

START_TEST (test_derive_removes_domain_and_service)
{
  struct CfConfig *with = parsed ("[failure-domain c]\nregion=r\n"
                                  "[service t]\naddress=10.0.0.2\nport=80\n"
                                  "[upstream y]\nservice=t\ntunnel=127.0.1.4\nfailure-domain=c\n"
                                  "[upstream z]\nservice=s\ntunnel=127.0.1.5\nfailure-domain=c\n");
  struct CfConfig *without = parsed ("");
  struct CfConfig *next = cf_config_derive (with, without, 5, 1000);

  ck_assert_int_eq (upstream (next, "z")->mode, CF_UPSTREAM_REMOVED);
  ck_assert_uint_eq (cf_config_find_upstream (next, cf_name_id ("y")), CF_NO_INDEX);
  cf_config_unref (with);
  cf_config_unref (without);
  cf_config_unref (next);
}
END_TEST

START_TEST (test_states_stay)
{
  struct CfError error = { 0 };
  struct CfConfig *first = parsed ("");
  struct CfConfig *out = cf_config_set_domain (first, "a", false, false, 5, &error);
  struct CfConfig *drained = cf_config_set_drain (out, "w", true, 6, &error);
  struct CfConfig *folder_a = parsed ("[upstream u]\nweight=5\n");
  struct CfConfig *next = cf_config_derive (drained, folder_a, 7, 1000);

  ck_assert (!next->domains[0].in_service);
  ck_assert_int_eq (upstream (next, "w")->mode, CF_UPSTREAM_DRAINING);
  ck_assert_ptr_null (cf_config_set_domain (next, "b", false, false, 8, &error));
  ck_assert_ptr_nonnull (strstr (error.text, "last one in service"));
  ck_assert_ptr_null (cf_config_set_domain (next, "z", false, false, 8, &error));
  ck_assert_ptr_null (cf_config_set_drain (next, "z", true, 8, &error));
  ck_assert_ptr_nonnull (strstr (error.text, "no upstream 'z'"));
  cf_config_unref (first);
  cf_config_unref (out);
  cf_config_unref (drained);
  cf_config_unref (folder_a);
  cf_config_unref (next);
}
END_TEST

START_TEST (test_difference)
{
  struct CfConfig *from = parsed (ADDED);
  struct CfConfig *to = parsed ("[upstream u]\nweight=3\n[limits]\nretain=90\n");
  char *difference = cf_difference_make (from, to);
  char *text = cf_difference_apply (from, difference);

  ck_assert_str_eq (text, to->text);
  ck_assert_uint_lt (strlen (difference), strlen (to->text));
  ck_assert_ptr_null (cf_difference_apply (from, "no key file"));
  g_free (difference);
  g_free (text);
  cf_config_unref (from);
  cf_config_unref (to);
}
END_TEST

START_TEST (test_examples)
{
  static const char *const dirs[] = { "examples/vuokravuoka", "examples/scordato" };
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct CfConfig *config = cf_config_read_folder (dirs[_i], faults);

  ck_assert_uint_eq (faults->len, 0);
  ck_assert_uint_eq (config->service_count, 2);
  ck_assert_uint_eq (config->upstream_count, 19);
  ck_assert_uint_eq (config->vm_count, 6);
  cf_config_unref (config);
  g_ptr_array_unref (faults);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config");
  TCase *group = tcase_create ("config");

  tcase_add_checked_fixture (group, setup, teardown);
  tcase_add_loop_test (group, test_bad_input, 0, (int) G_N_ELEMENTS (bad));
  tcase_add_test (group, test_bad_files);
  tcase_add_test (group, test_empty_folder);
  tcase_add_test (group, test_merge);
  tcase_add_test (group, test_derive_keeps_baseline);
  tcase_add_test (group, test_derive_keeps_removed);
  tcase_add_test (group, test_derive_removes_domain_and_service);
  tcase_add_test (group, test_states_stay);
  tcase_add_test (group, test_difference);
  tcase_add_loop_test (group, test_examples, 0, 2);
  suite_add_tcase (suite, group);
  return suite_run (suite);
}
