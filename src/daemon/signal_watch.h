#ifndef FLAMINGOYOKE_DAEMON_SIGNAL_WATCH_H_
#define FLAMINGOYOKE_DAEMON_SIGNAL_WATCH_H_

#include <event2/event.h>

#include <functional>
#include <memory>

#include "runtime/event_loop.h"

namespace flamingoyoke {

// Delivers SIGTERM, SIGINT and SIGHUP as callbacks on the thread of a loop, and
// ignores SIGPIPE, which a write to a closed connection would raise. After its
// destruction, further SIGTERM and SIGINT change nothing. Create one per
// process.
class SignalWatch {
 public:
  // Called for each SIGTERM or SIGINT. `count` is 1 for the first, 2 for the
  // second, and so on.
  using OnStopSignal = std::function<void(int count)>;

  // Called for each SIGHUP.
  using OnReload = std::function<void()>;

  SignalWatch(EventLoop& loop, OnStopSignal on_stop_signal, OnReload on_reload);

  SignalWatch(const SignalWatch&) = delete;
  auto operator=(const SignalWatch&) -> SignalWatch& = delete;

 private:
  using EventPointer = std::unique_ptr<event, EventLoop::EventDeleter>;

  auto Watch(EventLoop& loop, int signal_number, event_callback_fn callback)
      -> EventPointer;

  OnStopSignal on_stop_signal_;
  OnReload on_reload_;
  int count_ = 0;
  EventPointer terminate_;
  EventPointer interrupt_;
  EventPointer reload_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DAEMON_SIGNAL_WATCH_H_
