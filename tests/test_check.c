#include "check/check.h"
#include "check/folder.h"
#include "check/manifest.h"
#include "check/settings.h"
#include "suite.h"
#include "tcp_server.h"

#include <glib/gstdio.h>
#include <sys/stat.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

/* The check before a configuration is sent: each finding, the difference from the version in force,
 * and the bounds of what is read. */

#define HOST "\"host\":\"198.18.0.1\",\"path-prefix\":\"/80/\""
#define HOST_2 "\"host\":\"198.18.0.2\",\"path-prefix\":\"/80/\""
#define SERVICES "\"services\":[{\"name\":\"s\",\"warmup-s\":2,\"warmup-per-s\":5}]"
#define ROUTES(list) "{\"version\":1,\"routes\":[" list "]," SERVICES "}"
#define GOOD ROUTES ("{" HOST ",\"service\":\"s\"}")

/* Runs a check of TEXT, a manifest, against IN_FORCE (may be NULL). */
static void
run_manifest (const char *text, const char *in_force, struct CfFindings *findings)
{
  struct CfSource against
      = { .name = "old.json", .kind = CF_SOURCE_MANIFEST, .text = (char *) in_force };
  struct CfCheckInputs inputs = {
    .inputs = { { .name = "m.json",
                  .kind = CF_SOURCE_MANIFEST,
                  .text = (char *) text,
                  .len = strlen (text) } },
    .count = 1,
    .in_force = in_force ? &against : NULL,
  };

  against.len = in_force ? strlen (in_force) : 0;
  cf_findings_init (findings);
  ck_assert_ptr_null (cf_check_run (&inputs, findings));
}

/* Checks that FINDINGS are the lines EXPECTED, and clears them. */
static void
expect_text (struct CfFindings *findings, const char *expected)
{
  char *text = cf_findings_text (findings);

  ck_assert_str_eq (text, expected);
  g_free (text);
  cf_findings_clear (findings);
}

/* Each fault of a manifest is found, those that VMs cut to their bounds included.  The first
 * fault alone, as a VM logs it, took one sending for each. */
