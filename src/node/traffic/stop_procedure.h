#ifndef FLAMINGOYOKE_NODE_TRAFFIC_STOP_PROCEDURE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_STOP_PROCEDURE_H_

#include <cstddef>
#include <functional>

#include "core/time.h"
#include "decision/shutdown/shutdown_schedule.h"
#include "node/traffic/caller_server.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Graceful shutdown of a task that serves callers. The task keeps serving until
// no caller can have its address cached, then closes idle connections, and
// exits after the last response. Meanwhile it takes only requests that end
// before the hard stop. Not thread-safe.
class StopProcedure {
 public:
  struct Limits {
    // How long callers may still connect after the addresses were withdrawn.
    Duration drain_time = Duration::zero();
    // Time after which a graceful stop becomes a hard one.
    Duration hard_limit = Duration::zero();
    // Maximum time to send the last responses of a hard stop.
    Duration flush_timeout = Duration::zero();
  };
  struct Hooks {
    // Returns the number of requests without a complete response.
    std::function<std::size_t()> active;
    // Responds to all requests with an error that says whether they may have
    // run.
    std::function<void()> fail_all;
    std::function<void()> exit;
  };

  // `loop` and `server` must outlive the procedure.
  StopProcedure(EventLoop& loop,
                CallerServer& server,
                const Limits& limits,
                Hooks hooks);

  // Starts a stop, or escalates a graceful stop to a hard one. A lower mode
  // than the current one is ignored.
  auto Start(StopMode mode) -> void;

  // Exits if no work is left. Must be called whenever a request ended or a
  // response was sent.
  auto ExitIfDone() -> void;

  [[nodiscard]] auto mode() const -> StopMode { return mode_; }
  // Whether to take a request with `deadline`.
  [[nodiscard]] auto Admits(TimePoint deadline) const -> bool {
    return mode_ != StopMode::kHard && schedule_.Admits(deadline);
  }

 private:
  auto StartHard() -> void;

  CallerServer& server_;
  const Limits limits_;
  const Hooks hooks_;
  ShutdownSchedule schedule_;
  StopMode mode_ = StopMode::kNone;
  bool addresses_expired_ = false;
  EventLoop::Handle drain_timer_;
  EventLoop::Handle hard_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_STOP_PROCEDURE_H_
