#include "load_message.h"
#include "gossip.h"

#include <glib.h>

/* Rates, counts and paces are sent in thousandths.  CF_LOAD_RATE_MAX of them fit in 32 bits. */
#define SCALE 1000

G_STATIC_ASSERT (CF_LOAD_SERVICES_MAX == FEED_LOAD_SERVICES_MAX);
G_STATIC_ASSERT (CF_LOAD_LINES_MAX == FEED_LOAD_LINES_MAX);
G_STATIC_ASSERT (CF_LOAD_PRIORITIES == FEED_LOAD_PRIORITIES);

/* Returns VALUE in thousandths, within MIN and MAX.  NaN becomes MIN. */
static u_int
pack (double value, double min, double max)
{
  return (u_int) ((value > min ? MIN (value, max) : min) * SCALE + 0.5);
}

static u_int
pack_rate (double value)
{
  return pack (value, 0, CF_LOAD_RATE_MAX);
}

static double
unpack (u_int value)
{
  return (double) value / SCALE;
}

static struct feed_load_service
pack_service (const struct CfLoadService *service)
{
  const struct CfLoadCounts *counts = &service->counts;
  struct feed_load_service packed = {
    .name = (char *) service->name,
    .answered = pack_rate (counts->answered),
    .shed = pack_rate (counts->shed),
    .in_progress = pack_rate (counts->in_progress),
    .usual = pack_rate (counts->usual),
  };

  for (int i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      packed.demand[i] = pack_rate (counts->demand[i]);
    }
  return packed;
}

size_t
cf_load_message_encode (const struct CfLoadReport *report, uint8_t *out, size_t size)
{
  struct feed_load_service services[CF_LOAD_SERVICES_MAX];
  struct feed_load_line lines[CF_LOAD_LINES_MAX];
  const struct feed_loads loads = {
    .name = (char *) report->vm,
    .domain = (char *) report->domain,
    .incarnation = report->incarnation,
    .sequence = report->sequence,
    .domain_vms = CLAMP (report->domain_vms, 1, CF_LOAD_DOMAIN_VMS_MAX),
    .services = { .services_len = MIN (report->service_count, CF_LOAD_SERVICES_MAX),
                  .services_val = services },
    .upstreams
    = { .upstreams_len = MIN (report->line_count, CF_LOAD_LINES_MAX), .upstreams_val = lines },
  };
  struct feed_datagram datagram = { .kind = FEED_LOADS, .feed_datagram_u.loads = loads };

  for (u_int i = 0; i < loads.services.services_len; i++)
    services[i] = pack_service (&report->services[i]);
  for (u_int i = 0; i < loads.upstreams.upstreams_len; i++)
    lines[i] = (struct feed_load_line){
      .cookie = report->lines[i].cookie,
      .samples = pack_rate (report->lines[i].samples),
      .pace = pack (report->lines[i].pace, CF_LOAD_PACE_MIN, CF_LOAD_PACE_MAX),
    };
  return cf_gossip_encode (&datagram, out, size);
}

/* Copies FROM to TO.  Returns false if it is empty or does not fit. */
static bool
read_name (const char *from, char to[CF_LOAD_NAME_MAX])
{
  gsize len = g_strlcpy (to, from, CF_LOAD_NAME_MAX);

  return len > 0 && len < CF_LOAD_NAME_MAX;
}

static bool
read_service (const struct feed_load_service *packed, struct CfLoadService *service)
{
  service->counts = (struct CfLoadCounts){
    .answered = unpack (packed->answered),
    .shed = unpack (packed->shed),
    .in_progress = unpack (packed->in_progress),
    .usual = unpack (packed->usual),
  };
  for (int i = 0; i < CF_LOAD_PRIORITIES; i++)
    {
      service->counts.demand[i] = unpack (packed->demand[i]);
    }
  return read_name (packed->name, service->name);
}

bool
cf_load_message_read (const struct feed_loads *loads, struct CfLoadReport *report)
{
  *report = (struct CfLoadReport){
    .incarnation = loads->incarnation,
    .sequence = loads->sequence,
    .domain_vms = loads->domain_vms,
    .service_count = loads->services.services_len,
    .line_count = loads->upstreams.upstreams_len,
  };
  if (report->service_count > CF_LOAD_SERVICES_MAX || report->line_count > CF_LOAD_LINES_MAX
      || !read_name (loads->name, report->vm) || !read_name (loads->domain, report->domain))
    return false;
  for (uint32_t i = 0; i < report->service_count; i++)
    if (!read_service (&loads->services.services_val[i], &report->services[i]))
      return false;
  for (uint32_t i = 0; i < report->line_count; i++)
    {
      const struct feed_load_line *line = &loads->upstreams.upstreams_val[i];

      report->lines[i] = (struct CfLoadLine){
        .cookie = line->cookie,
        .samples = unpack (line->samples),
        .pace = unpack (line->pace),
      };
    }
  return cf_load_report_valid (report);
}
