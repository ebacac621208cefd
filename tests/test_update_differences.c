#include "feed/difference.h"
#include "feed/relay.h"
#include "feed/sources.h"
#include "suite.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Differences of large records between VMs: a manifest of the target size was sent whole to 16
 * followers at each of 3,300 changes a day. */

#define ROUTES 1100 /* of the target size */

/* Returns a manifest whose route I has been changed CHANGES[I] times. */
static char *
manifest (const int *changes)
{
  GString *text = g_string_new ("{\"routes\":[");

  for (int i = 0; i < ROUTES; i++)
    g_string_append_printf (
        text,
        "{\"host\":\"203.%d.%d.%d\",\"path-prefix\":\"/%d/\",\"kind\":\"idempotent\",\"service\":"
        "\"service-%08x\",\"priority\":%d,\"target-latency-ms\":%d,\"owner\":\"team-%02d\"},",
        i % 200, i / 256, i % 256, i % 900, (unsigned) i * 2654435761U, i % 4,
        200 + 37 * changes[i] % 5000, i % 37);
  g_string_append (text, "{}]}");
  return g_string_free (text, FALSE);
}

/* A VM with its copy of the records, and what it sends to others. */
struct Vm
{
  char name[16];
  struct CfSources *sources;
  struct CfReplica replica;
  struct CfRelayCache cache;
  struct CfFeedPosition position; /* of its last request; differences: it understands them */
  CfMillis synced_at;
  uint64_t sent;
};

static void
init (struct Vm *vm, bool differences)
{
  *vm = (struct Vm){ .position = { .differences = differences }, .synced_at = -1 };
  cf_replica_init (&vm->replica);
}

static void
clear (struct Vm *vm)
{
  g_clear_pointer (&vm->sources, cf_sources_free);
  cf_relay_cache_clear (&vm->cache);
  cf_replica_clear (&vm->replica);
}

/* VM reads from the store that the record "main" of KIND has TEXT (NULL: none) since REVISION. */
static void
read_store (struct Vm *vm, enum CfFeedKind kind, uint64_t revision, const char *text)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  bool whole = vm->replica.revision[kind] == 0;

  g_ptr_array_add (records, cf_record_new ("main", revision, !text, text));
  cf_versions_keep (&vm->cache.versions, &vm->replica, kind, records);
  g_ptr_array_unref (cf_replica_apply (&vm->replica, kind, records, revision, whole));
  g_ptr_array_unref (records);
}

/* Encodes what FROM has and TO does not, by the position of TO. */
static GBytes *
encode (struct Vm *from, struct Vm *to, CfMillis now)
{
  const struct CfUpdateOrigin origin
      = { .age = from->synced_at < 0 ? G_MAXINT32 : now - from->synced_at };
  GBytes *bytes;

  to->position.era = to->replica.era;
  memcpy (to->position.revision, to->replica.revision, sizeof to->position.revision);
  bytes = cf_relay_encode (&from->cache, &from->replica, &to->position, &origin);
  from->sent += g_bytes_get_size (bytes);
  return bytes;
}

/* Has TO apply an update as a follower does.  Returns false if a difference did not apply. */
static bool
apply (struct Vm *to, GBytes *bytes, CfMillis now)
{
  struct CfRelayUpdate update;
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  bool applies;

  ck_assert (cf_relay_decode (data, len, &update));
  applies = !cf_relay_apply_differences (&update, &to->replica);
  for (int kind = 0; applies && kind < CF_FEED_KINDS; kind++)
    {
      const struct feed_part *part = &update.parts.parts.parts_val[kind];
      GPtrArray *records = cf_relay_records (part);

      if (part->revision > 0)
        {
          cf_versions_keep (&to->cache.versions, &to->replica, (enum CfFeedKind) kind, records);
          g_ptr_array_unref (cf_replica_apply (&to->replica, (enum CfFeedKind) kind, records,
                                               part->revision, part->whole));
        }
      g_ptr_array_unref (records);
    }
  if (applies)
    to->synced_at = MAX (to->synced_at, now - update.origin.age);
  cf_relay_clear (&update);
  return applies;
}

/* Sends an update from FROM to TO.  Returns its size. */
static size_t
relay (struct Vm *from, struct Vm *to)
{
  GBytes *bytes = encode (from, to, 0);
  size_t size = g_bytes_get_size (bytes);

  ck_assert (apply (to, bytes, 0));
  g_bytes_unref (bytes);
  return size;
}

