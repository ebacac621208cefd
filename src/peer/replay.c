#include "replay.h"

#define WINDOW_BITS 64

bool
cf_replay_accept (struct CfReplayWindow *window, uint64_t incarnation, uint32_t xid)
{
  uint32_t behind;

  if (incarnation < window->incarnation)
    return false;
  if (incarnation > window->incarnation)
    {
      *window = (struct CfReplayWindow){ .incarnation = incarnation, .newest = xid, .seen = 1 };
      return true;
    }
  if (xid > window->newest)
    {
      uint32_t ahead = xid - window->newest;

      window->seen = ahead < WINDOW_BITS ? window->seen << ahead | 1 : 1;
      window->newest = xid;
      return true;
    }
  behind = window->newest - xid;
  if (behind >= WINDOW_BITS || window->seen >> behind & 1)
    return false;
  window->seen |= 1ULL << behind;
  return true;
}
