#ifndef CF_FEED_VM_RECORD_H
#define CF_FEED_VM_RECORD_H

#include <stdbool.h>
#include <stdint.h>

/* What a VM says of itself in the store, as a JSON object. */

struct CfVmRecord
{
  const char *ip;
  const char *domain;
  const char *region;
  double link_mbps;
  int64_t hour; /* when it was last written, see cf_sources_hour */
};

/* Returns the content of the record that says VM. */
char *cf_vm_record_format (const struct CfVmRecord *vm);

/* Reads CONTENT (NULL: there is none) into VM, whose strings live until the returned holder
 * is freed with cf_vm_record_release.  Returns NULL if a field is missing or of the wrong
 * type. */
struct CfVmRecordHolder *cf_vm_record_parse (const char *content, struct CfVmRecord *vm);
void cf_vm_record_release (struct CfVmRecordHolder *holder);

/* Returns true if the contents A and B say the same. */
bool cf_vm_record_equal (const char *a, const char *b);

#endif
