#include "simulation.h"
#include "check/manifest.h"
#include "check/settings.h"
#include "feed/gossip.h"
#include "feed/sources.h"
#include "feed/vm_record.h"
#include "feed/relay.h"
#include "platform/store_requests.h"
#include "platform/datagram.h"
#include "platform/objects.h"
#include "balancer/balance_settings.h"
#include "suite.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

/* Mutated input of every kind that other processes send: nothing crashes, nothing is read
 * beyond its end, and no packet reaches another service.  FUZZ_ROUNDS sets the number of
 * mutations of each kind. */

#define ROUNDS_DEFAULT 3000

static int
rounds (void)
{
  const char *text = getenv ("FUZZ_ROUNDS");

  return text ? atoi (text) : ROUNDS_DEFAULT;
}

/* Changes some bytes of the SIZE bytes at DATA and returns a shorter or equal length. */
static size_t
mutate (GRand *random, uint8_t *data, size_t size)
{
  int changes = g_rand_int_range (random, 0, 6);

  for (int i = 0; i < changes && size > 0; i++)
    data[g_rand_int_range (random, 0, (gint32) size)] = (uint8_t) g_rand_int (random);
  if (g_rand_int_range (random, 0, 4) == 0)
    return (size_t) g_rand_int_range (random, 0, (gint32) size + 1);
  return size;
}

/* A packet as a caller sends it, from 100.64.0.7:40001 to 198.18.0.1:80. */
static const uint8_t sample[64]
    = { 0, 32, 64, 0, 0xc6, 18, 0, 1, 0x9c, 0x41, 100, 64, 0, 7, 0, 80, 0xa1, 0xb2, 0xc3, 0xd5 };

/* Checks where SEGMENT was forwarded: to its route's service or, if no manifest ever had its
 * address, to the upstream that its cookie names; then it must not open a connection. */
static void
check_target (const struct Simulation *sim, const struct CfSegment *segment)
{
  const char *service = g_quark_to_string (sim->last->service);

  if (segment->service.ip == SIM_SERVICE_IP && segment->service.port == 80)
    ck_assert_str_eq (service, "s");
  else if (segment->service.ip == SIM_SERVICE_IP && segment->service.port == 81)
    ck_assert_str_eq (service, "t");
  else
    {
      ck_assert (!(segment->flags & CF_SEGMENT_SYN));
      ck_assert_uint_eq (segment->cookie, sim->last->cookie);
    }
}

START_TEST (test_fuzz_packets)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 10);
  GRand *random = g_rand_new_with_seed (1);
  uint32_t cookie = cf_cookie ("up-s");

  sim_add_upstream (sim, NULL, "up-s", "s", "a", 0);
  sim_add_upstream (sim, NULL, "up-t", "t", "a", 0);
  for (int i = 0; i < rounds (); i++)
    {
      uint8_t *data = g_memdup2 (sample, sizeof sample);
      struct CfSegment segment;
      size_t len;

      if (i % 2)
        {
          data[2] = 2;
          data[28] = (uint8_t) (cookie >> 24);
          data[29] = (uint8_t) (cookie >> 16);
          data[30] = (uint8_t) (cookie >> 8);
          data[31] = (uint8_t) cookie;
        }
      len = mutate (random, data, sizeof sample);
      data = g_realloc (data, MAX (len, 1));
      sim->last = NULL;
      if (cf_platform_codec.parse (data, len, &segment))
        {
          uint8_t out[CF_SEGMENT_MAX + 8];

          cf_balance_segment (balance, &segment, sim->now);
          if (sim->last)
            {
              check_target (sim, &segment);
              ck_assert_uint_eq (cf_platform_codec.wrap (data, len, 7, 9, out), len + 8);
            }
          ck_assert_uint_eq (cf_platform_codec.reset (&segment, out), 32);
        }
      g_free (data);
      if (i % 16 == 0)
        cf_balance_tick (balance, ++sim->now);
    }
  g_rand_free (random);
  sim_free (sim);
}
END_TEST

