#include "balance/directory.h"
#include "feed/reader.h"
#include "feed/relay.h"
#include "feed/replica.h"
#include "feed/sources.h"
#include "platform/objects.h"
#include "platform/store_requests.h"
#include "store.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* After the store's restore from a copy VMs neither miss changes nor go back to older data. */

#define SEEDS 100
#define VMS 5
#define UPSTREAMS 8
#define STEP_MS 50
#define END_MS 46000
#define WRITE_MS 700        /* mean time between changes */
#define REWRITE_MS 2000     /* writers have written again this long after the store's return */
#define EXPIRY_MS 3000      /* entries of silent upstreams are removed, not sooner after a return */
#define SILENT_MAX_MS 6000  /* an upstream that does not reach the store */
#define IN_FORCE_MS 3000    /* from the store's confirmation until all VMs have it */
#define FOLLOW_MS 300       /* between two requests of a follower */
#define UNTIL_QUIET_MS 8000 /* time without changes before the end */
#define EVACUATION_SEEDS 200
#define EVACUATION_WRITE_MS 6000 /* mean time between writes of the evacuation */
#define AGAIN_MS 6000            /* the store is away again within this time after its return */
#define CALL_LOSS_PCT 70         /* most calls that degraded paths lose */

struct Upstream
{
  char name[16];
  uint32_t sequence;
  bool draining;
  bool ended;
  CfMillis confirmed_at; /* of draining or ended: when the store had it */
  CfMillis next_beat_at;
  CfMillis silent_since; /* -1: it reaches the store */
  CfMillis silent_until;
};

struct Vm
{
  struct CfReader readers[CF_FEED_KINDS];
  struct CfReplica replica;
  struct CfDirectory *directory;
  uint64_t version;     /* highest version of the manifest that it has had */
  CfMillis next_follow; /* INT64_MAX: it reads the store */
  CfMillis synced_at;   /* its data are the store's of this time */
  CfMillis era_at;      /* when it carried its records into its era */
  bool evacuated;       /* it held the evacuation after the last step */
};

struct Play
{
  GRand *random;
  struct TestStore *store;
  CfMillis now;
  CfMillis away_from;
  CfMillis away_until;
  CfMillis age;      /* of the copy that the store returns with, -1: it has lost nothing */
  CfMillis again_ms; /* from its return until it is away again */
  bool second_loses_nothing;
  bool restored;
  int restores_left; /* after the next one */
  uint64_t version;  /* of the operators' latest manifest */
  CfMillis version_at;
  bool evacuated;
  CfMillis evacuated_at;
  CfMillis operator_at; /* when the operators write next */
  int loss_pct;         /* calls that are lost, to the store and between VMs */
  uint64_t era;         /* of the store, when it was last looked at */
  CfMillis stored_at;   /* since when the store has had the evacuation, -1: it has not */
  bool withdrawn;       /* from the store, in its era */
  struct Upstream upstreams[UPSTREAMS];
  struct Vm vms[VMS];
};

static bool
is_away (const struct Play *play)
{
  return play->now >= play->away_from && play->now < play->away_until;
}

static bool
is_lost (struct Play *play)
{
  return g_rand_int_range (play->random, 0, 100) < play->loss_pct;
}

static CfMillis
random_ms (struct Play *play, CfMillis mean)
{
  return g_rand_int_range (play->random, STEP_MS, (gint32) mean * 2);
}

/* Writers. */

static void
announce (struct Play *play, struct Upstream *upstream)
{
  char *text;
  const char *held = test_store_get (play->store, CF_FEED_UPSTREAMS, upstream->name);
  const char *state = upstream->draining ? "draining" : "ready";

  upstream->sequence++;
  if (held && strstr (held, state))
    return;
  text = g_strdup_printf ("{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
                          "\"slots\":2,\"state\":\"%s\",\"sequence\":%u,\"born\":1}",
                          state, upstream->sequence);
  test_store_put (play->store, CF_FEED_UPSTREAMS, upstream->name, text, play->now);
  g_free (text);
}

