#include "names.h"

#include <string.h>

bool
cf_names_admit (struct CfNames *names, enum CfNameKind kind, const char *name)
{
  if (g_quark_try_string (name))
    return true;
  if (strlen (name) > CF_NAME_MAX_BYTES || names->admitted[kind] >= CF_NAMES_MAX)
    return false;
  names->admitted[kind]++;
  g_quark_from_string (name);
  return true;
}
