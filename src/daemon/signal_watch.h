#ifndef FLAMINGOYOKE_DAEMON_SIGNAL_WATCH_H_
#define FLAMINGOYOKE_DAEMON_SIGNAL_WATCH_H_

#include <event2/event.h>

#include <functional>
#include <memory>

#include "runtime/event_loop.h"

namespace flamingoyoke {

// Turns SIGTERM, SIGINT and SIGHUP into calls on the thread of a loop, and
// ignores SIGPIPE, which a write to a closed connection would raise. One per
// process.
class SignalWatch {
 public:
  // `count` is 1 for the first signal, 2 for the second, and so on.
  using OnSignal = std::function<void(int count)>;

  // Called for each SIGHUP.
  using OnReload = std::function<void()>;

  SignalWatch(EventLoop& loop, OnSignal on_signal, OnReload on_reload);

  SignalWatch(const SignalWatch&) = delete;
  auto operator=(const SignalWatch&) -> SignalWatch& = delete;

 private:
  using EventPointer = std::unique_ptr<event, EventLoop::EventDeleter>;

  auto Watch(EventLoop& loop, int signal_number, event_callback_fn callback)
      -> EventPointer;

  OnSignal on_signal_;
  OnReload on_reload_;
  int count_ = 0;
  EventPointer terminate_;
  EventPointer interrupt_;
  EventPointer reload_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DAEMON_SIGNAL_WATCH_H_