static const struct
{
  const char *text;
  const char *expected;
} manifests[] = {
  { GOOD, "" },
  { "{\"version\":0,\"routes\":7}",
    "error: m.json: version: 0 is not allowed; allowed is a whole number from 1 [not-allowed]\n"
    "error: m.json: routes: 7 is not allowed; allowed is an array of objects [not-allowed]\n" },
  { "[]", "error: m.json: main: not a JSON object [unreadable]\n" },
  { ROUTES ("{" HOST ",\"service\":\"s\"},{\"host\":\"a\",\"service\":\"s\","
            "\"priority\":-1,\"timeout-ms\":\"1\",\"kind\":[]},4"),
    "error: m.json: routes[1].host: \"a\" is not allowed; allowed is an IPv4 address "
    "[not-allowed]\n"
    "error: m.json: routes[1].path-prefix: is missing; allowed is a port from 1 to 65535 between "
    "slashes, as in /80/ [not-allowed]\n"
    "error: m.json: routes[1].kind: [] is not allowed; allowed is a string [not-allowed]\n"
    "error: m.json: routes[1].priority: -1 is not allowed; allowed is a number from 0 to "
    "4294967295 [not-allowed]\n"
    "error: m.json: routes[1].timeout-ms: \"1\" is not allowed; allowed is a number from 0 to "
    "86400000 [not-allowed]\n"
    "error: m.json: routes[2].host: is missing; allowed is an IPv4 address in an object "
    "[not-allowed]\n" },
  { ROUTES ("{" HOST ",\"service\":\"s\"},{" HOST_2
            ",\"weighted-services\":[{\"service\":\"s\",\"weight\":-1},{\"weight\":1},3]}"),
    "error: m.json: routes[1].weighted-services[0].weight: -1 is not allowed; allowed is a whole "
    "number from 0 to 4294967295 [not-allowed]\n"
    "error: m.json: routes[1].weighted-services[1].service: is missing; allowed is a string "
    "[not-allowed]\n"
    "error: m.json: routes[1].weighted-services[2].service: is missing; allowed is a string in an "
    "object [not-allowed]\n" },
  { "{\"version\":1,\"routes\":[{" HOST ",\"service\":\"s\"}],\"services\":[{\"name\":\"s\","
    "\"health-check-path\":\"/a b\"},{\"warmup-s\":1e9}],\"limits\":{\"idle-timeout-ms\":-5}}",
    "error: m.json: services[0].health-check-path: \"/a b\" is not allowed; allowed is a path that "
    "begins with / and has at most 1024 printable ASCII characters other than space and # "
    "[not-allowed]\n"
    "error: m.json: services[1].warmup-s: 1000000000.0 is not allowed; allowed is a number from 0 "
    "to 86400 [not-allowed]\n"
    "error: m.json: services[1].name: is missing; allowed is a string [not-allowed]\n"
    "error: m.json: limits.idle-timeout-ms: -5 is not allowed; allowed is a number from 0 to "
    "86400000 [not-allowed]\n" },
  /* Entries that never match. */
  { ROUTES ("{" HOST ",\"service\":\"s\"},{" HOST ",\"service\":\"s\"}"),
    "warning: m.json: routes[0]: never matches: routes[1] has the same address 198.18.0.1:80 and "
    "wins [route-shadowed]\n" },
  { ROUTES ("{" HOST ",\"weighted-services\":[{\"service\":\"s\",\"weight\":0}]}"),
    "warning: m.json: routes[0].weighted-services: all weights are 0: every new flow of the route "
    "is refused [route-without-weight]\n"
    "warning: m.json: services[0]: no route sends flows to s [service-without-route]\n" },
  { ROUTES ("{" HOST ",\"weighted-services\":[{\"service\":\"s\",\"weight\":1},{\"service\":\"s\","
            "\"weight\":0}]}"),
    "warning: m.json: routes[0].weighted-services[1].weight: is 0: s gets no new flow of the route "
    "[split-without-weight]\n" },
  { ROUTES ("{" HOST ",\"service\":\"s\"},{" HOST_2 ",\"service\":\"t\"}"),
    "warning: m.json: routes[1]: t is not in services [service-not-listed]\n" },
  { "{\"version\":1,\"routes\":[{" HOST ",\"service\":\"s\"}],\"services\":[{\"name\":\"s\"},"
    "{\"name\":\"s\"}]}",
    "warning: m.json: services[0]: has no effect: services[1] is s, too, and wins "
    "[service-shadowed]\n" },
  /* Contradictions. */
  { ROUTES ("{" HOST ",\"service\":\"s\",\"timeout-ms\":100,\"target-latency-ms\":250}"),
    "warning: m.json: routes[0].timeout-ms: 100 is below routes[0].target-latency-ms 250: callers "
    "give up before the answer is late [timeout-below-target]\n" },
  { "{\"version\":1,\"routes\":[{" HOST ",\"service\":\"s\",\"timeout-ms\":1000}]," SERVICES
    ",\"limits\":{\"idle-timeout-ms\":999}}",
    "warning: m.json: limits.idle-timeout-ms: 999 is below routes[0].timeout-ms 1000: a flow may "
    "be forgotten while its caller waits [idle-below-timeout]\n" },
  { "{\"version\":1,\"routes\":[{" HOST ",\"service\":\"s\"}],\"services\":[{\"name\":\"s\","
    "\"warmup-s\":2}]}",
    "warning: m.json: services[0].warmup-per-s: is 0 or missing while services[0].warmup-s is 2: "
    "cold upstreams of s have no capacity [cold-without-capacity]\n" },
};

START_TEST (test_manifest_findings)
{
  struct CfFindings findings;

  run_manifest (manifests[_i].text, NULL, &findings);
  expect_text (&findings, manifests[_i].expected);
}
END_TEST

