#ifndef CF_FEED_REFERRAL_H
#define CF_FEED_REFERRAL_H

#include "cf_types.h"
#include "feed.h"

#include <glib.h>

/* Spreads the first synchronization of VMs that start at the same time.  A busy VM refers one
 * without data to other VMs that have data. */

/* A VM with this many whole updates under way, or that has sent more than so many bytes of updates
 * in the last second, is busy. */
#define CF_REFERRAL_UNDER_WAY 4
#define CF_REFERRAL_BYTES_PER_S (200 * 1024)
/* A VM that was first referred this long ago is served by a busy VM, too.  It must have data within
 * 2 s: this leaves time for a call to a named VM that does not answer, and for the update. */
#define CF_REFERRAL_WAIT_MAX_MS 1000
/* A referred VM asks the VM that referred it again after this time. */
#define CF_REFERRAL_AGAIN_MS 400
/* Deadline of a call to a named VM. */
#define CF_REFERRAL_CALL_MS 300
/* Once no named VM has returned data, all of them are asked again after this time. */
#define CF_REFERRAL_PAUSE_MS 100
/* A follower is named for this long after its last request.  It asks at least every 1.5 s. */
#define CF_REFERRAL_FOLLOWER_MS 2000
/* Followers that are known.  A VM has some 20. */
#define CF_REFERRAL_FOLLOWERS_MAX 64
/* Named VMs that a referred one knows. */
#define CF_REFERRAL_NAMED_MAX 8

#define CF_REFERRAL_IP_BYTES 16
#define CF_REFERRAL_SLOTS 10 /* of 100 ms */

/* What a VM knows that refers others.  Zeroed, it is empty. */
struct CfReferrer
{
  uint64_t sent[CF_REFERRAL_SLOTS]; /* bytes of updates */
  int64_t slot;                     /* number of the latest one */
  uint64_t era;                     /* of the followers' positions */
  GQueue followers;                 /* of struct CfReferrerFollower; those to be named next first */
};

void cf_referrer_clear (struct CfReferrer *referrer);

/* Counts BYTES of an update sent at NOW. */
void cf_referrer_sent (struct CfReferrer *referrer, size_t bytes, CfMillis now);

/* The VM at IP asked at NOW for changes after a position in ERA, with data (HAS_DATA) or without.
 */
void cf_referrer_asked (
    struct CfReferrer *referrer, const char *ip, uint64_t era, bool has_data, CfMillis now);

/* A VM without data that was first referred WAITED ago asks this one, as a VM that was named to it
 * (NAMED) or as the first.  Returns true if it is to be referred at NOW, with UNDER_WAY whole
 * updates under way here. */
bool cf_referrer_refers (
    struct CfReferrer *referrer, guint under_way, CfMillis waited, bool named, CfMillis now);

/* Returns a feed_referral in XDR for the VM at IP. */
GBytes *cf_referrer_encode (struct CfReferrer *referrer, const char *ip, CfMillis now);

/* The state of a VM without data.  Zeroed: it was not referred. */
struct CfReferral
{
  bool referred;
  CfMillis since;    /* when it was first referred */
  CfMillis again_at; /* when the first VM is asked again */
  CfMillis next_at;  /* when the next named VM is asked */
  guint count;       /* of named VMs */
  guint asked;       /* of these */
  char ips[CF_REFERRAL_NAMED_MAX][CF_REFERRAL_IP_BYTES];
};

/* Reads the referral DATA of LEN bytes, received at NOW from a VM that was itself named in one
 * (NAMED) or from the first VM.  Returns false if it is not valid. */
bool cf_referral_receive (
    struct CfReferral *referral, bool named, const void *data, size_t len, CfMillis now);

/* Returns true if the usual source is not to be asked at NOW, but a named VM or none. */
bool cf_referral_holds (const struct CfReferral *referral, CfMillis now);

/* Returns the IP of the named VM to be asked at NOW, or NULL and in DUE when to call again. */
const char *cf_referral_next (struct CfReferral *referral, CfMillis now, CfMillis *due);

/* Returns the time since the VM was first referred. */
CfMillis cf_referral_waited (const struct CfReferral *referral, CfMillis now);

#endif
