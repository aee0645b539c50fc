#include "daemon/signal_watch.h"

#include <csignal>
#include <utility>

namespace flamingoyoke {

SignalWatch::SignalWatch(EventLoop& loop,
                         OnStopSignal on_stop_signal,
                         OnReload on_reload)
    : on_stop_signal_(std::move(on_stop_signal)),
      on_reload_(std::move(on_reload)) {
  const event_callback_fn on_stop = [](evutil_socket_t, short, void* self) {
    auto* watch = static_cast<SignalWatch*>(self);
    watch->on_stop_signal_(++watch->count_);
  };
  terminate_ = Watch(loop, SIGTERM, on_stop);
  interrupt_ = Watch(loop, SIGINT, on_stop);
  reload_ = Watch(loop, SIGHUP, [](evutil_socket_t, short, void* self) {
    static_cast<SignalWatch*>(self)->on_reload_();
  });
  std::signal(SIGPIPE, SIG_IGN);
}

auto SignalWatch::Watch(EventLoop& loop,
                        int signal_number,
                        event_callback_fn callback) -> EventPointer {
  EventPointer watched(
      evsignal_new(loop.base(), signal_number, callback, this));
  event_add(watched.get(), nullptr);
  return watched;
}

}  // namespace flamingoyoke
