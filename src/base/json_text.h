#ifndef CF_BASE_JSON_TEXT_H
#define CF_BASE_JSON_TEXT_H

#include "cf_types.h"

#include <json-glib/json-glib.h>

/* The one way in which JSON text from outside the process is parsed.
 *
 * json-glib recurses at each bracket, allocates some hundred bytes for each value, cuts strings at
 * an escaped NUL, wraps integers beyond 64 bits and accepts comments and other text that is not
 * JSON.  So the grammar and the limits are checked before, without recursion. */

#define CF_JSON_DEPTH_MAX 64 /* brackets that are open at once; the platform's formats have 6 */
/* Values in a text, members and elements alike; takes 35 MB at most.  A megabyte of a manifest
 * holds 60,000. */
#define CF_JSON_VALUES_MAX 100000

/* Parses TEXT of LEN bytes.  Returns its root, to be freed with json_node_unref, or NULL with ERROR
 * (may be NULL), which begins with NAME, that of what is parsed. */
JsonNode *cf_json_parse (const char *name, const char *text, size_t len, struct CfError *error);

/* The same for a text that has to be an object. */
JsonNode *
cf_json_parse_object (const char *name, const char *text, size_t len, struct CfError *error);

/* Returns the string FIELD of OBJECT, or NULL if it is missing or of another type. */
const char *cf_json_string (JsonObject *object, const char *field);

/* Reads the number FIELD of OBJECT, whose fraction is cut off.  Returns false if it is missing, of
 * another type, or not from MIN to MAX. */
bool
cf_json_integer (JsonObject *object, const char *field, int64_t min, int64_t max, int64_t *number);

/* Reads the number FIELD of OBJECT, the nearest from MIN to MAX if it is beyond them.  Returns
 * false if it is missing or of another type. */
bool cf_json_number_clamped (
    JsonObject *object, const char *field, double min, double max, double *number);

#endif
