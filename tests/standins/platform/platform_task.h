#ifndef FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_PLATFORM_TASK_H_
#define FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_PLATFORM_TASK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/result.h"
#include "core/time.h"
#include "runtime/task.h"
#include "standins/common/http_server.h"
#include "standins/common/run_task.h"
#include "standins/common/timer_queue.h"
#include "standins/platform/config_store.h"
#include "standins/platform/platform_mode.h"

namespace flamingoyoke::standin {

// A file that is published under a key at start.
struct InitialValue {
  std::string key;
  std::string file;
};

struct PlatformOptions {
  std::uint16_t port = 0;
  std::vector<InitialValue> values;
};

// The configuration service and the list of VMs (key `vms`), as docs/design.md
// section 4.3 describes them. Control:
//   PUT /control/config/<key>                   publishes the body
//   PUT /control/mode?name=<mode>&delay_ms=<n>  switches the mode
//   GET /control/counters                       JSON with the calls so far
class PlatformTask {
 public:
  using Message = StandinMessage;

  explicit PlatformTask(PlatformOptions options);

  auto Start(TaskContext& context) -> Result<void>;
  auto Handle(Message message) -> Result<void>;
  auto Stop(StopMode mode) -> void;

 private:
  // A watch that waits for a revision above `wait_after`.
  struct Watch {
    std::string key;
    std::uint64_t wait_after;
    HttpExchange exchange;
  };

  struct Counters {
    std::uint64_t reads = 0;    // Calls without wait_after.
    std::uint64_t watches = 0;  // Calls with wait_after.
    std::uint64_t failed = 0;   // Calls answered with 503.
  };

  auto OnRequest(HttpExchange exchange) -> void;
  auto OnControl(HttpExchange exchange) -> void;
  auto OnRead(HttpExchange exchange) -> void;
  auto StartWatch(HttpExchange exchange,
                  const std::string& key,
                  std::uint64_t wait_after) -> void;
  auto SwitchMode(PlatformMode mode, Duration delay) -> void;
  // Answers the watches whose value has changed, or all with 503 when down.
  auto AnswerWatches() -> void;
  // Sends `reply`, after a delay in slow mode.
  auto Answer(HttpExchange exchange, const HttpReply& reply) -> void;
  [[nodiscard]] auto CountersReply() const -> HttpReply;

  PlatformOptions options_;
  TaskContext* context_ = nullptr;
  ConfigStore store_;
  PlatformMode mode_ = PlatformMode::kNormal;
  Duration delay_ = Duration::zero();
  Counters counters_;
  std::uint64_t next_watch_ = 0;
  std::optional<HttpServer> server_;
  std::optional<TimerQueue> timers_;
  std::map<std::uint64_t, Watch> watches_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_PLATFORM_PLATFORM_TASK_H_
