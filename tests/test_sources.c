#include "feed/gossip.h"
#include "feed/rotation.h"
#include "feed/sources.h"
#include "suite.h"

/* The choice of a VM's source, when a VM may leave the rotation, and datagrams between VMs. */

static void
add_vm (struct CfSources *sources, const char *name, const char *domain, double link_mbps)
{
  struct CfVmRecord vm = {
    .ip = name, /* not parsed by the code under test */
    .domain = domain,
    .region = "r",
    .link_mbps = link_mbps,
  };

  cf_sources_set (sources, name, &vm);
}

static struct CfSources *
fleet (const char *name, const char *domain)
{
  struct CfSources *sources = cf_sources_new (name, domain, "r");

  add_vm (sources, "a1", "a", 10);
  add_vm (sources, "a2", "a", 200);
  add_vm (sources, "a3", "a", 10);
  add_vm (sources, "b1", "b", 10);
  add_vm (sources, "b2", "b", 10);
  return sources;
}

static const char *
chosen (struct CfSources *sources, CfMillis now)
{
  const struct CfSource *source = cf_sources_choose (sources, now);

  return source->name ? source->name : "store";
}

/* One VM of the region reads the store: the one with the widest link in the first domain. */
START_TEST (test_order)
{
  static const char *const expected[][3] = {
    { "a2", "a", "store" }, { "a1", "a", "a2" }, { "a3", "a", "a2" },
    { "b1", "b", "a2" },    { "b2", "b", "b1" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (expected); i++)
    {
      struct CfSources *sources = fleet (expected[i][0], expected[i][1]);

      ck_assert_str_eq (chosen (sources, 1000), expected[i][2]);
      cf_sources_free (sources);
    }
}
END_TEST

START_TEST (test_takeover)
{
  struct CfSources *sources = fleet ("b1", "b");
  CfMillis now = 10000;

  ck_assert_str_eq (chosen (sources, now), "a2");
  cf_sources_failed (sources, "a2", now);
  ck_assert_str_eq (chosen (sources, now), "a1");
  cf_sources_failed (sources, "a1", now);
  ck_assert_str_eq (chosen (sources, now), "store");
  /* The store does not serve this VM either, so it asks a VM after it in the order. */
  cf_sources_failed (sources, NULL, now);
  ck_assert_str_eq (chosen (sources, now), "b2");
  /* After the retry delay the order applies again. */
  ck_assert_str_eq (chosen (sources, now + CF_SOURCES_RETRY_MIN_MS), "a2");
  cf_sources_free (sources);
}
END_TEST

/* When the store rejected the first VMs, the others tried one stale source after the other, for
 * a second each. */
START_TEST (test_stale_asks_store)
{
  struct CfSources *sources = fleet ("b2", "b");
  struct CfSources *first = fleet ("b1", "b");
  CfMillis now = 10000;
  struct CfStoreUseInput input = { .synced_at = now, .probed_at = -1 };

  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_NONE);
  now += CF_SOURCES_STALE_FIRST_MS;
  /* The first of a domain asks before those that follow it. */
  ck_assert_int_eq (cf_sources_store_use (first, &input, now), CF_STORE_USE_PROBE);
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_NONE);
  now = 10000 + CF_SOURCES_STALE_FIRST_MS + CF_SOURCES_STALE_STEP_MS;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_PROBE);
  /* The store responds: the source may catch up in a moment, otherwise this VM reads. */
  input.probed_at = now;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_NONE);
  now += CF_SOURCES_CATCH_UP_MS;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_READ);
  /* Slightly newer data from the source that is still too old changes nothing: the store is known
   * to respond. */
  input.synced_at += 100;
  now += 100;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_READ);
  input.synced_at -= 100;
  now -= 100;
  /* Together this takes less than the 3 s within which a change has to be in force. */
  ck_assert_int_lt (now - 10000, 2800);
  input.synced_at = now;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_NONE);
  /* A drain took effect 43 ms too late: the store did not answer the first VMs, and no other VM
   * went on reading once it had caught up. */
  input.read_until = now + CF_SOURCES_READ_MIN_MS;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now + 100), CF_STORE_USE_READ);
  ck_assert_int_eq (
      cf_sources_store_use (sources, &input,
                            now + CF_SOURCES_STALE_FIRST_MS + CF_SOURCES_STALE_STEP_MS - 1),
      CF_STORE_USE_READ);
  input.read_until = 0;
  input.reader = true;
  ck_assert_int_eq (cf_sources_store_use (sources, &input, now), CF_STORE_USE_READ);
  cf_sources_free (first);
  cf_sources_free (sources);
}
END_TEST

