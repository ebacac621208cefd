#ifndef CF_CONFIG_TEXT_H
#define CF_CONFIG_TEXT_H

#include <glib.h>

/* Writes FILE with its groups and keys sorted, so that equal content gives equal
 * text.  The result is to be freed. */
char *cf_config_canonical (GKeyFile *file);

/* Returns the key file that TEXT, a canonical text, holds. */
GKeyFile *cf_config_key_file (const char *text);

#endif
