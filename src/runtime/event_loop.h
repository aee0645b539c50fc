#ifndef FLAMINGOYOKE_RUNTIME_EVENT_LOOP_H_
#define FLAMINGOYOKE_RUNTIME_EVENT_LOOP_H_

#include <event2/event.h>
#include <sys/time.h>

#include <functional>
#include <memory>

#include "core/time.h"

namespace flamingoyoke {

// A libevent loop that belongs to one task. Not thread-safe: all methods are
// called on the thread that runs the loop, or before it starts.
class EventLoop {
 public:
  struct EventDeleter {
    auto operator()(event* ev) const -> void { event_free(ev); }
  };
  using Callback = std::function<void()>;

  // A timer or a watched descriptor; ends when it is destroyed. Must not
  // outlive its loop.
  class Handle {
   public:
    Handle() = default;

    // Runs the callback once after `delay`, never before, replacing an
    // earlier schedule.
    auto Schedule(Duration delay) -> void;
    // Cancels the schedule, if there is one.
    auto Cancel() -> void;
    [[nodiscard]] auto IsPending() const -> bool;

   private:
    friend class EventLoop;
    struct State;
    struct StateDeleter {
      auto operator()(State* state) const -> void;
    };
    std::unique_ptr<State, StateDeleter> state_;
  };

  EventLoop();

  // Runs until Quit is called. Blocks while nothing is due.
  auto Run() -> void;
  // Makes Run return after the current callback.
  auto Quit() -> void;

  // Returns a timer that is not yet scheduled.
  auto MakeTimer(Callback callback) -> Handle;
  // Returns a timer that runs `callback` each `period`.
  auto MakePeriodicTimer(Duration period, Callback callback) -> Handle;
  // Calls `callback` whenever `descriptor` is readable. The caller keeps the
  // descriptor open for the life of the handle.
  auto WatchReadable(int descriptor, Callback callback) -> Handle;

  // Returns the time since the loop last looked for events, as far as it can be
  // told: all work that is being done now has waited for that long at least.
  // Called within a callback.
  auto TurnAge() -> Duration;

  // The loop for libraries that are built on libevent, such as evhttp.
  [[nodiscard]] auto base() const -> event_base* { return base_.get(); }

 private:
  struct BaseDeleter {
    auto operator()(event_base* base) const -> void { event_base_free(base); }
  };

  auto MakeHandle(int descriptor, short events, Callback callback) -> Handle;

  std::unique_ptr<event_base, BaseDeleter> base_;
  // When libevent last looked for events, and the first call of TurnAge since.
  timeval turn_{};
  TimePoint turn_started_{};
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_EVENT_LOOP_H_
