#include "feed_play.h"
#include "feed/names.h"
#include "balancer/datapath_internal.h"
#include "suite.h"

/* Names from records are kept for good: what other writers make up must not make a VM grow. */

#define MANIFEST                                                                                   \
  "{\"version\":2,\"routes\":[{\"host\":\"198.18.0.1\",\"path-prefix\":\"/80/\","                  \
  "\"service\":\"listed-late\"}]}"

/* A VM whose datapath task runs on the test's thread, too. */
struct Play
{
  struct FeedPlay feed;
  struct DatapathTask *datapath;
  uint64_t revision;
};

static void
start (struct Play *play)
{
  *play = (struct Play){ .revision = 0 };
  feed_play_prepare (&play->feed, g_strdup ("127.0.0.1:1"));
  play->datapath = play->feed.balancer.datapath.data;
}

static void
stop (struct Play *play)
{
  feed_play_stop (&play->feed);
}

static void
apply (struct Play *play, enum CfFeedKind kind, const char *name, char *text)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (cf_record_free);

  g_ptr_array_add (records, cf_record_new (name, ++play->revision, false, text));
  cf_feed_calls.apply (play->feed.task, kind, records, play->revision, false, true);
  while (g_main_context_iteration (play->feed.balancer.datapath.context, FALSE))
    ;
  g_ptr_array_unref (records);
  g_free (text);
}

static void
announce (struct Play *play, const char *id, const char *service, const char *zone)
{
  apply (play, CF_FEED_UPSTREAMS, id,
         g_strdup_printf ("{\"service\":\"%s\",\"zone\":\"%s\",\"address\":\"10.0.0.1:80\","
                          "\"state\":\"ready\",\"slots\":2}",
                          service, zone));
}

/* Announces an upstream COUNT times, with another name of KIND each. */
static void
announce_many (struct Play *play, enum CfNameKind kind, int count)
{
  for (int i = 0; i < count; i++)
    {
      char *name = g_strdup_printf ("made-up-%d", i);

      announce (play, "i-1", kind == CF_NAME_SERVICE ? name : "early",
                kind == CF_NAME_DOMAIN ? name : "a");
      g_free (name);
    }
}

static const struct CfTarget *
find (const struct Play *play, const char *id)
{
  const struct CfTarget *target
      = cf_directory_by_id (cf_balance_directory (play->datapath->balance), id);

  return target && target->state == CF_TARGET_READY ? target : NULL;
}

/* Each new name of a service or failure domain was kept, without a bound. */
START_TEST (test_made_up_names_are_bounded)
{
  struct Play play;

  start (&play);
  announce (&play, "i-2", "early", "a");
  announce_many (&play, (enum CfNameKind) _i, CF_NAMES_MAX + 1);
  ck_assert (g_quark_try_string ("made-up-9"));
  ck_assert (!g_quark_try_string ("made-up-1024"));
  ck_assert (!find (&play, "i-1"));
  ck_assert (find (&play, "i-2"));
  announce (&play, "i-3", "early", "a");
  ck_assert (find (&play, "i-3"));
  if (_i == CF_NAME_DOMAIN)
    {
      apply (&play, CF_FEED_EVACUATIONS, "evacuated", g_strdup ("{}"));
      ck_assert (!g_quark_try_string ("evacuated"));
    }
  stop (&play);
}
END_TEST

/* The names of a manifest count, whatever others have made up, also for what was read before. */
START_TEST (test_manifest_names_fit)
{
  struct Play play;

  start (&play);
  announce (&play, "i-2", "early", "a");
  announce_many (&play, CF_NAME_SERVICE, CF_NAMES_MAX + 1);
  announce (&play, "i-3", "listed-late", "a");
  ck_assert (!find (&play, "i-3"));
  apply (&play, CF_FEED_MANIFEST, "main", g_strdup (MANIFEST));
  ck_assert (find (&play, "i-3"));
  ck_assert (find (&play, "i-2"));
  stop (&play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("feed names");

  cf_task_register_types ();
  suite_add_loop (suite, test_made_up_names_are_bounded, CF_NAME_KINDS);
  suite_add_loop (suite, test_manifest_names_fit, 1);
  return suite_run (suite);
}
