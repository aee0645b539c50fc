#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <vector>

#include "core/service_source.h"
#include "decision/fleet/member.h"
#include "decision/peer/peer_message.h"
#include "node/messages.h"
#include "runtime/mailbox.h"

namespace flamingoyoke {

// What the fleet task needs from the settings of the process.
struct FleetConfig {
  // Id, incarnation, addresses, failure domain and region of this vm. The
  // incarnation is positive and higher than that of an earlier process.
  Member self;
  // Number of keys that the table is split over; positive.
  std::uint32_t table_shards = 1;
  std::uint64_t seed = 0;
  // Where the services come from.
  ServiceSource source = ServiceSource::kTable;
  // Vms to learn the others from, where the platform lists none.
  std::vector<Member> seeds;
  // Vms that callers of routed services are sent to while the fleet is idle.
  std::uint32_t least_entries = 3;
};

// Where the fleet task sends its orders and news.
struct FleetOutlets {
  Mailbox<MeshMessage>& mesh;
  Mailbox<PlatformMessage>& platform;
  Mailbox<TrafficMessage>& traffic;
  Mailbox<AdminMessage>& admin;
  Mailbox<TelemetryMessage>& telemetry;
};

// What a fleet task leaves to the one that replaces it after a failure, so
// that the table of the process never goes back. Owned by the part that makes
// the tasks; used on the thread of the running one only.
struct FleetMemory {
  // The text in force of each shard.
  std::vector<TableData> tables;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_CONFIG_H_
