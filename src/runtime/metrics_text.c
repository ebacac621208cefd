#include "metrics_text.h"

#define PREFIX "cyclamenferry_"

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

void
cf_metrics_value (GString *text, uint64_t value, const char *format, ...)
{
  va_list args;

  g_string_append (text, PREFIX);
  va_start (args, format);
  g_string_append_vprintf (text, format, args);
  va_end (args);
  g_string_append_printf (text, " %" G_GUINT64_FORMAT "\n", value);
}

void
cf_metrics_histogram (GString *text,
                      const char *name,
                      const char *tenant_name,
                      const char *service_name,
                      const struct CfHistogram *histogram)
{
  char *tenant = cf_metrics_label (tenant_name);
  char *service = cf_metrics_label (service_name);
  uint64_t sum = 0;

  for (int i = 0; i < CF_HISTOGRAM_BUCKETS; i++)
    {
      if (!histogram->count[i])
        continue;
      sum += histogram->count[i];
      g_string_append_printf (
          text,
          PREFIX "%s_bucket{tenant=\"%s\",service=\"%s\",le=\"%" G_GUINT64_FORMAT
                 "\"} %" G_GUINT64_FORMAT "\n",
          name, tenant, service, i ? (G_GUINT64_CONSTANT (1) << i) - 1 : 0, sum);
    }
  g_string_append_printf (text,
                          PREFIX "%s_bucket{tenant=\"%s\",service=\"%s\",le=\"+Inf\"} "
                                 "%" G_GUINT64_FORMAT "\n" PREFIX
                                 "%s_sum{tenant=\"%s\",service=\"%s\"} %" G_GUINT64_FORMAT
                                 "\n" PREFIX
                                 "%s_count{tenant=\"%s\",service=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          name, tenant, service, histogram->total, name, tenant, service,
                          histogram->sum, name, tenant, service, histogram->total);
  g_free (service);
  g_free (tenant);
}
