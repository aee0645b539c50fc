#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_TASK_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_TASK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/fleet/load_meter.h"
#include "decision/gateway/report_batcher.h"
#include "decision/gateway/service_splitter.h"
#include "node/messages.h"
#include "node/traffic/caller_server.h"
#include "node/traffic/connection_part.h"
#include "node/traffic/descriptor_watch.h"
#include "node/traffic/gateway/caller_team.h"
#include "node/traffic/gateway/gateway_config.h"
#include "node/traffic/gateway/pool_runner.h"
#include "node/traffic/gateway/quota_runner.h"
#include "node/traffic/gateway/request_log.h"
#include "node/traffic/late_tick_detector.h"
#include "node/traffic/stop_procedure.h"
#include "node/work_times.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"
#include "table/route_index.h"
#include "table/team_index.h"

namespace flamingoyoke {

// Serves callers by the published routes and the registry of targets, in place
// of the traffic task that serves the operators' table. Satisfies the Task
// concept; after construction, used on one thread only.
class GatewayTask {
 public:
  using Message = TrafficMessage;

  // The mailboxes must outlive the task.
  GatewayTask(GatewayConfig config, TrafficOutbox outbox);
  ~GatewayTask();

  // Listens for callers and status requests. Fails with kAddressInUse or
  // kSocketFailed.
  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  // Graceful: serves callers with cached addresses until these expire, then
  // exits after the last answer. Hard: answers pending requests with an error
  // and exits.
  auto Stop(StopMode mode) -> void;

  // Returns the port for callers. Precondition: Start succeeded.
  [[nodiscard]] auto port() const -> std::uint16_t { return server_->port(); }

 private:
  auto OnMessage(FleetViewChanged& changed) -> void;
  auto OnMessage(PeerMessageReceived& received) -> void;
  auto ConfigureServices() -> void;
  auto OnReport(const VmId& peer, const OutcomeReport& report) -> void;
  // Has the batcher handle an event and does what it decides.
  auto Batch(const BatchEvent& event) -> void;
  // Sends the collected reports and those of other services that can go along.
  auto OnBatchDue() -> void;
  // Applies a new version to the requests that were accepted by an older one.
  auto RecheckTeams() -> void;
  // Returns whether the version in force allows an accepted request to run.
  [[nodiscard]] auto IsStillAllowed(GatewayRequest& request) const -> bool;
  // Logs the differences between two registries; `before` may be null.
  auto LogRegistryChanges(const Registry* before, const Registry& after) const
      -> void;
  // Returns a log text with the number of attempts running on `target`, or an
  // empty string if there are none.
  [[nodiscard]] auto DescribeRunning(const RegisteredTarget& target) const
      -> std::string;
  // Returns the minimum number of retries that each service may use on this VM,
  // or nothing if `limits` of the configuration applies.
  [[nodiscard]] auto LocalMinRetries() const -> std::optional<std::uint64_t>;
  auto RunnerOf(const ServiceId& service) -> PoolRunner&;

  auto CheckHead(const ScannedHead& head) const
      -> std::variant<BodyAllowance, ErrorKind>;
  auto OnRequest(std::unique_ptr<CallerExchange> exchange) -> void;
  // Answers readiness checks and address lookups. Returns false for any other
  // request.
  auto AnswerStatusRequest(CallerExchange& exchange) -> bool;
  auto AnswerAddressRequest(CallerExchange& exchange) -> void;
  auto Submit(std::unique_ptr<CallerExchange> exchange, const Route& route)
      -> void;
  auto MakeQuotaRunner() -> std::unique_ptr<QuotaRunner>;
  // Runs a request that is inside the quota of its team.
  auto Run(GatewayRequest request, const ServiceId& service) -> void;
  // Answers a request that waited too long for the processor as not run.
  auto RejectOverloaded(GatewayRequest& request,
                        const Route& route,
                        Duration waited) -> void;
  // Answers a request that no target was chosen for as not run.
  auto Reject(GatewayRequest& request,
              const Route& route,
              ErrorKind kind,
              Duration retry_after) -> void;
  auto Reject(GatewayRequest& request,
              const ServiceId& service,
              ErrorKind kind,
              Duration retry_after) -> void;
  // Logs and counts a request that was answered or given up.
  auto OnRequestEnded(const ServiceId& service,
                      const PoolRunner::Record& record) -> void;
  [[nodiscard]] auto IsReady() const -> bool;
  auto CheckPause() -> void;
  auto OnTick() -> void;
  auto ScheduleTick() -> void;
  auto SendReports() -> void;
  // Has the services report less often while events wait in the loop.
  auto UpdateLoopDelay(Duration delay) -> void;
  // Reports the measured load to the fleet if it has changed.
  auto MeasureLoad() -> void;
  [[nodiscard]] auto active() const -> std::size_t;
  auto FailAll() -> void;

  const GatewayConfig config_;
  const TrafficOutbox outbox_;
  Random random_;
  // Bytes received as requests and answers.
  std::uint64_t received_bytes_ = 0;
  LoadMeter load_;
  AnswerMemory answer_memory_;
  DescriptorWatch descriptor_watch_;
  // Connections to the targets of all services.
  ConnectionPart target_connections_;
  // Requests rejected because the processor is overloaded.
  std::uint64_t overloaded_ = 0;
  // Requests refused because they need the key of a team.
  std::uint64_t unauthorized_ = 0;
  TaskContext* context_ = nullptr;
  std::shared_ptr<const FleetView> view_;
  // Until then the routes may be outdated, so no request is answered by them.
  bool has_been_ready_ = false;
  RouteIndex routes_;
  TeamIndex teams_;
  ServiceSplitter splitter_;
  ReportBatcher batcher_;
  RequestLog request_log_;
  // Used by the runners of the services.
  WorkTimes work_times_{Part::kGateway};
  std::unique_ptr<CallerServer> server_;
  std::unordered_map<ServiceId, std::unique_ptr<PoolRunner>> services_;
  // Set by Start().
  std::unique_ptr<QuotaRunner> quotas_;
  LateTickDetector pause_watch_;
  std::uint64_t last_request_ = 0;
  // The value that the services were last configured with. Cached because
  // members change far more often than this value.
  std::optional<std::uint64_t> min_retries_;
  // The gateways that own targets.
  std::vector<PoolGateway> owners_;
  // Set by Start(). Uses the server and is destroyed before it.
  std::optional<StopProcedure> stop_;
  TimePoint last_report_;
  TimePoint last_summary_;
  TimePoint tick_due_;
  // The delay that the services know.
  Duration loop_delay_ = Duration::zero();
  EventLoop::Handle tick_;
  EventLoop::Handle batch_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_TASK_H_
