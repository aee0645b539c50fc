#include "decision/gateway/target_availability.h"

#include <criterion/criterion.h>

#include <chrono>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

// Guards against a later answer or report that brings a leaving target back.
Test(target_availability, nothing_takes_leaving_back) {
  TargetAvailability target;
  target.OnLeaving();
  target.OnSucceeded(kStart);
  target.OnReported(seconds(1), kStart);
  cr_assert(target.At(kStart + seconds(600)) == Availability::kLeaving);
}

// Guards against requests during a rest, and against a full load at its end.
Test(target_availability, reopens_slowly_after_a_rest) {
  TargetAvailability target;
  target.OnRest(seconds(5), milliseconds(100), kStart);
  target.OnRest(seconds(1), Duration::zero(), kStart + seconds(1));
  cr_assert(target.At(kStart + milliseconds(5050)) == Availability::kResting);
  // An answer to a request that was in flight does not end the rest.
  target.OnSucceeded(kStart + seconds(2));
  const auto end = kStart + milliseconds(5100);
  cr_assert(target.OpensAt(kStart) == end);
  cr_assert(target.At(end) == Availability::kReopening);
  target.OnSucceeded(end);
  cr_assert(target.At(end) == Availability::kOpen);
}

// Guards against a faulty gateway that takes all targets of a service away.
Test(target_availability, reports_of_others_expire) {
  TargetAvailability target;
  target.OnReported(std::chrono::hours(5), kStart);
  cr_assert(target.At(kStart + seconds(4)) == Availability::kAvoided);
  cr_assert(target.At(kStart + TargetAvailability::kMaxReportedTime) ==
            Availability::kOpen);
}

}  // namespace flamingoyoke
