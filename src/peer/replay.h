#ifndef CF_PEER_REPLAY_H
#define CF_PEER_REPLAY_H

#include "cf_types.h"

/* Sliding window against repeated datagrams of one sender, as in RFC 4303, section
 * 3.4.3. */
struct CfReplayWindow
{
  uint64_t incarnation;
  uint32_t newest;
  uint64_t seen; /* bit N: newest - N was received */
};

/* Returns true if the datagram with serial number XID of a sender with INCARNATION
 * is new, and records it. */
bool cf_replay_accept (struct CfReplayWindow *window, uint64_t incarnation, uint32_t xid);

#endif
