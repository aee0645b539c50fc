#ifndef FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_TIMES_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"
#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

// Histogram of the observed service times per work class. Older samples lose
// weight as new ones arrive. Not thread-safe.
class ServiceTimes {
 public:
  // Adds the duration of an attempt that completed or timed out.
  auto Add(WorkClass work_class, Duration duration) -> void;

  // Returns the mean duration, or zero if there are fewer than kMinSamples.
  [[nodiscard]] auto Mean(WorkClass work_class) const -> Duration;

  // Returns the given quantile (0 to 1) of the durations, accurate to within a
  // fifth, or zero if there are fewer than kMinSamples.
  [[nodiscard]] auto Quantile(WorkClass work_class, double quantile) const
      -> Duration;

  // Fewer samples are too unreliable to reject requests.
  static constexpr double kMinSamples = 20;

 private:
  // Bucket i holds durations up to 100 us * 2^(i/4); the last one, at about 100
  // s, also holds all longer durations.
  static constexpr std::size_t kBuckets = 81;

  struct Histogram {
    std::array<double, kBuckets> counts{};
    double count = 0;
    double sum_us = 0;
  };

  [[nodiscard]] auto HistogramFor(WorkClass work_class) const
      -> const Histogram& {
    return histograms_[static_cast<std::size_t>(work_class)];
  }

  std::array<Histogram, kEnumSize<WorkClass>> histograms_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_TIMES_H_
