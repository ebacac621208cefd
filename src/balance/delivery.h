#ifndef CF_BALANCE_DELIVERY_H
#define CF_BALANCE_DELIVERY_H

#include "segment.h"

/* Infers from a caller's packets whether its data reaches the upstream of an open flow.
 *
 * An upstream acknowledges data at once, also while it works on a request.  A caller that sends
 * the same data again has got no acknowledgement. */

/* Milliseconds between the first sight of data and a repeat that counts.  Less than the 200 ms
 * after which callers retransmit, and more than packets of one burst are reordered by. */
#define CF_DELIVERY_REPEAT_MS 150

/* The last data of a flow. */
struct CfDelivery
{
  bool seen;            /* the fields below are set */
  bool silent;          /* counted as not acknowledged */
  uint32_t end;         /* sequence number after it */
  uint32_t answered;    /* highest acknowledgement number of the caller */
  CfMillis sent_at;     /* when it first came to this VM */
  CfMillis repeated_at; /* when it last came again without an answer, -1: not since sent_at */
};

/* What a packet shows. */
struct CfDeliveryUpdate
{
  bool answered;    /* the caller has received further data */
  bool new_data;    /* it carries data that this VM has not seen */
  bool repeated;    /* it carries the last data again, and there was no answer meanwhile */
  CfMillis sent_at; /* when the last data before it came to this VM */
};

/* Updates DELIVERY by SEGMENT, a packet of its flow after the first. */
struct CfDeliveryUpdate
cf_delivery_update (struct CfDelivery *delivery, const struct CfSegment *segment, CfMillis now);

#endif
