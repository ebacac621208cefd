#include "../lab-2.h"

#include <stdlib.h>
#include <string.h>

/* Two of the three endpoints of a zone are emptied and taken away, as planned.  Requesters still
 * have open flows to them.  Then one datagram of a flow to the third endpoint, which is well, is
 * lost.  Its requester must not get a reset that the endpoint did not send. */

enum
{
  CALLERS = 14,
  ROUTE_PORT = 8443,
  DRAIN_MS = 3000,
  ELSEWHERE_MS = 25,
  WORK_MS = 20,
};

static struct Vm *vm_a, *vm_b;
static struct Endpoint *leaving[2], *staying, *far[4];
static struct Request *kept[CALLERS];
static unsigned elsewhere_sent, elsewhere_answered;
static uint32_t route_ip;
static bool broken;

static void
event (struct Request *request, const char *what)
{
  if (request->answers > 1 && request->state == OPEN
      && strcmp (request->endpoint->zone, "zone-b") == 0)
    {
      elsewhere_answered++;
      return;
    }
  record ("flow %s:%u, open at %s: %s", lab_ip_text (request->caller->ip), request->sport,
          request->endpoint ? request->endpoint->id : "none", what);
  if (request->reset_by_system && request->endpoint && request->endpoint->alive)
    {
      record ("FLOW: the endpoint %s of this flow lives and sent no reset", request->endpoint->id);
      broken = true;
    }
}

/* Requesters with flows to the other zone go on all the while. */
static void
send_elsewhere (void *data)
{
  struct Request *request = kept[elsewhere_sent % CALLERS];

  (void) data;
  for (int i = 0; i < CALLERS; i++)
    {
      request = kept[(elsewhere_sent + (unsigned) i) % CALLERS];
      if (request->state == OPEN && !request->waiting
          && strcmp (request->endpoint->zone, "zone-b") == 0)
        {
          caller_again (request);
          break;
        }
    }
  elsewhere_sent++;
  lab_after (ELSEWHERE_MS, send_elsewhere, NULL);
}

static struct Request *
flow_at (const struct Endpoint *endpoint, unsigned nth)
{
  for (int i = 0; i < CALLERS; i++)
    if (kept[i]->state == OPEN && kept[i]->endpoint == endpoint && nth-- == 0)
      return kept[i];
  lab_cannot_run ("an endpoint has too few flows");
}

static void
send_next (struct Request *request)
{
  record ("requester %s sends its next request on flow %u, open at %s",
          lab_ip_text (request->caller->ip), request->sport, request->endpoint->id);
  caller_again (request);
}

int
main (int argc, char **argv)
{
  char manifest[1024];

  lab_begin (argc, argv);
  srand (6);
  caller_event = event;
  route_ip = lab_ip (9, 1);
  store_listen (lab_ip (0, 1));
  snprintf (
      manifest, sizeof manifest,
      "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\",\"path-prefix\":\"/%d/\","
      "\"kind\":\"idempotent\",\"timeout-ms\":3000,\"target-latency-ms\":500,\"priority\":2,"
      "\"service\":\"s1\",\"max-attempts\":2}],\"services\":[{\"name\":\"s1\","
      "\"health-check-path\":\"/health\",\"max-connections\":2000,\"protocol\":\"h1\","
      "\"tls\":false,\"warmup-s\":2.0,\"warmup-per-s\":0.0}],\"limits\":{\"max-header-bytes\":"
      "16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}",
      lab_ip_text (route_ip), ROUTE_PORT);
  store_put ("config", "main", manifest);
  for (unsigned i = 0; i < 4; i++)
    far[i] = endpoint_start (1 + i, NULL, "s1", "zone-b", WORK_MS);
  leaving[0] = endpoint_start (5, NULL, "s1", "zone-a", WORK_MS);
  leaving[1] = endpoint_start (6, NULL, "s1", "zone-a", WORK_MS);
  staying = endpoint_start (7, NULL, "s1", "zone-a", WORK_MS);
  vm_a = vm_new (1, "front-a-1", "zone-a", lab_ip (0, 1));
  vm_b = vm_new (2, "front-b-1", "zone-b", lab_ip (0, 1));
  vm_start (vm_a);
  vm_start (vm_b);
  vm_await_ready (vm_a);
  vm_await_ready (vm_b);
  lab_run (1000);

  /* The requesters of zone a keep their flows open. */
  for (unsigned i = 0; i < CALLERS; i++)
    {
      kept[i] = caller_request (caller_new (1 + i, vm_a), route_ip, ROUTE_PORT, true);
      lab_run (60);
    }
  lab_run (1000);

  if (lab_trouble ())
    {
      record ("planned: two endpoints of zone-a are emptied and taken away");
      for (int i = 0; i < 2; i++)
        {
          leaving[i]->draining = true;
          endpoint_announce (leaving[i]);
        }
    }
  lab_run (DRAIN_MS + 500);
  if (lab_trouble ())
    for (int i = 0; i < 2; i++)
      {
        endpoint_end (leaving[i]);
        store_delete ("servers", leaving[i]->id);
      }
  lab_run (4500);
  send_elsewhere (NULL);
  lab_run (300);
  record ("requesters go on after a pause");
  send_next (flow_at (leaving[0], 0));
  lab_run (30);
  send_next (flow_at (leaving[1], 0));
  lab_run (30);
  staying->lose_data = 1;
  send_next (flow_at (staying, 0));
  lab_run (4000);
  record ("meanwhile %u requests on flows to zone-b were answered", elsewhere_answered);
  lab_end (broken);
}
