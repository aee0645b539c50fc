#ifndef FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_RUNNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/detection_event.h"
#include "decision/detection/detector.h"
#include "decision/dispatch/dispatch_event.h"
#include "decision/dispatch/service_dispatcher.h"
#include "decision/idempotency/key_event.h"
#include "node/messages.h"
#include "node/traffic/service_request.h"
#include "node/traffic/traffic_config.h"
#include "node/traffic/upstream_connection.h"
#include "node/traffic/upstream_pool.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Configuration of a service: its row, its home set and the targets that this
// VM owns.
struct ServicePlacement {
  ServiceRow row;
  std::vector<HomeMember> home;
  std::vector<TargetId> owned;

  auto operator==(const ServicePlacement& other) const -> bool;
};

// Runs the requests of one service: feeds events to its dispatcher and detector
// and executes the actions that they return. Not thread-safe.
class ServiceRunner {
 public:
  // Data of an ended attempt for metrics and traces.
  struct AttemptRecord {
    const ServiceRequest& request;
    TargetId target;
    AttemptResult result = AttemptResult::kAnswered;
    TimePoint started;
    TimePoint ended;
    const TraceContext& trace;
  };
  // Data of an ended request. The error is not set if an upstream responded.
  struct RequestRecord {
    const ServiceRequest& request;
    std::optional<ErrorKind> error;
    TimePoint ended;
  };
  // Callbacks into the task. Each may be empty; none may destroy the runner.
  struct Hooks {
    // Called before each event, to detect a pause of the process.
    std::function<void()> check_pause;
    // Called with the outcome of a request with an idempotency key.
    std::function<void(const KeyEvent&)> on_key_event;
    std::function<void(const RequestRecord&)> on_request_ended;
    std::function<void(const AttemptRecord&)> on_attempt_ended;
    std::function<void(PeerMessageToSend)> send;
  };

  // `config`, `loop`, `memory` and `connections` must outlive the runner.
  ServiceRunner(EventLoop& loop,
                const TrafficConfig& config,
                AnswerMemory& memory,
                ConnectionPart& connections,
                Random random,
                Hooks hooks);
  ServiceRunner(const ServiceRunner&) = delete;
  auto operator=(const ServiceRunner&) -> ServiceRunner& = delete;

  // Applies the placement. Does nothing if it did not change.
  auto Configure(const ServicePlacement& placement) -> void;

  // Runs a request and sends its response. Its id must be unique.
  auto Submit(ServiceRequest request) -> void;

  auto OnPeerMessage(const VmId& sender, const PeerMessage& message) -> void;
  auto OnPeerLost(const VmId& peer) -> void;
  // Called after the process was paused.
  auto OnResumed() -> void;

  // Responds to all requests with an error that says whether they may have run.
  auto FailAll() -> void;

  // Number of requests without a complete response.
  [[nodiscard]] auto active() const -> std::size_t { return requests_.size(); }
  [[nodiscard]] auto row() const -> const ServiceRow& { return placement_.row; }

  // Updates the dispatcher if the detector changed the owned targets.
  auto SyncOwnedTargets() -> void;

  // Returns the report of the service, without the waiting times.
  [[nodiscard]] auto Report(Revision revision) const -> ServiceReport;

 private:
  struct Attempt {
    RequestId request;
    UpstreamPool::Lease lease;
    TimePoint started;
    TraceContext trace;
  };
  using ProbeId = NumberId<struct ProbeTag>;
  using Event = std::variant<DispatchEvent, DetectionEvent>;

  // Queues an event and processes the queue, unless it is being processed.
  auto Post(Event event) -> void;
  auto ProcessEvents() -> void;
  auto Process(const DispatchEvent& event) -> void;
  auto Process(const DetectionEvent& event) -> void;

  auto Execute(const StartAttempt& action) -> void;
  auto Execute(const CancelAttempt& action) -> void;
  auto Execute(const FailRequest& action) -> void;
  auto Execute(const SendToPeer& action) -> void;
  auto Execute(const WakeDispatcherAt& action) -> void;
  auto Execute(const StartProbe& action) -> void;
  auto Execute(const RetireConnections& action) -> void;
  auto Execute(const SetTargetShare& action) -> void;
  auto Execute(const WakeDetectorAt& action) -> void;

  // Ends an attempt without a result of its target, and tells the dispatcher
  // that it is `finished`.
  auto Abandon(const AttemptFinished& finished) -> void;
  // Ends the attempts of which nothing was written, on targets that are not
  // `is_usable`, so that their requests are sent elsewhere.
  auto WithdrawUnsent(const std::function<bool(const TargetId&)>& is_usable)
      -> void;
  auto SendAttempt(AttemptId id, Attempt& attempt, ServiceRequest& request)
      -> void;
  auto OnResponseHead(AttemptId id, const ResponseHead& head) -> void;
  auto OnResponseBody(AttemptId id, evbuffer* data) -> void;
  auto OnAttemptEnd(AttemptId id,
                    AttemptResult result,
                    const UpstreamSignals& signals) -> void;
  auto StoreResponseBody(ServiceRequest& request, evbuffer* data) -> void;
  auto OnOutputDrained(RequestId id) -> void;
  auto OnCallerDisconnected(RequestId id) -> void;
  auto OnSignals(const TargetId& target, const UpstreamSignals& signals)
      -> void;
  // Called when a probe passed without a drain signal.
  auto OnHealthyProbe(const TargetId& target) -> void;
  auto OnProbeEnd(ProbeId id, bool passed, const UpstreamSignals& signals)
      -> void;
  // Whether bytes of an attempt of the request were written. Attempts that the
  // upstream reported as not run do not count.
  [[nodiscard]] auto MayHaveRun(RequestId id) const -> bool;
  auto FinishWithResponse(RequestId id) -> void;
  auto FinishWithError(RequestId id, ErrorKind error) -> void;

  EventLoop& loop_;
  const TrafficConfig& config_;
  const Hooks hooks_;
  Random random_;
  ServicePlacement placement_;
  ServiceDispatcher dispatcher_;
  Detector detector_;
  UpstreamPool pool_;
  std::unordered_map<RequestId, ServiceRequest> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<ProbeId, UpstreamPool::Lease> probes_;
  std::uint64_t last_probe_ = 0;
  // Time of the last drain signal of each draining target.
  std::unordered_map<TargetId, TimePoint> last_drain_signals_;
  std::vector<TargetId> dispatcher_owned_;
  std::deque<Event> events_;
  bool processing_ = false;
  EventLoop::Handle dispatcher_timer_;
  EventLoop::Handle detector_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_RUNNER_H_
