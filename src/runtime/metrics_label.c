#include "metrics_label.h"

#include <glib.h>

char *
cf_metrics_label (const char *value)
{
  GString *text = g_string_new (NULL);

  for (; *value; value++)
    if (*value == '\n')
      g_string_append (text, "\\n");
    else if (*value == '"' || *value == '\\')
      g_string_append_printf (text, "\\%c", *value);
    else
      g_string_append_c (text, *value);
  return g_string_free (text, FALSE);
}