/* Returns true if UPSTREAM does not reach the store, which removes its entry then. */
static bool
step_silence (struct Play *play, struct Upstream *upstream, bool settled)
{
  if (upstream->silent_since >= 0 && play->now >= upstream->silent_until)
    upstream->silent_since = -1;
  if (upstream->silent_since < 0)
    return false;
  if (settled && play->now - upstream->silent_since >= EXPIRY_MS)
    test_store_put (play->store, CF_FEED_UPSTREAMS, upstream->name, NULL, play->now);
  return true;
}

static void
step_upstream (struct Play *play, struct Upstream *upstream)
{
  bool settled = play->now >= play->away_until + EXPIRY_MS || play->now < play->away_from;
  bool quiet = play->now > END_MS - UNTIL_QUIET_MS;

  if (step_silence (play, upstream, settled) || play->now < upstream->next_beat_at)
    return;
  upstream->next_beat_at = play->now + 500 + random_ms (play, 250);
  if (upstream->ended)
    {
      if (settled)
        test_store_put (play->store, CF_FEED_UPSTREAMS, upstream->name, NULL, play->now);
      return;
    }
  if (upstream->draining && play->now - upstream->confirmed_at > 2 * IN_FORCE_MS)
    {
      upstream->ended = true;
      upstream->confirmed_at = play->now;
      test_store_put (play->store, CF_FEED_UPSTREAMS, upstream->name, NULL, play->now);
      return;
    }
  if (!quiet && !upstream->draining && g_rand_int_range (play->random, 0, 40) == 0)
    {
      upstream->draining = true;
      upstream->confirmed_at = play->now;
    }
  if (!quiet && !upstream->draining && g_rand_int_range (play->random, 0, 30) == 0)
    {
      upstream->silent_since = play->now;
      upstream->silent_until = play->now + random_ms (play, SILENT_MAX_MS / 2);
    }
  announce (play, upstream);
}

static void
put_manifest (struct Play *play)
{
  char *text = g_strdup_printf ("{\"version\":%u}", (guint) play->version);

  test_store_put (play->store, CF_FEED_MANIFEST, "main", text, play->now);
  g_free (text);
}

static void
step_operators (struct Play *play)
{
  if (play->now < play->operator_at)
    return;
  play->operator_at = play->now + random_ms (play, WRITE_MS);
  if (play->now > END_MS - UNTIL_QUIET_MS)
    ;
  else if (g_rand_int_range (play->random, 0, 3) > 0)
    {
      play->version += (uint64_t) g_rand_int_range (play->random, 1, 4);
      play->version_at = play->now;
    }
  else
    {
      play->evacuated = !play->evacuated;
      play->evacuated_at = play->now;
    }
  put_manifest (play);
  test_store_put (play->store, CF_FEED_EVACUATIONS, "a", play->evacuated ? "{}" : NULL, play->now);
}

static void
step_store (struct Play *play)
{
  if (!play->restored && play->now >= play->away_until)
    {
      play->restored = true;
      if (play->age >= 0)
        test_store_restore (play->store, play->away_from - play->age);
    }
  if (!play->restored || play->restores_left == 0 || play->now < play->away_until + play->again_ms)
    return;
  play->restores_left--;
  play->restored = false;
  play->away_from = play->now + g_rand_int_range (play->random, 0, 3000);
  play->away_until = play->away_from + g_rand_int_range (play->random, 200, 3000);
  play->age = g_rand_int_range (play->random, 500, 9000);
}

static void
step_writers (struct Play *play)
{
  bool restored = play->restored;

  step_store (play);
  if (play->restored && !restored)
    play->operator_at = play->now + random_ms (play, REWRITE_MS / 2);
  if (is_away (play))
    return;
  step_operators (play);
  for (int i = 0; i < UPSTREAMS; i++)
    step_upstream (play, &play->upstreams[i]);
}

/* VMs. */

