#include "decision/detection/detector.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

auto Configuration() -> DetectionConfigured {
  DetectionConfigured event;
  event.row.service = ServiceId("stock");
  for (const auto* id : {"10.0.0.1:80", "10.0.0.2:80"}) {
    TargetSpec target;
    target.id = TargetId(id);
    event.row.targets.push_back(target);
  }
  event.self = VmId("a");
  event.home = {{VmId("a"), FailureDomainId("1")},
                {VmId("b"), FailureDomainId("2")}};
  event.owned = {TargetId("10.0.0.1:80")};
  return event;
}

// Guards against new work for a target that said it leaves.
Test(detector, a_drain_signal_takes_the_share_away_at_once) {
  Detector detector(Random(1));
  detector.OnEvent(Configuration(), TimePoint());
  detector.OnEvent(DrainSignalled{TargetId("10.0.0.1:80"), true}, TimePoint());
  const auto statuses = detector.Statuses();
  cr_assert_eq(statuses.size(), 2);
  cr_assert(statuses[0].state == TargetState::kDraining);
  cr_assert_eq(statuses[0].share, 0);
  cr_assert_eq(statuses[1].share, 1);
}

}  // namespace
}  // namespace flamingoyoke