static const char *
text_of (const struct Vm *vm)
{
  return cf_replica_stored (&vm->replica, CF_FEED_MANIFEST, "main")->text;
}

/* A VM applied what it could of a damaged frame, or allocated what a forged one claimed. */
START_TEST (test_frames_are_checked)
{
  int changes[ROUTES] = { 0 };
  char *old = manifest (changes);
  char *text = (changes[7]++, manifest (changes));
  size_t size = strlen (text);
  uint8_t sum[CF_TEXT_DIFFERENCE_CHECKSUM_BYTES];
  gsize len;
  uint8_t *frame = g_bytes_unref_to_data (cf_text_difference_new (old, text, 500), &len);
  char *made;

  cf_text_difference_checksum (text, size, sum);
  made = cf_text_difference_apply (old, frame, len, size, sum);
  ck_assert_str_eq (made, text);
  free (made);
  ck_assert_ptr_null (cf_text_difference_new (old, text, len - 1));
  ck_assert_ptr_null (cf_text_difference_apply ("{}", frame, len, size, sum));
  ck_assert_ptr_null (cf_text_difference_apply (old, frame, len - 1, size, sum));
  ck_assert_ptr_null (cf_text_difference_apply (old, frame, 0, size, sum));
  ck_assert_ptr_null (cf_text_difference_apply (old, frame, len, size - 1, sum));
  ck_assert_ptr_null (cf_text_difference_apply (old, frame, len, size + 1, sum));
  sum[31] ^= 1;
  ck_assert_ptr_null (cf_text_difference_apply (old, frame, len, size, sum));
  /* A frame that holds one zero byte: texts end there. */
  cf_text_difference_checksum ("\0", 1, sum);
  ck_assert_ptr_null (
      cf_text_difference_apply (old, "\x28\xb5\x2f\xfd\x20\x01\x09\x00\x00\x00", 10, 1, sum));
  g_free (frame);
  g_free (old);
  g_free (text);
}
END_TEST

#define WHOLE_MIN 10000 /* bytes of an update with a whole manifest, and less than it deflated */

/* A difference from another text than the follower has would cost it a whole update more. */
START_TEST (test_difference_is_from_the_follower_s_text)
{
  int changes[ROUTES] = { 0 };
  struct Vm sender, follower, old_build;

  init (&sender, true);
  init (&follower, true);
  init (&old_build, false);
  for (uint64_t revision = 10; revision <= 70; revision += 10)
    {
      char *text = manifest (changes);
      size_t size;

      changes[revision]++;
      read_store (&sender, CF_FEED_MANIFEST, revision, text);
      /* The text of 10 is the fourth before that of 50. */
      size = revision == 10 || revision >= 50 ? relay (&sender, &follower) : 0;
      ck_assert (revision == 10 ? size > WHOLE_MIN : size < 1000);
      ck_assert_uint_gt (relay (&sender, &old_build), WHOLE_MIN);
      ck_assert_str_eq (text_of (&old_build), text);
      g_free (text);
    }
  ck_assert_str_eq (text_of (&follower), text_of (&sender));
  /* The sender did not see what the store had between 70 and 90; of earlier texts four are kept. */
  read_store (&sender, CF_FEED_MANIFEST, 90, text_of (&sender));
  follower.replica.revision[CF_FEED_MANIFEST] = 80;
  ck_assert_uint_gt (relay (&sender, &follower), WHOLE_MIN);
  follower.replica.revision[CF_FEED_MANIFEST] = 30;
  ck_assert_uint_gt (relay (&sender, &follower), WHOLE_MIN);
  clear (&sender);
  clear (&follower);
  clear (&old_build);
}
END_TEST

