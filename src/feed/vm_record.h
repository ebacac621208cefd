#ifndef CF_FEED_VM_RECORD_H
#define CF_FEED_VM_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/* A VM's record of itself in the store, a JSON object. */

struct CfVmRecord
{
  const char *ip;
  const char *domain;
  const char *region;
  double link_mbps;
  int64_t hour; /* when it was last written, see cf_sources_hour */
};

/* Returns the content of the record for VM. */
char *cf_vm_record_format (const struct CfVmRecord *vm);

/* Parses CONTENT (may be NULL) into VM, whose strings live until the returned holder is freed
 * with cf_vm_record_release.  Returns NULL if a field is missing, of the wrong type or out of
 * range, or the address is not IPv4: "hour" can be subtracted and the address put in a URL. */
struct CfVmRecordHolder *cf_vm_record_parse (const char *content, struct CfVmRecord *vm);
void cf_vm_record_release (struct CfVmRecordHolder *holder);

/* Returns true if the JSON texts A and B have equal values. */
bool cf_vm_record_equal (const char *a, const char *b);

#endif
