#ifndef CF_FEED_NAMES_H
#define CF_FEED_NAMES_H

#include <glib.h>
#include <stdbool.h>

/* Bounds the names of services and failure domains that records of other writers bring.
 *
 * They are held as GQuarks, which are never freed, so a writer that announces ever new ones would
 * make each VM grow without end.  The names that a manifest lists are not counted: operators write
 * it, and it has to be followed. */

/* Names of each kind beyond those of manifests.  With what is indexed by them, one takes below
 * 1 KB. */
#define CF_NAMES_MAX 1024
#define CF_NAME_MAX_BYTES 255

enum CfNameKind
{
  CF_NAME_SERVICE,
  CF_NAME_DOMAIN,
  CF_NAME_KINDS,
};

/* All 0 at first.  There is one for a process. */
struct CfNames
{
  guint admitted[CF_NAME_KINDS];
};

/* Returns true if NAME may be made a GQuark: it is one, or is now, within the bound of KIND. */
bool cf_names_admit (struct CfNames *names, enum CfNameKind kind, const char *name);

#endif
