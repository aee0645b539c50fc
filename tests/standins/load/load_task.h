#ifndef FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_TASK_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "runtime/task.h"
#include "standins/common/http_client.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"
#include "standins/load/address_book.h"
#include "standins/load/arrivals.h"
#include "standins/load/load_options.h"
#include "standins/load/load_result.h"

namespace flamingoyoke::standin {

// Sends the scheduled requests through the fleet and then, for comparison,
// directly to the upstreams; prints the results as JSON and exits. The load is
// open-loop: requests do not wait for earlier answers, and latencies count from
// the scheduled arrival, so that a slow answer does not hide later ones.
class LoadTask {
 public:
  using Message = StandinMessage;

  explicit LoadTask(LoadOptions options);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  // One pass over the schedule.
  enum class Phase { kFleet, kDirect };

  auto StartPhase(Phase phase) -> void;
  auto SendArrival(std::size_t index) -> void;
  // Requests an idempotency key, then sends the work request.
  auto SendWithKey(std::size_t index, const NamedEndpoint& server) -> void;
  auto SendWork(std::size_t index,
                const NamedEndpoint& server,
                const std::string& key) -> void;
  auto OnAnswer(std::size_t index,
                const NamedEndpoint& server,
                const HttpAnswer& answer) -> void;
  auto EndPhase() -> void;
  // Returns the server of the next request.
  auto NextServer() -> std::optional<NamedEndpoint>;
  [[nodiscard]] auto RequestBody(std::size_t index) const -> std::string;
  [[nodiscard]] auto RequestName(std::size_t index) const -> std::string;
  auto ResultOf(Phase phase) -> LoadResult&;
  auto Print() const -> void;

  LoadOptions options_;
  std::vector<Arrival> arrivals_;
  TaskContext* context_ = nullptr;
  std::optional<TimerQueue> timers_;
  std::optional<HttpClient> client_;
  std::optional<AddressBook> addresses_;
  Phase phase_ = Phase::kFleet;
  TimePoint phase_start_;
  std::size_t answered_ = 0;
  std::size_t next_direct_ = 0;
  LoadResult fleet_;
  LoadResult direct_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_LOAD_LOAD_TASK_H_
