#include "balance/load_table.h"
#include "datapath_internal.h"
#include "runtime/metrics_text.h"
#include "runtime/clock.h"

#include <inttypes.h>

void
cf_datapath_count_refusal (struct DatapathTask *task, const struct CfAdmissionVerdict *verdict)
{
  struct CfRefusals *refusals
      = cf_table_get (task->refused, verdict->service, sizeof (struct CfRefusals));

  refusals->count[MIN (verdict->priority, CF_LOAD_PRIORITIES - 1)][verdict->reason]++;
}

static void
write_service (void *context, GQuark service, const struct CfOverload *overload)
{
  GString *text = context;
  char *label = cf_metrics_label (g_quark_to_string (service));

  g_string_append_printf (text,
                          "cyclamenferry_overload{service=\"%s\"} %d\n"
                          "cyclamenferry_occupancy{service=\"%s\"} %.3f\n",
                          label, overload->active, label, overload->occupancy);
  for (uint32_t i = 0; overload->active && i < CF_LOAD_PRIORITIES; i++)
    g_string_append_printf (text,
                            "cyclamenferry_admitted_share{service=\"%s\",priority=\"%u\"} %.3f\n",
                            label, i, cf_overload_admitted (overload, i));
  g_free (label);
}

static void
write_refusals (const struct DatapathTask *task, GString *text)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, task->refused);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct CfRefusals *refusals = value;
      char *label = cf_metrics_label (g_quark_to_string (GPOINTER_TO_UINT (key)));

      for (uint32_t i = 0; i < CF_LOAD_PRIORITIES; i++)
        for (uint32_t j = 0; j < CF_REFUSAL_COUNT; j++)
          if (refusals->count[i][j] > 0)
            cf_metrics_value (text, refusals->count[i][j],
                              "refused_total{service=\"%s\",priority=\"%u\",reason=\"%s\"}", label,
                              i, cf_refusal_reason_name ((enum CfRefusalReason) j));
      g_free (label);
    }
}

static void
write_load_reports (struct DatapathTask *task, GString *text)
{
  struct CfBalancer *balancer = task->balancer;
  struct CfLoadTable *table = cf_admission_load_table (cf_balance_admission (task->balance));
  CfMillis now = cf_now ();

  cf_metrics_value (text, atomic_load (&balancer->load_reports_sent),
                    "load_reports_total{direction=\"sent\"}");
  cf_metrics_value (text, atomic_load (&balancer->load_reports_received),
                    "load_reports_total{direction=\"received\"}");
  cf_metrics_value (text, atomic_load (&balancer->load_report_bytes_sent),
                    "load_report_bytes_total{direction=\"sent\"}");
  cf_metrics_value (text, atomic_load (&balancer->load_report_bytes_received),
                    "load_report_bytes_total{direction=\"received\"}");
  cf_metrics_value (text, cf_load_table_count (table, now), "load_reports_valid");
  g_string_append_printf (text, "cyclamenferry_load_report_age_ms %" PRId64 "\n",
                          cf_load_table_age (table, now));
}

void
cf_datapath_write_overload_metrics (struct DatapathTask *task, GString *text)
{
  struct CfAdmissionControl *admission = cf_balance_admission (task->balance);

  for (int i = 0; i < CF_EXTRA_OPEN_COUNT; i++)
    if (task->extra_openings[i] > 0)
      cf_metrics_value (text, task->extra_openings[i], "extra_openings_total{result=\"%s\"}",
                        cf_extra_open_result_name ((enum CfExtraOpenResult) i));
  if (!admission)
    return;
  cf_admission_each_service (admission, write_service, text);
  write_refusals (task, text);
  write_load_reports (task, text);
  cf_metrics_value (text, cf_admission_waiting (cf_admission_control_queue (admission)),
                    "first_packets_held");
  cf_metrics_histogram (text, "held_ms", "", "", &task->held);
}