/* After an outage of 3.5 s, 85 followers went on reading for 8 s, in 2,107 calls, although one
 * VM read for all of them. */
START_TEST (test_reader_precedence)
{
  struct CfSources *sources = fleet ("a1", "a");

  ck_assert (cf_sources_precedes (sources, "a2"));
  /* Of VMs that read at the same time, the first goes on. */
  ck_assert (!cf_sources_precedes (sources, "a1"));
  ck_assert (!cf_sources_precedes (sources, "a3"));
  ck_assert (!cf_sources_precedes (sources, "b1"));
  ck_assert (!cf_sources_precedes (sources, "unheard-of"));
  cf_sources_free (sources);
  sources = fleet ("b2", "b");
  ck_assert (cf_sources_precedes (sources, "a3"));
  ck_assert (cf_sources_precedes (sources, "b1"));
  cf_sources_free (sources);
  /* One that is not listed yet comes last in its domain. */
  sources = fleet ("b0", "b");
  ck_assert (cf_sources_precedes (sources, "b2"));
  cf_sources_free (sources);
}
END_TEST

/* A VM without data asks at once, whatever its place in the order. */
START_TEST (test_start_asks_store)
{
  struct CfSources *sources = fleet ("b2", "b");
  struct CfStoreUseInput input = { .empty = true, .synced_at = -1, .probed_at = -1 };

  ck_assert_int_eq (cf_sources_store_use (sources, &input, 500), CF_STORE_USE_READ);
  cf_sources_free (sources);
}
END_TEST

/* A reader that the store does not answer asks other VMs meanwhile. */
START_TEST (test_reader_fallback)
{
  struct CfSources *sources = fleet ("a2", "a");
  struct CfSources *alone = cf_sources_new ("a1", "a", "r");
  CfMillis now = 10000;

  ck_assert_str_eq (chosen (sources, now), "store");
  ck_assert_str_eq (cf_sources_choose_vm (sources, now)->name, "b1");
  cf_sources_failed (sources, "b1", now);
  ck_assert_str_eq (cf_sources_choose_vm (sources, now)->name, "b2");
  ck_assert_ptr_null (cf_sources_choose_vm (alone, now));
  cf_sources_free (alone);
  cf_sources_free (sources);
}
END_TEST

/* A call outlives the VM that it asks, and the VM returns under its name before the call ends. */
START_TEST (test_outcome_of_removed_source)
{
  struct CfSources *sources = fleet ("a1", "a");
  CfMillis now = 10000;

  cf_sources_set (sources, "a2", NULL);
  cf_sources_failed (sources, "a2", now);
  cf_sources_answered (sources, "a2");
  ck_assert_str_eq (chosen (sources, now), "store");
  add_vm (sources, "a2", "a", 200);
  ck_assert_str_eq (chosen (sources, now), "a2");
  cf_sources_failed (sources, "a2", now);
  ck_assert_str_eq (chosen (sources, now), "store");
  cf_sources_free (sources);
}
END_TEST

START_TEST (test_concurrent_failures)
{
  struct CfSources *sources = fleet ("a2", "a");
  CfMillis until = 1000 + CF_SOURCES_RETRY_MIN_MS;

  for (int i = 0; i < 4; i++)
    cf_sources_failed (sources, NULL, 1000);
  ck_assert_str_eq (chosen (sources, until - 1), "b1");
  ck_assert_str_eq (chosen (sources, until), "store");
  cf_sources_failed (sources, NULL, 3000);
  until = 3000 + 2 * CF_SOURCES_RETRY_MIN_MS;
  ck_assert_str_eq (chosen (sources, until - 1), "b1");
  ck_assert_str_eq (chosen (sources, until), "store");
  cf_sources_answered (sources, NULL);
  ck_assert_str_eq (chosen (sources, 3000), "store");
  cf_sources_free (sources);
}
END_TEST

START_TEST (test_seeds)
{
  struct CfSources *sources = cf_sources_new ("a1", "a", "r");
  char *seeds[] = { (char *) "10.0.0.1", (char *) "10.0.0.2", NULL };
  const struct CfSource *seed;
  GPtrArray *ips;

  ck_assert_ptr_null (cf_sources_choose_seed (sources, 0));
  cf_sources_seed (sources, seeds);
  seed = cf_sources_choose_seed (sources, 0);
  ck_assert_str_eq (seed->ip, "10.0.0.1");
  cf_sources_failed (sources, seed->name, 0);
  ck_assert_str_eq (cf_sources_choose_seed (sources, 0)->ip, "10.0.0.2");
  ips = cf_sources_ips (sources);
  ck_assert_uint_eq (ips->len, 2);
  g_ptr_array_unref (ips);
  cf_sources_free (sources);
}
END_TEST