/* What does not apply changes nothing: the revision would say that the record is there. */
START_TEST (test_difference_that_does_not_apply)
{
  int changes[ROUTES] = { 0 };
  char *first = manifest (changes);
  char *second = (changes[3]++, manifest (changes));
  struct Vm sender, follower;
  GBytes *bytes;

  init (&sender, true);
  init (&follower, true);
  read_store (&sender, CF_FEED_MANIFEST, 10, first);
  relay (&sender, &follower);
  read_store (&sender, CF_FEED_MANIFEST, 20, second);
  read_store (&sender, CF_FEED_EVACUATIONS, 20, "{}");
  bytes = encode (&sender, &follower, 0);
  /* The follower's text is another, or it has come to an era in which the old one is carried. */
  if (_i == 0)
    ((char *) text_of (&follower))[100] ^= 1;
  else
    cf_replica_enter_era (&follower.replica, 2, 0);
  ck_assert (!apply (&follower, bytes, 0));
  ck_assert_uint_eq (cf_replica_count (&follower.replica, CF_FEED_EVACUATIONS), 0);
  ck_assert_uint_eq (follower.replica.revision[CF_FEED_MANIFEST], _i == 0 ? 10 : 0);
  /* It asks for everything.  The same difference once more is skipped. */
  follower.replica.revision[CF_FEED_MANIFEST] = 0;
  ck_assert_uint_gt (relay (&sender, &follower), WHOLE_MIN);
  ck_assert_str_eq (text_of (&follower), second);
  ck_assert (apply (&follower, bytes, 0));
  ck_assert_str_eq (text_of (&follower), second);
  /* In another era, the sender's earlier texts are of no use. */
  cf_replica_enter_era (&sender.replica, 2, 0);
  read_store (&sender, CF_FEED_MANIFEST, 5, first);
  ck_assert_uint_eq (sender.cache.versions.bytes, 0);
  g_bytes_unref (bytes);
  g_free (first);
  g_free (second);
  clear (&sender);
  clear (&follower);
}
END_TEST

/* A message of some KB claimed differences whose texts would take a gigabyte together. */
START_TEST (test_forged_differences_are_bounded)
{
  static const struct
  {
    u_int count;
    u_int kind;
    u_int size;
    bool valid;
  } cases[] = { { 16, 0, FEED_TEXT_MAX, true },
                { 17, 0, FEED_TEXT_MAX, false },
                { 1, 0, FEED_TEXT_MAX + 1, false },
                { 1, CF_FEED_KINDS, 1, false } };
  struct feed_part list[CF_FEED_KINDS] = { 0 };
  struct feed_parts parts = { .parts = { .parts_len = CF_FEED_KINDS, .parts_val = list } };
  struct feed_difference forged[17] = { 0 };
  struct feed_differences differences
      = { .list = { .list_len = cases[_i].count, .list_val = forged } };
  struct feed_news news = { .reader = (char *) "" };
  struct CfRelayUpdate update;
  char inner[4096];
  char outer[8192];
  XDR xdr;

  for (u_int i = 0; i < cases[_i].count; i++)
    forged[i] = (struct feed_difference){
      .kind = cases[_i].kind, .name = (char *) "main", .revision = 1, .size = cases[_i].size
    };
  xdrmem_create (&xdr, inner, sizeof inner, XDR_ENCODE);
  ck_assert (xdr_feed_parts (&xdr, &parts) && xdr_feed_differences (&xdr, &differences));
  news.parts.parts_val = inner;
  news.parts.parts_len = news.size = xdr_getpos (&xdr);
  xdrmem_create (&xdr, outer, sizeof outer, XDR_ENCODE);
  ck_assert (xdr_feed_news (&xdr, &news));
  ck_assert (cf_relay_decode (outer, xdr_getpos (&xdr), &update) == cases[_i].valid);
  if (cases[_i].valid)
    cf_relay_clear (&update);
}
END_TEST

/* Earlier texts of many records took as much memory as their writers liked. */
START_TEST (test_versions_are_bounded)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);
  char *texts[] = { g_strnfill (CF_VERSIONS_TEXT_MIN_BYTES - 1, 'a'), g_strnfill (16000, 'a') };
  struct Vm vm;

  init (&vm, true);
  for (uint64_t revision = 1; revision <= 3; revision++)
    {
      for (int i = 0; i < 1000; i++)
        {
          char name[16];

          g_snprintf (name, sizeof name, "i-%d", i);
          g_ptr_array_add (records, cf_record_new (name, revision, false, texts[i % 2]));
        }
      cf_versions_keep (&vm.cache.versions, &vm.replica, CF_FEED_UPSTREAMS, records);
      g_ptr_array_unref (
          cf_replica_apply (&vm.replica, CF_FEED_UPSTREAMS, records, revision, revision == 1));
      g_ptr_array_set_size (records, 0);
    }
  ck_assert_uint_le (vm.cache.versions.bytes, CF_VERSIONS_MAX_BYTES);
  ck_assert_uint_eq (vm.cache.versions.list.length, CF_VERSIONS_MAX_BYTES / 16000);
  g_ptr_array_unref (records);
  g_free (texts[0]);
  g_free (texts[1]);
  clear (&vm);
}
END_TEST