START_TEST (test_fuzz_answers)
{
  static const char *const answers[] = {
    "{\"items\":[{\"meta\":{\"name\":\"i-1a\",\"revision\":3,\"deleting\":false},\"spec\":{"
    "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":2,\"state\":\"ready\","
    "\"born\":5}}],\"truncated\":false,\"store-revision\":9}",
    "{\"events\":[{\"deleted\":false,\"object\":{\"meta\":{\"name\":\"main\",\"revision\":4},"
    "\"spec\":{\"version\":7,\"routes\":[{\"host\":\"198.18.0.1\",\"path-prefix\":\"/80/\","
    "\"service\":\"s\",\"priority\":1}],\"services\":[{\"name\":\"s\",\"warmup-s\":2.0}],"
    "\"limits\":{\"idle-timeout-ms\":9}}}}],\"store-revision\":9}",
  };
  GRand *random = g_rand_new_with_seed (2);

  for (int i = 0; i < rounds (); i++)
    {
      char *text = g_strdup (answers[i % 2]);
      size_t len = mutate (random, (uint8_t *) text, strlen (text));
      char *exact = g_memdup2 (text, MAX (len, 1));
      struct CfFeedResponse answer = { 0 };

      cf_platform_parse_response_body (200, exact, len, CF_FEED_UPSTREAMS, i % 2, &answer);
      for (guint j = 0; answer.records && j < answer.records->len; j++)
        {
          const struct CfRecord *record = answer.records->pdata[j];
          struct CfAnnouncement announcement;
          struct CfError error;

          if (cf_platform_read_announcement (record, &announcement, &error))
            cf_platform_announcement_clear (&announcement);
          cf_manifest_free (cf_platform_read_manifest (record, &error));
        }
      cf_feed_response_clear (&answer);
      g_free (exact);
      g_free (text);
    }
  g_rand_free (random);
}
END_TEST

/* Entries of other writers, built from the fields that the kinds have. */

#define ODD_STRING_MAX 40000
#define ODD_NEST_MAX 100000

static const char *const odd_values[] = {
  "null",
  "true",
  "[]",
  "{}",
  "\"\"",
  "0",
  "-0.0",
  "-1",
  "0.5",
  "1e300",
  "-1e300",
  "1e999",
  "1e-999",
  "4294967295",
  "4294967296",
  "9007199254740993",
  "9223372036854775807",
  "-9223372036854775808",
  "9223372036854775808",
  "18446744073709551615",
  "18446744073709551616",
  "01",
  "NaN",
  "\"\\u0000\"",
  "\"\\ud800\"",
  "\"\\ud83d\\ude00\"",
  "\"\xff\xfe\"",
  "\"10.0.0.1:0\"",
  "\"10.0.0.1:65536\"",
  "\"10.0.0.1:+80\"",
  "\"/70000/\"",
  "\"0.0.0.0\"",
  "\"::1\"",
  "[[[1]]]",
  "{\"a\":{\"a\":[{}]}}",
  "\"\\n\\\"\"",
};

static void
append_repeated (GString *text, const char *part, gint32 count)
{
  for (gint32 i = 0; i < count; i++)
    g_string_append (text, part);
}

/* Appends a value of any type, or one that is no JSON. */
static void
append_odd (GRand *random, GString *text)
{
  static const char *const nests[][2] = { { "[", "]" }, { "{\"a\":", "}" }, { "[{\"\":", "}]" } };
  gint32 shape = g_rand_int_range (random, 0, 60);

  if (shape == 0)
    {
      const char *const *nest = nests[g_rand_int_range (random, 0, G_N_ELEMENTS (nests))];
      gint32 depth = g_rand_int_range (random, 1, ODD_NEST_MAX);

      append_repeated (text, nest[0], depth);
      g_string_append_c (text, '1');
      if (g_rand_boolean (random))
        append_repeated (text, nest[1], depth);
    }
  else if (shape == 1)
    {
      g_string_append_c (text, '"');
      append_repeated (text, "x", g_rand_int_range (random, 0, ODD_STRING_MAX));
      g_string_append_c (text, '"');
    }
  else if (shape == 2)
    append_repeated (text, "9", g_rand_int_range (random, 1, ODD_STRING_MAX));
  else
    g_string_append (text, odd_values[g_rand_int_range (random, 0, G_N_ELEMENTS (odd_values))]);
}

/* Appends the member NAME with VALUE, or now and then with an odd one, twice or not at all. */
static void
append_member (GRand *random, GString *text, const char *name, const char *value)
{
  gint32 fate = g_rand_int_range (random, 0, 40);

  if (fate == 0)
    return;
  for (int i = fate == 1; i < 2; i++)
    {
      char last = text->str[text->len - 1];

      g_string_append_printf (text, "%s\"%s\":", last == '{' || last == '[' ? "" : ",", name);
      if (fate < 6)
        append_odd (random, text);
      else
        g_string_append (text, value);
      if (fate != 1)
        return;
    }
}

