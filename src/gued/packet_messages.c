#include "packet_task.h"
#include "runtime/log.h"
#include "runtime/clock.h"

/* Messages to the packet task and their handlers. */

void
cf_packet_log_config (const struct CfConfig *config, const char *from)
{
  char version[32];

  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, config->version);
  cf_log_state ("CONFIG_VERSION", version, "configuration version %s from %s is in force", version,
                from);
}

static void
handle_envelope (void *data, void *message)
{
  cf_core_peer (((struct PacketTask *) data)->core, message, cf_now ());
}

static void
free_envelope (gpointer data)
{
  cf_peer_release (data);
  g_free (data);
}

void
cf_send_envelope (struct CfServer *server, struct peer_envelope *envelope)
{
  cf_task_post (&server->packet, handle_envelope, envelope, free_envelope);
}

static void
handle_config (void *data, void *message)
{
  struct PacketTask *task = data;

  if (cf_core_set_config (task->core, message, cf_now ()))
    cf_packet_log_config (message, "the platform");
}

static void
free_config (gpointer data)
{
  cf_config_unref (data);
}

void
cf_send_config (struct CfServer *server, struct CfConfig *config)
{
  cf_task_post (&server->packet, handle_config, config, free_config);
}

static void
handle_folder (void *data, void *message)
{
  struct PacketTask *task = data;

  cf_config_unref (task->folder);
  task->folder = cf_config_ref (message);
  if (!cf_core_config (task->core))
    {
      /* Version 0 serves only to find the other VMs: any real version replaces it. */
      struct CfConfig *provisional = cf_config_derive (NULL, message, 0, 0);

      cf_core_set_config (task->core, provisional, cf_now ());
      cf_config_unref (provisional);
    }
}

void
cf_send_folder (struct CfServer *server, struct CfConfig *config)
{
  cf_task_post (&server->packet, handle_folder, config, free_config);
}

static void
handle_health (void *data, void *message)
{
  cf_core_health (((struct PacketTask *) data)->core, message, cf_now ());
}

void
cf_send_health (struct CfServer *server, const struct CfHealthAnswer *answer)
{
  cf_task_post (&server->packet, handle_health, g_memdup2 (answer, sizeof *answer), g_free);
}

static void
handle_vm_list (void *data, void *message)
{
  const GArray *vms = message;

  cf_core_vm_list (((struct PacketTask *) data)->core,
                   (const struct CfListedVm *) (const void *) vms->data, vms->len, cf_now ());
}

static void
free_array (gpointer data)
{
  g_array_unref (data);
}

void
cf_send_vm_list (struct CfServer *server, GArray *vms)
{
  cf_task_post (&server->packet, handle_vm_list, vms, free_array);
}

static void
handle_leave (void *data, void *message)
{
  (void) message;
  cf_core_leave (((struct PacketTask *) data)->core, cf_now ());
}

void
cf_send_leave (struct CfServer *server)
{
  cf_task_post (&server->packet, handle_leave, NULL, NULL);
}

static void
handle_report_request (void *data, void *message)
{
  struct PacketTask *task = data;
  struct CfReport *report = message;
  struct CfMetricsInput input = {
    .core = task->core,
    .decision_ns = task->decision_ns,
    .server = task->server,
    .now = cf_now (),
    .bad_gue = task->bad_gue,
    .bad_transfers = task->bad_transfers,
    .send_failures = task->out.failed,
  };

  report->text = g_string_new (NULL);
  if (report->kind == CF_REPORT_METRICS)
    cf_metrics_write (&input, report->text);
  else if (report->kind == CF_REPORT_STATUS)
    cf_core_status (task->core, report->text, input.now);
  else
    cf_core_explain (task->core, &report->caller, &report->service, report->protocol, report->text,
                     input.now);
  cf_send_report (task->server, report);
}

void
cf_send_report_request (struct CfServer *server, struct CfReport *report)
{
  cf_task_post (&server->packet, handle_report_request, report, NULL);
}
