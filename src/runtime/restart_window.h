#ifndef FLAMINGOYOKE_RUNTIME_RESTART_WINDOW_H_
#define FLAMINGOYOKE_RUNTIME_RESTART_WINDOW_H_

#include <cstddef>
#include <deque>

#include "core/time.h"

namespace flamingoyoke {

// Restarts allowed per child and window; one more fails its supervisor.
struct RestartLimit {
  std::size_t restarts = 5;
  Duration window = std::chrono::seconds(30);
};

// Counts the restarts of one child in a sliding window. Not thread-safe.
class RestartWindow {
 public:
  explicit RestartWindow(RestartLimit limit) : limit_(limit) {}

  // Records a failure at `now` and returns whether a restart is allowed.
  auto AllowRestart(TimePoint now) -> bool {
    while (!restarts_.empty() && now - restarts_.front() > limit_.window) {
      restarts_.pop_front();
    }
    if (restarts_.size() >= limit_.restarts) {
      return false;
    }
    restarts_.push_back(now);
    return true;
  }

 private:
  RestartLimit limit_;
  std::deque<TimePoint> restarts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_RESTART_WINDOW_H_