static void
append_announcement (GRand *random, GString *text)
{
  static const char *const services[] = { "\"s\"", "\"t\"" };
  static const char *const states[] = { "\"ready\"", "\"ready\"", "\"draining\"" };
  static const char *const zones[] = { "\"a\"", "\"b\"" };

  append_member (random, text, "service", services[g_rand_int_range (random, 0, 2)]);
  append_member (random, text, "address", "\"10.0.0.1:80\"");
  append_member (random, text, "zone", zones[g_rand_int_range (random, 0, 2)]);
  append_member (random, text, "state", states[g_rand_int_range (random, 0, 3)]);
  append_member (random, text, "slots", g_rand_boolean (random) ? "2" : "1000000");
  append_member (random, text, "warmup-remaining-ms", g_rand_boolean (random) ? "0" : "86400000");
  append_member (random, text, "sequence", "4");
  append_member (random, text, "born", g_rand_boolean (random) ? "1791912288048" : "0");
}

static void
append_manifest (GRand *random, GString *text, guint version)
{
  char *number = g_strdup_printf ("%u", version);

  append_member (random, text, "version", number);
  g_free (number);
  g_string_append (text, ",\"routes\":[");
  for (int port = 80; port < 82; port++)
    {
      g_string_append (text, port == 80 ? "{" : ",{");
      append_member (random, text, "host", "\"198.18.0.1\"");
      append_member (random, text, "path-prefix", port == 80 ? "\"/80/\"" : "\"/81/\"");
      append_member (random, text, "priority", "1");
      append_member (random, text, "kind", "\"idempotent\"");
      append_member (random, text, "target-latency-ms", "250");
      append_member (random, text, "timeout-ms", "1000");
      if (g_rand_boolean (random))
        append_member (random, text, "service", port == 80 ? "\"s\"" : "\"t\"");
      else
        {
          g_string_append (text, ",\"weighted-services\":[{");
          append_member (random, text, "service", port == 80 ? "\"s\"" : "\"t\"");
          append_member (random, text, "weight", "4294967295");
          g_string_append (text, "}]");
        }
      g_string_append_c (text, '}');
    }
  g_string_append (text, "],\"services\":[{");
  append_member (random, text, "name", "\"s\"");
  append_member (random, text, "warmup-s", "86400");
  append_member (random, text, "warmup-per-s", g_rand_boolean (random) ? "5" : "1000000");
  g_string_append (text, "}],\"limits\":{");
  append_member (random, text, "idle-timeout-ms", "15000");
  g_string_append_c (text, '}');
}

static void
append_vm (GRand *random, GString *text)
{
  append_member (random, text, "address", "\"10.0.0.2\"");
  append_member (random, text, "domain", "\"a\"");
  append_member (random, text, "region", "\"r\"");
  append_member (random, text, "link_mbps", "1000");
  append_member (random, text, "hour", "497753");
}

/* Appends an object of KIND as the store has it. */
static void
append_object (GRand *random, GString *text, enum CfFeedKind kind, guint round)
{
  char *name = kind == CF_FEED_MANIFEST
                   ? g_strdup ("\"main\"")
                   : g_strdup_printf ("\"i-%d\"", g_rand_int_range (random, 0, 8));
  char *revision = g_strdup_printf ("%u", round + 2);

  g_string_append (text, "{\"meta\":{");
  append_member (random, text, "name", name);
  append_member (random, text, "revision", revision);
  append_member (random, text, "deleting", "false");
  g_string_append (text, "},\"spec\":{");
  if (kind == CF_FEED_MANIFEST)
    append_manifest (random, text, round + 2);
  else if (kind == CF_FEED_UPSTREAMS)
    append_announcement (random, text);
  else if (kind == CF_FEED_VMS)
    append_vm (random, text);
  g_string_append_c (text, '}');
  append_member (random, text, "status", "null");
  if (g_rand_int_range (random, 0, 4) == 0)
    append_member (random, text, "born", "1791912288049");
  g_string_append_c (text, '}');
  g_free (revision);
  g_free (name);
}

static char *
odd_response (GRand *random, enum CfFeedKind kind, bool events, guint round)
{
  GString *text = g_string_new (events ? "{\"events\":[" : "{\"items\":[");
  gint32 count = g_rand_int_range (random, 0, 4);

  for (gint32 i = 0; i < count; i++)
    {
      g_string_append (text, i ? "," : "");
      if (events)
        {
          g_string_append (text, "{");
          append_member (random, text, "deleted",
                         g_rand_int_range (random, 0, 6) ? "false" : "true");
          g_string_append (text, text->str[text->len - 1] == '{' ? "\"object\":" : ",\"object\":");
        }
      if (g_rand_int_range (random, 0, 40) == 0)
        append_odd (random, text);
      else
        append_object (random, text, kind, round);
      g_string_append (text, events ? "}" : "");
    }
  g_string_append_printf (text, "],\"truncated\":%s,\"store-revision\":%u}",
                          g_rand_boolean (random) ? "true" : "false", round + 2);
  return g_string_free (text, FALSE);
}

