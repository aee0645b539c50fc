#include "node/process_reporter.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace flamingoyoke {
namespace {

auto ValueOf(const std::vector<MetricSample>& samples, const std::string& name)
    -> double {
  const auto found =
      std::find_if(samples.begin(), samples.end(),
                   [&](const MetricSample& each) { return each.name == name; });
  cr_assert(found != samples.end());
  return found->value;
}

}  // namespace

// Guards against a process whose use of limited resources cannot be seen, and
// against reading the system with each report.
Test(process_reporter, counts_threads_and_descriptors_every_5_s) {
  ProcessReporter reporter;
  const TimePoint now{std::chrono::seconds(100)};
  const auto before =
      ValueOf(reporter.Report(now), "flamingoyoke_process_descriptors");
  cr_assert_geq(ValueOf(reporter.Report(now), "flamingoyoke_process_threads"),
                1);
  const int opened = dup(STDIN_FILENO);
  const auto soon = now + std::chrono::seconds(4);
  cr_assert_eq(
      ValueOf(reporter.Report(soon), "flamingoyoke_process_descriptors"),
      before);
  const auto later = now + std::chrono::seconds(5);
  cr_assert_eq(
      ValueOf(reporter.Report(later), "flamingoyoke_process_descriptors"),
      before + 1);
  close(opened);
}

}  // namespace flamingoyoke
