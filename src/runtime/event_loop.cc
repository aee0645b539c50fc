#include "runtime/event_loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <new>
#include <system_error>
#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

auto ToTimeval(Duration duration) -> timeval {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(duration);
  return {.tv_sec = seconds.count(),
          .tv_usec = static_cast<suseconds_t>((duration - seconds).count())};
}

// Priorities of events; lower ones run first.
constexpr int kUrgent = 0;
constexpr int kPriorities = 2;

// Descriptors of a libevent base: polling, its timer, and two for signals.
constexpr int kBaseDescriptors = 4;

// libevent ends the process if it is refused a descriptor of a base. Throws
// std::system_error instead.
auto CheckDescriptors() -> void {
  std::array<int, kBaseDescriptors> descriptors{};
  int error = 0;
  for (auto& descriptor : descriptors) {
    descriptor = eventfd(0, EFD_CLOEXEC);
    error = descriptor < 0 ? errno : error;
  }
  for (const int descriptor : descriptors) {
    if (descriptor >= 0) {
      close(descriptor);
    }
  }
  if (error != 0) {
    throw std::system_error(error, std::generic_category(),
                            "cannot create an event loop");
  }
}

auto MakeBase() -> event_base* {
  CheckDescriptors();
  // Without the flag, timers have a resolution of a few milliseconds.
  auto* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  auto* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) {
    throw std::bad_alloc();
  }
  // Other events have the last priority by default.
  event_base_priority_init(base, kPriorities);
  return base;
}

}  // namespace

struct EventLoop::Handle::State {
  EventLoop& loop;
  Callback callback;
  std::unique_ptr<event, EventDeleter> ev;
  // Expiry of a one-shot timer.
  TimePoint due;
  bool is_one_shot = false;
};

auto EventLoop::Handle::StateDeleter::operator()(State* state) const -> void {
  delete state;
}

auto EventLoop::Handle::Schedule(Duration delay) -> void {
  if (!state_) {
    return;
  }
  const auto wait = std::max(delay, Duration::zero());
  state_->due = Now() + wait;
  const auto interval = ToTimeval(wait);
  event_add(state_->ev.get(), &interval);
}

auto EventLoop::Handle::Trigger() -> void {
  if (state_) {
    event_active(state_->ev.get(), EV_TIMEOUT, 0);
  }
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

EventLoop::EventLoop() : own_base_(MakeBase()), base_(own_base_.get()) {}

EventLoop::EventLoop(EventLoop& host, PartHandlers handlers)
    : base_(host.base()), part_(std::move(handlers)) {}

auto EventLoop::Run() -> void {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

auto EventLoop::Quit() -> void {
  if (part_) {
    part_->on_quit();
    return;
  }
  event_base_loopbreak(base_);
}

auto EventLoop::Invoke(const Callback& callback) -> void {
  if (!part_) {
    callback();
    return;
  }
  try {
    callback();
  } catch (const std::exception& exception) {
    part_->on_exception(exception);
  }
}

auto EventLoop::MakeTimer(Callback callback) -> Handle {
  auto handle = MakeHandle(-1, 0, std::move(callback));
  handle.state_->is_one_shot = true;
  return handle;
}

auto EventLoop::TimeSincePoll() -> Duration {
  // libevent exposes the cached time of an iteration only as wall-clock time,
  // which can step. It serves only to detect that a new iteration has started.
  timeval poll_time{};
  event_base_gettimeofday_cached(base_, &poll_time);
  const auto now = Now();
  if (poll_time.tv_sec != poll_time_.tv_sec ||
      poll_time.tv_usec != poll_time_.tv_usec) {
    poll_time_ = poll_time;
    iteration_start_ = now;
  }
  return now - iteration_start_;
}

auto EventLoop::MakePeriodicTimer(Duration period, Callback callback)
    -> Handle {
  auto handle = MakeHandle(-1, EV_PERSIST, std::move(callback));
  handle.Schedule(period);
  return handle;
}

auto EventLoop::MakeUrgent(Callback callback) -> Handle {
  auto handle = MakeHandle(-1, 0, std::move(callback));
  event_priority_set(handle.state_->ev.get(), kUrgent);
  return handle;
}

auto EventLoop::WatchReadable(int descriptor, Callback callback) -> Handle {
  auto handle =
      MakeHandle(descriptor, EV_READ | EV_PERSIST, std::move(callback));
  if (event_add(handle.state_->ev.get(), nullptr) != 0) {
    throw std::bad_alloc();
  }
  return handle;
}

auto EventLoop::MakeHandle(int descriptor, short events, Callback callback)
    -> Handle {
  Handle handle;
  handle.state_.reset(
      new Handle::State{*this, std::move(callback), nullptr, {}, false});
  handle.state_->ev.reset(event_new(
      base_, descriptor, events,
      [](evutil_socket_t, short, void* context) {
        auto* state = static_cast<Handle::State*>(context);
        // libevent counts a delay from the start of the iteration, so a timer
        // that is set late in a long iteration fires early. A decision woken
        // before its deadline schedules no further wake-up and never runs
        // again.
        const auto remaining = state->due - Now();
        if (state->is_one_shot && remaining > Duration::zero()) {
          const auto interval = ToTimeval(remaining);
          event_add(state->ev.get(), &interval);
          return;
        }
        state->loop.Invoke(state->callback);
      },
      handle.state_.get()));
  if (!handle.state_->ev) {
    throw std::bad_alloc();
  }
  return handle;
}

}  // namespace flamingoyoke