static void
apply_change (struct CfBalance *balance,
              struct CfSources *sources,
              enum CfFeedKind kind,
              const struct CfRecord *record,
              CfMillis now)
{
  struct CfDirectory *directory = cf_balance_directory (balance);
  struct CfAnnouncement announcement;
  struct CfManifest *manifest;
  struct CfVmRecord vm;
  struct CfVmRecordHolder *holder;
  struct CfError error = { 0 };

  switch (kind)
    {
    case CF_FEED_UPSTREAMS:
      if (!record->deleted && cf_platform_read_announcement (record, &announcement, &error))
        {
          cf_directory_announce (directory, &announcement, now);
          cf_platform_announcement_clear (&announcement);
        }
      else
        cf_directory_withdraw (directory, record->name, true, now);
      break;
    case CF_FEED_MANIFEST:
      manifest = record->deleted ? NULL : cf_platform_read_manifest (record, &error);
      if (manifest)
        cf_balance_manifest (balance, manifest);
      cf_manifest_free (manifest);
      break;
    case CF_FEED_VMS:
      holder = cf_vm_record_parse (record->text, &vm);
      cf_sources_set (sources, record->name, holder ? &vm : NULL);
      cf_sources_choose (sources, now);
      cf_sources_expired (sources, 1791912288);
      if (record->text)
        cf_vm_record_equal (record->text, record->text);
      cf_vm_record_release (holder);
      break;
    case CF_FEED_EVACUATIONS:
      cf_balance_evacuate (balance, record->name, !record->deleted, now);
      break;
    case CF_FEED_KINDS:
      break;
    }
}

/* From the response's text to the flows that are placed by it. */
START_TEST (test_fuzz_entries)
{
  struct Simulation *sim = sim_new ();
  struct CfBalance *balance = sim_add_vm (sim, "a", 10);
  struct CfSources *sources = cf_sources_new ("vm-1", "a", "r");
  GRand *random = g_rand_new_with_seed ((guint32) _i + 5);
  struct CfReader readers[CF_FEED_KINDS];
  struct CfReplica replica;

  g_log_set_always_fatal (G_LOG_LEVEL_CRITICAL | G_LOG_FATAL_MASK);
  cf_replica_init (&replica);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    cf_reader_init (&readers[kind], (enum CfFeedKind) kind, sim->now);
  for (guint round = 0; round < (guint) rounds () / 2; round++)
    {
      enum CfFeedKind kind = (enum CfFeedKind) g_rand_int_range (random, 0, CF_FEED_KINDS);
      struct CfReader *reader = &readers[kind];
      char *text = odd_response (random, kind, reader->listed, round);
      size_t len = strlen (text);
      char *exact = g_memdup2 (text, len);
      struct CfFeedResponse response = { 0 };
      enum CfReadOutcome outcome;
      bool whole;

      reader->next_at = sim->now;
      ck_assert (cf_reader_start_due (reader, sim->now));
      outcome
          = cf_platform_parse_response_body (200, exact, len, kind, reader->asked.list, &response);
      if (outcome == CF_READ_ANSWERED && cf_reader_is_stuck (reader, &response))
        outcome = CF_READ_UNREADABLE;
      whole = cf_reader_handle_outcome (reader, outcome, &response, sim->now, random);
      for (guint i = 0; outcome == CF_READ_ANSWERED && i < response.records->len; i++)
        cf_platform_read_order (kind, response.records->pdata[i]);
      if (outcome == CF_READ_ANSWERED)
        {
          GPtrArray *changes
              = cf_replica_apply (&replica, kind, response.records, reader->revision, whole);

          for (guint i = 0; i < changes->len; i++)
            apply_change (balance, sources, kind, changes->pdata[i], sim->now);
          g_ptr_array_unref (changes);
        }
      sim_open_flow (sim, balance, (uint16_t) (80 + round % 2));
      sim_run (sim, sim->now + 5);
      cf_feed_response_clear (&response);
      g_free (exact);
      g_free (text);
    }
  /* Enough entries were sound for flows to open. */
  ck_assert_uint_ge (sim->forwarded, (uint32_t) rounds () / 20);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    cf_reader_clear (&readers[kind]);
  cf_replica_clear (&replica);
  cf_sources_free (sources);
  g_rand_free (random);
  sim_free (sim);
}
END_TEST

