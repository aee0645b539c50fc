#ifndef FLAMINGOYOKE_DECISION_GATEWAY_TARGET_AVAILABILITY_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_TARGET_AVAILABILITY_H_

#include <array>
#include <chrono>

#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// What a target wants from this gateway, independent of its health.
enum class Availability {
  kOpen,
  kAvoided,    // Another gateway reported that it leaves or rests.
  kReopening,  // Its rest is over; it gets one request at a time at first.
  kResting,    // It asked for no requests for some time.
  kLeaving,    // It said that it leaves.
};

template <>
struct EnumNames<Availability> {
  static constexpr auto kTable = std::to_array<NameEntry<Availability>>({
      {Availability::kOpen, "open"},
      {Availability::kAvoided, "avoided"},
      {Availability::kReopening, "reopening"},
      {Availability::kResting, "resting"},
      {Availability::kLeaving, "leaving"},
  });
};
static_assert(IsDense<Availability>());

// Tracks whether one start of a target wants requests, by what it said in its
// answers. What it said to this gateway binds; what another gateway reports
// only makes other targets preferred, so that a faulty reporter cannot take all
// targets of a service away. Not thread-safe.
class TargetAvailability {
 public:
  // How long a report of another gateway counts.
  static constexpr Duration kMaxReportedTime = std::chrono::seconds(5);

  // The target said that it leaves. Nothing takes that back.
  auto OnLeaving() -> void { has_left_ = true; }
  // The target asked for a rest of `rest` from `now` on. A shorter rest does
  // not end a longer one. `delay` is added to spread the gateways that resume
  // sending.
  auto OnRest(Duration rest, Duration delay, TimePoint now) -> void;
  // Another gateway sends nothing to the target for `avoid`.
  auto OnReported(Duration avoid, TimePoint now) -> void;
  // The target answered a request of this gateway with success.
  auto OnSucceeded(TimePoint now) -> void;

  [[nodiscard]] auto has_left() const -> bool { return has_left_; }
  [[nodiscard]] auto At(TimePoint now) const -> Availability;
  // Returns when the target may get requests again: `now` unless it rests.
  // Precondition: it is not leaving.
  [[nodiscard]] auto OpensAt(TimePoint now) const -> TimePoint;
  // Returns how long other gateways should avoid the target.
  [[nodiscard]] auto AvoidTime(TimePoint now) const -> Duration;

 private:
  bool has_left_ = false;
  bool is_reopening_ = false;
  TimePoint rests_until_ = TimePoint::min();
  TimePoint avoided_until_ = TimePoint::min();
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_TARGET_AVAILABILITY_H_