/* A ninth split is not used by VMs, which nothing else says. */
START_TEST (test_too_many_splits)
{
  GString *text = g_string_new ("{\"version\":1,\"routes\":[{" HOST ",\"weighted-services\":[");
  struct CfFindings findings;

  for (int i = 0; i <= CF_SPLIT_MAX; i++)
    g_string_append_printf (text, "%s{\"service\":\"s\",\"weight\":1}", i ? "," : "");
  g_string_append (text, "]}]," SERVICES "}");
  run_manifest (text->str, NULL, &findings);
  ck_assert_uint_eq (findings.counts[CF_SEVERITY_ERROR], 1);
  ck_assert_str_eq (g_array_index (findings.list, struct CfFinding, 0).key,
                    "routes[0].weighted-services");
  cf_findings_clear (&findings);
  g_string_free (text, TRUE);
}
END_TEST

#define VERSION(number, rest) "{\"version\":" number "," rest "}"
#define TWO(a, b)                                                                                  \
  "\"routes\":[{" HOST ",\"weighted-services\":[{\"service\":\"s\",\"weight\":" a                  \
  "},{\"service\":\"t\",\"weight\":" b "}]}],\"services\":[{\"name\":\"s\"},{\"name\":\"t\"}]"

/* The difference from the version in force: changes that nobody meant, and a version that VMs
 * ignore, are seen before they are sent. */
static const struct
{
  const char *in_force;
  const char *text;
  const char *expected;
} changes[] = {
  { VERSION ("3", TWO ("90", "10")), VERSION ("3", TWO ("90", "10")), "" },
  { VERSION ("3", TWO ("90", "10")), VERSION ("4", TWO ("80", "20")),
    "change: m.json: route 198.18.0.1:80 services: changed from s 90, t 10 to s 80, t 20 "
    "[changed]\n"
    "change: m.json: route 198.18.0.1:80 services: new flows of 10.0% of the callers go to another "
    "service [callers-moved]\n"
    "change: m.json: version: changed from 3 to 4 [changed]\n" },
  { VERSION ("4", TWO ("90", "10")), VERSION ("3", TWO ("90", "10")),
    "warning: m.json: version: 3 is not higher than 4, which is in force: the manifest is ignored "
    "[version-not-higher]\n"
    "change: m.json: version: changed from 4 to 3 [changed]\n" },
  { VERSION ("3",
             "\"routes\":[{" HOST ",\"service\":\"s\"},{" HOST_2
             ",\"service\":\"s\",\"priority\":1}]," SERVICES ",\"limits\":{\"idle-timeout-ms\":9}"),
    VERSION ("3",
             "\"routes\":[{" HOST_2 ",\"service\":\"t\",\"kind\":\"idempotent\",\"timeout-ms\":5}],"
             "\"services\":[{\"name\":\"t\"}]"),
    "warning: m.json: version: 3 is not higher than 3, which is in force: the manifest is ignored "
    "[version-not-higher]\n"
    "change: m.json: limits.idle-timeout-ms: changed from 9 to 0 [changed]\n"
    "change: m.json: limits.idle-timeout-ms: running VMs keep 9, others begin with their default "
    "[limit-kept]\n"
    "change: m.json: route 198.18.0.1:80: removed: s [removed]\n"
    "change: m.json: route 198.18.0.1:80: open flows of the route are reset [flows-dropped]\n"
    "change: m.json: route 198.18.0.2:80 services: changed from s to t [changed]\n"
    "change: m.json: route 198.18.0.2:80 services: new flows of 100.0% of the callers go to "
    "another "
    "service [callers-moved]\n"
    "change: m.json: route 198.18.0.2:80 services: open flows to s are dropped [flows-dropped]\n"
    "change: m.json: route 198.18.0.2:80 priority: changed from 1 to 0 [changed]\n"
    "change: m.json: route 198.18.0.2:80 timeout-ms: changed from 0 to 5 [changed]\n"
    "change: m.json: route 198.18.0.2:80 idempotent: changed from 0 to 1 [changed]\n"
    "change: m.json: service s: removed: s [removed]\n"
    "change: m.json: service t: added: t [added]\n" },
};