static void
check_manifests (const char *text, size_t len, const struct CfManifest *in_force)
{
  const struct CfOverloadSettings values
      = { .admission = { .enabled = true }, .extra_openings = 0.1 };
  struct CfFindings findings;
  struct CfManifest *manifest;
  char *printed;

  cf_findings_init (&findings);
  manifest = cf_check_manifest_read ("m.json", text, len, &findings);
  ck_assert (manifest || findings.counts[CF_SEVERITY_ERROR] > 0);
  if (manifest)
    {
      cf_check_manifest_matches ("m.json", manifest, &findings);
      cf_check_manifest_limits ("m.json", manifest, &findings);
      cf_check_manifest_changes ("m.json", in_force, manifest, &findings);
      cf_check_overload ("settings", &values, manifest, &findings);
    }
  ck_assert_uint_le (findings.list->len, CF_SEVERITIES * CF_FINDINGS_MAX);
  printed = cf_findings_text (&findings);
  ck_assert (g_utf8_validate (printed, -1, NULL));
  g_free (printed);
  g_free (cf_findings_json (&findings));
  cf_manifest_free (manifest);
  cf_findings_clear (&findings);
}

/* The check before a manifest is sent reads every value of it, where a VM stops at the first that
 * it cannot use. */
START_TEST (test_fuzz_checked_manifests)
{
  GRand *random = g_rand_new_with_seed (6);
  struct CfManifest *in_force = sim_manifest (1, 0, true);

  for (int i = 0; i < rounds (); i++)
    {
      GString *text = g_string_new ("{");
      size_t len;
      char *exact;

      append_manifest (random, text, (guint) i + 2);
      g_string_append_c (text, '}');
      len = i % 2 ? mutate (random, (uint8_t *) text->str, text->len) : text->len;
      exact = g_memdup2 (text->str, MAX (len, 1));
      check_manifests (exact, len, in_force);
      g_free (exact);
      g_string_free (text, TRUE);
    }
  cf_manifest_free (in_force);
  g_rand_free (random);
}
END_TEST

START_TEST (test_fuzz_peers)
{
  struct CfReplica replica;
  struct CfRelayCache cache = { 0 };
  const struct CfUpdateOrigin origin = { .reader = (char *) "vm-1", .age = 1, .settled = true };
  struct CfFeedPosition position = { 0 };
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  GRand *random = g_rand_new_with_seed (3);
  GBytes *update;
  gsize update_len;
  const void *update_data;

  cf_replica_init (&replica);
  g_ptr_array_add (records, cf_record_new ("i-1", 5, false, "{\"service\":\"s\"}"));
  /* The second message is large enough to be compressed. */
  for (int part = 0; part < 2; part++)
    {
      g_ptr_array_unref (
          cf_replica_apply (&replica, CF_FEED_UPSTREAMS, records, (uint64_t) part + 5, true));
      update = cf_relay_encode (&cache, &replica, &position, &origin);
      update_data = g_bytes_get_data (update, &update_len);
      for (int i = 0; i < rounds () / 2; i++)
        {
          uint8_t *data = g_memdup2 (update_data, update_len);
          size_t len = mutate (random, data, update_len);
          struct CfRelayUpdate decoded;

          data = g_realloc (data, MAX (len, 1));
          if (cf_relay_decode (data, len, &decoded))
            {
              for (u_int kind = 0; kind < decoded.parts.parts.parts_len; kind++)
                g_ptr_array_unref (cf_relay_records (&decoded.parts.parts.parts_val[kind]));
              cf_relay_clear (&decoded);
            }
          g_free (data);
        }
      g_bytes_unref (update);
      for (int i = 0; i < 50; i++)
        {
          char name[16];

          g_snprintf (name, sizeof name, "i-more-%d", i);
          g_ptr_array_add (records, cf_record_new (name, 6, false, "{\"service\":\"s\"}"));
        }
    }
  cf_relay_cache_clear (&cache);
  g_ptr_array_unref (records);
  cf_replica_clear (&replica);
  g_rand_free (random);
}
END_TEST

