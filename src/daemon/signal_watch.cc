#include "daemon/signal_watch.h"

#include <csignal>
#include <utility>

namespace flamingoyoke {

SignalWatch::SignalWatch(EventLoop& loop, OnSignal on_signal)
    : on_signal_(std::move(on_signal)),
      terminate_(Watch(loop, SIGTERM)),
      interrupt_(Watch(loop, SIGINT)) {
  std::signal(SIGPIPE, SIG_IGN);
}

auto SignalWatch::Watch(EventLoop& loop, int signal_number) -> EventPointer {
  EventPointer watched(evsignal_new(
      loop.base(), signal_number,
      [](evutil_socket_t, short, void* self) {
        auto* watch = static_cast<SignalWatch*>(self);
        watch->on_signal_(++watch->count_);
      },
      this));
  event_add(watched.get(), nullptr);
  return watched;
}

}  // namespace flamingoyoke
