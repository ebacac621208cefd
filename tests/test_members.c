#include "cf_core.h"
#include "sink.h"
#include "suite.h"

#include <malloc.h>

/* Members that come and go for good. */

#define GENERATIONS 2000
#define STUB_BYTES 1024 /* what a member that is gone may keep */

static const char text[] = "[fleet]\nversion=1\n[failure-domain a]\nregion=r\n"
                           "[service s]\naddress=10.0.0.1\nport=443\n"
                           "[upstream u]\nservice=s\nfailure-domain=a\ntunnel=127.1.0.1\n"
                           "[upstream w]\nservice=s\nfailure-domain=a\ntunnel=127.1.0.2\n";

static void
hear (struct CfCore *core, uint32_t vm, CfMillis now)
{
  struct peer_envelope envelope = { .vm = vm, .incarnation = 1 };
  peer_heartbeat *heartbeat = &envelope.message.peer_message_u.heartbeat;
  struct peer_load load = { .upstream = cf_name_id ("u"), .opened = 1 };

  envelope.message.kind = PEER_HEARTBEAT;
  heartbeat->state = PEER_SERVING;
  heartbeat->config_version = 1;
  heartbeat->config_digest = cf_core_config (core)->digest;
  heartbeat->loads.loads_len = 1;
  heartbeat->loads.loads_val = &load;
  cf_core_peer (core, &envelope, now);
}

static CfMillis
pass (struct CfCore *core, CfMillis now, CfMillis span)
{
  for (CfMillis end = now + span; now < end; now += 500)
    cf_core_tick (core, now);
  return now;
}

START_TEST (test_replaced_members)
{
  struct CfCoreOptions options = { .vm = 1, .incarnation = 1, .domain = cf_name_id ("a") };
  struct CfCoreOutputs outputs = test_sink_outputs ();
  struct CfConfig *config = cf_config_parse (text, NULL);
  struct CfCore *core = cf_core_new (&options, &outputs, NULL, 0);
  CfMillis now = 0;
  size_t before;
  size_t kept;

  cf_core_set_config (core, config, now);
  now = pass (core, now, 5000);
  ck_assert_int_eq (cf_core_state (core), PEER_SERVING);
  before = mallinfo2 ().uordblks;
  for (uint32_t vm = 2; vm < GENERATIONS + 2; vm++)
    {
      hear (core, vm, now);
      /* The platform no longer lists it, and it falls silent. */
      cf_core_vm_list (core, NULL, 0, now);
      now = pass (core, now, 3000);
    }
  pass (core, now, 700000);
  kept = (mallinfo2 ().uordblks - before) / GENERATIONS;
  printf ("a member that is gone keeps %zu bytes\n", kept);
  ck_assert_uint_le (kept, STUB_BYTES);
  ck_assert_int_eq (cf_core_state (core), PEER_SERVING);
  ck_assert (cf_core_settled (core));
  cf_core_free (core);
  cf_config_unref (config);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("members");

  suite_add_loop (suite, test_replaced_members, 1);
  return suite_run (suite);
}
