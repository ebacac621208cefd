#ifndef CF_TEST_FLEET_INTERNAL_H
#define CF_TEST_FLEET_INTERNAL_H

#include "fleet.h"

/* Shared by the parts of the test fleet. */

#define FLEET_PACKET_MAX 128

/* A packet on its way to a VM or an upstream. */
struct FleetPacket
{
  uint32_t target;
  size_t len;
  struct peer_transfer transfer;
  uint8_t data[FLEET_PACKET_MAX];
};

/* What a caller receives. */
enum FleetAnswer
{
  ANSWER_OPENED,
  ANSWER_ACK,
  ANSWER_RESET,
  ANSWER_REFUSED_NOT_RUN,
  ANSWER_REFUSED,
};

void
fleet_upstream_receive (struct Fleet *fleet, uint32_t upstream, const struct FleetPacket *packet);
void fleet_answer (struct Fleet *fleet, uint32_t flow, enum FleetAnswer answer, int32_t upstream);

/* Returns flow number INDEX. */
static inline struct FleetFlow *
fleet_flow_at (const struct Fleet *fleet, uint32_t index)
{
  return fleet->flows->pdata[index];
}

/* Ends FLOW with STATE, or with FLOW_UPSTREAM_LOST if that broke it. */
void fleet_finish (struct Fleet *fleet, struct FleetFlow *flow, enum FlowState state);
uint32_t fleet_flow_of (const struct CfPacket *packet);
void fleet_to_fabric (struct Fleet *fleet, const struct FleetPacket *packet);
void fleet_traffic_start (struct Fleet *fleet);

/* The outputs of a core; the context is a struct FleetVm. */
extern const struct CfCoreOutputs fleet_outputs;

#endif
