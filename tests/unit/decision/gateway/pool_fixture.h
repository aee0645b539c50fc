#ifndef FLAMINGOYOKE_TESTS_UNIT_DECISION_GATEWAY_POOL_FIXTURE_H_
#define FLAMINGOYOKE_TESTS_UNIT_DECISION_GATEWAY_POOL_FIXTURE_H_

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "table/registry.h"
#include "unit/decision/event_queue.h"

namespace flamingoyoke {

inline constexpr TimePoint kStart{std::chrono::seconds(100)};

inline auto MakeTargetId(std::size_t index) -> TargetId {
  return TargetId("t" + std::to_string(index));
}

// Returns the targets t0, t1 and so on, with an address each.
inline auto MakeTargets(std::size_t count,
                        std::uint32_t slots = 2,
                        const FailureDomainId& failure_domain = {})
    -> std::vector<RegisteredTarget> {
  std::vector<RegisteredTarget> targets;
  for (std::size_t i = 0; i < count; ++i) {
    RegisteredTarget target;
    target.id = MakeTargetId(i);
    target.host = "10.0.0.1";
    target.port = static_cast<std::uint16_t>(1000 + i);
    target.failure_domain = failure_domain;
    target.slots = slots;
    targets.push_back(target);
  }
  return targets;
}

// Limits of the time that a request runs on a target, equally distributed.
inline constexpr Duration kMinWork = std::chrono::milliseconds(100);
inline constexpr Duration kMaxWork = std::chrono::milliseconds(300);
// Time from the arrival of a request until its deadline.
inline constexpr Duration kTimeout = std::chrono::milliseconds(3500);
// Objective of a request's response time.
inline constexpr Duration kObjective = std::chrono::milliseconds(1000);

// Returns how many requests the targets can run in a second.
constexpr auto CapacityOf(std::size_t targets, std::uint32_t slots) -> double {
  return static_cast<double>(targets * slots) /
         ToSeconds((kMinWork + kMaxWork) / 2);
}

// Requests to targets of limited capacity, in virtual time from kStart. An
// event is a std::variant.
template <typename Event>
class PoolTimeline {
 public:
  explicit PoolTimeline(std::uint64_t seed) : random_(seed) {}

  auto Push(Duration delay, Event event) -> void {
    events_.Push(now_ + delay, std::move(event));
  }

  // Calls `handle` with the events before kStart + `length`, in order.
  template <typename Handler>
  auto Run(Duration length, const Handler& handle) -> void {
    while (events_.NextTime() < kStart + length) {
      now_ = events_.NextTime();
      std::visit(handle, events_.Pop());
    }
  }

  // Returns a time that a request runs.
  auto DrawWork() -> Duration {
    const auto span = static_cast<double>((kMaxWork - kMinWork).count());
    return kMinWork +
           Duration(static_cast<std::int64_t>(span * random_.Unit()));
  }
  // Returns the time between two arrivals at `rate` per second.
  auto DrawGap(double rate) -> Duration {
    return Duration(
        static_cast<std::int64_t>(-std::log(1 - random_.Unit()) / rate * 1e6));
  }

  [[nodiscard]] auto now() const -> TimePoint { return now_; }
  auto random() -> Random& { return random_; }

 private:
  Random random_;
  TimePoint now_ = kStart;
  EventQueue<Event> events_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_DECISION_GATEWAY_POOL_FIXTURE_H_