START_TEST (test_manifest_changes)
{
  struct CfFindings findings;

  run_manifest (changes[_i].text, changes[_i].in_force, &findings);
  expect_text (&findings, changes[_i].expected);
}
END_TEST

static struct CfRouteEntry
two_splits (uint32_t a, uint32_t b)
{
  return (struct CfRouteEntry){
    .splits = { { .service = g_quark_from_static_string ("s"), .weight = a },
                { .service = g_quark_from_static_string ("t"), .weight = b } },
    .split_count = 2,
  };
}

/* The fraction is that of cf_route_service: a change of the sum of weights moves callers that the
 * shares alone do not show. */
static const struct
{
  uint32_t old[2];
  uint32_t new[2];
  double moved;
  double tolerance;
} moves[] = {
  { { 1, 1 }, { 1, 1 }, 0, 0 },
  { { 9, 1 }, { 8, 2 }, 0.1, 1e-9 },
  { { 1, 1 }, { 1, 0 }, 0.5, 1e-9 },
  { { 1, 1 }, { 2, 1 }, 0.5, 1e-9 }, /* of the hashes modulo 6: 1, 2 and 4 */
  { { 0, 0 }, { 1, 1 }, 1, 0 },
  { { 0, 0 }, { 0, 0 }, 0, 0 },
  { { 300007, 700000 }, { 400007, 600000 }, 0.1, 0.01 },
  { { UINT32_MAX, UINT32_MAX }, { UINT32_MAX, 0 }, 0, 0 }, /* hashes are below the first weight */
};

START_TEST (test_moved_callers)
{
  struct CfRouteEntry old = two_splits (moves[_i].old[0], moves[_i].old[1]);
  struct CfRouteEntry new = two_splits (moves[_i].new[0], moves[_i].new[1]);

  ck_assert_double_eq_tol (cf_check_moved (&old, &new), moves[_i].moved,
                           moves[_i].tolerance + 1e-12);
}
END_TEST

#define SETTINGS                                                                                   \
  "[vm]\nname=v\naddress=10.0.0.1\nfailure-domain=a\nregion=r\nfabric-address=10.0.0.1:1\n"        \
  "ready-address=10.0.0.1:2\nmetrics-port=3\npeer-port=4\nlink-mbps=5\n[fleet]\nseeds=\n"          \
  "[store]\naddress=10.0.0.2:1\n"
#define LIMITS(grace) "[limits]\nflow-lifetime-s=60\ngrace-s=" grace "\n"

/* Faults of a settings file stop a VM's start one at a time; a short grace period shows only when
 * flows are cut. */
static const struct
{
  const char *text;
  const char *expected;
} settings_files[] = {
  { SETTINGS LIMITS ("4.2"), "" },
  { "[vm]\nname=\naddress=x\nfabric-address=1.1.1.1:1\nready-address=1.1.1.1:1\npeer-port=4.5\n"
    "[store]\naddress=1.1.1.1:1\n[limits]\ngrace=4\n",
    "error: s.conf: [vm] name: '' is missing [not-allowed]\n"
    "error: s.conf: [vm] address: 'x' is not an IP address [not-allowed]\n"
    "error: s.conf: [vm] peer-port: '4.5' is not a whole number [not-allowed]\n"
    "error: s.conf: [limits] grace: '4' is no key of this group [not-allowed]\n" },
  { "name=v\n", "error: s.conf: Key file does not start with a group [unreadable]\n" },
  { SETTINGS LIMITS ("2"),
    "warning: s.conf: [limits] grace-s: 2 is below the 2.2 s in which a VM passes packets on after "
    "SIGTERM and ends: flows are cut [grace-short]\n" },
  { SETTINGS LIMITS ("3.2"),
    "warning: s.conf: [limits] grace-s: 3.2 leaves 1 s of the 2 s for which a VM waits after "
    "SIGTERM for another of its failure domain that is away [grace-short]\n" },
  { SETTINGS "[limits]\nflow-lifetime-s=60\n",
    "warning: s.conf: [limits] grace-s has no value: 5 is used [setting-default]\n" },
};

