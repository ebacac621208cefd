#include "../lab-2.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Two endpoints have ids with the same flow cookie, the lower 32 bits of a hash.  The VMs keep new
 * flows from the one that they learned of later.  A VM that is restarted, as planned, learns of
 * both at once.  Flows that are open at the older one must still reach it through this VM. */

enum
{
  CALLERS = 9,
  ROUTE_PORT = 8443,
  WORK_MS = 20,
};

/* Found by search among some 100,000 ids.  The newer one comes first in the store's list. */
static const char older_id[] = "i-a3b46e79";
static const char newer_id[] = "i-22c99d9a";

static struct Request *kept[CALLERS];
static uint32_t route_ip;
static bool broken;

static void
event (struct Request *request, const char *what)
{
  record ("flow %s:%u, open at %s: %s", lab_ip_text (request->caller->ip), request->sport,
          request->endpoint ? request->endpoint->id : "none", what);
  if ((request->reset_by_system || request->reset_by_endpoint) && request->endpoint
      && request->endpoint->alive)
    {
      record ("FLOW: the endpoint %s of this flow lives and sent no reset", request->endpoint->id);
      broken = true;
    }
}

static void
send_round (void)
{
  for (int i = 0; i < CALLERS; i++)
    if (kept[i]->state == OPEN && !kept[i]->waiting)
      {
        caller_again (kept[i]);
        lab_run (50);
      }
  lab_run (300);
}

int
main (int argc, char **argv)
{
  char manifest[1024];
  struct Vm *vm_a, *vm_b;
  int at_older = 0;

  lab_begin (argc, argv);
  srand (8);
  caller_event = event;
  route_ip = lab_ip (9, 1);
  store_listen (lab_ip (0, 1));
  snprintf (
      manifest, sizeof manifest,
      "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\",\"path-prefix\":\"/%d/\","
      "\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\"target-latency-ms\":500,"
      "\"priority\":2,\"service\":\"s1\",\"max-attempts\":2}],\"services\":[{\"name\":\"s1\","
      "\"health-check-path\":\"/health\",\"max-connections\":2000,\"protocol\":\"h1\","
      "\"tls\":false,\"warmup-s\":2.0,\"warmup-per-s\":0.0}],\"limits\":{\"max-header-bytes\":"
      "16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}",
      lab_ip_text (route_ip), ROUTE_PORT);
  store_put ("config", "main", manifest);
  endpoint_start (1, older_id, "s1", "zone-a", WORK_MS);
  endpoint_start (2, NULL, "s1", "zone-a", WORK_MS);
  endpoint_start (3, NULL, "s1", "zone-a", WORK_MS);
  vm_a = vm_new (1, "front-a-1", "zone-a", lab_ip (0, 1));
  vm_b = vm_new (2, "front-a-2", "zone-a", lab_ip (0, 1));
  vm_start (vm_a);
  vm_start (vm_b);
  vm_await_ready (vm_a);
  vm_await_ready (vm_b);
  router_start ();
  lab_run (1000);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      kept[i] = caller_request (caller_new (1 + i, vm_a), route_ip, ROUTE_PORT, true);
      lab_run (60);
      at_older += kept[i]->endpoint && strcmp (kept[i]->endpoint->id, older_id) == 0;
    }
  if (at_older == 0)
    lab_cannot_run ("no flow is open at the older endpoint");
  record ("planned: an endpoint is added");
  endpoint_start (4, newer_id, "s1", "zone-a", WORK_MS);
  lab_run (1000);
  send_round ();
  if (lab_trouble ())
    {
      record ("planned: front-a-1 is restarted");
      vm_signal (vm_a, SIGTERM);
      for (int i = 0; !vm_has_ended (vm_a); i++)
        {
          if (i == 120)
            lab_cannot_run ("front-a-1 does not end within its grace period");
          lab_run (50);
        }
      send_round ();
      vm_start (vm_a);
      vm_await_ready (vm_a);
      lab_run (700);
    }
  send_round ();
  lab_run (1000);
  lab_end (broken);
}