static void
pass_on (struct Vm *vm, enum CfFeedKind kind, GPtrArray *changes, bool trusted, CfMillis now)
{
  for (guint i = 0; i < changes->len; i++)
    {
      const struct CfRecord *record = changes->pdata[i];
      struct CfAnnouncement announcement;
      unsigned version;

      if (kind == CF_FEED_MANIFEST && !record->deleted
          && sscanf (record->text, "{\"version\":%u", &version) == 1)
        vm->version = MAX (vm->version, version);
      if (kind != CF_FEED_UPSTREAMS)
        continue;
      if (record->deleted)
        cf_directory_withdraw (vm->directory, record->name, trusted, now);
      else if (cf_platform_read_announcement (record, &announcement, NULL))
        {
          cf_directory_announce (vm->directory, &announcement, now);
          cf_platform_announcement_clear (&announcement);
        }
    }
  g_ptr_array_unref (changes);
}

static void
apply (struct Vm *vm,
       enum CfFeedKind kind,
       GPtrArray *records,
       uint64_t revision,
       bool whole,
       bool trusted,
       CfMillis now)
{
  for (guint i = 0; i < records->len; i++)
    cf_platform_read_order (kind, records->pdata[i]);
  pass_on (vm, kind, cf_replica_apply (&vm->replica, kind, records, revision, whole), trusted, now);
}

static void
learn_era (struct Vm *vm, uint64_t era, CfMillis now)
{
  if (era <= vm->replica.era)
    return;
  vm->era_at = now;
  cf_replica_enter_era (&vm->replica, era, now);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    cf_reader_enter_era (&vm->readers[kind], era, now);
}

/* Ends what VM carries, by its own data or, if SETTLED, those of the VM that it follows. */
static void
end_carry (struct Vm *vm, bool settled, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    pass_on (
        vm, (enum CfFeedKind) kind,
        cf_replica_end_carry (&vm->replica, (enum CfFeedKind) kind, vm->synced_at, settled, now),
        true, now);
  if (settled)
    cf_directory_expire_lapsed (vm->directory, now);
}

static bool
is_settled (const struct Vm *vm, CfMillis now)
{
  for (int kind = 0; kind < CF_FEED_VMS; kind++)
    if (!cf_reader_trusted (&vm->readers[kind], now))
      return false;
  return true;
}

/* Returns when the store last answered VM for every kind, -1: never in this era. */
static CfMillis
all_answered_at (const struct Vm *vm)
{
  CfMillis oldest = G_MAXINT64;

  for (int kind = 0; kind < CF_FEED_VMS; kind++)
    oldest = MIN (oldest, vm->readers[kind].answered_at);
  return oldest;
}

static void
read_kind (struct Play *play, struct Vm *vm, enum CfFeedKind kind)
{
  struct CfReader *reader = &vm->readers[kind];
  struct CfFeedResponse response = { 0 };
  enum CfReadOutcome outcome = CF_READ_ANSWERED;
  bool listing;
  bool whole;

  cf_reader_skip_to (reader, vm->replica.revision[kind]);
  if (!cf_reader_start_due (reader, play->now))
    return;
  listing = !reader->listed;
  if (is_away (play) || is_lost (play))
    outcome = CF_READ_NO_ANSWER;
  else if (listing)
    test_store_list (play->store, kind, NULL, G_MAXUINT, &response);
  else if (!test_store_watch (play->store, kind, reader->revision, &response))
    outcome = CF_READ_HISTORY_GONE;
  outcome = cf_reader_outcome (reader, outcome, response.era);
  learn_era (vm, response.era, play->now);
  whole = cf_reader_handle_outcome (reader, outcome, &response, play->now, play->random);
  if (outcome == CF_READ_ANSWERED)
    {
      ck_assert_ptr_nonnull (response.records);
      apply (vm, kind, response.records, reader->revision, whole,
             cf_reader_trusted (reader, play->now), play->now);
      vm->synced_at = MAX (vm->synced_at, all_answered_at (vm));
      end_carry (vm, is_settled (vm, play->now), play->now);
    }
  cf_feed_response_clear (&response);
}

