#include "referral.h"
#include "xdr_memory.h"

#include <arpa/inet.h>
#include <string.h>

#define SLOT_MS (CF_MS_PER_S / CF_REFERRAL_SLOTS)

/* A VM that follows this one and has data. */
struct CfReferrerFollower
{
  GList link; /* in the referrer's followers */
  char ip[CF_REFERRAL_IP_BYTES];
  CfMillis asked_at;
};

static void
drop (struct CfReferrer *referrer, struct CfReferrerFollower *follower)
{
  g_queue_unlink (&referrer->followers, &follower->link);
  g_free (follower);
}

void
cf_referrer_clear (struct CfReferrer *referrer)
{
  while (referrer->followers.head)
    drop (referrer, referrer->followers.head->data);
}

/* Empties the slots that have begun since the latest one. */
static void
advance (struct CfReferrer *referrer, CfMillis now)
{
  int64_t slot = now / SLOT_MS;

  if (slot - referrer->slot >= CF_REFERRAL_SLOTS)
    memset (referrer->sent, 0, sizeof referrer->sent);
  else
    for (int64_t i = referrer->slot + 1; i <= slot; i++)
      referrer->sent[i % CF_REFERRAL_SLOTS] = 0;
  referrer->slot = slot;
}

void
cf_referrer_sent (struct CfReferrer *referrer, size_t bytes, CfMillis now)
{
  advance (referrer, now);
  referrer->sent[referrer->slot % CF_REFERRAL_SLOTS] += bytes;
}

static struct CfReferrerFollower *
find (const struct CfReferrer *referrer, const char *ip)
{
  for (GList *link = referrer->followers.head; link; link = link->next)
    if (strcmp (((struct CfReferrerFollower *) link->data)->ip, ip) == 0)
      return link->data;
  return NULL;
}

void
cf_referrer_asked (
    struct CfReferrer *referrer, const char *ip, uint64_t era, bool has_data, CfMillis now)
{
  struct CfReferrerFollower *follower;

  if (era != referrer->era)
    cf_referrer_clear (referrer);
  referrer->era = era;
  follower = find (referrer, ip);
  if (!has_data)
    {
      if (follower)
        drop (referrer, follower);
      return;
    }
  if (!follower)
    {
      if (referrer->followers.length == CF_REFERRAL_FOLLOWERS_MAX)
        drop (referrer, referrer->followers.tail->data);
      follower = g_new0 (struct CfReferrerFollower, 1);
      follower->link.data = follower;
      g_strlcpy (follower->ip, ip, sizeof follower->ip);
      g_queue_push_head_link (&referrer->followers, &follower->link);
    }
  follower->asked_at = now;
}

bool
cf_referrer_refers (
    struct CfReferrer *referrer, guint under_way, CfMillis waited, bool named, CfMillis now)
{
  uint64_t bytes = 0;

  if (waited >= CF_REFERRAL_WAIT_MAX_MS)
    return false;
  if (under_way >= CF_REFERRAL_UNDER_WAY)
    return true;
  /* With updates of 106 KB, VMs that send no more than these bytes reach 173 of 300 VMs in 2 s.  So
   * a VM that was named sends more to those that have waited for a round. */
  if (named && waited >= CF_REFERRAL_AGAIN_MS)
    return false;
  advance (referrer, now);
  for (int i = 0; i < CF_REFERRAL_SLOTS; i++)
    bytes += referrer->sent[i];
  return bytes > CF_REFERRAL_BYTES_PER_S;
}

GBytes *
cf_referrer_encode (struct CfReferrer *referrer, const char *ip, CfMillis now)
{
  feed_ip ips[FEED_REFERRAL_MAX];
  struct feed_referral referral = { .ips = { .ips_val = ips } };
  guint left = referrer->followers.length;
  char data[4 + FEED_REFERRAL_MAX * (4 + CF_REFERRAL_IP_BYTES)];
  GList *next;
  GBytes *bytes;
  XDR xdr;

  for (GList *link = referrer->followers.head;
       link && left > 0 && referral.ips.ips_len < FEED_REFERRAL_MAX; link = next, left--)
    {
      struct CfReferrerFollower *follower = link->data;

      next = link->next;
      if (now - follower->asked_at > CF_REFERRAL_FOLLOWER_MS)
        drop (referrer, follower);
      else if (strcmp (follower->ip, ip) != 0)
        {
          ips[referral.ips.ips_len++] = follower->ip;
          g_queue_unlink (&referrer->followers, link);
          g_queue_push_tail_link (&referrer->followers, link);
        }
    }
  xdrmem_create (&xdr, data, sizeof data, XDR_ENCODE);
  bytes = xdr_feed_referral (&xdr, &referral) ? g_bytes_new (data, xdr_getpos (&xdr)) : NULL;
  xdr_destroy (&xdr);
  return bytes;
}

static bool
is_valid (const struct feed_referral *wire)
{
  struct in_addr address;

  for (u_int i = 0; i < wire->ips.ips_len; i++)
    if (inet_pton (AF_INET, wire->ips.ips_val[i], &address) != 1)
      return false;
  return true;
}

bool
cf_referral_receive (
    struct CfReferral *referral, bool named, const void *data, size_t len, CfMillis now)
{
  struct feed_referral wire = { 0 };
  bool valid = cf_xdr_decode ((xdrproc_t) xdr_feed_referral, data, len, &wire) && is_valid (&wire);

  if (valid && !referral->referred)
    referral->since = now;
  if (valid && !named)
    {
      referral->referred = true;
      referral->again_at = now + CF_REFERRAL_AGAIN_MS;
      referral->next_at = now;
      referral->count = 0;
      referral->asked = 0;
    }
  for (u_int i = 0; valid && i < wire.ips.ips_len && referral->count < CF_REFERRAL_NAMED_MAX; i++)
    g_strlcpy (referral->ips[referral->count++], wire.ips.ips_val[i], CF_REFERRAL_IP_BYTES);
  xdr_free ((xdrproc_t) xdr_feed_referral, &wire);
  return valid;
}

bool
cf_referral_holds (const struct CfReferral *referral, CfMillis now)
{
  return referral->referred && now < referral->again_at;
}

const char *
cf_referral_next (struct CfReferral *referral, CfMillis now, CfMillis *due)
{
  if (referral->count > 0 && referral->asked == referral->count)
    {
      referral->asked = 0;
      referral->next_at = now + CF_REFERRAL_PAUSE_MS;
    }
  if (referral->count > 0 && now >= referral->next_at)
    return referral->ips[referral->asked++];
  *due = referral->count > 0 ? MIN (referral->next_at, referral->again_at) : referral->again_at;
  return NULL;
}

CfMillis
cf_referral_waited (const struct CfReferral *referral, CfMillis now)
{
  return referral->referred ? now - referral->since : 0;
}