static struct CfSource
settings_source (const char *text)
{
  return (struct CfSource){
    .name = "s.conf",
    .kind = CF_SOURCE_KEY_FILE,
    .text = (char *) text,
    .len = strlen (text),
  };
}

START_TEST (test_settings_findings)
{
  struct CfCheckInputs inputs
      = { .inputs = { settings_source (settings_files[_i].text) }, .count = 1 };
  struct CfFindings findings;

  cf_findings_init (&findings);
  cf_check_run (&inputs, &findings);
  expect_text (&findings, settings_files[_i].expected);
}
END_TEST

/* A manifest may let flows be silent, or callers wait, for longer than a settings file lets them
 * live: neither file shows it. */
START_TEST (test_lifetime_below_limits)
{
  static char text[]
      = "{\"version\":1,\"routes\":[{" HOST ",\"service\":\"s\",\"timeout-ms\":60001}]," SERVICES
        ",\"limits\":{\"idle-timeout-ms\":70000}}";
  const struct CfSource in_force = settings_source (SETTINGS LIMITS ("4.5"));
  struct CfCheckInputs inputs = {
    .inputs
    = { settings_source (SETTINGS LIMITS ("5")),
        { .name = "m.json", .kind = CF_SOURCE_MANIFEST, .text = text, .len = sizeof text - 1 } },
    .count = 2,
    .in_force = &in_force,
  };
  struct CfFindings findings;

  cf_findings_init (&findings);
  cf_check_run (&inputs, &findings);
  expect_text (&findings,
               "warning: s.conf: [limits] flow-lifetime-s: 60 s is below limits.idle-timeout-ms "
               "70000 of m.json [lifetime-below-idle]\n"
               "warning: s.conf: [limits] flow-lifetime-s: 60 s is below routes[0].timeout-ms "
               "60001 of m.json [lifetime-below-timeout]\n"
               "change: s.conf: [limits] grace-s: changed from 4.5 to 5 [changed]\n");
}
END_TEST

/* Values of overload control that leave each other without effect, CODE each; NULL: none. */
static const struct
{
  struct CfOverloadSettings values;
  const char *manifest;
  const char *code;
} overloads[] = {
  { { .admission = { .enabled = true, .floor_share = 0.1, .retry_share = 0.2 } }, NULL, NULL },
  { { .has_other_keys = true }, NULL, "overload-disabled" },
  { { .admission = { .enabled = true, .floor_share = 0.5, .retry_share = 0.6 } },
    NULL,
    "shares-above-one" },
  { { .admission = { .enabled = true }, .extra_openings = 0.1 }, NULL, "extra-without-retries" },
  { { .admission = { .enabled = true, .floor_share = 0.1, .retry_share = 0.2 } },
    GOOD,
    "overload-without-target" },
  { { .admission = { .enabled = true, .retry_share = 0.2 } },
    ROUTES ("{" HOST ",\"service\":\"s\",\"target-latency-ms\":9},{" HOST_2
            ",\"service\":\"s\",\"priority\":1}"),
    "floor-zero" },
  { { .extra_openings = 0.1 }, GOOD, "extra-without-route" },
  { { .extra_openings = 0.1 },
    ROUTES ("{" HOST ",\"service\":\"s\",\"kind\":\"download\"}"),
    NULL },
};

START_TEST (test_overload_findings)
{
  const char *text = overloads[_i].manifest;
  struct CfFindings findings;
  struct CfManifest *manifest = NULL;

  cf_findings_init (&findings);
  if (text)
    manifest = cf_check_manifest_read ("m.json", text, strlen (text), &findings);
  cf_check_overload ("s.conf", &overloads[_i].values, manifest, &findings);
  ck_assert_uint_eq (findings.list->len, overloads[_i].code != NULL);
  if (overloads[_i].code)
    ck_assert_str_eq (g_array_index (findings.list, struct CfFinding, 0).code, overloads[_i].code);
  cf_manifest_free (manifest);
  cf_findings_clear (&findings);
}
END_TEST

