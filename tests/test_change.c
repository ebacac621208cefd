#include "objectstore/store.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

/* Configuration changes through the object API: races between operators, and writes whose
 * request or answer is lost. */

static const char base[] = "[fleet]\nversion=1\n[failure-domain a]\nregion=r\n"
                           "[failure-domain b]\nregion=r\n"
                           "[service s]\naddress=10.0.0.1\nport=80\n"
                           "[upstream u]\nservice=s\ntunnel=127.0.1.1\nfailure-domain=a\n"
                           "[upstream w]\nservice=s\ntunnel=127.0.1.2\nfailure-domain=b\n";

struct FakeStore
{
  char *text;
  int tag;
  int lose_answers; /* writes that take effect without an answer */
  int lose_writes;  /* writes that are lost before they take effect */
  int lose_reads;
  int writes;
  bool refuse;
  CfMillis clock; /* 0: the clock is behind all versions */
  /* Called once before the next write, and after each lost answer. */
  void (*before_write) (struct FakeStore *fake);
  void (*after_loss) (struct FakeStore *fake);
};

static enum CfStoreResult
fake_read (void *context, const char *name, struct CfObject *object, struct CfError *error)
{
  struct FakeStore *fake = context;

  (void) name;
  if (fake->lose_reads-- > 0)
    {
      cf_error_set (error, CF_ERROR_IO, "no answer");
      return CF_STORE_UNKNOWN;
    }
  if (!fake->text)
    return CF_STORE_MISSING;
  object->text = g_strdup (fake->text);
  object->tag = g_strdup_printf ("%d", fake->tag);
  return CF_STORE_OK;
}

static void
set_object (struct FakeStore *fake, const char *text)
{
  g_free (fake->text);
  fake->text = g_strdup (text);
  fake->tag++;
}

static enum CfStoreResult
fake_write (
    void *context, const char *name, const char *text, const char *tag, struct CfError *error)
{
  struct FakeStore *fake = context;
  void (*hook) (struct FakeStore *) = fake->before_write;

  (void) name;
  fake->before_write = NULL;
  if (hook)
    hook (fake);
  fake->writes++;
  if (fake->refuse)
    {
      cf_error_set (error, CF_ERROR_IO, "too large");
      return CF_STORE_REFUSED;
    }
  if (fake->lose_writes-- > 0)
    return CF_STORE_UNKNOWN;
  if (tag ? atoi (tag) != fake->tag : fake->text != NULL)
    return CF_STORE_CONFLICT;
  set_object (fake, text);
  if (fake->lose_answers-- <= 0)
    return CF_STORE_OK;
  if (fake->after_loss)
    fake->after_loss (fake);
  return CF_STORE_UNKNOWN;
}

static void
fake_pause (void *context, int attempt)
{
  (void) context;
  (void) attempt;
}

static CfMillis
fake_now (void *context)
{
  struct FakeStore *fake = context;

  return fake->clock;
}

static struct CfStore
make_store (struct FakeStore *fake)
{
  return (struct CfStore){
    .read = fake_read,
    .write = fake_write,
    .pause = fake_pause,
    .now = fake_now,
    .context = fake,
  };
}

static struct CfConfig *
disable_domain (struct CfConfig *previous, uint64_t version, void *data, struct CfError *error)
{
  return cf_config_set_domain (previous, data, false, false, version, error);
}

static bool
change (struct FakeStore *fake, const char *domain, const char *id, struct CfError *error)
{
  struct CfStore store = make_store (fake);
  struct CfConfig *result = NULL;
  bool done = cf_store_change (&store, disable_domain, (void *) domain, id, &result, error);

  if (done)
    ck_assert (!result->domains[domain[0] - 'a'].in_service);
  cf_config_unref (result);
  return done;
}

static struct CfConfig *
current (const struct FakeStore *fake)
{
  struct CfConfig *config = cf_config_parse (fake->text, NULL);

  ck_assert_ptr_nonnull (config);
  return config;
}

static struct CfConfig *
enable_domain (struct CfConfig *previous, uint64_t version, void *data, struct CfError *error)
{
  return cf_config_set_domain (previous, data, true, false, version, error);
}

static void
enable_again (struct FakeStore *fake)
{
  struct CfStore store = make_store (fake);
  struct CfConfig *result = NULL;
  struct CfError error = { 0 };

  fake->after_loss = NULL;
  ck_assert (cf_store_change (&store, enable_domain, (void *) "a", "other", &result, &error));
  cf_config_unref (result);
}

static void
other_operator (struct FakeStore *fake)
{
  struct CfError error = { 0 };

  ck_assert (change (fake, "b", "other", &error));
}

static void
other_operator_later (struct FakeStore *fake)
{
  fake->clock += 10;
  other_operator (fake);
}

START_TEST (test_applied)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1 };
  struct CfError error = { 0 };
  struct CfConfig *config;

  ck_assert (change (&fake, "a", "one", &error));
  config = current (&fake);
  ck_assert_uint_eq (config->version, 2);
  /* The last failure domain stays in service: the change is rejected and nothing is written. */
  ck_assert (!change (&fake, "b", "two", &error));
  ck_assert_int_eq (error.code, CF_ERROR_INPUT);
  ck_assert_int_eq (fake.writes, 1);
  cf_config_unref (config);
  g_free (fake.text);
}
END_TEST

