#include "sink.h"

static void
sink_forward (void *context, const struct CfPacket *packet, const struct CfUpstream *upstream)
{
  (void) context;
  (void) packet;
  (void) upstream;
}

static void
sink_transfer (void *context,
               const struct CfPacket *packet,
               const struct peer_transfer *transfer,
               const struct CfAddress *address)
{
  (void) context;
  (void) packet;
  (void) transfer;
  (void) address;
}

static void
sink_refuse (void *context, const struct CfPacket *packet, enum CfVerdict verdict)
{
  (void) context;
  (void) packet;
  (void) verdict;
}

static void
sink_peer (void *context, const struct CfAddress *address, const struct peer_message *message)
{
  (void) context;
  (void) address;
  (void) message;
}

static void
sink_probe (void *context, const uint32_t *upstreams, uint32_t count)
{
  (void) context;
  (void) upstreams;
  (void) count;
}

static void
sink_watch (void *context, bool watch)
{
  (void) context;
  (void) watch;
}

static void
sink_config (void *context, const struct CfConfig *config)
{
  (void) context;
  (void) config;
}

static void
sink_state (void *context, enum peer_state state, bool may_stop)
{
  (void) context;
  (void) state;
  (void) may_stop;
}

struct CfCoreOutputs
test_sink_outputs (void)
{
  return (struct CfCoreOutputs){
    .forward = sink_forward,
    .transfer = sink_transfer,
    .refuse = sink_refuse,
    .send_peer = sink_peer,
    .probe = sink_probe,
    .watch_platform = sink_watch,
    .config_changed = sink_config,
    .state_changed = sink_state,
  };
}

struct CfAddress
test_health_address (const struct CfCore *core, const char *name)
{
  const struct CfConfig *config = cf_core_config (core);
  uint32_t index = config ? cf_config_find_upstream (config, cf_name_id (name)) : CF_NO_INDEX;

  return index == CF_NO_INDEX ? (struct CfAddress){ 0 } : config->upstreams[index].health;
}
