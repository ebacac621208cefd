#include "packet_task.h"
#include "admin_messages.h"
#include "runtime/log.h"
#include "runtime/clock.h"

/* Handlers of the messages to the packet task. */

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

static void
handle_config (void *data, void *message)
{
  struct PacketTask *task = data;

  if (cf_core_set_config (task->core, message, cf_now ()))
    cf_packet_log_config (message, "the platform");
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

static void
handle_health (void *data, void *message)
{
  cf_core_health (((struct PacketTask *) data)->core, message, cf_now ());
}

static void
handle_vm_list (void *data, void *message)
{
  const GArray *vms = message;

  cf_core_vm_list (((struct PacketTask *) data)->core,
                   (const struct CfListedVm *) (const void *) vms->data, vms->len, cf_now ());
}

static void
handle_leave (void *data, void *message)
{
  (void) message;
  cf_core_leave (((struct PacketTask *) data)->core, cf_now ());
}

static void
handle_report_request (void *data, void *message)
{
  struct PacketTask *task = data;
  struct CfCoreReport *report = message;
  struct CfMetricsInput input = {
    .core = task->core,
    .decision_ns = task->decision_ns,
    .server = task->server,
    .now = cf_now (),
    .bad_gue = task->bad_gue,
    .bad_transfers = task->bad_transfers,
    .send_failures = task->out.failed,
  };

  if (report->kind == CF_REPORT_METRICS)
    cf_metrics_write (&input, report->http.text);
  else if (report->kind == CF_REPORT_STATUS)
    cf_core_status (task->core, report->http.text, input.now);
  else
    cf_core_explain (task->core, &report->caller, &report->service, report->protocol,
                     report->http.text, input.now);
  cf_task_post (&task->server->admin, CF_TO_ADMIN_REPORT, report);
}

const struct CfMessageHandler cf_packet_handlers[CF_TO_PACKET_KINDS] = {
  [CF_TO_PACKET_ENVELOPE] = { handle_envelope, free_envelope },
  [CF_TO_PACKET_CONFIG] = { handle_config, (GDestroyNotify) cf_config_unref },
  [CF_TO_PACKET_FOLDER] = { handle_folder, (GDestroyNotify) cf_config_unref },
  [CF_TO_PACKET_HEALTH] = { handle_health, g_free },
  [CF_TO_PACKET_VM_LIST] = { handle_vm_list, (GDestroyNotify) g_array_unref },
  [CF_TO_PACKET_LEAVE] = { handle_leave, NULL },
  [CF_TO_PACKET_REPORT] = { handle_report_request, NULL },
};
