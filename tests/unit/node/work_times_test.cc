#include "node/work_times.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

auto Work(Duration duration) -> void {
  const auto begin = Now();
  while (Now() - begin < duration) {
  }
}

// Returns the value of the metric `name` for `kind`, or a negative one if there
// is none.
auto ValueOf(const WorkTimes& times, const std::string& name, WorkKind kind)
    -> double {
  std::vector<MetricSample> samples;
  times.AppendTo(samples);
  const auto found =
      std::find_if(samples.begin(), samples.end(), [&](const auto& sample) {
        return sample.name == name && sample.label_value == "gateway" &&
               sample.second_label_value == ToName(kind);
      });
  return found == samples.end() ? -1 : found->value;
}

constexpr auto kSeconds = "flamingoyoke_work_seconds_total";
constexpr auto kEvents = "flamingoyoke_work_events_total";

// Guards against a busy VM whose metrics don't say what its processor time goes
// to.
Test(work_times, adds_up_time_and_events_by_kind) {
  WorkTimes times(Part::kGateway);
  for (int i = 0; i < 2; ++i) {
    const WorkTimes::Scope scope(times, ToName(WorkKind::kRequest));
    Work(milliseconds(2));
  }
  times.Add(ToName(WorkKind::kTimer), milliseconds(1500));
  cr_expect_eq(ValueOf(times, kEvents, WorkKind::kRequest), 2);
  cr_expect_geq(ValueOf(times, kSeconds, WorkKind::kRequest), 0.004);
  cr_expect_eq(ValueOf(times, kSeconds, WorkKind::kTimer), 1.5);
  cr_expect_lt(ValueOf(times, kSeconds, WorkKind::kPublish), 0);
}

// Guards against work that is counted twice because it leads to further work.
Test(work_times, nested_work_counts_as_part_of_the_outer_one) {
  WorkTimes times(Part::kGateway);
  {
    const WorkTimes::Scope outer(times, ToName(WorkKind::kRequest));
    const WorkTimes::Scope inner(times, ToName(WorkKind::kAttempt));
    Work(milliseconds(1));
  }
  const WorkTimes::Scope next(times, ToName(WorkKind::kAttempt));
  cr_expect_eq(ValueOf(times, kEvents, WorkKind::kRequest), 1);
  cr_expect_lt(ValueOf(times, kEvents, WorkKind::kAttempt), 0);
}

}  // namespace
}  // namespace flamingoyoke
