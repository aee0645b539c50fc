#include "decision/dispatch/load_reporter.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Guards against one load report per request.
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

// Guards against an idle node that its peers consider busy forever, and against
// reports that an idle node keeps sending.
Test(load_reporter, an_idle_node_sends_one_last_report) {
  LoadReporter reporter;
  reporter.TakeReport(ServiceId("s"), 0, 2, true, kNow);
  const auto later = kNow + LoadReporter::kMaxInterval;
  cr_assert(reporter.IsDue(4, false, later));
  reporter.TakeReport(ServiceId("s"), 0, 4, false, later);
  cr_assert_not(reporter.NextWake(4, false).has_value());
}

}  // namespace
}  // namespace flamingoyoke
