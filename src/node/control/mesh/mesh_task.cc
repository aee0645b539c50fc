#include "node/control/mesh/mesh_task.h"

#include <google/protobuf/stubs/logging.h>

#include <chrono>
#include <iterator>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "core/overloaded.h"
#include "decision/peer/peer_message_kind.h"
#include "node/listen_error.h"
#include "node/log.h"
#include "runtime/clock.h"
#include "runtime/resource_check.h"
#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

constexpr Duration kMetricsPeriod = std::chrono::seconds(5);
// Time after which other work has its turn. A message takes milliseconds on a
// VM that is short of processor.
constexpr Duration kMaxTurn = std::chrono::milliseconds(20);
// A few reports for each of the peers that a VM exchanges outcomes with.
constexpr std::size_t kMaxDeferred = 128;

// libzmq 4.3.4 aborts the process if its context is refused a thread or a
// descriptor. It starts two threads. The headroom is less than at the start of
// the process, so that a process that has started in part goes first.
constexpr ResourceNeed kContextNeed{.threads = 2,
                                    .descriptors = 16,
                                    .headroom_divisor = 32};

// Whether a message is delivered to the fleet task instead of the traffic task.
template <typename T>
inline constexpr bool kIsForFleet =
    std::is_same_v<T, Heartbeat> || std::is_same_v<T, IndirectProbe> ||
    std::is_same_v<T, MemberUpdate> || std::is_same_v<T, TableAnnounce> ||
    std::is_same_v<T, TablePull> || std::is_same_v<T, TableData> ||
    std::is_same_v<T, CompressedTable>;

auto ReportsOutcomes(const PeerMessage& message) -> bool {
  const auto kind = KindOf(message);
  return kind == PeerMessageKind::kOutcomeReport ||
         kind == PeerMessageKind::kOutcomeBatch;
}

auto Counter(std::string name, std::string help, std::uint64_t value)
    -> MetricSample {
  return {.name = std::move(name),
          .help = std::move(help),
          .value = static_cast<double>(value)};
}

}  // namespace

MeshTask::MeshTask(MeshConfig config, MeshOutlets outlets)
    : config_(std::move(config)), outlets_(outlets) {}

auto MeshTask::Start(TaskContext& context) -> Result<void> {
  context_ = &context;
  // Disables protobuf's own log, which writes a line to standard error for each
  // malformed message and would let a hostile peer flood it.
  google::protobuf::SetLogHandler(nullptr);
  BOOST_LEAF_CHECK(CheckResources(kContextNeed));
  try {
    BOOST_LEAF_CHECK(Listen(context.loop()));
  } catch (const zmq::error_t& error) {
    return FailListen(config_.address, error.num(), error.what());
  }
  // Also how long libzmq may call accept() in vain while descriptors are used
  // up.
  listener_timer_ = context.loop().MakePeriodicTimer(
      PeerServer::kCheckPeriod, [this] { CheckReceiver(); });
  metrics_timer_ = context.loop().MakePeriodicTimer(
      kMetricsPeriod, [this] { ReportMetrics(); });
  outlets_.fleet.Post(PeerServerStarted{});
  Log(Part::kMesh, LogLevel::kInfo, "listening on " + config_.address);
  return {};
}

auto MeshTask::Listen(EventLoop& loop) -> Result<void> {
  BOOST_LEAF_CHECK(listener_.Listen(config_.address));
  zmq_context_.emplace(/*io_threads=*/1);
  deferred_timer_ = loop.MakeTimer([this] { SendDeferred(); });
  if (!config_.HasKeys()) {
    // The first socket starts the threads of libzmq. Later the system may
    // refuse them, which would end the process.
    const zmq::socket_t first(*zmq_context_, zmq::socket_type::dealer);
    receiver_.emplace<PeerServer>(
        loop, listener_,
        PeerServer::Limits{.message_bytes = kMaxEnvelopeBytes,
                           .memory_bytes = config_.receive_memory_bytes},
        [this](std::string_view bytes) { return Receive(bytes); });
    return {};
  }
  auto& router = receiver_.emplace<RouterReceiver>(
      loop, RouterReceiver::Callbacks{
                [this](std::string_view bytes) { Receive(bytes); },
                [this](Error error) { context_->Abort(std::move(error)); }});
  authenticator_.emplace(*zmq_context_, loop, config_);
  return router.Start(*zmq_context_, config_, listener_);
}