static void
follow (struct Play *play, struct Vm *vm, const struct Vm *source)
{
  struct CfFeedPosition position = { .era = vm->replica.era };
  struct CfRelayCache cache = { 0 };
  struct CfRelayUpdate update;
  struct CfUpdateOrigin origin = {
    .age = play->now - source->synced_at,
    .settled = is_settled (source, play->now),
  };
  GBytes *bytes;
  gsize len;
  const void *data;

  if (source->replica.era < vm->replica.era || is_lost (play))
    return;
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    position.revision[kind] = vm->replica.revision[kind];
  bytes = cf_relay_encode (&cache, &source->replica, &position, &origin);
  data = g_bytes_get_data (bytes, &len);
  ck_assert (cf_relay_decode (data, len, &update));
  learn_era (vm, source->replica.era, play->now);
  for (int kind = 0; kind < CF_FEED_KINDS; kind++)
    {
      const struct feed_part *part = &update.parts.parts.parts_val[kind];
      GPtrArray *records = cf_relay_records (part);

      if (part->revision > 0)
        apply (vm, (enum CfFeedKind) kind, records, part->revision, part->whole, origin.settled,
               play->now);
      g_ptr_array_unref (records);
    }
  vm->synced_at = MAX (vm->synced_at, source->synced_at);
  end_carry (vm, origin.settled, play->now);
  cf_relay_clear (&update);
  cf_relay_cache_clear (&cache);
  g_bytes_unref (bytes);
}

/* The first VM reads the store.  Others follow it or each other; one whose data are old reads the
 * store, as it does after the store was away. */
static void
step_vm (struct Play *play, int index)
{
  struct Vm *vm = &play->vms[index];
  int source = g_rand_boolean (play->random) ? 0 : g_rand_int_range (play->random, 0, VMS);

  if (index == 0 || play->now - vm->synced_at > 2000)
    for (int kind = 0; kind < CF_FEED_VMS; kind++)
      read_kind (play, vm, (enum CfFeedKind) kind);
  if (index == 0 || play->now < vm->next_follow || source == index)
    return;
  vm->next_follow = play->now + FOLLOW_MS;
  follow (play, vm, &play->vms[source]);
}

/* Checks. */

static uint64_t
held_version (const struct Vm *vm)
{
  const struct CfRecord *record
      = g_hash_table_lookup (vm->replica.records[CF_FEED_MANIFEST], "main");
  unsigned version = 0;

  if (record && !record->deleted)
    sscanf (record->text, "{\"version\":%u", &version);
  return version;
}

static bool
holds_evacuation (const struct Vm *vm)
{
  const struct CfRecord *record
      = g_hash_table_lookup (vm->replica.records[CF_FEED_EVACUATIONS], "a");

  return record && !record->deleted;
}

/* Returns true if the store is away, or its writers may not have written again since. */
static bool
is_unsettled (const struct Play *play)
{
  return play->now >= play->away_from && play->now < play->away_until + REWRITE_MS + IN_FORCE_MS;
}

/* Returns true if what was confirmed at AT has to be in force.  What the store lost is due once it
 * has been written again; what a VM had before the store was away stays in force all the while. */
static bool
is_due (const struct Play *play, CfMillis at)
{
  if (is_unsettled (play))
    return at < play->away_from - IN_FORCE_MS;
  return play->now - at > IN_FORCE_MS;
}