START_TEST (test_fuzz_datagrams)
{
  const struct CfQualityReport report = {
    .vm = "vm-1",
    .count = 2,
    .lines = { { "i-1", 3, 1 }, { "i-2", 2, 2 } },
  };
  GRand *random = g_rand_new_with_seed (4);
  uint8_t valid[2][512];
  const size_t lens[2] = {
    cf_gossip_encode_hello ("vm-1", "a", true, valid[0], sizeof valid[0]),
    cf_gossip_encode_quality (&report, "a", valid[1], sizeof valid[1]),
  };

  for (int i = 0; i < rounds (); i++)
    {
      uint8_t *data = g_memdup2 (valid[i % 2], lens[i % 2]);
      size_t len = mutate (random, data, lens[i % 2]);
      struct feed_datagram datagram;
      struct CfQualityReport read;

      data = g_realloc (data, MAX (len, 1));
      if (cf_gossip_decode (data, len, &datagram))
        {
          if (datagram.kind == FEED_QUALITIES)
            cf_gossip_read_quality (&datagram.feed_datagram_u.qualities, &read);
          cf_gossip_clear (&datagram);
        }
      g_free (data);
    }
  g_rand_free (random);
}
END_TEST

#define SETTINGS                                                                                   \
  "[vm]\nname=vm-1\naddress=10.0.0.1\nfailure-domain=a\nregion=r\n"                                \
  "fabric-address=10.0.0.1:8172\nready-address=10.0.0.1:8167\nmetrics-port=9464\n"                 \
  "peer-port=7720\nlink-mbps=1000.0\n\n[fleet]\nseeds=10.0.0.1:1,10.0.0.2:1\n\n"                   \
  "[store]\naddress=10.2.0.1:8169\n\n"                                                             \
  "[limits]\nflow-lifetime-s=60\ngrace-s=6\n"

static bool
read_text (const char *text, gssize len, struct CfBalanceSettings *settings, struct CfError *error)
{
  return cf_balance_settings_parse (settings, "cf-settings-1", text,
                                    len < 0 ? strlen (text) : (size_t) len, error);
}

START_TEST (test_fuzz_settings)
{
  GRand *random = g_rand_new_with_seed (4);

  for (int i = 0; i < rounds () / 10; i++)
    {
      char *text = g_strdup (SETTINGS);
      size_t len = mutate (random, (uint8_t *) text, strlen (text));
      struct CfBalanceSettings settings;
      struct CfError error = { 0 };

      if (read_text (text, (gssize) len, &settings, &error))
        cf_balance_settings_clear (&settings);
      else
        ck_assert_str_ne (error.text, "");
      g_free (text);
    }
  g_rand_free (random);
}
END_TEST

/* The message for bad settings names the file and the key. */
static const struct
{
  const char *line;
  const char *replacement;
  const char *fault;
} bad_settings[] = {
  { "name=vm-1\n", "", "[vm] name: is missing" },
  { "address=10.0.0.1\n", "address=\n", "[vm] address: is missing" },
  { "address=10.0.0.1\n", "address=vm\n", "[vm] address: is not an IP address" },
  { "ready-address=10.0.0.1:8167\n", "", "[vm] ready-address: is missing" },
  { "peer-port=7720", "peer-port=", "[vm] peer-port: is missing" },
  { "peer-port=7720", "peer-port=0", "[vm] peer-port: is not a number" },
  { "metrics-port=9464", "metrics-port=94.5", "[vm] metrics-port: is not a whole number" },
  { "fabric-address=10.0.0.1:8172", "fabric-address=10.0.0.1", "[vm] fabric-address: is not" },
  { "peer-port=7720", "peer-port=70000", "[vm] peer-port: is not a number" },
  { "link-mbps=1000.0", "link-mbps=fast", "[vm] link-mbps: is not a number" },
  { "link-mbps=1000.0", "link-mbps=1_000", "[vm] link-mbps: is not a number" },
  { "address=10.2.0.1:8169", "address=store", "[store] address: is not IP:port" },
  { "address=10.2.0.1:8169", "address=", "[store] address: is missing" },
  { "grace-s=6", "grace-s=true", "[limits] grace-s: is not a number" },
  { "grace-s=6", "grace-s=-1", "[limits] grace-s: is not a number" },
  { "flow-lifetime-s=60", "flow-lifetime-s=1e300", "[limits] flow-lifetime-s: is not a number" },
};

START_TEST (test_bad_settings)
{
  char **parts = g_strsplit (SETTINGS, bad_settings[_i].line, 2);
  char *text = g_strconcat (parts[0], bad_settings[_i].replacement, parts[1], NULL);
  struct CfBalanceSettings settings;
  struct CfError error = { 0 };

  ck_assert (!read_text (text, -1, &settings, &error));
  ck_assert_msg (strstr (error.text, bad_settings[_i].fault) && strstr (error.text, "cf-settings-"),
                 "%s", error.text);
  g_free (text);
  g_strfreev (parts);
}
END_TEST