auto MeshTask::Handle(Message message) -> Result<void> {
  std::visit(
      Overloaded{
          [this](PeerMessageToSend& send) {
            if (ReportsOutcomes(send.order.message)) {
              Defer(std::move(send.order));
              return;
            }
            const WorkTimes::Scope work(work_times_, ToName(WorkKind::kEncode));
            Send(send.order);
          },
          [this](const PeerEndpointsChanged& change) { UpdatePeers(change); },
          [this](const PeerLinkSilent& silent) { Reconnect(silent.peer); },
      },
      message);
  return {};
}

auto MeshTask::Stop(StopMode) -> void {
  context_->Exit();
}

auto MeshTask::Send(const SendToPeer& order) -> void {
  const auto peer = peers_.find(order.peer);
  if (peer == peers_.end()) {
    Log(Part::kMesh, LogLevel::kDebug,
        "dropped a message to " + order.peer.value() + ": unknown peer");
    ++counts_.unsent_messages;
    return;
  }
  const auto bytes = EncodeEnvelope(
      PeerEnvelope{config_.self, config_.incarnation, order.message});
  if (!peer->second->Send(bytes)) {
    Log(Part::kMesh, LogLevel::kDebug,
        "dropped a message to " + order.peer.value() +
            ": not connected or queue full");
    ++counts_.unsent_messages;
    return;
  }
  ++counts_.sent_messages;
  counts_.sent_bytes += bytes.size();
  traffic_.Add(TrafficDirection::kSent, KindOf(order.message),
               LinkTo(order.peer), bytes.size());
}

auto MeshTask::Defer(SendToPeer order) -> void {
  if (deferred_.size() >= kMaxDeferred) {
    deferred_.pop_front();
    ++counts_.dropped_reports;
  }
  deferred_.push_back(std::move(order));
  if (!deferred_timer_.IsPending()) {
    deferred_timer_.Schedule(Duration::zero());
  }
}

auto MeshTask::SendDeferred() -> void {
  const WorkTimes::Scope work(work_times_, ToName(WorkKind::kEncode));
  const auto end = Now() + kMaxTurn;
  while (!deferred_.empty() && Now() < end) {
    Send(deferred_.front());
    deferred_.pop_front();
  }
  if (!deferred_.empty()) {
    deferred_timer_.Schedule(Duration::zero());
  }
}

auto MeshTask::UpdatePeers(const PeerEndpointsChanged& change) -> void {
  std::erase_if(peers_, [&](const auto& peer) {
    const auto wanted = change.endpoints.find(peer.first);
    if (wanted != change.endpoints.end() &&
        wanted->second == peer.second->endpoint()) {
      return false;
    }
    Log(Part::kMesh, LogLevel::kDebug,
        "disconnecting from " + peer.first.value());
    return true;
  });
  endpoints_ = change.endpoints;
  links_ = change.links;
  for (const auto& [vm, endpoint] : endpoints_) {
    if (!peers_.contains(vm)) {
      Connect(vm, endpoint);
    }
  }
}

auto MeshTask::Connect(const VmId& vm, const std::string& endpoint) -> void {
  Log(Part::kMesh, LogLevel::kDebug,
      "connecting to " + vm.value() + " at " + endpoint);
  try {
    peers_[vm] = std::make_unique<PeerSocket>(*zmq_context_, config_, endpoint);
  } catch (const zmq::error_t& error) {
    peers_.erase(vm);
    Log(Part::kMesh, LogLevel::kWarning,
        "cannot connect to " + vm.value() + " at " + endpoint + ": " +
            error.what());
  }
}

auto MeshTask::Reconnect(const VmId& vm) -> void {
  const auto peer = endpoints_.find(vm);
  if (peer == endpoints_.end()) {
    return;
  }
  ++counts_.reconnects;
  Connect(vm, peer->second);
}

