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

// The traffic task of a node: serves callers, reaches upstreams and carries
// out the decisions about both. Satisfies the Task concept; after
// construction, used on one thread only.
class TrafficTask {
 public:
  using Message = TrafficMessage;

  // The mailboxes must outlive the task.
  TrafficTask(TrafficConfig config, TrafficOutbox outbox);
  ~TrafficTask();

  // Listens for callers. Fails with kSocketFailed.
  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  // Graceful: serves callers with cached addresses for their time to live,
  // then exits after the last answer. Hard: answers what remains and exits.
  auto Stop(StopMode mode) -> void;

  // The port for callers. Precondition: Start succeeded.
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
  // Returns the service, made on first use.
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
  // Addresses are not given out before, unless a newer view arrives.
  std::optional<TimePoint> resume_until_;
  // Whether this vm has ever taken callers.
  bool has_been_ready_ = false;
  // Set by Start(); uses the server and is destroyed before it.
  std::optional<StopProcedure> stop_;
  // Whether something changed since the last report.
  bool has_unreported_changes_ = true;
  TimePoint last_report_;
  EventLoop::Handle tick_;
  TimePoint tick_due_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_TRAFFIC_TASK_H_