static void
check_vm (const struct Play *play, int index)
{
  const struct Vm *vm = &play->vms[index];

  ck_assert_msg (held_version (vm) == vm->version,
                 "%lld ms, vm %d: back from manifest %llu to %llu", (long long) play->now, index,
                 (unsigned long long) vm->version, (unsigned long long) held_version (vm));
  if (is_due (play, play->version_at))
    ck_assert_msg (vm->version == play->version, "%lld ms, vm %d: manifest %llu, confirmed %llu",
                   (long long) play->now, index, (unsigned long long) vm->version,
                   (unsigned long long) play->version);
  if (play->evacuated && is_due (play, play->evacuated_at))
    ck_assert_msg (holds_evacuation (vm), "%lld ms, vm %d: no evacuation", (long long) play->now,
                   index);
  if (!play->evacuated && is_due (play, play->evacuated_at) && !is_unsettled (play))
    ck_assert_msg (!holds_evacuation (vm), "%lld ms, vm %d: evacuated", (long long) play->now,
                   index);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      const struct Upstream *upstream = &play->upstreams[i];
      const struct CfTarget *target = cf_directory_by_id (vm->directory, upstream->name);

      if (upstream->draining && is_due (play, upstream->confirmed_at))
        ck_assert_msg (!target || target->state == CF_TARGET_LEAVING
                           || target->state == CF_TARGET_GONE,
                       "%lld ms, vm %d: %s is %s", (long long) play->now, index, upstream->name,
                       cf_target_state_name (target->state));
    }
}

/* Nothing has changed for a while: every VM has what the store has. */
static void
check_end (const struct Play *play, int index)
{
  const struct Vm *vm = &play->vms[index];

  ck_assert_uint_eq (vm->version, play->version);
  ck_assert_int_eq (holds_evacuation (vm), play->evacuated);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      const struct Upstream *upstream = &play->upstreams[i];
      const struct CfTarget *target = cf_directory_by_id (vm->directory, upstream->name);

      if (!upstream->draining)
        ck_assert_msg (target && target->state == CF_TARGET_READY, "vm %d: %s is %s", index,
                       upstream->name, target ? cf_target_state_name (target->state) : "missing");
    }
}

static void
begin (struct Play *play, int seed)
{
  play->random = g_rand_new_with_seed ((guint32) seed);
  play->store = test_store_new ();
  play->version = 1;
  put_manifest (play);
  play->away_from = g_rand_int_range (play->random, 12000, 18000);
  play->away_until = play->away_from + g_rand_int_range (play->random, 200, 4000);
  play->age = g_rand_int_range (play->random, 500, 11000);
  play->restores_left = seed % 2;
  play->again_ms = REWRITE_MS + IN_FORCE_MS;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      g_snprintf (play->upstreams[i].name, sizeof play->upstreams[i].name, "i-%d", i + 1);
      play->upstreams[i].silent_since = -1;
    }
  for (int i = 0; i < VMS; i++)
    {
      struct Vm *vm = &play->vms[i];

      cf_replica_init (&vm->replica);
      vm->directory = cf_directory_new ();
      for (int kind = 0; kind < CF_FEED_KINDS; kind++)
        cf_reader_init (&vm->readers[kind], (enum CfFeedKind) kind, 0);
    }
}

static void
end (struct Play *play)
{
  for (int i = 0; i < VMS; i++)
    {
      for (int kind = 0; kind < CF_FEED_KINDS; kind++)
        cf_reader_clear (&play->vms[i].readers[kind]);
      cf_replica_clear (&play->vms[i].replica);
      cf_directory_free (play->vms[i].directory);
    }
  test_store_free (play->store);
  g_rand_free (play->random);
}

/* The operators write an evacuation that the copy lacks, and the store may be away again while the
 * VMs carry it. */
static void
begin_evacuation (struct Play *play, int seed)
{
  begin (play, seed);
  play->loss_pct = g_rand_int_range (play->random, 0, CALL_LOSS_PCT + 1);
  play->age = g_rand_int_range (play->random, IN_FORCE_MS, 2 * IN_FORCE_MS);
  play->operator_at = play->away_from - g_rand_int_range (play->random, STEP_MS, IN_FORCE_MS);
  play->again_ms = g_rand_int_range (play->random, 0, AGAIN_MS);
  play->second_loses_nothing = g_rand_boolean (play->random);
}

