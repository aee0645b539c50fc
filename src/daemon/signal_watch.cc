#include "daemon/signal_watch.h"

#include <csignal>
#include <new>
#include <utility>

namespace flamingoyoke {
namespace {

// Whether a stop signal arrived while no SignalWatch handled it.
volatile std::sig_atomic_t g_has_early_stop = 0;

auto RememberStop(int /*signal_number*/) -> void {
  g_has_early_stop = 1;
}

}  // namespace

SignalWatch::SignalWatch(EventLoop& loop,
                         OnStopSignal on_stop_signal,
                         OnReload on_reload)
    : on_stop_signal_(std::move(on_stop_signal)),
      on_reload_(std::move(on_reload)) {
  const event_callback_fn on_stop = [](evutil_socket_t, short, void* self) {
    auto* watch = static_cast<SignalWatch*>(self);
    watch->on_stop_signal_(++watch->count_);
  };
  // libevent restores these handlers when the watch is destroyed. The default
  // action would end a process that flushes its log.
  std::signal(SIGTERM, RememberStop);
  std::signal(SIGINT, RememberStop);
  terminate_ = Watch(loop, SIGTERM, on_stop);
  interrupt_ = Watch(loop, SIGINT, on_stop);
  reload_ = Watch(loop, SIGHUP, [](evutil_socket_t, short, void* self) {
    static_cast<SignalWatch*>(self)->on_reload_();
  });
  std::signal(SIGPIPE, SIG_IGN);
  if (g_has_early_stop != 0) {
    event_active(terminate_.get(), EV_SIGNAL, 1);
  }
}

auto SignalWatch::Watch(EventLoop& loop,
                        int signal_number,
                        event_callback_fn callback) -> EventPointer {
  EventPointer watched(
      evsignal_new(loop.base(), signal_number, callback, this));
  if (!watched || event_add(watched.get(), nullptr) != 0) {
    throw std::bad_alloc();
  }
  return watched;
}

}  // namespace flamingoyoke
