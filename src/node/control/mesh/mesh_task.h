#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_TASK_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_TASK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>
#include <zmq.hpp>

#include "core/result.h"
#include "node/control/mesh/key_authenticator.h"
#include "node/control/mesh/mesh_config.h"
#include "node/control/mesh/peer_listener.h"
#include "node/control/mesh/peer_server.h"
#include "node/control/mesh/peer_socket.h"
#include "node/control/mesh/router_receiver.h"
#include "node/control/mesh/traffic_counts.h"
#include "node/messages.h"
#include "node/work_times.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Mailboxes to which the mesh task posts received messages and its metrics.
struct MeshOutlets {
  Mailbox<FleetMessage>& fleet;
  Mailbox<TrafficMessage>& traffic;
  Mailbox<TelemetryMessage>& telemetry;
};

// Owns the sockets between nodes: one receiver of all peers, and one DEALER per
// peer for sending. The receiver is a ROUTER socket with keys and a PeerServer
// without. Only encodes, decodes and delivers messages;
// contains no decision logic.
class MeshTask {
 public:
  using Message = MeshMessage;

  MeshTask(MeshConfig config, MeshOutlets outlets);

  // Binds the configured address. Fails with kAddressInUse or
  // kSocketFailed if it cannot be bound, and with kResourceRefused if the
  // system refuses threads or descriptors.
  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  // Message counters since the start of the task.
  struct MessageCounts {
    std::uint64_t received_messages = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t unsent_messages = 0;
    std::uint64_t dropped_reports = 0;
    std::uint64_t malformed_messages = 0;
    std::uint64_t reconnects = 0;
  };

  // Fails if the address cannot be listened on. Throws zmq::error_t.
  auto Listen(EventLoop& loop) -> Result<void>;
  auto Send(const SendToPeer& order) -> void;
  // Queues a message that gives way to all others.
  auto Defer(SendToPeer order) -> void;
  // Sends deferred messages until other work has its turn.
  auto SendDeferred() -> void;
  auto UpdatePeers(const PeerEndpointsChanged& change) -> void;
  auto Connect(const VmId& vm, const std::string& endpoint) -> void;
  // Replaces the connection to a peer, which a middlebox may have dropped.
  auto Reconnect(const VmId& vm) -> void;
  // Returns whether the message was valid.
  auto Receive(std::string_view bytes) -> bool;
  auto Deliver(PeerEnvelope envelope) -> void;
  [[nodiscard]] auto LinkTo(const VmId& vm) const -> LinkClass;
  // Checks the descriptors and the connections of peers.
  auto CheckReceiver() -> void;
  auto AppendReceiverTo(std::vector<MetricSample>& samples) const -> void;
  auto ReportMetrics() -> void;

  MeshConfig config_;
  MeshOutlets outlets_;
  TaskContext* context_ = nullptr;
  // Empty until the task starts, since libzmq starts threads.
  std::optional<zmq::context_t> zmq_context_;
  std::optional<KeyAuthenticator> authenticator_;
  PeerListener listener_;
  // Empty until the task starts.
  std::variant<std::monostate, RouterReceiver, PeerServer> receiver_;
  // The peers to be connected to. One that the system refused a socket for has
  // none in `peers_` until its link is reopened.
  std::map<VmId, std::string> endpoints_;
  std::map<VmId, LinkClass> links_;
  std::map<VmId, std::unique_ptr<PeerSocket>> peers_;
  // Reports of outcomes. A VM that is short of processor sends them when it has
  // nothing else to do, and keeps the newest.
  std::deque<SendToPeer> deferred_;
  MessageCounts counts_;
  TrafficCounts traffic_;
  WorkTimes work_times_{Part::kMesh};
  EventLoop::Handle deferred_timer_;
  EventLoop::Handle metrics_timer_;
  EventLoop::Handle listener_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_TASK_H_
