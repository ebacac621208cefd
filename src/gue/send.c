#include "internal.h"

void
cf_send (struct CfCore *core, const struct CfMember *member, struct peer_message *message)
{
  core->out->send_peer (core->context, &member->address, message);
}
