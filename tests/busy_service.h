#ifndef CF_TEST_BUSY_SERVICE_H
#define CF_TEST_BUSY_SERVICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Upstreams with two slots and a short queue each, which turn away what does not fit, in steps of
 * 1 ms. */

#define BUSY_UPSTREAMS 60
#define BUSY_SLOTS 2
#define BUSY_QUEUE 8
#define BUSY_WORK_MS 20   /* mean; 6,000 requests a second in all */
#define BUSY_REJECT_MS 80 /* after which a rejected request is answered */

struct BusyUpstream
{
  uint32_t count;                          /* of requests, the first ones in the slots */
  uint8_t owners[BUSY_SLOTS + BUSY_QUEUE]; /* VMs that sent them */
  int left_ms[BUSY_SLOTS];                 /* 0: to be begun */
};

struct BusyService
{
  struct BusyUpstream upstreams[BUSY_UPSTREAMS];
  GArray *rejected[BUSY_REJECT_MS]; /* owners, by time */
  GRand *random;
  int work_ms;
  double error_share; /* of the answers that are short ones */
  uint64_t steps;
  void (*ended) (void *context, uint8_t owner, bool shed);
  void *context;
};

void busy_service_init (struct BusyService *service, uint32_t seed);
void busy_service_clear (struct BusyService *service);
/* Sends a request of the VM OWNER to an upstream. */
void busy_service_send (struct BusyService *service, uint8_t owner);
void busy_service_step (struct BusyService *service);

#endif
