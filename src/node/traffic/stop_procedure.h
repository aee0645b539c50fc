#ifndef FLAMINGOYOKE_NODE_TRAFFIC_STOP_PROCEDURE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_STOP_PROCEDURE_H_

#include <cstddef>
#include <functional>

#include "core/time.h"
#include "node/traffic/caller_server.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"

namespace flamingoyoke {

// How a task that serves callers leaves: it goes on serving until no caller can
// have its address any more, then closes connections as they fall idle, and
// exits after the last answer. Not thread-safe.
class StopProcedure {
 public:
  struct Limits {
    // How long callers may come after the addresses were withdrawn.
    Duration drain_time = Duration::zero();
    // Time after which what still runs is answered as failed.
    Duration hard_limit = Duration::zero();
    // Longest time to flush the last answers of a hard stop.
    Duration flush_timeout = Duration::zero();
  };
  struct Hooks {
    // Returns the number of requests that still run.
    std::function<std::size_t()> active;
    // Answers all requests now, each truthfully.
    std::function<void()> fail_all;
    std::function<void()> exit;
  };

  // `loop` and `server` must outlive the procedure.
  StopProcedure(EventLoop& loop,
                CallerServer& server,
                const Limits& limits,
                Hooks hooks);

  // Starts to leave, or goes from a graceful stop to a hard one.
  auto Start(StopMode mode) -> void;

  // Exits if nothing is left to do. Call whenever a request or answer ended.
  auto ExitIfDone() -> void;

  [[nodiscard]] auto mode() const -> StopMode { return mode_; }

 private:
  auto StartHard() -> void;

  CallerServer& server_;
  const Limits limits_;
  const Hooks hooks_;
  StopMode mode_ = StopMode::kNone;
  bool addresses_expired_ = false;
  EventLoop::Handle drain_timer_;
  EventLoop::Handle hard_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_STOP_PROCEDURE_H_
