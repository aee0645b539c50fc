#include "runtime/event_loop.h"

#include <chrono>
#include <new>
#include <utility>

namespace flamingoyoke {
namespace {

auto ToTimeval(Duration duration) -> timeval {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(duration);
  return {.tv_sec = seconds.count(),
          .tv_usec = static_cast<suseconds_t>((duration - seconds).count())};
}

auto MakeBase() -> event_base* {
  auto* base = event_base_new();
  if (base == nullptr) {
    throw std::bad_alloc();
  }
  return base;
}

}  // namespace

struct EventLoop::Handle::State {
  Callback callback;
  std::unique_ptr<event, EventDeleter> ev;
};

auto EventLoop::Handle::StateDeleter::operator()(State* state) const -> void {
  delete state;
}

auto EventLoop::Handle::Schedule(Duration delay) -> void {
  if (!state_) {
    return;
  }
  const auto interval =
      ToTimeval(delay < Duration::zero() ? Duration::zero() : delay);
  event_add(state_->ev.get(), &interval);
}

auto EventLoop::Handle::Cancel() -> void {
  if (state_) {
    event_del(state_->ev.get());
  }
}

auto EventLoop::Handle::IsPending() const -> bool {
  return state_ &&
         event_pending(state_->ev.get(), EV_TIMEOUT | EV_READ, nullptr) != 0;
}

EventLoop::EventLoop() : base_(MakeBase()) {}

auto EventLoop::Run() -> void {
  event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

auto EventLoop::Quit() -> void {
  event_base_loopbreak(base_.get());
}

auto EventLoop::MakeTimer(Callback callback) -> Handle {
  return MakeHandle(-1, 0, std::move(callback));
}

auto EventLoop::MakePeriodicTimer(Duration period, Callback callback)
    -> Handle {
  auto handle = MakeHandle(-1, EV_PERSIST, std::move(callback));
  handle.Schedule(period);
  return handle;
}

auto EventLoop::WatchReadable(int descriptor, Callback callback) -> Handle {
  auto handle =
      MakeHandle(descriptor, EV_READ | EV_PERSIST, std::move(callback));
  event_add(handle.state_->ev.get(), nullptr);
  return handle;
}

auto EventLoop::MakeHandle(int descriptor, short events, Callback callback)
    -> Handle {
  Handle handle;
  handle.state_.reset(new Handle::State{std::move(callback), nullptr});
  handle.state_->ev.reset(event_new(
      base_.get(), descriptor, events,
      [](evutil_socket_t, short, void* state) {
        static_cast<Handle::State*>(state)->callback();
      },
      handle.state_.get()));
  if (!handle.state_->ev) {
    throw std::bad_alloc();
  }
  return handle;
}

}  // namespace flamingoyoke
