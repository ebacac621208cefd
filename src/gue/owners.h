#ifndef CF_OWNERS_H
#define CF_OWNERS_H

#include "cf_types.h"

#include <glib.h>

/* Which members own and back up each bucket of flows.
 *
 * The owner is the first member in rendezvous order of the bucket, the first
 * backup the second.  The second backup is the best member of a failure domain
 * other than theirs.  Where the first two share a failure domain there is a third
 * backup, so that three domains know each entry.  When an owner leaves, the first
 * backup succeeds it. */

#define CF_BUCKET_BITS 12
#define CF_BUCKETS (1U << CF_BUCKET_BITS)
#define CF_HOLDERS 4
#define CF_ORDERED_HOLDERS 2 /* chosen by score alone */
#define CF_HOLDER_DOMAINS 3  /* number of failure domains that suffices */
#define CF_NO_MEMBER UINT32_MAX

/* Returns the bucket of flow KEY. */
#define CF_BUCKET(key) ((uint32_t) ((key) >> (64 - CF_BUCKET_BITS)))

struct CfCandidate
{
  uint32_t member; /* index into the core's members */
  uint32_t id;
  uint32_t domain;
  CfMillis since; /* when it became a holder of the bucket */
};

struct CfOwners
{
  struct CfCandidate holders[CF_BUCKETS][CF_HOLDERS];
  GArray *candidates; /* of struct CfCandidate, ordered by id */
};

void cf_owners_init (struct CfOwners *owners);
void cf_owners_clear (struct CfOwners *owners);

/* Sets the members to choose from to CANDIDATES (of struct CfCandidate, ordered by id).
 * Recomputes only the buckets that the change affects.  Returns true if anything changed. */
bool cf_owners_update (struct CfOwners *owners, const GArray *candidates, CfMillis now);

bool cf_owners_holds (const struct CfOwners *owners, uint32_t bucket, uint32_t member);

/* Returns the rendezvous score of member ID for KEY. */
uint64_t cf_rendezvous_score (uint64_t key, uint32_t id);

/* Returns the member with the highest score for KEY, or CF_NO_MEMBER. */
uint32_t cf_owners_first (const struct CfOwners *owners, uint64_t key);

#endif
