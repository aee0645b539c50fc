#include "node/traffic/stop_procedure.h"

#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke {

StopProcedure::StopProcedure(EventLoop& loop,
                             CallerServer& server,
                             const Limits& limits,
                             Hooks hooks)
    : server_(server),
      limits_(limits),
      hooks_(std::move(hooks)),
      schedule_(limits.hard_limit) {
  drain_timer_ = loop.MakeTimer([this] {
    addresses_expired_ = true;
    server_.StartClosing(true);
    ExitIfDone();
  });
  // Prompt, as the platform kills a process that ends too late.
  hard_timer_ = loop.MakePromptTimer([this] {
    if (mode_ == StopMode::kHard) {
      hooks_.exit();
      return;
    }
    Start(StopMode::kHard);
  });
}

auto StopProcedure::Start(StopMode mode) -> void {
  if (mode <= mode_) {
    return;
  }
  mode_ = mode;
  if (mode == StopMode::kHard) {
    StartHard();
    return;
  }
  schedule_.Start(Now());
  server_.StartClosing(false);
  drain_timer_.Schedule(limits_.drain_time);
  hard_timer_.Schedule(limits_.hard_limit);
}

auto StopProcedure::StartHard() -> void {
  addresses_expired_ = true;
  hooks_.fail_all();
  server_.StartClosing(true);
  hard_timer_.Schedule(limits_.flush_timeout);
  ExitIfDone();
}

auto StopProcedure::ExitIfDone() -> void {
  if (!addresses_expired_ || hooks_.active() > 0) {
    return;
  }
  const bool done =
      mode_ == StopMode::kHard ? server_.all_answered() : server_.idle();
  if (done) {
    hooks_.exit();
  }
}

}  // namespace flamingoyoke
