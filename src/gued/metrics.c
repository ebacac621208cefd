#include "runtime/metrics_text.h"
#include "server.h"

#define PREFIX "cyclamenferry_"

static void
write_type (GString *text, const char *name, const char *type)
{
  g_string_append_printf (text, "# TYPE " PREFIX "%s %s\n", name, type);
}

static void
write_counters (GString *text, const struct CfStats *stats)
{
  for (int i = 0; i < CF_COUNT_MAX; i++)
    {
      char *name = g_strdup_printf ("%s_total", cf_counter_name ((enum CfCounter) i));

      write_type (text, name, "counter");
      cf_metrics_value (text, stats->counter[i], "%s", name);
      g_free (name);
    }
  write_type (text, "dropped_total", "counter");
  for (int i = 1; i < CF_DROP_COUNT; i++)
    cf_metrics_value (text, stats->drop[i], "dropped_total{reason=\"%s\"}",
                      cf_drop_name ((enum CfDrop) i));
}

static void
write_service_counter (GString *text,
                       const char *name,
                       const struct CfServiceStats *service,
                       uint64_t n)
{
  char *tenant_label = cf_metrics_label (service->tenant);
  char *service_label = cf_metrics_label (service->name);

  cf_metrics_value (text, n, "%s{tenant=\"%s\",service=\"%s\"}", name, tenant_label, service_label);
  g_free (service_label);
  g_free (tenant_label);
}

static void
write_services (const struct CfMetricsInput *input, GString *text)
{
  const GPtrArray *services = cf_core_stats (input->core)->services;

  for (guint i = 0; i < services->len; i++)
    {
      const struct CfServiceStats *service = services->pdata[i];
      const struct CfHistogram *decision
          = g_hash_table_lookup (input->decision_ns, GUINT_TO_POINTER (service->service));

      write_service_counter (text, "service_packets_total", service, service->packets);
      write_service_counter (text, "service_bytes_total", service, service->bytes);
      write_service_counter (text, "service_new_flows_total", service, service->new_flows);
      write_service_counter (text, "service_refused_total", service, service->refused);
      cf_metrics_histogram (text, "packet_bytes", service->tenant, service->name,
                            &service->packet_bytes);
      cf_metrics_histogram (text, "handshake_ms", service->tenant, service->name,
                            &service->handshake_ms);
      if (decision)
        cf_metrics_histogram (text, "decision_ns", service->tenant, service->name, decision);
    }
}

void
cf_metrics_write (const struct CfMetricsInput *input, GString *text)
{
  const struct CfConfig *config = cf_core_config (input->core);

  write_counters (text, cf_core_stats (input->core));
  write_type (text, "peer_messages_total", "counter");
  for (int i = 0; i < CF_PEER_RESULT_COUNT; i++)
    cf_metrics_value (text, atomic_load (&input->server->peer_results[i]),
                      "peer_messages_total{result=\"%s\"}",
                      cf_peer_result_name ((enum CfPeerResult) i));
  cf_metrics_value (text, input->bad_gue, "bad_gue_total");
  cf_metrics_value (text, input->bad_transfers, "bad_transfers_total");
  cf_metrics_value (text, input->send_failures, "send_failures_total");
  cf_metrics_value (text, atomic_load (&input->server->health_waiting), "health_probes_waiting");
  cf_metrics_value (text, cf_core_flow_bytes (input->core), "flow_table_bytes");
  cf_metrics_value (text, config ? config->version : 0, "config_version");
  cf_metrics_value (text, cf_core_settled (input->core), "settled");
  write_services (input, text);
}
