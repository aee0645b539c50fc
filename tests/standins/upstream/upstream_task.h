#ifndef FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_TASK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/result.h"
#include "core/time.h"
#include "runtime/task.h"
#include "standins/common/http_server.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"
#include "standins/upstream/upstream_behaviour.h"
#include "standins/upstream/upstream_counters.h"

namespace flamingoyoke::standin {

struct UpstreamOptions {
  std::uint16_t port = 0;
  std::uint64_t seed = 1;
  UpstreamBehaviour behaviour;
};

// An upstream as docs/design.md section 4.2 describes it. Any path but those
// below is work: `id` names the request, `service_ms` is its service time and
// `bytes` the size of its answer (see answer_body.h).
//   GET /healthz            health probe
//   PUT /control/behaviour  changes the behaviour (JSON)
//   PUT /control/reset      sets the counters to zero
//   GET /control/counters   JSON with the counters
class UpstreamTask {
 public:
  using Message = StandinMessage;

  explicit UpstreamTask(UpstreamOptions options);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  // A request that waits for a slot.
  struct QueuedRequest {
    HttpExchange exchange;
    TimePoint deadline;
  };

  // A request that holds a slot.
  struct RunningRequest {
    HttpExchange exchange;
    std::string id;
    bool is_gray;
  };

  auto OnRequest(HttpExchange exchange) -> void;
  auto OnControl(HttpExchange exchange) -> void;
  auto OnProbe(HttpExchange exchange) -> void;
  auto OnWork(HttpExchange exchange) -> void;
  // Starts queued work while slots are free.
  auto FillSlots() -> void;
  auto Execute(HttpExchange exchange) -> void;
  auto Finish(std::uint64_t number) -> void;
  auto SendGrayFailure(HttpExchange exchange) -> void;
  auto Shed(HttpExchange exchange) -> void;
  [[nodiscard]] auto ServiceTime(const HttpExchange& exchange,
                                 bool is_gray) const -> Duration;
  // Headers of every answer: the current load and the drain signal.
  [[nodiscard]] auto SignalHeaders() const -> std::vector<HttpHeader>;

  UpstreamBehaviour behaviour_;
  std::uint16_t port_;
  Random random_;
  TaskContext* context_ = nullptr;
  TimePoint cold_start_begin_;
  UpstreamCounters counters_;
  std::uint64_t next_running_ = 0;
  std::optional<HttpServer> server_;
  std::optional<TimerQueue> timers_;
  std::deque<QueuedRequest> queue_;
  std::map<std::uint64_t, RunningRequest> running_;
  // Requests that are never answered.
  std::vector<HttpExchange> hanging_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_UPSTREAM_UPSTREAM_TASK_H_