/* In a large fleet one VM reads the store, no VM has more followers than the limit, and all
 * others are at most a few steps from the store. */
START_TEST (test_tree)
{
  GHashTable *followed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTable *followers = g_hash_table_new (g_str_hash, g_str_equal);
  const int vms = 400;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (int self = 0; self < vms; self++)
    {
      struct CfSources *sources;
      char name[16];

      g_snprintf (name, sizeof name, "vm-%d", self);
      sources = cf_sources_new (name, "a", "r");
      for (int i = 0; i < vms; i++)
        {
          char other[16];

          g_snprintf (other, sizeof other, "vm-%d", i);
          add_vm (sources, other, "a", i % 7);
        }
      g_hash_table_insert (followed, g_strdup (name), g_strdup (chosen (sources, 0)));
      ck_assert_int_le (cf_sources_stale_ms (sources), CF_SOURCES_STALE_MAX_MS);
      cf_sources_free (sources);
    }
  g_hash_table_iter_init (&iter, followed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      guint steps = 1;

      g_hash_table_insert (
          followers, value,
          GUINT_TO_POINTER (GPOINTER_TO_UINT (g_hash_table_lookup (followers, value)) + 1));
      for (const char *at = value; strcmp (at, "store") != 0; steps++)
        at = g_hash_table_lookup (followed, at);
      ck_assert_uint_le (steps, 4);
    }
  g_hash_table_iter_init (&iter, followers);
  while (g_hash_table_iter_next (&iter, &key, &value))
    ck_assert_uint_le (GPOINTER_TO_UINT (value),
                       strcmp (key, "store") == 0 ? 1 : CF_SOURCES_FOLLOWERS_MAX);
  g_hash_table_unref (followers);
  g_hash_table_unref (followed);
}
END_TEST

/* Records of VMs that were replaced under new names would accumulate in the store. */
START_TEST (test_expired)
{
  struct CfSources *sources = cf_sources_new ("a1", "a", "r");
  const int64_t now_s = 1800000000;
  struct CfVmRecord vm = {
    .ip = "10.0.0.1",
    .domain = "a",
    .region = "r",
    .hour = cf_sources_hour ("a1", now_s) - 100,
  };

  /* A VM never deletes its own record. */
  cf_sources_set (sources, "a1", &vm);
  ck_assert_ptr_null (cf_sources_expired (sources, now_s));
  vm.hour = cf_sources_hour ("a2", now_s);
  cf_sources_set (sources, "a2", &vm);
  ck_assert_ptr_null (cf_sources_expired (sources, now_s));
  /* The clocks of both VMs may be wrong. */
  ck_assert_ptr_null (cf_sources_expired (sources, now_s + 4 * 3600));
  ck_assert_ptr_null (cf_sources_expired (sources, now_s - 10 * 3600));
  ck_assert_str_eq (cf_sources_expired (sources, now_s + 6 * 3600)->name, "a2");
  cf_sources_free (sources);
}
END_TEST

/* One VM reads what another wrote.  A reader once parsed each record as one without an hour, and
 * deleted it as expired. */
START_TEST (test_vm_record)
{
  struct CfVmRecord vm = {
    .ip = "10.0.0.1",
    .domain = "a",
    .region = "r",
    .link_mbps = 200,
    .hour = cf_sources_hour ("a2", 1800000000),
  };
  struct CfSources *sources = cf_sources_new ("a1", "a", "r");
  char *content = cf_vm_record_format (&vm);
  struct CfVmRecord copy;
  struct CfVmRecordHolder *holder = cf_vm_record_parse (content, &copy);
  GPtrArray *ips;

  ck_assert_ptr_nonnull (holder);
  cf_sources_set (sources, "a2", &copy);
  ck_assert_ptr_null (cf_sources_expired (sources, 1800000000));
  ips = cf_sources_ips (sources);
  ck_assert_uint_eq (ips->len, 1);
  ck_assert_str_eq (ips->pdata[0], "10.0.0.1");
  g_ptr_array_unref (ips);
  ck_assert (cf_vm_record_equal (content, content));
  cf_vm_record_release (holder);
  g_free (content);
  ck_assert_ptr_null (cf_vm_record_parse (NULL, &copy));
  ck_assert_ptr_null (cf_vm_record_parse ("null", &copy));
  ck_assert_ptr_null (cf_vm_record_parse (
      "{\"address\":\"10.0.0.1\",\"domain\":\"a\",\"region\":\"r\",\"link_mbps\":1}", &copy));
  cf_sources_free (sources);
}
END_TEST