START_TEST (test_lost_race)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1 };
  struct CfError error = { 0 };
  struct CfConfig *config;

  fake.before_write = other_operator;
  ck_assert (!change (&fake, "a", "one", &error));
  ck_assert_int_eq (error.code, CF_ERROR_CONFLICT);
  ck_assert_ptr_nonnull (strstr (error.text, "version 2 is in force"));
  config = current (&fake);
  ck_assert (config->domains[0].in_service);
  ck_assert (!config->domains[1].in_service);
  cf_config_unref (config);
  g_free (fake.text);
}
END_TEST

START_TEST (test_lost_answer)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .lose_answers = 1 };
  struct CfError error = { 0 };

  ck_assert (change (&fake, "a", "one", &error));
  ck_assert_int_eq (fake.writes, 1);
  ck_assert_int_eq (fake.tag, 2);
  g_free (fake.text);
}
END_TEST

START_TEST (test_lost_write)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .lose_writes = 2 };
  struct CfError error = { 0 };

  ck_assert (change (&fake, "a", "one", &error));
  ck_assert_int_eq (fake.writes, 3);
  ck_assert_int_eq (fake.tag, 2);
  g_free (fake.text);
}
END_TEST

/* The write took effect, its answer was lost, and another change followed. */
START_TEST (test_uncertain)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .lose_answers = 1 };
  struct CfError error = { 0 };

  fake.after_loss = enable_again;
  ck_assert (!change (&fake, "a", "one", &error));
  ck_assert_int_eq (error.code, CF_ERROR_UNKNOWN);
  ck_assert_ptr_nonnull (strstr (error.text, "version 3 is in force"));
  g_free (fake.text);
}
END_TEST

/* A clock that goes back does not take versions back. */
START_TEST (test_versions_grow)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .clock = 5000 };
  struct CfError error = { 0 };
  struct CfConfig *config;

  ck_assert (change (&fake, "a", "one", &error));
  fake.clock = 3000;
  enable_again (&fake);
  config = current (&fake);
  ck_assert_uint_eq (config->version, 5001);
  cf_config_unref (config);
  g_free (fake.text);
}
END_TEST

/* With versions by the clock two changes to one configuration have different versions. */
START_TEST (test_outcomes_by_clock)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .clock = 5000 };
  struct CfError error = { 0 };

  fake.before_write = other_operator_later;
  ck_assert (!change (&fake, "a", "one", &error));
  ck_assert_int_eq (error.code, CF_ERROR_CONFLICT);
  ck_assert_ptr_nonnull (strstr (error.text, "version 5010 is in force"));
  set_object (&fake, base);
  fake.clock = 6000;
  fake.lose_answers = 1;
  fake.after_loss = enable_again;
  ck_assert (!change (&fake, "a", "two", &error));
  ck_assert_int_eq (error.code, CF_ERROR_UNKNOWN);
  ck_assert_ptr_nonnull (strstr (error.text, "version 6001 is in force"));
  g_free (fake.text);
}
END_TEST

/* VMs that have a version ignore another configuration with the same one. */
START_TEST (test_restored_platform_repeats_no_version)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .clock = 5000 };
  struct CfError error = { 0 };
  struct CfConfig *lost;
  struct CfConfig *config;

  ck_assert (change (&fake, "a", "one", &error));
  lost = current (&fake);
  set_object (&fake, base);
  fake.clock = 5010;
  ck_assert (change (&fake, "b", "two", &error));
  config = current (&fake);
  ck_assert_uint_gt (config->version, lost->version);
  cf_config_unref (config);
  cf_config_unref (lost);
  g_free (fake.text);
}
END_TEST

START_TEST (test_platform_unreachable)
{
  struct FakeStore fake = { .text = g_strdup (base), .tag = 1, .lose_reads = 1000 };
  struct CfError error = { 0 };

  ck_assert (!change (&fake, "a", "one", &error));
  ck_assert_int_eq (error.code, CF_ERROR_IO);
  ck_assert_str_eq (error.text, "no answer; nothing was changed");
  fake.lose_reads = 0;
  fake.lose_writes = 1000;
  ck_assert (!change (&fake, "a", "one", &error));
  ck_assert_int_eq (error.code, CF_ERROR_UNKNOWN);
  fake.refuse = true;
  ck_assert (!change (&fake, "a", "one", &error));
  ck_assert_int_eq (error.code, CF_ERROR_IO);
  g_free (fake.text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("change");

  suite_add_loop (suite, test_applied, 1);
  suite_add_loop (suite, test_lost_race, 1);
  suite_add_loop (suite, test_lost_answer, 1);
  suite_add_loop (suite, test_lost_write, 1);
  suite_add_loop (suite, test_uncertain, 1);
  suite_add_loop (suite, test_versions_grow, 1);
  suite_add_loop (suite, test_outcomes_by_clock, 1);
  suite_add_loop (suite, test_restored_platform_repeats_no_version, 1);
  suite_add_loop (suite, test_platform_unreachable, 1);
  return suite_run (suite);
}
