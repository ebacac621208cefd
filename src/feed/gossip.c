#include "gossip.h"
#include "xdr_memory.h"

#include <glib.h>
#include <string.h>

#define ANSWER_SCALE 1000 /* answers are sent in thousandths */
/* More answers than one VM gets from an upstream within several half-lives of the count, so a
 * report of more is wrong. */
#define ANSWERS_MAX 100000

size_t
cf_gossip_encode (struct feed_datagram *datagram, uint8_t *out, size_t size)
{
  size_t len = 0;
  XDR xdr;

  xdrmem_create (&xdr, (char *) out, (u_int) size, XDR_ENCODE);
  if (xdr_feed_datagram (&xdr, datagram))
    len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  return len;
}

size_t
cf_gossip_encode_hello (
    const char *name, const char *domain, bool leaving, uint8_t *out, size_t size)
{
  struct feed_datagram datagram = {
    .kind = FEED_HELLO,
    .feed_datagram_u.hello = {
      .name = (char *) name,
      .domain = (char *) domain,
      .leaving = leaving,
    },
  };

  return cf_gossip_encode (&datagram, out, size);
}

size_t
cf_gossip_encode_quality (const struct CfQualityReport *report,
                          const char *domain,
                          uint8_t *out,
                          size_t size)
{
  struct feed_quality upstreams[CF_QUALITY_MAX];
  struct feed_datagram datagram = {
    .kind = FEED_QUALITIES,
    .feed_datagram_u.qualities = {
      .name = (char *) report->vm,
      .domain = (char *) domain,
      .upstreams = { .upstreams_len = report->count, .upstreams_val = upstreams },
    },
  };

  for (uint32_t i = 0; i < report->count; i++)
    upstreams[i] = (struct feed_quality){
      .upstream = (char *) report->lines[i].id,
      .answers = (u_int) (MIN (report->lines[i].answers, ANSWERS_MAX) * ANSWER_SCALE),
      .failed = (u_int) (MIN (report->lines[i].failed, ANSWERS_MAX) * ANSWER_SCALE),
      .avoided = report->lines[i].avoided,
    };
  return cf_gossip_encode (&datagram, out, size);
}

bool
cf_gossip_decode (const uint8_t *data, size_t len, struct feed_datagram *datagram)
{
  memset (datagram, 0, sizeof *datagram);
  if (cf_xdr_decode ((xdrproc_t) xdr_feed_datagram, data, len, datagram))
    return true;
  cf_gossip_clear (datagram);
  return false;
}

void
cf_gossip_clear (struct feed_datagram *datagram)
{
  xdr_free ((xdrproc_t) xdr_feed_datagram, datagram);
  memset (datagram, 0, sizeof *datagram);
}

void
cf_gossip_read_quality (const struct feed_qualities *qualities, struct CfQualityReport *report)
{
  report->count = 0;
  g_strlcpy (report->vm, qualities->name, sizeof report->vm);
  for (u_int i = 0; i < qualities->upstreams.upstreams_len; i++)
    {
      const struct feed_quality *quality = &qualities->upstreams.upstreams_val[i];
      struct CfQualityLine *line = &report->lines[report->count];

      if (quality->failed > quality->answers || quality->answers > ANSWERS_MAX * ANSWER_SCALE
          || g_strlcpy (line->id, quality->upstream, sizeof line->id) >= sizeof line->id)
        continue;
      line->answers = (double) quality->answers / ANSWER_SCALE;
      line->failed = (double) quality->failed / ANSWER_SCALE;
      line->avoided = quality->avoided;
      report->count++;
    }
}
