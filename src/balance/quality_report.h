#ifndef CF_BALANCE_QUALITY_REPORT_H
#define CF_BALANCE_QUALITY_REPORT_H

#include <stdbool.h>
#include <stdint.h>

/* Report of a VM to the others of its failure domain on upstreams that fail requests.  With tens of
 * VMs, each observes too few answers of one upstream to detect an outlier alone. */

/* A report holds at most this many upstreams, those with the most failures.  With ids of common
 * length it fits a datagram that is not fragmented. */
#define CF_QUALITY_MAX 12
#define CF_QUALITY_ID_MAX 64 /* bytes; an upstream with a longer id is not reported */

struct CfQualityLine
{
  char id[CF_QUALITY_ID_MAX];
  double answers; /* recent ones, with exponential decay */
  double failed;  /* of these */
  bool avoided;   /* the sender avoids it */
};

struct CfQualityReport
{
  char vm[CF_QUALITY_ID_MAX]; /* the sender */
  uint32_t count;
  struct CfQualityLine lines[CF_QUALITY_MAX];
};

#endif
