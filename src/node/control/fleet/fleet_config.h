#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/service_source.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/peer/peer_message.h"
#include "node/messages.h"
#include "runtime/mailbox.h"

namespace flamingoyoke {

// Configuration of the fleet task, taken from the settings of the process.
struct FleetConfig {
  // Id, incarnation, addresses, failure domain and region of this VM. The
  // incarnation is positive and higher than that of an earlier process.
  Member self;
  // Number of keys that the table is split over; positive.
  std::uint32_t table_shards = 1;
  std::uint64_t seed = 0;
  // Source of the service definitions.
  ServiceSource source = ServiceSource::kTable;
  // Initial contacts for membership discovery, used if the platform provides
  // no list of VMs.
  std::vector<Member> seeds;
  // Minimum number of entry VMs for callers of routed services, kept even while
  // the fleet is idle.
  std::uint32_t least_entries = 3;
  // Maximum age of the published configuration and registry. A VM without a
  // confirmation of a reader for this long reads the store itself.
  Duration max_view_age = std::chrono::seconds(1);
};

// Mailboxes of the tasks that the fleet task sends messages to.
struct FleetOutlets {
  Mailbox<MeshMessage>& mesh;
  Mailbox<PlatformMessage>& platform;
  Mailbox<TrafficMessage>& traffic;
  Mailbox<AdminMessage>& admin;
  Mailbox<TelemetryMessage>& telemetry;
};

// State that survives a restart of the fleet task, so that the process never
// reverts to an older table. Owned by the code that creates the task; accessed
// only on the thread of the running task.
struct FleetMemory {
  // Active text of each shard.
  std::vector<TableData> tables;
  // Whether the servers for callers and for peers have started once.
  bool serves_callers = false;
  bool serves_peers = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_FLEET_CONFIG_H_
