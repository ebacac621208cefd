#include "delivery.h"

static bool
is_after (uint32_t a, uint32_t b)
{
  return (int32_t) (a - b) > 0;
}

struct CfDeliveryUpdate
cf_delivery_update (struct CfDelivery *delivery, const struct CfSegment *segment, CfMillis now)
{
  uint32_t end = segment->seq + segment->data;
  struct CfDeliveryUpdate update = { 0 };

  if (!delivery->seen)
    *delivery = (struct CfDelivery){
      .seen = true,
      .end = segment->seq,
      .answered = segment->ack,
      .sent_at = now,
      .repeated_at = -1,
    };
  update.sent_at = delivery->sent_at;
  update.answered = is_after (segment->ack, delivery->answered);
  if (update.answered)
    delivery->answered = segment->ack;
  update.new_data = is_after (end, delivery->end);
  if (update.new_data)
    {
      delivery->end = end;
      delivery->sent_at = now;
      delivery->repeated_at = -1;
      delivery->silent = false;
    }
  update.repeated = segment->data > 0 && !update.new_data && !update.answered
                    && now - delivery->sent_at >= CF_DELIVERY_REPEAT_MS;
  if (update.answered)
    delivery->repeated_at = -1;
  if (update.repeated)
    delivery->repeated_at = now;
  return update;
}