#define FOLDER                                                                                     \
  "[failure-domain a]\n[failure-domain b]\n"                                                       \
  "[vm v]\naddress=127.0.0.1\nfailure-domain=b\n"                                                  \
  "[service s]\naddress=10.0.0.1\nport=80\n"                                                       \
  "[upstream u]\nservice=s\ntunnel=127.0.1.1\nfailure-domain=a\nweight=5\n"

/* A second file of the folder, and what it causes. */
static const struct
{
  const char *text;
  const char *expected;
} folders[] = {
  { "[fleet]\n", "" },
  { "[upstream u]\nweight=6\n",
    "warning: 1.conf:13: [upstream u] weight: has no effect: 2.conf:2 sets it again "
    "[key-overridden]\n"
    "change: DIR: [upstream u] weight: changed from 5 to 6 [changed]\n" },
  { "[vm v]\naddress=127.0.0.1\nfailure-domain=b\n",
    "warning: 1.conf:3: [vm v]: has no effect: later files set each of its keys again "
    "[group-overridden]\n" },
  { "[failure-domain c]\nstate=out\n",
    "warning: DIR: [failure-domain c]: no upstream and no VM is in it [domain-without-member]\n"
    "change: DIR: [failure-domain c]: added: state=out [added]\n" },
  { "[upstream u]\nstate=draining\n",
    "warning: DIR: [service s]: each of its upstreams drains or is in a failure domain that is out "
    "[service-without-upstream]\n"
    "change: DIR: [upstream u] state: changed from active to draining [changed]\n" },
  { "[limits]\nretain=60\nflow-idle=61\n",
    "warning: DIR: [limits] retain: 60 is below [limits] flow-idle 61: a removed upstream loses "
    "flows that are open [retain-below-idle]\n"
    "change: DIR: [limits] flow-idle: changed from 3900 to 61 [changed]\n"
    "change: DIR: [limits] retain: changed from 7200 to 60 [changed]\n" },
  { "[upstream w]\nservice=t\ntunnel=127.0.1.2\nfailure-domain=c\nweight=0\n",
    "error: 2.conf:5: [upstream w] weight: 0 is outside 1 to 1000 [not-allowed]\n"
    "error: 2.conf:2: [upstream w] service: there is no group [service t] [not-allowed]\n"
    "error: 2.conf:4: [upstream w] failure-domain: there is no group [failure-domain c] "
    "[not-allowed]\n" },
  { "[fleet]\nversion=1\n[limits]\nflow-idle=60\n",
    "warning: DIR: [fleet] version: 1 is not higher than 1, which is in force: VMs with "
    "--config-dir ignore the content [version-not-higher]\n"
    "change: DIR: [limits] flow-idle: changed from 3900 to 60 [changed]\n" },
};

static char *
write_file (const char *dir, const char *name, const char *text)
{
  char *path = g_build_filename (dir, name, NULL);

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  return path;
}

START_TEST (test_folder_findings)
{
  char *dir = g_dir_make_tmp ("cf-check-XXXXXX", NULL);
  char *old = g_dir_make_tmp ("cf-check-XXXXXX", NULL);
  char *files[]
      = { write_file (dir, "1.conf", FOLDER), write_file (dir, "2.conf", folders[_i].text),
          write_file (old, "1.conf", FOLDER) };
  const struct CfSource in_force = { .name = old, .kind = CF_SOURCE_FOLDER };
  struct CfCheckInputs inputs = {
    .inputs = { { .name = dir, .kind = CF_SOURCE_FOLDER } },
    .count = 1,
    .in_force = &in_force,
  };
  char **parts = g_strsplit (folders[_i].expected, "DIR", -1);
  char *expected = g_strjoinv (dir, parts);
  struct CfFindings findings;

  cf_findings_init (&findings);
  g_free (cf_check_run (&inputs, &findings));
  expect_text (&findings, expected);
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      g_remove (files[i]);
      g_free (files[i]);
    }
  g_rmdir (dir);
  g_rmdir (old);
  g_strfreev (parts);
  g_free (expected);
  g_free (dir);
  g_free (old);
}
END_TEST

