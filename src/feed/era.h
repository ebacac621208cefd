#ifndef CF_FEED_ERA_H
#define CF_FEED_ERA_H

#include "cf_types.h"

/* Decides whether a VM believes the era that the store or another VM gives.
 *
 * The era rises by one with each restore of the store, and a VM that holds a later one refuses what
 * earlier ones say.  A wrong number must not be adopted from one answer, and must not be kept for
 * good if it was the first that a VM received.  So:
 *
 * - A VM that holds none takes the first, up to CF_ERA_MAX.
 * - Of a VM that holds one, a later one is believed if it is at most CF_ERA_JUMP_MAX above, and an
 *   earlier one means old data if it is at most that much below.
 * - Any other is doubted: what comes with it is not used, and the VM keeps its era and its records.
 *   If the store gives the same doubted era for CF_ERA_CONFIRM_MS, in at least
 *   CF_ERA_CONFIRM_ANSWERS answers without another era between them, it is entered, whether it is
 *   above or below.  Other VMs cannot confirm one.
 *
 * A VM with a wrong era is thus not followed by those with the right one, finds no VM to follow,
 * reads the store, and returns to the right one after CF_ERA_CONFIRM_MS.  No I/O. */

/* The store counts in signed numbers. */
#define CF_ERA_MAX ((uint64_t) INT64_MAX)
/* Restores that a VM may miss while it is cut off.  Restores are rare: a few a year. */
#define CF_ERA_JUMP_MAX 1000
#define CF_ERA_CONFIRM_MS 5000
#define CF_ERA_CONFIRM_ANSWERS 3

enum CfEraVerdict
{
  CF_ERA_HELD,    /* the one that the VM holds, or none was given */
  CF_ERA_EARLIER, /* what comes with it is old */
  CF_ERA_LATER,   /* to be entered */
  CF_ERA_DOUBTED,
};

/* The unconfirmed era that the store gave last.  All 0: none. */
struct CfEraCandidate
{
  uint64_t era;
  uint32_t answers; /* in a row */
  CfMillis since;
};

/* Returns the verdict on ERA (0: not given) of another VM, for a VM that holds HELD (0: none). */
enum CfEraVerdict cf_era_judge (uint64_t held, uint64_t era);

/* The same for an answer of the store at NOW.  CF_ERA_LATER may also be for an era below HELD that
 * has been confirmed. */
enum CfEraVerdict
cf_era_judge_store (struct CfEraCandidate *candidate, uint64_t held, uint64_t era, CfMillis now);

#endif
