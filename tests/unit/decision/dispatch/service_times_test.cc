#include "decision/dispatch/service_times.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

// Guards against rejections that are based on too few samples.
Test(service_times, returns_zero_below_the_minimum_samples) {
  ServiceTimes times;
  times.Add(WorkClass::kShort, milliseconds(900));
  cr_assert(times.Mean(WorkClass::kShort) == Duration::zero());
  cr_assert(times.Quantile(WorkClass::kShort, 0.95) == Duration::zero());
}

// Guards against a quantile that is less accurate than documented.
Test(service_times, quantile_is_accurate_to_a_fifth) {
  ServiceTimes times;
  for (int i = 1; i <= 100; ++i) {
    times.Add(WorkClass::kShort, milliseconds(i));
  }
  const auto p95 = times.Quantile(WorkClass::kShort, 0.95);
  cr_assert(p95 >= milliseconds(95) && p95 <= milliseconds(95 * 6 / 5));
}

// Guards against estimates that don't follow a change of the service time.
Test(service_times, follows_a_change) {
  ServiceTimes times;
  for (int i = 0; i < 5000; ++i) {
    times.Add(WorkClass::kShort, milliseconds(10));
  }
  for (int i = 0; i < 4000; ++i) {
    times.Add(WorkClass::kShort, milliseconds(100));
  }
  cr_assert(times.Mean(WorkClass::kShort) > milliseconds(75));
}

}  // namespace
}  // namespace flamingoyoke