/* Programs get the same findings as people, as JSON that can be parsed whatever the file holds; a
 * terminal gets no control sequence. */
START_TEST (test_output_is_clean)
{
  struct CfFindings findings;
  JsonParser *parser = json_parser_new ();
  JsonObject *root;
  char *text;

  run_manifest ("{\"version\":1,\"routes\":[{" HOST ",\"service\":\"a\\u001b[2J\\n\"}]}", NULL,
                &findings);
  text = cf_findings_json (&findings);
  ck_assert (json_parser_load_from_data (parser, text, -1, NULL));
  root = json_node_get_object (json_parser_get_root (parser));
  ck_assert_int_eq (json_object_get_int_member (root, "warnings"), 1);
  ck_assert_str_eq (
      json_object_get_string_member (
          json_array_get_object_element (json_object_get_array_member (root, "findings"), 0),
          "code"),
      "service-not-listed");
  g_free (text);
  g_object_unref (parser);
  expect_text (&findings,
               "warning: m.json: routes[0]: a?[2J? is not in services [service-not-listed]\n");
}
END_TEST

/* Findings of a hostile file are counted but not kept without bound. */
START_TEST (test_findings_are_bounded)
{
  GString *text = g_string_new ("{\"version\":1,\"routes\":[0");
  struct CfFindings findings;

  for (int i = 1; i < 3 * CF_FINDINGS_MAX; i++)
    g_string_append (text, ",0");
  g_string_append (text, "]}");
  run_manifest (text->str, NULL, &findings);
  ck_assert_uint_eq (findings.list->len, CF_FINDINGS_MAX);
  ck_assert_uint_eq (findings.left_out, 2 * CF_FINDINGS_MAX);
  cf_findings_clear (&findings);
  g_string_free (text, TRUE);
}
END_TEST

/* What is no file, or too large, is an error instead of a wait or a lack of memory. */
START_TEST (test_sources_are_bounded)
{
  char *dir = g_dir_make_tmp ("cf-check-XXXXXX", NULL);
  char *fifo = g_build_filename (dir, "fifo", NULL);
  char *large = write_file (dir, "large", "{");
  char *json = write_file (dir, "json", "\n {}");
  struct CfSource source;
  struct CfFindings findings;

  cf_findings_init (&findings);
  ck_assert_int_eq (mkfifo (fifo, 0600), 0);
  ck_assert_int_eq (truncate (large, CF_SOURCE_MAX_BYTES + 1), 0);
  ck_assert (!cf_source_read (&source, fifo, &findings));
  ck_assert (!cf_source_read (&source, large, &findings));
  ck_assert (!cf_source_read (&source, "/nowhere", &findings));
  ck_assert_uint_eq (findings.counts[CF_SEVERITY_ERROR], 3);
  ck_assert (cf_source_read (&source, json, &findings));
  ck_assert_int_eq (source.kind, CF_SOURCE_MANIFEST);
  cf_source_clear (&source);
  ck_assert (cf_source_read (&source, dir, &findings));
  ck_assert_int_eq (source.kind, CF_SOURCE_FOLDER);
  cf_findings_clear (&findings);
  g_remove (fifo);
  g_remove (large);
  g_remove (json);
  g_rmdir (dir);
  g_free (fifo);
  g_free (large);
  g_free (json);
  g_free (dir);
}
END_TEST

/* Answers of the store, and the text that is read, NULL: an error. */
static const struct
{
  const char *answer;
  const char *text;
} answers[] = {
  { "HTTP/1.1 200 OK\r\n\r\n{\"items\":[{\"meta\":{\"name\":\"other\",\"revision\":1},\"spec\":{}},"
    "{\"meta\":{\"name\":\"main\",\"revision\":2},\"spec\":{\"version\":3}}],\"truncated\":false,"
    "\"store-revision\":9}",
    "{\"version\":3}" },
  { "HTTP/1.1 200 OK\r\n\r\n{\"items\":[],\"truncated\":false,\"store-revision\":9}", NULL },
  { "HTTP/1.1 503 Busy\r\n\r\n", NULL },
  { "HTTP/1.1 200 OK\r\n\r\n{\"items\":", NULL },
  { "", NULL },
};

