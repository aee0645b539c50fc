#ifndef FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_TASK_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_TASK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>

#include "core/ids.h"
#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/idempotency/key_ledger.h"
#include "node/messages.h"
#include "node/traffic/caller_server.h"
#include "node/traffic/connection_part.h"
#include "node/traffic/descriptor_watch.h"
#include "node/traffic/late_tick_detector.h"
#include "node/traffic/request_admission.h"
#include "node/traffic/route_table.h"
#include "node/traffic/service_metrics.h"
#include "node/traffic/service_runner.h"
#include "node/traffic/span_recorder.h"
#include "node/traffic/stop_procedure.h"
#include "node/traffic/traffic_config.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"

namespace flamingoyoke {

// The traffic task of a node: receives requests from callers, forwards them to
// upstreams and executes the decisions of each service's dispatcher and
// detector. Satisfies the Task concept; after construction, used on one thread
// only.
class TrafficTask {
 public:
  using Message = TrafficMessage;

  // The mailboxes must outlive the task.
  TrafficTask(TrafficConfig config, TrafficOutbox outbox);
  ~TrafficTask();

  // Starts the server for callers. Fails with kAddressInUse or
  // kSocketFailed.
  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  // A graceful stop keeps serving until cached addresses have expired and exits
  // after the last response. A hard stop fails the remaining requests and
  // exits.
  auto Stop(StopMode mode) -> void;

  // The port that callers connect to. Precondition: Start() succeeded.
  [[nodiscard]] auto port() const -> std::uint16_t { return server_->port(); }

 private:
  struct Service {
    std::unique_ptr<ServiceRunner> runner;
    ServiceMetrics metrics;
  };

  auto On(FleetViewChanged& changed) -> void;
  auto On(PeerMessageReceived& received) -> void;
  auto ConfigureServices() -> void;
  auto NotifyLostPeers(const FleetView& view) -> void;
  // Returns the service and creates it on first use.
  auto GetOrCreateService(const ServiceRow& row) -> Service&;
  auto MakeRunner(const ServiceId& id) -> std::unique_ptr<ServiceRunner>;
  [[nodiscard]] auto PlacementFor(const ServiceRow& row) const
      -> ServicePlacement;

  auto CheckHead(const ScannedHead& head) const
      -> std::variant<BodyAllowance, ErrorKind>;
  auto OnRequest(std::unique_ptr<CallerExchange> exchange) -> void;
  auto HandleBuiltinRequest(CallerExchange& exchange) -> void;
  auto CheckPause() -> void;
  auto OnTick() -> void;
  auto ScheduleTick() -> void;
  auto SendReports() -> void;
  [[nodiscard]] auto active() const -> std::size_t;
  auto FailAll() -> void;

  const TrafficConfig config_;
  AnswerMemory answer_memory_;
  DescriptorWatch descriptor_watch_;
  // Connections to the targets of all services.
  ConnectionPart target_connections_;
  const TrafficOutbox outbox_;
  Random random_;
  TaskContext* context_ = nullptr;
  std::shared_ptr<const FleetView> view_;
  RouteTable routes_;
  KeyLedger ledger_;
  RequestAdmission admission_;
  SpanRecorder spans_;
  std::unique_ptr<CallerServer> server_;
  std::unordered_map<ServiceId, Service> services_;
  std::unordered_set<VmId> lost_peers_;
  LateTickDetector late_tick_detector_;
  // Set after a pause: no addresses are returned before this time, unless a
  // ready fleet view arrives.
  std::optional<TimePoint> resume_until_;
  // Whether this VM has been ready before. From then on it serves callers.
  bool has_been_ready_ = false;
  // Set by Start(). Declared after the server, which it uses, to be destroyed
  // first.
  std::optional<StopProcedure> stop_;
  // Whether something changed since the last report.
  bool has_unreported_changes_ = true;
  TimePoint last_report_;
  EventLoop::Handle tick_;
  TimePoint tick_due_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_TASK_H_
