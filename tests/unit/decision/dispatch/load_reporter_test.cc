#include "decision/dispatch/load_reporter.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Guards against control traffic in step with every request.
Test(load_reporter, reports_no_more_often_than_its_interval) {
  LoadReporter reporter;
  cr_assert(reporter.IsDue(4, true, kNow));
  reporter.TakeReport(ServiceId("s"), 0, 4, true, kNow);
  cr_assert_not(reporter.IsDue(3, true, kNow + LoadReporter::kMinInterval));
  cr_assert_not(
      reporter.IsDue(0, true, kNow + LoadReporter::kMinInterval - Duration(1)));
  cr_assert(reporter.IsDue(0, true, kNow + LoadReporter::kMinInterval));
  cr_assert(reporter.IsDue(4, true, kNow + LoadReporter::kMaxInterval));
}

// Guards against peers that believe an idle node to be busy for ever, and
// against an idle node that keeps sending.
Test(load_reporter, an_idle_node_reports_once_more_and_is_silent) {
  LoadReporter reporter;
  reporter.TakeReport(ServiceId("s"), 0, 2, true, kNow);
  const auto later = kNow + LoadReporter::kMaxInterval;
  cr_assert(reporter.IsDue(4, false, later));
  reporter.TakeReport(ServiceId("s"), 0, 4, false, later);
  cr_assert_not(reporter.NextWake(4, false).has_value());
}

}  // namespace
}  // namespace flamingoyoke