START_TEST (test_rotation)
{
  struct CfRotation rotation;
  CfMillis now = 1000;

  cf_rotation_init (&rotation);
  ck_assert (cf_rotation_may_leave (&rotation, 1, now));
  ck_assert (cf_rotation_may_leave (&rotation, 2, now));
  ck_assert (cf_rotation_may_leave (&rotation, 3, now));
  cf_rotation_update (&rotation, "vm-1", true, now);
  /* Of three VMs one may be out of rotation, of five two. */
  ck_assert (!cf_rotation_may_leave (&rotation, 2, now));
  ck_assert (!cf_rotation_may_leave (&rotation, 3, now));
  ck_assert (cf_rotation_may_leave (&rotation, 5, now));
  cf_rotation_update (&rotation, "vm-2", true, now);
  ck_assert (!cf_rotation_may_leave (&rotation, 5, now));
  /* A VM that has returned counts as in rotation after a short time. */
  cf_rotation_update (&rotation, "vm-1", false, now);
  ck_assert (!cf_rotation_may_leave (&rotation, 5, now));
  ck_assert (cf_rotation_may_leave (&rotation, 5, now + CF_ROTATION_RETURN_MS));
  /* One that never returns is not waited for. */
  ck_assert (cf_rotation_may_leave (&rotation, 3, now + CF_ROTATION_ABSENT_MS));
  cf_rotation_clear (&rotation);
}
END_TEST

/* VMs are replaced under new names: each that had left was remembered for good. */
START_TEST (test_rotation_forgets)
{
  struct CfRotation rotation;
  CfMillis now = 1000;
  char name[16];

  cf_rotation_init (&rotation);
  for (int i = 0; i < 1000; i++, now += CF_MS_PER_S)
    {
      g_snprintf (name, sizeof name, "vm-%d", i);
      cf_rotation_update (&rotation, name, true, now);
    }
  ck_assert_uint_le (g_hash_table_size (rotation.absences), CF_ROTATION_ABSENT_MS / CF_MS_PER_S);
  ck_assert_uint_eq (cf_rotation_absent_count (&rotation, now), 4);
  cf_rotation_clear (&rotation);
}
END_TEST

START_TEST (test_only_listed_vms_of_the_domain_are_neighbours)
{
  struct CfSources *sources = cf_sources_new ("a1", "a", "r");

  add_vm (sources, "a1", "a", 10);
  add_vm (sources, "a2", "a", 10);
  add_vm (sources, "b1", "b", 10);
  ck_assert (cf_sources_is_neighbour (sources, "a2"));
  ck_assert (!cf_sources_is_neighbour (sources, "a1"));
  ck_assert (!cf_sources_is_neighbour (sources, "b1"));
  ck_assert (!cf_sources_is_neighbour (sources, "invented"));
  cf_sources_free (sources);
}
END_TEST

/* Load reports of another region, of a name that is not listed, or with another domain than the
 * store has would distort the sums of this region. */
START_TEST (test_vms_of_the_region)
{
  struct CfSources *sources = fleet ("a1", "a");
  const struct CfVmRecord foreign = { .ip = "c1", .domain = "c", .region = "other" };
  GPtrArray *ips;

  cf_sources_set (sources, "c1", &foreign);
  ck_assert (cf_sources_is_in_region (sources, "a2", "a"));
  ck_assert (cf_sources_is_in_region (sources, "b1", "b"));
  ck_assert (!cf_sources_is_in_region (sources, "b1", "a"));
  ck_assert (!cf_sources_is_in_region (sources, "a1", "a"));
  ck_assert (!cf_sources_is_in_region (sources, "c1", "c"));
  ck_assert (!cf_sources_is_in_region (sources, "invented", "a"));
  ips = cf_sources_other_domain_ips (sources);
  ck_assert_uint_eq (ips->len, 2);
  ck_assert_str_eq (ips->pdata[0], "b1");
  ck_assert_str_eq (ips->pdata[1], "b2");
  g_ptr_array_unref (ips);
  cf_sources_free (sources);
}
END_TEST

/* With VMs that left and never returned, others waited for them until after the time at which
 * they had to be out of rotation. */