START_TEST (test_good_settings)
{
  struct CfBalanceSettings settings;
  struct CfError error = { 0 };

  ck_assert_msg (read_text (SETTINGS, -1, &settings, &error), "%s", error.text);
  ck_assert_uint_eq (settings.fabric.port, 8172);
  /* A VM removes its own address from the seeds. */
  ck_assert_uint_eq (g_strv_length (settings.seeds), 1);
  ck_assert_str_eq (settings.seeds[0], "10.0.0.2");
  ck_assert_int_eq (settings.grace_ms, 6000);
  ck_assert (settings.complete);
  cf_balance_settings_clear (&settings);
}
END_TEST

static char *
replace_text (const char *text, const char *from, const char *to)
{
  char **parts = g_strsplit (text, from, 2);
  char *result = g_strjoinv (to, parts);

  g_strfreev (parts);
  return result;
}

/* A machine without a limit renders its value empty, which must not keep a VM from starting. */
static const struct
{
  const char *line;
  const char *replacement;
  const char *note;
} defaults[] = {
  { "failure-domain=a", "failure-domain=", "[vm] failure-domain has no value: unknown is used" },
  { "region=r", "region= ", "[vm] region has no value: a is used" },
  { "region=r\n", "", "[vm] region has no value: a is used" },
  { "link-mbps=1000.0", "link-mbps=", "[vm] link-mbps has no value: 0 is used" },
  { "metrics-port=9464", "metrics-port=", "[vm] metrics-port has no value: none is served" },
  { "seeds=10.0.0.1:1,10.0.0.2:1",
    "seeds=here, 10.0.0.2:1,,:", "[fleet] seeds: 'here' is not IP:port and is left out" },
  { "flow-lifetime-s=60",
    "flow-lifetime-s=", "[limits] flow-lifetime-s has no value: 3600 is used" },
  { "grace-s=6\n", "", "[limits] grace-s has no value: 5 is used" },
};

START_TEST (test_setting_without_value_ends_start)
{
  char *text = replace_text (SETTINGS, defaults[_i].line, defaults[_i].replacement);
  struct CfBalanceSettings settings;
  struct CfError error = { 0 };

  ck_assert_msg (read_text (text, -1, &settings, &error), "%s", error.text);
  ck_assert_uint_ge (settings.notes->len, 1);
  ck_assert_str_eq (settings.notes->pdata[0], defaults[_i].note);
  ck_assert_str_ne (settings.region, "");
  ck_assert_int_ge (settings.grace_ms, 5000);
  ck_assert_int_ge (settings.max_flow_lifetime_ms, 60000);
  ck_assert (settings.metrics_port == 0 || settings.metrics_port == 9464);
  ck_assert_uint_eq (g_strv_length (settings.seeds), 1);
  cf_balance_settings_clear (&settings);
  g_free (text);
}
END_TEST

/* Values are rendered without escapes. */
static const char *const names[] = {
  "a\\sb\\n", "a\\b\\q", "\"a\"", "a;b#c", "a b", "[a]", "a=b", "d\xc3\xa9j\xc3\xa0", "a,b",
};

START_TEST (test_name_with_special_characters)
{
  char *line = g_strdup_printf ("name=%s\n", names[_i]);
  char *text = replace_text (SETTINGS, "name=vm-1\n", line);
  struct CfBalanceSettings settings;
  struct CfError error = { 0 };

  ck_assert_msg (read_text (text, -1, &settings, &error), "%s", error.text);
  ck_assert_str_eq (settings.name, names[_i]);
  ck_assert_uint_eq (settings.notes->len, 0);
  cf_balance_settings_clear (&settings);
  g_free (text);
  g_free (line);
}
END_TEST

/* A file that is cut anywhere while it is written is recognised, or has all that counts. */
START_TEST (test_half_written_settings)
{
  for (size_t len = 0; len < strlen (SETTINGS) - 1; len++)
    {
      struct CfBalanceSettings settings;
      struct CfError error = { 0 };

      if (!read_text (SETTINGS, (gssize) len, &settings, &error))
        continue;
      ck_assert_msg (!settings.complete, "cut at %zu", len);
      cf_balance_settings_clear (&settings);
    }
}
END_TEST

/* Files of other systems: CRLF, a byte order mark, blanks at the ends of lines, numbers written in
 * another way, invalid UTF-8. */
