#include "busy_service.h"

#include <string.h>

void
busy_service_init (struct BusyService *service, uint32_t seed)
{
  *service = (struct BusyService){
    .random = g_rand_new_with_seed (seed),
    .work_ms = BUSY_WORK_MS,
  };
  for (int i = 0; i < BUSY_REJECT_MS; i++)
    service->rejected[i] = g_array_new (FALSE, FALSE, 1);
}

void
busy_service_clear (struct BusyService *service)
{
  for (int i = 0; i < BUSY_REJECT_MS; i++)
    g_array_unref (service->rejected[i]);
  g_rand_free (service->random);
}

void
busy_service_send (struct BusyService *service, uint8_t owner)
{
  struct BusyUpstream *upstream
      = &service->upstreams[g_rand_int_range (service->random, 0, BUSY_UPSTREAMS)];

  if (upstream->count == G_N_ELEMENTS (upstream->owners))
    g_array_append_val (service->rejected[service->steps % BUSY_REJECT_MS], owner);
  else
    upstream->owners[upstream->count++] = owner;
}

/* Ends the request in SLOT; the first one that waits takes its place. */
static void
end_request (struct BusyService *service, struct BusyUpstream *upstream, uint32_t slot)
{
  uint8_t owner = upstream->owners[slot];
  uint32_t from = MIN (BUSY_SLOTS, upstream->count - 1);

  upstream->owners[slot] = upstream->owners[from];
  if (from < BUSY_SLOTS)
    upstream->left_ms[slot] = upstream->left_ms[from];
  upstream->count--;
  memmove (upstream->owners + from, upstream->owners + from + 1, upstream->count - from);
  upstream->left_ms[from < BUSY_SLOTS ? from : slot] = 0;
  service->ended (service->context, owner, g_rand_double (service->random) < service->error_share);
}

void
busy_service_step (struct BusyService *service)
{
  GArray *rejected = service->rejected[++service->steps % BUSY_REJECT_MS];

  for (guint i = 0; i < rejected->len; i++)
    service->ended (service->context, g_array_index (rejected, uint8_t, i), true);
  g_array_set_size (rejected, 0);
  for (struct BusyUpstream *upstream = service->upstreams;
       upstream < service->upstreams + BUSY_UPSTREAMS; upstream++)
    for (uint32_t slot = BUSY_SLOTS; slot-- > 0;)
      {
        if (slot >= upstream->count)
          continue;
        if (upstream->left_ms[slot] == 0)
          upstream->left_ms[slot]
              = g_rand_int_range (service->random, service->work_ms / 2, service->work_ms * 3 / 2);
        if (--upstream->left_ms[slot] == 0)
          end_request (service, upstream, slot);
      }
}
