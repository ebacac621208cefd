#include "feed_play.h"
#include "suite.h"

/* Records that a VM carries into a new era of the store. */

/* The store has the record NAME (NULL: none) of KIND alone, at REVISION. */
static void
list (struct FeedTask *task, enum CfFeedKind kind, const char *name, uint64_t revision)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);

  if (name)
    g_ptr_array_add (records, cf_record_new (name, revision, false, "{}"));
  task->feed.calls->apply (task->feed.context, kind, records, revision, true, true);
  g_ptr_array_unref (records);
}

/* This VM, or the one that it follows, went on losing calls to the store: it carried an evacuation
 * that the store lacked for as long, and flows were refused when other domains were evacuated.  An
 * announcement may be about to be renewed. */
START_TEST (test_failing_calls_do_not_prolong_evacuation)
{
  struct FeedPlay play;
  struct FeedTask *task;
  CfMillis end;

  feed_play_prepare (&play, g_strdup ("127.0.0.1:1"));
  task = play.task;
  task->feed.calls->learn_era (task->feed.context, "vm-1", 1);
  list (task, CF_FEED_MANIFEST, "main", 20);
  list (task, CF_FEED_EVACUATIONS, "a", 20);
  list (task, CF_FEED_UPSTREAMS, "i-1", 20);
  task->feed.calls->learn_era (task->feed.context, "vm-1", 2);
  list (task, CF_FEED_EVACUATIONS, NULL, 15);
  list (task, CF_FEED_UPSTREAMS, NULL, 15);
  task->replica.carry_since -= CF_REPLICA_CARRY_SUPERSEDING_MS;
  end = task->replica.carry_since + CF_REPLICA_CARRY_EVACUATIONS_MS;
  task->feed.calls->set_synced_at (task->feed.context, "vm-1", end - 1, false);
  ck_assert_uint_eq (cf_replica_count (&task->replica, CF_FEED_EVACUATIONS), 1);
  task->feed.calls->set_synced_at (task->feed.context, "vm-1", end, false);
  ck_assert_uint_eq (cf_replica_count (&task->replica, CF_FEED_EVACUATIONS), 0);
  ck_assert_uint_eq (cf_replica_count (&task->replica, CF_FEED_UPSTREAMS), 1);
  task->feed.calls->set_synced_at (task->feed.context, "vm-1", end + 1, true);
  ck_assert_uint_eq (cf_replica_count (&task->replica, CF_FEED_UPSTREAMS), 0);
  feed_play_stop (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed carry");

  cf_task_register_types ();
  suite_add_loop (suite, test_failing_calls_do_not_prolong_evacuation, 1);
  return suite_run (suite);
}