#define VMS 300
#define DOMAINS 4
#define STEP_MS 50
#define CONFIRM_MS 400
#define MANIFESTS 7 /* with 200 changed routes each: 1,400 in all */
#define MANIFEST_EVERY_MS 500
/* A VM may send 24 KB a second, of which it sends 18 when nothing changes; 3,300 manifests a day.
 */
#define BYTES_PER_MANIFEST_MAX ((24 - 18) * 1024 * 86400 / 3300)

/* Has each of VMS, in the order of the sources, ask its source at NOW; the first reads the store.
 */
static void
step (struct Vm *vms, CfMillis now)
{
  vms[0].synced_at = now;
  for (int i = 1; i < VMS; i++)
    {
      const struct CfSource *source = cf_sources_choose (vms[i].sources, now);
      struct Vm *from = &vms[atoi (source->name + 3)];
      GBytes *bytes;

      if (from->replica.revision[0] == vms[i].replica.revision[0]
          && from->synced_at - vms[i].synced_at < CONFIRM_MS)
        continue;
      bytes = encode (from, &vms[i], now);
      ck_assert (apply (&vms[i], bytes, now));
      g_bytes_unref (bytes);
    }
}

/* Returns the most bytes that one of VMS has sent. */
static uint64_t
busiest (const struct Vm *vms)
{
  uint64_t most = 0;

  for (int i = 0; i < VMS; i++)
    most = MAX (most, vms[i].sent);
  return most;
}

/* Returns the bytes that the busiest VM sends for each of MANIFESTS manifests. */
static uint64_t
exchange (bool differences)
{
  struct Vm *vms = g_new0 (struct Vm, VMS);
  int changes[ROUTES] = { 0 };
  CfMillis now = 0;
  uint64_t start = 0;
  uint64_t sent;

  for (int i = 0; i < VMS; i++)
    init (&vms[i], differences);
  for (int i = 0; i < VMS; i++)
    {
      char domain[] = { (char) ('a' + i % DOMAINS), '\0' };
      struct CfVmRecord record = { .ip = "10.0.0.1", .domain = domain, .region = "r" };

      g_snprintf (vms[i].name, sizeof vms[i].name, "vm-%03d", i);
      vms[i].sources = cf_sources_new (vms[i].name, domain, "r");
      for (int j = 0; j < VMS; j++)
        {
          char name[16];

          domain[0] = (char) ('a' + j % DOMAINS);
          g_snprintf (name, sizeof name, "vm-%03d", j);
          cf_sources_set (vms[i].sources, name, &record);
        }
    }
  for (int i = 0; i <= MANIFESTS; i++)
    {
      char *text = manifest (changes);

      read_store (&vms[0], CF_FEED_MANIFEST, 10 + (uint64_t) i, text);
      for (CfMillis end = now + MANIFEST_EVERY_MS; now < end; now += STEP_MS)
        step (vms, now);
      for (int j = 0; j < VMS; j++)
        ck_assert_str_eq (text_of (&vms[j]), text);
      if (i == 0)
        start = busiest (vms);
      for (int j = 0; j < 200; j++)
        changes[(i * 200 + j) * 7 % ROUTES]++;
      g_free (text);
    }
  sent = (busiest (vms) - start) / MANIFESTS;
  printf ("%d VMs, %s: the busiest sends %" PRIu64 " bytes at the start, %" PRIu64
          " for each manifest\n",
          VMS, differences ? "differences" : "whole records", start, sent);
  for (int i = 0; i < VMS; i++)
    clear (&vms[i]);
  g_free (vms);
  return sent;
}

/* The busiest VM sent more than the 24 KB a second that are allowed at the target size. */
START_TEST (test_exchange_among_300_vms)
{
  ck_assert_uint_gt (exchange (false), BYTES_PER_MANIFEST_MAX);
  ck_assert_uint_le (exchange (true), BYTES_PER_MANIFEST_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("update differences");

  suite_add_loop (suite, test_frames_are_checked, 1);
  suite_add_loop (suite, test_difference_is_from_the_follower_s_text, 1);
  suite_add_loop (suite, test_difference_that_does_not_apply, 2);
  suite_add_loop (suite, test_forged_differences_are_bounded, 4);
  suite_add_loop (suite, test_versions_are_bounded, 1);
  suite_add_loop (suite, test_exchange_among_300_vms, 1);
  return suite_run (suite);
}
