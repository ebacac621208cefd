#ifndef CF_OBJECTSTORE_HTTP_H
#define CF_OBJECTSTORE_HTTP_H

#include "store.h"

#include <libsoup/soup.h>

/* The platform's object API over HTTP:
 *
 *   GET  BASE/objects/NAME   value, version tag in ETag; 404 if there is none.
 *        With If-None-Match and "Prefer: wait=N" (RFC 7240) the answer waits up to
 *        N seconds for another version, then is 304.
 *   PUT  BASE/objects/NAME   with If-Match, or If-None-Match: * for a new object;
 *        412 if the condition does not hold.
 *        Status objects, "status-" and the VM's name, are written without condition.
 *   GET  BASE/vms            JSON array of the entry VMs. */

#define CF_HTTP_DEADLINE_MS 3000 /* of a command's call */

/* Returns a request to read NAME; with TAG it waits up to WAIT_S for another version. */
SoupMessage *cf_http_read_message (const char *base, const char *name, const char *tag, int wait_s);

/* Returns the result of MESSAGE with the response BODY (may be NULL) and fills in OBJECT. */
enum CfStoreResult
cf_http_read_result (SoupMessage *message, GBytes *body, struct CfObject *object);

#endif
