#ifndef FLAMINGOYOKE_DECISION_GATEWAY_RUN_SHARES_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_RUN_SHARES_H_

#include <cstdint>
#include <map>

#include "core/time.h"
#include "decision/detection/rate_window.h"

namespace flamingoyoke {

// Counts the recent attempts of each priority that targets ran. Not
// thread-safe.
class RunShares {
 public:
  // An attempt of `priority` that used a slot ended; 0 is the most urgent.
  // `now` must not decrease between calls.
  auto Add(std::uint32_t priority, TimePoint now) -> void;

  // Returns the share of the attempts in the last two seconds that were more
  // urgent than `priority`, 0 to 1; 0 without any attempt.
  [[nodiscard]] auto ShareBefore(std::uint32_t priority, TimePoint now) const
      -> double;

 private:
  std::map<std::uint32_t, RateWindow> attempts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_RUN_SHARES_H_
