#include "node/accept_pause.h"

#include <event2/util.h>

#include <chrono>
#include <string>
#include <system_error>
#include <unordered_map>

namespace flamingoyoke {
namespace {

constexpr Duration kPause = std::chrono::milliseconds(100);

// The error callback gets the user data of evhttp, so the object is looked up
// by the listener. A listener belongs to one thread.
auto PausesByListener() -> std::unordered_map<evconnlistener*, AcceptPause*>& {
  thread_local std::unordered_map<evconnlistener*, AcceptPause*> pauses;
  return pauses;
}

}  // namespace

AcceptPause::AcceptPause(EventLoop& loop, Part part)
    : loop_(loop),
      part_(part),
      resume_timer_(loop.MakeTimer([this] { Resume(); })) {}

AcceptPause::~AcceptPause() {
  for (auto* listener : listeners_) {
    PausesByListener().erase(listener);
  }
}

auto AcceptPause::Watch(evconnlistener* listener) -> void {
  listeners_.push_back(listener);
  PausesByListener()[listener] = this;
  evconnlistener_set_error_cb(listener, [](evconnlistener* failed, void*) {
    const int error_number = EVUTIL_SOCKET_ERROR();
    const auto found = PausesByListener().find(failed);
    if (found != PausesByListener().end()) {
      auto* pause = found->second;
      pause->loop_.Invoke([&] { pause->Pause(failed, error_number); });
    }
  });
}

auto AcceptPause::PauseForIteration() -> void {
  for (auto* listener : listeners_) {
    evconnlistener_disable(listener);
  }
  resume_timer_.Schedule(Duration::zero());
}

auto AcceptPause::Pause(evconnlistener* listener, int error_number) -> void {
  Log(part_, LogLevel::kWarning,
      std::string("cannot accept connections: ") +
          std::system_category().message(error_number));
  evconnlistener_disable(listener);
  resume_timer_.Schedule(kPause);
}

auto AcceptPause::Resume() -> void {
  for (auto* listener : listeners_) {
    evconnlistener_enable(listener);
  }
}

}  // namespace flamingoyoke