static void
step_evacuation (struct Play *play)
{
  const char *held;

  step_store (play);
  if (play->second_loses_nothing && play->era > 1)
    play->age = -1;
  if (play->era != test_store_era (play->store))
    {
      play->era = test_store_era (play->store);
      play->stored_at = test_store_get (play->store, CF_FEED_EVACUATIONS, "a") ? play->now : -1;
      play->withdrawn = false;
    }
  if (is_away (play))
    return;
  for (int i = 0; i < UPSTREAMS; i++)
    step_upstream (play, &play->upstreams[i]);
  if (play->now < play->operator_at)
    return;
  play->operator_at = play->now + random_ms (play, EVACUATION_WRITE_MS);
  held = test_store_get (play->store, CF_FEED_EVACUATIONS, "a");
  if (!test_store_put (play->store, CF_FEED_EVACUATIONS, "a", held ? NULL : "{}", play->now))
    return;
  play->withdrawn = play->withdrawn || held;
  play->stored_at = held ? -1 : play->now;
}

static void
check_evacuation (struct Play *play, int index)
{
  struct Vm *vm = &play->vms[index];
  const struct CfRecord *record
      = g_hash_table_lookup (vm->replica.records[CF_FEED_EVACUATIONS], "a");
  bool evacuated = holds_evacuation (vm);
  CfMillis carried = play->now - vm->era_at;

  if (evacuated && cf_replica_is_carried (&vm->replica, record)
      && play->now - vm->synced_at <= CF_SOURCES_STALE_MAX_MS)
    ck_assert_msg (carried <= CF_REPLICA_CARRY_EVACUATIONS_MS + CF_SOURCES_STALE_MAX_MS,
                   "%lld ms, vm %d: carried for %lld ms", (long long) play->now, index,
                   (long long) carried);
  if (!evacuated && vm->evacuated && !play->withdrawn)
    {
      ck_assert_msg (carried >= CF_REPLICA_CARRY_EVACUATIONS_MS,
                     "%lld ms, vm %d: carried for %lld ms only", (long long) play->now, index,
                     (long long) carried);
      ck_assert_msg (play->stored_at < 0
                         || play->stored_at > vm->era_at + CF_REPLICA_CARRY_EVACUATIONS_MS,
                     "%lld ms, vm %d: dropped, though written again at %lld ms",
                     (long long) play->now, index, (long long) play->stored_at);
    }
  if (play->era == vm->replica.era && play->stored_at >= 0 && play->stored_at <= vm->synced_at)
    ck_assert_msg (evacuated, "%lld ms, vm %d: no evacuation, which the store has",
                   (long long) play->now, index);
  vm->evacuated = evacuated;
}

/* The store is restored without an evacuation, and VMs lose calls to it and to each other all the
 * while: they carried it until no call had failed for 2.5 s.  Nor may a VM give it up before its
 * time, or when the store has it again. */
START_TEST (test_lost_evacuation_is_carried_for_3_s)
{
  struct Play play = { 0 };

  begin_evacuation (&play, _i);
  for (play.now = STEP_MS; play.now < END_MS; play.now += STEP_MS)
    {
      step_evacuation (&play);
      for (int i = 0; i < VMS; i++)
        {
          step_vm (&play, i);
          check_evacuation (&play, i);
        }
    }
  end (&play);
}
END_TEST

START_TEST (test_changes_after_restore_are_in_force)
{
  struct Play play = { 0 };

  begin (&play, _i);
  for (play.now = STEP_MS; play.now < END_MS; play.now += STEP_MS)
    {
      step_writers (&play);
      for (int i = 0; i < VMS; i++)
        step_vm (&play, i);
      for (int i = 0; i < VMS; i++)
        check_vm (&play, i);
    }
  for (int i = 0; i < VMS; i++)
    check_end (&play, i);
  end (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("restored_store");

  suite_add_loop (suite, test_changes_after_restore_are_in_force, SEEDS);
  suite_add_loop (suite, test_lost_evacuation_is_carried_for_3_s, EVACUATION_SEEDS);
  return suite_run (suite);
}
