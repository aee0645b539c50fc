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

// Priorities of events; lower ones run first. libevent gives the middle one to
// all other events, such as those of sockets.
constexpr int kUrgent = 0;
constexpr int kPrompt = 1;
constexpr int kOthers = 2;
constexpr int kPriorities = 4;
static_assert(kOthers == kPriorities / 2);

// The loop looks for new events after this time even if others wait. A pass
// over all sockets takes seconds on a VM that is short of processor; looking
// more often would take much of what such a VM has.
constexpr timeval kMaxPassTime = {.tv_sec = 0, .tv_usec = 20'000};
constexpr int kUnlimitedCallbacks = -1;

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
  event_config_set_max_dispatch_interval(config, &kMaxPassTime,
                                         kUnlimitedCallbacks, kOthers);
  auto* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) {
    throw std::bad_alloc();
  }
  event_base_priority_init(base, kPriorities);
  return base;
}

}  // namespace

struct EventLoop::Handle::State {
  // Calls the callback, which may destroy this object.
  auto Run() -> void;

  EventLoop& loop;
  Callback callback;
  std::unique_ptr<event, EventDeleter> ev;
  // Expiry of a one-shot timer.
  TimePoint due;
  bool is_one_shot = false;
  // Whether the event goes before those of sockets.
  bool is_prompt = false;
  // A prompt timer runs no earlier than this, so that it takes at most half of
  // the time and sockets have theirs.
  TimePoint rested;
  // Set to true when this object is destroyed, if not null.
  bool* destroyed = nullptr;
};

auto EventLoop::Handle::State::Run() -> void {
  if (!is_prompt || !is_one_shot) {
    loop.Invoke(callback);
    return;
  }
  const auto begin = Now();
  bool was_destroyed = false;
  destroyed = &was_destroyed;
  loop.Invoke(callback);
  if (was_destroyed) {
    return;
  }
  destroyed = nullptr;
  const auto end = Now();
  rested = end + loop.AddPromptWork(begin, end);
  if (due < rested && event_pending(ev.get(), EV_TIMEOUT, nullptr) != 0) {
    due = rested;
    const auto interval = ToTimeval(rested - end);
    event_add(ev.get(), &interval);
  }
}

auto EventLoop::Handle::StateDeleter::operator()(State* state) const -> void {
  if (state->destroyed != nullptr) {
    *state->destroyed = true;
  }
  delete state;
}

auto EventLoop::Handle::Schedule(Duration delay) -> void {
  if (!state_) {
    return;
  }
  const auto now = Now();
  state_->due =
      std::max(now + std::max(delay, Duration::zero()), state_->rested);
  const auto wait = state_->due - now;
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

auto EventLoop::Handle::Resume() -> void {
  if (state_) {
    StartWatch(*this);
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

auto EventLoop::MakePromptTimer(Callback callback) -> Handle {
  auto handle = MakeTimer(std::move(callback));
  event_priority_set(handle.state_->ev.get(), kPrompt);
  handle.state_->is_prompt = true;
  return handle;
}

auto EventLoop::AddPromptWork(TimePoint begin, TimePoint end) -> Duration {
  const auto rest = begin - prompt_end_;
  prompt_work_ = std::max(prompt_work_ - rest, Duration::zero());
  prompt_work_ += end - begin;
  prompt_end_ = end;
  return prompt_work_;
}

auto EventLoop::QueueDelay() -> Duration {
  const auto now = Now();
  if (!marked_at_) {
    if (!marker_.state_) {
      marker_ = MakeHandle(-1, 0, [this] { marked_at_.reset(); });
    }
    marked_at_ = now;
    marker_.Trigger();
  }
  return now - *marked_at_;
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
  StartWatch(handle);
  return handle;
}

auto EventLoop::WatchReadablePromptly(int descriptor, Callback callback)
    -> Handle {
  auto handle =
      MakeHandle(descriptor, EV_READ | EV_PERSIST, std::move(callback));
  event_priority_set(handle.state_->ev.get(), kPrompt);
  StartWatch(handle);
  return handle;
}

auto EventLoop::StartWatch(const Handle& handle) -> void {
  if (event_add(handle.state_->ev.get(), nullptr) != 0) {
    throw std::bad_alloc();
  }
}

auto EventLoop::MakeHandle(int descriptor, short events, Callback callback)
    -> Handle {
  Handle handle;
  handle.state_.reset(
      new Handle::State{*this, std::move(callback), nullptr, {}});
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
        state->Run();
      },
      handle.state_.get()));
  if (!handle.state_->ev) {
    throw std::bad_alloc();
  }
  return handle;
}

}  // namespace flamingoyoke
