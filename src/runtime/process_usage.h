#ifndef CF_RUNTIME_PROCESS_USAGE_H
#define CF_RUNTIME_PROCESS_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What this process uses of the resources that are limited for it. */
struct CfProcessUsage
{
  uint64_t resident_bytes;
  uint64_t threads;
  uint64_t descriptors;
  uint64_t descriptors_max; /* RLIMIT_NOFILE */
};

/* Reads USAGE from /proc and the kernel.  Returns false if /proc cannot be read. */
bool cf_process_usage_read (struct CfProcessUsage *usage);

/* Appends USAGE to TEXT in the format of /metrics. */
void cf_process_usage_write (const struct CfProcessUsage *usage, GString *text);

#endif
