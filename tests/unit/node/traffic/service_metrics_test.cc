#include "node/traffic/service_metrics.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a percentile that averages out rare long waits or mixes the
// work classes.
Test(service_metrics, wait_p99_per_class) {
  ServiceMetrics metrics(ServiceId("s"));
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 90; ++i) {
    metrics.OnWait(WorkClass::kShort, milliseconds(1), now);
  }
  for (int i = 0; i < 10; ++i) {
    metrics.OnWait(WorkClass::kShort, milliseconds(100), now);
  }
  const auto p99 = metrics.WaitP99(WorkClass::kShort, now);
  cr_assert(p99 >= milliseconds(100) && p99 <= milliseconds(116));
  cr_assert(metrics.WaitP99(WorkClass::kLong, now) == Duration::zero());
}

// Waits must be dropped from the percentile after two windows.
Test(service_metrics, old_waits_are_forgotten) {
  ServiceMetrics metrics(ServiceId("s"));
  const TimePoint now{seconds(100)};
  metrics.OnWait(WorkClass::kShort, seconds(5), now);
  cr_assert(metrics.WaitP99(WorkClass::kShort, now + seconds(11)) >=
            seconds(5));
  cr_assert(metrics.WaitP99(WorkClass::kShort, now + seconds(40)) ==
            Duration::zero());
}

// Prometheus requires cumulative bucket counts, the last of which is the total.
Test(service_metrics, histograms_are_cumulative) {
  ServiceMetrics metrics(ServiceId("s"));
  metrics.OnRequest(milliseconds(3));
  metrics.OnRequest(milliseconds(30));
  metrics.OnRequest(seconds(100));
  std::vector<MetricSample> samples;
  metrics.AppendTo(samples, ServiceReport{});
  const auto found =
      std::find_if(samples.begin(), samples.end(), [](const auto& sample) {
        return sample.name == "flamingoyoke_request_duration_seconds";
      });
  cr_assert(found != samples.end());
  cr_assert_eq(found->counts.size(), found->bounds.size() + 1);
  cr_assert(std::is_sorted(found->counts.begin(), found->counts.end()));
  cr_assert_eq(found->counts.back(), 3U);
  cr_assert_eq(found->counts[found->bounds.size() - 1], 2U);
  cr_assert(found->sum > 100.03 && found->sum < 100.04);
}

}  // namespace
}  // namespace flamingoyoke
