#ifndef CF_BALANCE_QUALITY_REPORT_H
#define CF_BALANCE_QUALITY_REPORT_H

#include <stdbool.h>
#include <stdint.h>

/* What a VM tells others of its failure domain about upstreams whose requests fail: with tens of
 * VMs each sees too few answers of one upstream to judge it alone. */

/* Upstreams in one report, those that fail most: with ids of usual length it fits a datagram
 * that no link splits. */
#define CF_QUALITY_MAX 12
#define CF_QUALITY_ID_MAX 64 /* bytes; an upstream with a longer id is not reported */

struct CfQualityLine
{
  char id[CF_QUALITY_ID_MAX];
  double answers; /* of late, the older ones counting less */
  double failed;  /* of these */
  bool avoided;   /* the VM that reports avoids it */
};

struct CfQualityReport
{
  char vm[CF_QUALITY_ID_MAX]; /* who reports */
  uint32_t count;
  struct CfQualityLine lines[CF_QUALITY_MAX];
};

#endif