static void
answer (void *data, int fd)
{
  if (tcp_server_read_request (fd))
    (void) !write (fd, data, strlen (data));
}

START_TEST (test_store_is_read_once)
{
  struct TcpServer server = { .handle = answer, .data = (void *) answers[_i].answer };
  struct CfFindings findings;
  struct CfSource source;
  char address[32];
  bool read;

  cf_findings_init (&findings);
  ck_assert (!cf_source_read_store (&source, "store/x:80", &findings));
  tcp_server_start (&server);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", server.port);
  read = cf_source_read_store (&source, address, &findings);
  tcp_server_stop (&server);
  ck_assert_int_eq (atomic_load (&server.accepted), 1);
  ck_assert (read == (answers[_i].text != NULL));
  if (read)
    ck_assert_str_eq (source.text, answers[_i].text);
  ck_assert_uint_eq (findings.counts[CF_SEVERITY_ERROR], read ? 1 : 2);
  cf_source_clear (&source);
  cf_findings_clear (&findings);
}
END_TEST

static char *
large_manifest (int count, int version, int weight)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < count; i++)
    g_string_append_printf (
        text,
        "%s{\"host\":\"198.18.%d.%d\",\"path-prefix\":\"/80/\",\"priority\":1,"
        "\"weighted-services\":[{\"service\":\"s\",\"weight\":%d},{\"service\":\"s%d\","
        "\"weight\":10}]}",
        i ? "," : "", i / 256, i % 256, weight, i);
  g_string_append (text, "],\"services\":[{\"name\":\"s\"}");
  for (int i = 0; i < count; i++)
    g_string_append_printf (text, ",{\"name\":\"s%d\"}", i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* The time depends on the machine and is printed only. */
START_TEST (test_time_of_many_routes)
{
  static const int counts[] = { 240, 1400 };
  char *same = large_manifest (counts[_i], 1, 90);
  char *next = large_manifest (counts[_i], 2, 80);
  struct CfFindings findings;
  gint64 began = g_get_monotonic_time ();
  gint64 compared;

  run_manifest (same, same, &findings);
  expect_text (&findings, "");
  compared = g_get_monotonic_time ();
  run_manifest (next, same, &findings);
  ck_assert_uint_eq (findings.counts[CF_SEVERITY_CHANGE], 2 * (guint) counts[_i] + 1);
  printf ("%d routes: equal %.1f ms, all changed %.1f ms\n", counts[_i],
          (double) (compared - began) / 1000, (double) (g_get_monotonic_time () - compared) / 1000);
  cf_findings_clear (&findings);
  g_free (same);
  g_free (next);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("check");

  suite_add_loop (suite, test_manifest_findings, G_N_ELEMENTS (manifests));
  suite_add_loop (suite, test_too_many_splits, 1);
  suite_add_loop (suite, test_manifest_changes, G_N_ELEMENTS (changes));
  suite_add_loop (suite, test_moved_callers, G_N_ELEMENTS (moves));
  suite_add_loop (suite, test_settings_findings, G_N_ELEMENTS (settings_files));
  suite_add_loop (suite, test_lifetime_below_limits, 1);
  suite_add_loop (suite, test_overload_findings, G_N_ELEMENTS (overloads));
  suite_add_loop (suite, test_folder_findings, G_N_ELEMENTS (folders));
  suite_add_loop (suite, test_output_is_clean, 1);
  suite_add_loop (suite, test_findings_are_bounded, 1);
  suite_add_loop (suite, test_sources_are_bounded, 1);
  suite_add_loop (suite, test_store_is_read_once, G_N_ELEMENTS (answers));
  suite_add_loop (suite, test_time_of_many_routes, 2);
  return suite_run (suite);
}