auto MeshTask::Receive(std::string_view bytes) -> bool {
  const WorkTimes::Scope work(work_times_, ToName(WorkKind::kDecode));
  ++counts_.received_messages;
  counts_.received_bytes += bytes.size();
  std::optional<PeerEnvelope> envelope;
  const auto error =
      CaptureInto(envelope, [&] { return DecodeEnvelope(bytes); });
  if (error) {
    ++counts_.malformed_messages;
    Log(Part::kMesh, LogLevel::kWarning, "dropped a malformed peer message");
    return false;
  }
  traffic_.Add(TrafficDirection::kReceived, KindOf(envelope->message),
               LinkTo(envelope->sender), bytes.size());
  Deliver(std::move(*envelope));
  return true;
}

auto MeshTask::LinkTo(const VmId& vm) const -> LinkClass {
  const auto found = links_.find(vm);
  return found == links_.end() ? LinkClass::kUnknown : found->second;
}

auto MeshTask::Deliver(PeerEnvelope envelope) -> void {
  const auto is_for_fleet = std::visit(
      []<typename T>(const T&) { return kIsForFleet<T>; }, envelope.message);
  if (is_for_fleet) {
    outlets_.fleet.Post(PeerMessageReceived{std::move(envelope)});
  } else {
    outlets_.traffic.Post(PeerMessageReceived{std::move(envelope)});
  }
}

auto MeshTask::CheckReceiver() -> void {
  listener_.Check();
  std::visit(Overloaded{
                 [](std::monostate) {},
                 [](const RouterReceiver&) {},
                 [](PeerServer& server) { server.Check(); },
             },
             receiver_);
}

auto MeshTask::AppendReceiverTo(std::vector<MetricSample>& samples) const
    -> void {
  std::visit(Overloaded{
                 [](std::monostate) {},
                 [](const RouterReceiver&) {},
                 [&](const PeerServer& server) { server.AppendTo(samples); },
             },
             receiver_);
}

auto MeshTask::ReportMetrics() -> void {
  const auto refused =
      authenticator_ ? authenticator_->refused_count() : std::uint64_t{0};
  if (const auto summary = traffic_.TakeSummary(); !summary.empty()) {
    Log(Part::kMesh, LogLevel::kDebug, "in 5 s: " + summary);
  }
  work_times_.LogSummary();
  std::vector<MetricSample> samples = {
      Counter("flamingoyoke_mesh_received_messages_total",
              "Messages received from peers.", counts_.received_messages),
      Counter("flamingoyoke_mesh_received_bytes_total",
              "Bytes of messages received from peers.", counts_.received_bytes),
      Counter("flamingoyoke_mesh_sent_messages_total",
              "Messages sent to peers.", counts_.sent_messages),
      Counter("flamingoyoke_mesh_sent_bytes_total",
              "Bytes of messages sent to peers.", counts_.sent_bytes),
      Counter("flamingoyoke_mesh_unsent_messages_total",
              "Messages dropped because a peer was not connected.",
              counts_.unsent_messages),
      Counter("flamingoyoke_mesh_dropped_reports_total",
              "Reports of outcomes dropped because newer ones waited, too.",
              counts_.dropped_reports),
      Counter("flamingoyoke_mesh_malformed_messages_total",
              "Messages that could not be decoded.",
              counts_.malformed_messages),
      Counter("flamingoyoke_mesh_reconnects_total",
              "Connections to peers reopened because they were silent.",
              counts_.reconnects),
      Counter("flamingoyoke_mesh_refused_peers_total",
              "Connections refused for a wrong key.", refused),
      {.name = "flamingoyoke_mesh_listener_paused",
       .help = "1 while connections of peers wait for descriptors.",
       .is_counter = false,
       .value = listener_.is_paused() ? 1.0 : 0.0},
  };
  AppendReceiverTo(samples);
  auto by_kind = traffic_.Samples();
  std::move(by_kind.begin(), by_kind.end(), std::back_inserter(samples));
  work_times_.AppendTo(samples);
  outlets_.telemetry.Post(MetricsReported{
      .task = std::string(ToName(Part::kMesh)), .samples = std::move(samples)});
}

}  // namespace flamingoyoke
