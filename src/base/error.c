#include "cf_types.h"

#include <stdarg.h>
#include <stdio.h>

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
  va_list args;

  if (!error)
    return false;
  error->code = code;
  va_start (args, format);
  vsnprintf (error->text, sizeof error->text, format, args);
  va_end (args);
  return false;
}
