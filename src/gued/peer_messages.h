#ifndef CF_GUED_PEER_MESSAGES_H
#define CF_GUED_PEER_MESSAGES_H

#include "cf_types.h"

#include <glib.h>

/* Messages to the peer task, which owns the content from then on. */
enum CfPeerMessage
{
  CF_TO_PEER_DATAGRAM, /* struct CfPeerDatagram */
  CF_TO_PEER_KINDS,
};

/* An encoded message for the entry VM whose transfer port is at ADDRESS. */
struct CfPeerDatagram
{
  struct CfAddress address;
  GBytes *bytes;
};

#endif
