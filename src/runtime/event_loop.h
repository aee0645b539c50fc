#ifndef FLAMINGOYOKE_RUNTIME_EVENT_LOOP_H_
#define FLAMINGOYOKE_RUNTIME_EVENT_LOOP_H_

#include <event2/event.h>
#include <sys/time.h>

#include <exception>
#include <functional>
#include <memory>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// A libevent loop, or the part of one that belongs to one of several tasks on
// the same thread. Not thread-safe: call all methods on the thread that runs
// the loop, or before it starts.
class EventLoop {
 public:
  struct EventDeleter {
    auto operator()(event* ev) const -> void { event_free(ev); }
  };
  using Callback = std::function<void()>;

  // A timer or a watched descriptor; destroying it cancels it. Must not
  // outlive its loop.
  class Handle {
   public:
    Handle() = default;

    // Runs the callback once, no earlier than `delay` from now. Replaces an
    // earlier schedule.
    auto Schedule(Duration delay) -> void;
    // Runs the callback as soon as the current one has returned; with an urgent
    // handle, before any other event.
    auto Trigger() -> void;
    // Cancels a pending run, if there is one. A descriptor is no longer
    // watched.
    auto Cancel() -> void;
    // Watches the descriptor again after Cancel. Throws std::bad_alloc if the
    // system refuses that. Precondition: WatchReadable() or
    // WatchReadablePromptly() returned the handle.
    auto Resume() -> void;
    [[nodiscard]] auto IsPending() const -> bool;

   private:
    friend class EventLoop;
    struct State;
    struct StateDeleter {
      auto operator()(State* state) const -> void;
    };
    std::unique_ptr<State, StateDeleter> state_;
  };

  // What happens to a part of a loop instead of to the loop itself. `on_quit`
  // is called by Quit, `on_exception` with each exception of a callback.
  struct PartHandlers {
    Callback on_quit;
    std::function<void(const std::exception& exception)> on_exception;
  };

  // Creates a loop of its own. Throws std::system_error if the system refuses
  // its descriptors, and std::bad_alloc if it refuses memory.
  EventLoop();
  // Creates a part of `host`, which must outlive it.
  EventLoop(EventLoop& host, PartHandlers handlers);

  EventLoop(const EventLoop&) = delete;
  auto operator=(const EventLoop&) -> EventLoop& = delete;

  // Runs until Quit is called. Blocks while no event is pending. Precondition:
  // this is not a part of another loop.
  auto Run() -> void;
  // Makes Run return after the current callback.
  auto Quit() -> void;

  // Calls `callback`, treating its exceptions like those of a timer. For
  // callbacks of libraries that use base().
  auto Invoke(const Callback& callback) -> void;

  // Returns a timer that is not yet scheduled.
  auto MakeTimer(Callback callback) -> Handle;
  // As MakeTimer, but `callback` runs before the events of sockets that wait,
  // as long as all prompt timers together take at most half of the time. For
  // timeouts, which would otherwise be late by all that is queued on a busy
  // loop.
  auto MakePromptTimer(Callback callback) -> Handle;
  // Returns a timer that runs `callback` each `period`.
  auto MakePeriodicTimer(Duration period, Callback callback) -> Handle;
  // Returns a handle that runs `callback` when triggered, before other events.
  auto MakeUrgent(Callback callback) -> Handle;
  // Calls `callback` whenever `descriptor` is readable. The caller keeps the
  // descriptor open for the life of the handle. Throws std::bad_alloc if the
  // system refuses to watch it.
  auto WatchReadable(int descriptor, Callback callback) -> Handle;
  // As WatchReadable, but `callback` runs before the events of sockets that
  // wait. It must not take long each time, or cancel the watch for a while.
  auto WatchReadablePromptly(int descriptor, Callback callback) -> Handle;

  // Returns a lower bound of the time that the event being handled has waited
  // in the queue of the loop. Call it in the callback of a socket or an
  // ordinary timer. The first call, and one after all that was queued at an
  // earlier one has been handled, returns zero.
  auto QueueDelay() -> Duration;

  // The underlying loop, for libraries built on libevent such as evhttp.
  [[nodiscard]] auto base() const -> event_base* { return base_; }

 private:
  struct BaseDeleter {
    auto operator()(event_base* base) const -> void { event_base_free(base); }
  };

  static auto StartWatch(const Handle& handle) -> void;
  // Adds the run of a prompt timer. Returns how long the timer must rest, so
  // that all of them take at most half of the time.
  auto AddPromptWork(TimePoint begin, TimePoint end) -> Duration;
  auto MakeHandle(int descriptor, short events, Callback callback) -> Handle;

  // Empty in a part of another loop.
  std::unique_ptr<event_base, BaseDeleter> own_base_;
  event_base* const base_;
  std::optional<PartHandlers> part_;
  // Time that prompt timers took lately, less the time between their runs.
  Duration prompt_work_ = Duration::zero();
  TimePoint prompt_end_;
  // An event at the end of the queue, and when it was put there; nothing if it
  // is not queued.
  std::optional<TimePoint> marked_at_;
  Handle marker_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_EVENT_LOOP_H_
