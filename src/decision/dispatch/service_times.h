#ifndef FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_TIMES_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"
#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

// Learned service times of each work class. Older samples lose their weight
// as newer ones arrive. Not thread-safe.
class ServiceTimes {
 public:
  // Adds the duration of an attempt that held its slot until it was answered
  // or timed out.
  auto Add(WorkClass work_class, Duration duration) -> void;

  // Mean duration; zero until kMinSamples are known.
  [[nodiscard]] auto Mean(WorkClass work_class) const -> Duration;

  // Duration that the share `quantile` (0 to 1) of attempts stays below,
  // exact to a fifth; zero until kMinSamples are known.
  [[nodiscard]] auto Quantile(WorkClass work_class, double quantile) const
      -> Duration;

  // Fewer samples say too little to reject a request.
  static constexpr double kMinSamples = 20;

 private:
  // Bucket i holds durations up to 100 us * 2^(i/4); the last one more than
  // 100 s.
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