START_TEST (test_settings_of_other_systems)
{
  char *numbers = replace_text (SETTINGS, "=60\ngrace-s=6\n", "=6e1  \ngrace-s=6.0");
  char **lines = g_strsplit (numbers, "\n", -1);
  char *crlf = g_strjoinv ("\r\n", lines);
  char *named = replace_text (crlf, "vm-1", "vm\xff-1\t");
  char *text = g_strconcat ("\xef\xbb\xbf", named, NULL);
  struct CfBalanceSettings settings;
  struct CfError error = { 0 };

  ck_assert_msg (read_text (text, -1, &settings, &error), "%s", error.text);
  ck_assert (g_utf8_validate (settings.name, -1, NULL));
  ck_assert (g_str_has_suffix (settings.name, "-1"));
  ck_assert_str_eq (settings.ip, "10.0.0.1");
  ck_assert_int_eq (settings.max_flow_lifetime_ms, 60000);
  ck_assert_int_eq (settings.grace_ms, 6000);
  cf_balance_settings_clear (&settings);
  g_free (text);
  g_free (named);
  g_free (crlf);
  g_strfreev (lines);
  g_free (numbers);
}
END_TEST

/* The packet format. */

START_TEST (test_packet_format)
{
  uint8_t wire[]
      = { 0,    0,    0x40, 0,    0xc6, 0x12, 0,    1,    0x9c, 0x41, 0x64, 0x40, 0, 7, 1, 0xbb,
          0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0,    0,    0,    2,    0, 0, 0, 0 };
  const uint8_t expected[32]
      = { 0, 0, 8, 0, 0x64, 0x40, 0, 7, 1, 0xbb, 0xc6, 0x12, 0, 1, 0x9c, 0x41 };
  uint8_t out[CF_SEGMENT_MAX];
  struct CfSegment segment;

  ck_assert (cf_platform_codec.parse (wire, sizeof wire, &segment));
  ck_assert_uint_eq (segment.flags, CF_SEGMENT_SYN);
  ck_assert_uint_eq (segment.caller.ip, 0x64400007);
  ck_assert_uint_eq (segment.caller.port, 40001);
  ck_assert_uint_eq (segment.service.ip, 0xc6120001);
  ck_assert_uint_eq (segment.service.port, 443);
  ck_assert_uint_eq (segment.retransmit_count, 2);
  ck_assert_uint_eq (cf_platform_codec.reset (&segment, out), 32);
  ck_assert (memcmp (out, expected, sizeof expected) == 0);
  /* A packet relayed to another VM carries a flag that upstreams never see. */
  cf_platform_codec.hand_on (wire, sizeof wire, out);
  ck_assert (cf_platform_codec.parse (out, sizeof wire, &segment));
  ck_assert_uint_eq (segment.flags, CF_SEGMENT_SYN | CF_SEGMENT_FROM_PEER);
  memcpy (wire, out, sizeof wire);
  ck_assert_uint_eq (
      cf_platform_codec.wrap (wire, sizeof wire, 0x0102030405060708, 0x0a0b0c0d, out), 40);
  ck_assert_uint_eq (out[0], 1);
  ck_assert_uint_eq (out[7], 8);
  ck_assert_uint_eq (out[8 + 2], 0x40);
  ck_assert_uint_eq (out[8 + 28], 0x0a);
  ck_assert_uint_eq (out[8 + 31], 0x0d);
  /* Truncated, and with a length field that does not match the packet. */
  ck_assert (!cf_platform_codec.parse (wire, 31, &segment));
  wire[1] = 1;
  ck_assert (!cf_platform_codec.parse (wire, sizeof wire, &segment));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fuzz");

  suite_add_loop (suite, test_packet_format, 1);
  suite_add_loop (suite, test_fuzz_packets, 1);
  suite_add_loop (suite, test_fuzz_answers, 1);
  suite_add_loop (suite, test_fuzz_entries, 4);
  suite_add_loop (suite, test_fuzz_checked_manifests, 1);
  suite_add_loop (suite, test_fuzz_peers, 1);
  suite_add_loop (suite, test_fuzz_datagrams, 1);
  suite_add_loop (suite, test_fuzz_settings, 1);
  suite_add_loop (suite, test_good_settings, 1);
  suite_add_loop (suite, test_bad_settings, G_N_ELEMENTS (bad_settings));
  suite_add_loop (suite, test_setting_without_value_ends_start, G_N_ELEMENTS (defaults));
  suite_add_loop (suite, test_name_with_special_characters, G_N_ELEMENTS (names));
  suite_add_loop (suite, test_half_written_settings, 1);
  suite_add_loop (suite, test_settings_of_other_systems, 1);
  return suite_run (suite);
}
