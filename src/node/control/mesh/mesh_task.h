#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_TASK_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_TASK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <zmq.hpp>

#include "core/result.h"
#include "node/control/mesh/key_authenticator.h"
#include "node/control/mesh/mesh_config.h"
#include "node/control/mesh/peer_socket.h"
#include "node/messages.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Where the mesh task delivers what it receives.
struct MeshOutlets {
  Mailbox<FleetMessage>& fleet;
  Mailbox<TrafficMessage>& traffic;
  Mailbox<TelemetryMessage>& telemetry;
};

// Owns the sockets between nodes: one ROUTER that receives from all peers and
// one DEALER for each peer to send to. Encodes, decodes and delivers; decides
// nothing.
class MeshTask {
 public:
  using Message = MeshMessage;

  MeshTask(MeshConfig config, MeshOutlets outlets);

  // Listens on the configured address. Fails with kSocketFailed if it is
  // taken.
  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  // Counters since the start of the task.
  struct Traffic {
    std::uint64_t received_messages = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t unsent_messages = 0;
    std::uint64_t malformed_messages = 0;
  };

  auto Listen(EventLoop& loop) -> void;
  auto Send(const SendToPeer& order) -> void;
  auto ChangeEndpoints(const PeerEndpointsChanged& change) -> void;
  auto ReceiveAll() -> void;
  auto Receive(std::string_view bytes) -> void;
  auto Deliver(PeerEnvelope envelope) -> void;
  auto ReportMetrics() -> void;

  MeshConfig config_;
  MeshOutlets outlets_;
  TaskContext* context_ = nullptr;
  zmq::context_t zmq_context_;
  std::optional<KeyAuthenticator> authenticator_;
  zmq::socket_t receiver_;
  std::map<VmId, std::unique_ptr<PeerSocket>> peers_;
  Traffic traffic_;
  EventLoop::Handle receive_watch_;
  EventLoop::Handle receive_again_;
  EventLoop::Handle metrics_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_TASK_H_
