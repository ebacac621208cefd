#include "cf_types.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const char *
cf_verdict_name (enum CfVerdict verdict)
{
  switch (verdict)
    {
    case CF_VERDICT_NOT_RUN:
      return "not-run";
    case CF_VERDICT_MAY_HAVE_RUN:
      return "may-have-run";
    case CF_VERDICT_FORWARDED:
      return "forwarded";
    case CF_VERDICT_TRANSFERRED:
      return "transferred";
    case CF_VERDICT_DELAYED:
      return "delayed";
    }
  return "unknown";
}

bool
cf_error_set (struct CfError *error, enum CfErrorCode code, const char *format, ...)
{
  char text[CF_ERROR_TEXT_MAX];
  va_list args;

  if (!error)
    return false;
  /* The arguments may point into error->text, so format into a buffer first. */
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  error->code = code;
  memcpy (error->text, text, sizeof text);
  return false;
}