START_TEST (test_rotation_wait_ends)
{
  struct CfRotation rotation;
  CfMillis now = 1000;

  cf_rotation_init (&rotation);
  cf_rotation_update (&rotation, "vm-1", true, now);
  ck_assert (!cf_rotation_should_leave (&rotation, 2, 0, 6000, now));
  ck_assert (!cf_rotation_should_leave (&rotation, 2, 1900, 6000, now + 1900));
  /* Out of rotation 4 s after the order to stop, with two of the fabric's readiness checks in
   * between. */
  ck_assert (cf_rotation_should_leave (&rotation, 2, 2700, 6000, now + 2700));
  /* A short grace period leaves less time. */
  ck_assert (cf_rotation_should_leave (&rotation, 2, 800, 3000, now + 800));
  cf_rotation_clear (&rotation);
}
END_TEST

START_TEST (test_hello)
{
  uint8_t buffer[512];
  size_t len = cf_gossip_encode_hello ("vm-1", "a", true, buffer, sizeof buffer);
  struct feed_datagram datagram;
  const struct feed_hello *hello = &datagram.feed_datagram_u.hello;

  ck_assert_uint_gt (len, 0);
  ck_assert (cf_gossip_decode (buffer, len, &datagram));
  ck_assert_int_eq (datagram.kind, FEED_HELLO);
  ck_assert_str_eq (hello->name, "vm-1");
  ck_assert (hello->leaving);
  cf_gossip_clear (&datagram);
  ck_assert (!cf_gossip_decode (buffer, len - 4, &datagram));
  ck_assert_uint_eq (cf_gossip_encode_hello ("vm-1", "a", true, buffer, 8), 0);
}
END_TEST

START_TEST (test_quality_report)
{
  struct CfQualityReport report = { .vm = "vm-1", .count = CF_QUALITY_MAX };
  struct CfQualityReport back;
  uint8_t buffer[CF_GOSSIP_BYTES_MAX];
  struct feed_datagram datagram;
  size_t len;

  for (int i = 0; i < CF_QUALITY_MAX; i++)
    {
      /* The longest valid id. */
      memset (report.lines[i].id, 'a' + i, CF_QUALITY_ID_MAX - 1);
      report.lines[i].answers = 2.5 * i;
      report.lines[i].failed = i;
    }
  len = cf_gossip_encode_quality (&report, "a", buffer, sizeof buffer);
  ck_assert_uint_gt (len, 0);
  ck_assert (cf_gossip_decode (buffer, len, &datagram));
  ck_assert_int_eq (datagram.kind, FEED_QUALITIES);
  cf_gossip_read_quality (&datagram.feed_datagram_u.qualities, &back);
  ck_assert_uint_eq (back.count, CF_QUALITY_MAX);
  ck_assert_str_eq (back.vm, "vm-1");
  ck_assert_str_eq (back.lines[3].id, report.lines[3].id);
  ck_assert_double_eq_tol (back.lines[3].answers, 7.5, 0.01);
  ck_assert_double_eq_tol (back.lines[3].failed, 3, 0.01);
  /* A line with impossible counts is left out. */
  datagram.feed_datagram_u.qualities.upstreams.upstreams_val[3].failed = 7501;
  cf_gossip_read_quality (&datagram.feed_datagram_u.qualities, &back);
  ck_assert_uint_eq (back.count, CF_QUALITY_MAX - 1);
  cf_gossip_clear (&datagram);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sources");

  suite_add_loop (suite, test_order, 1);
  suite_add_loop (suite, test_takeover, 1);
  suite_add_loop (suite, test_stale_asks_store, 1);
  suite_add_loop (suite, test_reader_precedence, 1);
  suite_add_loop (suite, test_start_asks_store, 1);
  suite_add_loop (suite, test_reader_fallback, 1);
  suite_add_loop (suite, test_outcome_of_removed_source, 1);
  suite_add_loop (suite, test_concurrent_failures, 1);
  suite_add_loop (suite, test_seeds, 1);
  suite_add_loop (suite, test_tree, 1);
  suite_add_loop (suite, test_expired, 1);
  suite_add_loop (suite, test_vm_record, 1);
  suite_add_loop (suite, test_rotation, 1);
  suite_add_loop (suite, test_rotation_forgets, 1);
  suite_add_loop (suite, test_only_listed_vms_of_the_domain_are_neighbours, 1);
  suite_add_loop (suite, test_vms_of_the_region, 1);
  suite_add_loop (suite, test_rotation_wait_ends, 1);
  suite_add_loop (suite, test_hello, 1);
  suite_add_loop (suite, test_quality_report, 1);
  return suite_run (suite);
}
